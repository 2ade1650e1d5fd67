package scheduler

import "geraniumwall/workerapi"

// allocation tracks the resources of one worker that are reserved for slots and
// allocated to tasks. Only its methods modify it.
type allocation struct {
	capacity workerapi.Resources
	// perSlot is reserved for each of the slots.
	perSlot   workerapi.Resources
	slots     int
	tasks     map[string]workerapi.Resources
	allocated workerapi.Resources
}

func newAllocation(capacity workerapi.Resources) allocation {
	return allocation{capacity: capacity, tasks: map[string]workerapi.Resources{}}
}

// free returns the resources that are neither reserved for slots nor allocated to tasks.
func (a *allocation) free() workerapi.Resources {
	return a.capacity.Minus(a.reserved()).Minus(a.allocated)
}

func (a *allocation) reserved() workerapi.Resources { return a.perSlot.Times(int64(a.slots)) }

// fits reports whether a task of the given size can be added.
func (a *allocation) fits(size workerapi.Resources) bool { return size.Fits(a.free()) }

// add allocates a task that the caller checked with fits or that is already running.
func (a *allocation) add(task string, size workerapi.Resources) {
	_, known := a.tasks[task]
	assert(!known, "task %s is allocated twice on one worker", task)
	a.tasks[task] = size
	a.allocated = a.allocated.Plus(size)
	a.assertValid()
}

func (a *allocation) remove(task string) {
	a.allocated = a.allocated.Minus(a.tasks[task])
	delete(a.tasks, task)
	a.assertValid()
}

// reserveSlots reserves as many of the wanted slots as fit next to the tasks. If fewer
// than the committed slots would fit, it keeps the current reservation.
func (a *allocation) reserveSlots(perSlot workerapi.Resources, wanted, committed int) {
	available := a.capacity.Minus(a.allocated)
	slots := min(wanted, slotsThatFit(perSlot, available))
	if slots < committed {
		return
	}
	a.perSlot, a.slots = perSlot, slots
	a.assertValid()
}

// shrinkSlots reduces the reserved slots to make room for a task that a worker reports
// as running. It returns false if the host cannot hold the task at all.
func (a *allocation) shrinkSlots(size workerapi.Resources) bool {
	available := a.capacity.Minus(a.allocated).Minus(size)
	if available.Negative() {
		return false
	}
	a.slots = min(a.slots, slotsThatFit(a.perSlot, available))
	return true
}

func (a *allocation) assertValid() {
	assert(!a.free().Negative(), "allocation exceeds capacity: capacity %+v, reserved for slots %+v, allocated to tasks %+v",
		a.capacity, a.reserved(), a.allocated)
	assert(!a.allocated.Negative(), "allocation to tasks is negative: %+v", a.allocated)
}

// slotsThatFit returns the number of slots of size perSlot that fit into available.
func slotsThatFit(perSlot, available workerapi.Resources) int {
	n := int64(maxSlots)
	n = min(n, quotient(available.CPUMillis, perSlot.CPUMillis))
	n = min(n, quotient(available.MemoryMB, perSlot.MemoryMB))
	n = min(n, quotient(available.Accelerators, perSlot.Accelerators))
	return int(max(n, 0))
}

func quotient(available, size int64) int64 {
	if size <= 0 {
		return maxSlots
	}
	return available / size
}
