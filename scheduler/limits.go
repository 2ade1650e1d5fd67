package scheduler

import (
	"math"
	"time"
)

// GrantDuration is the duration of a slot grant, see docs/design.md 3.
const GrantDuration = 3 * time.Second

// TickInterval is the longest time between two calls of Tick, unless the core is at rest.
const TickInterval = 50 * time.Millisecond

// never is the due time of what is not awaited.
const never = time.Duration(math.MaxInt64)

const (
	// heartbeatTimeout is the silence after which a worker gets no new work: two
	// heartbeats may be lost or late. Gateways drop its grants at their next sync,
	// 0.25 s later, which keeps the promise of 3 s.
	heartbeatTimeout = 2500 * time.Millisecond
	// standbyHeartbeatInterval separates heartbeats to a scheduler without a session, which
	// needs to know the worker only to attach to it.
	standbyHeartbeatInterval = 2 * time.Second
	// unattachedHeartbeatTimeout is the silence after which a scheduler without a session
	// attaches no more; as with silentAfter two heartbeats may be lost.
	unattachedHeartbeatTimeout = 5 * time.Second
	// onTimeHeartbeatAge is the age of the last heartbeat up to which a worker has missed none.
	onTimeHeartbeatAge = 1250 * time.Millisecond
	// peerTimeout is the silence of the active scheduler, which renews its lease
	// every 0.3 s, after which the standby takes over slot grants. Workers accept that
	// after the same silence, and grants last 3 s.
	peerTimeout = 1500 * time.Millisecond
	// minTaskLease is the shortest lease worth a start.
	minTaskLease = 500 * time.Millisecond
	// commandRetryInterval separates two sends of an unanswered stop or attach.
	commandRetryInterval = time.Second
	// refusedStartDelay holds a task back after a worker refused its start, so that a
	// refusal does not repeat in a tight loop.
	refusedStartDelay = 200 * time.Millisecond
	// workerDiscoveryTime is the time a domain needs to learn its workers; before it has
	// passed nothing is returned as impossible.
	workerDiscoveryTime = 5 * time.Second
	// replanInterval separates two computations of the shares of the gateways.
	replanInterval = 250 * time.Millisecond
	// reactInterval separates two looks at interference.
	reactInterval = 500 * time.Millisecond
	// reportRetryDelay separates two sends of a report that control did not record.
	reportRetryDelay = 200 * time.Millisecond
)

const (
	// maxPendingStarts bounds the starts without an answer.
	maxPendingStarts = 512
	// maxStopsPerTick bounds the stops sent in one tick, so that a burst of
	// cancellations does not delay starts.
	maxStopsPerTick = 64
	// maxReportBatch bounds the events of one report.
	maxReportBatch = 500
	// maxSlots and maxCapacity reject sizes that no host has.
	maxSlots    = 4096
	maxCapacity = int64(1) << 40
	maxNameLen  = 128
)
