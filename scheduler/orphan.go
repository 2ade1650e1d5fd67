package scheduler

import (
	"time"

	"geraniumwall/lease"
	"geraniumwall/workerapi"
)

// trackOrphan counts an unexpected running attempt in the ledger, so that nothing
// is placed on top of it, and stops it once the tasks of the domain are known.
func (c *Core) trackOrphan(now time.Duration, w *worker, t *task, r *workerapi.TaskReport) {
	if t != nil && t.worker == w {
		// The ledger has an entry of the task on this worker already.
		return
	}
	s := w.orphans[r.ID]
	if s == nil {
		if !c.makeRoom(w, r.Resources) {
			return
		}
		s = &orphan{nextStop: now}
		w.orphans[r.ID] = s
		w.allocation.add(r.ID, r.Resources)
		c.allocations[r.ID]++
	}
	s.ref = workerapi.TaskRef{ID: r.ID, Attempt: r.Attempt}
	s.leaseEnd = now + lease.GrantorWait(lease.TaskLease)
	if !c.synced || now < s.nextStop || !w.session.held {
		return
	}
	s.nextStop = now + commandRetryInterval
	c.recordDecision(now, Decision{Subject: r.ID, Kind: "stray", Reason: "runs without being expected there", Worker: w.id})
	c.queueAction(SendStop{Target: w.target(), Body: workerapi.Stop{
		Session: w.session.number, Epoch: w.session.epoch, ID: r.ID, Attempt: r.Attempt, Checkpoint: true,
	}})
}

func (c *Core) removeOrphan(w *worker, id string) {
	if w.orphans[id] == nil {
		return
	}
	delete(w.orphans, id)
	w.allocation.remove(id)
	c.releaseAllocation(id)
}

// removeUnreportedOrphans forgets strays that the worker no longer reports.
func (c *Core) removeUnreportedOrphans(w *worker, reports []workerapi.TaskReport) {
	if len(w.orphans) == 0 {
		return
	}
	reported := map[string]bool{}
	for i := range reports {
		reported[reports[i].ID] = true
	}
	for _, id := range sortedKeys(w.orphans) {
		if !reported[id] {
			c.removeOrphan(w, id)
		}
	}
}

// expireOrphans forgets strays whose lease is certainly over.
func (c *Core) expireOrphans(now time.Duration, w *worker) {
	for _, id := range sortedKeys(w.orphans) {
		if now >= w.orphans[id].leaseEnd {
			c.removeOrphan(w, id)
		}
	}
}

// orphanStopped takes in the confirmed stop of an attempt that is not live.
func (c *Core) orphanStopped(r StopResult) {
	w := c.workers[r.Target.Worker]
	if w == nil || w.incarnation != r.Target.Incarnation || !isFinal(r.Answer.Task.Phase) {
		return
	}
	if s := w.orphans[r.Ref.ID]; s != nil && s.ref == r.Ref {
		c.removeOrphan(w, r.Ref.ID)
	}
}
