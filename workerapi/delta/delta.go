// Package delta shortens heartbeats: a worker sends only what has changed since
// the last heartbeat that a scheduler answered, and the scheduler restores the
// whole one. At 30 running tasks a whole heartbeat is about 10 KB, which is above
// what a node may spend on control traffic.
//
// Invariant: Receiver.Restore returns a heartbeat only if it holds exactly the
// state that the sender took as base; otherwise it asks for a whole one. Only the
// volatile values of a running attempt (progress, use, time since its checkpoint)
// may be older than the heartbeat, by at most RefreshBeats heartbeats.
package delta

import (
	"bytes"

	"geraniumwall/workerapi"
)

// RefreshBeats is the number of heartbeats after which the volatile values of a
// running attempt are sent again.
const RefreshBeats = 10

// Sender shortens the heartbeats of one worker to one scheduler. It is not safe
// for concurrent use.
type Sender struct {
	// base is what the scheduler holds after the newest answered heartbeat.
	base *state
	sent map[uint64]*state
}

// state is what the scheduler holds after it has restored a heartbeat.
type state struct {
	sequence uint64
	tasks    map[string]held
}

type held struct {
	report workerapi.TaskReport
	// included is the sequence of the heartbeat that carried the report.
	included uint64
}

// NewSender returns a sender whose first heartbeat is whole.
func NewSender() *Sender { return &Sender{sent: map[uint64]*state{}} }

// Shorten returns the heartbeat to send in place of the whole one.
func (s *Sender) Shorten(whole *workerapi.Heartbeat) *workerapi.Heartbeat {
	next := &state{sequence: whole.Sequence, tasks: make(map[string]held, len(whole.Tasks))}
	s.sent[whole.Sequence] = next
	if s.base == nil {
		for _, r := range whole.Tasks {
			next.tasks[r.ID] = held{report: r, included: whole.Sequence}
		}
		return whole
	}
	short := *whole
	short.Base = s.base.sequence
	short.Capacity, short.Services, short.Rack, short.Address = workerapi.Resources{}, nil, "", ""
	short.Slots, short.Connections, short.BootUnixMS = 0, 0, 0
	short.Tasks = nil
	for _, r := range whole.Tasks {
		before, known := s.base.tasks[r.ID]
		if known && unchanged(before, r, whole.Sequence) {
			next.tasks[r.ID] = before
			continue
		}
		next.tasks[r.ID] = held{report: r, included: whole.Sequence}
		short.Tasks = append(short.Tasks, r)
	}
	for id := range s.base.tasks {
		if _, still := next.tasks[id]; !still {
			short.Gone = append(short.Gone, id)
		}
	}
	return &short
}

func unchanged(before held, now workerapi.TaskReport, sequence uint64) bool {
	was := before.report
	if now.Phase == workerapi.PhaseRunning && sequence-before.included >= RefreshBeats {
		return false
	}
	return was.Attempt == now.Attempt && was.Phase == now.Phase && was.Job == now.Job &&
		was.Resources == now.Resources && was.Throttle == now.Throttle && was.Error == now.Error &&
		bytes.Equal(was.Result, now.Result) &&
		(len(now.Checkpoint) == 0 || bytes.Equal(was.Checkpoint, now.Checkpoint))
}

// Answered takes in the answer to the heartbeat with the sequence.
func (s *Sender) Answered(sequence uint64, answer *workerapi.HeartbeatAnswer) {
	taken := s.sent[sequence]
	if answer.SendWhole {
		s.base = nil
	} else if taken != nil && (s.base == nil || taken.sequence > s.base.sequence) {
		s.base = taken
	}
	for old := range s.sent {
		if old <= sequence {
			delete(s.sent, old)
		}
	}
}

// Failed takes in that a heartbeat was not answered. The scheduler may hold it, so
// the next heartbeat is whole.
func (s *Sender) Failed(sequence uint64) {
	delete(s.sent, sequence)
	s.base = nil
}

// Expand writes the attempts that an answer renews as a whole into its list.
func Expand(whole *workerapi.Heartbeat, answer *workerapi.HeartbeatAnswer) {
	if !answer.RenewAll {
		return
	}
	answer.Renew = answer.Renew[:0]
	for i := range whole.Tasks {
		if r := &whole.Tasks[i]; r.Phase == workerapi.PhaseRunning {
			answer.Renew = append(answer.Renew, workerapi.TaskRef{ID: r.ID, Attempt: r.Attempt})
		}
	}
}

// Collapse replaces the list of renewed attempts by RenewAll if it has every
// running attempt of the heartbeat.
func Collapse(whole *workerapi.Heartbeat, answer *workerapi.HeartbeatAnswer) {
	running := 0
	for i := range whole.Tasks {
		if whole.Tasks[i].Phase == workerapi.PhaseRunning {
			running++
		}
	}
	if running > 0 && len(answer.Renew) == running {
		answer.RenewAll, answer.Renew = true, nil
	}
}

// Receiver restores the heartbeats of one worker. It is not safe for concurrent use.
type Receiver struct{ last *workerapi.Heartbeat }

// Restore returns the whole heartbeat, or false if the sender must send a whole
// one. The result shares no memory that Restore changes later.
func (r *Receiver) Restore(hb *workerapi.Heartbeat) (*workerapi.Heartbeat, bool) {
	if hb.Base == 0 {
		r.last = hb
		return hb, true
	}
	last := r.last
	if last == nil || last.Incarnation != hb.Incarnation || last.Sequence != hb.Base || hb.Sequence <= hb.Base {
		return nil, false
	}
	whole := *hb
	whole.Base, whole.Gone = 0, nil
	whole.Capacity, whole.Services, whole.Rack, whole.Address = last.Capacity, last.Services, last.Rack, last.Address
	whole.Slots, whole.Connections, whole.BootUnixMS = last.Slots, last.Connections, last.BootUnixMS
	whole.Tasks = merge(last.Tasks, hb)
	r.last = &whole
	return &whole, true
}

func merge(before []workerapi.TaskReport, hb *workerapi.Heartbeat) []workerapi.TaskReport {
	replaced := make(map[string]bool, len(hb.Gone)+len(hb.Tasks))
	for _, id := range hb.Gone {
		replaced[id] = true
	}
	for i := range hb.Tasks {
		replaced[hb.Tasks[i].ID] = true
	}
	merged := make([]workerapi.TaskReport, 0, len(before)+len(hb.Tasks))
	for _, r := range before {
		if !replaced[r.ID] {
			merged = append(merged, r)
		}
	}
	return append(merged, hb.Tasks...)
}
