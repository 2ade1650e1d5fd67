package scheduler

import (
	"time"

	"geraniumwall/policy"
	"geraniumwall/workerapi"
)

// place asks the engine for starts and applies those that the ledger confirms.
func (c *Core) place(now time.Duration) {
	if !c.mayPlace(now) {
		return
	}
	placements, impossible := c.engine.Next(now, maxStarting-c.starting)
	for _, p := range placements {
		c.apply(now, p)
	}
	for _, i := range impossible {
		c.giveBack(now, i)
	}
}

func (c *Core) mayPlace(now time.Duration) bool {
	return !c.stopping && c.synced && c.version > 0 && c.starting < maxStarting &&
		c.authority.mayAct(now) && c.taskLease(now) >= minTaskLease
}

// apply is the only place that turns a proposal into a start.
func (c *Core) apply(now time.Duration, p policy.Placement) {
	t, w := c.tasks[p.Task], c.workers[p.Worker]
	size := p.Size
	if t != nil && size == (workerapi.Resources{}) {
		size = t.Size
	}
	if reason := c.obstacle(now, t, w, size); reason != "" {
		c.engine.Refused(now, p.Task, p.Worker)
		c.note(now, Decision{Subject: p.Task, Kind: "refused", Reason: reason, Worker: p.Worker})
		return
	}
	c.note(now, p.Decision)
	t.reserved = size
	c.startAttempt(now, t, w)
}

// obstacle is the reason against a start, or empty.
func (c *Core) obstacle(now time.Duration, t *task, w *worker, size workerapi.Resources) string {
	switch {
	case t == nil || t.phase != phaseWaiting || t.cancel || t.left:
		return "the task does not wait"
	case w == nil || !w.accepting() || w.isSilent(now):
		return "the worker takes no new work"
	case c.occupied[t.ID] > 0:
		return "an older attempt is not confirmed as stopped"
	case !w.ledger.fits(size):
		return "the ledger of the worker has no room"
	case c.apart(t, w):
		return "the configuration keeps the job apart from a service of the worker"
	}
	return ""
}

func (c *Core) apart(t *task, w *worker) bool {
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

// giveBack returns a task that no worker of the domain can ever hold. Another
// domain may start it at once, so no older attempt may be alive here.
func (c *Core) giveBack(now time.Duration, i policy.Impossible) {
	t := c.tasks[i.Task]
	if t == nil || t.phase != phaseWaiting || c.occupied[t.ID] > 0 ||
		now < c.authority.takeoverAt+possibleAfter || now < t.enqueued+possibleAfter {
		return
	}
	c.engine.Dequeue(now, t.ID)
	c.endTask(now, t, Report{Kind: ReportReturned, Reason: i.Reason})
}

// leaveIdleDomain returns the waiting tasks of a domain whose workers have all been
// silent, leaving or drained for a while. The control replicas bind them to a domain that has one.
func (c *Core) leaveIdleDomain(now time.Duration) {
	if !c.mayPlace(now) || now < c.lastPresent+possibleAfter {
		return
	}
	returned := 0
	for _, id := range sortedKeys(c.tasks) {
		if c.tasks[id].phase != phaseWaiting {
			continue
		}
		c.giveBack(now, policy.Impossible{Task: id, Reason: "no worker of the domain takes new work"})
		if returned++; returned == maxReportBatch {
			return
		}
	}
}

// react carries out the engine's reactions to interference.
func (c *Core) react(now time.Duration) {
	if now < c.nextMove || !c.authority.mayAct(now) {
		return
	}
	c.nextMove = now + reactInterval
	for _, r := range c.engine.React(now) {
		t := c.tasks[r.Task]
		if t == nil || t.phase != phaseRunning || t.on.name != r.Worker || !t.on.session.held {
			continue
		}
		c.note(now, r.Decision)
		if r.Kind == policy.Evict {
			c.stopAttempt(now, t, stopEvicted)
			continue
		}
		c.throttle(t, r.Share)
	}
}

func (c *Core) throttle(t *task, share float64) {
	c.act(SendThrottle{Target: t.on.target(), Body: workerapi.Throttle{
		Session: t.on.session.number, Epoch: t.on.session.epoch, ID: t.ID, Attempt: t.attempt, Share: share,
	}})
}

// moveAway stops the tasks of a worker that leaves, with a checkpoint.
func (c *Core) moveAway(now time.Duration, w *worker) {
	if !w.leaving && !w.drained || w.silent || !c.authority.active() {
		return
	}
	for _, id := range sortedKeys(w.live) {
		if t := w.live[id]; t.phase == phaseRunning {
			c.stopAttempt(now, t, stopMoved)
		}
	}
}
