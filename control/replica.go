package control

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"geraniumwall/raft"
	"geraniumwall/replicate"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/state"
	"geraniumwall/state/statepb"
)

// replica is the state of the actor. Only the actor's goroutine touches it.
type replica struct {
	options Options
	log     zerolog.Logger
	node    *raft.Node
	machine *state.Machine
	now     func() time.Duration

	// self sends a message to the actor.
	self func(message any)
	disk *replicate.DiskQueue
	net  replicate.Transport

	proposals map[uint64][]proposal
	reads     map[uint64]func(*replica, error)
	applying  []waitingRead
	nextRead  uint64
	renewals  []func(*replica, error)

	// lead is set while this replica is the leader and has applied every entry of
	// its predecessors.
	lead      *leadership
	view      *atomic.Pointer[view]
	config    *configCell
	metrics   *metrics
	snapshots snapshotting
	ended     map[string][]chan *controlpb.Task
	feeds     map[string][]feedWaiter
	members   raft.Membership
	newcomers []raft.Member
	// removed is set once another replica said that the membership without this
	// one is committed.
	removed bool
}

// view is what other goroutines know of the replica.
type view struct {
	status raft.Status
	ready  bool
	// leaderAddress is empty when the leader is unknown.
	leaderAddress string
	applied       uint64
	// retired is set on a replica that was removed.
	retired bool
}

// waitingRead is a confirmed read that waits for an entry to be applied.
type waitingRead struct {
	index uint64
	run   func(*replica, error)
}

// feedWaiter waits for a change of a domain's tasks after an index.
type feedWaiter struct {
	after uint64
	done  chan struct{}
}

// receive handles one message and then does the work that came up. A removed
// replica lets no time pass and takes in no messages, so that it never asks for
// votes again.
func (r *replica) receive(message any) {
	switch message.(type) {
	case *removal:
		r.retire()
	case *tick, *received:
		if r.removed {
			return
		}
	}
	switch m := message.(type) {
	case *tick:
		r.node.Tick(r.now())
	case *received:
		r.stepAll(m.messages)
	case *written:
		r.net.Send(m.write.Messages)
		r.node.Advance(m.write)
	case *encoded:
		r.saveSnapshot(m)
	case *snapshotSaved:
		r.compact(m.snapshot)
	case *transfer:
		r.transferLeadership()
	default:
		r.receiveRequest(message)
	}
	r.drive()
	if _, ticked := message.(*tick); ticked {
		r.duties()
		r.drive()
	}
}

func (r *replica) receiveRequest(message any) {
	switch m := message.(type) {
	case *propose:
		r.propose(m)
	case *changeMembers:
		r.changeMembers(m)
	case *read:
		r.startRead(m.run)
	case *renewal:
		r.queueRenewal(m.run)
	case *flushRenewals:
		r.flush()
	case *local:
		m.run(r)
	}
}

func (r *replica) stepAll(messages []raft.Message) {
	r.node.Tick(r.now())
	for _, m := range messages {
		r.node.Step(m)
	}
}

// drive carries out the work of the log until there is none.
func (r *replica) drive() {
	for r.node.HasReady() {
		ready := r.node.Ready()
		if ready.Write != nil {
			r.disk.Save(ready.Write)
		}
		r.net.Send(ready.Messages)
		if ready.Restore != nil {
			r.restore(ready.Restore)
		}
		for i := range ready.Committed {
			r.apply(&ready.Committed[i])
		}
		r.confirmReads(ready.Reads)
	}
	r.runReads()
	r.followLeadership()
	r.notify()
	r.considerSnapshot()
}

// apply applies one committed entry and answers its proposer.
func (r *replica) apply(e *raft.Entry) {
	var command *statepb.Command
	if e.Kind == raft.EntryCommand {
		decoded, err := state.Decode(e.Data)
		if err != nil {
			panic(err.Error())
		}
		command = decoded
	}
	r.snapshots.add(len(e.Data))
	if command == nil {
		r.machine.Skip(e.Index)
		r.resolve(e, nil, nil)
		return
	}
	answer, err := r.machine.Apply(e.Index, command)
	if r.lead != nil {
		r.lead.observe(r.now(), command)
	}
	r.resolve(e, answer, err)
}

// resolve answers the proposals at the index of an applied entry. One of another
// term can never be committed.
func (r *replica) resolve(e *raft.Entry, answer proto.Message, err error) {
	for _, p := range r.proposals[e.Index] {
		if p.term == e.Term {
			p.done(answer, err)
		} else {
			p.done(nil, errLost)
		}
	}
	delete(r.proposals, e.Index)
}

