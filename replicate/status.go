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
	// Answered, Silence and CaughtUp are as in raft.PeerStatus. Only a leader knows them.
	Answered bool
	Silence  time.Duration
	CaughtUp bool
}

// Members returns the members of the log, ordered by id.
func (r *Replica) Members() []MemberStatus {
	s := r.node.Status()
	peers := map[uint64]raft.PeerStatus{}
	for _, p := range s.Peers {
		peers[p.ID] = p
	}
	list := make([]MemberStatus, 0, len(s.Membership.Members))
	for _, m := range s.Membership.Members {
		p := peers[m.ID]
		list = append(list, MemberStatus{
			Member: m, Self: m.ID == s.ID, Leader: m.ID == s.Leader,
			Answered: p.Answered, Silence: p.Silence, CaughtUp: p.CaughtUp,
		})
	}
	return list
}
