package scheduler

import (
	"time"

	"geraniumwall/lease"
	"geraniumwall/workerapi"
)

// noteStray counts an unexpected running attempt in the ledger, so that nothing
// is placed on top of it, and stops it once the tasks of the domain are known.
func (c *Core) noteStray(now time.Duration, w *worker, t *task, r *workerapi.TaskReport) {
	if t != nil && t.on == w {
		// The ledger has an entry of the task on this worker already.
		return
	}
	s := w.strays[r.ID]
	if s == nil {
		if !c.makeRoom(w, r.Resources) {
			return
		}
		s = &stray{retry: now}
		w.strays[r.ID] = s
		w.ledger.add(r.ID, r.Resources)
		c.occupied[r.ID]++
	}
	s.ref = workerapi.TaskRef{ID: r.ID, Attempt: r.Attempt}
	s.until = now + lease.GrantorWait(lease.TaskLease)
	if !c.synced || now < s.retry || !w.session.held {
		return
	}
	s.retry = now + commandRetry
	c.note(now, Decision{Subject: r.ID, Kind: "stray", Reason: "runs without being expected there", Worker: w.id})
	c.act(SendStop{Target: w.target(), Body: workerapi.Stop{
		Session: w.session.number, Epoch: w.session.epoch, ID: r.ID, Attempt: r.Attempt, Checkpoint: true,
	}})
}

func (c *Core) dropStray(w *worker, id string) {
	if w.strays[id] == nil {
		return
	}
	delete(w.strays, id)
	w.ledger.remove(id)
	c.vacate(id)
}

// dropVanished forgets strays that the worker no longer reports.
func (c *Core) dropVanished(w *worker, reports []workerapi.TaskReport) {
	if len(w.strays) == 0 {
		return
	}
	reported := map[string]bool{}
	for i := range reports {
		reported[reports[i].ID] = true
	}
	for _, id := range sortedKeys(w.strays) {
		if !reported[id] {
			c.dropStray(w, id)
		}
	}
}

// expireStrays forgets strays whose lease is certainly over.
func (c *Core) expireStrays(now time.Duration, w *worker) {
	for _, id := range sortedKeys(w.strays) {
		if now >= w.strays[id].until {
			c.dropStray(w, id)
		}
	}
}

// strayStopped takes in the confirmed stop of an attempt that is not live.
func (c *Core) strayStopped(r StopResult) {
	w := c.workers[r.Target.Worker]
	if w == nil || w.incarnation != r.Target.Incarnation || !isFinal(r.Answer.Task.Phase) {
		return
	}
	if s := w.strays[r.Ref.ID]; s != nil && s.ref == r.Ref {
		c.dropStray(w, r.Ref.ID)
	}
}
