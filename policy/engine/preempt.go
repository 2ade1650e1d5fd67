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

// Limits of preemption.
const (
	// maxPreemptions bounds the tasks for which one call of ProposeReactions searches
	// victims.
	maxPreemptions = 32
	// maxScannedHosts bounds the hosts searched for one task.
	maxScannedHosts = 256
	// maxVictims bounds the tasks evicted for one task.
	maxVictims = 4
	// reclaimAfter is the wait of a task within its quota after which tasks on borrowed
	// quota are evicted for it.
	reclaimAfter = 10 * time.Second
	// urgentOverdraft is the fraction of the eviction budget of a minute that urgent tasks
	// may use in advance. Without it, a burst of them waits longer than 1.1 s for
	// evictions. All other evictions wait until the overdraft has been refilled.
	urgentOverdraft = 1.0
)

// preemptForBlocked evicts tasks for urgent ones that found no room, then tasks on
// borrowed quota for teams whose tasks wait within their quota.
func (e *Engine) preemptForBlocked(now time.Duration, out []policy.Reaction) []policy.Reaction {
	attempts := 0
	for _, id := range slices.Sorted(maps.Keys(e.blockedUrgent)) {
		if attempts == maxPreemptions {
			return out
		}
		c := e.blockedUrgent[id]
		isVictim := func(t *task) bool { return t.Priority != config.Urgent }
		out = e.preempt(now, &c, isVictim, -urgentOverdraft, "makes room for urgent task "+id, out)
		attempts++
	}
	for _, team := range slices.Sorted(maps.Keys(e.blockedWithinQuota)) {
		c := e.blockedWithinQuota[team]
		if attempts == maxPreemptions {
			return out
		}
		if now-c.Enqueued < reclaimAfter {
			continue
		}
		isVictim := func(t *task) bool {
			return t.Team != team && t.borrowed && e.queue.Borrows(t.Team) && e.hasMinRun(now, t)
		}
		out = e.preempt(now, &c, isVictim, urgentBudgetShare, fmt.Sprintf("gives back quota that team %s lent", team), out)
		attempts++
	}
	return out
}

// victimSet is a set of tasks on one host whose eviction makes room for another.
type victimSet struct {
	host     *host
	tasks    []*task
	lostWork float64
}

// preempt evicts the victim set with the least lost work for a candidate and holds the
// host for it. It is a no-op if tasks are being evicted for the candidate already.
func (e *Engine) preempt(now time.Duration, c *fairness.Candidate, isVictim func(*task) bool, minRemainingShare float64, reason string, out []policy.Reaction) []policy.Reaction {
	if e.holds[c.ID].evicting {
		return out
	}
	r := e.placementRequest(c)
	var best *victimSet
	for i := range min(len(e.hostOrder), maxScannedHosts) {
		h := e.hostOrder[(e.preemptionScanStart+i)%len(e.hostOrder)]
		if !e.canHold(&r, h) {
			continue
		}
		if s := e.selectVictims(now, h, c.Need, isVictim); s != nil && (best == nil || s.lostWork < best.lostWork) {
			best = s
		}
	}
	e.preemptionScanStart += maxScannedHosts
	if best == nil || !e.canEvict(now, len(best.tasks), minRemainingShare) {
		return out
	}
	for _, t := range best.tasks {
		e.takeEviction(now, minRemainingShare)
		out = append(out, e.evict(now, best.host, t, reason, []policy.Factor{
			{Name: "loss_core_s", Value: e.lostWork(now, t)},
			{Name: "waited_s", Value: (now - c.Enqueued).Seconds()},
		}))
	}
	e.holdHost(now, c.ID, best.host, true)
	return out
}

// canEvict reports whether the budget permits n evictions with minRemainingShare of the
// budget of a minute remaining.
func (e *Engine) canEvict(now time.Duration, n int, minRemainingShare float64) bool {
	e.evictionBudget.refill(now)
	return e.rules.NoBudget || e.evictionBudget.available >= float64(n)+minRemainingShare*e.evictionBudget.ratePerMinute
}

// selectVictims selects tasks of the host in the order of lost work until the need fits.
// It returns nil if that takes more than maxVictims or none.
func (e *Engine) selectVictims(now time.Duration, h *host, need workerapi.Resources, isVictim func(*task) bool) *victimSet {
	s := &victimSet{host: h}
	free := h.indexEntry.Room()
	var list []*task
	for _, t := range sortedTasks(h.tasks) {
		if !t.planned && !e.isBeingEvicted(now, t) && isVictim(t) {
			list = append(list, t)
		}
	}
	slices.SortStableFunc(list, func(a, b *task) int {
		if e.lostWork(now, a) < e.lostWork(now, b) {
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
		s.lostWork += e.lostWork(now, t)
	}
	if !need.Fits(free) || len(s.tasks) == 0 {
		return nil
	}
	return s
}
