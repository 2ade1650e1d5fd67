package scheduler

import (
	"time"

	"geraniumwall/lease"
	"geraniumwall/policy"
	"geraniumwall/workerapi"
)

// reconcileTasks compares the attempts that a worker reports with the expected ones.
// If answer is not nil, it also renews leases and acknowledges recorded outcomes.
func (c *Core) reconcileTasks(now time.Duration, w *worker, reports []workerapi.TaskReport, answer *workerapi.HeartbeatAnswer) {
	c.removeUnreportedOrphans(w, reports)
	for i := range reports {
		r := &reports[i]
		t := c.tasks[r.ID]
		if isFinal(r.Phase) {
			c.reconcileEnded(now, w, t, r, answer)
			continue
		}
		c.reconcileRunning(now, w, t, r)
	}
	if answer != nil {
		c.renewTaskLeases(now, w, reports, answer)
	}
}

func (c *Core) reconcileRunning(now time.Duration, w *worker, t *task, r *workerapi.TaskReport) {
	switch {
	case t != nil && t.worker == w && t.isLive() && t.attempt == r.Attempt:
		c.confirmRunning(t)
		c.recordProgress(now, w, t, r)
	case t != nil && t.phase == phaseDelayed && t.lastEnded.Less(r.Attempt) && !c.allocatedElsewhere(w, r.ID):
		c.adoptAttempt(now, w, t, r)
	default:
		c.trackOrphan(now, w, t, r)
	}
}

// allocatedElsewhere reports whether the task is allocated on another worker.
func (c *Core) allocatedElsewhere(w *worker, id string) bool {
	onWorker := 0
	if w.orphans[id] != nil {
		onWorker = 1
	}
	return c.allocations[id] > onWorker
}

// adoptAttempt takes over an attempt that a previous scheduler started.
func (c *Core) adoptAttempt(now time.Duration, w *worker, t *task, r *workerapi.TaskReport) {
	c.removeOrphan(w, r.ID)
	t.reserved = r.Resources
	if !c.makeRoom(w, t.reserved) {
		return
	}
	t.attempt = r.Attempt
	c.setPhase(t, phaseRunning)
	t.leaseEnd = c.authority.takeoverAt + lease.GrantorWait(lease.TaskLease)
	t.leaseRenewed = now
	c.allocateAttempt(t, w)
	c.engine.Started(now, c.policyTask(t, t.reserved), w.id)
	c.recordProgress(now, w, t, r)
	c.recordDecision(now, Decision{Subject: t.ID, Kind: "adopted", Reason: "the worker reports the attempt as running", Worker: w.id})
	if t.cancelling {
		c.stopAttempt(now, t, stopCancelled)
	}
}

func (c *Core) makeRoom(w *worker, size workerapi.Resources) bool {
	return w.allocation.fits(size) || w.allocation.shrinkSlots(size)
}

func (c *Core) recordProgress(now time.Duration, w *worker, t *task, r *workerapi.TaskReport) {
	if len(r.Checkpoint) > 0 {
		t.Checkpoint = r.Checkpoint
	}
	c.engine.ReportUsage(now, w.id, policy.Usage{
		Task: t.ID, Used: r.Used, Progress: r.Progress,
		SinceCheckpoint: time.Duration(r.SinceCheckpointMS) * time.Millisecond,
	})
}

// reconcileEnded processes the end of an attempt and acknowledges it once its outcome
// no longer needs to be recorded.
func (c *Core) reconcileEnded(now time.Duration, w *worker, t *task, r *workerapi.TaskReport, answer *workerapi.HeartbeatAnswer) {
	c.removeOrphan(w, r.ID)
	switch {
	case t == nil || t.phase == phaseEnded:
	case t.isLive() && t.worker == w && t.attempt == r.Attempt:
		c.endAttempt(now, t, r)
	case t.outcomePending(r.Attempt) && c.allocations[t.ID] == 0:
		c.endUntrackedAttempt(now, w, t, r)
	}
	ref := workerapi.TaskRef{ID: r.ID, Attempt: r.Attempt}
	decided := t == nil || !t.outcomePending(r.Attempt)
	if answer != nil && c.synced && decided && !c.reports.contains(ref) {
		answer.Acknowledge = append(answer.Acknowledge, ref)
	}
}

// endAttempt processes the end of the live attempt.
func (c *Core) endAttempt(now time.Duration, t *task, r *workerapi.TaskReport) {
	w := t.worker
	outcomes := map[workerapi.Phase]policy.Outcome{
		workerapi.PhaseDone: policy.OutcomeDone, workerapi.PhaseFailed: policy.OutcomeFailed,
		workerapi.PhaseStopped: policy.OutcomeEvicted, workerapi.PhaseNeverStarted: policy.OutcomeCancelled,
	}
	outcome := outcomes[r.Phase]
	if outcome == policy.OutcomeEvicted && t.cancelling {
		outcome = policy.OutcomeCancelled
	}
	c.releaseAttempt(now, t, outcome)
	c.handleAttemptEnd(now, w, t, r, now)
}

