// Package delta shortens heartbeats: a worker sends only what has changed since
// the last heartbeat that a scheduler answered, and the scheduler restores the
// whole one. At 30 running tasks a whole heartbeat is about 10 KB, which is above
// what a node may spend on control traffic.
//
// Invariant: Receiver.Restore returns a heartbeat only if it holds exactly the
// state that the sender took as base; otherwise it asks for a whole one. Only the
// volatile values of a running attempt (progress, use, time since its checkpoint)
// may be older than the heartbeat, by at most RefreshAfter. Use is older only while
// it has changed by less than a tenth.
package delta

import (
	"bytes"
	"math"
	"time"

	"geraniumwall/workerapi"
)

// RefreshAfter is the time after which the volatile values of a running attempt are
// sent again.
const RefreshAfter = 10 * time.Second

// usageStep is the part of a used amount by which it must change to be sent at once.
const usageStep = 0.1

// Sender shortens the heartbeats of one worker to one scheduler. It is not safe
// for concurrent use.
type Sender struct {
	// base is what the scheduler holds after the newest answered heartbeat.
	base *state
	// compact is set while the scheduler is known to read workerapi.FormatCompact.
	compact bool
	sent    map[uint64]*state
}

// state is what the scheduler holds after it has restored a heartbeat.
type state struct {
	sequence uint64
	whole    bool
	session  uint64
	holder   string
	epoch    uint64
	tasks    map[string]held
}

type held struct {
	report workerapi.TaskReport
	// included is when the heartbeat that carried the volatile values was made.
	included time.Duration
}

// NewSender returns a sender whose first heartbeat is whole.
func NewSender() *Sender { return &Sender{sent: map[uint64]*state{}} }

// Shorten returns the heartbeat to send in place of the whole one, made at now.
func (s *Sender) Shorten(now time.Duration, whole *workerapi.Heartbeat) *workerapi.Heartbeat {
	next := &state{
		sequence: whole.Sequence, session: whole.Session, holder: whole.Holder, epoch: whole.Epoch,
		tasks: make(map[string]held, len(whole.Tasks)),
	}
	s.sent[whole.Sequence] = next
	if s.base == nil || s.base.session != 0 && whole.Session == 0 {
		whole.Format, next.whole = workerapi.FormatCompact, true
		for _, r := range whole.Tasks {
			next.tasks[r.ID] = held{report: r, included: now}
		}
		return whole
	}
	short := *whole
	short.Base = s.base.sequence
	short.Capacity, short.Services, short.Rack, short.Address = workerapi.Resources{}, nil, "", ""
	short.Slots, short.Connections, short.BootUnixMS = 0, 0, 0
	if s.compact {
		short.Domain, short.Used = "", workerapi.Resources{}
	}
	if s.compact && s.base.session == whole.Session && s.base.holder == whole.Holder && s.base.epoch == whole.Epoch {
		short.Session, short.Holder, short.Epoch = 0, "", 0
	}
	short.Tasks = nil
	for i := range whole.Tasks {
		s.shortenTask(now, &whole.Tasks[i], next, &short)
	}
	for id := range s.base.tasks {
		if _, still := next.tasks[id]; !still {
			short.Gone = append(short.Gone, id)
		}
	}
	return &short
}

func (s *Sender) shortenTask(now time.Duration, r *workerapi.TaskReport, next *state, short *workerapi.Heartbeat) {
	before, known := s.base.tasks[r.ID]
	include := func() {
		next.tasks[r.ID] = held{report: *r, included: now}
		short.Tasks = append(short.Tasks, *r)
	}
	if !known || !sameAttempt(&before.report, r) {
		include()
		return
	}
	newCheckpoint := len(r.Checkpoint) > 0 && !bytes.Equal(before.report.Checkpoint, r.Checkpoint)
	due := r.Phase == workerapi.PhaseRunning &&
		(now-before.included >= RefreshAfter || usageChanged(before.report.Used, r.Used))
	if !newCheckpoint && !due {
		next.tasks[r.ID] = before
		return
	}
	if !s.compact {
		include()
		return
	}
	u := workerapi.UsageReport{
		ID: r.ID, CPUMillis: r.Used.CPUMillis, MemoryMB: r.Used.MemoryMB, Accels: r.Used.Accelerators,
		Progress: math.Round(r.Progress*1e4) / 1e4, SinceMS: r.SinceCheckpointMS,
	}
	if newCheckpoint {
		u.Checkpoint = r.Checkpoint
	}
	next.tasks[r.ID] = held{report: refreshed(before.report, &u), included: now}
	short.Usage = append(short.Usage, u)
}

