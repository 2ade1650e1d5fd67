package dispatch

import (
	"time"

	"geraniumwall/jobs"
)

// HandleReply processes the reply to an order.
func (d *Dispatcher) HandleReply(r Reply) {
	w := r.Order.target
	if r.Status != Expired && !r.Late {
		w.refusesConnections = r.Status == Unreachable
	}
	if r.Status == WrongWorker {
		d.voidRejectedStart(w, &r)
		if w.movedAt == 0 {
			d.abandonIncarnation(w)
		}
	}
	switch {
	case w.terminated || r.Status == WrongWorker || r.ClockMS == 0 || r.StartedAtMS != 0 && r.StartedAtMS != w.StartedAtMS:
	case r.ClockMS < w.minClock(r.SentAt)-restartClockRegression.Milliseconds():
		// Only replies to holds carry the start time of the process, but the clock is
		// reset with each start.
		d.addLogEvent("worker restarted under its id", w, nil, "")
		d.handleRestart(w, r)
		w = d.workers[w.Worker]
	default:
		d.observeClock(w, r.ClockMS, r.ReceivedAt)
		w.observeAnswer(&r)
	}
	switch {
	case r.Order.Hold != nil:
		d.handleHoldReply(w, r)
	case r.Order.Start != nil:
		d.handleStartReply(w, r)
	case r.Order.Stop != nil:
		d.handleStopReply(w, r)
	case r.Order.Pace != nil:
		d.handlePaceReply(w, r)
	}
}

// abandonLeft abandons a deregistered worker whose address refuses connections. A start that
// is still on its way would take effect if a process under the same id comes up there: such an
// attempt is kept until that one lists its tasks or the lease has expired.
func (d *Dispatcher) abandonLeft(w *worker) {
	pending := false
	for _, a := range w.attempts {
		switch a.phase {
		case phaseStarted, phaseVoid:
			d.endAttempt(a, a.lossOutcome())
		case phaseInherited, phaseProposed, phaseOrdered, phaseUncertain:
			pending = true
		}
	}
	if !pending {
		d.abandonIncarnation(w)
	}
}

// abandonIncarnation abandons a worker incarnation after another process has answered at
// its address, or a deregistered worker has left. Unanswered starts cannot take effect either,
// since they name the abandoned incarnation.
func (d *Dispatcher) abandonIncarnation(w *worker) {
	if w.terminated {
		return
	}
	d.addLogEvent("worker replaced", w, nil, "")
	d.markReplaced(w)
	w.terminated = true
	for _, a := range w.attempts {
		if a.phase != phaseProposed {
			a.over = certainty{basis: basisWorkerReplaced}
			d.endAttempt(a, a.lossOutcome())
		}
	}
}

func (d *Dispatcher) handleHoldReply(w *worker, r Reply) {
	if r.Late && (r.Status != Accepted || r.SentAt <= w.settledHoldAt) {
		return
	}
	if !r.Late {
		w.ackPaused = r.Status != Accepted
		d.activity.recordHoldReply(r.Status)
		w.holdInFlight = false
		w.nextHoldAt = d.now + d.holdDelayFor(w)
	}
	if w.terminated {
		return
	}
	if r.Status != Accepted {
		d.handleFailedHold(w, &r)
		return
	}
	w.settledHoldAt, w.unreportedHolds = r.SentAt, 0
	// A late answer may be older than a restart.
	if r.StartedAtMS != 0 && r.StartedAtMS != w.StartedAtMS {
		d.handleRestart(w, r)
		return
	}
	if w.unresponsive {
		d.addLogEvent("worker responsive again", w, nil, "")
	}
	if !w.fenceConfirmed || w.unresponsive {
		d.planner.dirty = true
	}
	w.fenceConfirmed, w.unresponsive, w.answeredAtMS = true, false, d.unixMS
	w.startConfirmed, w.movedAt = r.StartedAtMS != 0, 0
	d.reconcile(w, r)
	d.updatePace(w)
	d.detectSlowTasks(w)
}

