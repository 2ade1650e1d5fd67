package state

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"geraniumwall/rpc/controlpb"
	"geraniumwall/state/statepb"
)

func configCommand(id string, base uint64) *statepb.Command {
	return &statepb.Command{Kind: &statepb.Command_ApplyConfig{ApplyConfig: &controlpb.ApplyConfigRequest{
		ChangeId: id, BaseVersion: base, Author: "operator " + id, Content: []byte(id),
	}}}
}

var _ = Describe("configuration", func() {
	// Guards against a lost update: a change whose base is outdated must be rejected
	// with the changes made since that base and their authors.
	It("answers a conflict with the changes since the base", func() {
		d := driver{New()}
		for i := range uint64(5) {
			d.mustApply(configCommand(fmt.Sprint(i), i))
		}
		resp := d.mustApply(configCommand("late", 2)).(*controlpb.ApplyConfigResponse)
		Expect(resp.GetAccepted()).To(BeFalse())
		Expect(resp.GetVersion()).To(Equal(uint64(5)))
		Expect(resp.GetSinceBase()).To(HaveLen(3))
		Expect(resp.GetSinceBase()[0].GetAuthor()).To(Equal("operator 2"))
	})

	// Guards against a history that grows without bound, or that no longer recognizes
	// a repeated change after dropping the content of its version.
	It("drops old content and still recognizes repeated changes", func() {
		d := driver{New()}
		for i := range uint64(maxVersionsWithContent + 50) {
			d.mustApply(configCommand(fmt.Sprint(i), i))
		}
		resp := d.mustApply(configCommand("0", 0)).(*controlpb.ApplyConfigResponse)
		Expect(resp.GetAccepted() && resp.GetRepeated()).To(BeTrue())
		Expect(resp.GetVersion()).To(Equal(uint64(1)))
		Expect(d.m.Configs(0, 1, true)[0].GetContent()).To(BeEmpty())
		Expect(d.m.Config().GetContent()).NotTo(BeEmpty())
	})
})

var _ = Describe("audit trail", func() {
	// Guards against modified or missing records that go undetected.
	It("detects a modified record and a missing one", func() {
		d := driver{New()}
		for i := range uint64(4) {
			d.mustApply(configCommand(fmt.Sprint(i), i))
		}
		records := d.m.Audit(0, 10, "", "")
		Expect(VerifyAudit(records)).To(Succeed())
		Expect(VerifyAudit(append(records[:1:1], records[2:]...))).NotTo(Succeed())
		edited := proto.Clone(records[1]).(*controlpb.AuditRecord)
		edited.Actor = "nobody"
		Expect(VerifyAudit(append(records[:1:1], append([]*controlpb.AuditRecord{edited}, records[2:]...)...))).NotTo(Succeed())
	})
})

var _ = Describe("retention", func() {
	// Guards against pruning tasks that ended after the given index.
	It("prunes only tasks that ended at or before the index", func() {
		d := driver{New()}
		d.mustApply(submitCommand("k1"))
		d.mustApply(submitCommand("k2"))
		d.mustApply(cancelCommand("t1"))
		through := d.m.Index()
		d.mustApply(cancelCommand("t2"))
		prune := &statepb.Command{Kind: &statepb.Command_Prune{Prune: &statepb.Prune{TasksThrough: through, Limit: 10}}}
		Expect(d.mustApply(prune).(*statepb.PruneResult).GetTasks()).To(Equal(uint32(1)))
		_, found := d.m.Task("t1")
		Expect(found).To(BeFalse())
		_, found = d.m.Task("t2")
		Expect(found).To(BeTrue())
	})
})

// FuzzDecode guards against a panic on a corrupted command.
func FuzzDecode(f *testing.F) {
	data, err := Encode(submitCommand("k"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		c, err := Decode(data)
		if err == nil {
			_, _ = driver{New()}.apply(c)
		}
	})
}

// FuzzRestore guards against a panic on a corrupted snapshot, and against a snapshot
// that is accepted but encoded differently after it is restored.
func FuzzRestore(f *testing.F) {
	for _, s := range taskSetups {
		f.Add(mustEncodeSnapshot(s.build().m))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Restore(data)
		if err != nil {
			return
		}
		again, err := Restore(mustEncodeSnapshot(m))
		if err != nil {
			t.Fatal(err)
		}
		if string(mustEncodeSnapshot(again)) != string(mustEncodeSnapshot(m)) {
			t.Fatal("the encoding of the snapshot changed after it was restored")
		}
	})
}

// Guards against a drain that is lost in a restart, audited twice or reversed by a
// repeated request.
var _ = Describe("drained workers", func() {
	drainCommand := func(worker string, undo bool) *statepb.Command {
		return &statepb.Command{Kind: &statepb.Command_DrainWorker{DrainWorker: &controlpb.DrainWorkerRequest{
			Worker: worker, Undo: undo, Actor: "op",
		}}}
	}
	It("are audited once for each change and survive a restore", func() {
		d := driver{New()}
		for range 2 {
			d.mustApply(drainCommand("w1", false))
			d.mustApply(drainCommand("w2", false))
		}
		d.mustApply(drainCommand("w2", true))
		restored, err := Restore(mustEncodeSnapshot(d.m))
		Expect(err).NotTo(HaveOccurred())
		names, index := restored.Drained()
		Expect(names).To(Equal([]string{"w1"}))
		Expect(index).To(Equal(d.m.Index()))
		Expect(restored.Audit(0, 10, "op", "drain")).To(HaveLen(2))
		Expect(restored.Audit(0, 10, "op", "undrain")).To(HaveLen(1))
		Expect(VerifyAudit(restored.Audit(0, 10, "", ""))).To(Succeed())
	})

	It("are limited in number", func() {
		d := driver{New()}
		for i := range maxDrainedWorkers {
			d.mustApply(drainCommand(fmt.Sprint(i), false))
		}
		_, err := d.apply(drainCommand("one more", false))
		Expect(err).To(MatchError(ContainSubstring("undo the drain")))
		d.mustApply(drainCommand("0", true))
		d.mustApply(drainCommand("one more", false))
	})
})
