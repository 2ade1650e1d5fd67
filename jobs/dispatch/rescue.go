package dispatch

import (
	"time"

	"geraniumwall/jobs"
)

const (
	// standstill is the time without progress after which a task counts as stuck.
	// Progress comes in whole percents, so short and long tasks show it well before.
	standstill = 1500 * time.Millisecond
	// stragglerFactor times the mean duration of the finished tasks of its step is
	// the elapsed time from which on a task counts as a straggler.
	stragglerFactor = 2.0
	stragglerMargin = 500 * time.Millisecond
	// rescueAttempts bounds the attempts of a task that are given up for slowness.
	rescueAttempts = 3
	// slowJobs is the number of jobs with stragglers on a worker at a time from which
	// on it gets no new tasks for a while.
	slowJobs = 2
)

// rescue stops tasks that stand still on a worker on which nothing moves, and
// stragglers that would be done sooner elsewhere. It answers workers that hang or
// turn slow while they report to be healthy.
func (d *Dispatcher) rescue(w *worker) {
	if w.Draining || w.deregistered {
		return
	}
	moving, stuck := false, 0
	slow := map[string]bool{}
	for _, a := range w.attempts {
		if !a.measurable() {
			continue
		}
		if d.now-a.progressAt < standstill {
			moving = true
		} else {
			stuck++
		}
		if d.straggles(a) {
			slow[a.task.Job] = true
		}
	}
	switch {
	case stuck > 0 && !moving:
		d.giveUpSlow(w, "tasks stand still", func(a *attempt) bool { return d.now-a.progressAt >= standstill })
		w.health.quarantine(d.now)
	case len(slow) > 0:
		d.giveUpSlow(w, "tasks are slow", d.straggles)
		if len(slow) >= slowJobs {
			w.health.quarantine(d.now)
		}
	}
}

// measurable reports whether the progress of an attempt says something about its
// worker.
func (a *attempt) measurable() bool {
	return a.phase == phaseStarted && !a.stopping && !a.endProposed && !a.step.LongRunning && !a.step.Gang &&
		a.targetPace == fullPace && a.appliedPace != 0
}

// straggles reports whether an attempt takes much longer than its siblings did and
// would probably be done sooner if it began again.
func (d *Dispatcher) straggles(a *attempt) bool {
	if !a.measurable() || a.number > rescueAttempts {
		return false
	}
	mean := d.siblingMean(a)
	elapsed := d.now - a.startedAt
	if mean == 0 || float64(elapsed) < stragglerFactor*float64(mean)+float64(stragglerMargin) {
		return false
	}
	again := mean + stragglerMargin
	if a.step.Checkpointed {
		again = time.Duration(float64(mean)*float64(100-a.percent)/100) + stragglerMargin
	}
	return a.remaining(d.now) > again+stragglerMargin
}

// siblingMean is the mean duration of the finished tasks of an attempt's step, 0
// if there are none.
func (d *Dispatcher) siblingMean(a *attempt) time.Duration {
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

func (d *Dispatcher) giveUpSlow(w *worker, why string, slow func(*attempt) bool) {
	var keys []jobs.TaskKey
	for key, a := range w.attempts {
		if a.measurable() && slow(a) {
			keys = append(keys, key)
		}
	}
	for _, key := range keys {
		a := w.attempts[key]
		d.addNote("slow task is moved", w, a, why)
		d.avoid(key, w.Worker)
		a.stopping = true
	}
}
