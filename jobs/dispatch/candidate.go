package dispatch

import (
	"cmp"
	"slices"

	"geraniumwall/jobs"
)

// candidate is a worker with its free capacity during one plan.
type candidate struct {
	worker *worker
	free   jobs.Resources
	// freeAfterShort is the free capacity once all short tasks have finished.
	freeAfterShort jobs.Resources
	// shortMilliCPU is the CPU that short tasks have reserved, in millicores. keptForShort
	// is set for a worker that gets no new long-running tasks.
	shortMilliCPU int64
	keptForShort  bool
	pendingStarts int
	// tasks is the number of tasks on the worker, suspects that of tasks under which workers
	// have crashed. isolated is set if one of these is to run alone.
	tasks    int
	suspects int
	isolated bool
	// reserved limits which tasks the worker may get in this plan. With reservedForTask it
	// is reservedTask only.
	reserved     reservation
	reservedTask jobs.TaskKey
	// claims are the claims of room on the worker, claimed is what they request together.
	claims  []*claim
	claimed jobs.Resources
	// servingTasks is the number of serving tasks on the worker. headroom holds the further
	// slowdown that each of their images tolerates.
	servingTasks int
	headroom     map[string]float64
	// idleMilliCPU is the CPU time that the tasks on the worker are expected to leave for
	// fillers, in millicores.
	idleMilliCPU float64
}

func (d *Dispatcher) candidates() []*candidate {
	var list []*candidate
	for _, w := range d.workers {
		if !w.usable(d.now) {
			continue
		}
		list = append(list, d.newCandidate(w))
	}
	d.planner.nonServing, d.planner.usable, d.planner.isolated = 0, len(list), 0
	for _, c := range list {
		d.planner.nonServing += boolToInt(c.servingTasks == 0)
		d.planner.isolated += boolToInt(c.isolated)
	}
	slices.SortFunc(list, func(a, b *candidate) int { return cmp.Compare(a.worker.Worker, b.worker.Worker) })
	return list
}

// reservation limits which tasks may be bound to a worker during one plan.
type reservation int

const (
	notReserved reservation = iota
	reservedForLongRunning
	reservedForTask
)

// admits reports whether the reservation of a worker permits a task.
func (c *candidate) admits(step *jobs.Step, key jobs.TaskKey) bool {
	switch c.reserved {
	case reservedForLongRunning:
		return step.LongRunning
	case reservedForTask:
		return key == c.reservedTask
	case notReserved:
	}
	return true
}
