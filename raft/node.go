package raft

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"time"
)

// Node is one replica's part of the protocol. It isn't safe for concurrent use.
type Node struct {
	config Config
	random *rand.Rand
	log    *raftLog
	// memberships are in force from their index on; the last one is current.
	memberships []membershipAt

	hard  HardState
	saved HardState
	role  Role
	// leader is 0 when unknown.
	leader uint64

	now           time.Duration
	leaderContact time.Duration
	// lastLeader is the leader that was heard from last, at lastLeaderContact.
	lastLeader        uint64
	lastLeaderContact time.Duration
	electionStart     time.Duration
	electionTimeout   time.Duration

	// leaving is announced in all messages.
	leaving bool

	// newcomers are senders with ids above those that the membership knows.
	newcomers []Member

	votes map[uint64]bool
	// answers are those of the other voters to the last requests for votes: true for a vote. It
	// is kept until a leader is known, and nil before the first request.
	answers  map[uint64]bool
	lead     *leadership
	incoming *incomingSnapshot

	writing    *Write
	writeStart time.Duration
	ready      Ready
	deferred   []Message
}

// New returns a follower with the stored state.
func New(config Config, stored Stored) (*Node, error) {
	config = config.withDefaults()
	if err := config.check(); err != nil {
		return nil, err
	}
	if err := stored.check(); err != nil {
		return nil, err
	}
	n := &Node{config: config, random: config.Random, log: newLog(stored)}
	n.hard = stored.HardState
	n.hard.Commit = n.log.commit
	n.saved = n.hard
	n.memberships = []membershipAt{{index: stored.Snapshot.Index, membership: stored.Snapshot.Membership}}
	if err := n.addMemberships(stored.Entries); err != nil {
		return nil, err
	}
	n.resetElectionTimer()
	return n, nil
}

func (s Stored) check() error {
	next := s.Snapshot.Index + 1
	term := s.Snapshot.Term
	for _, entry := range s.Entries {
		if entry.Index != next || entry.Term < term {
			return fmt.Errorf("raft: stored entry %d of term %d doesn't follow entry %d of term %d; remove this replica and add a new one", entry.Index, entry.Term, next-1, term)
		}
		next++
		term = entry.Term
	}
	if term > s.HardState.Term {
		return fmt.Errorf("raft: stored log has term %d but the hard state has %d; remove this replica and add a new one", term, s.HardState.Term)
	}
	return nil
}

// Tick sets the time since an arbitrary fixed point, from a monotonic clock,
// and does what has become due.
func (n *Node) Tick(now time.Duration) {
	assert(now >= n.now, "time goes back from %v to %v", n.now, now)
	n.now = now
	if n.role == RoleLeader {
		n.tickLeader()
		return
	}
	if n.now-n.electionStart >= n.electionTimeout {
		n.campaign()
	}
}

// HasReady reports whether Ready would return any work.
func (n *Node) HasReady() bool {
	n.sendAppends()
	n.collect()
	r := &n.ready
	if len(r.Messages) > 0 || r.Restore != nil || len(r.Reads) > 0 {
		return true
	}
	if n.log.applicable() > n.log.handed {
		return true
	}
	return n.writing == nil && n.mustWrite()
}

// Ready returns the work that has come up and hands it over to the caller.
func (n *Node) Ready() Ready {
	n.sendAppends()
	n.collect()
	r := n.ready
	n.ready = Ready{}
	if n.writing == nil && n.mustWrite() {
		r.Write = n.startWrite()
	}
	r.Committed = n.log.takeCommitted()
	return r
}

// collect releases messages that wait for writes when nothing is left to write.
func (n *Node) collect() {
	if n.writing != nil || n.mustWrite() {
		return
	}
	n.ready.Messages = append(n.ready.Messages, n.deferred...)
	n.deferred = nil
}

func (n *Node) mustWrite() bool {
	return n.voteUnsaved() || n.log.received != nil || len(n.log.unstable()) > 0
}

// voteUnsaved reports whether the term or vote isn't durable. A new commit
// index alone needs no write: it is found again from the leader.
func (n *Node) voteUnsaved() bool {
	return n.hard.Term != n.saved.Term || n.hard.Vote != n.saved.Vote
}

