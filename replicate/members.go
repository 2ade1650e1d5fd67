package replicate

import (
	"errors"
	"fmt"

	"geraniumwall/raft"
)

// ErrNotReady means that a request to join cannot be served yet.
var ErrNotReady = errors.New("replicate: the membership is changing; ask again")

// Join admits a replica without data at an address and returns its id. A member
// at the same address has lost its disk and is removed first. It is called again
// until it succeeds.
func (r *Replica) Join(address, domain string) (uint64, error) {
	if !r.leading {
		return 0, raft.ErrNotLeader
	}
	s := r.node.Status()
	for _, m := range s.Membership.Members {
		if m.Address != address {
			continue
		}
		return 0, errors.Join(ErrNotReady, r.change(raft.MemberChange{Kind: raft.RemoveMember, Member: m}))
	}
	member := raft.Member{ID: s.Membership.HighestID + 1, Address: address, Domain: domain}
	if err := r.change(raft.MemberChange{Kind: raft.AddLearner, Member: member}); err != nil {
		return 0, err
	}
	r.admitted[member.ID] = r.options.Now()
	return member.ID, nil
}

func (r *Replica) change(c raft.MemberChange) error {
	if _, err := r.node.ChangeMembers(c); err != nil {
		return fmt.Errorf("change the membership: %w", err)
	}
	r.options.Log.Info().Uint64("replica", c.Member.ID).Str("address", c.Member.Address).Uint8("change", uint8(c.Kind)).
		Msg("membership change proposed")
	r.drive()
	return nil
}

// maxVoters bounds the voters; further replicas stay learners.
const maxVoters = 7

// targetVoters is the number of voters among the members. It is odd, since an even
// one bears no more losses, and a split into halves would leave no majority.
func targetVoters(members int) int {
	return min(maxVoters, members-(members+1)%2)
}

// Maintain promotes learners that have caught up, up to the target. A learner that
// was admitted while a voter was silent takes its place, and the voter is removed:
// nothing else removes a silent voter, since it may come back with what the others
// need.
func (r *Replica) Maintain() {
	if !r.leading {
		return
	}
	s := r.node.Status()
	r.followSilence(s)
	for _, m := range s.Membership.Members {
		if m.Learner && r.wanted(s, m) && r.promote(s, m) {
			return
		}
	}
	for id := range r.replaced {
		m, member := s.Membership.Find(id)
		if !member || r.options.Now()-r.heard[id] < removalIdle {
			delete(r.replaced, id)
			continue
		}
		if err := r.change(raft.MemberChange{Kind: raft.RemoveMember, Member: m}); err != nil {
			r.options.Log.Info().Err(err).Msg("replaced replica is not removed yet")
		}
		return
	}
}

// followSilence records when each peer was last heard of.
func (r *Replica) followSilence(s raft.Status) {
	now := r.options.Now()
	for _, p := range s.Peers {
		if _, known := r.heard[p.ID]; p.Active || !known {
			r.heard[p.ID] = now
		}
	}
}

// wanted reports whether a learner is to vote.
func (r *Replica) wanted(s raft.Status, learner raft.Member) bool {
	return len(s.Membership.Voters()) < targetVoters(len(s.Membership.Members)) || r.silentVoter(s, learner) != 0
}

// silentVoter returns the voter that is silent longest and was so when the learner
// was admitted, or 0.
func (r *Replica) silentVoter(s raft.Status, learner raft.Member) uint64 {
	now := r.options.Now()
	admitted, known := r.admitted[learner.ID]
	if !known {
		return 0
	}
	longest, found := removalIdle, uint64(0)
	for _, p := range s.Peers {
		silent := now - r.heard[p.ID]
		if s.Membership.IsVoter(p.ID) && !r.replaced[p.ID] && silent > longest && r.heard[p.ID] < admitted {
			longest, found = silent, p.ID
		}
	}
	return found
}

// promote makes a learner a voter, in place of a silent one if there is any.
func (r *Replica) promote(s raft.Status, learner raft.Member) bool {
	if err := r.change(raft.MemberChange{Kind: raft.PromoteLearner, Member: learner}); err != nil {
		return false
	}
	if silent := r.silentVoter(s, learner); silent != 0 {
		r.replaced[silent] = true
	}
	return true
}
