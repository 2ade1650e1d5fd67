package raft_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/raft"
)

// longTimeout exceeds every election timeout of the default configuration.
const longTimeout = 2 * raft.DefaultElectionTimeout

// single returns node 1 of three, with entries of the given terms on its disk
// and the newest term as its own.
func single(config raft.Config, terms ...uint64) *raft.Node {
	GinkgoHelper()
	stored := raft.Bootstrap([]raft.Member{{ID: 1}, {ID: 2}, {ID: 3}})
	for i, term := range terms {
		stored.Entries = append(stored.Entries, raft.Entry{Index: uint64(i + 1), Term: term, Data: command(i)})
		stored.HardState.Term = term
	}
	config.ID = 1
	config.Random = rand.New(rand.NewPCG(1, 1))
	node, err := raft.New(config, stored)
	Expect(err).NotTo(HaveOccurred())
	return node
}

// work takes all pending work with an instant disk and returns what is sent.
func work(node *raft.Node) []raft.Message {
	var sent []raft.Message
	for node.HasReady() {
		ready := node.Ready()
		sent = append(sent, ready.Messages...)
		if ready.Write != nil {
			sent = append(sent, ready.Write.Messages...)
			node.Advance(ready.Write)
		}
	}
	return sent
}

// lead makes node 1 leader with the votes of replica 2.
func lead(node *raft.Node) []raft.Message {
	GinkgoHelper()
	node.Tick(longTimeout)
	work(node)
	term := node.Status().Term + 1
	node.Step(raft.Message{Type: raft.MessagePreVoteResponse, From: 2, To: 1, Term: term})
	work(node)
	node.Step(raft.Message{Type: raft.MessageVoteResponse, From: 2, To: 1, Term: term})
	sent := work(node)
	Expect(node.Status().Role).To(Equal(raft.RoleLeader))
	return sent
}

func acknowledge(node *raft.Node, from, index uint64) []raft.Message {
	node.Step(raft.Message{Type: raft.MessageAppendResponse, From: from, To: 1, Term: node.Status().Term, Index: index})
	return work(node)
}

func appendTo(node *raft.Node, m raft.Message, terms ...uint64) {
	m.Type, m.To = raft.MessageAppend, 1
	for i, term := range terms {
		m.Entries = append(m.Entries, raft.Entry{Index: m.Index + 1 + uint64(i), Term: term, Data: command(int(term))})
	}
	node.Step(m)
}

