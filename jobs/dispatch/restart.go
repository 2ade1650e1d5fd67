package dispatch

import (
	"cmp"
	"slices"

	"geraniumwall/jobs"
)

// workersPerRestart is the number of workers for each one that may be reserved for a
// restart.
const workersPerRestart = 10

// sortRestarts moves the bindings of long-running tasks that have run before to the end, the
// longest wait first. The commands don't fit in one entry, and each further one takes an
// interval of the log.
func (d *Dispatcher) sortRestarts(commands []Proposal) {
	waitingSince := func(p *Proposal) int64 {
		b := p.Command.Bind
		if b == nil {
			return 0
		}
		j := d.store.Job(b.Task.Job)
		step := j.Step(b.Task)
		if !step.LongRunning || j.Task(b.Task).Attempt == 0 {
			return 0
		}
		if step.Gang {
			// All members share an entry, so they stay next to each other.
			return earliestEnd(j.StepTasks(b.Task.Occurrence, b.Task.Step))
		}
		return j.Task(b.Task).EndedAt
	}
	slices.SortStableFunc(commands, func(a, b Proposal) int { return cmp.Compare(waitingSince(&a), waitingSince(&b)) })
}

// earliestEnd returns the earliest time at which the latest attempt of a task ended.
func earliestEnd(tasks []jobs.Task) int64 {
	earliest := tasks[0].EndedAt
	for i := range tasks {
		earliest = min(earliest, tasks[i].EndedAt)
	}
	return earliest
}

// restart is a long-running task that has run before and waits to run again.
type restart struct {
	job  *waitingJob
	step *jobs.Step
	task *jobs.Task
}

// fitsAnywhere reports whether the task may run on every worker of its service.
func (r *restart) fitsAnywhere() bool { return r.step.RequiredLabel == "" && r.step.MaxPerWorker == 0 }

// anyWithRoom reports whether the given room on any worker of the service holds the task, even
// if the worker may not run it.
func (r *restart) anyWithRoom(candidates []*candidate, room func(*candidate) jobs.Resources) bool {
	request := r.step.ReservedResources()
	return slices.ContainsFunc(candidates, func(c *candidate) bool {
		return c.worker.Service == r.job.service && request.FitsIn(room(c))
	})
}

// planRestarts binds overdue restarts before all other tasks, the longest wait first, and
// reserves a worker for each that fits nowhere. Without it, smaller and shorter tasks
// would take all capacity that comes free, and a large task would not run again. Restarts
// that give way come after the short jobs of queues below their share, and reserve no
// worker while such a job waits for room.
func (d *Dispatcher) planRestarts(ranked []*waitingJob, candidates []*candidate, noFit *unplaceable) {
	var first, later []restart
	for _, r := range d.overdueRestarts(ranked) {
		if d.planner.fair.givesWay(r, d.unixMS) {
			later = append(later, r)
		} else {
			first = append(first, r)
		}
	}
	pass := restartPass{candidates: candidates, reservations: max(1, len(candidates)/workersPerRestart)}
	d.bindRestarts(first, &pass)
	if d.planBelowShare(ranked, candidates, noFit) {
		pass.reservations = 0
	}
	d.bindRestarts(later, &pass)
}

// restartPass is the state of binding the restarts in one plan.
type restartPass struct {
	candidates []*candidate
	// reservations is the number of workers that may still be reserved.
	reservations int
	// noFit and noReservation are the requests that found no room and no worker to reserve.
	// Those that are not smaller are skipped: after the loss of a failure domain thousands of
	// restarts wait, and each would examine every worker. Room and reservations only shrink
	// during a plan, so the skipped ones would find nothing either.
	noFit, noReservation unplaceable
}

// bindRestarts binds restarts, and reserves a worker for those that fit nowhere.
func (d *Dispatcher) bindRestarts(list []restart, pass *restartPass) {
	for _, r := range list {
		request := newUnplaceableRequest(r.job.service, r.step, r.task)
		request.besideIsolated = r.job.besideIsolated
		if !pass.noFit.covers(request) {
			if best := d.choose(r.job, r.step, r.task, pass.candidates, nil); best != nil {
				d.bind(r.task, r.step, best, r.task.Attempt+1)
				continue
			}
			if r.fitsAnywhere() || !r.anyWithRoom(pass.candidates, func(c *candidate) jobs.Resources { return c.free }) {
				pass.noFit.add(request)
			}
		}
		if pass.reservations <= 0 || pass.noReservation.covers(request) {
			continue
		}
		switch {
		case d.reserveForRestart(r, pass.candidates):
			pass.reservations--
		case r.fitsAnywhere() || !r.anyWithRoom(pass.candidates, func(c *candidate) jobs.Resources { return c.freeAfterShort }):
			pass.noReservation.add(request)
		}
	}
}

// overdueRestarts returns the long-running tasks, other than gangs, that lost their worker
// or have waited to run again for reserveAfter, the longest wait first.
func (d *Dispatcher) overdueRestarts(ranked []*waitingJob) []restart {
	var list []restart
	for _, wj := range ranked {
		if wj.class != classOverdue && wj.class != classRestart {
			continue
		}
		wj.job.Tasks(func(t *jobs.Task) {
			step := wj.job.Step(t.Key)
			if step.Gang || !step.LongRunning || t.Attempt == 0 || mustIsolate(step, t) || t.Done || t.BoundTo != nil || d.hasPendingRecord(t) {
				return
			}
			if d.planner.leaseExpiredTasks[t.Key] || d.unixMS-t.EndedAt >= reserveAfter.Milliseconds() {
				list = append(list, restart{wj, step, t})
			}
		})
	}
	slices.SortFunc(list, func(a, b restart) int {
		return cmp.Or(cmp.Compare(a.task.EndedAt, b.task.EndedAt), compareTasks(a.task.Key, b.task.Key))
	})
	return list
}

// reserveForRestart keeps all other tasks from one worker in favor of a restart. It
// chooses the worker that can hold the largest share of the task now, among those that
// can hold all of it once their short tasks have finished.
func (d *Dispatcher) reserveForRestart(r restart, candidates []*candidate) bool {
	best := d.largestShare(r.job, r.step, r.task, candidates, func(c *candidate) bool {
		return r.step.ReservedResources().FitsIn(c.freeAfterShort)
	})
	if best == nil {
		return false
	}
	best.reserved, best.reservedTask = reservedForTask, r.task.Key
	return true
}
