package dispatch

import (
	"slices"

	"geraniumwall/jobs"
)

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
func (d *Dispatcher) newCandidate(w *worker) candidate {
	l := w.currentLoad()
	left := w.Capacity
	for _, u := range w.unexpected {
		left = left.Sub(u.reserved)
	}
	c := candidate{
		worker: w, capacity: w.Capacity, free: left.Sub(l.reserved), freeAfterShort: left.Sub(l.lasting),
		shortMilliCPU: l.reserved.MilliCPU - l.lasting.MilliCPU, pendingStarts: l.pendingStarts,
		tasks: len(w.attempts) + len(w.unexpected), servingTasks: l.serving,
		idleMilliCPU: float64(w.Capacity.MilliCPU) - l.expectedMilliCPU,
	}
	for _, a := range l.suspects {
		d.addSuspect(&c, a)
	}
	return c
}

// imageHeadroom is the further slowdown that a serving image on a worker tolerates.
type imageHeadroom struct {
	image string
	value float64
}

// headroomOf returns the headroom of the serving images on a worker. It is computed on
// first use, since most workers of a full fleet are skipped before.
func (d *Dispatcher) headroomOf(c *candidate) []imageHeadroom {
	if c.headroomKnown {
		return c.headroom
	}
	c.headroomKnown = true
	l := c.worker.currentLoad()
	for _, g := range l.servingGroups {
		c.limitHeadroom(g.image, d.tolerableByGroup(g, goalTailRatio, placementLookahead)-1)
	}
	for i := range c.headroom {
		h := &c.headroom[i]
		for _, f := range l.fillers {
			h.value -= d.effect(h.image, f.image) * float64(f.milliCPU) / milliCPUPerCore
		}
	}
	return c.headroom
}

// limitHeadroom lowers the headroom of a serving image to that of one more of its tasks.
func (c *candidate) limitHeadroom(image string, headroom float64) {
	for i := range c.headroom {
		if c.headroom[i].image == image {
			c.headroom[i].value = min(c.headroom[i].value, headroom)
			return
		}
	}
	c.headroom = append(c.headroom, imageHeadroom{image, headroom})
}

func (c *candidate) servesImage(image string) bool {
	return slices.ContainsFunc(c.headroom, func(h imageHeadroom) bool { return h.image == image })
}

// useIdle subtracts the expected CPU usage of a task from the idle CPU.
func (c *candidate) useIdle(step *jobs.Step) {
	c.servingTasks += boolToInt(step.LatencyTargetMS > 0)
	c.idleMilliCPU -= expectedMilliCPU(step)
}

// addTask adds a planned task to a worker's serving tasks, headroom and CPU usage.
func (d *Dispatcher) addTask(c *candidate, step *jobs.Step) {
	d.headroomOf(c)
	if step.LatencyTargetMS > 0 {
		if c.servingTasks == 0 {
			d.planner.nonServing--
		}
		if !c.servesImage(step.Image) {
			c.mixedKnown = false
			bound := goalTailRatio * float64(step.LatencyTargetMS)
			c.limitHeadroom(step.Image, d.model.Bearable(step.Image, assumedLoad, bound)-1)
		}
	}
	c.useIdle(step)
	if !step.Filler {
		return
	}
	for i := range c.headroom {
		h := &c.headroom[i]
		h.value -= d.effect(h.image, step.Image) * float64(step.Request.MilliCPU) / milliCPUPerCore
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
	if d.overColdShare(step, c) {
		score -= coldPenalty
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
	headroom := d.headroomOf(c)
	dissimilar = slices.ContainsFunc(headroom, func(served imageHeadroom) bool { return !d.similarInterference(served.image, image) })
	if !c.mixedKnown {
		c.mixed, c.mixedKnown = d.mixesProfiles(headroom), true
	}
	return dissimilar, c.mixed
}

// mixesProfiles reports whether some of the serving images are disturbed by other fillers
// than the rest.
func (d *Dispatcher) mixesProfiles(headroom []imageHeadroom) bool {
	for i, served := range headroom {
		for _, other := range headroom[i+1:] {
			if !d.similarInterference(served.image, other.image) {
				return true
			}
		}
	}
	return false
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
	for _, h := range d.headroomOf(c) {
		slowdown := d.effect(h.image, step.Image) * float64(step.Request.MilliCPU) / milliCPUPerCore
		worst = max(worst, min(1, slowdown/max(h.value, minHeadroom)))
	}
	return score - interferencePenalty*worst
}

// lacksResources reports whether a worker has too little idle CPU for a filler, or memory
// that has to stay free for long-running tasks. Fillers reserve no CPU, so
// without these bounds memory alone would limit their number.
func (c *candidate) lacksResources(step *jobs.Step) bool {
	left := c.idleMilliCPU - float64(step.Request.MilliCPU)
	memory := c.free.MemoryMB - step.Request.MemoryMB
	return left < -maxCPUDeficitShare*float64(c.capacity.MilliCPU) ||
		float64(memory) < reservedMemoryShare*float64(c.capacity.MemoryMB)
}

// exceedsHeadroom reports whether a filler would slow a serving task on the worker by more
// than its headroom.
func (d *Dispatcher) exceedsHeadroom(step *jobs.Step, c *candidate) bool {
	cores := float64(step.Request.MilliCPU) / milliCPUPerCore
	for _, h := range d.headroomOf(c) {
		effect := d.effect(h.image, step.Image)
		if effect > disturbingEffect && effect*cores > h.value {
			return true
		}
	}
	return false
}
