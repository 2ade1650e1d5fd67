package dispatch

import (
	"cmp"
	"slices"

	"geraniumwall/jobs"
)

// workersPerRestart bounds the workers that are kept free for restarts.
const workersPerRestart = 10

// restart is a lasting task that has run before and waits to run again.
type restart struct {
	job  *waitingJob
	step *jobs.Step
	task *jobs.Task
}

// planRestarts binds the lasting tasks that have run before, and whose worker was
// lost or which have waited for reserveAfter, before all other tasks, the longest wait
// first, and keeps a worker free for each that finds no room. It answers loads under
// which every gap goes to a smaller or shorter task, so that a large one would not run
// again.
func (d *Dispatcher) planRestarts(ranked []*waitingJob, candidates []*candidate) {
	reserved := 0
	for _, r := range d.overdueRestarts(ranked) {
		if best := d.choose(r.job, r.step, r.task, candidates, nil); best != nil {
			d.bind(r.task, r.step, best, r.task.Attempt+1)
			continue
		}
		if reserved < max(1, len(candidates)/workersPerRestart) && d.reserveForRestart(r, candidates) {
			reserved++
		}
	}
}

// overdueRestarts lists the restarts that come first, the longest wait first.
func (d *Dispatcher) overdueRestarts(ranked []*waitingJob) []restart {
	var list []restart
	for _, wj := range ranked {
		if wj.class != classOverdue && wj.class != classRestart {
			continue
		}
		wj.job.Tasks(func(t *jobs.Task) {
			step := wj.job.Step(t.Key)
			if step.Gang || !step.LongRunning || t.Attempt == 0 || t.Done || t.Bound != nil || d.hasPendingRecord(t) {
				return
			}
			if d.planner.lapsed[t.Key] || d.unixMS-t.EndedAt >= reserveAfter.Milliseconds() {
				list = append(list, restart{wj, step, t})
			}
		})
	}
	slices.SortFunc(list, func(a, b restart) int {
		return cmp.Or(cmp.Compare(a.task.EndedAt, b.task.EndedAt), compareTasks(a.task.Key, b.task.Key))
	})
	return list
}

// reserveForRestart keeps a worker free of other tasks for a restart: of those that have room
// for it once their short tasks have ended, the one with the most room now.
func (d *Dispatcher) reserveForRestart(r restart, candidates []*candidate) bool {
	var best *candidate
	for _, c := range candidates {
		if c.worker.Service != r.job.service || c.reserved != notReserved || !c.worker.hasLabel(r.step.RequiredLabel) ||
			!r.step.Charge().Fits(c.freeAfterShort) || !d.withinStepLimit(r.task, r.step, c, nil) {
			continue
		}
		if best == nil || c.fitRatio(r.step) > best.fitRatio(r.step) {
			best = c
		}
	}
	if best == nil {
		return false
	}
	best.reserved, best.reservedTask = reservedForTask, r.task.Key
	return true
}
