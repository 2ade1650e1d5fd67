package dispatch

import (
	"time"

	"geraniumwall/jobs"
)

// phase is the progress of an attempt's start.
type phase int

const (
	// phaseInherited: bound by an earlier leader or on an earlier incarnation of the
	// worker, and possibly started.
	phaseInherited phase = iota
	// phaseProposed: the binding is proposed but not committed yet.
	phaseProposed
	// phaseOrdered: the start was sent and is not answered yet.
	phaseOrdered
	// phaseStarted: the worker has accepted the start or lists the attempt as running.
	phaseStarted
	// phaseUncertain: the start got no answer and may still arrive. It is looked up in the
	// worker's next list; if that lacks it, a stop prevents that it starts.
	phaseUncertain
	// phaseVoid: the attempt can no longer start. The worker has confirmed a stop after an
	// uncertain start, or the start was never sent.
	phaseVoid
)

// attempt is the current attempt of a task.
type attempt struct {
	task   jobs.TaskKey
	number int
	// job and record are the task's job and its record in the log. Both outlive the attempt:
	// a job that is pruned has ended.
	job      *jobs.Job
	record   *jobs.Task
	queue    string
	worker   *worker
	reserved jobs.Resources
	step     *jobs.Step
	phase    phase
	// phaseSince is when the phase was entered. If a list of the worker that was requested
	// later lacks the attempt, the attempt has ended.
	phaseSince time.Duration
	checkpoint string
	percent    int
	usage      float64
	// progressAt is when percent last changed.
	progressAt time.Duration
	startedAt  time.Duration
	stopping   bool
	// unlisted is set if a list that the worker was asked for in phaseUncertain lacks the
	// attempt.
	unlisted bool
	// yields is set while the room of the attempt is claimed for another task.
	yields     bool
	nextStopAt time.Duration
	// superseded is set when an earlier attempt that was abandoned turns out to
	// have succeeded.
	superseded bool
	// suspicion is the suspicion of the task.
	suspicion int
	// unstarted is set for an attempt that was phaseVoid on an earlier incarnation of its
	// worker, or whose start had no answer in time: the worker was down already.
	unstarted bool
	// crashed is set once the incarnation to which the attempt was bound is known to have
	// crashed. sole is set if the attempt had started there and was the only one.
	crashed bool
	sole    bool
	// lapsedOn is the worker with whose lease the attempt of a short task is given up.
	lapsedOn jobs.Incarnation
	// inherited is set for an attempt whose start by an earlier leader has no known time.
	inherited bool
	// over is what makes it certain that the attempt is over, set before its end is proposed.
	over certainty
	// endProposed is set while the end is proposed but not committed yet.
	endProposed bool
	// appliedPace is the last pace that the worker accepted, targetPace the pace that it
	// should have. pausedAt is when targetPace last became 0. paceInFlight is set while a
	// pace order is not answered yet.
	appliedPace  int
	targetPace   int
	pausedAt     time.Duration
	paceInFlight bool
}

func (a *attempt) setPhase(p phase, now time.Duration) {
	pending := a.startPending()
	a.phase, a.phaseSince, a.unlisted = p, now, false
	if a.startPending() != pending {
		a.markLoadOutdated()
	}
	if a.worker != nil {
		a.worker.nextSweepAt = now
	}
}

func (a *attempt) setSuspicion(suspicion int) {
	a.suspicion = suspicion
	a.markLoadOutdated()
}

// markLoadOutdated makes the worker of the attempt add up its load anew.
func (a *attempt) markLoadOutdated() {
	if a.worker != nil {
		a.worker.load.outdated = true
	}
}

// startPending reports whether the start of the attempt is not answered yet.
func (a *attempt) startPending() bool { return a.phase == phaseProposed || a.phase == phaseOrdered }

// remaining estimates the time until the attempt finishes from its progress, or from
// the declared duration before any progress is reported.
func (a *attempt) remaining(now time.Duration) time.Duration {
	elapsed := now - a.startedAt
	if a.percent > 0 && a.percent <= 100 {
		return time.Duration(float64(elapsed) * float64(100-a.percent) / float64(a.percent))
	}
	declared := time.Duration(a.step.EstimateMS) * time.Millisecond
	return max(0, declared-elapsed)
}
