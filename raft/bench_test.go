package raft_test

import (
	"testing"

	"geraniumwall/raft"
)

const benchmarkData = 200

func benchmarkMessage(entries int) raft.Message {
	m := raft.Message{Type: raft.MessageAppend, From: 1, To: 2, Term: 3, Index: 1000, LogTerm: 3, Commit: 990}
	for i := range entries {
		m.Entries = append(m.Entries, raft.Entry{Index: 1001 + uint64(i), Term: 3, Data: make([]byte, benchmarkData)})
	}
	return m
}

func BenchmarkEncodeMessage(b *testing.B) {
	m := benchmarkMessage(32)
	b.ReportAllocs()
	for b.Loop() {
		raft.EncodeMessage(m)
	}
}

func BenchmarkDecodeMessage(b *testing.B) {
	data := raft.EncodeMessage(benchmarkMessage(32))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := raft.DecodeMessage(data); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCommit is the cost of a command on three replicas in memory,
// including the simulated network and the encoding of messages.
func BenchmarkCommit(b *testing.B) {
	for _, batch := range []int{1, 32} {
		b.Run(map[int]string{1: "single", 32: "batch of 32"}[batch], func(b *testing.B) {
			c := newCluster(1, 3, raft.Config{})
			leader := c.awaitLeader()
			data := make([]byte, 4)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				_, _ = leader.node.Propose(data)
				if i%batch == batch-1 {
					c.settle()
				}
				if i%10000 == 9999 {
					c.settle()
					for _, r := range c.replicas {
						_ = c.compact(r)
					}
				}
			}
		})
	}
}

// BenchmarkStep is the cost of one heartbeat at a follower.
func BenchmarkStep(b *testing.B) {
	c := newCluster(1, 3, raft.Config{})
	leader := c.awaitLeader()
	follower := c.get(leader.id%3 + 1)
	m := raft.Message{Type: raft.MessageHeartbeat, From: leader.id, To: follower.id, Term: leader.node.Status().Term}
	b.ReportAllocs()
	for b.Loop() {
		follower.node.Step(m)
		follower.node.Ready()
	}
}
