package dispatch

import (
	"slices"

	"geraniumwall/jobs"
)

// handleFinished writes the ends that a worker lists to the log. The worker may forget
// them once all are recorded. It stops at an end that has to wait, since the worker
// forgets ends in their order; the next list has it again.
func (d *Dispatcher) handleFinished(w *worker, ends []FinishedTask) {
	unrecorded, highest := 0, w.lastAcked
	onRecorded := func() {
		unrecorded--
		if unrecorded == 0 {
			w.lastAcked = max(w.lastAcked, highest)
		}
	}
	for i := range ends {
		f := &ends[i]
		if f.Number <= w.lastAcked {
			continue
		}
		a := w.attempts[f.Task]
		current := a != nil && a.number == f.Attempt
		if current && a.endProposed || !current && d.mustDeferLateEnd(f) {
			return
		}
		highest = max(highest, f.Number)
		switch {
		case current:
			unrecorded++
			d.updateHealth(w, a, f.Outcome)
			d.proposeEnd(a, f.Outcome, f.Checkpoint, onRecorded)
		case d.lateEndApplies(f):
			unrecorded++
			d.proposeLateEnd(w, f, onRecorded)
		}
	}
	if unrecorded == 0 {
		w.lastAcked = highest
	}
}

// lateEndApplies reports whether the end of an attempt that was given up before may
// change what is known of the task.
func (d *Dispatcher) lateEndApplies(f *FinishedTask) bool {
	j := d.store.Job(f.Task.Job)
	if j == nil || f.Outcome != jobs.OutcomeDone && f.Outcome != jobs.OutcomeFailed {
		return false
	}
	t := j.Task(f.Task)
	return t != nil && !t.Done && !j.Step(f.Task).LongRunning && slices.Contains(t.GivenUp, f.Attempt)
}

// mustDeferLateEnd reports whether the end of an attempt that was given up before can't
// be recorded yet: a worker must not be told that the end is known before the start
// of a newer attempt that is on its way, or the task would start after its end.
func (d *Dispatcher) mustDeferLateEnd(f *FinishedTask) bool {
	if !d.lateEndApplies(f) {
		return false
	}
	if d.proposedLateEnds[f.Task] {
		return true
	}
	a := d.currentAttempt(f.Task)
	if a == nil {
		return false
	}
	a.superseded = a.superseded || f.Outcome == jobs.OutcomeDone
	switch a.phase {
	case phaseProposed:
		return !a.superseded
	case phaseOrdered, phaseUncertain, phaseInherited:
		return true
	case phaseStarted, phaseVoid:
	}
	return false
}

// currentAttempt returns the attempt of a task that is bound or being bound.
func (d *Dispatcher) currentAttempt(key jobs.TaskKey) *attempt {
	if a := d.proposedBinds[key]; a != nil {
		return a
	}
	if a := d.orphans[key]; a != nil {
		return a
	}
	t := d.store.Job(key.Job).Task(key)
	if t.Bound == nil {
		return nil
	}
	if w := d.workers[t.Bound.Worker]; w != nil {
		return w.attempts[key]
	}
	return nil
}

// proposeLateEnd writes the end of an attempt that was given up before to the log. The
// task is not bound meanwhile.
func (d *Dispatcher) proposeLateEnd(w *worker, f *FinishedTask, onRecorded func()) {
	d.notes = append(d.notes, Note{Event: "late end", Worker: w.Worker, Task: f.Task, Attempt: f.Attempt, Detail: string(f.Outcome)})
	d.proposedLateEnds[f.Task] = true
	command := jobs.End{Task: f.Task, Attempt: f.Attempt, Outcome: f.Outcome, At: d.unixMS}
	d.commands = append(d.commands, Proposal{jobs.Command{End: &command}, func(_ jobs.Result, ok bool) {
		delete(d.proposedLateEnds, f.Task)
		d.planner.waiting[f.Task.Job] = nil
		d.planner.dirty = true
		if ok {
			onRecorded()
		}
	}})
}
