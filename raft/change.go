package raft

// ChangeKind is a kind of membership change.
type ChangeKind uint8

// Kinds of membership changes.
const (
	// AddLearner adds a replica that receives the log but does not vote.
	AddLearner ChangeKind = iota + 1
	// PromoteLearner makes a learner that has caught up a voter.
	PromoteLearner
	// RemoveMember removes a replica other than the leader.
	RemoveMember
	// DemoteVoter makes a voter other than the leader a learner.
	DemoteVoter
	// UpdateMembers changes nothing but what Updates holds.
	UpdateMembers
)

// MemberChange is one change of the membership. It changes the vote of one member at most:
// two quorums of consecutive memberships then always intersect.
type MemberChange struct {
	Kind ChangeKind
	// Member needs only its ID unless Kind is AddLearner. It is not used by UpdateMembers.
	Member Member
	// Replaces is the id of a member that AddLearner removes in the same change, or 0.
	Replaces uint64
	// Updates replace the attributes of members other than their vote, address and domain, in
	// the same change. Those that are no members after it are ignored.
	Updates []Member
}

// String returns the name of the kind.
func (k ChangeKind) String() string {
	names := [...]string{AddLearner: "add", PromoteLearner: "promote", RemoveMember: "remove", DemoteVoter: "demote", UpdateMembers: "update"}
	if int(k) < len(names) && k != 0 {
		return names[k]
	}
	return "unknown"
}
