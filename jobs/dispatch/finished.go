package dispatch

import (
	"fmt"
	"slices"
	"time"

	"geraniumwall/jobs"
)

// handleFinished proposes the ends of the attempts that a worker lists as finished. The
// worker discards ends in order, up to the number that is acknowledged. So no end at or
// behind one that cannot be recorded yet is acknowledged; the next list repeats them.
func (d *Dispatcher) handleFinished(w *worker, ends []FinishedTask) {
	w.confirmStarts(ends, d.now)
	ack := acknowledgement{dispatcher: d, worker: w, ends: ends, highest: w.lastAcked}
	for i := range ends {
		f := &ends[i]
		if f.unreadable() {
			ack.closed = true
			continue
		}
		if f.Number <= w.lastAcked {
			continue
		}
		d.noteStart(f.Task, f.Attempt)
		a := d.listedAttempt(w, f.Task, f.Attempt)
		switch {
		case a != nil && a.endProposed, a == nil && d.mustDeferEnd(f):
			ack.closed = true
		case a != nil:
			d.updateHealth(w, a, f.Outcome)
			a.over = certainty{basis: basisListed, end: f.Number}
			d.proposeEnd(a, f.Outcome, f.Checkpoint, ack.expect(f.Number))
		case d.lateEndApplies(f):
			d.proposeLateEnd(w, f, ack.expect(f.Number))
		default:
			ack.include(f.Number)
		}
	}
	ack.advance()
}

// observeUnreadableEnds notes whether only rows of the list of ends cannot be read and
// returns their number. The next hold waits, since the worker answers it at once.
func (d *Dispatcher) observeUnreadableEnds(w *worker, r *Reply) int {
	unreadable := 0
	for i := range r.Finished {
		unreadable += boolToInt(r.Finished[i].unreadable())
	}
	onlyEnds := unreadable > 0 && r.Malformed == unreadable
	switch {
	case !onlyEnds && w.endsUnreadableSince != 0:
		d.addLogEvent("list of ends can be read again", w, nil, "")
		w.endsUnreadableSince = 0
		d.planner.dirty = true
	case onlyEnds && w.endsUnreadableSince == 0:
		d.addLogEvent("list of ends has unreadable rows", w, nil, fmt.Sprintf("rows: %d", unreadable))
		w.endsUnreadableSince = d.now
	}
	if unreadable > 0 {
		w.nextHoldAt = d.now + holdRetryDelay
	}
	return unreadable
}

// listedAttempt returns an attempt that a worker lists, or nil if it is not bound to the
// worker. It tracks one that only the log knows: the audit may come after the worker has
// discarded its end.
func (d *Dispatcher) listedAttempt(w *worker, key jobs.TaskKey, number int) *attempt {
	if a := w.attempts[key]; a != nil && a.number == number {
		return a
	}
	t := d.boundTask(key, number)
	if t == nil || t.BoundTo.Worker != w.Worker || d.orphans[key] != nil {
		return nil
	}
	a := d.adopt(w, t)
	a.confirmStart(d.now)
	return a
}

// boundTask returns the task of an attempt that the log has bound, or nil.
func (d *Dispatcher) boundTask(key jobs.TaskKey, number int) *jobs.Task {
	j := d.store.Job(key.Job)
	if j == nil {
		return nil
	}
	t := j.Task(key)
	if t == nil || t.BoundTo == nil || t.Attempt != number {
		return nil
	}
	return t
}

// mustDeferEnd reports whether the end of an attempt that is not bound to the worker that
// lists it must not be acknowledged yet.
func (d *Dispatcher) mustDeferEnd(f *FinishedTask) bool {
	return d.boundTask(f.Task, f.Attempt) != nil || d.mustDeferLateEnd(f)
}

// acknowledgement collects the ends of one list that a worker may discard once all of them
// are recorded. It is closed by the first end that cannot be recorded yet.
type acknowledgement struct {
	dispatcher *Dispatcher
	worker     *worker
	// ends is the list.
	ends       []FinishedTask
	highest    int64
	unrecorded int
	closed     bool
}

// include adds an end that need not be recorded.
func (a *acknowledgement) include(number int64) {
	if !a.closed {
		a.highest = max(a.highest, number)
	}
}

// expect adds an end and returns the function to call once it is recorded.
func (a *acknowledgement) expect(number int64) (onRecorded func()) {
	if a.closed {
		return func() {}
	}
	a.include(number)
	a.unrecorded++
	return func() {
		a.unrecorded--
		a.advance()
	}
}

// advance acknowledges the ends unless some of them are not recorded yet.
func (a *acknowledgement) advance() {
	if a.unrecorded > 0 || a.highest <= a.worker.lastAcked {
		return
	}
	for i := range a.ends {
		if f := &a.ends[i]; f.Number > a.worker.lastAcked && f.Number <= a.highest {
			a.dispatcher.acknowledgeEnd(a.worker, f)
		}
	}
	a.worker.lastAcked = a.highest
}

// confirmStarts marks the listed attempts as started, so that their starts are not taken
// to be in flight.
func (w *worker) confirmStarts(ends []FinishedTask, now time.Duration) {
	for i := range ends {
		if a := w.attempts[ends[i].Task]; a != nil && a.number == ends[i].Attempt {
			a.confirmStart(now)
		}
	}
}

// lateEndApplies reports whether the end of an attempt that was already abandoned can
// still change the state of its task.
func (d *Dispatcher) lateEndApplies(f *FinishedTask) bool {
	j := d.store.Job(f.Task.Job)
	if j == nil || f.Outcome != jobs.OutcomeDone && f.Outcome != jobs.OutcomeFailed {
		return false
	}
	t := j.Task(f.Task)
	return t != nil && !t.Done && !j.Step(f.Task).LongRunning && slices.Contains(t.AbandonedAttempts, f.Attempt)
}

// mustDeferLateEnd reports whether the end of an attempt that was already abandoned
// cannot be recorded yet. While the start of a newer attempt is in flight, the end must
// not be acknowledged to the worker, or the task could start after its end. A success
// marks the newer attempt as superseded.
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

// currentAttempt returns the attempt of a task that is bound or proposed, or nil.
func (d *Dispatcher) currentAttempt(key jobs.TaskKey) *attempt {
	if a := d.proposedBinds[key]; a != nil {
		return a
	}
	if a := d.orphans[key]; a != nil {
		return a
	}
	t := d.store.Job(key.Job).Task(key)
	if t.BoundTo == nil {
		return nil
	}
	if w := d.workers[t.BoundTo.Worker]; w != nil {
		return w.attempts[key]
	}
	return nil
}

// proposeLateEnd proposes the end of an attempt that was already abandoned. The task is
// not bound until the end is committed.
func (d *Dispatcher) proposeLateEnd(w *worker, f *FinishedTask, onRecorded func()) {
	d.logEvents = append(d.logEvents, LogEvent{Event: "late end", Worker: w.Worker, Task: f.Task, Attempt: f.Attempt, Detail: string(f.Outcome)})
	d.proposedLateEnds[f.Task] = true
	d.traceListed(attemptEnded, w, f, basisListedLate)
	d.checkLateEnd(w, f)
	command := jobs.End{Task: f.Task, Attempt: f.Attempt, Outcome: f.Outcome, At: d.unixMS}
	d.propose(jobs.Command{End: &command}, func(_ jobs.Result, ok bool) {
		delete(d.proposedLateEnds, f.Task)
		d.planner.waiting[f.Task.Job] = nil
		d.planner.dirty = true
		if ok {
			onRecorded()
		}
	})
}
