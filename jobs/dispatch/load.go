package dispatch

import (
	"slices"

	"geraniumwall/jobs"
)

// load is what the attempts of a worker take up. It is kept between plans, since only few
// workers change from one plan to the next.
type load struct {
	// attempts is the number of attempts that are counted. outdated is set once one of them
	// has been added, removed or changed.
	attempts int
	outdated bool
	// reserved is the capacity that all attempts reserve, lasting the share of long-running
	// ones.
	reserved jobs.Resources
	lasting  jobs.Resources
	// expectedMilliCPU is the CPU that the tasks are expected to use, in millicores.
	expectedMilliCPU float64
	pendingStarts    int
	longRunning      int
	serving          int
	servingGroups    []servingGroup
	fillers          []fillerUse
	// queues holds what the tasks of each queue reserve.
	queues queueUses
	// limitedSteps are the steps with MaxPerWorker.
	limitedSteps []stepCount
	// suspects are the attempts under whose task workers have crashed.
	suspects []*attempt
}

// servingGroup stands for the serving tasks of one job with the same image and objective.
type servingGroup struct {
	job, image      string
	latencyTargetMS int64
}

// fillerUse is the CPU request of the fillers of one image, in millicores.
type fillerUse struct {
	image    string
	milliCPU int64
}

// queueUse is the capacity that the tasks of one queue reserve.
type queueUse struct {
	queue    string
	reserved jobs.Resources
}

// stepCount is the number of tasks of one step.
type stepCount struct {
	step  jobs.TaskKey
	tasks int
}

// currentLoad returns what the attempts of the worker take up.
func (w *worker) currentLoad() *load {
	if w.load.outdated || w.load.attempts != len(w.attempts) {
		w.load.reset()
		for _, a := range w.attempts {
			w.load.add(a)
		}
	}
	return &w.load
}

// reset empties the load and keeps the memory of its lists.
func (l *load) reset() {
	*l = load{servingGroups: l.servingGroups[:0], fillers: l.fillers[:0], queues: l.queues[:0], limitedSteps: l.limitedSteps[:0], suspects: l.suspects[:0]}
}

func (l *load) add(a *attempt) {
	l.attempts++
	l.reserved = l.reserved.Add(a.reserved)
	l.queues.add(a.queue, a.reserved)
	l.expectedMilliCPU += expectedMilliCPU(a.step)
	l.pendingStarts += boolToInt(a.startPending())
	if a.step.LongRunning {
		l.longRunning++
		l.lasting = l.lasting.Add(a.reserved)
	}
	if a.step.LatencyTargetMS > 0 {
		l.serving++
		l.addServing(a.servingGroup())
	}
	if a.step.Filler {
		l.addFiller(a.step.Image, a.step.Request.MilliCPU)
	}
	if a.step.MaxPerWorker > 0 {
		l.addStep(stepKey(a.task))
	}
	if a.suspicion > 0 {
		l.suspects = append(l.suspects, a)
	}
}

func (a *attempt) servingGroup() servingGroup {
	return servingGroup{a.task.Job, a.step.Image, a.step.LatencyTargetMS}
}

func (l *load) addServing(g servingGroup) {
	if !slices.Contains(l.servingGroups, g) {
		l.servingGroups = append(l.servingGroups, g)
	}
}

func (l *load) addFiller(image string, milliCPU int64) {
	for i := range l.fillers {
		if l.fillers[i].image == image {
			l.fillers[i].milliCPU += milliCPU
			return
		}
	}
	l.fillers = append(l.fillers, fillerUse{image, milliCPU})
}

// queueUses holds an entry for each queue. There are so few that a search is faster than a
// map.
type queueUses []queueUse

func (u *queueUses) add(queue string, reserved jobs.Resources) {
	list := *u
	for i := range list {
		if list[i].queue == queue {
			list[i].reserved = list[i].reserved.Add(reserved)
			return
		}
	}
	*u = append(list, queueUse{queue, reserved})
}

func (l *load) addStep(step jobs.TaskKey) {
	for i := range l.limitedSteps {
		if l.limitedSteps[i].step == step {
			l.limitedSteps[i].tasks++
			return
		}
	}
	l.limitedSteps = append(l.limitedSteps, stepCount{step, 1})
}

// countStep returns the number of tasks of a step with MaxPerWorker.
func (l *load) countStep(step jobs.TaskKey) int {
	for i := range l.limitedSteps {
		if l.limitedSteps[i].step == step {
			return l.limitedSteps[i].tasks
		}
	}
	return 0
}

// expectedMilliCPU returns the CPU that a task is expected to use, in millicores.
func expectedMilliCPU(step *jobs.Step) float64 {
	if step.LatencyTargetMS > 0 {
		return servingCPUShare * float64(step.Request.MilliCPU)
	}
	return float64(step.Request.MilliCPU)
}

// addAttempt adds an attempt, in place of an earlier one of the same task.
func (w *worker) addAttempt(a *attempt) {
	a.worker = w
	w.attempts[a.task] = a
	w.load.outdated = true
}

// removeAttempt removes an attempt if it is the current one of its task on the worker.
func (w *worker) removeAttempt(a *attempt) {
	if w.attempts[a.task] == a {
		delete(w.attempts, a.task)
		w.load.outdated = true
	}
}
