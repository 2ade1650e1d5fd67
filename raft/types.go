package raft

import (
	"slices"
	"time"
)

// EntryKind tells what the data of an entry means.
type EntryKind uint8

const (
	// EntryCommand carries a command of the caller's state machine.
	EntryCommand EntryKind = iota
	// EntryEmpty is appended by a new leader; it carries no data.
	EntryEmpty
	// EntryMembership carries an encoded Membership.
	EntryMembership
)

// Entry is one record of the log. Its data must not be modified.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// Position identifies an entry.
type Position struct {
	Index uint64
	Term  uint64
}

// HardState is what a replica must remember over a restart besides its log.
type HardState struct {
	Term   uint64
	Vote   uint64
	Commit uint64
}

// Member is one replica of the cluster. Only ID and Learner are interpreted by
// this package.
type Member struct {
	ID      uint64
	Learner bool
	Address string
	Domain  string
	// Leaving is true if the member has announced that its process stops, until it answers
	// again after that.
	Leaving bool
	// SilentSinceID is the highest id that had been granted when the member was last heard
	// from, 0 while it answers. Members with higher ids have joined since then.
	SilentSinceID uint64
	// SilentSeconds is how long leaders have observed the member to be silent since then. They
	// stop counting once that no longer matters.
	SilentSeconds uint64
	// FirstID is the id of the member that first joined at the address, if this one has joined
	// there after the loss of its disk, otherwise 0.
	FirstID uint64
	// Surplus is true for a member that has joined a running system and not taken the place of
	// another member yet.
	Surplus bool
}

// Membership is the set of replicas, ordered by id. It is immutable.
type Membership struct {
	Members []Member
	// HighestID is the highest id that was ever a member's. A new member needs
	// a higher one, so that the id of a lost disk isn't used again.
	HighestID uint64
}

// Find returns the member with the id.
func (m Membership) Find(id uint64) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Removed reports whether the id was a member's and is none's now.
func (m Membership) Removed(id uint64) bool {
	_, member := m.Find(id)
	return !member && id != 0 && id <= m.HighestID
}

