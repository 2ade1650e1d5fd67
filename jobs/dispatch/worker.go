package dispatch

import (
	"slices"
	"time"

	"geraniumwall/jobs"
)

// worker is one life of a worker process as this leader knows it.
type worker struct {
	Heartbeat
	// fence rises with each life, since orders for a former life under the same id
	// may still arrive.
	fence       int64
	heartbeatAt time.Duration
	// clock is the worker's clock in milliseconds as of clockAt.
	clock   int64
	clockAt time.Duration
	// leaseEnd is the highest deadline that the worker may have been sent.
	leaseEnd int64
	// fenceConfirmed is set once the worker has answered under this leader's fence, from
	// when on orders of earlier leaders are void there.
	fenceConfirmed bool
	// unresponsive is set while the last order was not answered.
	unresponsive bool
	// terminated is set when this life has certainly ended.
	terminated   bool
	deregistered bool
	// lastAcked is the highest end that the worker may forget.
	lastAcked    int64
	holdInFlight bool
	nextHoldAt   time.Duration
	// nextSweepAt is the time of the next look for tasks to stop.
	nextSweepAt time.Duration
	attempts    map[jobs.TaskKey]*attempt
	// unexpected are attempts that run there without being bound there.
	unexpected map[attemptKey]*unexpectedAttempt
	health     health
	colocation colocation
}

type attemptKey struct {
	task    jobs.TaskKey
	attempt int
}

type unexpectedAttempt struct {
	charge     jobs.Resources
	nextStopAt time.Duration
	listedAt   time.Duration
}

func newWorker(h Heartbeat, fence int64, now time.Duration) *worker {
	w := &worker{
		Heartbeat: h, fence: fence, heartbeatAt: now,
		attempts: map[jobs.TaskKey]*attempt{}, unexpected: map[attemptKey]*unexpectedAttempt{},
	}
	w.updateClock(h.Clock, now)
	return w
}

func (w *worker) incarnation() jobs.Incarnation {
	return jobs.Incarnation{Worker: w.Worker, Born: w.Born}
}

func (w *worker) address() Address { return Address{w.Worker, w.HostPort, w.Zone} }

// rack is the label that names the worker's rack; the first one is its kind.
func (w *worker) rack() string {
	if len(w.Labels) < 2 {
		return ""
	}
	return w.Labels[1]
}

// updateClock takes in a reading of the worker's clock. The worker read it before now,
// so the estimate never runs ahead of the clock.
func (w *worker) updateClock(clock int64, now time.Duration) {
	if clock > 0 && clock >= w.minClock(now) {
		w.clock, w.clockAt = clock, now
	}
}

// minClock is the least that the worker's clock may show, or may have shown before
// its last reading.
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

// leaseExpired reports whether everything that this leader ordered to run there has
// certainly been ended by the lease.
func (w *worker) leaseExpired(now time.Duration) bool {
	return w.minClock(now) > w.leaseEnd+leaseMargin.Milliseconds()
}

// leaseDeadline is the lease end for an order that is sent now.
func (w *worker) leaseDeadline(now time.Duration, lease time.Duration) int64 {
	return w.minClock(now) + lease.Milliseconds()
}

// free is the capacity that nothing bound or running there takes.
func (w *worker) free() jobs.Resources {
	left := w.Capacity
	for _, a := range w.attempts {
		left = left.Sub(a.charge)
	}
	for _, s := range w.unexpected {
		left = left.Sub(s.charge)
	}
	return left
}

// usable reports whether the worker may get new tasks.
func (w *worker) usable(now, heartbeatTimeout time.Duration) bool {
	return w.fenceConfirmed && !w.terminated && !w.deregistered && !w.unresponsive && !w.Draining &&
		now-w.heartbeatAt < heartbeatTimeout && !w.health.quarantined(now)
}

func (w *worker) hasLabel(label string) bool { return label == "" || slices.Contains(w.Labels, label) }
