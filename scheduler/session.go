package scheduler

import (
	"time"

	"geraniumwall/workerapi"
)

// session is the scheduler's hold on a worker, see docs/design.md 3.2.
type session struct {
	held         bool
	servicesOnly bool
	number       uint64
	epoch        uint64
	// older counts the slots in use under older sessions, current those under this
	// one, as the worker reported them last.
	older   int
	current int
	// retryAt is when the next attach may be sent.
	retryAt time.Duration
}

// seekSession asks for a session if the scheduler should have one and has none.
func (c *Core) seekSession(now time.Duration, w *worker) {
	s := &w.session
	if now < s.retryAt || c.stopping {
		return
	}
	full := c.authority.mayAct(now) && (!s.held || s.servicesOnly || s.epoch != c.authority.taken)
	alone := c.authority.active() || c.authority.peerSilent(now)
	services := !full && alone && !s.held
	if !full && !services {
		return
	}
	s.retryAt = now + commandRetry
	c.act(SendAttach{Target: w.target(), Body: workerapi.Attach{
		Scheduler: c.settings.Identity, Epoch: c.authority.leases.Epoch(), ServicesOnly: services,
	}})
}

// AttachResult is the outcome of a SendAttach. Failed is set if no answer came.
type AttachResult struct {
	Target Target
	Body   workerapi.Attach
	Failed bool
	Answer workerapi.AttachAnswer
}

// AttachAnswered takes in the outcome of an attach.
func (c *Core) AttachAnswered(now time.Duration, r AttachResult) {
	w := c.workers[r.Target.Worker]
	if w == nil || w.incarnation != r.Target.Incarnation {
		return
	}
	if r.Failed || !r.Answer.Accepted || r.Answer.Incarnation != w.incarnation {
		return
	}
	if !r.Body.ServicesOnly && (!c.authority.active() || r.Body.Epoch != c.authority.taken) {
		return
	}
	if r.Answer.Session < w.session.number || !plausibleUse(r.Answer.SlotsInUse, w.slots) {
		return
	}
	if s := &w.session; s.held && s.number == r.Answer.Session && s.servicesOnly == r.Body.ServicesOnly {
		// A repeated attach; heartbeats have newer counts than this answer.
		return
	}
	c.hold(now, w, r)
}

// hold takes over the session. Grants of older sessions are void: the worker
// refuses requests under them, and what still runs is counted as older.
func (c *Core) hold(now time.Duration, w *worker, r AttachResult) {
	if r.Answer.Session != w.session.number {
		clear(w.grants)
	}
	w.session = session{
		held: true, servicesOnly: r.Body.ServicesOnly, number: r.Answer.Session, epoch: r.Body.Epoch,
	}
	w.countSlots(r.Answer.SlotsInUse)
	c.adoptReserve(now, w)
	c.nextPlan = now
	kind := map[bool]string{false: "attached", true: "attached_services_only"}[r.Body.ServicesOnly]
	c.note(now, Decision{Subject: w.id, Kind: kind, Reason: "the worker accepted the session",
		Figures: []Figure{{Name: "session", Value: float64(w.session.number)}}})
	if !r.Body.ServicesOnly {
		c.observeTasks(now, w, r.Answer.Tasks, nil)
	}
	c.checkSlots(now, w)
}

// checkSession drops a session that the worker gave to another scheduler.
func (c *Core) checkSession(now time.Duration, w *worker, hb *workerapi.Heartbeat) {
	s := &w.session
	if !s.held {
		return
	}
	mine := hb.Holder == c.settings.Identity && hb.Session == s.number
	if mine {
		w.countSlots(hb.SlotsInUse)
		return
	}
	if hb.Session < s.number {
		// The heartbeat was sent before the attach.
		return
	}
	w.session = session{number: hb.Session}
	clear(w.grants)
	c.tellEngine(now, w)
	c.note(now, Decision{Subject: w.id, Kind: "detached", Reason: "the worker accepted a session of " + hb.Holder})
}

func (w *worker) countSlots(inUse map[uint64]int) {
	w.session.older, w.session.current = 0, 0
	for number, n := range inUse {
		if number == w.session.number {
			w.session.current += n
		} else {
			w.session.older += n
		}
	}
}
