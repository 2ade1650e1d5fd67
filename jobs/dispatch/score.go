package dispatch

import "geraniumwall/jobs"

// Weights of the score of a worker for a task, in shares of a worker's capacity.
const (
	dataRackWeight = 4.0
	// avoidPenalty keeps a task from the worker on which it has failed, unless no
	// other has room.
	avoidPenalty = 8.0
	// servingCPUShare is the share of its request that a serving task uses on average.
	servingCPUShare = 0.5
	// nonServingPenalty keeps harmless fillers from workers without serving tasks, which
	// are the only ones for fillers that disturb.
	nonServingPenalty = 0.8
	// maxCPUDeficitShare is the part of a worker's processor time by which fillers may be
	// short of it, since serving tasks mostly use less than is assumed. memoryShare is
	// the part of its memory that they leave free.
	maxCPUDeficitShare  = 0.25
	reservedMemoryShare = 0.15
	// cpuDeficitPenalty counts processor time that fillers would have to share.
	cpuDeficitPenalty = 2.0
	// similarBonus gathers serving tasks that the same fillers disturb, mixWeight
	// keeps others from their workers, and mixedWeight counts a further one on a
	// worker that has several kinds already.
	similarBonus      = 1.0
	dissimilarPenalty = 1.0
	mixedPenalty      = 0.2
	// newServingPenalty keeps serving tasks from a worker without any, and reserveWeight
	// does while fewer than reserveShare of the workers are left without.
	newServingPenalty        = 0.2
	nonServingReservePenalty = 1.5
	nonServingReserveShare   = 0.2
	// minHeadroom bounds the headroom by which a slowdown is divided.
	minHeadroom = 0.1
	// assumedLoad is taken for the load of serving tasks that are not at work yet.
	assumedLoad = 0.5
	// packingPenalty gathers serving tasks on few workers.
	packingPenalty = 0.5
	// interferencePenalty counts the share of the headroom of a serving task that a filler
	// takes, so that fillers are mostly beside tasks that they do not disturb.
	interferencePenalty = 1.0
)

// newCandidate describes a worker for a plan.
func (d *Dispatcher) newCandidate(w *worker) *candidate {
	c := &candidate{worker: w, free: w.free(), idleMilliCPU: float64(w.Capacity.MilliCPU)}
	c.freeAfterShort = c.free
	for _, a := range w.attempts {
		if !a.step.LongRunning {
			c.freeAfterShort = c.freeAfterShort.Add(a.charge)
		}
		c.pendingStarts += boolToInt(a.phase == phaseProposed || a.phase == phaseOrdered)
		c.useIdle(a.step)
		if a.step.TailTarget == 0 {
			continue
		}
		headroom := d.headroom(w, a)
		if lowest, known := c.headroom[a.step.Image]; !known || headroom < lowest {
			c.setHeadroom(a.step.Image, headroom)
		}
	}
	return c
}

// setHeadroom keeps the headroom of an image. Most workers of a plan are not changed
// and many serve nothing, so the map is made when it is needed.
func (c *candidate) setHeadroom(image string, headroom float64) {
	if c.headroom == nil {
		c.headroom = map[string]float64{}
	}
	c.headroom[image] = headroom
}

// useIdle takes what a task uses from the idle processor time.
func (c *candidate) useIdle(step *jobs.Step) {
	share := 1.0
	if step.TailTarget > 0 {
		share = servingCPUShare
		c.servingTasks++
	}
	c.idleMilliCPU -= share * float64(step.Request.MilliCPU)
}

// addTask takes a planned task into the room.
func (d *Dispatcher) addTask(c *candidate, step *jobs.Step) {
	if step.TailTarget > 0 {
		if c.servingTasks == 0 {
			d.planner.nonServing--
		}
		if _, known := c.headroom[step.Image]; !known {
			bound := goalTailRatio * float64(step.TailTarget)
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

// score rates a worker for a task; the highest is best.
func (d *Dispatcher) score(step *jobs.Step, t *jobs.Task, c *candidate) float64 {
	capacity := float64(max(1, c.worker.Capacity.MilliCPU))
	score := 0.0
	if step.DataRack != "" && c.worker.rack() == step.DataRack {
		score += dataRackWeight
	}
	if avoided, ok := d.planner.avoided[t.Key]; ok && avoided.worker == c.worker.Worker {
		score -= avoidPenalty
	}
	switch {
	case step.TailTarget > 0:
		return score + d.servingScore(step, c, capacity)
	case step.Filler:
		return score + d.fillerScore(step, c, capacity)
	default:
		return score + c.idleMilliCPU/capacity - nonServingPenalty*float64(boolToInt(c.servingTasks == 0))
	}
}

// servingScore gathers serving tasks on few workers and by what disturbs them, so
// that most fillers find workers on which they disturb nobody.
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

// compareProfiles reports whether a worker has serving tasks that other fillers disturb than
// those of the image, and whether it has several compareProfiles already.
func (d *Dispatcher) compareProfiles(c *candidate, image string) (dissimilar, mixed bool) {
	for one := range c.headroom {
		dissimilar = dissimilar || !d.similarInterference(one, image)
		for other := range c.headroom {
			mixed = mixed || !d.similarInterference(one, other)
		}
	}
	return dissimilar, mixed
}

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

// lacksResources reports whether a filler would find too little processor time, or would
// take the memory that lasting tasks need: fillers ask for no processor time, so
// memory alone would bound them.
func (c *candidate) lacksResources(step *jobs.Step) bool {
	left := c.idleMilliCPU - float64(step.Request.MilliCPU)
	memory := c.free.MemoryMB - step.Request.MemoryMB
	return left < -maxCPUDeficitShare*float64(c.worker.Capacity.MilliCPU) ||
		float64(memory) < reservedMemoryShare*float64(c.worker.Capacity.MemoryMB)
}

// exceedsHeadroom reports whether a filler would take a serving task on the worker above
// its objective.
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
