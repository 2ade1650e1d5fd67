package scheduler

import (
	"time"

	"geraniumwall/lease"
	"geraniumwall/workerapi"
)

// trackOrphan allocates an unexpected running attempt, so that nothing else is placed
// on its resources, and stops it once the tasks of the domain are known.
func (c *Core) trackOrphan(now time.Duration, w *worker, t *task, r *workerapi.TaskReport) {
	if t != nil && t.worker == w {
		// The task is already allocated on this worker.
		return
	}
	o := w.orphans[r.ID]
	if o == nil {
		if !c.makeRoom(w, r.Resources) {
			return
		}
		o = &orphan{nextStop: now}
		w.orphans[r.ID] = o
		w.allocation.add(r.ID, r.Resources)
		c.allocations[r.ID]++
	}
	o.ref = workerapi.TaskRef{ID: r.ID, Attempt: r.Attempt}
	o.leaseEnd = now + lease.GrantorWait(lease.TaskLease)
	if !c.synced || now < o.nextStop || !w.session.held {
		return
	}
	o.nextStop = now + commandRetryInterval
	c.recordDecision(now, Decision{Subject: r.ID, Kind: "stray", Reason: "the worker runs an attempt that was not expected there", Worker: w.id})
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

// removeUnreportedOrphans removes orphans that the worker no longer reports.
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

// expireOrphans removes orphans whose lease is guaranteed to have expired.
func (c *Core) expireOrphans(now time.Duration, w *worker) {
	for _, id := range sortedKeys(w.orphans) {
		if now >= w.orphans[id].leaseEnd {
			c.removeOrphan(w, id)
		}
	}
}

// orphanStopped processes the confirmed stop of an attempt that is not live.
func (c *Core) orphanStopped(r StopResult) {
	w := c.workers[r.Target.Worker]
	if w == nil || w.incarnation != r.Target.Incarnation || !isFinal(r.Answer.Task.Phase) {
		return
	}
	if o := w.orphans[r.Ref.ID]; o != nil && o.ref == r.Ref {
		c.removeOrphan(w, r.Ref.ID)
	}
}
