package membership

import (
	"slices"
	"time"
)

// merge applies an update about a member, unless the update is stale: its incarnation
// is lower than the known one, or equal with a state of the same or lower precedence.
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
		known = &viewEntry{}
		c.members[m.Name] = known
		// A random position keeps all members from probing a newcomer at the same time.
		c.probeOrder = slices.Insert(c.probeOrder, c.random.IntN(len(c.probeOrder)+1), m.Name)
	}
	known.Member, known.updatedAt = m, now
	c.changed = true
	c.updates.add(m)
}

// refute raises the incarnation of this process above that of an update by which the
// process is suspected, dead or departed. An update with a higher incarnation, from an
// earlier run, is overridden too.
func (c *Core) refute(m Member) {
	if c.leaving || m.Incarnation < c.self.Incarnation || m.State == Alive && m.Incarnation == c.self.Incarnation {
		return
	}
	c.self.Incarnation = m.Incarnation + 1
	c.updates.add(c.self)
	c.changed = true
}

// updateQueue holds the updates to piggyback, least often sent first.
type updateQueue struct{ items []update }

type update struct {
	member    Member
	sendCount int
}

// add queues an update in place of any earlier one about the same member.
func (q *updateQueue) add(m Member) {
	q.items = slices.DeleteFunc(q.items, func(u update) bool { return u.member.Name == m.Name })
	q.items = slices.Insert(q.items, 0, update{member: m})
}

// take returns up to n updates and drops those that have now been sent limit times.
func (q *updateQueue) take(n, limit int) []Member {
	var taken []Member
	for i := range min(n, len(q.items)) {
		q.items[i].sendCount++
		taken = append(taken, q.items[i].member)
	}
	q.items = slices.DeleteFunc(q.items, func(u update) bool { return u.sendCount >= limit })
	slices.SortStableFunc(q.items, func(a, b update) int { return a.sendCount - b.sendCount })
	return taken
}
