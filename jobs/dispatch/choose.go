package dispatch

import (
	"slices"

	"geraniumwall/jobs"
)

// shortlist holds the scores of the eligible workers for the waiting tasks of one step.
// Between two tasks only the worker that was chosen last changes, so all others are
// scored once.
type shortlist struct {
	built   bool
	entries []shortlistEntry
	// chosen is the entry of the last choice, -1 for none.
	chosen int
}

type shortlistEntry struct {
	candidate *candidate
	score     float64
}

// chooseFromShortlist returns the best worker for one of the waiting tasks of a step, or
// nil if none is eligible.
func (d *Dispatcher) chooseFromShortlist(wj *waitingJob, step *jobs.Step, t *jobs.Task, candidates []*candidate, list *shortlist) *candidate {
	if step.LatencyTargetMS > 0 || t.Crashes > 0 || d.hasAvoidance(t.Key) {
		// The score depends on the task itself, or on all workers.
		list.built = false
		return d.choose(wj, step, t, candidates, nil)
	}
	if !list.built {
		*list = shortlist{built: true, entries: list.entries[:0], chosen: -1}
		request := step.ReservedResources()
		for _, c := range candidates {
			if c.hasRoom(step, &request) && d.accepts(wj, step, t, c, nil) {
				list.entries = append(list.entries, shortlistEntry{c, d.score(step, t, c)})
			}
		}
	}
	if list.chosen >= 0 {
		d.rescoreChosen(wj, step, t, list)
	}
	return list.best()
}

// rescoreChosen updates the score of the worker that was chosen last, or removes it if it
// is no longer eligible.
func (d *Dispatcher) rescoreChosen(wj *waitingJob, step *jobs.Step, t *jobs.Task, list *shortlist) {
	e := &list.entries[list.chosen]
	if d.eligible(wj, step, t, e.candidate, nil) {
		e.score = d.score(step, t, e.candidate)
		return
	}
	list.entries = slices.Delete(list.entries, list.chosen, list.chosen+1)
}

// best returns the first worker with the highest score, or nil.
func (l *shortlist) best() *candidate {
	l.chosen = -1
	for i := range l.entries {
		if l.chosen < 0 || l.entries[i].score > l.entries[l.chosen].score {
			l.chosen = i
		}
	}
	if l.chosen < 0 {
		return nil
	}
	return l.entries[l.chosen].candidate
}

// choose returns the eligible worker with the highest score, or nil. gangCounts holds the
// tasks of the same gang that are already assigned to each worker.
func (d *Dispatcher) choose(wj *waitingJob, step *jobs.Step, t *jobs.Task, candidates []*candidate, gangCounts map[*candidate]int) *candidate {
	var best *candidate
	var bestScore float64
	request := step.ReservedResources()
	d.activity.examined += len(candidates)
	for _, c := range candidates {
		if !c.hasRoom(step, &request) || !d.accepts(wj, step, t, c, gangCounts) {
			continue
		}
		score := d.score(step, t, c)
		if best == nil || score > bestScore {
			best, bestScore = c, score
		}
	}
	return best
}

// eligible reports whether a worker may run a task and has enough free capacity.
func (d *Dispatcher) eligible(wj *waitingJob, step *jobs.Step, t *jobs.Task, c *candidate, gangCounts map[*candidate]int) bool {
	request := step.ReservedResources()
	return c.hasRoom(step, &request) && d.accepts(wj, step, t, c, gangCounts)
}

// hasRoom reports whether a worker has the free capacity for a task that reserves the
// given resources. It is examined first, since most workers of a full fleet have none.
func (c *candidate) hasRoom(step *jobs.Step, request *jobs.Resources) bool {
	return request.FitsIn(c.free) && (!step.Filler || !c.lacksResources(step))
}

// accepts reports whether a worker with enough free capacity may run a task.
func (d *Dispatcher) accepts(wj *waitingJob, step *jobs.Step, t *jobs.Task, c *candidate, gangCounts map[*candidate]int) bool {
	if c.worker.Service != wj.service || c.isolated && !wj.besideIsolated || !c.admits(step, t.Key) || c.keeps(step, t) ||
		c.pendingStarts >= maxPendingStarts || !c.worker.hasLabel(step.RequiredLabel) || !d.withinStepLimit(t, step, c, gangCounts) {
		return false
	}
	return !step.Filler || c.worker.colocation.tailHighSince == 0 && !d.exceedsHeadroom(step, c)
}

// withinStepLimit reports whether the worker may run one more task of the step under
// MaxPerWorker.
func (d *Dispatcher) withinStepLimit(t *jobs.Task, step *jobs.Step, c *candidate, gangCounts map[*candidate]int) bool {
	if step.MaxPerWorker == 0 {
		return true
	}
	return gangCounts[c]+countStep(c.worker, t.Key) < step.MaxPerWorker
}

// countStep returns the number of tasks of the key's step on a worker, for a step with
// MaxPerWorker.
func countStep(w *worker, key jobs.TaskKey) int {
	count := w.currentLoad().countStep(stepKey(key))
	for other := range w.unexpected {
		count += boolToInt(stepKey(other.task) == stepKey(key))
	}
	return count
}
