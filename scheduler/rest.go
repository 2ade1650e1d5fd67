package scheduler

import "time"

// RestInterval is the longest time between two calls of Tick while the core is at
// rest. Each tick of an idle process costs several wake-ups.
const RestInterval = 250 * time.Millisecond

// AtRest reports whether the next tick may come RestInterval after now: nothing waits
// for a start, a stop, a report or a role, and no lease ends before. An event can end
// the rest, so the caller asks again after each one.
func (c *Core) AtRest(now time.Duration) bool {
	return !c.stirred && !c.stopping && c.starting == 0 && len(c.held) == 0 && len(c.stops) == 0 &&
		len(c.reports.queue) == 0 && c.engine.Waiting() == 0 && c.roleRests(now)
}

// roleRests reports whether neither a takeover nor the end of a task lease is due.
func (c *Core) roleRests(now time.Duration) bool {
	switch c.authority.role() {
	case RoleActive:
		return now+RestInterval < c.nextLost
	case RoleStandby:
		return !c.authority.peerSilent(now + RestInterval)
	}
	return false
}
