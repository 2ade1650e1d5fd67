package engine

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"geraniumwall/config"
	"geraniumwall/policy"
	"geraniumwall/policy/fairness"
	"geraniumwall/workerapi"
)

// Bounds of preemption in one call.
const (
	maxRoomsMade = 32
	// maxScanned bounds the hosts that are compared for one task.
	maxScanned = 256
	// maxVictims is the largest number of tasks evicted for one.
	maxVictims = 4
	// reclaimAfter is the wait of a task within its quota after which borrowed
	// quota is taken back by eviction.
	reclaimAfter = 10 * time.Second
	// urgentOverdraft is the part of a minute's budget that urgent tasks may use in
	// advance: a burst of them would otherwise wait longer than 1.1 s for evictions.
	// All other evictions wait until it has been made up for.
	urgentOverdraft = 1.0
)

// makeRoom evicts tasks for urgent ones that found no room, and borrowers for
// teams that wait within their quota.
func (e *Engine) makeRoom(now time.Duration, out []policy.Reaction) []policy.Reaction {
	made := 0
	for _, id := range slices.Sorted(maps.Keys(e.blockedUrgent)) {
		if made == maxRoomsMade {
			return out
		}
		c := e.blockedUrgent[id]
		victim := func(t *task) bool { return t.Priority != config.Urgent }
		out = e.preempt(now, &c, victim, -urgentOverdraft, "makes room for urgent task "+id, out)
		made++
	}
	for _, team := range slices.Sorted(maps.Keys(e.blockedWithinQuota)) {
		c := e.blockedWithinQuota[team]
		if made == maxRoomsMade {
			return out
		}
		if now-c.Enqueued < reclaimAfter {
			continue
		}
		victim := func(t *task) bool {
			return t.Team != team && t.borrowed && e.queue.Borrows(t.Team) && e.ranEnough(now, t)
		}
		out = e.preempt(now, &c, victim, urgentKeep, fmt.Sprintf("gives back quota that team %s lent", team), out)
		made++
	}
	return out
}

// evictionSet is a set of tasks of one host whose eviction makes room.
type evictionSet struct {
	host  *host
	tasks []*task
	loss  float64
}

// preempt evicts the cheapest set of victims for a candidate and holds the host.
func (e *Engine) preempt(now time.Duration, c *fairness.Candidate, victim func(*task) bool, keep float64, reason string, out []policy.Reaction) []policy.Reaction {
	if e.holds[c.ID].evicting {
		return out
	}
	r := e.placementRequest(c)
	var best *evictionSet
	for i := range min(len(e.hostOrder), maxScanned) {
		h := e.hostOrder[(e.preemptionScanStart+i)%len(e.hostOrder)]
		if !e.canHold(&r, h) {
			continue
		}
		if s := e.evictionsFor(now, h, c.Need, victim); s != nil && (best == nil || s.loss < best.loss) {
			best = s
		}
	}
	e.preemptionScanStart += maxScanned
	if best == nil || !e.affords(now, len(best.tasks), keep) {
		return out
	}
	for _, t := range best.tasks {
		e.spend(now, keep)
		out = append(out, e.evict(now, best.host, t, reason, []policy.Figure{
			{Name: "loss_core_s", Value: e.loss(now, t)},
			{Name: "waited_s", Value: (now - c.Enqueued).Seconds()},
		}))
	}
	e.holdHost(now, c.ID, best.host, true)
	return out
}

func (e *Engine) affords(now time.Duration, n int, keep float64) bool {
	e.evictionBudget.refill(now)
	return e.rules.NoBudget || e.evictionBudget.available >= float64(n)+keep*e.evictionBudget.ratePerMinute
}

// evictionsFor picks tasks of the host, cheapest first, until the need fits; nil if
// that takes too many.
func (e *Engine) evictionsFor(now time.Duration, h *host, need workerapi.Resources, victim func(*task) bool) *evictionSet {
	s := &evictionSet{host: h}
	free := h.indexEntry.Room()
	var list []*task
	for _, t := range sortedTasks(h.tasks) {
		if !t.planned && !e.isLeaving(now, t) && victim(t) {
			list = append(list, t)
		}
	}
	slices.SortStableFunc(list, func(a, b *task) int {
		if e.loss(now, a) < e.loss(now, b) {
			return -1
		}
		return 1
	})
	for _, t := range list {
		if need.Fits(free) || len(s.tasks) == maxVictims {
			break
		}
		free = free.Plus(t.reserved)
		s.tasks = append(s.tasks, t)
		s.loss += e.loss(now, t)
	}
	if !need.Fits(free) || len(s.tasks) == 0 {
		return nil
	}
	return s
}
