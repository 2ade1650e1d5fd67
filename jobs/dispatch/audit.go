package dispatch

import (
	"fmt"
	"time"

	"geraniumwall/jobs"
)

const (
	// auditInterval is the time between two comparisons of the log with the dispatcher.
	auditInterval = 500 * time.Millisecond
	// maxReplyWait is how long an order may be without a reply. It exceeds every timeout
	// of a call by itself or through a carrier.
	maxReplyWait = 6 * time.Second
	// reportWaitAfter is how long a restart may wait before its cause is logged.
	reportWaitAfter = 3 * time.Second
)

// audit compares the tasks that the log holds with what the dispatcher tracks, and
// repairs each difference. Events keep both in step; without the comparison a lost event
// would keep a task from running until the leader changes.
func (d *Dispatcher) audit() {
	if d.now < d.nextAuditAt {
		return
	}
	d.nextAuditAt = d.now + auditInterval
	d.settleExpired()
	d.auditBound()
	d.auditWaiting()
	for _, w := range d.workers {
		d.auditWorker(w)
	}
	d.reportLongestWait()
}

// auditBound tracks bound tasks that have no attempt.
func (d *Dispatcher) auditBound() {
	d.store.BoundWorkers(func(on jobs.Incarnation, tasks map[jobs.TaskKey]*jobs.Task) {
		w := d.workers[on.Worker]
		for key, t := range tasks {
			if a := d.orphans[key]; a != nil && a.number == t.Attempt {
				continue
			}
			if w != nil && w.attempts[key] != nil && w.attempts[key].number == t.Attempt {
				continue
			}
			d.adopt(w, t)
		}
	})
}

// adopt tracks the attempt of a bound task. Its start may still be on its way, so it is
// stopped unless the worker lists it first.
func (d *Dispatcher) adopt(w *worker, t *jobs.Task) *attempt {
	a := d.newInheritedAttempt(t)
	if w == nil {
		d.orphans[t.Key] = a
		d.orphansOf[t.BoundTo.Worker] = append(d.orphansOf[t.BoundTo.Worker], t.Key)
	} else {
		a.setPhase(phaseUncertain, d.now)
		w.addAttempt(a)
		delete(w.unexpected, attemptKey{a.task, a.number})
	}
	d.addRepair("bound task was not tracked", w, a)
	return a
}

// disown stops an attempt that is not bound. It keeps its room until the worker lists it no
// more.
func (d *Dispatcher) disown(w *worker, a *attempt) {
	d.addRepair("tracked attempt is not bound", w, a)
	d.dropAttempt(a)
	w.unexpected[attemptKey{a.task, a.number}] = &unexpectedAttempt{reserved: a.reserved, listedAt: d.now}
}

// auditWaiting plans jobs with a startable task that the planner has dropped.
func (d *Dispatcher) auditWaiting() {
	d.refreshWaiting()
	for _, j := range d.store.Jobs() {
		if _, planned := d.planner.waiting[j.ID]; planned || j.State.Ended() {
			continue
		}
		if t := d.startableTask(j); t != nil {
			d.planner.waiting[j.ID] = nil
			d.planner.dirty = true
			d.addRepair("startable task was not planned", nil, &attempt{task: t.Key, number: t.Attempt})
		}
	}
}

// startableTask returns a task of the job that waits for a worker, or nil.
func (d *Dispatcher) startableTask(j *jobs.Job) *jobs.Task {
	for o := range j.Runs {
		for s := range j.Spec.Steps {
			if !j.StepReady(o, s) {
				continue
			}
			tasks := j.StepTasks(o, s)
			for i := range tasks {
				if t := &tasks[i]; !t.Done && t.BoundTo == nil && !d.hasPendingRecord(t) {
					return t
				}
			}
		}
	}
	return nil
}

