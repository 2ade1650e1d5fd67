package scheduler

import (
	"math"
	"time"
)

// GrantDuration is the duration of a slot grant, see docs/design.md 3.
const GrantDuration = 3 * time.Second

// TickInterval is the longest time between two calls of Tick, unless AtRest returns true.
const TickInterval = 50 * time.Millisecond

// never is the deadline of events that are not pending.
const never = time.Duration(math.MaxInt64)

const (
	// heartbeatTimeout is the silence after which a worker gets no new work. Two
	// consecutive heartbeats may be lost or late. Gateways drop the worker's grants at
	// their next sync, 0.25 s later, which stays within the guaranteed 3 s.
	heartbeatTimeout = 2500 * time.Millisecond
	// standbyHeartbeatInterval is the heartbeat interval to a scheduler without a session,
	// which only needs to know which workers it can attach to.
	standbyHeartbeatInterval = 2 * time.Second
	// unattachedHeartbeatTimeout is the silence after which a scheduler without a session
	// no longer attaches to a worker. Two consecutive heartbeats may be lost here too.
	unattachedHeartbeatTimeout = 5 * time.Second
	// onTimeHeartbeatAge is the largest age of the last heartbeat if none was missed.
	onTimeHeartbeatAge = 1250 * time.Millisecond
	// peerTimeout is the silence of the active scheduler, which renews its lease every
	// 0.3 s, after which the standby takes over slot grants. Workers accept the standby
	// after the same silence, and grants last 3 s.
	peerTimeout = 1500 * time.Millisecond
	// minTaskLease is the shortest remaining lease with which a task is started or renewed.
	minTaskLease = 500 * time.Millisecond
	// commandRetryInterval is the time between retries of an unanswered stop or attach.
	commandRetryInterval = time.Second
	// refusedStartDelay delays a task after a worker refused its start, so that it is
	// not retried in a tight loop.
	refusedStartDelay = 200 * time.Millisecond
	// workerDiscoveryTime is the time in which a domain discovers its workers. Until it
	// has passed, no task is returned as unschedulable.
	workerDiscoveryTime = 5 * time.Second
	// replanInterval is the time between two computations of the gateways' shares.
	replanInterval = 250 * time.Millisecond
	// reactInterval is the time between two checks for interference.
	reactInterval = 500 * time.Millisecond
	// reportRetryDelay is the delay before a report that control did not record is sent again.
	reportRetryDelay = 200 * time.Millisecond
)

const (
	// maxPendingStarts bounds the number of unanswered starts.
	maxPendingStarts = 512
	// maxStopsPerTick bounds the stops sent per tick, so that a burst of cancellations
	// does not delay starts.
	maxStopsPerTick = 64
	// maxReportBatch bounds the number of events in one report.
	maxReportBatch = 500
	// maxSlots and maxCapacity reject sizes that no host has.
	maxSlots    = 4096
	maxCapacity = int64(1) << 40
	maxNameLen  = 128
)
