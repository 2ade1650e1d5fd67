package dispatch

import (
	"time"

	"geraniumwall/jobs"
)

// awaitsList reports whether a short task has to wait for the list of a worker on which its
// lease has expired. The attempt runs no more, but it may have ended before: the worker keeps
// such an end, and a lease holds only what still runs.
func (d *Dispatcher) awaitsList(t *jobs.Task) bool {
	for i := range t.ExpiredAttempts {
		if d.mayStillList(t.Key, &t.ExpiredAttempts[i]) {
			return true
		}
	}
	return false
}

// mayStillList reports whether a worker is expected to list the end of an expired attempt
// soon. A worker in contact is waited for until it has answered or settleExpired gives up; a
// silent one for as long as a worker needs to report after a cut, unless something else on it
// must have run into the end of the lease.
func (d *Dispatcher) mayStillList(key jobs.TaskKey, e *jobs.ExpiredAttempt) bool {
	w := d.workers[e.On.Worker]
	if w != nil {
		switch {
		case w.incarnation() != e.On, w.terminated, w.deregistered, w.refusesConnections, w.answeredAtMS > e.EndedAt:
			return false
		case d.unixMS-(d.now-w.heartbeatAt).Milliseconds() > e.EndedAt:
			return true
		}
	}
	return !d.planner.certainLapses[key] && d.unixMS-e.EndedAt < d.reportWait().Milliseconds()
}

// reportWait returns how long a worker that is back in contact takes to report itself.
func (d *Dispatcher) reportWait() time.Duration {
	return d.options.HeartbeatInterval + heartbeatRetryTime
}

// noteCertainLapses notes the short tasks of a worker whose lease has expired if a
// long-running one was at work there: it did not end before the lease.
func (d *Dispatcher) noteCertainLapses(w *worker) {
	lasting := false
	for _, a := range w.attempts {
		lasting = lasting || a.step.LongRunning && a.phase == phaseStarted
	}
	if !lasting {
		return
	}
	for key, a := range w.attempts {
		if !a.step.LongRunning {
			d.planner.certainLapses[key] = true
		}
	}
}
