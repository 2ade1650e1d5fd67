package jobd

import (
	"net/http"

	"geraniumwall/jobd/memberapi"
	"geraniumwall/replicate"
)

// serveMembers responds with what this replica knows of the members of the log.
func (s *Server) serveMembers(w http.ResponseWriter, r *http.Request) {
	status, err := callManager(r.Context(), s, func(m *manager, done func(replicate.MembershipStatus, error)) {
		done(m.replica.Membership(), nil)
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	s.writeJSON(w, membershipOf(&status))
}

func membershipOf(s *replicate.MembershipStatus) memberapi.Membership {
	result := memberapi.Membership{
		Replica: s.ID, Term: s.Term, Leader: s.Leader, LeaderAddress: s.LeaderAddress, Leads: s.Leads, TargetVoters: s.TargetVoters,
		Quorum: s.Quorum, ChangePending: s.ChangePending, Campaigns: s.Campaigns,
		Members: make([]memberapi.Member, len(s.Members)),
	}
	for i := range s.Members {
		result.Members[i] = memberOf(&s.Members[i], s.Measured)
	}
	return result
}

// memberOf returns a member, with what only a leader measures if measured is set.
func memberOf(m *replicate.MemberStatus, measured bool) memberapi.Member {
	result := memberapi.Member{
		ID: m.ID, Address: m.Address, Domain: m.Domain, Voter: !m.Learner, Leader: m.Leader, State: memberState(m),
		Surplus: m.Surplus, Successor: m.Successor, Waits: m.Waits, Vote: string(m.Vote),
	}
	if measured && !m.Self {
		silence, match, caughtUp := m.Silence.Milliseconds(), m.Match, m.CaughtUp
		result.SilenceMS, result.Match, result.CaughtUp = &silence, &match, &caughtUp
	}
	return result
}

// memberState returns the state of a member by the log, so that all replicas agree on it. A
// member that has announced its stop and no longer answers is silent.
func memberState(m *replicate.MemberStatus) string {
	switch {
	case m.Leader:
		return memberapi.StateLeader
	case m.SilentSinceID != 0:
		return memberapi.StateSilent
	case m.Leaving:
		return memberapi.StateLeaving
	}
	return memberapi.StateAnswers
}
