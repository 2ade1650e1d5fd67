package wal_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/raft"
	"geraniumwall/wal"
)

// drive carries out a node's work on a store and returns the applied index.
func drive(node *raft.Node, store *wal.Store, applied uint64) uint64 {
	GinkgoHelper()
	for node.HasReady() {
		ready := node.Ready()
		if len(ready.Committed) > 0 {
			applied = ready.Committed[len(ready.Committed)-1].Index
		}
		if ready.Write != nil {
			Expect(store.Save(ready.Write)).To(Succeed())
			node.Advance(ready.Write)
		}
	}
	return applied
}

// It guards against a store that refuses or loses what a node hands out.
var _ = It("carries a node over restarts with snapshots and small segments", func() {
	disk := wal.Options{Dir: GinkgoT().TempDir(), ReplicaID: 1, SegmentBytes: 512}
	Expect(wal.Create(disk, raft.Bootstrap([]raft.Member{{ID: 1}}))).To(Succeed())
	last := uint64(0)
	for restart := range uint64(5) {
		store, stored, err := wal.Open(disk)
		Expect(err).NotTo(HaveOccurred())
		node, err := raft.New(raft.Config{ID: 1, Random: rand.New(rand.NewPCG(1, restart))}, stored)
		Expect(err).NotTo(HaveOccurred())
		Expect(node.Status().Last).To(Equal(last))
		node.Tick(2 * time.Second)
		applied := drive(node, store, stored.Snapshot.Index)
		for i := range 40 {
			_, err := node.Propose(fmt.Appendf(nil, "command %d", i))
			Expect(err).NotTo(HaveOccurred())
			applied = drive(node, store, applied)
		}
		last = node.Status().Last
		Expect(applied).To(Equal(last))
		saved, err := node.MakeSnapshot(applied-3, []byte("state"))
		Expect(err).NotTo(HaveOccurred())
		Expect(store.SaveSnapshot(saved)).To(Succeed())
		Expect(node.Compact(saved)).To(Succeed())
		Expect(store.Close()).To(Succeed())
	}
})
