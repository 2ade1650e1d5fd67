package scheduler

import (
	"time"

	"geraniumwall/lease"
	"geraniumwall/policy"
	"geraniumwall/workerapi"
)

// observeTasks compares what a worker reports with what the scheduler expects.
// With an answer it renews leases and acknowledges recorded outcomes there.
func (c *Core) observeTasks(now time.Duration, w *worker, reports []workerapi.TaskReport, answer *workerapi.HeartbeatAnswer) {
	c.dropVanished(w, reports)
	for i := range reports {
		r := &reports[i]
		t := c.tasks[r.ID]
		if isFinal(r.Phase) {
			c.observeFinal(now, w, t, r, answer)
			continue
		}
		c.observeRunning(now, w, t, r)
	}
	if answer != nil {
		c.renew(now, w, reports, answer)
	}
}

func (c *Core) observeRunning(now time.Duration, w *worker, t *task, r *workerapi.TaskReport) {
	switch {
	case t != nil && t.on == w && t.isLive() && t.attempt == r.Attempt:
		c.confirmRunning(t)
		c.noteProgress(now, w, t, r)
	case t != nil && t.phase == phaseHeld && t.settled.Less(r.Attempt) && !c.elsewhere(w, r.ID):
		c.adopt(now, w, t, r)
	default:
		c.noteStray(now, w, t, r)
	}
}

// elsewhere reports whether another worker has an entry of the task.
func (c *Core) elsewhere(w *worker, id string) bool {
	here := 0
	if w.strays[id] != nil {
		here = 1
	}
	return c.occupied[id] > here
}

// adopt takes over an attempt that a scheduler before this one started.
func (c *Core) adopt(now time.Duration, w *worker, t *task, r *workerapi.TaskReport) {
	c.dropStray(w, r.ID)
	t.reserved = r.Resources
	if !c.makeRoom(w, t.reserved) {
		return
	}
	t.attempt = r.Attempt
	c.setPhase(t, phaseRunning)
	t.until = c.authority.takeoverAt + lease.GrantorWait(lease.TaskLease)
	t.renewed = now
	c.bindAttempt(t, w)
	c.engine.Started(now, c.policyTask(t, t.reserved), w.id)
	c.noteProgress(now, w, t, r)
	c.note(now, Decision{Subject: t.ID, Kind: "adopted", Reason: "the worker reports that it runs", Worker: w.id})
	if t.cancel {
		c.stopAttempt(now, t, stopCancelled)
	}
}

func (c *Core) makeRoom(w *worker, size workerapi.Resources) bool {
	return w.ledger.fits(size) || w.ledger.displace(size)
}

func (c *Core) noteProgress(now time.Duration, w *worker, t *task, r *workerapi.TaskReport) {
	if len(r.Checkpoint) > 0 {
		t.Checkpoint = r.Checkpoint
	}
	c.engine.ReportUsage(now, w.id, policy.Usage{
		Task: t.ID, Used: r.Used, Progress: r.Progress,
		SinceCheckpoint: time.Duration(r.SinceCheckpointMS) * time.Millisecond,
	})
}

// observeFinal takes in the end of an attempt and acknowledges it once it needs
// no more recording.
func (c *Core) observeFinal(now time.Duration, w *worker, t *task, r *workerapi.TaskReport, answer *workerapi.HeartbeatAnswer) {
	c.dropStray(w, r.ID)
	switch {
	case t == nil || t.phase == phaseEnded:
	case t.isLive() && t.on == w && t.attempt == r.Attempt:
		c.settle(now, t, r)
	case t.undecided(r.Attempt) && c.occupied[t.ID] == 0:
		c.settleUnseen(now, w, t, r)
	}
	ref := workerapi.TaskRef{ID: r.ID, Attempt: r.Attempt}
	decided := t == nil || !t.undecided(r.Attempt)
	if answer != nil && c.synced && decided && !c.reports.holds(ref) {
		answer.Acknowledge = append(answer.Acknowledge, ref)
	}
}

// settle takes in the end of the live attempt.
func (c *Core) settle(now time.Duration, t *task, r *workerapi.TaskReport) {
	w := t.on
	kinds := map[workerapi.Phase]policy.EndKind{
		workerapi.PhaseDone: policy.EndDone, workerapi.PhaseFailed: policy.EndFailed,
		workerapi.PhaseStopped: policy.EndEvicted, workerapi.PhaseNeverStarted: policy.EndCancelled,
	}
	kind := kinds[r.Phase]
	if kind == policy.EndEvicted && t.cancel {
		kind = policy.EndCancelled
	}
	c.releaseAttempt(now, t, kind)
	c.conclude(now, w, t, r, now)
}

