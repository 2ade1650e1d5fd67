package control

import (
	"fmt"
	"time"

	"geraniumwall/raft"
)

// checkChange refuses a membership change after which the loss of one domain would
// stop the log. A step of a replacement is permitted: an even number of voters that
// the removal of one voter makes safe again, and the removal of a voter that is
// lost, since it was no help.
func checkChange(before raft.Membership, change raft.MemberChange, lost func(id uint64) bool) error {
	voters := votersAfter(before, change)
	domain, stops := stoppingDomain(voters)
	switch {
	case !stops:
		return nil
	case change.Kind == raft.RemoveMember && (lost(change.Member.ID) || !before.IsVoter(change.Member.ID)):
		return nil
	case len(voters)%2 == 0 && oneRemovalFromSafe(voters):
		return nil
	}
	return fmt.Errorf("%w: the loss of domain %q would stop the log; spread 3 or 5 replicas over at least three domains: "+
		"add a replica in another domain first, or remove one of %q first", raft.ErrInvalidChange, domain, domain)
}

// checkSilent refuses, while a voter does not answer, to remove one that may answer, or to
// promote a further one to an even number of voters. Otherwise replicas that are gone
// would make up a growing part of the quorum until the log stops.
func checkSilent(before raft.Membership, change raft.MemberChange, peers []raft.PeerStatus) error {
	switch change.Kind {
	case raft.RemoveMember:
		if !before.IsVoter(change.Member.ID) {
			return nil
		}
	case raft.PromoteLearner:
		if len(before.Voters())%2 != 0 {
			return nil
		}
	default:
		return nil
	}
	for _, p := range peers {
		if p.ID == change.Member.ID && !p.Active {
			return nil
		}
	}
	for _, p := range peers {
		if p.ID != change.Member.ID && before.IsVoter(p.ID) && (!p.Active || !p.Answered) {
			return fmt.Errorf("%w: replica %d has not answered the leader for %v; remove it first if it is gone for good, "+
				"otherwise retry when geranium status shows that it answers", raft.ErrInvalidChange, p.ID, p.Silence.Round(time.Millisecond))
		}
	}
	return nil
}

// votersAfter returns the voters after a change. A learner counts as the voter that
// it is to become.
func votersAfter(before raft.Membership, change raft.MemberChange) []ReplicaAddress {
	var voters []ReplicaAddress
	for _, m := range before.Members {
		subject := m.ID == change.Member.ID
		if subject && change.Kind == raft.RemoveMember || m.Learner && !subject {
			continue
		}
		voters = append(voters, ReplicaAddress{ID: m.ID, Address: m.Address, Domain: m.Domain})
	}
	if change.Kind == raft.AddLearner {
		m := change.Member
		voters = append(voters, ReplicaAddress{ID: m.ID, Address: m.Address, Domain: m.Domain})
	}
	return voters
}

func oneRemovalFromSafe(voters []ReplicaAddress) bool {
	for i := range voters {
		rest := append(append([]ReplicaAddress(nil), voters[:i]...), voters[i+1:]...)
		if _, stops := stoppingDomain(rest); !stops {
			return true
		}
	}
	return false
}

// lost reports whether a replica has been silent for an election timeout, as far
// as this leader knows.
func (r *replica) lost(id uint64) bool {
	s := r.node.Status()
	for _, p := range s.Peers {
		if p.ID == id {
			return !p.Active
		}
	}
	return false
}
