package replicate

import (
	"cmp"
	"slices"
	"time"

	"geraniumwall/raft"
)

const (
	// maxVoters is the largest number of voters. Further replicas stay learners.
	maxVoters = 7
	// minVoters is the number of voters of which none is demoted: the loss of the disk of a
	// single one would lose the log.
	minVoters = 2
	// replacementSilence is how long a member must have been silent until a learner gets its
	// vote, or until the member that has joined since takes its place.
	replacementSilence = 2500 * time.Millisecond
	// steadyContact is how long a learner must have answered until it takes the place of a voter
	// that is silent. If the learner is lost before that one loses its vote, two votes are lacking.
	steadyContact = 2 * time.Second
	// restartSilence is how long a member that has announced its stop must have been silent until
	// one that had joined before counts in its place. A restart that ends sooner leaves the number
	// of voters, and with it the number of lost disks that they bear, as it is.
	restartSilence = 3 * time.Second
	// unannouncedSilence is how long a member must have been silent until one that had joined
	// before takes its place, or until it goes without a successor if it is surplus and has
	// stopped. A partition that heals sooner, or a restart, costs no member.
	unannouncedSilence = 30 * time.Second
)

// targetVoters returns the wanted number of voters for a number of replicas that run. It is
// odd: one more voter would tolerate no more failures, and a partition into equal halves
// would leave no majority. Each majority of the replicas holds a majority of the voters.
func targetVoters(replicas int) int {
	return min(maxVoters, replicas-(replicas+1)%2)
}

// membershipPlan decides on the next change of the membership. It follows from the
// membership in the log and from the present silence of the members, so that each leader
// goes on where the one before has stopped.
//
// A voter that is silent or stops loses its vote to a learner that has caught up; it gets it
// back if it returns and the number of replicas wants it. The learner votes first. 2f+1 voters
// bear the loss of f disks while the others return, and so do 2f+2, but 2f bear one less: a vote is
// taken from an odd number of voters only if more vote than fit the number of replicas. Its data is
// lost only with the removal, which needs a successor: a surplus member that has joined since the
// member fell silent or, after a long silence, one that had joined before. A replica that is
// partitioned and has none is never removed. A surplus member that has stopped for good needs none.
type membershipPlan struct {
	self    uint64
	members []raft.Member
	peers   map[uint64]raft.PeerStatus
	// silence is how long each peer has been silent, by this leader and those before.
	silence map[uint64]time.Duration
	// successors are the members that take the place of others, by the id of the latter.
	successors map[uint64]raft.Member
}

func newMembershipPlan(s raft.Status, silence func(raft.PeerStatus) time.Duration) *membershipPlan {
	p := &membershipPlan{
		self: s.ID, members: s.Membership.Members, peers: map[uint64]raft.PeerStatus{}, silence: map[uint64]time.Duration{},
		successors: map[uint64]raft.Member{},
	}
	for _, peer := range s.Peers {
		p.peers[peer.ID] = peer
		p.silence[peer.ID] = silence(peer)
	}
	for _, m := range p.members {
		// What earlier leaders have observed counts once this one has found the member silent.
		if p.silence[m.ID] >= silenceNoticeTime {
			p.silence[m.ID] = max(p.silence[m.ID], time.Duration(m.SilentSeconds)*time.Second) //nolint:gosec // bounded
		}
	}
	p.pair()
	return p
}

// pair gives each surplus member the silent or stopping one whose place it takes. Of several it
// is the first by replacedEarlier. The members are ordered by id, and each surplus member that
// runs may replace all that those before it may, so that as many as possible are paired.
func (p *membershipPlan) pair() {
	for _, successor := range p.members {
		if !successor.Surplus {
			continue
		}
		var lost raft.Member
		for _, m := range p.members {
			if _, paired := p.successors[m.ID]; paired || !p.mayReplace(successor, m) {
				continue
			}
			if lost.ID == 0 || p.replacedEarlier(m, lost) {
				lost = m
			}
		}
		if lost.ID != 0 {
			p.successors[lost.ID] = successor
		}
	}
	p.pairWithThemselves()
}

// replacing returns the ids of the members that take the place of others.
func (p *membershipPlan) replacing() map[uint64]bool {
	ids := map[uint64]bool{}
	for _, successor := range p.successors {
		ids[successor.ID] = true
	}
	return ids
}

