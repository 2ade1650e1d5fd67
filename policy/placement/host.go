// Package placement chooses a host for a task: an incremental index of free
// capacity finds a bounded number of hosts with room, a score orders them.
package placement

import (
	"fmt"
	"slices"
	"time"

	"geraniumwall/workerapi"
)

// Host is a worker as the placement sees it. Its fields change through Index only.
type Host struct {
	ID       string
	Rack     string
	Capacity workerapi.Resources
	// Offered is the capacity for tasks: Capacity without what services reserve.
	Offered workerapi.Resources
	Free    workerapi.Resources
	// Kept is the part of Free that only urgent tasks may use.
	Kept     workerapi.Resources
	Services []string
	// Open is false while the host takes no new task.
	Open bool
	// Jobs counts running tasks by job.
	Jobs map[string]int
	// HeldFor names the task that the host is drained for, if any.
	HeldFor string
	// Limit is the number of tasks that may run at once; negative is no limit.
	Limit   int
	Running int

	// Owner is the caller's record of the host.
	Owner any

	rack  *rack
	cell  cell
	place int
}

// Room is the free capacity that every task may use.
func (h *Host) Room() workerapi.Resources { return h.Free.Minus(h.Kept) }

// Accepts reports whether new tasks may start on the host at all.
func (h *Host) Accepts() bool {
	full := h.Limit >= 0 && h.Running >= h.Limit
	return h.Open && !full && h.HeldFor == ""
}

// sameJob is the number of running tasks of the job.
func (h *Host) sameJob(job string) int { return h.Jobs[job] }

// offers reports whether the host carries one of the services.
func (h *Host) offers(services map[string]bool) bool {
	return slices.ContainsFunc(h.Services, func(s string) bool { return services[s] })
}

// form is what decides whether a task can ever run on a host.
type form struct {
	offered  workerapi.Resources
	services string
}

// formMemory is the time for which the size of a host that left still counts as
// available to the fleet: hosts come back after a repair or a partition.
const formMemory = 10 * time.Minute

type formRecord struct {
	hosts    int
	lastSeen time.Duration
	services []string
}

func (h *Host) form() form {
	return form{offered: h.Offered, services: fmt.Sprint(h.Services)}
}
