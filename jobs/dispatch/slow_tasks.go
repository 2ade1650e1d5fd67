package dispatch

import (
	"time"

	"geraniumwall/jobs"
)

const (
	// stallTimeout is the time without progress after which a task counts as stalled. It is
	// well above the time in which short and long tasks advance by one percent, the unit
	// of reported progress.
	stallTimeout = 1500 * time.Millisecond
	// stragglerFactor times the mean duration of its finished siblings, plus
	// stragglerMargin, is the elapsed time from which on a task counts as a straggler.
	stragglerFactor = 2.0
	stragglerMargin = 500 * time.Millisecond
	// maxSlowAttempts is the number of the last attempt of a task that may be moved as a
	// straggler.
	maxSlowAttempts = 3
	// slowJobsToQuarantine is the number of jobs with stragglers on a worker at the same
	// time that quarantines the worker.
	slowJobsToQuarantine = 2
)

// detectSlowTasks moves stalled tasks from a worker on which no task makes progress, and
// stragglers that would finish sooner elsewhere. It handles workers that hang or slow
// down while they report themselves healthy.
func (d *Dispatcher) detectSlowTasks(w *worker) {
	if w.Draining || w.deregistered || d.allEvacuated() {
		return
	}
	progressing, stalled := false, 0
	stragglerJobs := map[string]bool{}
	for _, a := range w.attempts {
		if !a.measurable() {
			continue
		}
		if d.now-a.progressAt < stallTimeout {
			progressing = true
		} else {
			stalled++
		}
		if d.isStraggler(a) {
			stragglerJobs[a.task.Job] = true
		}
	}
	switch {
	case stalled > 0 && !progressing:
		d.moveSlowTasks(w, "tasks make no progress", func(a *attempt) bool { return d.now-a.progressAt >= stallTimeout })
		w.health.quarantine(d.now)
	case len(stragglerJobs) > 0:
		d.moveSlowTasks(w, "tasks are slow", d.isStraggler)
		if len(stragglerJobs) >= slowJobsToQuarantine {
			w.health.quarantine(d.now)
		}
	}
}

// measurable reports whether the progress of an attempt indicates the speed of its
// worker.
func (a *attempt) measurable() bool {
	return a.phase == phaseStarted && !a.stopping && !a.endProposed && !a.step.LongRunning && !a.step.Gang &&
		a.targetPace == fullPace && a.appliedPace != 0
}

// isStraggler reports whether an attempt takes much longer than its finished siblings did
// and is expected to finish sooner if it restarts elsewhere.
func (d *Dispatcher) isStraggler(a *attempt) bool {
	if !a.measurable() || a.number > maxSlowAttempts {
		return false
	}
	elapsed := d.now - a.startedAt
	if elapsed < stragglerMargin || a.remaining(d.now) <= 2*stragglerMargin {
		// It is no straggler whatever its siblings took.
		return false
	}
	mean := d.meanSiblingDuration(a)
	if mean == 0 || float64(elapsed) < stragglerFactor*float64(mean)+float64(stragglerMargin) {
		return false
	}
	restartDuration := mean + stragglerMargin
	if a.step.Checkpointed {
		restartDuration = time.Duration(float64(mean)*float64(100-a.percent)/100) + stragglerMargin
	}
	return a.remaining(d.now) > restartDuration+stragglerMargin
}

// meanSiblingDuration returns the mean duration of the finished tasks of an attempt's
// step, or 0 if there are none.
func (d *Dispatcher) meanSiblingDuration(a *attempt) time.Duration {
	j := d.store.Job(a.task.Job)
	if j == nil {
		return 0
	}
	sum, count := int64(0), int64(0)
	for _, t := range j.StepTasks(a.task.Occurrence, a.task.Step) {
		if t.Done && t.EndedAt > t.BoundAt {
			sum += t.EndedAt - t.BoundAt
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return time.Duration(sum/count) * time.Millisecond
}

func (d *Dispatcher) moveSlowTasks(w *worker, reason string, isSlow func(*attempt) bool) {
	var keys []jobs.TaskKey
	for key, a := range w.attempts {
		if a.measurable() && isSlow(a) {
			keys = append(keys, key)
		}
	}
	for _, key := range keys {
		a := w.attempts[key]
		d.addLogEvent("moving slow task", w, a, reason)
		d.avoid(key, w.Worker)
		d.requestStop(a)
	}
}
