package replicate

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"geraniumwall/raft"
)

const (
	// TickInterval is half a heartbeat interval of the log.
	TickInterval = raft.DefaultHeartbeatInterval / 2
	// snapshotEntries and snapshotBytes bound the log behind a snapshot, and with it
	// the time of a restart and the use of the disk.
	snapshotEntries = 20_000
	snapshotBytes   = 16 << 20
	// retainedEntries are kept in memory for slow followers.
	retainedEntries = 1024
	// leaseRenewal is the interval at which a leader confirms its lease.
	leaseRenewal = 100 * time.Millisecond
	// leaseTerm is shorter than the time in which followers elect no other leader
	// after they have heard from one.
	leaseTerm = 400 * time.Millisecond
	// removalIdle is how long a voter must have been silent before a new voter
	// takes its place.
	removalIdle = 2500 * time.Millisecond
)

// ErrLost means that another entry took the place of a proposal, which is never
// committed.
var ErrLost = errors.New("replicate: another entry was committed in place of the proposal; propose it again")

// ErrUnresolved means that a proposal may or may not be committed.
var ErrUnresolved = errors.New("replicate: the entry is appended and not known to be committed; read the state to find out")

// StateMachine is the state that committed entries change. Its methods are called
// on the control thread.
type StateMachine interface {
	Apply(data []byte) any
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Options are what a replica is made of.
type Options struct {
	ID        uint64
	Stored    raft.Stored
	Storage   Storage
	Transport Transport
	Machine   StateMachine
	Log       zerolog.Logger
	// Seed varies the election timeouts and must differ between replicas.
	Seed uint64
	// Post runs a function on the control thread.
	Post func(func())
	// Fatal is called with a failure after which the process must end.
	Fatal func(error)
	// Now is a monotonic clock, and Boot one that also counts the time for which
	// the machine was suspended.
	Now  func() time.Duration
	Boot func() time.Duration
	// Peers are addresses to use before a membership is known.
	Peers map[uint64]string
}

type proposal struct {
	term uint64
	done func(result any, err error)
}

type waitingRead struct {
	index uint64
	done  func(error)
}

// Replica is one member of the replicated log. Its methods must be called on the
// control thread.
type Replica struct {
	options   Options
	node      *raft.Node
	disk      *DiskQueue
	proposals map[uint64][]proposal
	reads     map[uint64]func(error)
	applying  []waitingRead
	nextRead  uint64
	applied   uint64
	members   []raft.Member
	peersSet  bool

	leading bool
	term    uint64
	// leaseEnd is the end of the leader's lease by the boot clock.
	leaseEnd  time.Duration
	confirmAt time.Duration

	entries  int
	bytes    int
	snapping bool
	// heard is when this leader last heard of each peer.
	heard map[uint64]time.Duration
	// admitted is when this leader admitted each learner.
	admitted map[uint64]time.Duration
	// replaced are silent voters in whose place new ones were promoted.
	replaced map[uint64]bool
}

// New restores the stored state and returns the replica.
func New(o Options) (*Replica, error) {
	config := raft.Config{
		ID: o.ID, Random: rand.New(rand.NewPCG(o.Seed, o.ID)), RetainedEntries: retainedEntries, //nolint:gosec // election timeouts need no secrecy
		LazyCommit: true,
	}
	node, err := raft.New(config, o.Stored)
	if err != nil {
		return nil, fmt.Errorf("start the log: %w", err)
	}
	r := &Replica{
		options: o, node: node, proposals: map[uint64][]proposal{}, reads: map[uint64]func(error){},
		heard: map[uint64]time.Duration{}, admitted: map[uint64]time.Duration{}, replaced: map[uint64]bool{},
	}
	if o.Stored.Snapshot.Index > 0 {
		if err := o.Machine.Restore(o.Stored.Snapshot.Data); err != nil {
			return nil, fmt.Errorf("restore the state: %w", err)
		}
		r.applied = o.Stored.Snapshot.Index
	}
	r.disk = NewDiskQueue(o.Storage, func(w *raft.Write) { o.Post(func() { r.written(w) }) }, o.Fatal)
	o.Transport.SetPeers(o.Peers)
	return r, nil
}

// Close ends the replica. It does not close the storage.
func (r *Replica) Close() {
	r.disk.Close()
	r.options.Transport.Close()
}

// Tick lets the time pass.
func (r *Replica) Tick() {
	r.node.Tick(r.options.Now())
	r.confirmLease()
	r.drive()
}

// Step takes in messages of other replicas.
func (r *Replica) Step(messages []raft.Message) {
	r.node.Tick(r.options.Now())
	for _, m := range messages {
		if m.To == r.options.ID {
			r.node.Step(m)
		}
	}
	r.drive()
}

func (r *Replica) written(w *raft.Write) {
	r.options.Transport.Send(w.Messages)
	r.node.Advance(w)
	r.drive()
}

// Propose appends an entry. done is called with the result of the state machine,
// or with ErrLost or ErrUnresolved. An error that is returned means that nothing
// was appended; done is not called then.
func (r *Replica) Propose(data []byte, done func(result any, err error)) error {
	position, err := r.node.Propose(data)
	if err != nil {
		return fmt.Errorf("propose: %w", err)
	}
	r.proposals[position.Index] = append(r.proposals[position.Index], proposal{position.Term, done})
	r.drive()
	return nil
}

// Read calls done once the state is at least as new as every state that anybody
// has read before this call.
func (r *Replica) Read(done func(error)) {
	r.nextRead++
	if err := r.node.Read(r.nextRead); err != nil {
		done(err)
		return
	}
	r.reads[r.nextRead] = done
	r.drive()
}

// confirmLease renews the leader's lease by a heartbeat round.
func (r *Replica) confirmLease() {
	now := r.options.Now()
	if !r.leading || now < r.confirmAt {
		return
	}
	r.confirmAt = now + leaseRenewal
	from := r.options.Boot()
	r.Read(func(err error) {
		if err == nil {
			r.leaseEnd = max(r.leaseEnd, from+leaseTerm)
		}
	})
}

// LeaseTerm is the longest time for which an earlier leader may have acted after
// the election of this one.
func LeaseTerm() time.Duration { return leaseTerm }

// Leads reports whether this replica is the leader, has applied what its
// predecessors committed, and holds a lease: no other replica leads.
func (r *Replica) Leads() bool {
	return r.leading && r.options.Boot() < r.leaseEnd && r.node.Status().Transferee == 0
}

// Leading reports whether this replica is the leader and has applied what its
// predecessors committed, and the term, even while its lease is not confirmed.
func (r *Replica) Leading() (term uint64, leading bool) { return r.term, r.leading }

// Status returns the state of the log.
func (r *Replica) Status() raft.Status { return r.node.Status() }

// LeaderAddress returns the address of the leader, empty if unknown.
func (r *Replica) LeaderAddress() string {
	s := r.node.Status()
	m, _ := s.Membership.Find(s.Leader)
	return m.Address
}

// drive carries out the work of the log until there is none.
func (r *Replica) drive() {
	for r.node.HasReady() {
		ready := r.node.Ready()
		if ready.Write != nil {
			r.disk.Save(ready.Write)
		}
		r.options.Transport.Send(ready.Messages)
		if ready.Restore != nil {
			r.restore(ready.Restore)
		}
		for i := range ready.Committed {
			r.apply(&ready.Committed[i])
		}
		r.confirmReads(ready.Reads)
	}
	r.runReads()
	r.follow()
	r.considerSnapshot()
}

func (r *Replica) apply(e *raft.Entry) {
	r.applied = e.Index
	r.entries++
	r.bytes += len(e.Data)
	var result any
	if e.Kind == raft.EntryCommand {
		result = r.options.Machine.Apply(e.Data)
	}
	waiting := r.proposals[e.Index]
	delete(r.proposals, e.Index)
	for _, p := range waiting {
		if p.term == e.Term {
			p.done(result, nil)
		} else {
			p.done(nil, ErrLost)
		}
	}
}

// restore replaces the state by a snapshot of the leader.
func (r *Replica) restore(s *raft.Snapshot) {
	if err := r.options.Machine.Restore(s.Data); err != nil {
		r.options.Fatal(fmt.Errorf("restore the leader's snapshot: %w", err))
		return
	}
	r.applied = s.Index
	r.entries, r.bytes = 0, 0
	for index, list := range r.proposals {
		if index > s.Index {
			continue
		}
		delete(r.proposals, index)
		for _, p := range list {
			p.done(nil, ErrUnresolved)
		}
	}
}

func (r *Replica) confirmReads(results []raft.ReadResult) {
	for _, result := range results {
		done := r.reads[result.ID]
		delete(r.reads, result.ID)
		if result.Err != nil {
			done(result.Err)
			continue
		}
		r.applying = append(r.applying, waitingRead{result.Index, done})
	}
}

func (r *Replica) runReads() {
	ready := r.applying
	r.applying = nil
	for _, w := range ready {
		if w.index > r.applied {
			r.applying = append(r.applying, w)
			continue
		}
		w.done(nil)
	}
}

// follow takes in changes of leadership and membership.
func (r *Replica) follow() {
	s := r.node.Status()
	leads := s.Role == raft.RoleLeader && s.LeaderReady
	if r.leading && (!leads || r.term != s.Term) {
		r.leading, r.leaseEnd = false, 0
		clear(r.heard)
		clear(r.admitted)
		clear(r.replaced)
		r.options.Log.Info().Uint64("term", r.term).Msg("leadership ended")
		r.failProposals()
	}
	if !r.leading && leads && r.applied >= s.Commit {
		r.leading, r.term, r.confirmAt = true, s.Term, 0
		r.options.Log.Info().Uint64("term", s.Term).Uint64("index", s.Commit).Msg("leadership began")
	}
	if len(s.Membership.Members) > 0 && (!r.peersSet || !slices.Equal(s.Membership.Members, r.members)) {
		r.peersSet, r.members = true, s.Membership.Members
		peers := map[uint64]string{}
		for _, m := range r.members {
			peers[m.ID] = m.Address
		}
		r.options.Transport.SetPeers(peers)
		r.options.Log.Info().Int("members", len(r.members)).Int("voters", len(s.Membership.Voters())).Msg("membership changed")
	}
}

// failProposals answers what a former leader has appended: the next leader may
// still commit it.
func (r *Replica) failProposals() {
	for index, list := range r.proposals {
		delete(r.proposals, index)
		for _, p := range list {
			p.done(nil, ErrUnresolved)
		}
	}
}

func (r *Replica) considerSnapshot() {
	if r.snapping || r.entries < snapshotEntries && r.bytes < snapshotBytes {
		return
	}
	data, err := r.options.Machine.Snapshot()
	if err != nil {
		r.options.Fatal(err)
		return
	}
	snapshot, err := r.node.MakeSnapshot(r.applied, data)
	if err != nil {
		r.options.Log.Info().Err(err).Msg("snapshot is dropped")
		r.entries, r.bytes = 0, 0
		return
	}
	r.snapping = true
	r.entries, r.bytes = 0, 0
	go func() {
		if err := r.options.Storage.SaveSnapshot(snapshot); err != nil {
			r.options.Fatal(fmt.Errorf("save snapshot: %w", err))
			return
		}
		r.options.Post(func() { r.compact(snapshot) })
	}()
}

func (r *Replica) compact(s raft.Snapshot) {
	r.snapping = false
	if err := r.node.Compact(s); err != nil {
		r.options.Log.Info().Err(err).Msg("log is not compacted")
	}
}

// Transfer hands leadership to the active voter with the most entries.
func (r *Replica) Transfer() {
	successor := r.node.Status().Successor()
	if successor == 0 {
		return
	}
	if err := r.node.Transfer(successor); err != nil {
		r.options.Log.Warn().Err(err).Msg("leadership is not transferred")
	}
	r.drive()
}