var _ = Describe("protocol rules", func() {
	It("commits an entry of an older term only along with one of its own", func() {
		node := single(raft.Config{}, 1, 2)
		lead(node)
		acknowledge(node, 2, 2)
		Expect(node.Status().Commit).To(BeZero(), "a later leader may still replace entry 2")
		acknowledge(node, 2, 3)
		Expect(node.Status().Commit).To(Equal(uint64(3)))
	})

	It("serves no read before an entry of its term is committed", func() {
		node := single(raft.Config{}, 1, 2)
		lead(node)
		Expect(node.Read(1)).To(Succeed())
		for round := range uint64(3) {
			node.Step(raft.Message{Type: raft.MessageHeartbeatResponse, From: 2, To: 1, Term: node.Status().Term, Round: round})
		}
		Expect(node.Ready().Reads).To(BeEmpty(), "an earlier leader may have committed more")
	})

	It("commits as a follower only what the message proves to match", func() {
		node := single(raft.Config{}, 1, 1, 1)
		appendTo(node, raft.Message{From: 2, Term: 2, Index: 1, LogTerm: 1, Commit: 3})
		Expect(node.Status().Commit).To(Equal(uint64(1)), "entries 2 and 3 may differ from the leader's")
	})

	It("writes an entry that replaced another one during the write", func() {
		node := single(raft.Config{})
		appendTo(node, raft.Message{From: 2, Term: 1}, 1, 1)
		first := node.Ready().Write
		appendTo(node, raft.Message{From: 3, Term: 2}, 2, 2)
		node.Advance(first)
		second := node.Ready().Write
		Expect(second).NotTo(BeNil())
		Expect(second.Entries).To(HaveLen(2))
		Expect(second.Entries[0].Term).To(Equal(uint64(2)))
	})

	It("hands out a snapshot from the leader only when it is durable", func() {
		node := single(raft.Config{}, 1)
		chunk := &raft.SnapshotChunk{Meta: raft.SnapshotMeta{Index: 9, Term: 1}, Total: 4, Data: command(1)}
		node.Step(raft.Message{Type: raft.MessageSnapshot, From: 2, To: 1, Term: 2, Chunk: chunk})
		ready := node.Ready()
		Expect(ready.Restore).To(BeNil())
		Expect(ready.Messages).To(BeEmpty())
		Expect(ready.Write.Messages).To(HaveLen(1))
		node.Advance(ready.Write)
		Expect(node.Ready().Restore).To(Equal(ready.Write.Snapshot))
	})

	It("goes back to the earlier membership when a change is removed from the log", func() {
		node := single(raft.Config{})
		smaller := raft.EncodeMembership(raft.Membership{Members: []raft.Member{{ID: 1}, {ID: 2}}})
		entry := raft.Entry{Index: 1, Term: 1, Kind: raft.EntryMembership, Data: smaller}
		node.Step(raft.Message{Type: raft.MessageAppend, From: 2, To: 1, Term: 1, Entries: []raft.Entry{entry}})
		Expect(node.Status().Membership.Members).To(HaveLen(2))
		appendTo(node, raft.Message{From: 3, Term: 2}, 2)
		Expect(node.Status().Membership.Members).To(HaveLen(3))
	})

	It("allows one membership change at a time, and only of a learner that has caught up, and no used id", func() {
		node := single(raft.Config{PromotionLag: 2})
		lead(node)
		learner := raft.MemberChange{Kind: raft.AddLearner, Member: raft.Member{ID: 4}}
		used := raft.MemberChange{Kind: raft.AddLearner, Member: raft.Member{ID: 3}}
		_, err := node.ChangeMembers(learner)
		Expect(err).To(MatchError(raft.ErrChangePending), "no entry of the term is committed")
		acknowledge(node, 2, 1)
		_, err = node.ChangeMembers(raft.MemberChange{Kind: raft.RemoveMember, Member: raft.Member{ID: 3}})
		Expect(err).NotTo(HaveOccurred())
		acknowledge(node, 2, 2)
		_, err = node.ChangeMembers(used)
		Expect(err).To(MatchError(raft.ErrInvalidChange), "its disk may be lost")
		_, err = node.ChangeMembers(learner)
		Expect(err).NotTo(HaveOccurred())
		promotion := raft.MemberChange{Kind: raft.PromoteLearner, Member: raft.Member{ID: 4}}
		_, err = node.ChangeMembers(promotion)
		Expect(err).To(MatchError(raft.ErrChangePending))
		acknowledge(node, 2, 3)
		for i := range 5 {
			_, _ = node.Propose(command(i))
		}
		_, err = node.ChangeMembers(promotion)
		Expect(err).To(MatchError(raft.ErrNotCaughtUp))
	})

	// Guards against a quorum that needs a replica which has not started: a short log
	// is within the promotion lag of an empty one.
	It("promotes no learner that has never stored anything", func() {
		node := single(raft.Config{PromotionLag: 100})
		lead(node)
		acknowledge(node, 2, 1)
		_, err := node.ChangeMembers(raft.MemberChange{Kind: raft.AddLearner, Member: raft.Member{ID: 4}})
		Expect(err).NotTo(HaveOccurred())
		acknowledge(node, 2, 2)
		_, err = node.ChangeMembers(raft.MemberChange{Kind: raft.PromoteLearner, Member: raft.Member{ID: 4}})
		Expect(err).To(MatchError(raft.ErrNotCaughtUp))
	})

	It("bounds what is sent to a follower that doesn't acknowledge, and what isn't committed", func() {
		node := single(raft.Config{MaxInflightMessages: 3, MaxBatchBytes: 1, MaxUncommittedBytes: 2000})
		lead(node)
		acknowledge(node, 2, 1)
		sent := 0
		var err error
		for i := 0; err == nil; i++ {
			_, err = node.Propose(command(i))
			for _, m := range work(node) {
				if m.To == 2 && len(m.Entries) > 0 {
					sent++
				}
			}
			node.Step(raft.Message{Type: raft.MessageHeartbeatResponse, From: 2, To: 1, Term: node.Status().Term})
		}
		Expect(err).To(MatchError(raft.ErrOverloaded))
		Expect(sent).To(Equal(3))
	})

	It("isn't disturbed by a replica that was cut off", func() {
		c := newCluster(3, 3, raft.Config{})
		leader := c.awaitLeader()
		term := leader.node.Status().Term
		cut := leader.id%3 + 1
		c.filter = func(m raft.Message) []raft.Message {
			if m.To == cut {
				return nil
			}
			return []raft.Message{m}
		}
		// The cut-off replica hears nobody, but its requests arrive.
		c.run(10*time.Second, func() bool { return false })
		Expect(c.get(cut).node.Status().Term).To(Equal(term), "pre-vote raises no term")
		c.filter = nil
		c.run(3*time.Second, func() bool { return false })
		Expect(c.leader()).To(BeIdenticalTo(leader))
		Expect(leader.node.Status().Term).To(Equal(term))
	})

	It("refuses votes while it hears a leader, except on the leader's order", func() {
		node := single(raft.Config{})
		appendTo(node, raft.Message{From: 2, Term: 1}, 1)
		work(node)
		request := raft.Message{Type: raft.MessageVote, From: 3, To: 1, Term: 5, Index: 9, LogTerm: 4}
		node.Step(request)
		Expect(node.Status().Term).To(Equal(uint64(1)))
		request.Transfer = true
		node.Step(request)
		Expect(node.Status().Term).To(Equal(uint64(5)))
	})

	It("leads alone only after its vote is durable", func() {
		stored := raft.Bootstrap([]raft.Member{{ID: 1}})
		stored.HardState.Term = 1
		config := raft.Config{ID: 1, Random: rand.New(rand.NewPCG(1, 1)), MaxWriteTime: 2 * longTimeout}
		node, err := raft.New(config, stored)
		Expect(err).NotTo(HaveOccurred())
		appendTo(node, raft.Message{From: 2, Term: 1}, 1)
		earlier := node.Ready().Write
		node.Tick(longTimeout)
		node.Advance(earlier)
		Expect(node.Status().Role).To(Equal(raft.RoleCandidate))
		work(node)
		Expect(node.Status().Role).To(Equal(raft.RoleLeader))
	})
})
