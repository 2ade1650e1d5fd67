// Package memberapi holds the types of the internal API that shows the members of the job replicas.
package memberapi

// Path is the path of the Membership on the internal API of a job replica.
const Path = "/v1/members"

// States of a member of the job replicas.
const (
	StateLeader  = "leader"
	StateAnswers = "answers"
	// StateSilent: the leader has recorded that the member doesn't answer.
	StateSilent = "silent"
	// StateLeaving: the member has announced that its process stops.
	StateLeaving = "leaving"
)

// Answers of a voter to a request for votes.
const (
	VoteGranted = "granted"
	// VoteRefused: the voter has a newer log, hears from a leader, or has voted for another one.
	VoteRefused = "refused"
	// VoteMissing: the voter has not answered.
	VoteMissing = "missing"
)

// Membership is what one job replica knows of the members of the log.
type Membership struct {
	Replica uint64 `json:"replica"`
	Term    uint64 `json:"term"`
	// Leader is the id of the leader, 0 if it is unknown.
	Leader        uint64 `json:"leader"`
	LeaderAddress string `json:"leader_address"`
	// Leads is true if this replica leads and holds a valid lease.
	Leads        bool `json:"leads"`
	TargetVoters int  `json:"target_voters"`
	// Quorum is the number of votes that a leader needs by this membership.
	Quorum int `json:"quorum"`
	// ChangePending is true if this replica doesn't know the last change of the membership to be
	// committed. The membership is in force all the same.
	ChangePending bool `json:"change_pending"`
	// Campaigns is true if this replica knows no leader and has asked for votes.
	Campaigns bool     `json:"campaigns"`
	Members   []Member `json:"members"`
}

// Member is a member of the job replicas. The fields that are left out are known to the
// leader only.
type Member struct {
	ID      uint64 `json:"id"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Voter   bool   `json:"voter"`
	Leader  bool   `json:"leader"`
	// State is one of StateLeader, StateAnswers, StateSilent and StateLeaving.
	State string `json:"state"`
	// SilenceMS is the time since the member last answered.
	SilenceMS *int64 `json:"silence_ms,omitempty"`
	// Match is the last entry of the log that the member is known to have.
	Match    *uint64 `json:"match,omitempty"`
	CaughtUp *bool   `json:"caught_up,omitempty"`
	// Surplus is true if the member has joined a running system and replaced no other yet.
	Surplus bool `json:"surplus"`
	// Successor is the id of the member that is to take the place of this one, or 0.
	Successor uint64 `json:"successor,omitempty"`
	// Waits is why a silent member is not removed or a learner is not promoted.
	Waits string `json:"waits,omitempty"`
	// Vote is one of VoteGranted, VoteRefused and VoteMissing: how this voter has answered the
	// last request for votes of the replica that shows it, while that one knows no leader.
	Vote string `json:"vote,omitempty"`
}
