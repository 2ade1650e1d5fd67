package replicate

import (
	"cmp"
	"errors"

	"geraniumwall/raft"
)

// ErrNotReady is returned by RequestJoin until the new member is committed.
var ErrNotReady = errors.New("replicate: the membership change of the joining replica is not committed yet; retry the join")

// JoinRequest asks for the membership of a replica without data.
type JoinRequest struct {
	// Nonce identifies the repetitions of a request.
	Nonce   string
	Address string
	Domain  string
	// FirstStart is set if the whole system starts for the first time. The replica then takes
	// no other's place.
	FirstStart bool
}

// Join adds a replica without data as a learner and returns its id. A member that is
// already registered at the address is taken to have lost its disk: the same change
// removes it.
func (r *Replica) Join(q JoinRequest) (uint64, error) {
	if !r.leading {
		return 0, raft.ErrNotLeader
	}
	s := r.node.Status()
	member := raft.Member{ID: s.Membership.HighestID + 1, Address: q.Address, Domain: q.Domain, Surplus: !q.FirstStart}
	change := raft.MemberChange{Kind: raft.AddLearner, Updates: r.silentAt(s)}
	for _, m := range s.Membership.Members {
		if m.Address == q.Address {
			change.Replaces, member.Surplus, member.FirstID = m.ID, m.Surplus, cmp.Or(m.FirstID, m.ID)
		}
	}
	change.Member = member
	if err := r.proposeChange(change, "a replica without data joins"); err != nil {
		return 0, err
	}
	r.addedAt[member.ID] = r.options.Now()
	return member.ID, nil
}

// RequestJoin adds a replica without data as a learner and returns its id once the change is
// committed. Before that it returns ErrNotReady, or the error of Join, and the caller retries.
func (r *Replica) RequestJoin(q JoinRequest) (uint64, error) {
	s := r.node.Status()
	if id := r.requestedIDs[q.Nonce]; isMemberAt(s.Membership, id, q.Address) {
		// Until the change is committed, another leader may grant the same id to another
		// replica.
		if !isMemberAt(s.Committed, id, q.Address) {
			return 0, ErrNotReady
		}
		return id, nil
	}
	id, err := r.Join(q)
	if err != nil {
		return 0, err
	}
	r.requestedIDs[q.Nonce] = id
	return 0, ErrNotReady
}

// isMemberAt reports whether a member has the id and the address.
func isMemberAt(membership raft.Membership, id uint64, address string) bool {
	m, found := membership.Find(id)
	return found && m.Address == address
}
