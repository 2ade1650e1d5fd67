package scheduler

import (
	"errors"
	"slices"
	"time"

	"geraniumwall/lease"
)

// ErrStaleSync is returned for a grant sync that is older than one already answered.
var ErrStaleSync = errors.New("a newer sync of this gateway has already been answered; ignore this answer")

// gatewayKey identifies one incarnation of a gateway.
type gatewayKey struct {
	name        string
	incarnation string
}

// gateway is the state that the scheduler keeps of one gateway incarnation.
type gateway struct {
	local    bool
	draining bool
	sequence uint64
	lastSync time.Duration
	// demand is the exponentially smoothed demand by service.
	demand map[string]float64
}

// Holding is the part of a grant on one worker that a gateway holds and uses.
type Holding struct {
	Worker  string
	Session uint64
	Slots   int
	InUse   int
}

// GrantSync reports a gateway's demand and the slots that it holds.
type GrantSync struct {
	Gateway     string
	Domain      string
	Incarnation string
	// Sequence orders the syncs of one incarnation. If it is 0, a reduction takes effect
	// only once the larger grant has expired.
	Sequence uint64
	// Demand is the number of outstanding and queued requests by service.
	Demand   map[string]int
	Holdings []Holding
	Draining bool
}

// Grant is a number of slots on one worker that a gateway may use.
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

// grant bounds the slots of one worker that one gateway may use: the largest of the
// offers that it may still act on.
type grant struct{ offers []grantOffer }

type grantOffer struct {
	slots int
	until time.Duration
}

func (g *grant) heldSlots(now time.Duration) int {
	largest := 0
	for _, o := range g.offers {
		if now < o.until {
			largest = max(largest, o.slots)
		}
	}
	return largest
}

// addOffer records an offer and removes those that it supersedes.
func (g *grant) addOffer(slots int, until time.Duration) {
	g.offers = slices.DeleteFunc(g.offers, func(o grantOffer) bool {
		return o.slots <= slots && o.until <= until
	})
	g.offers = append(g.offers, grantOffer{slots: slots, until: until})
}

// confirm replaces all offers by the number of slots that the gateway holds.
func (g *grant) confirm(slots int, until time.Duration) {
	g.offers = g.offers[:0]
	if slots > 0 {
		g.offers = append(g.offers, grantOffer{slots: slots, until: until})
	}
}

// grantedSlots returns the number of slots that gateways may hold under the session.
func (w *worker) grantedSlots(now time.Duration) int {
	sum := 0
	for _, g := range w.grants {
		sum += g.heldSlots(now)
	}
	return sum
}

// committedSlots returns the number of slots that cannot be offered to another gateway.
func (w *worker) committedSlots(now time.Duration) int {
	return w.grantedSlots(now) + w.session.olderSlotsInUse
}

// SyncGrants records the demand of a gateway and returns its grants.
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

// confirmHoldings records what a gateway holds. The gateway ignores answers to earlier
// syncs from now on, so the rest of its grants is free.
func (c *Core) confirmHoldings(now time.Duration, key gatewayKey, holdings []Holding) {
	held := make(map[string]Holding, len(holdings))
	for _, h := range holdings {
		// Gateways also report requests under older sessions of a worker.
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

// grantSlots grants the gateway its share of the worker as far as slots are free.
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
	// Slots in use beyond the grants are requests of gateways that no longer exist.
	taken := max(total, w.session.slotsInUse)
	free := w.allocation.slots - w.session.olderSlotsInUse - taken
	slots := min(c.plan.share(w.id, key), own+free)
	if slots <= 0 {
		return 0
	}
	assert(max(slots, own)+total-own+w.session.olderSlotsInUse <= w.slots, "worker %s: offer of %d slots with %d slots granted exceeds its %d slots",
		w.id, slots, total, w.slots)
	if g == nil {
		g = &grant{}
		w.grants[key] = g
	}
	g.addOffer(slots, now+lease.GrantorWait(w.grantDuration(now)))
	return slots
}

// grantDuration returns the duration of a new grant. For a worker that has missed a
// heartbeat the grant ends 3 s after the last one, so that a gateway that loses the
// scheduler does not keep sending requests to it.
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

// expireGrants removes expired grants and silent gateways. Expired grants no longer
// count even before they are removed.
func (c *Core) expireGrants(now time.Duration) {
	if now < c.nextGrantExpiry {
		return
	}
	c.nextGrantExpiry = now + replanInterval
	for _, w := range c.workers {
		for key, g := range w.grants {
			g.offers = slices.DeleteFunc(g.offers, func(o grantOffer) bool { return now >= o.until })
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
