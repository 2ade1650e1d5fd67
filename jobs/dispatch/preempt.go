package dispatch

import (
	"fmt"
	"slices"
	"time"

	"geraniumwall/jobs"
)

const (
	// stopTime is how long a worker may take to stop a task. Work that ends sooner by itself
	// is not stopped.
	stopTime = 400 * time.Millisecond
	// restoreTime is how long a task takes to resume from a checkpoint.
	restoreTime = 600 * time.Millisecond
	// preemptedDelay is by how much a preemption delays a task, with the wait for room.
	preemptedDelay = stopTime + restoreTime + 500*time.Millisecond
	// maxLostWork is the work of a task without checkpoints that a preemption may discard.
	maxLostWork = 300 * time.Millisecond
	// preemptionCooldown is the minimum time between two preemptions of a task,
	// maxPreemptions the number of its preemptions by one leader.
	preemptionCooldown = 5 * time.Second
	maxPreemptions     = 2
	// preemptionsPerWorker times the number of workers bounds the preemptions in any interval of
	// preemptionWindow. minPreemptionBurst is the lower bound of that.
	preemptionsPerWorker = 0.2
	minPreemptionBurst   = 4
	preemptionWindow     = time.Second
	// maxPreemptingSteps bounds the steps for which one plan looks for room.
	maxPreemptingSteps = 4
)

// preemptor makes room for urgent short tasks.
type preemptor struct {
	claims []*claim
	// perStep is the number of claims of each step.
	perStep map[jobs.TaskKey]int
	// recent are the times of the preemptions in the last preemptionWindow, left is how many
	// more are allowed now.
	recent []time.Duration
	left   int
	// preempted are the preemptions of tasks whose jobs are active.
	preempted map[jobs.TaskKey]preemption
	// nextWorker is the index of the first candidate that the next search examines.
	nextWorker int
}

// preemption counts the preemptions of a task.
type preemption struct {
	count int
	at    time.Duration
}

// PreemptionCounts counts preempted tasks, and claims of room on workers by their result.
type PreemptionCounts struct {
	// Preempted is the number of tasks that were stopped for others.
	Preempted int
	// Claimed is the number of new claims, Used that of the claims whose task was bound,
	// Expired that of the claims whose room did not come free in time.
	Claimed, Used, Expired int
}

func (p *preemptor) init() {
	p.perStep, p.preempted = map[jobs.TaskKey]int{}, map[jobs.TaskKey]preemption{}
}

// prune drops the preemptions of tasks whose jobs have ended.
func (p *preemptor) prune(store *jobs.Store) {
	for key := range p.preempted {
		if j := store.Job(key.Job); j == nil || j.State.Ended() {
			delete(p.preempted, key)
		}
	}
}

// refill drops the preemptions that have left the window.
func (p *preemptor) refill(workers int, now time.Duration) {
	p.recent = slices.DeleteFunc(p.recent, func(at time.Duration) bool { return now-at >= preemptionWindow })
	p.left = max(0, max(minPreemptionBurst, int(preemptionsPerWorker*float64(workers)))-len(p.recent))
}

// preemptFor claims room for the tasks of a short job that found none, if the job can still
// meet its objective. The room is that of work of a lower priority that ends soon, or that is
// stopped since it loses little.
func (d *Dispatcher) preemptFor(wj *waitingJob, search *roomSearch) {
	if wj.tier != tierOnTime || wj.class != classShort || wj.priority >= search.lowest {
		return
	}
	for o := range wj.job.Runs {
		if wj.job.Spec.Due(o) > d.unixMS {
			continue
		}
		for s := range wj.job.Spec.Steps {
			if search.steps >= maxPreemptingSteps {
				return
			}
			if wj.job.StepReady(o, s) {
				d.claimForStep(wj, o, s, search)
			}
		}
	}
}

// meetsObjective reports whether a job with a waiting step can still meet its objective if
// the room for it comes free after stopTime.
func (d *Dispatcher) meetsObjective(wj *waitingJob, step *jobs.Step) bool {
	remaining := max(wj.remaining, int64(minEstimateRatio*float64(step.EstimateMS)))
	return d.unixMS+stopTime.Milliseconds()+remaining <= wj.objectiveAt
}

// preemptAttempt stops an attempt for a task of another step. The task is planned again
// from its checkpoint.
func (d *Dispatcher) preemptAttempt(w *worker, a *attempt, beneficiary jobs.TaskKey) {
	p := &d.planner.preemptor
	p.left--
	p.recent = append(p.recent, d.now)
	p.preempted[a.task] = preemption{p.preempted[a.task].count + 1, d.now}
	d.activity.preemptions.Preempted++
	d.addLogEvent("task preempted", w, a, fmt.Sprintf("for step %v, at %d%%, loses %v of work", beneficiary, a.percent, d.lostWork(a)))
	a.stopping = true
	a.nextStopAt = d.now + stopRetryInterval
	d.enqueueOrder(w, Order{Stop: &Stop{a.task, a.number}})
}

// lostWork returns the work that an attempt loses if it is stopped. A stop saves the work of
// a task with checkpoints.
func (d *Dispatcher) lostWork(a *attempt) time.Duration {
	if a.step.Checkpointed {
		return 0
	}
	return d.now - a.startedAt
}

// expectedRemaining estimates the time until the attempt ends from its progress at the time
// of the last change, or from the declared duration.
func (a *attempt) expectedRemaining(now time.Duration) time.Duration {
	declared := time.Duration(a.step.EstimateMS) * time.Millisecond
	worked := a.progressAt - a.startedAt
	switch {
	case a.percent <= 0 || a.percent > 100:
		return max(0, declared-(now-a.startedAt))
	case a.record.Checkpoint != "":
		// The progress includes that of earlier attempts.
		return max(0, declared*time.Duration(100-a.percent)/100-(now-a.progressAt))
	}
	return max(0, worked*time.Duration(100)/time.Duration(a.percent)-(now-a.startedAt))
}
