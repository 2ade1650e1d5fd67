package dispatch

import (
	"fmt"
	"time"

	"geraniumwall/jobs"
)

// expiredWindow is the time after the end of an attempt with the lease of its worker in
// which the return of the worker as a new incarnation shows that it had crashed by then.
// A worker is back within some seconds; one that returns later may have crashed since.
const expiredWindow = 8 * time.Second

// mayHaveStarted reports whether the worker may have started the attempt.
func (a *attempt) mayHaveStarted() bool {
	return a.phase != phaseProposed && a.phase != phaseVoid && !a.unstarted
}

// confirmStart marks an attempt that its worker lists as started.
func (a *attempt) confirmStart(now time.Duration) {
	switch a.phase {
	case phaseInherited, phaseOrdered, phaseUncertain:
		a.setPhase(phaseStarted, now)
		a.crashed, a.sole, a.unstarted = false, false, false
	case phaseProposed, phaseStarted, phaseVoid:
	}
}

// lossOutcome returns the outcome of an attempt that no longer runs and whose worker does
// not list its end.
func (a *attempt) lossOutcome() jobs.Outcome {
	if a.crashed {
		return jobs.OutcomeCrashed
	}
	return jobs.OutcomeLost
}

// runsSingleAttempt reports whether at most one attempt may run on the worker.
func (w *worker) runsSingleAttempt() bool {
	count := len(w.unexpected)
	for _, a := range w.attempts {
		count += boolToInt(a.mayHaveStarted())
	}
	return count <= 1
}

// markReplaced marks the attempts on an incarnation after another process has answered
// in its place. An incarnation whose start time is not known yet is the same process as
// the one that tells it.
func (d *Dispatcher) markReplaced(w *worker) {
	if w.terminated || w.Draining || w.deregistered || w.StartedAtMS == 0 {
		return
	}
	if d.markCrash(w) == 0 {
		d.addLogEvent("worker crashed", w, nil, "tasks: 0")
	}
}

// markCrash marks the attempts on an incarnation whose process has ended. It returns
// their number, which is 0 for a worker that was about to leave.
func (d *Dispatcher) markCrash(w *worker) int {
	if w.Draining || w.deregistered {
		return 0
	}
	var lost []*attempt
	single := w.runsSingleAttempt()
	for _, a := range w.attempts {
		if a.mayHaveStarted() && !a.crashed && !a.boundAfter(w) {
			a.sole = single && a.phase == phaseStarted
			lost = append(lost, a)
		}
	}
	d.setCrashed(w, lost)
	return len(lost)
}

// boundAfter reports whether the log has bound the attempt to a later incarnation than the
// given one. A leader knows an earlier one if the log has no registration of the later one.
func (a *attempt) boundAfter(w *worker) bool {
	on := a.record.BoundTo
	return on != nil && on.Worker == w.Worker && on.StartedAtMS > w.StartedAtMS
}

func (d *Dispatcher) setCrashed(w *worker, lost []*attempt) {
	for _, a := range lost {
		a.crashed = true
	}
	if len(lost) > 0 {
		d.addLogEvent("worker crashed", w, nil, fmt.Sprintf("tasks: %d", len(lost)))
	}
}

// markCrashedOrphans marks the orphans that were bound to an earlier incarnation of a
// worker than the one that reports now. An earlier incarnation that was draining, or
// whose registration is deleted, has left.
func (d *Dispatcher) markCrashedOrphans(w *worker) {
	registered := d.store.Worker(w.Worker)
	if registered == nil {
		return
	}
	var lost []*attempt
	for _, key := range d.orphansOf[w.Worker] {
		a := d.orphans[key]
		if a == nil {
			continue
		}
		t := d.currentTask(a)
		if t == nil || t.BoundTo.StartedAtMS >= w.StartedAtMS || registered.Incarnation == *t.BoundTo && registered.Draining {
			continue
		}
		lost = append(lost, a)
	}
	d.setCrashed(w, lost)
}

// voidRejectedStart marks an attempt whose start was rejected by another process at the
// address of its worker.
func (d *Dispatcher) voidRejectedStart(w *worker, r *Reply) {
	if r.Order.Start == nil {
		return
	}
	a := w.attempts[r.Order.Start.Task]
	if a != nil && a.number == r.Order.Start.Attempt && a.awaitsReply(r) {
		a.setPhase(phaseVoid, d.now)
	}
}

