package dispatch

import "geraniumwall/jobs"

// Bonuses and penalties of a worker's score for a task, where 1 is the worker's CPU
// capacity, and the bounds that placement uses.
const (
	dataRackWeight = 4.0
	// avoidPenalty keeps a task from the worker that it avoids unless no other worker is
	// eligible.
	avoidPenalty = 8.0
	// servingCPUShare is the share of its CPU request that a serving task is expected to
	// use on average.
	servingCPUShare = 0.5
	// nonServingPenalty keeps short tasks and harmless fillers from workers without serving
	// tasks, the only ones that can run fillers that disturb all serving tasks.
	nonServingPenalty = 0.8
	// maxCPUDeficitShare is the share of a worker's CPU by which the requests of fillers may
	// exceed the idle CPU, since serving tasks mostly use less than expected.
	// reservedMemoryShare is the share of its memory that fillers leave free.
	maxCPUDeficitShare  = 0.25
	reservedMemoryShare = 0.15
	// cpuDeficitPenalty weights the CPU that fillers request beyond the idle CPU.
	cpuDeficitPenalty = 2.0
	// similarBonus groups serving tasks that the same fillers disturb, dissimilarPenalty
	// keeps other serving tasks from their workers, and mixedPenalty is the lower penalty on
	// a worker that already mixes serving tasks.
	similarBonus      = 1.0
	dissimilarPenalty = 1.0
	mixedPenalty      = 0.2
	// newServingPenalty keeps serving tasks from workers without any.
	// nonServingReservePenalty replaces it while fewer than nonServingReserveShare of the
	// workers run no serving task.
	newServingPenalty        = 0.2
	nonServingReservePenalty = 1.5
	nonServingReserveShare   = 0.2
	// minHeadroom is the lower bound of the headroom by which a slowdown is divided.
	minHeadroom = 0.1
	// assumedLoad is the load assumed for serving tasks that have not started yet.
	assumedLoad = 0.5
	// packingPenalty weights the free CPU of a worker, so that serving tasks are packed on
	// few workers.
	packingPenalty = 0.5
	// interferencePenalty weights the share of a serving task's headroom that a filler
	// uses, so that most fillers run beside tasks that they do not disturb.
	interferencePenalty = 1.0
)

// newCandidate returns the state of a worker at the start of a plan.
func (d *Dispatcher) newCandidate(w *worker) *candidate {
	c := &candidate{worker: w, free: w.Capacity, idleMilliCPU: float64(w.Capacity.MilliCPU)}
	for _, u := range w.unexpected {
		c.free = c.free.Sub(u.reserved)
	}
	c.freeAfterShort = c.free
	c.tasks = len(w.attempts) + len(w.unexpected)
	var fillers []fillerCores
	for _, a := range w.attempts {
		c.free = c.free.Sub(a.reserved)
		if a.step.LongRunning {
			c.freeAfterShort = c.freeAfterShort.Sub(a.reserved)
		} else {
			c.shortMilliCPU += a.reserved.MilliCPU
		}
		c.pendingStarts += boolToInt(a.phase == phaseProposed || a.phase == phaseOrdered)
		c.useIdle(a.step)
		if a.suspicion > 0 {
			d.addSuspect(c, a)
		}
		if a.step.Filler {
			fillers = addCores(fillers, a)
		}
		if a.step.LatencyTargetMS > 0 {
			c.limitHeadroom(a.step.Image, d.tolerableSlowdown(a, goalTailRatio, placementLookahead)-1)
		}
	}
	for image, headroom := range c.headroom {
		for _, f := range fillers {
			headroom -= d.effect(image, f.image) * f.cores
		}
		c.headroom[image] = headroom
	}
	return c
}

// fillerCores is the CPU request of the fillers of one image on a worker, in cores.
type fillerCores struct {
	image string
	cores float64
}

func addCores(list []fillerCores, a *attempt) []fillerCores {
	for i := range list {
		if list[i].image == a.step.Image {
			list[i].cores += a.declaredCores()
			return list
		}
	}
	return append(list, fillerCores{a.step.Image, a.declaredCores()})
}

// limitHeadroom lowers the headroom of a serving image to that of one more of its tasks.
func (c *candidate) limitHeadroom(image string, headroom float64) {
	if lowest, known := c.headroom[image]; !known || headroom < lowest {
		c.setHeadroom(image, headroom)
	}
}

// setHeadroom sets the headroom of a serving image. The map is allocated on first use,
// since many workers run no serving tasks.
func (c *candidate) setHeadroom(image string, headroom float64) {
	if c.headroom == nil {
		c.headroom = map[string]float64{}
	}
	c.headroom[image] = headroom
}

// useIdle subtracts the expected CPU usage of a task from the idle CPU.
func (c *candidate) useIdle(step *jobs.Step) {
	share := 1.0
	if step.LatencyTargetMS > 0 {
		share = servingCPUShare
		c.servingTasks++
	}
	c.idleMilliCPU -= share * float64(step.Request.MilliCPU)
}