// handleFailedHold counts a worker as unresponsive that has not answered a hold. A hold that
// has expired did not reach the worker, and one without a report from its carrier may have
// been answered: neither tells anything about the worker.
func (d *Dispatcher) handleFailedHold(w *worker, r *Reply) {
	w.nextHoldAt = d.now + holdRetryDelay
	switch {
	case r.Status == Expired:
		return
	case r.Unreported:
		w.unreportedHolds++
		if w.unreportedHolds < maxUnreportedHolds {
			return
		}
	default:
		w.settledHoldAt = r.SentAt
	}
	if !w.unresponsive {
		d.addLogEvent("worker unresponsive", w, nil, r.Reason)
	}
	w.unresponsive = true
	if r.Status == Unreachable && w.deregistered {
		d.abandonLeft(w)
	}
}

// handleRestart registers a new incarnation after a process with a different start time
// has answered under the worker's id. It may be of another kind and size, so it gets no
// tasks before it has reported itself.
func (d *Dispatcher) handleRestart(w *worker, r Reply) {
	h := w.Heartbeat
	h.StartedAtMS, h.ClockMS, h.Sequence = r.StartedAtMS, r.ClockMS, 0
	restarted := d.newIncarnation(w, h)
	restarted.movedAt = 0
	restarted.observeAnswer(&r)
	restarted.startConfirmed = r.StartedAtMS != 0
}

// reconcile compares the attempts that a worker lists with those bound to it. Attempts that
// are listed nowhere are given up, unless they may be in a row that cannot be read.
func (d *Dispatcher) reconcile(w *worker, r Reply) {
	listed := d.listed
	clear(listed)
	for i := range r.Running {
		listed[attemptKey{r.Running[i].Task, r.Running[i].Attempt}] = true
		d.handleRunning(w, &r.Running[i])
	}
	for i := range r.Finished {
		listed[attemptKey{r.Finished[i].Task, r.Finished[i].Attempt}] = true
	}
	d.handleFinished(w, r.Finished)
	unreadable := d.observeUnreadableEnds(w, &r)
	if r.Malformed > unreadable {
		// Some of the running attempts are not known.
		return
	}
	for key, s := range w.unexpected {
		if !listed[key] || d.now-s.listedAt > unexpectedTimeout {
			delete(w.unexpected, key)
			d.planner.dirty = true
		}
	}
	if len(r.Finished) >= finishedListLimit || unreadable > 0 {
		return
	}
	w.listedAt = max(w.listedAt, r.SentAt)
	for _, a := range w.attempts {
		if !listed[attemptKey{a.task, a.number}] {
			d.handleMissing(a, r.SentAt)
		}
	}
}

// handleRunning records that a worker lists an attempt as running.
func (d *Dispatcher) handleRunning(w *worker, r *RunningTask) {
	a := d.listedAttempt(w, r.Task, r.Attempt)
	if a == nil {
		d.noteStart(r.Task, r.Attempt)
		d.handleUnexpected(w, r)
		return
	}
	if a.phase != phaseProposed {
		d.noteJobStart(a.job)
	}
	a.confirmStart(d.now)
	if r.Percent != a.percent {
		a.percent, a.progressAt = r.Percent, d.now
	}
	a.usage = r.Usage
	if r.Checkpoint != "" {
		a.checkpoint = r.Checkpoint
	}
}

// handleUnexpected records that an attempt runs on a worker without being bound to it.
func (d *Dispatcher) handleUnexpected(w *worker, r *RunningTask) {
	key := attemptKey{r.Task, r.Attempt}
	s := w.unexpected[key]
	if s == nil {
		s = &unexpectedAttempt{}
		if j := d.store.Job(r.Task.Job); j != nil && j.Task(r.Task) != nil {
			s.reserved = j.Step(r.Task).ReservedResources()
		}
		w.unexpected[key] = s
		w.nextSweepAt = d.now
		d.logEvents = append(d.logEvents, LogEvent{
			Event: "unexpected task runs", Worker: w.Worker, Task: r.Task, Attempt: r.Attempt, Detail: "stopping it"})
	}
	s.listedAt = d.now
}

