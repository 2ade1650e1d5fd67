package scheduler

import (
	"time"

	"geraniumwall/policy"
	"geraniumwall/workerapi"
)

// placeTasks requests placements from the engine and applies the valid ones.
func (c *Core) placeTasks(now time.Duration) {
	if !c.mayPlace(now) {
		return
	}
	placements, unschedulable := c.engine.ProposeStarts(now, maxPendingStarts-c.pendingStarts)
	for _, p := range placements {
		c.applyPlacement(now, p)
	}
	for _, t := range unschedulable {
		c.returnTask(now, t)
	}
}

func (c *Core) mayPlace(now time.Duration) bool {
	return !c.stopping && c.synced && c.version > 0 && c.pendingStarts < maxPendingStarts &&
		c.authority.mayAct(now) && c.taskLease(now) >= minTaskLease
}

// applyPlacement is the only place that turns a proposed placement into a start.
func (c *Core) applyPlacement(now time.Duration, p policy.Placement) {
	t, w := c.tasks[p.Task], c.workers[p.Worker]
	size := p.Size
	if t != nil && size == (workerapi.Resources{}) {
		size = t.Size
	}
	if reason := c.rejectionReason(now, t, w, size); reason != "" {
		c.engine.Rejected(now, p.Task, p.Worker)
		c.recordDecision(now, Decision{Subject: p.Task, Kind: "refused", Reason: reason, Worker: p.Worker})
		return
	}
	c.recordDecision(now, p.Decision)
	t.reserved = size
	c.startAttempt(now, t, w)
}

// rejectionReason returns why the task must not start on the worker, or an empty string.
func (c *Core) rejectionReason(now time.Duration, t *task, w *worker, size workerapi.Resources) string {
	switch {
	case t == nil || t.phase != phaseWaiting || t.cancelling || t.unbound:
		return "the task is not waiting"
	case w == nil || !w.accepting() || w.isSilent(now):
		return "the worker does not accept new tasks"
	case c.allocations[t.ID] > 0:
		return "an earlier attempt is not confirmed as stopped"
	case !w.allocation.fits(size):
		return "the worker has insufficient free resources"
	case c.violatesAntiAffinity(t, w):
		return "the configuration does not allow the job on a worker with one of its services"
	}
	return ""
}

func (c *Core) violatesAntiAffinity(t *task, w *worker) bool {
	for _, pair := range c.config.Apart {
		if pair.Job != t.Job {
			continue
		}
		for _, s := range w.services {
			if s == pair.Service {
				return true
			}
		}
	}
	return false
}

// returnTask returns a task that no worker of the domain can hold. Another domain may
// start it immediately, so no earlier attempt may be alive here.
func (c *Core) returnTask(now time.Duration, unschedulable policy.Unschedulable) {
	t := c.tasks[unschedulable.Task]
	if t == nil || t.phase != phaseWaiting || c.allocations[t.ID] > 0 ||
		now < c.authority.takeoverAt+workerDiscoveryTime || now < t.enqueued+workerDiscoveryTime {
		return
	}
	c.engine.Dequeue(now, t.ID)
	c.endTask(now, t, Report{Kind: ReportReturned, Reason: unschedulable.Reason})
}

// returnWaitingTasks returns the waiting tasks if all workers of the domain have been
// silent, leaving or drained for workerDiscoveryTime. Control binds them to a domain
// that has workers.
func (c *Core) returnWaitingTasks(now time.Duration) {
	if !c.mayPlace(now) || now < c.lastAvailable+workerDiscoveryTime {
		return
	}
	returned := 0
	for _, id := range sortedKeys(c.tasks) {
		if c.tasks[id].phase != phaseWaiting {
			continue
		}
		c.returnTask(now, policy.Unschedulable{Task: id, Reason: "no worker of the domain takes new work"})
		if returned++; returned == maxReportBatch {
			return
		}
	}
}

// applyReactions executes the engine's reactions to interference.
func (c *Core) applyReactions(now time.Duration) {
	if now < c.nextReaction || !c.authority.mayAct(now) {
		return
	}
	c.nextReaction = now + reactInterval
	for _, r := range c.engine.ProposeReactions(now) {
		t := c.tasks[r.Task]
		if t == nil || t.phase != phaseRunning || t.worker.name != r.Worker || !t.worker.session.held {
			continue
		}
		c.recordDecision(now, r.Decision)
		if r.Kind == policy.Evict {
			c.stopAttempt(now, t, stopEvicted)
			continue
		}
		c.throttleTask(t, r.Share)
	}
}

func (c *Core) throttleTask(t *task, share float64) {
	c.queueAction(SendThrottle{Target: t.worker.target(), Body: workerapi.Throttle{
		Session: t.worker.session.number, Epoch: t.worker.session.epoch, ID: t.ID, Attempt: t.attempt, Share: share,
	}})
}

// drainTasks stops the tasks of a leaving or drained worker with a checkpoint.
func (c *Core) drainTasks(now time.Duration, w *worker) {
	if !w.leaving && !w.drained || w.silent || !c.authority.active() {
		return
	}
	for _, id := range sortedKeys(w.liveTasks) {
		if t := w.liveTasks[id]; t.phase == phaseRunning {
			c.stopAttempt(now, t, stopDraining)
		}
	}
}