// settleExpired records what became of the workers whose attempts ended with their lease:
// they are back as a new incarnation, and so had crashed, or answer again.
func (d *Dispatcher) settleExpired() {
	var byAddress map[string]*worker
	d.store.ExpiredTasks(func(t *jobs.Task) {
		if d.proposedLateEnds[t.Key] || d.store.Job(t.Key.Job).State.Ended() {
			return
		}
		if byAddress == nil {
			byAddress = d.workersByAddress()
		}
		for i := range t.ExpiredAttempts {
			e := &t.ExpiredAttempts[i]
			if outcome := d.expiredOutcome(e, byAddress); outcome != "" {
				d.proposeExpired(t.Key, e, outcome)
				return
			}
		}
	})
}

// workersByAddress returns the newest worker at each address.
func (d *Dispatcher) workersByAddress() map[string]*worker {
	newest := map[string]*worker{}
	for _, w := range d.workers {
		if other := newest[w.HostPort]; other == nil || w.StartedAtMS > other.StartedAtMS {
			newest[w.HostPort] = w
		}
	}
	return newest
}

// expiredOutcome returns OutcomeCrashed if the worker of an expired attempt has crashed,
// OutcomeLeaseExpired if it has not or this can't be told any more, or "" while it is
// unknown.
func (d *Dispatcher) expiredOutcome(e *jobs.ExpiredAttempt, byAddress map[string]*worker) jobs.Outcome {
	w := d.workers[e.On.Worker]
	if w != nil && w.StartedAtMS == e.On.StartedAtMS && w.answeredAtMS > e.EndedAt {
		return jobs.OutcomeLeaseExpired
	}
	if w == nil || w.StartedAtMS <= e.On.StartedAtMS {
		w = byAddress[e.HostPort]
	}
	switch {
	case d.unixMS-e.EndedAt > expiredWindow.Milliseconds():
		return jobs.OutcomeLeaseExpired
	case w != nil && w.StartedAtMS > e.On.StartedAtMS:
		return jobs.OutcomeCrashed
	}
	return ""
}

// proposeExpired proposes what became of the worker of an expired attempt. The task is
// not bound until it is committed.
func (d *Dispatcher) proposeExpired(key jobs.TaskKey, e *jobs.ExpiredAttempt, outcome jobs.Outcome) {
	if outcome == jobs.OutcomeCrashed {
		d.logEvents = append(d.logEvents, LogEvent{Event: "late end", Worker: e.On.Worker, Task: key, Attempt: e.Attempt, Detail: string(outcome)})
	}
	d.proposedLateEnds[key] = true
	command := jobs.End{Task: key, Attempt: e.Attempt, Outcome: outcome, At: d.unixMS}
	d.propose(jobs.Command{End: &command}, func(_ jobs.Result, ok bool) {
		delete(d.proposedLateEnds, key)
		d.planner.waiting[key.Job] = nil
		d.planner.dirty = true
		if !ok {
			return
		}
		if j := d.store.Job(key.Job); j != nil {
			d.updateSuspicion(j.Task(key))
		}
		d.handleCrashRecorded(&command)
	})
}

// updateSuspicion updates the current attempt of a task.
func (d *Dispatcher) updateSuspicion(t *jobs.Task) {
	if a := d.currentAttempt(t.Key); a != nil {
		a.setSuspicion(suspicion(t))
	}
}

// handleCrashRecorded follows up the end of an attempt after the log has counted a crash.
func (d *Dispatcher) handleCrashRecorded(c *jobs.End) {
	j := d.store.Job(c.Task.Job)
	if c.Outcome != jobs.OutcomeCrashed || j == nil {
		return
	}
	t := j.Task(c.Task)
	if j.State == jobs.Failed && j.EndedAt == c.At {
		detail := fmt.Sprintf("%d workers have crashed under the task", t.Crashes)
		d.addLogEvent("job given up", nil, &attempt{task: c.Task, number: c.Attempt}, detail)
	}
}