// pairWithThemselves lets the surplus members that have stopped for good, and that neither
// replace another one nor are replaced, go without a successor: the system is then as large as
// before they joined.
func (p *membershipPlan) pairWithThemselves() {
	used := p.replacing()
	for _, m := range p.members {
		_, replaced := p.successors[m.ID]
		stopped := m.Leaving && m.SilentSinceID != 0 && p.silence[m.ID] >= unannouncedSilence
		if m.Surplus && stopped && !used[m.ID] && !replaced {
			p.successors[m.ID] = m
		}
	}
}

// replacedEarlier reports whether a is replaced before b: the silent before those that still
// answer, of these the surplus ones, whose successor can replace a further one, and of equal
// ones the longest silent first.
func (p *membershipPlan) replacedEarlier(a, b raft.Member) bool {
	switch {
	case a.SilentSinceID == 0 || b.SilentSinceID == 0:
		return a.SilentSinceID != 0
	case a.Surplus != b.Surplus:
		return a.Surplus
	case a.SilentSinceID != b.SilentSinceID:
		return a.SilentSinceID < b.SilentSinceID
	}
	return p.silence[a.ID] > p.silence[b.ID]
}

// mayReplace reports whether a surplus member can be the successor of another member.
func (p *membershipPlan) mayReplace(successor, m raft.Member) bool {
	if m.ID == successor.ID || m.ID == p.self {
		return false
	}
	// One that had joined before and is silent too may be on the same side of a partition.
	unannounced := m.SilentSinceID != 0 && successor.SilentSinceID == 0 && p.silence[m.ID] >= unannouncedSilence
	return joinedSince(successor, m) || m.Leaving || unannounced
}

// joinedSince reports whether a member has joined since another one fell silent.
func joinedSince(successor, m raft.Member) bool {
	return m.SilentSinceID != 0 && m.SilentSinceID < cmp.Or(successor.FirstID, successor.ID)
}

// next returns the next change and its reason.
func (p *membershipPlan) next() (raft.MemberChange, string, bool) {
	voters, target := p.voters(), targetVoters(p.replicas())
	learner, caughtUp := p.bestLearner(voters)
	if caughtUp && len(voters) < target {
		return raft.MemberChange{Kind: raft.PromoteLearner, Member: learner}, "fewer vote than fit the number of replicas", true
	}
	if m, found := p.removable(len(voters) > target); found {
		return p.removal(m), "another member has taken its place", true
	}
	if m, found := p.worstVoter(voters); found && len(voters) > max(target, minVoters) {
		return raft.MemberChange{Kind: raft.DemoteVoter, Member: m}, "more vote than fit the number of replicas", true
	}
	return p.nextForAbsent(voters, learner, caughtUp)
}

// removable returns a member that is gone. spare is set if more vote than fit, so that one vote
// may go.
func (p *membershipPlan) removable(spare bool) (raft.Member, bool) {
	for _, m := range p.members {
		if p.isGone(m) && (m.Learner || spare) {
			return m, true
		}
	}
	return raft.Member{}, false
}

// nextForAbsent returns the next change on behalf of a voter that is silent or stops: the learner
// that has caught up gets a vote beside it. It loses its own vote, but not its data, once more
// vote than fit.
func (p *membershipPlan) nextForAbsent(voters []raft.Member, learner raft.Member, caughtUp bool) (raft.MemberChange, string, bool) {
	steady := caughtUp && p.isSteady(learner)
	if steady && slices.ContainsFunc(voters, p.isAbsent) {
		return raft.MemberChange{Kind: raft.PromoteLearner, Member: learner}, "it takes the place of a voter that is silent", true
	}
	even := len(voters)%2 == 0
	for _, m := range voters {
		if !p.isLeaving(m) {
			continue
		}
		// An even number of voters tolerates no more failures than one less.
		if even && len(voters) > minVoters && p.keepsQuorum(voters, m) {
			return raft.MemberChange{Kind: raft.DemoteVoter, Member: m}, "it stops and an even number of members vote", true
		}
		// While it still runs, one voter more takes nothing from the quorum.
		if !even && (steady || caughtUp && m.SilentSinceID == 0) {
			return raft.MemberChange{Kind: raft.PromoteLearner, Member: learner}, "it takes the place of a voter that stops", true
		}
	}
	return raft.MemberChange{}, "", false
}

// isAbsent reports whether a member has been silent for so long that a learner gets its vote.
func (p *membershipPlan) isAbsent(m raft.Member) bool {
	return m.SilentSinceID != 0 && p.silence[m.ID] >= replacementSilence
}

// isSteady reports whether a member has answered for a while and a moment ago.
func (p *membershipPlan) isSteady(m raft.Member) bool {
	peer := p.peers[m.ID]
	return isHeard(peer) && peer.Contact >= steadyContact
}

