package dispatch

import (
	"slices"

	"geraniumwall/jobs"
)

// shortlist ranks the workers for the waiting tasks of one step. Between two tasks
// only the worker that was chosen last changes, so the others are rated once.
type shortlist struct {
	made    bool
	entries []shortlisted
	// chosen is the entry of the last choice, -1 for none.
	chosen int
}

type shortlisted struct {
	r     *room
	score float64
}

// chooseFor returns the best worker for one of the waiting tasks of a step, or nil
// if none has room.
func (d *Dispatcher) chooseFor(wj *waitingJob, step *jobs.Step, t *jobs.Task, rooms []*room, list *shortlist) *room {
	if step.TailTarget > 0 || d.avoids(t.Key) {
		// The rating depends on the task itself, or on all workers.
		list.made = false
		return d.choose(wj, step, t, rooms, nil)
	}
	if !list.made {
		*list = shortlist{made: true, entries: list.entries[:0], chosen: -1}
		for _, r := range rooms {
			if d.eligible(wj, step, t, r, nil) {
				list.entries = append(list.entries, shortlisted{r, d.score(step, t, r)})
			}
		}
	}
	if list.chosen >= 0 {
		d.rateAgain(wj, step, t, list)
	}
	return list.best()
}

// rateAgain rates the worker that was chosen last, or removes it.
func (d *Dispatcher) rateAgain(wj *waitingJob, step *jobs.Step, t *jobs.Task, list *shortlist) {
	e := &list.entries[list.chosen]
	if d.eligible(wj, step, t, e.r, nil) {
		e.score = d.score(step, t, e.r)
		return
	}
	list.entries = slices.Delete(list.entries, list.chosen, list.chosen+1)
}

// best returns the first of the workers with the highest score.
func (l *shortlist) best() *room {
	l.chosen = -1
	for i := range l.entries {
		if l.chosen < 0 || l.entries[i].score > l.entries[l.chosen].score {
			l.chosen = i
		}
	}
	if l.chosen < 0 {
		return nil
	}
	return l.entries[l.chosen].r
}

// choose returns the best worker for a task, or nil if none has room.
func (d *Dispatcher) choose(wj *waitingJob, step *jobs.Step, t *jobs.Task, rooms []*room, gang map[*room]int) *room {
	var best *room
	var bestScore float64
	for _, r := range rooms {
		if !d.eligible(wj, step, t, r, gang) {
			continue
		}
		score := d.score(step, t, r)
		if best == nil || score > bestScore {
			best, bestScore = r, score
		}
	}
	return best
}

// eligible reports whether a worker may take a task and has room for it.
func (d *Dispatcher) eligible(wj *waitingJob, step *jobs.Step, t *jobs.Task, r *room, gang map[*room]int) bool {
	if r.w.Service != wj.service || !r.open(step, t.Key) || r.starts >= startsPerWorker || !r.w.hasLabel(step.RequiredLabel) ||
		!step.Charge().Fits(r.free) || !d.apart(t, step, r, gang) {
		return false
	}
	return !step.Filler || !r.crowded(step) && r.w.sharing.highSince == 0 && !d.disturbs(step, r)
}

// apart reports whether the bound on tasks of a step on one worker permits one
// more.
func (d *Dispatcher) apart(t *jobs.Task, step *jobs.Step, r *room, gang map[*room]int) bool {
	if step.MaxPerWorker == 0 {
		return true
	}
	return gang[r]+countStep(r.w, t.Key) < step.MaxPerWorker
}

// countStep counts the tasks of a task's step on a worker.
func countStep(w *worker, key jobs.TaskKey) int {
	count := 0
	for other := range w.attempts {
		count += bit(stepOf(other) == stepOf(key))
	}
	for other := range w.unexpected {
		count += bit(stepOf(other.task) == stepOf(key))
	}
	return count
}
