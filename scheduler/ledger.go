package scheduler

import "geraniumwall/workerapi"

// account is the ledger of one worker. Its methods are the only writers.
type account struct {
	capacity workerapi.Resources
	// perSlot is reserved for each of the slots in force.
	perSlot workerapi.Resources
	slots   int
	tasks   map[string]workerapi.Resources
	used    workerapi.Resources
}

func newAccount(capacity workerapi.Resources) account {
	return account{capacity: capacity, tasks: map[string]workerapi.Resources{}}
}

// free is what neither tasks nor slots take up.
func (a *account) free() workerapi.Resources {
	return a.capacity.Minus(a.reserved()).Minus(a.used)
}

func (a *account) reserved() workerapi.Resources { return a.perSlot.Times(int64(a.slots)) }

// fits reports whether a task of the size can be added.
func (a *account) fits(size workerapi.Resources) bool { return size.Fits(a.free()) }

// add records a task that the caller checked with fits, or that runs already.
func (a *account) add(task string, size workerapi.Resources) {
	_, known := a.tasks[task]
	assert(!known, "task %s has two entries in the ledger of one worker", task)
	a.tasks[task] = size
	a.used = a.used.Plus(size)
	a.check()
}

func (a *account) remove(task string) {
	a.used = a.used.Minus(a.tasks[task])
	delete(a.tasks, task)
	a.check()
}

// reserve offers as many of the wanted slots as fit beside the tasks. It keeps
// the reservation in force if fewer than busy slots would fit.
func (a *account) reserve(perSlot workerapi.Resources, wanted, busy int) {
	room := a.capacity.Minus(a.used)
	slots := min(wanted, slotsThatFit(perSlot, room))
	if slots < busy {
		return
	}
	a.perSlot, a.slots = perSlot, slots
	a.check()
}

// displace makes room for a task that a worker reports as running by lowering
// the slots on offer. It reports false if the host cannot hold the task at all.
func (a *account) displace(size workerapi.Resources) bool {
	room := a.capacity.Minus(a.used).Minus(size)
	if room.Negative() {
		return false
	}
	a.slots = min(a.slots, slotsThatFit(a.perSlot, room))
	return true
}

func (a *account) check() {
	assert(!a.free().Negative(), "ledger above capacity: capacity %+v, reserved %+v, tasks %+v",
		a.capacity, a.reserved(), a.used)
	assert(!a.used.Negative(), "ledger below zero: %+v", a.used)
}

// slotsThatFit is the number of slots of the size that fit into room.
func slotsThatFit(perSlot, room workerapi.Resources) int {
	n := int64(maxSlots)
	n = min(n, quotient(room.CPUMillis, perSlot.CPUMillis))
	n = min(n, quotient(room.MemoryMB, perSlot.MemoryMB))
	n = min(n, quotient(room.Accelerators, perSlot.Accelerators))
	return int(max(n, 0))
}

func quotient(room, size int64) int64 {
	if size <= 0 {
		return maxSlots
	}
	return room / size
}
