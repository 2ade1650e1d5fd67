package raft_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/raft"
)

var _ = Describe("membership changes", func() {
	// Guards against two changes for one replacement, between which a leader can be lost.
	It("replace a member by a learner in one change", func() {
		node := single(raft.Config{})
		lead(node)
		acknowledge(node, 2, 1)
		silent := raft.Member{ID: 3, SilentSinceID: 2, Address: "ignored"}
		change := raft.MemberChange{Kind: raft.AddLearner, Member: raft.Member{ID: 4, Surplus: true}, Replaces: 2, Updates: []raft.Member{silent}}
		_, err := node.ChangeMembers(change)
		Expect(err).NotTo(HaveOccurred())
		members := node.Status().Membership.Members
		Expect(members).To(ConsistOf(
			raft.Member{ID: 1}, raft.Member{ID: 3, SilentSinceID: 2}, raft.Member{ID: 4, Learner: true, Surplus: true},
		))
	})

	// Guards against a leader that takes its own vote, or loses a member by a change of its
	// attributes.
	It("demote a voter, and refuse to demote or replace the leader", func() {
		node := single(raft.Config{})
		lead(node)
		acknowledge(node, 2, 1)
		for _, refused := range []raft.MemberChange{
			{Kind: raft.DemoteVoter, Member: raft.Member{ID: 1}},
			{Kind: raft.DemoteVoter, Member: raft.Member{ID: 9}},
			{Kind: raft.AddLearner, Member: raft.Member{ID: 4}, Replaces: 1},
			{Kind: raft.AddLearner, Member: raft.Member{ID: 4}, Replaces: 9},
		} {
			_, err := node.ChangeMembers(refused)
			Expect(err).To(MatchError(raft.ErrInvalidChange), "%+v", refused)
		}
		update := raft.Member{ID: 9, Leaving: true}
		_, err := node.ChangeMembers(raft.MemberChange{Kind: raft.DemoteVoter, Member: raft.Member{ID: 3}, Updates: []raft.Member{update}})
		Expect(err).NotTo(HaveOccurred())
		Expect(node.Status().Membership.Members).To(ConsistOf(raft.Member{ID: 1}, raft.Member{ID: 2}, raft.Member{ID: 3, Learner: true}))
	})

	// Guards against attributes that are lost on disk or on the way, so that the next leader
	// decides without them.
	It("keep the attributes of members when they are encoded", func() {
		m := raft.Membership{HighestID: 7, Members: []raft.Member{
			{ID: 3, Address: "a", Domain: "d", Leaving: true}, {ID: 5, SilentSinceID: 6, SilentSeconds: 9}, {ID: 7, Learner: true, Surplus: true, FirstID: 2},
		}}
		decoded, err := raft.DecodeMembership(raft.EncodeMembership(m))
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded).To(Equal(m))
		message := raft.Message{Type: raft.MessageHeartbeatResponse, From: 1, To: 2, Leaving: true}
		again, err := raft.DecodeMessage(raft.EncodeMessage(message))
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(message))
	})

	// Guards against leadership that is handed to a replica that stops at the same time.
	It("prefer a successor that does not stop", func() {
		status := raft.Status{
			ID: 1, Membership: raft.Membership{Members: []raft.Member{{ID: 1}, {ID: 2}, {ID: 3}, {ID: 4, Learner: true}}},
			Peers: []raft.PeerStatus{
				{ID: 2, Active: true, Match: 5}, {ID: 3, Active: true, Match: 9, Leaving: true}, {ID: 4, Active: true, Match: 9},
			},
		}
		Expect(status.Successor()).To(BeEquivalentTo(2))
		status.Peers[0].Active = false
		Expect(status.Successor()).To(BeEquivalentTo(3))
	})

	// Guards against a leader that counts a former one as heard from when the term began, so
	// that a host that joins at once never counts as its successor.
	It("count the silence of the former leader from its last message", func() {
		c := newCluster(1, 3, raft.Config{})
		former := c.awaitLeader()
		c.crash(former)
		crashedAt := c.now
		next := c.awaitLeader()
		for _, p := range next.node.Status().Peers {
			if p.ID == former.id {
				Expect(p.Answered).To(BeFalse())
				Expect(p.Silence).To(BeNumerically(">=", c.now-crashedAt))
			}
		}
	})
})
