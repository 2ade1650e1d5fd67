package dispatch

import (
	"time"

	"geraniumwall/jobs"
)

// phase is how far the start of an attempt has come.
type phase int

const (
	// phaseInherited: an earlier leader bound it and may have ordered its start.
	phaseInherited phase = iota
	// phaseProposed: the binding is being written to the log.
	phaseProposed
	// phaseOrdered: the start is on its way.
	phaseOrdered
	// phaseStarted: the worker has accepted the start or lists the attempt.
	phaseStarted
	// phaseUncertain: the start was not answered. A stop makes it void.
	phaseUncertain
	// phaseVoid: the worker has answered a stop of an uncertain start.
	phaseVoid
)

// attempt is a current attempt of a task.
type attempt struct {
	task   jobs.TaskKey
	number int
	worker *worker
	charge jobs.Resources
	step   *jobs.Step
	phase  phase
	// phaseSince is when the phase was reached; a list that was asked for later and
	// lacks the attempt shows that it has ended.
	phaseSince time.Duration
	checkpoint string
	percent    int
	usage      float64
	// progressAt is when percent last changed.
	progressAt time.Duration
	startedAt  time.Duration
	stopping   bool
	nextStopAt time.Duration
	// superseded is set once an earlier attempt that was given up turns out to be done.
	superseded bool
	// endProposed is set while the end is being written to the log.
	endProposed bool
	// appliedPace is the last one that the worker has accepted, wantPace the one that it is
	// to have since pausedAt or earlier. pacing is set while an order is on its way.
	appliedPace  int
	targetPace   int
	pausedAt     time.Duration
	paceInFlight bool
}

func (a *attempt) setPhase(p phase, now time.Duration) { a.phase, a.phaseSince = p, now }

// remaining estimates the time until the end of an attempt, by its progress or
// else by the declared duration.
func (a *attempt) remaining(now time.Duration) time.Duration {
	elapsed := now - a.startedAt
	if a.percent > 0 && a.percent <= 100 {
		return time.Duration(float64(elapsed) * float64(100-a.percent) / float64(a.percent))
	}
	declared := time.Duration(a.step.Estimate) * time.Millisecond
	return max(0, declared-elapsed)
}
