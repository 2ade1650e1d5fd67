package scheduler

import "time"

// RestInterval is the longest time between two calls of Tick while AtRest returns
// true. Each tick of an idle process costs several wake-ups.
const RestInterval = 250 * time.Millisecond

// AtRest reports whether the next tick may be delayed by RestInterval: no start, stop,
// report or role change is pending and no lease expires before. Any event can change
// the result, so the caller must check it again after each one.
func (c *Core) AtRest(now time.Duration) bool {
	return !c.tickNeeded && !c.stopping && c.pendingStarts == 0 && len(c.delayed) == 0 && len(c.pendingStops) == 0 &&
		len(c.reports.queue) == 0 && c.engine.Waiting() == 0 && c.roleIdle(now)
}

// roleIdle reports whether neither a takeover nor the expiry of a task lease is due.
func (c *Core) roleIdle(now time.Duration) bool {
	switch c.authority.role() {
	case RoleActive:
		return now+RestInterval < c.earliestLeaseEnd
	case RoleStandby:
		return !c.authority.peerSilent(now + RestInterval)
	}
	return false
}
