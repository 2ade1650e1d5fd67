package dispatch

import (
	"cmp"
	"slices"

	"geraniumwall/jobs"
)

// workersPerRestart is the number of workers for each one that may be reserved for a
// restart.
const workersPerRestart = 10

// restart is a long-running task that has run before and waits to run again.
type restart struct {
	job  *waitingJob
	step *jobs.Step
	task *jobs.Task
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
	reservations := d.bindRestarts(first, candidates, max(1, len(candidates)/workersPerRestart))
	if d.planBelowShare(ranked, candidates, noFit) {
		reservations = 0
	}
	d.bindRestarts(later, candidates, reservations)
}

// bindRestarts binds restarts. It reserves up to the given number of workers for those that
// fit nowhere, and returns the reservations left.
func (d *Dispatcher) bindRestarts(list []restart, candidates []*candidate, reservations int) int {
	for _, r := range list {
		if best := d.choose(r.job, r.step, r.task, candidates, nil); best != nil {
			d.bind(r.task, r.step, best, r.task.Attempt+1)
			continue
		}
		if reservations > 0 && d.reserveForRestart(r, candidates) {
			reservations--
		}
	}
	return reservations
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
