package dispatch

import (
	"slices"
	"time"

	"geraniumwall/jobs"
)

// worker is this leader's view of one incarnation of a worker process.
type worker struct {
	Heartbeat
	// fence is the fencing token of the orders to this incarnation. It increases with
	// each incarnation, since orders for an earlier one of the same id may still arrive.
	fence       int64
	heartbeatAt time.Duration
	// coldSpan is the longest ColdLeft that the incarnation has reported.
	coldSpan time.Duration
	// reportClock is a reading of the worker's clock that is not older than the known
	// heartbeat, unknownClock if there is none. A heartbeat beyond it is newer whatever its
	// sequence.
	reportClock int64
	// identityClaim is the last heartbeat that was ignored for its service, domain or labels.
	identityClaim *Heartbeat
	// answerClock is the reading in an answer of this incarnation to an order that was sent
	// at answerSentAt, 0 if it has not answered.
	answerClock  int64
	answerSentAt time.Duration
	// reportExpiresAt is when the last report of this incarnation becomes too old for new
	// tasks, 0 if it has not reported itself yet.
	reportExpiresAt time.Duration
	// clock is the worker's clock in milliseconds, read at clockAt or earlier.
	clock   int64
	clockAt time.Duration
	// leaseEnd is the latest lease deadline that this leader has granted to the incarnation,
	// in milliseconds of the worker's clock, 0 for none.
	leaseEnd int64
	// grantsBefore is the time until which others may have granted leases: earlier leaders, or
	// this one to an earlier incarnation. A bound by the worker's clock would be too early for
	// them, since the first known reading may have been under way for seconds.
	grantsBefore time.Duration
	// fenceConfirmed is set once the worker has answered under this leader's fencing
	// token. From then on it rejects orders of earlier leaders.
	fenceConfirmed bool
	// unresponsive is set from a failed hold or a refused connection until the worker
	// answers a hold.
	unresponsive bool
	// refusesConnections is set if the address refused the connection for the last order,
	// so that no process listens there.
	refusesConnections bool
	// movedAt is when attempts were taken over from a process at another address, 0 once the
	// worker has answered at its own: until then the former process may still run them.
	movedAt time.Duration
	// startConfirmed is set once the process has told its start time in an answer.
	startConfirmed bool
	// answeredAtMS is the Unix time in milliseconds of the last answer to a hold.
	answeredAtMS int64
	// terminated is set once this incarnation is known to have ended.
	terminated   bool
	deregistered bool
	// lastAcked is the highest number of a finished attempt that the worker may discard.
	lastAcked int64
	// endsUnreadableSince is when a list of ends was first received with a row that could not
	// be read, 0 if the last one had none.
	endsUnreadableSince time.Duration
	holdInFlight        bool
	holdSentAt          time.Duration
	// listedAt is when the newest hold was sent whose answer listed all ends of the worker.
	listedAt time.Duration
	// settledHoldAt is when the newest hold was sent whose outcome is known, unreportedHolds
	// the number of holds since then whose carrier has not reported.
	settledHoldAt   time.Duration
	unreportedHolds int
	// ackPaused is set from a hold without an answer in time until the next one with one. The
	// worker may have restarted under its id meanwhile and count its ends anew.
	ackPaused  bool
	nextHoldAt time.Duration
	// nextSweepAt is the time of the next check for tasks to stop.
	nextSweepAt time.Duration
	// attempts changes through addAttempt and removeAttempt, so that load stays current.
	attempts map[jobs.TaskKey]*attempt
	load     load
	// unexpected are attempts that run on the worker without being bound to it.
	unexpected   map[attemptKey]*unexpectedAttempt
	health       health
	colocation   colocation
	registration registration
}

type attemptKey struct {
	task    jobs.TaskKey
	attempt int
}

type unexpectedAttempt struct {
	reserved   jobs.Resources
	nextStopAt time.Duration
	listedAt   time.Duration
}

