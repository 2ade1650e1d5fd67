package replicate

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"geraniumwall/raft"
)

const (
	// TickInterval is half of raft's default heartbeat interval.
	TickInterval = raft.DefaultHeartbeatInterval / 2
	// snapshotEntryThreshold and snapshotByteThreshold trigger a snapshot. They bound
	// the log that follows the last snapshot, and so the restart time and disk usage.
	snapshotEntryThreshold = 20_000
	snapshotByteThreshold  = 16 << 20
	// retainedEntries is the number of entries kept in memory below a snapshot, so
	// that slow followers need no snapshot.
	retainedEntries = 1024
	// leaseRenewInterval is the interval at which a leader renews its lease.
	leaseRenewInterval = 100 * time.Millisecond
	// leaseDuration is shorter than raft's election timeout, during which followers
	// that have heard from a leader elect no other.
	leaseDuration = 400 * time.Millisecond
	// removalCheckInterval is how long a replica that doesn't vote may hear nothing until it
	// asks whether it was removed.
	removalCheckInterval = 2 * time.Second
)

// ErrLost means that another entry was committed at the index of the proposal, which
// can never be committed itself.
var ErrLost = errors.New("replicate: another entry was committed at the index of the proposal; propose it again")

// ErrUnresolved means that the outcome of a proposal is unknown: it may or may not be
// committed.
var ErrUnresolved = errors.New("replicate: the entry was appended but is not known to be committed; read the state to find out")

