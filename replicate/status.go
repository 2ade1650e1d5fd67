package replicate

import (
	"time"

	"geraniumwall/raft"
)

// MemberStatus is a member of the log as this replica knows it.
type MemberStatus struct {
	raft.Member
	// Self is set for this replica, Leader for the one that it takes for the leader.
	Self   bool
	Leader bool
	// Match, Silence and CaughtUp are as in raft.PeerStatus. Only a leader knows them.
	Match    uint64
	Silence  time.Duration
	CaughtUp bool
	// Successor is the id of the member that is to take the place of this one, or 0. Only a
	// leader knows of successors that depend on the time of the silence.
	Successor uint64
	// Waits is why a leader doesn't remove this member although it is silent, or doesn't
	// promote it although fewer vote than fit, else empty.
	Waits string
	// Vote is how the member has answered the last request for votes of this replica, empty
	// unless Campaigns is set and the member is another voter.
	Vote VoteAnswer
}

// MembershipStatus is what this replica knows of the members.
type MembershipStatus struct {
	ID   uint64
	Term uint64
	// Leader is the id of the leader, 0 if it is unknown. LeaderAddress is its address.
	Leader        uint64
	LeaderAddress string
	// Leads is set if this replica leads and holds a valid lease.
	Leads bool
	// Measured is set if this replica is a leader in raft, so that it knows who answers.
	Measured bool
	// TargetVoters is the wanted number of voters.
	TargetVoters int
	// Quorum is the number of votes that a leader needs by this membership.
	Quorum int
	// ChangePending is set if this replica doesn't know the last change of the membership to be
	// committed. The membership is in force all the same.
	ChangePending bool
	// Campaigns is set if this replica knows no leader and has asked for votes.
	Campaigns bool
	// Members are ordered by id.
	Members []MemberStatus
}

// Membership returns what this replica knows of the members.
func (r *Replica) Membership() MembershipStatus {
	s := r.node.Status()
	status := MembershipStatus{
		ID: s.ID, Term: s.Term, Leader: s.Leader, LeaderAddress: r.LeaderAddress(), Leads: r.Leads(), Measured: s.Role == raft.RoleLeader,
	}
	// The leader decides, so its plan is the one to show.
	planned := s
	planned.ID = s.Leader
	p := newMembershipPlan(planned, r.silence)
	status.TargetVoters = targetVoters(p.replicas())
	reasons := map[uint64]string{}
	if status.Measured {
		for _, d := range p.delays() {
			reasons[d.member.ID] = d.reason
		}
	}
	status.Quorum, status.ChangePending, status.Campaigns = quorum(s.Membership), changePending(s), s.VoteAnswers != nil
	for _, m := range s.Membership.Members {
		peer := p.peers[m.ID]
		status.Members = append(status.Members, MemberStatus{
			Member: m, Self: m.ID == s.ID, Leader: m.ID == s.Leader,
			Match: peer.Match, Silence: peer.Silence, CaughtUp: peer.CaughtUp,
			Successor: p.successors[m.ID].ID, Waits: reasons[m.ID], Vote: voteAnswer(&s, m),
		})
	}
	return status
}