func (n *Node) startWrite() *Write {
	n.hard.Commit = n.log.commit
	n.writing = &Write{
		Snapshot:  n.log.received,
		HardState: n.hard,
		Entries:   n.log.unstable(),
		Messages:  n.deferred,
	}
	n.deferred = nil
	n.writeStart = n.now
	return n.writing
}

// writeStalled reports whether the disk has not finished a write in time.
func (n *Node) writeStalled() bool {
	return n.writing != nil && n.now-n.writeStart >= n.config.MaxWriteTime
}

// Advance tells that a write is durable. The write must be the outstanding one.
func (n *Node) Advance(write *Write) {
	assert(write != nil && write == n.writing, "Advance with a write that is not outstanding")
	n.writing = nil
	n.saved = write.HardState
	if write.Snapshot != nil && write.Snapshot == n.log.received {
		n.finishRestore(write.Snapshot)
	}
	n.log.markStable(write.Entries)
	n.afterWrite()
}

// afterWrite counts this replica's own vote or acknowledgement.
func (n *Node) afterWrite() {
	switch n.role {
	case RoleCandidate:
		n.countOwnVote()
	case RoleLeader:
		n.advanceCommit()
	}
}

func (n *Node) finishRestore(snapshot *Snapshot) {
	assert(snapshot.Index > n.log.handed, "snapshot at %d would take the state back from %d", snapshot.Index, n.log.handed)
	n.log.received = nil
	n.log.handed = snapshot.Index
	n.ready.Restore = snapshot
}

// send queues a message, for after the next write if it depends on one.
func (n *Node) send(m Message) {
	m.From = n.config.ID
	m.Leaving = n.leaving
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	assert(m.To != n.config.ID, "message of type %d to itself", m.Type)
	if m.dependsOnWrite() || n.voteUnsaved() {
		n.deferred = append(n.deferred, m)
		return
	}
	n.ready.Messages = append(n.ready.Messages, m)
}

// Leave announces to the leader that this replica's process is stopping. The
// membership doesn't change by itself.
func (n *Node) Leave() { n.leaving = true }

// Status returns a copy of the node's observable state.
func (n *Node) Status() Status {
	s := Status{
		ID:         n.config.ID,
		Role:       n.role,
		Term:       n.hard.Term,
		Leader:     n.leader,
		Commit:     n.log.commit,
		Applied:    n.log.handed,
		First:      n.log.first(),
		Last:       n.log.last().Index,
		Leaving:    n.leaving,
		Membership: n.membership(),
		Committed:  n.membershipAt(n.log.commit),
		Newcomers:  n.unknownNewcomers(),
	}
	switch n.leader {
	case 0:
		s.VoteAnswers = maps.Clone(n.answers)
	case n.config.ID:
	default:
		s.LeaderSilence = n.now - n.leaderContact
	}
	if n.role == RoleLeader {
		s.LeaderReady = n.committedInTerm()
		s.Transferee = n.lead.transferee
		s.Peers = n.peerStatus()
	}
	return s
}

// MakeSnapshot returns a snapshot of the state after the entry at the index,
// which must have been applied and lie above the last snapshot.
func (n *Node) MakeSnapshot(index uint64, data []byte) (Snapshot, error) {
	term, known := n.log.term(index)
	if !known || index <= n.log.snapshot.Index || index > n.log.handed {
		return Snapshot{}, fmt.Errorf("snapshot at %d, last snapshot %d, last applied %d: %w", index, n.log.snapshot.Index, n.log.handed, ErrCompacted)
	}
	meta := SnapshotMeta{Index: index, Term: term, Membership: n.membershipAt(index)}
	return Snapshot{SnapshotMeta: meta, Data: data}, nil
}

// Compact tells that the snapshot is durable, so that the entries it covers
// may be dropped. It returns ErrCompacted if a newer snapshot is in place.
func (n *Node) Compact(snapshot Snapshot) error {
	if snapshot.Index <= n.log.snapshot.Index || snapshot.Index > n.log.handed {
		return fmt.Errorf("compaction at %d, last snapshot %d, last applied %d: %w", snapshot.Index, n.log.snapshot.Index, n.log.handed, ErrCompacted)
	}
	n.log.compact(snapshot, n.config.RetainedEntries)
	n.dropMemberships(snapshot.Index)
	return nil
}
