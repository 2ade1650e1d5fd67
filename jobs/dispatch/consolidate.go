package dispatch

import (
	"cmp"
	"slices"
	"time"

	"geraniumwall/jobs"
)

const (
	// consolidateInterval is the minimum time between two consolidations.
	consolidateInterval = time.Second
	// minBlockedMilliCPU is the CPU request of blocked fillers, in millicores, from which on
	// serving tasks are moved for them. For less the moves are not worth the disruption.
	minBlockedMilliCPU = 8000
	// maxBlockedWait is the wait of blocked fillers after which serving tasks are moved for
	// a lower CPU request too.
	maxBlockedWait = 2 * time.Second
	// maxConsolidationTries bounds the workers that one consolidation examines.
	maxConsolidationTries = 8
)

// consolidate moves the serving tasks of one worker to others, so that fillers that would
// disturb serving tasks on every worker can run there. Otherwise such fillers would wait
// while CPUs are idle. A move interrupts a serving task for about a second and frees the
// worker for the rest of a burst.
func (d *Dispatcher) consolidate() {
	if !d.enoughBlocked() || d.now-d.planner.consolidatedAt < consolidateInterval || d.movingServingTask() {
		return
	}
	d.planner.consolidatedAt = d.now
	candidates := d.candidates()
	var sources []*candidate
	for _, c := range candidates {
		if c.servingTasks > 0 && d.canMoveServingTasks(c.worker) {
			sources = append(sources, c)
		}
	}
	slices.SortFunc(sources, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.servingTasks, b.servingTasks), cmp.Compare(a.worker.Worker, b.worker.Worker))
	})
	for _, c := range sources[:min(len(sources), maxConsolidationTries)] {
		if d.fitsElsewhere(c, candidates) {
			d.moveServingTasks(c.worker)
			return
		}
	}
}

// enoughBlocked reports whether the blocked fillers request enough CPU or have waited long
// enough to justify moves.
func (d *Dispatcher) enoughBlocked() bool {
	if d.planner.blockedMilliCPU == 0 {
		return false
	}
	return d.planner.blockedMilliCPU >= minBlockedMilliCPU || d.now-d.planner.blockedSince > maxBlockedWait
}

// movingServingTask reports whether any serving task is being stopped or moved.
func (d *Dispatcher) movingServingTask() bool {
	for _, w := range d.workers {
		for _, a := range w.attempts {
			if a.step.LatencyTargetMS > 0 && a.stopping {
				return true
			}
		}
	}
	return false
}

// canMoveServingTasks reports whether all serving tasks of a worker are ready and may be
// interrupted.
func (d *Dispatcher) canMoveServingTasks(w *worker) bool {
	for _, a := range w.attempts {
		if a.step.LatencyTargetMS > 0 && (!a.isServing() || a.step.MaxUnavailable > 0) {
			return false
		}
	}
	return true
}

// fitsElsewhere reports whether the serving tasks of a worker fit on other workers with
// serving tasks, without mixing tasks that are disturbed by different fillers.
func (d *Dispatcher) fitsElsewhere(c *candidate, candidates []*candidate) bool {
	var moving []*attempt
	for _, a := range c.worker.attempts {
		if a.step.LatencyTargetMS > 0 {
			moving = append(moving, a)
		}
	}
	slices.SortFunc(moving, func(x, y *attempt) int {
		return cmp.Or(cmp.Compare(y.reserved.MilliCPU, x.reserved.MilliCPU), cmp.Compare(x.task.String(), y.task.String()))
	})
	taken := map[*candidate]jobs.Resources{}
	steps := map[*candidate]map[jobs.TaskKey]int{}
	for _, a := range moving {
		to := d.destination(c, candidates, a, taken, steps)
		if to == nil {
			return false
		}
		taken[to] = taken[to].Add(a.reserved)
		if steps[to] == nil {
			steps[to] = map[jobs.TaskKey]int{}
		}
		steps[to][stepKey(a.task)]++
	}
	return len(moving) > 0
}

// stepKey returns the key of a task without its index, which identifies its step.
func stepKey(k jobs.TaskKey) jobs.TaskKey {
	k.Index = 0
	return k
}

// destination returns the worker with the least free CPU to which a serving task can move,
// or nil. taken and steps hold the capacity and the tasks of each step that other moves
// already take up.
func (d *Dispatcher) destination(
	from *candidate, candidates []*candidate, a *attempt, taken map[*candidate]jobs.Resources, steps map[*candidate]map[jobs.TaskKey]int,
) *candidate {
	var best *candidate
	for _, c := range candidates {
		if c == from || c.servingTasks == 0 || c.isolated || c.worker.Service != from.worker.Service || !c.worker.hasLabel(a.step.RequiredLabel) {
			continue
		}
		if !a.reserved.FitsIn(c.free.Sub(taken[c])) || !d.keepsProfiles(c, a.step.Image) {
			continue
		}
		if a.step.MaxPerWorker > 0 && countStep(c.worker, a.task)+steps[c][stepKey(a.task)] >= a.step.MaxPerWorker {
			continue
		}
		if best == nil || c.free.MilliCPU < best.free.MilliCPU {
			best = c
		}
	}
	return best
}

// keepsProfiles reports whether adding a serving image does not start to mix images that
// are disturbed by different fillers.
func (d *Dispatcher) keepsProfiles(c *candidate, image string) bool {
	dissimilar, mixed := d.compareProfiles(c, image)
	return !dissimilar || mixed
}

// moveServingTasks stops the serving tasks of a worker. The planner restarts them on other
// workers.
func (d *Dispatcher) moveServingTasks(w *worker) {
	for _, a := range w.attempts {
		if a.step.LatencyTargetMS > 0 {
			d.addLogEvent("moving serving task", w, a, "fillers are waiting for a worker without serving tasks")
			d.avoid(a.task, w.Worker)
			d.requestStop(a)
		}
	}
}
