package machine

import (
	"fmt"
	"time"

	"geraniumwall/workerapi"
)

// session is the newest accepted attach.
type session struct {
	number       uint64
	holder       string
	epoch        uint64
	servicesOnly bool
	// taskHolder and taskEpoch are of the newest full attach.
	taskHolder string
	taskEpoch  uint64
}

// Attach decides on a new session, see docs/design.md 3.2.
func (m *Machine) Attach(now time.Duration, c *workerapi.Attach) workerapi.AttachAnswer {
	m.expireLeases(now)
	accepted := m.acceptsFull(c)
	if c.ServicesOnly {
		accepted = m.acceptsServices(now, c)
	}
	if accepted {
		m.adopt(now, c)
	}
	return workerapi.AttachAnswer{
		Accepted: accepted, Session: m.session.number, Holder: m.session.holder, Epoch: m.session.epoch,
		Incarnation: m.settings.Incarnation, Tasks: m.reports(true), SlotsInUse: m.slotsInUse(),
	}
}

func (m *Machine) acceptsFull(c *workerapi.Attach) bool {
	s := &m.session
	if c.Epoch != s.taskEpoch {
		return c.Epoch > s.taskEpoch
	}
	return s.servicesOnly || s.holder == c.Scheduler
}

func (m *Machine) acceptsServices(now time.Duration, c *workerapi.Attach) bool {
	holder := m.session.holder
	repeated := holder == c.Scheduler && m.session.servicesOnly
	return holder == "" || repeated || now-m.heard[holder] >= holderSilence
}

func (m *Machine) adopt(now time.Duration, c *workerapi.Attach) {
	s := &m.session
	same := s.holder == c.Scheduler && s.epoch == c.Epoch && s.servicesOnly == c.ServicesOnly
	if !same || s.number == 0 {
		s.number++
	}
	s.holder, s.epoch, s.servicesOnly = c.Scheduler, c.Epoch, c.ServicesOnly
	if !c.ServicesOnly {
		s.taskHolder, s.taskEpoch = c.Scheduler, c.Epoch
	}
	m.heard[c.Scheduler] = now
}

// fenced is the reason to refuse a command of an older session or epoch, or empty.
func (m *Machine) fenced(session, epoch uint64) string {
	s := &m.session
	switch {
	case session != s.number || s.servicesOnly:
		return fmt.Sprintf("session %d is not the full session in force, which is %d", session, s.number)
	case epoch < s.taskEpoch:
		return fmt.Sprintf("epoch %d is older than %d", epoch, s.taskEpoch)
	}
	return ""
}

func notRun(reason string) workerapi.CommandAnswer {
	return workerapi.CommandAnswer{Outcome: workerapi.OutcomeNotRun, Reason: reason}
}

// Start starts an attempt if it fits and is not fenced.
func (m *Machine) Start(now time.Duration, c *workerapi.Start) workerapi.CommandAnswer {
	m.expireLeases(now)
	if reason := m.fenced(c.Session, c.Epoch); reason != "" {
		return notRun(reason)
	}
	if a := m.tasks[c.ID]; a != nil && a.report.Attempt == c.Attempt && a.report.Phase != workerapi.PhaseNeverStarted {
		// A repeated start changes nothing and has the outcome of the first.
		return workerapi.CommandAnswer{Outcome: workerapi.OutcomeDone, Task: a.report}
	}
	lease, reason := m.startLease(now, c)
	if reason == "" {
		reason = m.cannotStart(c)
	}
	if reason != "" {
		return notRun(reason)
	}
	a := newAttempt(c, lease)
	m.tasks[c.ID] = a
	m.newest[c.ID] = fence{attempt: c.Attempt, at: now}
	a.refresh()
	m.record(Event{At: now, Kind: TaskStart, Task: c.ID, Attempt: c.Attempt})
	m.notePeak(now)
	return workerapi.CommandAnswer{Outcome: workerapi.OutcomeDone, Task: a.report}
}

// startLease counts the lease from when the named heartbeat was sent.
func (m *Machine) startLease(now time.Duration, c *workerapi.Start) (time.Duration, string) {
	sent, known := m.sent[c.Sequence]
	if c.Incarnation != m.settings.Incarnation || !known {
		return 0, "the heartbeat that the start refers to is not known"
	}
	lease := sent + time.Duration(c.LeaseMS)*time.Millisecond
	if now >= lease {
		return 0, "the lease of the start is over"
	}
	return lease, ""
}

func (m *Machine) cannotStart(c *workerapi.Start) string {
	current := m.tasks[c.ID]
	switch {
	case m.draining:
		return "the worker leaves"
	case current != nil && current.running():
		return "another attempt of the task runs here"
	case !m.newest[c.ID].attempt.Less(c.Attempt):
		return "the attempt is blocked or older than one seen before"
	case c.Resources.Negative() || !c.Resources.Fits(m.settings.Capacity.Minus(m.Used())):
		return "the task does not fit into the free capacity"
	}
	return ""
}

// Stop ends an attempt, or blocks it if it was never started.
func (m *Machine) Stop(now time.Duration, c *workerapi.Stop) workerapi.CommandAnswer {
	m.expireLeases(now)
	if reason := m.fenced(c.Session, c.Epoch); reason != "" {
		return notRun(reason)
	}
	if m.newest[c.ID].attempt.Less(c.Attempt) {
		m.newest[c.ID] = fence{attempt: c.Attempt, at: now}
	}
	a := m.tasks[c.ID]
	if a == nil || a.report.Attempt.Less(c.Attempt) && !a.running() {
		report := workerapi.TaskReport{ID: c.ID, Attempt: c.Attempt, Phase: workerapi.PhaseNeverStarted}
		m.tasks[c.ID] = &attempt{report: report}
		return workerapi.CommandAnswer{Outcome: workerapi.OutcomeDone, Task: report}
	}
	if a.running() && !c.Attempt.Less(a.report.Attempt) {
		if c.Checkpoint {
			a.save()
		}
		m.finish(a, workerapi.PhaseStopped, now)
	}
	return workerapi.CommandAnswer{Outcome: workerapi.OutcomeDone, Task: a.report}
}

// commanded returns the running attempt that a command names, or the reason to
// refuse the command.
func (m *Machine) commanded(session, epoch uint64, id string, number workerapi.Attempt) (*attempt, string) {
	if reason := m.fenced(session, epoch); reason != "" {
		return nil, reason
	}
	a := m.tasks[id]
	if a == nil || !a.running() || a.report.Attempt != number {
		return nil, "the attempt does not run here"
	}
	return a, ""
}

// Throttle sets the processor share of a running attempt.
func (m *Machine) Throttle(now time.Duration, c *workerapi.Throttle) workerapi.CommandAnswer {
	m.expireLeases(now)
	a, reason := m.commanded(c.Session, c.Epoch, c.ID, c.Attempt)
	if reason != "" {
		return notRun(reason)
	}
	if !(c.Share > 0 && c.Share <= 1) {
		return notRun("the share is not above 0 and at most 1")
	}
	a.share = c.Share
	a.refresh()
	return workerapi.CommandAnswer{Outcome: workerapi.OutcomeDone, Task: a.report}
}

// Checkpoint saves the progress of a running attempt.
func (m *Machine) Checkpoint(now time.Duration, c *workerapi.Stop) workerapi.CommandAnswer {
	m.expireLeases(now)
	a, reason := m.commanded(c.Session, c.Epoch, c.ID, c.Attempt)
	if reason != "" {
		return notRun(reason)
	}
	a.save()
	a.refresh()
	return workerapi.CommandAnswer{Outcome: workerapi.OutcomeDone, Task: a.report}
}