// StateMachine is the replicated state. Its methods are called on the control
// thread.
type StateMachine interface {
	Apply(data []byte) any
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Options configure a replica.
type Options struct {
	ID        uint64
	Stored    raft.Stored
	Storage   Storage
	Transport Transport
	Machine   StateMachine
	Log       zerolog.Logger
	// Seed randomizes the election timeouts. It must differ between replicas.
	Seed uint64
	// Post schedules a function on the control thread.
	Post func(func())
	// Fatal is called with an error after which the process must exit.
	Fatal func(error)
	// Now is a monotonic clock. Boot is a monotonic clock that also advances while
	// the machine is suspended.
	Now  func() time.Duration
	Boot func() time.Duration
	// Peers are the addresses of the replicas, by id, until the membership is known.
	Peers map[uint64]string
	// OnChange is called with each change of the membership that this replica proposes, and
	// the error if it is refused. It may be nil.
	OnChange func(raft.ChangeKind, error)
}

type proposal struct {
	term uint64
	done func(result any, err error)
}

// confirmedRead completes once the entry at index is applied.
type confirmedRead struct {
	index uint64
	done  func(error)
}

// Replica is one member of the replicated log: a raft node with its storage,
// transport and state machine. Its methods must be called on the control thread.
type Replica struct {
	options        Options
	node           *raft.Node
	disk           *DiskQueue
	proposals      map[uint64][]proposal
	pendingReads   map[uint64]func(error)
	confirmedReads []confirmedRead
	lastReadID     uint64
	appliedIndex   uint64
	members        []raft.Member
	// peers are the addresses that the transport was given for the members.
	peers map[uint64]string
	// heardAt is when another replica's message last arrived, or when this one last asked
	// whether it was removed.
	heardAt time.Duration

	leading bool
	term    uint64
	// leaseEnd is when the leader's lease expires on the boot clock.
	leaseEnd         time.Duration
	nextLeaseRenewal time.Duration

	entriesSinceSnapshot int
	bytesSinceSnapshot   int
	snapshotInProgress   bool
	// leadingSince is when this replica last became leader.
	leadingSince time.Duration
	// countedAt is when this leader last counted a second of each member's silence.
	countedAt map[uint64]time.Duration
	// addedAt is when this leader added each member.
	addedAt map[uint64]time.Duration
	// tickedAt is the time of the last tick, observedSince since when there has been no long
	// gap between two.
	tickedAt, observedSince time.Duration
	// nextDelayReport is when changes that have to wait may be logged next.
	nextDelayReport time.Duration
	// leaderKnownAt is when this replica last led or heard from a leader, nextLeaderlessReport when
	// it may log next that there is none.
	leaderKnownAt, nextLeaderlessReport time.Duration
	// refusal is why the last change that this replica tried was refused, refusedSince since
	// when all have been.
	refusal      error
	refusedSince time.Duration
	// requestedIDs are the ids that this replica has proposed for joining replicas, by the
	// nonce of their request.
	requestedIDs map[string]uint64
}

// New restores the stored state and returns a running replica.
func New(o Options) (*Replica, error) {
	config := raft.Config{
		ID: o.ID, Random: rand.New(rand.NewPCG(o.Seed, o.ID)), RetainedEntries: retainedEntries, //nolint:gosec // election timeouts need no secrecy
		LazyCommit: true,
	}
	node, err := raft.New(config, o.Stored)
	if err != nil {
		return nil, fmt.Errorf("start the raft node: %w", err)
	}
	r := &Replica{
		options: o, node: node, proposals: map[uint64][]proposal{}, pendingReads: map[uint64]func(error){},
		leaderKnownAt: o.Now(),
		addedAt:       map[uint64]time.Duration{}, countedAt: map[uint64]time.Duration{}, requestedIDs: map[string]uint64{},
	}
	if o.Stored.Snapshot.Index > 0 {
		if err := o.Machine.Restore(o.Stored.Snapshot.Data); err != nil {
			return nil, fmt.Errorf("restore the stored snapshot: %w", err)
		}
		r.appliedIndex = o.Stored.Snapshot.Index
	}
	r.disk = NewDiskQueue(o.Storage, func(w *raft.Write) { o.Post(func() { r.onWritten(w) }) }, o.Fatal)
	o.Transport.SetPeers(o.Peers)
	return r, nil
}

// Close stops the replica. It does not close the storage.
func (r *Replica) Close() {
	r.disk.Close()
	r.options.Transport.Close()
}

// Tick advances the node to the current time and renews the leader's lease. Call it
// periodically.
func (r *Replica) Tick() {
	r.noteTick(r.options.Now())
	r.node.Tick(r.options.Now())
	r.repeatTransfer()
	r.renewLease()
	r.askIfRemoved()
	r.processReady()
	r.reportLeaderless()
}

// Step handles messages from other replicas.
func (r *Replica) Step(messages []raft.Message) {
	r.node.Tick(r.options.Now())
	for _, m := range messages {
		if m.To == r.options.ID {
			r.heardAt = r.options.Now()
			r.node.Step(m)
		}
	}
	r.processReady()
}

// onWritten handles a durable write: its messages may leave only now.
func (r *Replica) onWritten(w *raft.Write) {
	r.options.Transport.Send(w.Messages)
	r.node.Advance(w)
	r.processReady()
}

// Propose appends an entry. done is called with the result of the state machine,
// or with ErrLost or ErrUnresolved. If Propose returns an error, nothing was
// appended and done is not called.
func (r *Replica) Propose(data []byte, done func(result any, err error)) error {
	position, err := r.node.Propose(data)
	if err != nil {
		return fmt.Errorf("propose: %w", err)
	}
	r.proposals[position.Index] = append(r.proposals[position.Index], proposal{position.Term, done})
	r.processReady()
	return nil
}

// Read is a linearizable read barrier: it calls done once the local state is at
// least as new as every state that any replica served to a read before this call.
func (r *Replica) Read(done func(error)) {
	r.lastReadID++
	if err := r.node.Read(r.lastReadID); err != nil {
		done(err)
		return
	}
	r.pendingReads[r.lastReadID] = done
	r.processReady()
}

// renewLease extends the leader's lease once a heartbeat round, started now, has
// confirmed the leadership. The lease counts from the start of the round.
func (r *Replica) renewLease() {
	now := r.options.Now()
	if !r.leading || now < r.nextLeaseRenewal {
		return
	}
	r.nextLeaseRenewal = now + leaseRenewInterval
	sentAt := r.options.Boot()
	r.Read(func(err error) {
		if err == nil {
			r.leaseEnd = max(r.leaseEnd, sentAt+leaseDuration)
		}
	})
}

// LeaseTerm returns the duration of a leader's lease, which is the longest time for
// which a former leader may have acted after the election of this one.
func LeaseTerm() time.Duration { return leaseDuration }

// Leads reports whether this replica is the leader, has applied every entry that its
// predecessors committed, and holds a valid lease, so that no other replica can be
// leading. It is false while the leadership is being transferred.
func (r *Replica) Leads() bool {
	return r.leading && r.options.Boot() < r.leaseEnd && r.node.Status().Transferee == 0
}

// LeaseEnd returns the time on the boot clock at which the leader's lease ends unless it
// is renewed, 0 without a lease. Another replica may lead from then on.
func (r *Replica) LeaseEnd() time.Duration { return r.leaseEnd }

// Leading reports whether this replica is the leader and has applied every entry
// that its predecessors committed, and the term of that leadership. Unlike Leads it
// does not require a valid lease.
func (r *Replica) Leading() (term uint64, leading bool) { return r.term, r.leading }

// Status returns the status of the raft node.
func (r *Replica) Status() raft.Status { return r.node.Status() }

// LeaderAddress returns the address of the leader, or "" if it is unknown.
func (r *Replica) LeaderAddress() string {
	s := r.node.Status()
	m, _ := s.Membership.Find(s.Leader)
	return m.Address
}

// processReady performs the work that the raft node has ready until none is left.
func (r *Replica) processReady() {
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
		r.handleReadResults(ready.Reads)
	}
	r.completeReads()
	r.handleStatusChange()
	r.maybeSnapshot()
}