// endUntrackedAttempt processes the end of an attempt that another scheduler started or
// that was considered lost. While the task is delayed, a newer attempt may exist that no
// worker has reported yet, so only a result ends the delay.
func (c *Core) endUntrackedAttempt(now time.Duration, w *worker, t *task, r *workerapi.TaskReport) {
	if t.phase == phaseWaiting {
		c.engine.Dequeue(now, t.ID)
	}
	t.lastEnded = r.Attempt
	if t.attempt.Less(r.Attempt) {
		t.attempt = r.Attempt
	}
	c.handleAttemptEnd(now, w, t, r, max(now, t.notBefore))
}

// handleAttemptEnd reports the end of an attempt and decides what happens to the task.
func (c *Core) handleAttemptEnd(now time.Duration, w *worker, t *task, r *workerapi.TaskReport, notBefore time.Duration) {
	report := Report{Task: t.ID, Attempt: r.Attempt, Worker: w.id, Checkpoint: r.Checkpoint, Result: r.Result, Reason: r.Error}
	switch {
	case t.unbound:
		c.removeTask(t)
	case r.Phase == workerapi.PhaseDone:
		report.Kind = ReportDone
		c.endTask(now, t, report)
	case t.cancelling:
		c.finishCancellation(now, t, notBefore)
	case r.Phase == workerapi.PhaseFailed:
		c.handleFailure(now, t, report, notBefore)
	case r.Phase == workerapi.PhaseStopped:
		c.handleEviction(now, t, report, notBefore)
	default:
		c.delayTask(now, t, max(notBefore, now+refusedStartDelay))
	}
}

// finishCancellation ends a cancelled task unless an unreported attempt may be alive.
func (c *Core) finishCancellation(now time.Duration, t *task, notBefore time.Duration) {
	if now < notBefore {
		c.delayTask(now, t, notBefore)
		return
	}
	c.requeueOrEnd(now, t, notBefore)
}

func (c *Core) handleFailure(now time.Duration, t *task, report Report, notBefore time.Duration) {
	t.Failures++
	if t.Failures >= c.maxAttempts(t) {
		report.Kind = ReportFailed
		c.endTask(now, t, report)
		return
	}
	report.Kind = ReportAttemptFailed
	c.reports.add(report)
	c.recordDecision(now, Decision{Subject: t.ID, Kind: "attempt_failed", Reason: report.Reason, Worker: report.Worker})
	c.delayTask(now, t, notBefore)
}

func (c *Core) handleEviction(now time.Duration, t *task, report Report, notBefore time.Duration) {
	if len(report.Checkpoint) > 0 {
		t.Checkpoint = report.Checkpoint
	}
	if report.Reason == "" {
		report.Reason = string(t.stopReason)
	}
	t.Evictions++
	report.Kind, report.Checkpoint, report.Cause = ReportEvicted, t.Checkpoint, t.evictionCause()
	c.reports.add(report)
	c.recordDecision(now, Decision{Subject: t.ID, Kind: "evicted", Reason: report.Reason, Worker: report.Worker})
	c.delayTask(now, t, notBefore)
}

// evictionCause returns why the ended attempt was evicted. If no command stopped it,
// the worker did, because it withdraws or the lease expired.
func (t *task) evictionCause() EvictionCause {
	causes := map[stopReason]EvictionCause{
		stopEvicted: CauseInterference, stopDraining: CauseDrain, stopUnknownStart: CauseUnknownStart,
	}
	if cause, commanded := causes[t.stopReason]; commanded && t.phase == phaseStopping {
		return cause
	}
	return CauseWorker
}

// renewTaskLeases extends the leases of the attempts that may continue. The lease on
// the worker runs from the time at which it sent the heartbeat, which precedes now.
func (c *Core) renewTaskLeases(now time.Duration, w *worker, reports []workerapi.TaskReport, answer *workerapi.HeartbeatAnswer) {
	duration := c.taskLease(now)
	if !c.authority.mayAct(now) || duration < minTaskLease {
		return
	}
	answer.TaskLeaseMS = duration.Milliseconds()
	answer.Renew = make([]workerapi.TaskRef, 0, len(reports))
	for i := range reports {
		r := &reports[i]
		t := c.tasks[r.ID]
		if t == nil || t.worker != w || t.phase != phaseRunning || t.attempt != r.Attempt {
			continue
		}
		t.leaseEnd = max(t.leaseEnd, now+lease.GrantorWait(duration))
		t.leaseRenewed = now
		answer.Renew = append(answer.Renew, t.ref())
	}
}

func (c *Core) forwardServiceReports(now time.Duration, w *worker, hb *workerapi.Heartbeat) {
	for _, r := range hb.Reports {
		c.engine.ReportService(now, w.id, r)
	}
}
