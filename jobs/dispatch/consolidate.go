package dispatch

import (
	"cmp"
	"slices"
	"time"

	"geraniumwall/jobs"
)

const (
	// consolidateInterval is the time between two workers that are cleared.
	consolidateInterval = time.Second
	// minBlockedMilliCPU is the processor time that fillers must lack, in thousandths of a
	// core, before a worker is cleared for them: less is not worth the disruption.
	minBlockedMilliCPU = 8000
	// maxBlockedWait is the wait from which on a worker is cleared for less.
	maxBlockedWait = 2 * time.Second
	// maxConsolidationTries bounds the workers that are tried at a time.
	maxConsolidationTries = 8
)

// consolidate moves the serving tasks of one worker to others, so that fillers
// which would disturb serving tasks everywhere else have a worker of their own. A
// move costs a serving task about a second and frees a worker for the rest of a
// burst. It answers loads whose fillers wait while processor time is idle.
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

// enoughBlocked reports whether enough fillers wait for a worker, or any for long.
func (d *Dispatcher) enoughBlocked() bool {
	if d.planner.blockedMilliCPU == 0 {
		return false
	}
	return d.planner.blockedMilliCPU >= minBlockedMilliCPU || d.now-d.planner.blockedSince > maxBlockedWait
}

// movingServingTask reports whether a serving task is being moved.
func (d *Dispatcher) movingServingTask() bool {
	for _, w := range d.workers {
		for _, a := range w.attempts {
			if a.step.TailTarget > 0 && a.stopping {
				return true
			}
		}
	}
	return false
}

// canMoveServingTasks reports whether all serving tasks of a worker are at work and may be
// interrupted.
func (d *Dispatcher) canMoveServingTasks(w *worker) bool {
	for _, a := range w.attempts {
		if a.step.TailTarget > 0 && (!a.isServing() || a.step.MaxUnavailable > 0) {
			return false
		}
	}
	return true
}

// fitsElsewhere reports whether the serving tasks of a worker have room on other
// workers that serve, without mixing tasks that different fillers disturb.
func (d *Dispatcher) fitsElsewhere(c *candidate, candidates []*candidate) bool {
	var moving []*attempt
	for _, a := range c.worker.attempts {
		if a.step.TailTarget > 0 {
			moving = append(moving, a)
		}
	}
	slices.SortFunc(moving, func(x, y *attempt) int {
		return cmp.Or(cmp.Compare(y.charge.MilliCPU, x.charge.MilliCPU), cmp.Compare(x.task.String(), y.task.String()))
	})
	taken := map[*candidate]jobs.Resources{}
	steps := map[*candidate]map[jobs.TaskKey]int{}
	for _, a := range moving {
		to := d.destination(c, candidates, a, taken, steps)
		if to == nil {
			return false
		}
		taken[to] = taken[to].Add(a.charge)
		if steps[to] == nil {
			steps[to] = map[jobs.TaskKey]int{}
		}
		steps[to][stepKey(a.task)]++
	}
	return len(moving) > 0
}

// stepKey is the key of a task without its index.
func stepKey(k jobs.TaskKey) jobs.TaskKey {
	k.Index = 0
	return k
}

// destination returns the fullest worker to which a serving task may move.
func (d *Dispatcher) destination(
	from *candidate, candidates []*candidate, a *attempt, taken map[*candidate]jobs.Resources, steps map[*candidate]map[jobs.TaskKey]int,
) *candidate {
	var best *candidate
	for _, c := range candidates {
		if c == from || c.servingTasks == 0 || c.worker.Service != from.worker.Service || !c.worker.hasLabel(a.step.RequiredLabel) {
			continue
		}
		if !a.charge.Fits(c.free.Sub(taken[c])) || !d.keepsProfiles(c, a.step.Image) {
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

// keepsProfiles reports whether a serving image does not add a further kind to a
// worker with one kind.
func (d *Dispatcher) keepsProfiles(c *candidate, image string) bool {
	dissimilar, mixed := d.compareProfiles(c, image)
	return !dissimilar || mixed
}

// moveServingTasks stops the serving tasks of a worker; the planner starts them elsewhere.
func (d *Dispatcher) moveServingTasks(w *worker) {
	for _, a := range w.attempts {
		if a.step.TailTarget > 0 {
			d.addNote("serving task is moved", w, a, "fillers wait for a worker without serving tasks")
			d.avoid(a.task, w.Worker)
			a.stopping = true
		}
	}
}
