package scheduler

import (
	"errors"
	"slices"
	"time"

	"geraniumwall/lease"
)

// ErrStaleSync is returned for a grant sync that a newer one has overtaken.
var ErrStaleSync = errors.New("a newer sync of this gateway was answered already; drop this answer")

// gatewayKey names one run of a gateway.
type gatewayKey struct {
	name        string
	incarnation string
}

// gateway is what the scheduler knows of one run of a gateway.
type gateway struct {
	local    bool
	draining bool
	sequence uint64
	lastSync time.Duration
	// demand is smoothed, by service.
	demand map[string]float64
}

// Holding is what a gateway holds of the grant on one worker.
type Holding struct {
	Worker  string
	Session uint64
	Slots   int
	InUse   int
}

// GrantSync reports a gateway's demand and what it holds.
type GrantSync struct {
	Gateway     string
	Domain      string
	Incarnation string
	// Sequence orders the syncs of one incarnation. With 0 a reduction counts only
	// once the larger grant has expired.
	Sequence uint64
	// Demand is the number of requests outstanding and queued, by service.
	Demand   map[string]int
	Holdings []Holding
	Draining bool
}

// Grant is a number of slots of one worker that a gateway may use.
type Grant struct {
	Worker      string
	Address     string
	Session     uint64
	Slots       int
	Connections int
	Services    []string
	Duration    time.Duration
}

// GrantAnswer is the complete set of grants that the gateway holds from now on.
type GrantAnswer struct {
	Epoch   uint64
	Grants  []Grant
	Leaving []string
}

// grant is what one gateway may hold of one worker: the largest of the answers
// that it may act on.
type grant struct{ offers []grantOffer }

type grantOffer struct {
	slots int
	until time.Duration
}

func (g *grant) heldSlots(now time.Duration) int {
	largest := 0
	for _, a := range g.offers {
		if now < a.until {
			largest = max(largest, a.slots)
		}
	}
	return largest
}

// addOffer records an answer and drops those that it covers.
func (g *grant) addOffer(slots int, until time.Duration) {
	g.offers = slices.DeleteFunc(g.offers, func(a grantOffer) bool {
		return a.slots <= slots && a.until <= until
	})
	g.offers = append(g.offers, grantOffer{slots: slots, until: until})
}

// confirm replaces all answers by what the gateway says it holds.
func (g *grant) confirm(slots int, until time.Duration) {
	g.offers = g.offers[:0]
	if slots > 0 {
		g.offers = append(g.offers, grantOffer{slots: slots, until: until})
	}
}

// grantedSlots is the number of slots that gateways may hold under the session.
func (w *worker) grantedSlots(now time.Duration) int {
	sum := 0
	for _, g := range w.grants {
		sum += g.heldSlots(now)
	}
	return sum
}

// committedSlots are the slots that cannot be offered to anyone else.
func (w *worker) committedSlots(now time.Duration) int {
	return w.grantedSlots(now) + w.session.olderSlotsInUse
}

// SyncGrants takes in the demand of a gateway and returns its grants.
func (c *Core) SyncGrants(now time.Duration, s GrantSync) (GrantAnswer, error) {
	key := gatewayKey{name: s.Gateway, incarnation: s.Incarnation}
	g := c.gateways[key]
	if g == nil {
		g = &gateway{demand: map[string]float64{}}
		c.gateways[key] = g
		c.nextReplan = now
	}
	if s.Sequence != 0 && s.Sequence <= g.sequence {
		return GrantAnswer{}, ErrStaleSync
	}
	g.sequence, g.lastSync = s.Sequence, now
	g.local, g.draining = s.Domain == c.settings.Domain, s.Draining
	g.updateDemand(s.Demand)
	if s.Sequence != 0 {
		c.confirmHoldings(now, key, s.Holdings)
	}
	c.replan(now)
	return c.buildGrants(now, key), nil
}

