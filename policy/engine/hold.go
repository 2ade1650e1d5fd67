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

// Holds drain a host for a task that is too large to find room by chance.
const (
	// holdAfter is the wait after which a host is held.
	holdAfter = 20 * time.Second
	// holdFor is the time after which a hold that did not succeed ends.
	holdFor = 5 * time.Minute
	// hostsPerHold bounds holds to one in so many hosts.
	hostsPerHold = 16
)

type hold struct {
	worker string
	since  time.Duration
	// evicting is set when tasks were evicted for it.
	evicting bool
}

// considerHold holds the host that will have room for the candidate first.
func (e *Engine) considerHold(now time.Duration, c *fairness.Candidate) {
	_, held := e.holds[c.ID]
	tooMany := len(e.holds) >= max(1, e.index.Len()/hostsPerHold)
	if e.rules.NoHolds || held || tooMany || now-c.Enqueued < holdAfter {
		return
	}
	r := e.request(c)
	var best *host
	var soonest time.Duration
	for _, h := range e.order {
		if !e.holdable(&r, h) {
			continue
		}
		after := e.drainTime(now, h, &r)
		if after <= holdFor && (best == nil || after < soonest) {
			best, soonest = h, after
		}
	}
	if best != nil {
		e.hold(now, c.ID, best, false)
	}
}

func (e *Engine) hold(now time.Duration, task string, h *host, evicting bool) {
	e.endHold(task)
	e.holds[task] = hold{worker: h.ID, since: now, evicting: evicting}
	e.index.Hold(h.placed, task)
}

// holdable reports whether the host could take the request once drained.
func (e *Engine) holdable(r *placement.Request, h *host) bool {
	p := h.placed
	return p.Open && p.HeldFor == "" && p.Limit < 0 && r.Need.Fits(p.Offered) && !r.Avoid[h.ID] && r.Allowed(p)
}

// drainTime is the time until enough tasks of the host have ended.
func (e *Engine) drainTime(now time.Duration, h *host, r *placement.Request) time.Duration {
	free := h.placed.Room()
	after := time.Duration(0)
	left := sortedTasks(h.tasks)
	for !r.Need.Fits(free) && len(left) > 0 {
		next := 0
		for i := range left {
			if e.remaining(now, left[i]) < e.remaining(now, left[next]) {
				next = i
			}
		}
		after = e.remaining(now, left[next])
		free = free.Plus(left[next].reserved)
		left = append(left[:next], left[next+1:]...)
	}
	return after
}

// remaining is the expected time until a task ends.
func (e *Engine) remaining(now time.Duration, t *task) time.Duration {
	expected := e.sizes.RunTime(t.Job, t.Expected)
	return max(expected-(now-t.started), time.Second)
}

// placeHeld starts the tasks whose held hosts have room by now.
func (e *Engine) placeHeld(now time.Duration, round *fairness.Round, limit int, out []policy.Placement) []policy.Placement {
	for _, id := range slices.Sorted(maps.Keys(e.holds)) {
		c, admitted := round.Find(id)
		h := e.hosts[e.holds[id].worker].placed
		if !admitted || len(out) >= limit || !h.Open || !c.Need.Fits(usable(h, &c)) {
			continue
		}
		if e.refusedHeld(now, h, &c) {
			e.endHold(id)
			continue
		}
		out = append(out, e.place(now, round, &c, &placement.Choice{Host: h, Candidates: 1}))
	}
	return out
}

// refusedHeld reports whether a service of a drained host would pass its limit by
// now, so that the task would be throttled or moved at once.
func (e *Engine) refusedHeld(now time.Duration, h *placement.Host, c *fairness.Candidate) bool {
	if c.Class == config.Urgent || c.Overdue(now) || e.rules.Placement.NoInterference {
		return false
	}
	r := e.request(c)
	_, refused := e.foresee(h, &r)
	return refused
}

// usable is the free capacity that a candidate may take.
func usable(h *placement.Host, c *fairness.Candidate) workerapi.Resources {
	if c.Class == config.Urgent {
		return h.Free
	}
	return h.Room()
}

func (e *Engine) endHold(task string) {
	held, known := e.holds[task]
	if !known {
		return
	}
	delete(e.holds, task)
	if h := e.hosts[held.worker]; h != nil && h.present {
		e.index.Hold(h.placed, "")
	}
}

func (e *Engine) expireHolds(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(e.holds)) {
		if now-e.holds[id].since > holdFor {
			e.endHold(id)
		}
	}
}

// dropHolds ends the hold of a host that left.
func (e *Engine) dropHolds(worker string) {
	for id, held := range e.holds {
		if held.worker == worker {
			delete(e.holds, id)
		}
	}
}
