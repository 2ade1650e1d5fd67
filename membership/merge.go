package membership

import (
	"slices"
	"time"
)

// merge takes in news of a member. News is older if its incarnation is lower, or
// equal with a state of lower precedence.
func (c *Core) merge(now time.Duration, m Member) {
	if m.Name == "" || m.State < Alive || m.State > Left {
		return
	}
	if m.Name == c.self.Name {
		c.refute(m)
		return
	}
	known := c.members[m.Name]
	if known != nil && (m.Incarnation < known.Incarnation || m.Incarnation == known.Incarnation && m.State <= known.State) {
		return
	}
	if known == nil {
		known = &entry{}
		c.members[m.Name] = known
		// A random place in the round, so that members do not probe a newcomer all at once.
		c.order = slices.Insert(c.order, c.random.IntN(len(c.order)+1), m.Name)
	}
	known.Member, known.since = m, now
	c.changed = true
	c.updates.add(m)
}

// refute answers news that this process is suspected, dead or gone, by a higher
// incarnation.
func (c *Core) refute(m Member) {
	if c.leaving || m.Incarnation < c.self.Incarnation || m.State == Alive && m.Incarnation == c.self.Incarnation {
		return
	}
	c.self.Incarnation = m.Incarnation + 1
	c.updates.add(c.self)
	c.changed = true
}

// updateQueue holds news to be carried, least often sent first.
type updateQueue struct{ items []update }

type update struct {
	member Member
	sent   int
}

// add replaces older news of the same member.
func (q *updateQueue) add(m Member) {
	q.items = slices.DeleteFunc(q.items, func(u update) bool { return u.member.Name == m.Name })
	q.items = slices.Insert(q.items, 0, update{member: m})
}

func (q *updateQueue) take(n, limit int) []Member {
	var taken []Member
	for i := range min(n, len(q.items)) {
		q.items[i].sent++
		taken = append(taken, q.items[i].member)
	}
	q.items = slices.DeleteFunc(q.items, func(u update) bool { return u.sent >= limit })
	slices.SortStableFunc(q.items, func(a, b update) int { return a.sent - b.sent })
	return taken
}