// auditWorker repairs attempts that no further event would move on.
func (d *Dispatcher) auditWorker(w *worker) {
	if w.holdInFlight && d.now-w.holdSentAt > maxReplyWait {
		w.holdInFlight = false
		d.addRepair("hold was never answered", w, nil)
	}
	for key, a := range w.attempts {
		switch {
		case a.endProposed:
		case a.phase == phaseProposed:
			if d.proposedBinds[key] != a {
				d.addRepair("proposed attempt has no binding", w, a)
				d.dropAttempt(a)
			}
		case d.currentTask(a) == nil:
			d.disown(w, a)
		case w.terminated:
			d.addRepair("attempt on an ended worker has no end", w, a)
			a.over = certainty{basis: basisWorkerReplaced}
			d.endAttempt(a, a.lossOutcome())
		case a.phase == phaseOrdered && d.now-a.phaseSince > maxReplyWait:
			d.addRepair("start was never answered", w, a)
			a.setPhase(phaseUncertain, d.now)
		}
	}
}

// addRepair logs a repair and the decisions about its task.
func (d *Dispatcher) addRepair(event string, w *worker, a *attempt) {
	d.addLogEvent(event, w, a, "")
	d.logEvents[len(d.logEvents)-1].Repair = true
	if a != nil {
		d.reportDecisions(a.task)
	}
}

// reportLongestWait logs why the restart that has waited longest finds no worker.
func (d *Dispatcher) reportLongestWait() {
	if d.store.Config() == nil {
		return
	}
	var longest *restart
	for _, r := range d.overdueRestarts(d.rankedJobs()) {
		longest = &r
		break
	}
	if longest == nil || d.unixMS-longest.task.EndedAt < reportWaitAfter.Milliseconds() {
		return
	}
	waited := time.Duration(d.unixMS-longest.task.EndedAt) * time.Millisecond
	detail := fmt.Sprintf("waited %v: %s", waited, d.ineligibility(longest.job, longest.step, longest.task))
	d.addLogEvent("restart finds no worker", nil, &attempt{task: longest.task.Key, number: longest.task.Attempt}, detail)
}

// ineligibility counts the workers of the service by what keeps a task from them.
func (d *Dispatcher) ineligibility(wj *waitingJob, step *jobs.Step, t *jobs.Task) string {
	counts := map[string]int{}
	var c candidate
	for _, w := range d.workers {
		if w.Service == wj.service {
			counts[d.ineligibleBecause(step, t, w, &c)]++
		}
	}
	return fmt.Sprint(counts)
}

// ineligibleBecause returns what keeps a task from a worker. It uses c for the state of the
// worker.
func (d *Dispatcher) ineligibleBecause(step *jobs.Step, t *jobs.Task, w *worker, c *candidate) string {
	if state := d.unusableBecause(w); state != "" {
		return state
	}
	*c = d.newCandidate(w)
	request := step.ReservedResources()
	switch {
	case c.pendingStarts >= maxPendingStarts:
		return "starting others"
	case !w.hasLabel(step.RequiredLabel):
		return "lacks the label"
	case request.MilliCPU > c.free.MilliCPU:
		return "no CPU"
	case !request.FitsIn(c.free):
		return "no memory"
	case !d.withinStepLimit(t, step, c, nil):
		return "step limit"
	case step.Filler && c.lacksResources(step):
		return "no idle CPU or memory"
	case step.Filler && (w.colocation.tailHighSince != 0 || d.exceedsHeadroom(step, c)):
		return "disturbs"
	}
	return "eligible"
}

// unusableBecause returns what keeps all new tasks from a worker, or "".
func (d *Dispatcher) unusableBecause(w *worker) string {
	switch {
	case w.terminated || w.deregistered || w.Draining:
		return "leaving"
	case d.store.Evacuated(w.Domain):
		return "evacuated"
	case !w.fenceConfirmed:
		return "not confirmed"
	case w.unresponsive:
		return "unresponsive"
	case !w.reportIsFresh(d.now):
		return "silent"
	case w.health.quarantined(d.now):
		return "quarantined"
	case w.endsStayUnreadable(d.now):
		return "unreadable ends"
	}
	return ""
}
