package replicate

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"geraniumwall/raft"
)

// ErrNotReady is returned by Join until a former member at the same address has been
// removed, and by RequestJoin until the new one is committed.
var ErrNotReady = errors.New("replicate: a change of the membership at this address is not committed yet; retry the join")

// Join adds a replica without data as a learner and returns its id. A member that is
// already registered at the address is taken to have lost its disk: Join proposes
// its removal and returns ErrNotReady. The caller retries until Join succeeds.
func (r *Replica) Join(address, domain string) (uint64, error) {
	if !r.leading {
		return 0, raft.ErrNotLeader
	}
	s := r.node.Status()
	for _, m := range s.Membership.Members {
		if m.Address != address {
			continue
		}
		return 0, errors.Join(ErrNotReady, r.proposeChange(raft.MemberChange{Kind: raft.RemoveMember, Member: m}))
	}
	member := raft.Member{ID: s.Membership.HighestID + 1, Address: address, Domain: domain}
	if err := r.proposeChange(raft.MemberChange{Kind: raft.AddLearner, Member: member}); err != nil {
		return 0, err
	}
	r.learnerAddedAt[member.ID] = r.options.Now()
	return member.ID, nil
}

// RequestJoin adds a replica without data as a learner and returns its id once the change is
// committed. Before that it returns ErrNotReady, or the error of Join, and the caller retries.
// The nonce identifies the repetitions of a request.
func (r *Replica) RequestJoin(nonce, address, domain string) (uint64, error) {
	s := r.node.Status()
	if id := r.requestedIDs[nonce]; isMemberAt(s.Membership, id, address) {
		// Until the change is committed, another leader may grant the same id to another
		// replica.
		if !isMemberAt(s.Committed, id, address) {
			return 0, ErrNotReady
		}
		return id, nil
	}
	id, err := r.Join(address, domain)
	if err != nil {
		return 0, err
	}
	r.requestedIDs[nonce] = id
	return 0, ErrNotReady
}

// isMemberAt reports whether a member has the id and the address.
func isMemberAt(membership raft.Membership, id uint64, address string) bool {
	m, found := membership.Find(id)
	return found && m.Address == address
}

func (r *Replica) proposeChange(c raft.MemberChange) error {
	if _, err := r.node.ChangeMembers(c); err != nil {
		return fmt.Errorf("change the membership: %w", err)
	}
	r.options.Log.Info().Uint64("replica", c.Member.ID).Str("address", c.Member.Address).Uint8("change", uint8(c.Kind)).
		Msg("membership change proposed")
	r.processReady()
	return nil
}

// askIfRemoved shows the id of a silent replica that doesn't vote to its peers, which answer a
// removed one. Nothing else would tell it: it asks for no votes, and a leader sends nothing to
// replicas that are not members.
func (r *Replica) askIfRemoved() {
	now := r.options.Now()
	if now-r.heardAt < removalCheckInterval {
		return
	}
	r.heardAt = now
	if r.node.Status().Membership.IsVoter(r.options.ID) {
		return
	}
	var messages []raft.Message
	for _, id := range r.peerIDs() {
		// Without a term the peers do nothing else with it.
		messages = append(messages, raft.Message{Type: raft.MessageHeartbeatResponse, From: r.options.ID, To: id})
	}
	r.options.Transport.Send(messages)
}

// peerIDs returns the ids of the other replicas, by the options until the membership is known.
func (r *Replica) peerIDs() []uint64 {
	var ids []uint64
	for _, m := range r.members {
		ids = append(ids, m.ID)
	}
	if len(r.node.Status().Membership.Members) == 0 {
		ids = slices.AppendSeq(ids, maps.Keys(r.options.Peers))
	}
	return slices.DeleteFunc(ids, func(id uint64) bool { return id == r.options.ID })
}

// maxVoters is the largest number of voters. Further replicas stay learners.
const maxVoters = 7

// targetVoters returns the wanted number of voters for a number of members. It is
// odd: one more voter would tolerate no more failures, and a partition into equal
// halves would leave no majority.
func targetVoters(members int) int {
	return min(maxVoters, members-(members+1)%2)
}

// Maintain adjusts the membership while this replica leads. Call it periodically.
// It promotes learners that have caught up until the target number of voters is
// reached. A learner that was added while a voter was silent replaces that voter,
// which is then removed unless it has become active again. A silent voter without
// a replacement is kept, because it may return with entries that the others need.
func (r *Replica) Maintain() {
	if !r.leading {
		return
	}
	s := r.node.Status()
	r.updateLastHeard(s)
	for _, m := range s.Membership.Members {
		if m.Learner && r.shouldPromote(s, m) && r.promote(s, m) {
			return
		}
	}
	for id := range r.replacedVoters {
		m, isMember := s.Membership.Find(id)
		if !isMember || r.options.Now()-r.lastHeard[id] < voterSilenceTimeout {
			delete(r.replacedVoters, id)
			continue
		}
		if err := r.proposeChange(raft.MemberChange{Kind: raft.RemoveMember, Member: m}); err != nil {
			r.options.Log.Info().Err(err).Msg("failed to remove the replaced voter, will retry")
		}
		return
	}
}

// updateLastHeard records when each peer was last active. A peer without a record
// counts as active now.
func (r *Replica) updateLastHeard(s raft.Status) {
	now := r.options.Now()
	for _, p := range s.Peers {
		if _, known := r.lastHeard[p.ID]; p.Active || !known {
			r.lastHeard[p.ID] = now
		}
	}
}

// shouldPromote reports whether a learner should become a voter: the target number
// of voters is not reached, or the learner can replace a silent voter.
func (r *Replica) shouldPromote(s raft.Status, learner raft.Member) bool {
	return len(s.Membership.Voters()) < targetVoters(len(s.Membership.Members)) || r.voterToReplace(s, learner) != 0
}

// voterToReplace returns the voter that the learner can replace, or 0. It is the one
// that has been silent the longest, for more than voterSilenceTimeout and since
// before the learner was added.
func (r *Replica) voterToReplace(s raft.Status, learner raft.Member) uint64 {
	now := r.options.Now()
	addedAt, known := r.learnerAddedAt[learner.ID]
	if !known {
		return 0
	}
	longest, voter := voterSilenceTimeout, uint64(0)
	for _, p := range s.Peers {
		silence := now - r.lastHeard[p.ID]
		if s.Membership.IsVoter(p.ID) && !r.replacedVoters[p.ID] && silence > longest && r.lastHeard[p.ID] < addedAt {
			longest, voter = silence, p.ID
		}
	}
	return voter
}

// promote proposes to make a learner a voter and marks the voter that it replaces,
// if any, for removal.
func (r *Replica) promote(s raft.Status, learner raft.Member) bool {
	if err := r.proposeChange(raft.MemberChange{Kind: raft.PromoteLearner, Member: learner}); err != nil {
		return false
	}
	if voter := r.voterToReplace(s, learner); voter != 0 {
		r.replacedVoters[voter] = true
	}
	return true
}
