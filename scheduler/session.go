package scheduler

import (
	"time"

	"geraniumwall/workerapi"
)

// session is the scheduler's session with a worker, see docs/design.md 3.2.
type session struct {
	held         bool
	servicesOnly bool
	number       uint64
	epoch        uint64
	// olderSlotsInUse and slotsInUse count the slots in use under older sessions and
	// under this one, as of the last report of the worker.
	olderSlotsInUse int
	slotsInUse      int
	// retryAt is the earliest time at which the next attach may be sent.
	retryAt time.Duration
}

// requestSession sends an attach if the scheduler should hold a session and holds none.
func (c *Core) requestSession(now time.Duration, w *worker) {
	s := &w.session
	if now < s.retryAt || c.stopping {
		return
	}
	fullSession := c.authority.mayAct(now) && (!s.held || s.servicesOnly || s.epoch != c.authority.activeEpoch)
	noActivePeer := c.authority.active() || c.authority.peerSilent(now)
	servicesOnly := !fullSession && noActivePeer && !s.held
	if !fullSession && !servicesOnly {
		return
	}
	s.retryAt = now + commandRetryInterval
	c.queueAction(SendAttach{Target: w.target(), Body: workerapi.Attach{
		Scheduler: c.settings.Identity, Epoch: c.authority.leases.Epoch(), ServicesOnly: servicesOnly,
	}})
}

// AttachResult is the outcome of a SendAttach. Failed is set if no answer arrived.
type AttachResult struct {
	Target Target
	Body   workerapi.Attach
	Failed bool
	Answer workerapi.AttachAnswer
}

// AttachAnswered processes the outcome of an attach.
func (c *Core) AttachAnswered(now time.Duration, r AttachResult) {
	w := c.workers[r.Target.Worker]
	if w == nil || w.incarnation != r.Target.Incarnation {
		return
	}
	if r.Failed || !r.Answer.Accepted || r.Answer.Incarnation != w.incarnation {
		return
	}
	if !r.Body.ServicesOnly && (!c.authority.active() || r.Body.Epoch != c.authority.activeEpoch) {
		return
	}
	if r.Answer.Session < w.session.number || !validSlotsInUse(r.Answer.SlotsInUse, w.slots) {
		return
	}
	if s := &w.session; s.held && s.number == r.Answer.Session && s.servicesOnly == r.Body.ServicesOnly {
		// A repeated attach; the counts of later heartbeats are newer than this answer.
		return
	}
	c.acceptSession(now, w, r)
}

// acceptSession installs the session. Grants under older sessions become void: the
// worker rejects new requests under them, and running ones count as olderSlotsInUse.
func (c *Core) acceptSession(now time.Duration, w *worker, r AttachResult) {
	if r.Answer.Session != w.session.number {
		clear(w.grants)
	}
	w.session = session{
		held: true, servicesOnly: r.Body.ServicesOnly, number: r.Answer.Session, epoch: r.Body.Epoch,
	}
	w.updateSlotsInUse(r.Answer.SlotsInUse)
	c.updateReservation(now, w)
	c.nextReplan = now
	kind := map[bool]string{false: "attached", true: "attached_services_only"}[r.Body.ServicesOnly]
	c.recordDecision(now, Decision{Subject: w.id, Kind: kind, Reason: "the worker accepted the session",
		Factors: []Factor{{Name: "session", Value: float64(w.session.number)}}})
	if !r.Body.ServicesOnly {
		c.reconcileTasks(now, w, r.Answer.Tasks, nil)
	}
	c.assertSlots(now, w)
}

// checkSession drops a session if the worker has accepted another scheduler.
func (c *Core) checkSession(now time.Duration, w *worker, hb *workerapi.Heartbeat) {
	s := &w.session
	if !s.held {
		return
	}
	ours := hb.Holder == c.settings.Identity && hb.Session == s.number
	if ours {
		w.updateSlotsInUse(hb.SlotsInUse)
		return
	}
	if hb.Session < s.number {
		// The heartbeat was sent before the attach.
		return
	}
	w.session = session{number: hb.Session}
	clear(w.grants)
	c.updateEngine(now, w)
	c.recordDecision(now, Decision{Subject: w.id, Kind: "detached", Reason: "the worker accepted a session of " + hb.Holder})
}

func (w *worker) updateSlotsInUse(inUse map[uint64]int) {
	w.session.olderSlotsInUse, w.session.slotsInUse = 0, 0
	for number, n := range inUse {
		if number == w.session.number {
			w.session.slotsInUse += n
		} else {
			w.session.olderSlotsInUse += n
		}
	}
}