// Voters returns the ids of the members that vote.
func (m Membership) Voters() []uint64 {
	var ids []uint64
	for _, member := range m.Members {
		if !member.Learner {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// IsVoter reports whether the id is a voting member.
func (m Membership) IsVoter(id uint64) bool {
	member, found := m.Find(id)
	return found && !member.Learner
}

// without returns a copy that lacks the id.
func (m Membership) without(id uint64) Membership {
	members := slices.Clone(m.Members)
	members = slices.DeleteFunc(members, func(member Member) bool { return member.ID == id })
	return Membership{Members: members, HighestID: m.HighestID}
}

// with returns a copy that contains the member in place of one with its id.
func (m Membership) with(member Member) Membership {
	next := m.without(member.ID)
	next.Members = append(next.Members, member)
	next.HighestID = max(next.HighestID, member.ID)
	slices.SortFunc(next.Members, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return next
}

// updated returns a copy in which a member has the attributes of the update, but for its
// vote, address and domain.
func (m Membership) updated(update Member) Membership {
	current, found := m.Find(update.ID)
	if !found {
		return m
	}
	update.Learner, update.Address, update.Domain = current.Learner, current.Address, current.Domain
	return m.with(update)
}

// SnapshotMeta identifies a snapshot: the last entry it covers and the
// membership as of that entry.
type SnapshotMeta struct {
	Index      uint64
	Term       uint64
	Membership Membership
}

// Snapshot is a snapshot of the caller's state machine. One with index 0 has no
// data: it only names the first members. Its data must not be modified.
type Snapshot struct {
	SnapshotMeta
	Data []byte
}

// Stored is what a replica reads from its disk when it starts.
type Stored struct {
	HardState HardState
	Snapshot  Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}

// Bootstrap returns the state from which each of the first replicas starts.
// It must be saved before the replica runs.
func Bootstrap(members []Member) Stored {
	membership := Membership{}
	for _, member := range members {
		membership = membership.with(member)
	}
	return Stored{Snapshot: Snapshot{SnapshotMeta: SnapshotMeta{Membership: membership}}}
}

// Write is one unit of work for the disk: package wal saves it. Node.Advance
// must follow when all of it is durable. A crash before that may leave any part
// of it, but never a snapshot or entries of a term above the stored hard state.
type Write struct {
	// Snapshot, when set, replaces the stored snapshot and the whole stored log.
	Snapshot *Snapshot
	// HardState replaces the stored one.
	HardState HardState
	// Entries are appended; stored entries from Entries[0].Index on are
	// removed first.
	Entries []Entry
	// Messages may be sent only after all of the above is durable.
	Messages []Message
}

// Ready is the work that resulted from the last calls.
type Ready struct {
	// Write is nil when there is nothing to write or a write is in progress.
	Write *Write
	// Messages may be sent at once.
	Messages []Message
	// Restore, when set, is a durable snapshot that replaces the state of the
	// state machine, before Committed is applied.
	Restore *Snapshot
	// Committed are the entries to apply, in order. They are durable here.
	Committed []Entry
	// Reads are the results of Node.Read.
	Reads []ReadResult
}

// ReadResult is the outcome of one Node.Read. The state may be read when the
// entry Index has been applied.
type ReadResult struct {
	// ID is the id that was passed to Read.
	ID    uint64
	Index uint64
	// Err is nil or ErrNotLeader: leadership was lost before the read was
	// confirmed; the read may be retried at the new leader.
	Err error
}

// Role is the part a replica plays in its term.
type Role uint8

// Roles of a replica.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Status is a copy of a node's observable state.
type Status struct {
	ID   uint64
	Role Role
	Term uint64
	// Leader is 0 when unknown.
	Leader uint64
	Commit uint64
	// Applied is the last index handed out in Ready.Committed or Restore.
	Applied uint64
	// First and Last bound the log in memory; Last may not be durable yet.
	First uint64
	Last  uint64
	// Leaving is true after Leave.
	Leaving    bool
	Membership Membership
	// Committed is the membership as of the commit index.
	Committed Membership
	// Newcomers are members by a newer membership than this replica's that have sent it
	// messages, for their addresses.
	Newcomers []Member
	// LeaderReady is true on a leader that has committed an entry of its term.
	LeaderReady bool
	// Transferee is the target of a leadership transfer in progress, or 0.
	Transferee uint64
	// LeaderSilence is the time since the leader was last heard from, 0 on the leader itself and
	// while it is unknown.
	LeaderSilence time.Duration
	// VoteAnswers are the answers of other replicas to the last request for votes of this one,
	// true for a vote, while it knows no leader. It is nil if this replica has asked for none.
	VoteAnswers map[uint64]bool
	// Peers is the replication state of the others, on a leader only.
	Peers []PeerStatus
}

// PeerStatus is a leader's view of another replica.
type PeerStatus struct {
	ID uint64
	// Match is the highest index known to be durable at the peer.
	Match uint64
	// Active is true if the peer has answered within the election timeout, or the term began
	// so recently that it need not have.
	Active bool
	// Answered is true if the peer has answered in this term.
	Answered bool
	// Leaving is true if the peer has said that its process is stopping.
	Leaving bool
	// Silence is the time since the peer last answered. If it has not answered in this term it
	// is the time since its last message as the leader before, or since this leader knows of it.
	Silence time.Duration
	// Contact is how long the peer has answered in this term without a gap of an election
	// timeout, up to its last answer, 0 if it does not.
	Contact time.Duration
	// CaughtUp is true if the peer is in contact and has nearly all entries, so that it may
	// be promoted.
	CaughtUp bool
	// Snapshot is true while a snapshot is being sent to the peer.
	Snapshot bool
}