// settleUnseen takes in the end of an attempt that another scheduler started or
// that was given up as lost. While the task is held, an attempt that nobody has
// reported yet may be newer, so only a result ends the waiting.
func (c *Core) settleUnseen(now time.Duration, w *worker, t *task, r *workerapi.TaskReport) {
	if t.phase == phaseWaiting {
		c.engine.Dequeue(now, t.ID)
	}
	t.settled = r.Attempt
	if t.attempt.Less(r.Attempt) {
		t.attempt = r.Attempt
	}
	c.conclude(now, w, t, r, max(now, t.notBefore))
}

// conclude reports the end of an attempt and decides what follows.
func (c *Core) conclude(now time.Duration, w *worker, t *task, r *workerapi.TaskReport, notBefore time.Duration) {
	report := Report{Task: t.ID, Attempt: r.Attempt, Worker: w.id, Checkpoint: r.Checkpoint, Result: r.Result, Reason: r.Error}
	switch {
	case t.left:
		c.forgetTask(t)
	case r.Phase == workerapi.PhaseDone:
		report.Kind = ReportDone
		c.endTask(now, t, report)
	case t.cancel:
		c.cancelConcluded(now, t, notBefore)
	case r.Phase == workerapi.PhaseFailed:
		c.attemptFailed(now, t, report, notBefore)
	case r.Phase == workerapi.PhaseStopped:
		c.evicted(now, t, report, notBefore)
	default:
		c.holdTask(now, t, max(notBefore, now+refusedPause))
	}
}

// cancelConcluded ends a cancelled task unless an unreported attempt may be alive.
func (c *Core) cancelConcluded(now time.Duration, t *task, notBefore time.Duration) {
	if now < notBefore {
		c.holdTask(now, t, notBefore)
		return
	}
	c.afterAttempt(now, t, notBefore)
}

func (c *Core) attemptFailed(now time.Duration, t *task, report Report, notBefore time.Duration) {
	t.Failures++
	if t.Failures >= c.maxAttempts(t) {
		report.Kind = ReportFailed
		c.endTask(now, t, report)
		return
	}
	report.Kind = ReportAttemptFailed
	c.reports.add(report)
	c.note(now, Decision{Subject: t.ID, Kind: "attempt_failed", Reason: report.Reason, Worker: report.Worker})
	c.holdTask(now, t, notBefore)
}

func (c *Core) evicted(now time.Duration, t *task, report Report, notBefore time.Duration) {
	if len(report.Checkpoint) > 0 {
		t.Checkpoint = report.Checkpoint
	}
	if report.Reason == "" {
		report.Reason = string(t.why)
	}
	t.Evictions++
	report.Kind, report.Checkpoint, report.Cause = ReportEvicted, t.Checkpoint, t.evictionCause()
	c.reports.add(report)
	c.note(now, Decision{Subject: t.ID, Kind: "evicted", Reason: report.Reason, Worker: report.Worker})
	c.holdTask(now, t, notBefore)
}

// evictionCause says why the attempt that has ended was evicted. One that no command
// stopped was stopped by its worker, which withdraws or whose lease ran out.
func (t *task) evictionCause() EvictionCause {
	causes := map[stopReason]EvictionCause{
		stopEvicted: CauseInterference, stopMoved: CauseDrain, stopUnknownStart: CauseUnknownStart,
	}
	if cause, commanded := causes[t.why]; commanded && t.phase == phaseStopping {
		return cause
	}
	return CauseWorker
}

// renew extends the leases of the attempts that are to go on. The worker counts
// from when it sent the heartbeat, which was before now.
func (c *Core) renew(now time.Duration, w *worker, reports []workerapi.TaskReport, answer *workerapi.HeartbeatAnswer) {
	duration := c.taskLease(now)
	if !c.authority.mayAct(now) || duration < minTaskLease {
		return
	}
	answer.TaskLeaseMS = duration.Milliseconds()
	answer.Renew = make([]workerapi.TaskRef, 0, len(reports))
	for i := range reports {
		r := &reports[i]
		t := c.tasks[r.ID]
		if t == nil || t.on != w || t.phase != phaseRunning || t.attempt != r.Attempt {
			continue
		}
		t.until = max(t.until, now+lease.GrantorWait(duration))
		t.renewed = now
		answer.Renew = append(answer.Renew, t.ref())
	}
}

func (c *Core) observeServices(now time.Duration, w *worker, hb *workerapi.Heartbeat) {
	for _, r := range hb.Reports {
		c.engine.ReportService(now, w.id, r)
	}
}