func newWorker(h Heartbeat, fence int64, now time.Duration) *worker {
	w := &worker{
		fence: fence, reportClock: unknownClock,
		attempts: map[jobs.TaskKey]*attempt{}, unexpected: map[attemptKey]*unexpectedAttempt{},
	}
	w.setReport(h, now)
	w.updateClock(h.ClockMS, now)
	return w
}

func (w *worker) incarnation() jobs.Incarnation {
	return jobs.Incarnation{Worker: w.Worker, StartedAtMS: w.StartedAtMS}
}

func (w *worker) address() Address { return Address{w.Worker, w.HostPort, w.Domain} }

// rack returns the rack of the worker, which is its second label; the first one is its
// kind.
func (w *worker) rack() string {
	if len(w.Labels) < 2 {
		return ""
	}
	return w.Labels[1]
}

// updateClock records a reading of the worker's clock. The worker took it before now,
// so the estimate never runs ahead of the actual clock.
func (w *worker) updateClock(clock int64, now time.Duration) {
	if clock > 0 && clock >= w.minClock(now) {
		w.clock, w.clockAt = clock, now
	}
}

// minClock returns the lowest value that the worker's clock can have at a time, which
// may be before its last reading.
func (w *worker) minClock(at time.Duration) int64 {
	if w.clock == 0 {
		return 0
	}
	rate := slowestClockRate
	if at < w.clockAt {
		rate = fastestClockRate
	}
	elapsed := time.Duration(float64(at-w.clockAt) * rate)
	return w.clock + elapsed.Milliseconds()
}

// ageOf returns how long ago the worker's clock showed a reading at least. A worker whose
// clock is not known yet, or a report without a reading, counts as of now.
func (w *worker) ageOf(clock int64, now time.Duration) time.Duration {
	if w.clock == 0 || clock == 0 {
		return 0
	}
	return max(0, time.Duration(w.minClock(now)-clock)*time.Millisecond)
}

// ownLeaseExpired reports whether the leases that this leader has granted to the incarnation
// are certain to have expired.
func (w *worker) ownLeaseExpired(now time.Duration) bool {
	return w.minClock(now) > w.leaseEnd+leaseMargin.Milliseconds()
}

// leaseDeadline returns the lease deadline for an order that is sent now, in
// milliseconds of the worker's clock.
func (w *worker) leaseDeadline(now time.Duration, lease time.Duration) int64 {
	return w.minClock(now) + lease.Milliseconds()
}

// free returns the capacity that neither bound nor unexpected attempts occupy.
func (w *worker) free() jobs.Resources {
	left := w.Capacity.Sub(w.currentLoad().reserved)
	for _, s := range w.unexpected {
		left = left.Sub(s.reserved)
	}
	return left
}

// holdsAll reports whether all attempts on the worker fit in its capacity, including those
// that have not started yet and those that are being stopped.
func (w *worker) holdsAll() bool { return jobs.Resources{}.FitsIn(w.free()) }

// usable reports whether the worker may get new tasks.
func (w *worker) usable(now time.Duration) bool {
	return w.fenceConfirmed && !w.terminated && !w.deregistered && !w.unresponsive && !w.Draining &&
		w.reportIsFresh(now) && !w.health.quarantined(now) && !w.endsStayUnreadable(now)
}

// endsStayUnreadable reports whether the worker's list of ends has had unreadable rows for
// so long that the worker gets no new tasks and no new lease. What it does not list may have
// succeeded, so its attempts are given up with the lease only.
func (w *worker) endsStayUnreadable(now time.Duration) bool {
	return w.endsUnreadableSince != 0 && now-w.endsUnreadableSince >= unreadableEndsTimeout
}

// reportIsFresh reports whether the worker may get new tasks by its last report.
func (w *worker) reportIsFresh(now time.Duration) bool { return now < w.reportExpiresAt }

func (w *worker) hasLabel(label string) bool { return label == "" || slices.Contains(w.Labels, label) }
