// Package placement chooses a host for a task. An incremental index of free
// capacity yields a bounded number of hosts on which the task fits, and the one
// with the lowest score is chosen.
package placement

import (
	"fmt"
	"slices"
	"time"

	"geraniumwall/workerapi"
)

// Host is a worker in the index. Its fields except Owner are changed only by Index.
type Host struct {
	ID       string
	Rack     string
	Capacity workerapi.Resources
	// Offered is the capacity for tasks: Capacity minus the reservation of services.
	Offered workerapi.Resources
	// Free is the part of Offered that is not reserved by tasks.
	Free workerapi.Resources
	// Kept is the part of Free that is reserved for urgent tasks.
	Kept     workerapi.Resources
	Services []string
	// Open is false while the host accepts no new tasks.
	Open bool
	// TasksByJob counts the running tasks of each job.
	TasksByJob map[string]int
	// HeldFor is the task for which the host is being drained, if any.
	HeldFor string
	// Limit is the number of tasks that may run at once; negative means no limit.
	Limit        int
	RunningTasks int

	// Owner is the caller's own record of the host; this package doesn't use it.
	Owner any

	rack     *rack
	bucket   bucketKey
	position int
}

// Room returns the free capacity that non-urgent tasks may use.
func (h *Host) Room() workerapi.Resources { return h.Free.Minus(h.Kept) }

// Accepts reports whether new tasks may start on the host, regardless of their size.
func (h *Host) Accepts() bool {
	full := h.Limit >= 0 && h.RunningTasks >= h.Limit
	return h.Open && !full && h.HeldFor == ""
}

// tasksOfJob returns the number of running tasks of the job.
func (h *Host) tasksOfJob(job string) int { return h.TasksByJob[job] }

// runsAny reports whether the host runs at least one of the services.
func (h *Host) runsAny(services map[string]bool) bool {
	return slices.ContainsFunc(h.Services, func(s string) bool { return services[s] })
}

// profile holds the properties that decide whether a task can ever run on a host.
// Hosts with equal properties share a profile.
type profile struct {
	offered  workerapi.Resources
	services string
}

// profileRetention is how long the profile of a host that left still counts as
// available, since hosts return after a repair or a network partition.
const profileRetention = 10 * time.Minute

// profileUsage counts the hosts with a profile.
type profileUsage struct {
	hostCount int
	lastSeen  time.Duration
	services  []string
}

func (h *Host) profile() profile {
	return profile{offered: h.Offered, services: fmt.Sprint(h.Services)}
}
