package dispatch

import "geraniumwall/jobs"

// expireLease abandons the attempts on an unresponsive worker whose lease has expired.
func (d *Dispatcher) expireLease(w *worker) {
	if len(w.attempts) > 0 {
		d.addLogEvent("lease expired", w, nil, "")
	}
	if w.refusesConnections {
		d.markCrash(w)
	}
	expired := d.leaseCertainty(w)
	for _, a := range w.attempts {
		a.over = expired
		d.markLapsed(a)
		switch {
		case a.phase == phaseProposed:
		case !a.mayHaveStarted():
			a.over.basis = basisNeverStarted
			d.endAttempt(a, jobs.OutcomeLost)
		case a.crashed:
			if a.step.LongRunning {
				d.planner.leaseExpiredTasks[a.task] = true
			}
			d.endAttempt(a, jobs.OutcomeCrashed)
		default:
			d.endAttempt(a, jobs.OutcomeLeaseExpired)
		}
	}
	if len(w.attempts) == 0 && d.now-w.heartbeatAt > d.options.WorkerLease {
		w.terminated = true
	}
}

// expireOrphans abandons the attempts that earlier leaders bound to workers that have
// not reported to this one. It waits until the last lease that an earlier leader may
// have granted has expired by the slowest clock.
func (d *Dispatcher) expireOrphans() {
	if len(d.orphans) == 0 || !d.inheritedLeaseExpired() {
		return
	}
	for key, a := range d.orphans {
		if d.currentTask(a) == nil {
			delete(d.orphans, key)
			continue
		}
		a.over = d.leaderClockCertainty(d.leaderSince)
		d.markLapsed(a)
		d.endAttempt(a, jobs.OutcomeLeaseExpired)
	}
}

// currentTask returns the task of an attempt, or nil if the attempt is no longer the
// current one.
func (d *Dispatcher) currentTask(a *attempt) *jobs.Task {
	return d.boundTask(a.task, a.number)
}

// endAttempt proposes the end of an attempt for the log.
func (d *Dispatcher) endAttempt(a *attempt, outcome jobs.Outcome) {
	d.proposeEnd(a, outcome, "", func() {})
}

// proposeEnd proposes the end of an attempt for the log, until it is committed, and calls
// onRecorded then.
func (d *Dispatcher) proposeEnd(a *attempt, outcome jobs.Outcome, checkpoint string, onRecorded func()) {
	if a.endProposed {
		return
	}
	a.endProposed = true
	d.recordStartBeforeEnd(a)
	d.traceAttempt(attemptEnded, a, outcome, a.over)
	if a.worker != nil && a.step.Filler {
		a.worker.colocation.fillersChangedAt = d.now
	}
	if a.step.LongRunning && outcome == jobs.OutcomeLeaseExpired {
		d.planner.leaseExpiredTasks[a.task] = true
	}
	if checkpoint == "" && outcome != jobs.OutcomeDone {
		checkpoint = a.checkpoint
	}
	command := jobs.End{Task: a.task, Attempt: a.number, Outcome: outcome, Checkpoint: checkpoint, At: d.unixMS, Sole: a.sole}
	d.propose(jobs.Command{End: &command}, func(_ jobs.Result, ok bool) {
		a.endProposed = false
		if !ok {
			d.rejectedEnds = append(d.rejectedEnds, func() { d.proposeEnd(a, outcome, checkpoint, onRecorded) })
			return
		}
		d.dropAttempt(a)
		if outcome != jobs.OutcomeDone && outcome != jobs.OutcomeCrashed && a.lapsedOn.Worker != "" {
			d.planner.lapses[a.task] = lapse{a.lapsedOn, d.now}
		}
		d.handleCrashRecorded(&command)
		onRecorded()
	})
}

// retryRejectedEnds proposes the ends again that were not committed. No other event may
// bring them up: the reply that a start was refused comes once.
func (d *Dispatcher) retryRejectedEnds() {
	retries := d.rejectedEnds
	d.rejectedEnds = nil
	for _, propose := range retries {
		propose()
	}
}

// dropAttempt removes an attempt whose end is committed or whose binding was rejected.
func (d *Dispatcher) dropAttempt(a *attempt) {
	if a.worker != nil {
		a.worker.removeAttempt(a)
	}
	if d.orphans[a.task] == a {
		delete(d.orphans, a.task)
	}
	d.planner.dirty = true
}