// restore replaces the state by a snapshot of the leader. Whether proposals that
// it covers were committed can't be told.
func (r *replica) restore(s *raft.Snapshot) {
	machine, err := state.Restore(s.Data)
	if err != nil {
		panic(err.Error())
	}
	r.machine = machine
	r.snapshots.reset()
	for index, list := range r.proposals {
		if index > s.Index {
			continue
		}
		delete(r.proposals, index)
		for _, p := range list {
			p.done(nil, errUnresolved)
		}
	}
}

func (r *replica) propose(m *propose) {
	position, err := r.node.Propose(m.data)
	if err != nil {
		m.done(nil, err)
		return
	}
	r.await(position, m.done)
}

func (r *replica) changeMembers(m *changeMembers) {
	if err := r.checkChange(m.change); err != nil {
		m.done(nil, err)
		return
	}
	position, err := r.node.ChangeMembers(m.change)
	if err != nil {
		m.done(nil, err)
		return
	}
	r.await(position, m.done)
}

func (r *replica) checkChange(change raft.MemberChange) error {
	s := r.node.Status()
	if s.Role != raft.RoleLeader {
		return nil
	}
	if err := checkSilent(s.Membership, change, s.Peers); err != nil || r.options.Settings.SingleDomainOK {
		return err
	}
	return checkChange(s.Membership, change, r.lost)
}

// await registers a proposal. An earlier one at its index was removed from this
// replica's log, but may still be in another's and be committed by it.
func (r *replica) await(position raft.Position, done func(proto.Message, error)) {
	p := proposal{term: position.Term, done: done}
	r.proposals[position.Index] = append(r.proposals[position.Index], p)
}

// notify tells waiting readers about what changed.
func (r *replica) notify() {
	for _, id := range r.machine.TakeEnded() {
		t, _ := r.machine.Task(id)
		for _, waiter := range r.ended[id] {
			waiter <- t
		}
		delete(r.ended, id)
	}
	for domain, waiters := range r.feeds {
		last := r.machine.LastChange(domain)
		kept := waiters[:0]
		for _, w := range waiters {
			if last > w.after {
				close(w.done)
			} else {
				kept = append(kept, w)
			}
		}
		r.feeds[domain] = kept
	}
	r.config.set(r.machine.Config())
}

// followLeadership begins and ends the duties of the leader and publishes the
// view.
func (r *replica) followLeadership() {
	s := r.node.Status()
	leads := s.Role == raft.RoleLeader && s.LeaderReady
	if r.lead != nil && (!leads || r.lead.term != s.Term) {
		r.log.Info().Uint64("term", r.lead.term).Msg("leadership ended")
		r.lead = nil
		r.releaseWaiters()
	}
	if r.lead == nil && leads && r.machine.Index() >= s.Commit {
		r.log.Info().Uint64("term", s.Term).Uint64("index", s.Commit).Msg("leadership began")
		r.lead = newLeadership(s.Term, r.now(), r.machine)
	}
	r.updatePeers(&s)
	r.view.Store(&view{
		status: s, ready: r.lead != nil, applied: r.machine.Index(), leaderAddress: r.addressOf(s.Leader),
		retired: r.removed,
	})
}

// releaseWaiters ends long polls, so that their callers find the new leader.
func (r *replica) releaseWaiters() {
	for id, waiters := range r.ended {
		for _, w := range waiters {
			close(w)
		}
		delete(r.ended, id)
	}
	for domain, waiters := range r.feeds {
		for _, w := range waiters {
			close(w.done)
		}
		delete(r.feeds, domain)
	}
}

// retire ends the part of a removed replica in the log. Its process goes on, so
// that its log can be looked at, and answers that it does not lead.
func (r *replica) retire() {
	if r.removed {
		return
	}
	r.removed = true
	r.log.Error().Msg("this replica was removed from the membership; stop the process and delete its data directory, " +
		"or add the host again under an id that was never used")
}

// transferLeadership hands over to the active voter with the most entries, unless a
// transfer is under way.
func (r *replica) transferLeadership() {
	s := r.node.Status()
	successor := s.Successor()
	if successor == 0 || s.Transferee != 0 || s.Role != raft.RoleLeader {
		return
	}
	if err := r.node.Transfer(successor); err != nil {
		r.log.Warn().Err(err).Msg("leadership is not transferred")
	}
}