// addTask adds a planned task to a worker's serving tasks, headroom and CPU usage.
func (d *Dispatcher) addTask(c *candidate, step *jobs.Step) {
	if step.LatencyTargetMS > 0 {
		if c.servingTasks == 0 {
			d.planner.nonServing--
		}
		if _, known := c.headroom[step.Image]; !known {
			bound := goalTailRatio * float64(step.LatencyTargetMS)
			c.setHeadroom(step.Image, d.model.Bearable(step.Image, assumedLoad, bound)-1)
		}
	}
	c.useIdle(step)
	if !step.Filler {
		return
	}
	for image := range c.headroom {
		c.headroom[image] -= d.effect(image, step.Image) * float64(step.Request.MilliCPU) / milliCPUPerCore
	}
}

// score returns the score of a worker for a task. Higher is better.
func (d *Dispatcher) score(step *jobs.Step, t *jobs.Task, c *candidate) float64 {
	capacity := float64(max(1, c.worker.Capacity.MilliCPU))
	score := 0.0
	if step.DataRack != "" && c.worker.rack() == step.DataRack {
		score += dataRackWeight
	}
	if avoided, ok := d.planner.avoided[t.Key]; ok && avoided.worker == c.worker.Worker {
		score -= avoidPenalty
	}
	if c.suspects > 0 || t.Crashes > 0 {
		score -= c.suspectPenalty(t)
	}
	switch {
	case step.LatencyTargetMS > 0:
		return score + d.servingScore(step, c, capacity)
	case step.Filler:
		return score + d.fillerScore(step, c, capacity)
	default:
		return score + c.idleMilliCPU/capacity - nonServingPenalty*float64(boolToInt(c.servingTasks == 0))
	}
}

// servingScore packs serving tasks on few workers and groups them by the fillers that
// disturb them, so that most fillers find a worker on which they disturb no task.
func (d *Dispatcher) servingScore(step *jobs.Step, c *candidate, capacity float64) float64 {
	score := -packingPenalty * float64(c.free.MilliCPU) / capacity
	if c.servingTasks == 0 {
		if float64(d.planner.nonServing) < nonServingReserveShare*float64(d.planner.usable) {
			return score - nonServingReservePenalty
		}
		return score - newServingPenalty
	}
	dissimilar, mixed := d.compareProfiles(c, step.Image)
	switch {
	case !dissimilar:
		return score + similarBonus
	case mixed:
		return score - mixedPenalty
	}
	return score - dissimilarPenalty
}

// compareProfiles reports whether a worker runs serving tasks that are disturbed by other
// fillers than the image is, and whether the tasks that it runs already differ in that.
func (d *Dispatcher) compareProfiles(c *candidate, image string) (dissimilar, mixed bool) {
	for served := range c.headroom {
		dissimilar = dissimilar || !d.similarInterference(served, image)
		for other := range c.headroom {
			mixed = mixed || !d.similarInterference(served, other)
		}
	}
	return dissimilar, mixed
}

// fillerScore prefers workers with idle CPU and serving tasks that the filler does not
// disturb.
func (d *Dispatcher) fillerScore(step *jobs.Step, c *candidate, capacity float64) float64 {
	score := c.idleMilliCPU / capacity
	if deficit := float64(step.Request.MilliCPU) - c.idleMilliCPU; deficit > 0 {
		score -= cpuDeficitPenalty * deficit / capacity
	}
	if c.servingTasks == 0 {
		score -= nonServingPenalty
	}
	worst := 0.0
	for image, headroom := range c.headroom {
		slowdown := d.effect(image, step.Image) * float64(step.Request.MilliCPU) / milliCPUPerCore
		worst = max(worst, min(1, slowdown/max(headroom, minHeadroom)))
	}
	return score - interferencePenalty*worst
}

// lacksResources reports whether a worker has too little idle CPU for a filler, or memory
// that has to stay free for long-running tasks. Fillers reserve no CPU, so
// without these bounds memory alone would limit their number.
func (c *candidate) lacksResources(step *jobs.Step) bool {
	left := c.idleMilliCPU - float64(step.Request.MilliCPU)
	memory := c.free.MemoryMB - step.Request.MemoryMB
	return left < -maxCPUDeficitShare*float64(c.worker.Capacity.MilliCPU) ||
		float64(memory) < reservedMemoryShare*float64(c.worker.Capacity.MemoryMB)
}

// exceedsHeadroom reports whether a filler would slow a serving task on the worker by more
// than its headroom.
func (d *Dispatcher) exceedsHeadroom(step *jobs.Step, c *candidate) bool {
	cores := float64(step.Request.MilliCPU) / milliCPUPerCore
	for image, headroom := range c.headroom {
		effect := d.effect(image, step.Image)
		if effect > disturbingEffect && effect*cores > headroom {
			return true
		}
	}
	return false
}
