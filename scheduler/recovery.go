package scheduler

import "time"

// takeOver makes the scheduler the active one of its epoch. It knows the workers
// from their heartbeats, and the tasks from control and from the workers.
func (c *Core) takeOver(now time.Duration) {
	c.authority.takeoverAt = now
	c.attempts = 0
	c.forgetTasks(now)
	c.act(SyncFromStart{Epoch: c.authority.taken})
	c.note(now, Decision{Subject: c.settings.Domain, Kind: "takeover", Reason: "appointed by control",
		Figures: []Figure{{Name: "epoch", Value: float64(c.authority.taken)}}})
}

// stepDown gives up the role. The sessions go on for slot grants only, until
// another scheduler attaches to the workers.
func (c *Core) stepDown(now time.Duration, reason string) {
	if c.authority.active() {
		c.act(StopSync{})
		c.note(now, Decision{Subject: c.settings.Domain, Kind: "step_down", Reason: reason})
	}
	c.forgetTasks(now)
	c.authority.taken = 0
	c.authority.peerHeard = now
	for _, id := range c.workerIDs() {
		w := c.workers[id]
		w.session.servicesOnly = w.session.held
		c.tellEngine(now, w)
	}
}

// forgetTasks drops everything that is known of tasks.
func (c *Core) forgetTasks(now time.Duration) {
	for _, id := range sortedKeys(c.tasks) {
		t := c.tasks[id]
		if t.phase == phaseWaiting {
			c.engine.Dequeue(now, id)
		}
		if t.isLive() {
			c.releaseAttempt(now, t, "lost")
		}
		c.forgetTask(t)
	}
	for _, id := range c.workerIDs() {
		w := c.workers[id]
		for _, tid := range sortedKeys(w.strays) {
			c.dropStray(w, tid)
		}
	}
	assert(len(c.occupied) == 0, "ledger entries without a task: %v", c.occupied)
	c.stops = nil
	c.synced = false
	c.reports = newReportQueue()
}
