package jobd

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"geraniumwall/jobs"
	"geraniumwall/jobs/dispatch"
	"geraniumwall/raft"
)

// fakeLog commits each entry once commit is called, unless it rejects entries.
type fakeLog struct {
	rejection error
	pending   []func(any, error)
	sizes     []int
}

func (l *fakeLog) Propose(data []byte, done func(any, error)) error {
	if l.rejection != nil {
		return l.rejection
	}
	batch, err := jobs.Decode(data)
	if err != nil {
		return err
	}
	results := make([]jobs.Result, len(batch))
	for i := range results {
		results[i].Applied = true
	}
	l.sizes = append(l.sizes, len(batch))
	l.pending = append(l.pending, func(_ any, err error) { done(results, err) })
	return nil
}

func (l *fakeLog) commit(err error) {
	pending := l.pending
	l.pending = nil
	for _, done := range pending {
		done(nil, err)
	}
}

// outcome counts the results of commands.
type outcome struct{ applied, failed int }

func (o *outcome) proposal() dispatch.Proposal {
	return dispatch.Proposal{
		Command: jobs.Command{Cancel: &jobs.Cancel{ID: "j"}},
		OnResult: func(r jobs.Result, ok bool) {
			if ok && r.Applied {
				o.applied++
			} else {
				o.failed++
			}
		},
	}
}

func newTestQueue(l *fakeLog, now *time.Duration) *proposalQueue {
	return &proposalQueue{
		replicated: l, now: func() time.Duration { return *now }, log: zerolog.Nop(),
		interval:      func() time.Duration { return 5 * time.Millisecond },
		afterFunc:     func(time.Duration, func()) {},
		beforeResults: func() {}, afterResults: func() {},
	}
}

// Guards against commands that are dropped while the log takes none: the leader may stay
// in office, and nothing would bring them up again.
func TestRejectedCommandsStayQueued(t *testing.T) {
	for _, rejection := range []error{raft.ErrTransferring, raft.ErrOverloaded} {
		g := NewWithT(t)
		l, now, o := &fakeLog{rejection: rejection}, time.Second, &outcome{}
		q := newTestQueue(l, &now)
		q.add(o.proposal(), o.proposal())
		for range 3 {
			q.flush()
			now += 10 * time.Millisecond
		}
		g.Expect(*o).To(Equal(outcome{}), rejection.Error())
		l.rejection = nil
		q.add(o.proposal())
		q.flush()
		l.commit(nil)
		g.Expect(*o).To(Equal(outcome{applied: 3}))
		g.Expect(l.sizes).To(Equal([]int{3}))
	}
}

// Guards against callers that wait for a command of a former leader.
func TestQueuedCommandsFailWithTheTerm(t *testing.T) {
	g := NewWithT(t)
	l, now, o := &fakeLog{}, time.Second, &outcome{}
	q := newTestQueue(l, &now)
	for range maxProposalsInFlight + 1 {
		q.add(o.proposal())
		q.flush()
		now += 10 * time.Millisecond
	}
	g.Expect(l.sizes).To(HaveLen(maxProposalsInFlight))
	q.fail()
	g.Expect(*o).To(Equal(outcome{failed: 1}))
	l.commit(raft.ErrNotLeader)
	g.Expect(*o).To(Equal(outcome{failed: 3}))
}

// Guards against entries above the limit of commands, and against commands that are lost
// or reordered between two entries.
func TestCommandsAreBatched(t *testing.T) {
	g := NewWithT(t)
	l, now, o := &fakeLog{}, time.Second, &outcome{}
	q := newTestQueue(l, &now)
	for range maxBatchCommands + 10 {
		q.add(o.proposal())
	}
	q.flush()
	now += 10 * time.Millisecond
	q.flush()
	l.commit(nil)
	g.Expect(l.sizes).To(Equal([]int{maxBatchCommands, 10}))
	g.Expect(*o).To(Equal(outcome{applied: maxBatchCommands + 10}))
}

// Guards against a decision that the end of an entry cuts in half: a leader that ends between
// the two entries leaves the first half behind.
func TestDecisionsShareAnEntry(t *testing.T) {
	g := NewWithT(t)
	l, now, o := &fakeLog{}, time.Second, &outcome{}
	q := newTestQueue(l, &now)
	addDecision := func(commands int) {
		for i := range commands {
			p := o.proposal()
			p.Joined = i > 0
			q.add(p)
		}
	}
	addDecision(maxBatchCommands - 2)
	addDecision(5)
	addDecision(maxBatchCommands + 7)
	addDecision(1)
	for range 4 {
		q.flush()
		l.commit(nil)
		now += 10 * time.Millisecond
	}
	g.Expect(l.sizes).To(Equal([]int{maxBatchCommands - 2, 5, maxBatchCommands + 7, 1}))
	g.Expect(o.failed).To(BeZero())
}
