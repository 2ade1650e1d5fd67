package scheduler

import (
	"slices"
	"time"

	"geraniumwall/lease"
	"geraniumwall/policy"
	"geraniumwall/workerapi"
)

// startAttempt sends the start of a new attempt. The applier has checked that the
// worker has room and that no attempt of the task can be alive.
func (c *Core) startAttempt(now time.Duration, t *task, w *worker) {
	assert(c.authority.mayAct(now), "start of task %s without the leases", t.ID)
	assert(c.occupied[t.ID] == 0 && !t.isLive(), "two live attempts of task %s", t.ID)
	duration := c.taskLease(now)
	c.attempts++
	t.attempt = workerapi.Attempt{Epoch: c.authority.taken, Number: c.attempts}
	c.setPhase(t, phaseStarting)
	// The worker counts the lease from when it sent the heartbeat, which was before
	// the heartbeat arrived.
	t.until = w.heard + lease.GrantorWait(duration)
	t.renewed = w.heard
	c.bindAttempt(t, w)
	c.engine.Started(now, c.policyTask(t, t.reserved), w.id)
	c.act(SendStart{Target: w.target(), Body: workerapi.Start{
		Session: w.session.number, Epoch: w.session.epoch, Incarnation: w.incarnation, Sequence: w.sequence,
		ID: t.ID, Attempt: t.attempt, Job: t.Job, Resources: t.reserved, LeaseMS: duration.Milliseconds(),
		ExpectedMS: t.Expected.Milliseconds(), Checkpoint: t.Checkpoint, Payload: t.Payload,
	}})
}

// taskLease is the longest lease that ends within the domain lease.
func (c *Core) taskLease(now time.Duration) time.Duration {
	return c.authority.leases.TaskLease(now).Truncate(time.Millisecond)
}

func (c *Core) bindAttempt(t *task, w *worker) {
	t.on = w
	w.live[t.ID] = t
	c.nextLost = min(c.nextLost, t.until)
	w.ledger.add(t.ID, t.reserved)
	c.occupied[t.ID]++
	assert(c.occupied[t.ID] == 1, "two live attempts of task %s", t.ID)
}

// releaseAttempt frees what the live attempt took up.
func (c *Core) releaseAttempt(now time.Duration, t *task, kind policy.EndKind) {
	w := t.on
	w.ledger.remove(t.ID)
	delete(w.live, t.ID)
	c.vacate(t.ID)
	c.engine.Ended(now, t.ID, w.name, kind)
	t.on = nil
	t.settled = t.attempt
	t.stopQueued = false
	if w.ledger.slots < w.slots && !w.retired() {
		c.adoptReserve(now, w)
	}
}

func (c *Core) vacate(id string) {
	if c.occupied[id]--; c.occupied[id] == 0 {
		delete(c.occupied, id)
	}
}

// StartResult is the outcome of a SendStart. Failed is set if no answer came, so
// that the outcome is unknown.
type StartResult struct {
	Target Target
	Ref    workerapi.TaskRef
	Failed bool
	Answer workerapi.CommandAnswer
}

// StartAnswered takes in the outcome of a start. Results for an attempt that is
// not the live one are late or repeated and change nothing.
func (c *Core) StartAnswered(now time.Duration, r StartResult) {
	t := c.tasks[r.Ref.ID]
	if t == nil || !t.isLive() || t.attempt != r.Ref.Attempt {
		return
	}
	switch {
	case !r.Failed && r.Answer.Outcome == workerapi.OutcomeDone && r.Answer.Task.Attempt != t.attempt:
		c.stopAttempt(now, t, stopUnknownStart)
	case !r.Failed && r.Answer.Outcome == workerapi.OutcomeDone && isFinal(r.Answer.Task.Phase):
		c.settle(now, t, &r.Answer.Task)
	case !r.Failed && r.Answer.Outcome == workerapi.OutcomeDone:
		c.confirmRunning(t)
	case !r.Failed && r.Answer.Outcome == workerapi.OutcomeNotRun:
		c.neverStarted(now, t, r.Answer.Reason)
	case t.phase == phaseStarting:
		// Nothing else is started before the worker has fenced the attempt.
		c.stopAttempt(now, t, stopUnknownStart)
	}
}

func (c *Core) confirmRunning(t *task) {
	if t.phase != phaseStarting {
		return
	}
	c.setPhase(t, phaseRunning)
}

