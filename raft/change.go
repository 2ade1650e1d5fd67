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
)

// MemberChange is one change of the membership.
type MemberChange struct {
	Kind ChangeKind
	// Member needs only its ID unless Kind is AddLearner.
	Member Member
}