// replicas returns the number of replicas that run or may return: without the silent ones
// that have a successor.
func (p *membershipPlan) replicas() int {
	count := 0
	for _, m := range p.members {
		if !p.isReplaced(m) {
			count++
		}
	}
	return count
}

// removal removes a member that has a successor. The successor is surplus from then on only
// if the member was.
func (p *membershipPlan) removal(m raft.Member) raft.MemberChange {
	successor := p.successors[m.ID]
	successor.Surplus = m.Surplus
	return raft.MemberChange{Kind: raft.RemoveMember, Member: m, Updates: []raft.Member{successor}}
}

// isReplaced reports whether a member is silent and its successor counts in its place. One whose
// successor had joined before may be restarting.
func (p *membershipPlan) isReplaced(m raft.Member) bool {
	successor, paired := p.successors[m.ID]
	return paired && (joinedSince(successor, m) || m.SilentSinceID != 0 && p.silence[m.ID] >= restartSilence)
}

// isGone reports whether a replaced member has been silent for so long that it is removed. One
// whose successor had joined before may be restarting.
func (p *membershipPlan) isGone(m raft.Member) bool {
	needed := unannouncedSilence
	if joinedSince(p.successors[m.ID], m) {
		needed = replacementSilence
	}
	return p.isReplaced(m) && p.silence[m.ID] >= needed
}

// isLeaving reports whether a member has announced that it stops, and has a successor.
func (p *membershipPlan) isLeaving(m raft.Member) bool {
	_, paired := p.successors[m.ID]
	return paired && m.Leaving
}

func (p *membershipPlan) voters() []raft.Member {
	return slices.DeleteFunc(slices.Clone(p.members), func(m raft.Member) bool { return m.Learner })
}

// bestLearner returns the learner to promote next, if one has caught up: of the domain with
// the fewest voters, and the oldest of these.
func (p *membershipPlan) bestLearner(voters []raft.Member) (raft.Member, bool) {
	candidates := slices.DeleteFunc(slices.Clone(p.members), func(m raft.Member) bool {
		_, replaced := p.successors[m.ID]
		return !m.Learner || replaced || m.Leaving || !p.peers[m.ID].CaughtUp
	})
	if len(candidates) == 0 {
		return raft.Member{}, false
	}
	return slices.MinFunc(candidates, func(a, b raft.Member) int {
		return cmp.Or(cmp.Compare(inDomain(voters, a.Domain), inDomain(voters, b.Domain)), cmp.Compare(a.ID, b.ID))
	}), true
}

// keepsQuorum reports whether the voters besides one that answer hold a quorum. Without it the
// change that demotes the voter might never be committed.
func (p *membershipPlan) keepsQuorum(voters []raft.Member, demoted raft.Member) bool {
	remaining, answering := 0, 0
	for _, m := range voters {
		if m.ID == demoted.ID {
			continue
		}
		remaining++
		if p.answers(m) {
			answering++
		}
	}
	return 2*answering > remaining
}

// answers reports whether a member has answered this leader a moment ago.
func (p *membershipPlan) answers(m raft.Member) bool {
	return m.ID == p.self || m.SilentSinceID == 0 && isHeard(p.peers[m.ID])
}

// worstVoter returns the voter to demote next, which is not this replica and not needed for
// the quorum: by unavailability, else of the domain with the most voters, and the
// youngest of these.
func (p *membershipPlan) worstVoter(voters []raft.Member) (raft.Member, bool) {
	candidates := slices.DeleteFunc(slices.Clone(voters), func(m raft.Member) bool {
		return m.ID == p.self || !p.keepsQuorum(voters, m)
	})
	if len(candidates) == 0 {
		return raft.Member{}, false
	}
	return slices.MaxFunc(candidates, func(a, b raft.Member) int {
		return cmp.Or(
			cmp.Compare(p.unavailability(a), p.unavailability(b)),
			cmp.Compare(inDomain(voters, a.Domain), inDomain(voters, b.Domain)), cmp.Compare(a.ID, b.ID),
		)
	}), true
}

// unavailability orders the members by how little their votes help: those that are replaced and
// will be removed, then those that are silent and may return, then those that stop, then the others.
func (p *membershipPlan) unavailability(m raft.Member) int {
	switch {
	case p.isReplaced(m):
		return 3
	case m.SilentSinceID != 0:
		return 2
	case m.Leaving:
		return 1
	}
	return 0
}

// inDomain returns the number of members in a domain.
func inDomain(members []raft.Member, domain string) int {
	count := 0
	for _, m := range members {
		if m.Domain == domain {
			count++
		}
	}
	return count
}