// confirmHoldings takes in what a gateway holds. It acts on no answer to an
// earlier sync any more, so everything else of its grants is free.
func (c *Core) confirmHoldings(now time.Duration, key gatewayKey, holdings []Holding) {
	held := make(map[string]Holding, len(holdings))
	for _, h := range holdings {
		// A gateway also reports requests under older sessions of a worker.
		if w := c.workers[h.Worker]; w != nil && h.Session == w.session.number {
			held[h.Worker] = h
		}
	}
	for _, w := range c.workers {
		g := w.grants[key]
		if g == nil {
			continue
		}
		h, reported := held[w.id]
		if !reported {
			g.confirm(0, 0)
			continue
		}
		// A gateway cannot hold more than it was granted.
		slots := min(max(h.Slots, h.InUse), g.heldSlots(now))
		g.confirm(slots, now+lease.GrantorWait(GrantDuration))
	}
}

func (c *Core) buildGrants(now time.Duration, key gatewayKey) GrantAnswer {
	answer := GrantAnswer{Epoch: c.authority.leases.Epoch()}
	for _, id := range c.workerIDs() {
		w := c.workers[id]
		if w.retired() {
			continue
		}
		if w.leaving || w.drained {
			answer.Leaving = append(answer.Leaving, id)
			continue
		}
		if slots := c.grantSlots(now, w, key); slots > 0 {
			answer.Grants = append(answer.Grants, Grant{
				Worker: id, Address: w.address, Session: w.session.number, Slots: slots,
				Connections: slots * (w.connections / w.slots), Services: w.services,
				Duration: w.grantDuration(now),
			})
		}
	}
	return answer
}

// grantSlots grants the gateway its share as far as it is free.
func (c *Core) grantSlots(now time.Duration, w *worker, key gatewayKey) int {
	if !w.session.held || w.isSilent(now) {
		return 0
	}
	own := 0
	g := w.grants[key]
	if g != nil {
		own = g.heldSlots(now)
	}
	total := w.grantedSlots(now)
	assert(total+w.session.olderSlotsInUse <= w.slots, "worker %s: %d slots granted and %d in use under older sessions, of %d",
		w.id, total, w.session.olderSlotsInUse, w.slots)
	// Requests beyond the grants were left by gateways that are gone.
	taken := max(total, w.session.slotsInUse)
	free := w.allocation.slots - w.session.olderSlotsInUse - taken
	slots := min(c.plan.share(w.id, key), own+free)
	if slots <= 0 {
		return 0
	}
	assert(max(slots, own)+total-own+w.session.olderSlotsInUse <= w.slots, "worker %s: %d slots offered above %d granted, of %d",
		w.id, slots, total, w.slots)
	if g == nil {
		g = &grant{}
		w.grants[key] = g
	}
	g.addOffer(slots, now+lease.GrantorWait(w.grantDuration(now)))
	return slots
}

// grantDuration ends a grant 3 s after the last heartbeat of a worker that has
// missed one, so that a gateway that loses the scheduler does not go on sending.
func (w *worker) grantDuration(now time.Duration) time.Duration {
	age := now - w.lastHeartbeat
	if age <= onTimeHeartbeatAge {
		return GrantDuration
	}
	return (GrantDuration - age).Truncate(time.Millisecond)
}

func (c *Core) assertSlots(now time.Duration, w *worker) {
	assert(w.committedSlots(now) <= w.slots, "worker %s: %d slots granted and %d in use under older sessions, of %d",
		w.id, w.grantedSlots(now), w.session.olderSlotsInUse, w.slots)
}

// expireGrants forgets grants and gateways whose time is over. An expired grant
// counts as nothing before it is forgotten.
func (c *Core) expireGrants(now time.Duration) {
	if now < c.nextGrantExpiry {
		return
	}
	c.nextGrantExpiry = now + replanInterval
	for _, w := range c.workers {
		for key, g := range w.grants {
			g.offers = slices.DeleteFunc(g.offers, func(a grantOffer) bool { return now >= a.until })
			if len(g.offers) == 0 {
				delete(w.grants, key)
			}
		}
	}
	for key, g := range c.gateways {
		if now-g.lastSync >= lease.GrantorWait(GrantDuration) {
			delete(c.gateways, key)
			c.nextReplan = now
		}
	}
}