// sameAttempt reports whether only values that a UsageReport has may differ.
func sameAttempt(was, now *workerapi.TaskReport) bool {
	return was.Attempt == now.Attempt && was.Phase == now.Phase && was.Job == now.Job &&
		was.Resources == now.Resources && was.Throttle == now.Throttle && was.Error == now.Error &&
		bytes.Equal(was.Result, now.Result)
}

func usageChanged(was, now workerapi.Resources) bool {
	changed := func(a, b int64) bool { return math.Abs(float64(b-a)) >= max(1, usageStep*float64(a)) }
	return changed(was.CPUMillis, now.CPUMillis) || changed(was.MemoryMB, now.MemoryMB) ||
		changed(was.Accelerators, now.Accelerators)
}

func refreshed(r workerapi.TaskReport, u *workerapi.UsageReport) workerapi.TaskReport {
	r.Used = workerapi.Resources{CPUMillis: u.CPUMillis, MemoryMB: u.MemoryMB, Accelerators: u.Accels}
	r.Progress, r.SinceCheckpointMS = u.Progress, u.SinceMS
	if len(u.Checkpoint) > 0 {
		r.Checkpoint = u.Checkpoint
	}
	return r
}

// Answered takes in the answer to the heartbeat with the sequence.
func (s *Sender) Answered(sequence uint64, answer *workerapi.HeartbeatAnswer) {
	taken := s.sent[sequence]
	if taken != nil && taken.whole {
		s.compact = answer.Format >= workerapi.FormatCompact
	}
	if answer.SendWhole {
		s.base, s.compact = nil, false
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
	s.base, s.compact = nil, false
}

// Compact reports whether the scheduler reads workerapi.FormatCompact, as far as
// known. Another version may have taken its place after each failure.
func (s *Sender) Compact() bool { return s.compact }

// Expand restores what Collapse left out of an answer.
func Expand(whole *workerapi.Heartbeat, answer *workerapi.HeartbeatAnswer) {
	if answer.Scheduler == "" {
		answer.Scheduler = whole.Holder
	}
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
// running attempt of the heartbeat, and leaves out a scheduler that is the holder.
func Collapse(whole *workerapi.Heartbeat, answer *workerapi.HeartbeatAnswer) {
	if whole.Format >= workerapi.FormatCompact && answer.Scheduler == whole.Holder {
		answer.Scheduler = ""
	}
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
	whole.Base, whole.Gone, whole.Usage, whole.Domain, whole.Format = 0, nil, nil, last.Domain, last.Format
	if hb.Session == 0 {
		whole.Session, whole.Holder, whole.Epoch = last.Session, last.Holder, last.Epoch
	}
	whole.Capacity, whole.Services, whole.Rack, whole.Address = last.Capacity, last.Services, last.Rack, last.Address
	whole.Slots, whole.Connections, whole.BootUnixMS = last.Slots, last.Connections, last.BootUnixMS
	whole.Tasks = merge(last.Tasks, hb)
	r.last = &whole
	return &whole, true
}

// merge returns the list before itself if nothing has changed, as in most heartbeats
// of a worker at rest. Lists are never changed in place.
func merge(before []workerapi.TaskReport, hb *workerapi.Heartbeat) []workerapi.TaskReport {
	if len(hb.Gone)+len(hb.Tasks)+len(hb.Usage) == 0 {
		return before
	}
	replaced := make(map[string]bool, len(hb.Gone)+len(hb.Tasks))
	for _, id := range hb.Gone {
		replaced[id] = true
	}
	for i := range hb.Tasks {
		replaced[hb.Tasks[i].ID] = true
	}
	usage := make(map[string]*workerapi.UsageReport, len(hb.Usage))
	for i := range hb.Usage {
		usage[hb.Usage[i].ID] = &hb.Usage[i]
	}
	merged := make([]workerapi.TaskReport, 0, len(before)+len(hb.Tasks))
	for _, r := range before {
		if replaced[r.ID] {
			continue
		}
		if u := usage[r.ID]; u != nil {
			r = refreshed(r, u)
		}
		merged = append(merged, r)
	}
	return append(merged, hb.Tasks...)
}