// updateHealth updates the health of a worker by the outcome of an attempt.
func (d *Dispatcher) updateHealth(w *worker, a *attempt, outcome jobs.Outcome) {
	d.addLogEvent("task ended", w, a, string(outcome))
	switch outcome {
	case jobs.OutcomeDone:
		w.health.recordSuccess()
	case jobs.OutcomeFailed:
		d.avoid(a.task, w.Worker)
		if w.health.recordFailure(a.task.Job, d.now) {
			d.addLogEvent("worker quarantined", w, nil, w.health.quarantineDuration.String())
		}
	case jobs.OutcomeStopped, jobs.OutcomeLeaseExpired, jobs.OutcomeGangMemberEnded, jobs.OutcomeGangIncomplete, jobs.OutcomeLost,
		jobs.OutcomeCrashed:
	}
}

// handleMissing ends an attempt that its worker lists neither as running nor as
// finished. A list that was requested before the attempt entered its phase is ignored, and
// so is an attempt whose end is proposed already.
func (d *Dispatcher) handleMissing(a *attempt, requestedAt time.Duration) {
	if requestedAt < a.phaseSince || a.endProposed {
		return
	}
	switch a.phase {
	case phaseInherited, phaseStarted, phaseVoid:
		d.addLogEvent("task missing from the worker's hold reply", a.worker, a, "")
		a.over = certainty{basis: basisMissing, bound: a.phaseSince.Milliseconds(), reading: requestedAt.Milliseconds()}
		if a.phase == phaseVoid {
			a.over.basis = basisVoidMissing
		}
		d.endAttempt(a, a.lossOutcome())
	case phaseUncertain:
		a.unlisted = true
		a.worker.nextSweepAt = d.now
	case phaseProposed, phaseOrdered:
	}
}

func (d *Dispatcher) handleStartReply(w *worker, r Reply) {
	if r.Status == Accepted {
		d.noteStart(r.Order.Start.Task, r.Order.Start.Attempt)
	}
	a := w.attempts[r.Order.Start.Task]
	if a == nil || a.number != r.Order.Start.Attempt || !a.awaitsReply(&r) {
		return
	}
	d.activity.startReply.add(r.ReceivedAt - r.SentAt)
	switch r.Status {
	case Accepted:
		a.confirmStart(d.now)
		a.startedAt, a.progressAt = d.now, d.now
		if !w.holdInFlight {
			w.nextHoldAt = min(w.nextHoldAt, d.now)
		}
	case Refused, Unhealthy, Unreachable, WrongWorker, Expired:
		d.addLogEvent("start refused", w, a, r.Reason)
		if r.Status == Unhealthy {
			w.health.quarantine(d.now)
		}
		w.unresponsive = w.unresponsive || r.Status == Unreachable && !r.Late
		a.over = startRefusal(r.Status)
		d.endAttempt(a, jobs.OutcomeLost)
	case Unknown:
		d.addLogEvent("start not answered", w, a, r.Reason)
		a.setPhase(phaseUncertain, d.now)
		// A connection that breaks sooner had reached a process that ran.
		a.unstarted = !r.Unreported && r.ReceivedAt-r.SentAt >= orderTravelTime
		if !w.holdInFlight {
			w.nextHoldAt = min(w.nextHoldAt, d.now)
		}
	}
}

// awaitsReply reports whether a reply to the start of an attempt decides about it. After a
// stop the worker's answer to the stop does.
func (a *attempt) awaitsReply(r *Reply) bool {
	return a.phase == phaseOrdered || a.phase == phaseUncertain && r.Late && !a.stopping
}

func (d *Dispatcher) handleStopReply(w *worker, r Reply) {
	a := w.attempts[r.Order.Stop.Task]
	if a == nil || a.number != r.Order.Stop.Attempt || r.Status != Accepted {
		return
	}
	if a.phase == phaseUncertain {
		a.setPhase(phaseVoid, d.now)
	}
}

func (d *Dispatcher) handlePaceReply(w *worker, r Reply) {
	a := w.attempts[r.Order.Pace.Task]
	if a == nil || a.number != r.Order.Pace.Attempt {
		return
	}
	a.paceInFlight = false
	if r.Status == Accepted {
		a.appliedPace = r.Order.Pace.Percent
		w.colocation.fillersChangedAt = d.now
	}
	d.enqueuePace(w, a)
}
