package scheduler

import (
	"slices"
	"time"

	"geraniumwall/lease"
	"geraniumwall/policy"
	"geraniumwall/workerapi"
)

// startAttempt allocates a new attempt and sends its start command. The caller has
// checked that the worker has enough free resources and that no other attempt of the
// task can be alive.
func (c *Core) startAttempt(now time.Duration, t *task, w *worker) {
	assert(c.authority.mayAct(now), "start of task %s without valid leases", t.ID)
	assert(c.allocations[t.ID] == 0 && !t.isLive(), "two live attempts of task %s", t.ID)
	duration := c.taskLease(now)
	c.lastAttempt++
	t.attempt = workerapi.Attempt{Epoch: c.authority.activeEpoch, Number: c.lastAttempt}
	c.setPhase(t, phaseStarting)
	// The lease on the worker runs from the time at which it sent the heartbeat, which
	// precedes the arrival of the heartbeat here.
	t.leaseEnd = w.lastHeartbeat + lease.GrantorWait(duration)
	t.leaseRenewed = w.lastHeartbeat
	c.allocateAttempt(t, w)
	c.engine.Started(now, c.policyTask(t, t.reserved), w.id)
	c.queueAction(SendStart{Target: w.target(), Body: workerapi.Start{
		Session: w.session.number, Epoch: w.session.epoch, Incarnation: w.incarnation, Sequence: w.sequence,
		ID: t.ID, Attempt: t.attempt, Job: t.Job, Resources: t.reserved, LeaseMS: duration.Milliseconds(),
		ExpectedMS: t.Expected.Milliseconds(), Checkpoint: t.Checkpoint, Payload: t.Payload,
	}})
}

// taskLease returns the longest task lease that ends within the domain lease.
func (c *Core) taskLease(now time.Duration) time.Duration {
	return c.authority.leases.TaskLease(now).Truncate(time.Millisecond)
}

func (c *Core) allocateAttempt(t *task, w *worker) {
	t.worker = w
	w.liveTasks[t.ID] = t
	c.earliestLeaseEnd = min(c.earliestLeaseEnd, t.leaseEnd)
	w.allocation.add(t.ID, t.reserved)
	c.allocations[t.ID]++
	assert(c.allocations[t.ID] == 1, "two live attempts of task %s", t.ID)
}

// releaseAttempt frees the resources of the live attempt.
func (c *Core) releaseAttempt(now time.Duration, t *task, outcome policy.Outcome) {
	w := t.worker
	w.allocation.remove(t.ID)
	delete(w.liveTasks, t.ID)
	c.releaseAllocation(t.ID)
	c.engine.Ended(now, t.ID, w.name, outcome)
	t.worker = nil
	t.lastEnded = t.attempt
	t.stopQueued = false
	if w.allocation.slots < w.slots && !w.retired() {
		c.updateReservation(now, w)
	}
}

func (c *Core) releaseAllocation(id string) {
	if c.allocations[id]--; c.allocations[id] == 0 {
		delete(c.allocations, id)
	}
}

// StartResult is the outcome of a SendStart. Failed is set if no answer arrived, so
// it is unknown whether the attempt started.
type StartResult struct {
	Target Target
	Ref    workerapi.TaskRef
	Failed bool
	Answer workerapi.CommandAnswer
}

// StartAnswered processes the outcome of a start. A result for an attempt that is no
// longer live is late or duplicated and is ignored.
func (c *Core) StartAnswered(now time.Duration, r StartResult) {
	t := c.tasks[r.Ref.ID]
	if t == nil || !t.isLive() || t.attempt != r.Ref.Attempt {
		return
	}
	switch {
	case !r.Failed && r.Answer.Outcome == workerapi.OutcomeDone && r.Answer.Task.Attempt != t.attempt:
		c.stopAttempt(now, t, stopUnknownStart)
	case !r.Failed && r.Answer.Outcome == workerapi.OutcomeDone && isFinal(r.Answer.Task.Phase):
		c.endAttempt(now, t, &r.Answer.Task)
	case !r.Failed && r.Answer.Outcome == workerapi.OutcomeDone:
		c.confirmRunning(t)
	case !r.Failed && r.Answer.Outcome == workerapi.OutcomeNotRun:
		c.handleNotStarted(now, t, r.Answer.Reason)
	case t.phase == phaseStarting:
		// The attempt may be running. The task is not started again before the worker
		// has fenced this attempt.
		c.stopAttempt(now, t, stopUnknownStart)
	}
}

func (c *Core) confirmRunning(t *task) {
	if t.phase != phaseStarting {
		return
	}
	c.setPhase(t, phaseRunning)
}

