package scheduler

import (
	"fmt"
	"time"

	"geraniumwall/config"
	"geraniumwall/workerapi"
)

// WorkerStatus is the state of one worker, for operators.
type WorkerStatus struct {
	Worker       string
	Rack         string
	State        string
	Free         workerapi.Resources
	Tasks        int
	Slots        int
	SlotsGranted int
	HeartbeatAge time.Duration
	Session      uint64
	// Reason says why the worker is not ready; empty if it is ready.
	Reason string
}

// Status is the state of a scheduler, for operators and metrics.
type Status struct {
	Role    Role
	Epoch   uint64
	Workers []WorkerStatus
	Waiting int
	Running int
	Version uint64
	// OldestWaiting is the longest waiting time in the domain by priority class.
	OldestWaiting map[config.Priority]time.Duration
	// SchedulerLease and DomainLease are the remaining times of the leases, 0 if not held.
	SchedulerLease time.Duration
	DomainLease    time.Duration
	// TaskLeaseAge is the longest time since the lease of a running task was renewed.
	TaskLeaseAge time.Duration
	// EvictionsLeft is the remaining eviction budget, -1 if the engine has none.
	EvictionsLeft float64
}

// evictionBudgeter is implemented by engines with an eviction budget.
type evictionBudgeter interface {
	EvictionsLeft(now time.Duration) float64
}

// Status returns the state of the scheduler.
func (c *Core) Status(now time.Duration) Status {
	s := Status{Role: c.authority.role(), Epoch: c.authority.leases.Epoch(), Version: c.version}
	s.Waiting, s.Running = c.countTasks()
	s.OldestWaiting = c.oldestWaiting(now)
	s.SchedulerLease, s.DomainLease = c.authority.leases.Rest(now)
	s.TaskLeaseAge = c.taskLeaseAge(now)
	s.EvictionsLeft = -1
	if b, ok := c.engine.(evictionBudgeter); ok {
		s.EvictionsLeft = b.EvictionsLeft(now)
	}
	for _, id := range c.workerIDs() {
		w := c.workers[id]
		state, reason := c.workerState(w)
		s.Workers = append(s.Workers, WorkerStatus{
			Worker: id, Rack: w.rack, State: state, Reason: reason, Free: w.allocation.free(), Tasks: len(w.liveTasks) + len(w.orphans),
			Slots: w.slots, SlotsGranted: w.grantedSlots(now), HeartbeatAge: now - w.lastHeartbeat, Session: w.session.number,
		})
	}
	return s
}

// oldestWaiting returns the longest waiting time of a task by priority class.
func (c *Core) oldestWaiting(now time.Duration) map[config.Priority]time.Duration {
	oldest := map[config.Priority]time.Duration{config.Urgent: 0, config.Normal: 0, config.Batch: 0}
	for _, t := range c.tasks {
		if !t.isLive() && t.phase != phaseEnded {
			oldest[t.Priority] = max(oldest[t.Priority], now-t.enqueued)
		}
	}
	return oldest
}

func (c *Core) taskLeaseAge(now time.Duration) time.Duration {
	var oldest time.Duration
	for _, t := range c.tasks {
		if t.phase == phaseRunning {
			oldest = max(oldest, now-t.leaseRenewed)
		}
	}
	return oldest
}

func (c *Core) countTasks() (waiting, running int) {
	for _, t := range c.tasks {
		switch {
		case t.isLive():
			running++
		case t.phase != phaseEnded:
			waiting++
		}
	}
	return waiting, running
}

// workerLimiter is implemented by engines that limit workers on which tasks fail.
type workerLimiter interface {
	// Confined returns the maximum number of tasks on a worker, negative for no limit,
	// and the reason.
	Confined(worker string) (limit int, reason string)
}

// workerState returns the state of a worker and why it is not ready.
func (c *Core) workerState(w *worker) (state, reason string) {
	switch {
	case w.retired():
		return "replaced", "a newer process has registered under its name; its own tasks may still run"
	case w.silent:
		return "silent", w.silentReason()
	case w.drained:
		return "draining", "drained by an operator; revert with geranium drain -undo"
	case w.leaving:
		return "leaving", "the worker withdraws"
	case !w.session.held:
		return "unattached", "another scheduler holds its session, or it has not answered yet"
	case w.session.servicesOnly:
		return "services only", "no active scheduler holds its session"
	}
	if engine, ok := c.engine.(workerLimiter); ok {
		switch limit, why := engine.Confined(w.name); {
		case limit == 0:
			return "quarantined", why
		case limit > 0:
			return "on probation", fmt.Sprintf("%s; at most %d tasks", why, limit)
		}
	}
	return "ready", ""
}

// Load summarizes the domain; control uses it to bind tasks to domains.
type Load struct {
	Free        workerapi.Resources
	LargestFree workerapi.Resources
	Workers     int
	Waiting     int
	Running     int
}

// Load returns the summary of the domain.
func (c *Core) Load() Load {
	var l Load
	for _, w := range c.workers {
		if !w.accepting() {
			continue
		}
		free := w.allocation.free()
		l.Workers++
		l.Free = l.Free.Plus(free)
		l.LargestFree.CPUMillis = max(l.LargestFree.CPUMillis, free.CPUMillis)
		l.LargestFree.MemoryMB = max(l.LargestFree.MemoryMB, free.MemoryMB)
		l.LargestFree.Accelerators = max(l.LargestFree.Accelerators, free.Accelerators)
	}
	l.Waiting, l.Running = c.countTasks()
	return l
}
