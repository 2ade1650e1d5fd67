package raft

import (
	"fmt"
	"slices"
)

// membershipAt is a membership and the entry that set it. A membership is in
// force as soon as its entry is in the log, committed or not.
type membershipAt struct {
	index      uint64
	membership Membership
}

func (n *Node) membership() Membership {
	return n.memberships[len(n.memberships)-1].membership
}

// membershipAt returns the membership as of the entry at the index.
func (n *Node) membershipAt(index uint64) Membership {
	found := n.memberships[0].membership
	for _, m := range n.memberships {
		if m.index <= index {
			found = m.membership
		}
	}
	return found
}

// addMemberships takes over the memberships in new entries. Entries that were
// in the log before are passed over.
func (n *Node) addMemberships(entries []Entry) error {
	for _, entry := range entries {
		if entry.Kind != EntryMembership || entry.Index <= n.memberships[len(n.memberships)-1].index {
			continue
		}
		membership, err := DecodeMembership(entry.Data)
		if err != nil {
			return fmt.Errorf("membership entry %d: %w", entry.Index, err)
		}
		n.memberships = append(n.memberships, membershipAt{index: entry.Index, membership: membership})
	}
	return nil
}

// removeMemberships goes back over entries that were removed from the log.
func (n *Node) removeMemberships(first uint64) {
	for len(n.memberships) > 1 && n.memberships[len(n.memberships)-1].index >= first {
		n.memberships = n.memberships[:len(n.memberships)-1]
	}
}

// dropMemberships forgets those that a snapshot at the index supersedes.
func (n *Node) dropMemberships(index uint64) {
	for len(n.memberships) > 1 && n.memberships[1].index <= index {
		n.memberships = n.memberships[1:]
	}
}

// introduction returns the membership as the only entry of a message that appends none.
func (n *Node) introduction() []Entry {
	return []Entry{{Kind: EntryMembership, Data: EncodeMembership(n.membership())}}
}

// noteNewcomer remembers a sender that this replica's membership does not know yet. Without its
// address no answer would reach it, and if it leads, no entry that tells the address arrives.
func (n *Node) noteNewcomer(m Message) {
	if m.Type == MessageAppend || len(m.Entries) != 1 || m.Entries[0].Kind != EntryMembership {
		return
	}
	known := n.membership().HighestID
	n.newcomers = slices.DeleteFunc(n.newcomers, func(other Member) bool { return other.ID <= known || other.ID == m.From })
	membership, err := DecodeMembership(m.Entries[0].Data)
	if err != nil || m.From <= known {
		return
	}
	if sender, found := membership.Find(m.From); found && len(n.newcomers) < maxNewcomers {
		n.newcomers = append(n.newcomers, sender)
	}
}

// unknownNewcomers returns the newcomers whose ids the membership does not know. An id that
// it knows may have been granted to another replica since.
func (n *Node) unknownNewcomers() []Member {
	known := n.membership().HighestID
	return slices.DeleteFunc(slices.Clone(n.newcomers), func(m Member) bool { return m.ID <= known })
}

// maxNewcomers bounds the senders that a replica remembers besides its members.
const maxNewcomers = 16

// ChangeMembers appends a membership change. One change is allowed at a time,
// and none before the leader has committed an entry of its term: two quorums of
// consecutive memberships then always intersect. Its errors are ErrNotLeader,
// ErrTransferring, ErrChangePending, ErrNotCaughtUp and ErrInvalidChange; after
// any of them nothing has been appended.
func (n *Node) ChangeMembers(change MemberChange) (Position, error) {
	if n.role != RoleLeader {
		return Position{}, ErrNotLeader
	}
	if n.lead.transferee != 0 {
		return Position{}, ErrTransferring
	}
	if !n.committedInTerm() || n.memberships[len(n.memberships)-1].index > n.log.commit {
		return Position{}, ErrChangePending
	}
	next, err := n.changed(change)
	if err != nil {
		return Position{}, err
	}
	for _, update := range change.Updates {
		next = next.updated(update)
	}
	position := n.appendOwn(EntryMembership, EncodeMembership(next))
	n.memberships = append(n.memberships, membershipAt{index: position.Index, membership: next})
	n.updatePeers()
	return position, nil
}

func (n *Node) changed(change MemberChange) (Membership, error) {
	current := n.membership()
	member, found := current.Find(change.Member.ID)
	switch change.Kind {
	case AddLearner:
		if change.Member.ID <= current.HighestID {
			return current, fmt.Errorf("%w: id %d may have been used before; choose one above %d", ErrInvalidChange, change.Member.ID, current.HighestID)
		}
		learner := change.Member
		learner.Learner = true
		if change.Replaces == 0 {
			return current.with(learner), nil
		}
		remaining, err := n.removed(change.Replaces)
		return remaining.with(learner), err
	case PromoteLearner:
		return n.promoted(member, found)
	case RemoveMember:
		return n.removed(change.Member.ID)
	case DemoteVoter:
		return n.demoted(member, found)
	case UpdateMembers:
		return current, nil
	}
	return current, fmt.Errorf("%w: unknown kind %d; use add, promote, demote, remove or update", ErrInvalidChange, change.Kind)
}

func (n *Node) removed(id uint64) (Membership, error) {
	current := n.membership()
	if _, found := current.Find(id); !found {
		return current, fmt.Errorf("%w: replica %d is no member; see the status", ErrInvalidChange, id)
	}
	if err := n.refuseLeader(id); err != nil {
		return current, err
	}
	return current.without(id), nil
}

// refuseLeader returns an error for the id of this replica, which leads.
func (n *Node) refuseLeader(id uint64) error {
	if id == n.config.ID {
		return fmt.Errorf("%w: replica %d is the leader; transfer leadership first", ErrInvalidChange, id)
	}
	return nil
}

// demoted makes a voter a learner. The leader stays a voter.
func (n *Node) demoted(member Member, found bool) (Membership, error) {
	current := n.membership()
	if !found || member.Learner {
		return current, fmt.Errorf("%w: replica %d is no voter; see the status", ErrInvalidChange, member.ID)
	}
	if err := n.refuseLeader(member.ID); err != nil {
		return current, err
	}
	member.Learner = true
	return current.with(member), nil
}

// promoted makes a learner a voter if it has caught up, since otherwise the larger
// quorum could stall the log.
func (n *Node) promoted(member Member, found bool) (Membership, error) {
	current := n.membership()
	if !found || !member.Learner {
		return current, fmt.Errorf("%w: replica %d is no learner; add it as a learner first", ErrInvalidChange, member.ID)
	}
	if !n.isCaughtUp(n.lead.peers[member.ID]) {
		return current, ErrNotCaughtUp
	}
	member.Learner = false
	return current.with(member), nil
}
