package fakeworker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"geraniumwall/workerapi"
)

// maxCommandBytes bounds the body of a command.
const maxCommandBytes = 16 << 20

// handle decodes a command, runs f and encodes its answer.
func handle[Q, R any](f func(*Q) R) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var command Q
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCommandBytes)).Decode(&command); err != nil {
			w.Header().Set(workerapi.HeaderOutcome, string(workerapi.OutcomeNotRun))
			http.Error(w, "decode command: "+err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(f(&command))
	}
}

// attach decides on a new session, see docs/design.md 3.2.
func (w *Worker) attach(c *workerapi.Attach) workerapi.AttachAnswer {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	accepted := w.acceptsFull(c)
	if c.ServicesOnly {
		accepted = w.acceptsServices(now, c)
	}
	if accepted {
		w.adopt(now, c)
	}
	answer := workerapi.AttachAnswer{
		Accepted: accepted, Session: w.session.number, Holder: w.session.holder, Epoch: w.session.epoch,
		Incarnation: w.incarnation, Tasks: w.reports(true), SlotsInUse: map[uint64]int{},
	}
	for s, n := range w.inUse {
		answer.SlotsInUse[s] = n
	}
	return answer
}

func (w *Worker) acceptsFull(c *workerapi.Attach) bool {
	s := &w.session
	if c.Epoch != s.taskEpoch {
		return c.Epoch > s.taskEpoch
	}
	return s.servicesOnly || s.holder == c.Scheduler
}

func (w *Worker) acceptsServices(now time.Time, c *workerapi.Attach) bool {
	holder := w.session.holder
	return holder == "" || holder == c.Scheduler || now.Sub(w.heard[holder]) >= holderSilence
}

func (w *Worker) adopt(now time.Time, c *workerapi.Attach) {
	s := &w.session
	same := s.holder == c.Scheduler && s.epoch == c.Epoch && s.servicesOnly == c.ServicesOnly
	if !same || s.number == 0 {
		s.number++
	}
	s.holder, s.epoch, s.servicesOnly = c.Scheduler, c.Epoch, c.ServicesOnly
	if !c.ServicesOnly {
		s.taskHolder, s.taskEpoch = c.Scheduler, c.Epoch
	}
	w.heard[c.Scheduler] = now
}

// fenced is the reason to refuse a command of an older session or epoch, or empty.
func (w *Worker) fenced(session, epoch uint64) string {
	s := &w.session
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

func (w *Worker) start(c *workerapi.Start) workerapi.CommandAnswer {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if reason := w.fenced(c.Session, c.Epoch); reason != "" {
		return notRun(reason)
	}
	if a := w.tasks[c.ID]; a != nil && a.report.Attempt == c.Attempt {
		// A repeated start changes nothing and has the outcome of the first.
		return workerapi.CommandAnswer{Outcome: workerapi.OutcomeDone, Task: a.report}
	}
	lease, reason := w.startLease(now, c)
	if reason == "" {
		reason = w.cannotStart(c)
	}
	if reason != "" {
		return notRun(reason)
	}
	a := newAttempt(c, lease)
	w.tasks[c.ID] = a
	w.newest[c.ID] = fence{attempt: c.Attempt, at: now}
	a.refresh()
	e := w.event(now, TaskStart)
	e.Task, e.Attempt = c.ID, &a.report.Attempt
	w.record.add(e)
	w.notePeak()
	return workerapi.CommandAnswer{Outcome: workerapi.OutcomeDone, Task: a.report}
}

// startLease counts the lease from when the named heartbeat was sent.
func (w *Worker) startLease(now time.Time, c *workerapi.Start) (time.Time, string) {
	sent, known := w.sent[c.Sequence]
	if c.Incarnation != w.incarnation || !known {
		return time.Time{}, "the heartbeat that the start refers to is not known"
	}
	lease := sent.Add(time.Duration(c.LeaseMS) * time.Millisecond)
	if !now.Before(lease) {
		return time.Time{}, "the lease of the start is over"
	}
	return lease, ""
}

func (w *Worker) cannotStart(c *workerapi.Start) string {
	current := w.tasks[c.ID]
	switch {
	case !w.draining.IsZero():
		return "the worker leaves"
	case current != nil && current.running():
		return "another attempt of the task runs here"
	case !w.newest[c.ID].attempt.Less(c.Attempt):
		return "the attempt is blocked or older than one seen before"
	case c.Resources.Negative() || !c.Resources.Fits(w.settings.Capacity.Minus(w.used())):
		return "the task does not fit into the free capacity"
	}
	return ""
}

// stop ends an attempt, or blocks it if it was never started.
func (w *Worker) stop(c *workerapi.Stop) workerapi.CommandAnswer {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if reason := w.fenced(c.Session, c.Epoch); reason != "" {
		return notRun(reason)
	}
	if w.newest[c.ID].attempt.Less(c.Attempt) {
		w.newest[c.ID] = fence{attempt: c.Attempt, at: now}
	}
	a := w.tasks[c.ID]
	if a == nil || a.report.Attempt.Less(c.Attempt) && !a.running() {
		report := workerapi.TaskReport{ID: c.ID, Attempt: c.Attempt, Phase: workerapi.PhaseNeverStarted}
		w.tasks[c.ID] = &attempt{report: report}
		return workerapi.CommandAnswer{Outcome: workerapi.OutcomeDone, Task: report}
	}
	if a.running() && !c.Attempt.Less(a.report.Attempt) {
		if c.Checkpoint {
			a.save()
		}
		w.finish(a, workerapi.PhaseStopped, now)
	}
	return workerapi.CommandAnswer{Outcome: workerapi.OutcomeDone, Task: a.report}
}

func (w *Worker) throttle(c *workerapi.Throttle) workerapi.CommandAnswer {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reason := w.fenced(c.Session, c.Epoch); reason != "" {
		return notRun(reason)
	}
	a := w.tasks[c.ID]
	if a == nil || !a.running() || a.report.Attempt != c.Attempt {
		return notRun("the attempt does not run here")
	}
	if !(c.Share > 0 && c.Share <= 1) {
		return notRun("the share is not above 0 and at most 1")
	}
	a.share = c.Share
	a.refresh()
	return workerapi.CommandAnswer{Outcome: workerapi.OutcomeDone, Task: a.report}
}

// checkpoint saves the progress of a running attempt.
func (w *Worker) checkpoint(c *workerapi.Stop) workerapi.CommandAnswer {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reason := w.fenced(c.Session, c.Epoch); reason != "" {
		return notRun(reason)
	}
	a := w.tasks[c.ID]
	if a == nil || !a.running() || a.report.Attempt != c.Attempt {
		return notRun("the attempt does not run here")
	}
	a.save()
	a.refresh()
	return workerapi.CommandAnswer{Outcome: workerapi.OutcomeDone, Task: a.report}
}
