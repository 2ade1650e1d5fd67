package scheduler

import "time"

// RestInterval is the longest time between two calls of Tick while the core is at
// rest. Each tick of an idle process costs several wake-ups.
const RestInterval = 250 * time.Millisecond

// AtRest reports whether the next tick may come RestInterval after now: nothing waits
// for a start, a stop, a report or a role, and no lease ends before. An event can end
// the rest, so the caller asks again after each one.
func (c *Core) AtRest(now time.Duration) bool {
	return !c.tickNeeded && !c.stopping && c.pendingStarts == 0 && len(c.delayed) == 0 && len(c.pendingStops) == 0 &&
		len(c.reports.queue) == 0 && c.engine.Waiting() == 0 && c.roleIdle(now)
}

// roleIdle reports whether neither a takeover nor the end of a task lease is due.
func (c *Core) roleIdle(now time.Duration) bool {
	switch c.authority.role() {
	case RoleActive:
		return now+RestInterval < c.earliestLeaseEnd
	case RoleStandby:
		return !c.authority.peerSilent(now + RestInterval)
	}
	return false
}
