package engine

import (
	"maps"
	"slices"
	"time"

	"geraniumwall/config"
	"geraniumwall/policy"
	"geraniumwall/policy/fairness"
	"geraniumwall/policy/placement"
	"geraniumwall/workerapi"
)

// A hold drains a host for a task that is too large to find room otherwise. No other task
// is placed on a held host.
const (
	// holdAfter is the wait after which a host is held for a task.
	holdAfter = 20 * time.Second
	// holdTimeout is the time after which a hold ends if the task has not started.
	holdTimeout = 5 * time.Minute
	// hostsPerHold limits held hosts to one in hostsPerHold, at least one.
	hostsPerHold = 16
)

type hold struct {
	worker    string
	startedAt time.Duration
	// evicting is true if tasks are evicted to make the room.
	evicting bool
}

// tryHold holds the host that is expected to have room for the candidate first, if one
// will within holdTimeout.
func (e *Engine) tryHold(now time.Duration, c *fairness.Candidate) {
	_, held := e.holds[c.ID]
	tooMany := len(e.holds) >= max(1, e.index.Len()/hostsPerHold)
	if e.rules.NoHolds || held || tooMany || now-c.Enqueued < holdAfter {
		return
	}
	r := e.placementRequest(c)
	var best *host
	var soonest time.Duration
	for _, h := range e.hostOrder {
		if !e.canHold(&r, h) {
			continue
		}
		drain := e.drainTime(now, h, &r)
		if drain <= holdTimeout && (best == nil || drain < soonest) {
			best, soonest = h, drain
		}
	}
	if best != nil {
		e.holdHost(now, c.ID, best, false)
	}
}

func (e *Engine) holdHost(now time.Duration, task string, h *host, evicting bool) {
	e.releaseHold(task)
	e.holds[task] = hold{worker: h.ID, startedAt: now, evicting: evicting}
	e.index.Hold(h.indexEntry, task)
}

// canHold reports whether the host may be held and could run the request once drained.
func (e *Engine) canHold(r *placement.Request, h *host) bool {
	entry := h.indexEntry
	return entry.Open && entry.HeldFor == "" && entry.Limit < 0 && r.Need.Fits(entry.Offered) && !r.Avoid[h.ID] && r.Allowed(entry)
}

// drainTime returns the expected time until enough tasks of the host have ended.
func (e *Engine) drainTime(now time.Duration, h *host, r *placement.Request) time.Duration {
	free := h.indexEntry.Room()
	wait := time.Duration(0)
	running := sortedTasks(h.tasks)
	for !r.Need.Fits(free) && len(running) > 0 {
		next := 0
		for i := range running {
			if e.remainingRunTime(now, running[i]) < e.remainingRunTime(now, running[next]) {
				next = i
			}
		}
		wait = e.remainingRunTime(now, running[next])
		free = free.Plus(running[next].reserved)
		running = append(running[:next], running[next+1:]...)
	}
	return wait
}

// remainingRunTime returns the expected time until a task ends, at least 1 s.
func (e *Engine) remainingRunTime(now time.Duration, t *task) time.Duration {
	expected := e.sizeEstimator.RunTime(t.Job, t.Expected)
	return max(expected-(now-t.startedAt), time.Second)
}

// placeOnHeldHosts places the tasks whose held host has room now.
func (e *Engine) placeOnHeldHosts(now time.Duration, round *fairness.Round, limit int, out []policy.Placement) []policy.Placement {
	for _, id := range slices.Sorted(maps.Keys(e.holds)) {
		c, admitted := round.Find(id)
		h := e.hosts[e.holds[id].worker].indexEntry
		if !admitted || len(out) >= limit || !h.Open || !c.Need.Fits(usableCapacity(h, &c)) {
			continue
		}
		if e.heldHostExceedsLimit(now, h, &c) {
			e.releaseHold(id)
			continue
		}
		out = append(out, e.place(now, round, &c, &placement.Choice{Host: h, Candidates: 1}))
	}
	return out
}

// heldHostExceedsLimit reports whether the task would push a service of the held host
// over its limit, so that it would be throttled or moved at once. Urgent and overdue tasks
// are placed in spite of the limits.
func (e *Engine) heldHostExceedsLimit(now time.Duration, h *placement.Host, c *fairness.Candidate) bool {
	if c.Class == config.Urgent || c.Overdue(now) || e.rules.Placement.NoInterference {
		return false
	}
	r := e.placementRequest(c)
	_, refused := e.predictInterference(h, &r)
	return refused
}

// usableCapacity returns the free capacity that the candidate may use. Only urgent tasks
// may use the headroom.
func usableCapacity(h *placement.Host, c *fairness.Candidate) workerapi.Resources {
	if c.Class == config.Urgent {
		return h.Free
	}
	return h.Room()
}

func (e *Engine) releaseHold(task string) {
	held, known := e.holds[task]
	if !known {
		return
	}
	delete(e.holds, task)
	if h := e.hosts[held.worker]; h != nil && h.registered {
		e.index.Hold(h.indexEntry, "")
	}
}

func (e *Engine) expireHolds(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(e.holds)) {
		if now-e.holds[id].startedAt > holdTimeout {
			e.releaseHold(id)
		}
	}
}

// dropHolds removes the hold on a host that was removed from the index.
func (e *Engine) dropHolds(worker string) {
	for id, held := range e.holds {
		if held.worker == worker {
			delete(e.holds, id)
		}
	}
}