// handleNotStarted releases an attempt that the worker rejected without running it.
func (c *Core) handleNotStarted(now time.Duration, t *task, reason string) {
	w := t.worker
	c.releaseAttempt(now, t, policy.OutcomeCancelled)
	c.recordDecision(now, Decision{Subject: t.ID, Kind: "not_started", Reason: reason, Worker: w.id})
	c.requeueOrEnd(now, t, now+refusedStartDelay)
}

// requeueOrEnd decides what happens to a task whose attempt ended without a result.
func (c *Core) requeueOrEnd(now time.Duration, t *task, notBefore time.Duration) {
	switch {
	case t.cancelling:
		c.endTask(now, t, Report{Kind: ReportCancelled, Reason: "cancelled, and its attempt is over"})
	case t.unbound:
		c.removeTask(t)
	default:
		c.delayTask(now, t, notBefore)
	}
}

// stopAttempt stops renewing the lease and asks the worker to stop the attempt. A
// cancellation during an eviction is recorded in task.cancelling.
func (c *Core) stopAttempt(now time.Duration, t *task, reason stopReason) {
	if t.phase == phaseStopping {
		return
	}
	c.setPhase(t, phaseStopping)
	t.stopReason = reason
	c.queueStop(now, t)
}

func (c *Core) queueStop(now time.Duration, t *task) {
	if t.stopQueued {
		return
	}
	t.stopQueued, t.nextStop = true, now
	c.pendingStops = append(c.pendingStops, t)
}

// sendStops sends the due stop commands in order, at most maxStopsPerTick.
func (c *Core) sendStops(now time.Duration) {
	var later []*task
	sent := 0
	for _, t := range c.pendingStops {
		if t.phase != phaseStopping || !t.stopQueued || c.tasks[t.ID] != t {
			continue
		}
		if sent == maxStopsPerTick || now < t.nextStop || t.worker.silent || !t.worker.session.held {
			later = append(later, t)
			continue
		}
		sent++
		t.nextStop = now + commandRetryInterval
		later = append(later, t)
		c.queueAction(SendStop{Target: t.worker.target(), Body: workerapi.Stop{
			Session: t.worker.session.number, Epoch: t.worker.session.epoch, ID: t.ID, Attempt: t.attempt,
			Checkpoint: t.stopReason == stopEvicted || t.stopReason == stopDraining,
		}})
	}
	c.pendingStops = later
}

// StopResult is the outcome of a SendStop. Failed is set if no answer arrived.
type StopResult struct {
	Target Target
	Ref    workerapi.TaskRef
	Failed bool
	Answer workerapi.CommandAnswer
}

// StopAnswered processes the outcome of a stop. Only a final phase of the same
// attempt confirms the stop.
func (c *Core) StopAnswered(now time.Duration, r StopResult) {
	t := c.tasks[r.Ref.ID]
	report := r.Answer.Task
	if r.Failed || r.Answer.Outcome != workerapi.OutcomeDone || report.ID != r.Ref.ID {
		return
	}
	if t == nil || !t.isLive() || t.attempt != r.Ref.Attempt || t.attempt != report.Attempt {
		c.orphanStopped(r)
		return
	}
	if isFinal(report.Phase) {
		c.endAttempt(now, t, &report)
	}
}

func isFinal(p workerapi.Phase) bool {
	switch p {
	case workerapi.PhaseDone, workerapi.PhaseFailed, workerapi.PhaseStopped, workerapi.PhaseNeverStarted:
		return true
	}
	return false
}

// expireAttempts ends the attempts whose lease is guaranteed to have expired. Renewals
// only extend leases, so no lease expires before earliestLeaseEnd.
func (c *Core) expireAttempts(now time.Duration) {
	if now < c.earliestLeaseEnd {
		return
	}
	c.earliestLeaseEnd = never
	for _, id := range c.workerIDs() {
		w := c.workers[id]
		var expired []string
		for tid, t := range w.liveTasks {
			if now >= t.leaseEnd {
				expired = append(expired, tid)
				continue
			}
			c.earliestLeaseEnd = min(c.earliestLeaseEnd, t.leaseEnd)
		}
		slices.Sort(expired)
		for _, tid := range expired {
			c.attemptLost(now, w.liveTasks[tid])
		}
	}
}

// attemptLost releases an attempt whose lease is guaranteed to have expired. The
// worker has stopped it by then or no longer exists.
func (c *Core) attemptLost(now time.Duration, t *task) {
	w := t.worker
	c.releaseAttempt(now, t, policy.OutcomeLost)
	c.recordDecision(now, Decision{Subject: t.ID, Kind: "lost", Reason: "the task lease expired without a report from the worker", Worker: w.id})
	if !t.cancelling && !t.unbound {
		c.reports.add(Report{
			Task: t.ID, Kind: ReportEvicted, Attempt: t.attempt, Worker: w.id,
			Checkpoint: t.Checkpoint, Reason: "the worker was lost", Cause: CauseWorkerLost,
		})
		t.Evictions++
	}
	c.requeueOrEnd(now, t, now)
}