func (r *Replica) apply(e *raft.Entry) {
	r.appliedIndex = e.Index
	r.entriesSinceSnapshot++
	r.bytesSinceSnapshot += len(e.Data)
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

// restore replaces the state with a snapshot from the leader. It cannot tell whether
// the proposals that the snapshot covers were committed.
func (r *Replica) restore(s *raft.Snapshot) {
	if err := r.options.Machine.Restore(s.Data); err != nil {
		r.options.Fatal(fmt.Errorf("restore the leader's snapshot: %w", err))
		return
	}
	r.appliedIndex = s.Index
	r.entriesSinceSnapshot, r.bytesSinceSnapshot = 0, 0
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

func (r *Replica) handleReadResults(results []raft.ReadResult) {
	for _, result := range results {
		done := r.pendingReads[result.ID]
		delete(r.pendingReads, result.ID)
		if result.Err != nil {
			done(result.Err)
			continue
		}
		r.confirmedReads = append(r.confirmedReads, confirmedRead{result.Index, done})
	}
}

func (r *Replica) completeReads() {
	confirmed := r.confirmedReads
	r.confirmedReads = nil
	for _, w := range confirmed {
		if w.index > r.appliedIndex {
			r.confirmedReads = append(r.confirmedReads, w)
			continue
		}
		w.done(nil)
	}
}

// handleStatusChange reacts to changes of the leadership and the membership.
func (r *Replica) handleStatusChange() {
	s := r.node.Status()
	isLeader := s.Role == raft.RoleLeader && s.LeaderReady
	if r.leading && (!isLeader || r.term != s.Term) {
		r.leading, r.leaseEnd = false, 0
		clear(r.addedAt)
		clear(r.countedAt)
		r.refusal = nil
		r.options.Log.Info().Uint64("term", r.term).Msg("lost leadership")
		r.failProposals()
	}
	if !r.leading && isLeader && r.appliedIndex >= s.Commit {
		r.leading, r.term, r.nextLeaseRenewal, r.leadingSince = true, s.Term, 0, r.options.Now()
		r.options.Log.Info().Uint64("term", s.Term).Uint64("index", s.Commit).Msg("became leader")
	}
	r.updatePeers(&s)
}

// updatePeers tells the transport the addresses of the members and of newcomers. Those of the
// options serve until a membership is known.
func (r *Replica) updatePeers(s *raft.Status) {
	members := s.Membership.Members
	if len(s.Newcomers) > 0 {
		members = slices.Concat(members, s.Newcomers)
	}
	if len(members) == 0 || slices.Equal(members, r.members) {
		return
	}
	before := r.members
	r.members = members
	peers := map[uint64]string{}
	if len(s.Membership.Members) == 0 {
		maps.Copy(peers, r.options.Peers)
	}
	for _, m := range members {
		peers[m.ID] = m.Address
	}
	if !maps.Equal(peers, r.peers) {
		r.peers = peers
		r.options.Transport.SetPeers(peers)
	}
	r.logMembers(s, before)
}

// logMembers logs the members, or only those whose attributes have changed if nothing else has.
func (r *Replica) logMembers(s *raft.Status, before []raft.Member) {
	if slices.EqualFunc(before, r.members, sameVoteAndAddress) {
		isKnown := func(m raft.Member) bool {
			return slices.ContainsFunc(before, func(other raft.Member) bool {
				other.SilentSeconds = m.SilentSeconds
				return other == m
			})
		}
		changed := slices.DeleteFunc(slices.Clone(r.members), isKnown)
		if len(changed) == 0 {
			return
		}
		r.options.Log.Info().Array("list", memberArray(changed)).Msg("member attributes changed")
		return
	}
	r.options.Log.Info().Int("members", len(s.Membership.Members)).Int("voters", len(s.Membership.Voters())).
		Int("newcomers", len(s.Newcomers)).Array("list", memberArray(r.members)).Msg("membership changed")
}

// failProposals completes the pending proposals of a former leader with
// ErrUnresolved: the next leader may still commit them.
func (r *Replica) failProposals() {
	for index, list := range r.proposals {
		delete(r.proposals, index)
		for _, p := range list {
			p.done(nil, ErrUnresolved)
		}
	}
}

func (r *Replica) maybeSnapshot() {
	if r.snapshotInProgress || r.entriesSinceSnapshot < snapshotEntryThreshold && r.bytesSinceSnapshot < snapshotByteThreshold {
		return
	}
	data, err := r.options.Machine.Snapshot()
	if err != nil {
		r.options.Fatal(err)
		return
	}
	snapshot, err := r.node.MakeSnapshot(r.appliedIndex, data)
	if err != nil {
		r.options.Log.Info().Err(err).Msg("snapshot discarded")
		r.entriesSinceSnapshot, r.bytesSinceSnapshot = 0, 0
		return
	}
	r.snapshotInProgress = true
	r.entriesSinceSnapshot, r.bytesSinceSnapshot = 0, 0
	go func() {
		if err := r.options.Storage.SaveSnapshot(snapshot); err != nil {
			r.options.Fatal(fmt.Errorf("save snapshot: %w", err))
			return
		}
		r.options.Post(func() { r.compact(snapshot) })
	}()
}

func (r *Replica) compact(s raft.Snapshot) {
	r.snapshotInProgress = false
	if err := r.node.Compact(s); err != nil {
		r.options.Log.Info().Err(err).Msg("failed to compact the log")
	}
}

// Leave announces that the process stops and transfers the leadership. A transfer that is
// given up, because the successor has just gone, is repeated while this replica leads.
func (r *Replica) Leave() {
	r.node.Leave()
	r.Transfer()
}

// repeatTransfer transfers the leadership if this replica stops and leads all the same. Replicas
// that stop at the same time don't pass it to and fro.
func (r *Replica) repeatTransfer() {
	s := r.node.Status()
	if !s.Leaving || s.Role != raft.RoleLeader || s.Transferee != 0 {
		return
	}
	successor := s.Successor()
	for _, p := range s.Peers {
		if p.ID == successor && !p.Leaving {
			r.Transfer()
		}
	}
}

// Transfer transfers the leadership to the active voter with the most replicated
// entries.
func (r *Replica) Transfer() {
	successor := r.node.Status().Successor()
	if successor == 0 {
		return
	}
	if err := r.node.Transfer(successor); err != nil {
		r.options.Log.Warn().Err(err).Msg("failed to transfer leadership")
	}
	r.processReady()
}
