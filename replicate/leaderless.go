package replicate

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"geraniumwall/raft"
)

const (
	// leaderlessNoticeTime is how long a replica hears from no leader until the log says so. An
	// election takes less.
	leaderlessNoticeTime = 2 * time.Second
	// leaderlessReportInterval is the time between two log lines of a replica without a leader.
	leaderlessReportInterval = 5 * time.Second
)

// VoteAnswer is how a voter has answered the last request for votes of a replica.
type VoteAnswer string

// Answers to a request for votes.
const (
	VoteGranted VoteAnswer = "granted"
	// VoteRefused: the voter has a newer log, hears from a leader, or has voted for another one.
	VoteRefused VoteAnswer = "refused"
	// VoteMissing: the voter has not answered.
	VoteMissing VoteAnswer = "missing"
)

// voteAnswer returns how a member has answered, "" if this replica has asked for no votes or the
// member is this replica or no voter.
func voteAnswer(s *raft.Status, m raft.Member) VoteAnswer {
	granted, answered := s.VoteAnswers[m.ID]
	switch {
	case s.VoteAnswers == nil || m.Learner || m.ID == s.ID:
		return ""
	case !answered:
		return VoteMissing
	case granted:
		return VoteGranted
	}
	return VoteRefused
}

// quorum returns the number of votes that a leader needs.
func quorum(m raft.Membership) int { return len(m.Voters())/2 + 1 }

// changePending reports whether a replica doesn't know the last change of its membership to be
// committed.
func changePending(s raft.Status) bool {
	return s.Membership.HighestID != s.Committed.HighestID || !slices.Equal(s.Membership.Members, s.Committed.Members)
}

// reportLeaderless logs, while this replica hears from no leader, by which membership it looks for one,
// which votes it lacks, and whether a change of the membership is not known to be committed.
func (r *Replica) reportLeaderless() {
	now := r.options.Now()
	s := r.node.Status()
	if s.Leader != 0 {
		r.leaderKnownAt = max(r.leaderKnownAt, now-s.LeaderSilence)
	}
	if now-max(r.leaderKnownAt, r.observedSince) < leaderlessNoticeTime || now < r.nextLeaderlessReport {
		return
	}
	r.nextLeaderlessReport = now + leaderlessReportInterval
	lacking := zerolog.Arr()
	for _, m := range s.Membership.Members {
		if answer := voteAnswer(&s, m); answer == VoteMissing || answer == VoteRefused {
			lacking.Dict(zerolog.Dict().Uint64("replica", m.ID).Str("address", m.Address).Str("vote", string(answer)))
		}
	}
	r.options.Log.Warn().Uint64("term", s.Term).Uint64("last", s.Last).Uint64("commit", s.Commit).
		Bool("voter", s.Membership.IsVoter(s.ID)).Int("voters", len(s.Membership.Voters())).Int("quorum", quorum(s.Membership)).
		Bool("change_pending", changePending(s)).Array("lacking", lacking).Array("list", memberArray(s.Membership.Members)).
		Msg("no leader")
}
