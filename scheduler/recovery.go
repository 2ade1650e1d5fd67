package scheduler

import "time"

// takeOver activates the scheduler in its epoch. It knows the workers from their
// heartbeats and learns the tasks from control and from the workers.
func (c *Core) takeOver(now time.Duration) {
	c.authority.takeoverAt = now
	c.lastAttempt = 0
	c.removeAllTasks(now)
	c.queueAction(SyncFromStart{Epoch: c.authority.activeEpoch})
	c.recordDecision(now, Decision{Subject: c.settings.Domain, Kind: "takeover", Reason: "appointed by control",
		Factors: []Factor{{Name: "epoch", Value: float64(c.authority.activeEpoch)}}})
}

// stepDown gives up the role. The sessions remain for slot grants only, until another
// scheduler attaches to the workers.
func (c *Core) stepDown(now time.Duration, reason string) {
	if c.authority.active() {
		c.queueAction(StopSync{})
		c.recordDecision(now, Decision{Subject: c.settings.Domain, Kind: "step_down", Reason: reason})
	}
	c.removeAllTasks(now)
	c.authority.activeEpoch = 0
	c.authority.peerLastSeen = now
	for _, id := range c.workerIDs() {
		w := c.workers[id]
		w.session.servicesOnly = w.session.held
		c.updateEngine(now, w)
	}
}

// removeAllTasks removes all task state.
func (c *Core) removeAllTasks(now time.Duration) {
	for _, id := range sortedKeys(c.tasks) {
		t := c.tasks[id]
		if t.phase == phaseWaiting {
			c.engine.Dequeue(now, id)
		}
		if t.isLive() {
			c.releaseAttempt(now, t, "lost")
		}
		c.removeTask(t)
	}
	for _, id := range c.workerIDs() {
		w := c.workers[id]
		for _, tid := range sortedKeys(w.orphans) {
			c.removeOrphan(w, tid)
		}
	}
	assert(len(c.allocations) == 0, "allocations without a task: %v", c.allocations)
	c.pendingStops = nil
	c.synced = false
	c.reports = newReportQueue()
}
