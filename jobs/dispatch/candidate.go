package dispatch

import (
	"cmp"
	"slices"

	"geraniumwall/jobs"
	"geraniumwall/jobs/dispatch/locality"
)

// candidate is a worker with its free capacity during one plan.
type candidate struct {
	worker   *worker
	capacity jobs.Resources
	free     jobs.Resources
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
	// slowdown that each of their images tolerates once headroomKnown is set; headroomOf
	// returns it.
	servingTasks  int
	headroom      []imageHeadroom
	headroomKnown bool
	// mixed is set if serving tasks on the worker are disturbed by different fillers, once
	// mixedKnown is set.
	mixed      bool
	mixedKnown bool
	// idleMilliCPU is the CPU time that the tasks on the worker are expected to leave for
	// fillers, in millicores.
	idleMilliCPU float64
	// room is the expected free capacity over time, nil until a task considers to wait for
	// the rack of the worker.
	room *locality.Worker
}

func (d *Dispatcher) candidates() []*candidate {
	clear(d.planner.similar)
	states := make([]candidate, 0, len(d.workers))
	for _, w := range d.workersByID() {
		if d.mayGetTasks(w) {
			states = append(states, d.newCandidate(w))
		}
	}
	d.planner.nonServing, d.planner.usable, d.planner.isolated, d.planner.cold = 0, len(states), 0, 0
	list := make([]*candidate, len(states))
	for i := range states {
		c := &states[i]
		list[i] = c
		d.planner.nonServing += boolToInt(c.servingTasks == 0)
		d.planner.isolated += boolToInt(c.isolated)
		d.planner.cold += boolToInt(c.worker.coldLeft(d.now) > 0)
	}
	return list
}

// workersByID returns the workers in the order of their ids. The list is kept until a
// worker is added, replaced or removed.
func (d *Dispatcher) workersByID() []*worker {
	if len(d.planner.workersByID) == 0 {
		for _, w := range d.workers {
			d.planner.workersByID = append(d.planner.workersByID, w)
		}
		slices.SortFunc(d.planner.workersByID, func(a, b *worker) int { return cmp.Compare(a.Worker, b.Worker) })
	}
	return d.planner.workersByID
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