// neverStarted takes back an attempt that the worker refused before it began.
func (c *Core) neverStarted(now time.Duration, t *task, reason string) {
	w := t.on
	c.releaseAttempt(now, t, policy.EndCancelled)
	c.note(now, Decision{Subject: t.ID, Kind: "not_started", Reason: reason, Worker: w.id})
	c.afterAttempt(now, t, now+refusedPause)
}

// afterAttempt decides what follows an attempt that ended without a result.
func (c *Core) afterAttempt(now time.Duration, t *task, notBefore time.Duration) {
	switch {
	case t.cancel:
		c.endTask(now, t, Report{Kind: ReportCancelled, Reason: "cancelled, and its attempt is over"})
	case t.left:
		c.forgetTask(t)
	default:
		c.holdTask(now, t, notBefore)
	}
}

// stopAttempt ends the renewal of the lease and asks the worker to stop. A
// cancellation that follows an eviction is kept in the task itself.
func (c *Core) stopAttempt(now time.Duration, t *task, why stopReason) {
	if t.phase == phaseStopping {
		return
	}
	c.setPhase(t, phaseStopping)
	t.why = why
	c.queueStop(now, t)
}

func (c *Core) queueStop(now time.Duration, t *task) {
	if t.stopQueued {
		return
	}
	t.stopQueued, t.stopRetry = true, now
	c.stops = append(c.stops, t)
}

// sendStops sends the due stops in order, at most maxStopsPerTick of them.
func (c *Core) sendStops(now time.Duration) {
	var later []*task
	sent := 0
	for _, t := range c.stops {
		if t.phase != phaseStopping || !t.stopQueued || c.tasks[t.ID] != t {
			continue
		}
		if sent == maxStopsPerTick || now < t.stopRetry || t.on.silent || !t.on.session.held {
			later = append(later, t)
			continue
		}
		sent++
		t.stopRetry = now + commandRetry
		later = append(later, t)
		c.act(SendStop{Target: t.on.target(), Body: workerapi.Stop{
			Session: t.on.session.number, Epoch: t.on.session.epoch, ID: t.ID, Attempt: t.attempt,
			Checkpoint: t.why == stopEvicted || t.why == stopMoved,
		}})
	}
	c.stops = later
}

// StopResult is the outcome of a SendStop. Failed is set if no answer came.
type StopResult struct {
	Target Target
	Ref    workerapi.TaskRef
	Failed bool
	Answer workerapi.CommandAnswer
}

// StopAnswered takes in the outcome of a stop. Only the final phase of the very
// attempt confirms it.
func (c *Core) StopAnswered(now time.Duration, r StopResult) {
	t := c.tasks[r.Ref.ID]
	report := r.Answer.Task
	if r.Failed || r.Answer.Outcome != workerapi.OutcomeDone || report.ID != r.Ref.ID {
		return
	}
	if t == nil || !t.isLive() || t.attempt != r.Ref.Attempt || t.attempt != report.Attempt {
		c.strayStopped(r)
		return
	}
	if isFinal(report.Phase) {
		c.settle(now, t, &report)
	}
}

func isFinal(p workerapi.Phase) bool {
	switch p {
	case workerapi.PhaseDone, workerapi.PhaseFailed, workerapi.PhaseStopped, workerapi.PhaseNeverStarted:
		return true
	}
	return false
}

// expireAttempts settles the attempts whose lease is certainly over. Renewals only
// move the end of a lease on, so nothing is over before nextLost.
func (c *Core) expireAttempts(now time.Duration) {
	if now < c.nextLost {
		return
	}
	c.nextLost = never
	for _, id := range c.workerIDs() {
		w := c.workers[id]
		var over []string
		for tid, t := range w.live {
			if now >= t.until {
				over = append(over, tid)
				continue
			}
			c.nextLost = min(c.nextLost, t.until)
		}
		slices.Sort(over)
		for _, tid := range over {
			c.lost(now, w.live[tid])
		}
	}
}

// lost takes back an attempt whose lease is certainly over. The worker stopped it
// or is gone.
func (c *Core) lost(now time.Duration, t *task) {
	w := t.on
	c.releaseAttempt(now, t, policy.EndLost)
	c.note(now, Decision{Subject: t.ID, Kind: "lost", Reason: "the lease ended without a report from the worker", Worker: w.id})
	if !t.cancel && !t.left {
		c.reports.add(Report{
			Task: t.ID, Kind: ReportEvicted, Attempt: t.attempt, Worker: w.id,
			Checkpoint: t.Checkpoint, Reason: "the worker was lost", Cause: CauseWorkerLost,
		})
		t.Evictions++
	}
	c.afterAttempt(now, t, now)
}
