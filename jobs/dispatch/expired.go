package dispatch

import (
	"time"

	"geraniumwall/jobs"
)

// lapse is an attempt of a short task that was given up since the lease of its worker had
// expired. It runs no more, but it may have ended before: the worker keeps such an end, and
// a lease holds only what still runs.
type lapse struct {
	on jobs.Incarnation
	// recordedAt is when this leader learned that the log has recorded it.
	recordedAt time.Duration
}

// inheritLapses lets the short tasks that an earlier leader has given up wait for the lists
// of their workers.
func (d *Dispatcher) inheritLapses() {
	d.store.ExpiredTasks(func(t *jobs.Task) {
		if latest := t.ExpiredAttempts[len(t.ExpiredAttempts)-1]; latest.Attempt == t.Attempt {
			d.planner.lapses[t.Key] = lapse{latest.On, d.now}
		}
	})
}

// markLapsed notes that an attempt is given up with the lease of its worker.
func (d *Dispatcher) markLapsed(a *attempt) {
	if t := d.currentTask(a); t != nil && !a.step.LongRunning {
		a.lapsedOn = *t.BoundTo
	}
}

// awaitsList reports whether a task has to wait for the list of the worker of its last
// attempt. A worker in contact is waited for until it has listed its ends, for expiredWindow
// at most, and a silent one for as long as a worker needs to report after a cut.
func (d *Dispatcher) awaitsList(key jobs.TaskKey) bool {
	l, known := d.planner.lapses[key]
	if !known {
		return false
	}
	elapsed, w := d.now-l.recordedAt, d.workers[l.on.Worker]
	if w == nil {
		return elapsed < d.reportWait()
	}
	switch {
	case elapsed >= expiredWindow, w.listedAt > l.recordedAt, w.deregistered, w.refusesConnections:
		return false
	case l.on.StartedAtMS != 0 && w.incarnation() != l.on:
		return false
	case w.heartbeatAt > l.recordedAt:
		return true
	}
	return elapsed < d.reportWait()
}

// reportWait returns how long a worker that is back in contact takes to report itself.
func (d *Dispatcher) reportWait() time.Duration {
	return d.options.HeartbeatInterval + heartbeatRetryTime
}
