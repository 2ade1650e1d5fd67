package wal_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/raft"
	"geraniumwall/wal"
)

func entries(term uint64, indexes ...uint64) []raft.Entry {
	var out []raft.Entry
	for _, index := range indexes {
		out = append(out, raft.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "entry %d of term %d", index, term)})
	}
	return out
}

func snapshot(index, term uint64) raft.Snapshot {
	members := raft.Membership{Members: []raft.Member{{ID: 1, Address: "a"}, {ID: 2}, {ID: 3}}}
	return raft.Snapshot{
		SnapshotMeta: raft.SnapshotMeta{Index: index, Term: term, Membership: members},
		Data:         fmt.Appendf(nil, "state at %d", index),
	}
}

// operation is one call on the store: a write or a local snapshot.
type operation struct {
	write *raft.Write
	local *raft.Snapshot
}

func saved(snapshot raft.Snapshot) *raft.Snapshot { return &snapshot }

// workload covers appends, a replaced tail, snapshots of both kinds and the
// change to a new segment.
var workload = []operation{
	{write: &raft.Write{HardState: raft.HardState{Term: 1, Vote: 2}}},
	{write: &raft.Write{HardState: raft.HardState{Term: 1, Vote: 2}, Entries: entries(1, 1, 2, 3, 4)}},
	{write: &raft.Write{HardState: raft.HardState{Term: 2, Commit: 2}, Entries: entries(2, 3, 4, 5)}},
	{local: saved(snapshot(2, 1))},
	{write: &raft.Write{HardState: raft.HardState{Term: 2, Commit: 5}, Entries: entries(2, 6, 7, 8, 9)}},
	{local: saved(snapshot(5, 2))},
	{write: &raft.Write{HardState: raft.HardState{Term: 4, Vote: 3, Commit: 8}, Snapshot: saved(snapshot(8, 3)), Entries: entries(3, 9)}},
	{write: &raft.Write{HardState: raft.HardState{Term: 4, Vote: 3, Commit: 9}, Entries: entries(4, 10, 11, 12)}},
	{local: saved(snapshot(11, 4))},
	{write: &raft.Write{HardState: raft.HardState{Term: 5, Commit: 12}, Snapshot: saved(snapshot(20, 5))}},
	{write: &raft.Write{HardState: raft.HardState{Term: 5, Commit: 20}, Entries: entries(5, 21, 22)}},
	{local: saved(snapshot(22, 5))},
}

func options(fs *memFS) wal.Options {
	return wal.Options{Dir: "data", ReplicaID: 7, FS: fs, SegmentBytes: fs.segmentBytes}
}

// after returns the state that follows from an operation.
func after(state raft.Stored, op operation) raft.Stored {
	if op.local != nil {
		cut := slices.IndexFunc(state.Entries, func(e raft.Entry) bool { return e.Index > op.local.Index })
		if cut < 0 {
			cut = len(state.Entries)
		}
		return raft.Stored{HardState: state.HardState, Snapshot: *op.local, Entries: state.Entries[cut:]}
	}
	next := raft.Stored{HardState: op.write.HardState, Snapshot: state.Snapshot, Entries: slices.Clone(state.Entries)}
	if op.write.Snapshot != nil {
		next.Snapshot, next.Entries = *op.write.Snapshot, nil
	}
	for _, entry := range op.write.Entries {
		next.Entries = append(next.Entries[:entry.Index-next.Snapshot.Index-1], entry)
	}
	return next
}

// possible returns the states that a crash within an operation may leave.
func possible(before raft.Stored, op operation) []raft.Stored {
	states := []raft.Stored{before, after(before, op)}
	if op.write == nil || op.write.Snapshot == nil {
		return states
	}
	early := before
	early.HardState = op.write.HardState
	early.HardState.Commit = before.HardState.Commit
	installed := raft.Stored{HardState: early.HardState, Snapshot: *op.write.Snapshot}
	return append(states, early, installed)
}

func perform(store *wal.Store, op operation) error {
	if op.local != nil {
		return store.SaveSnapshot(*op.local)
	}
	return store.Save(op.write)
}

func text(state raft.Stored) string {
	return fmt.Sprintf("%+v", state)
}

// play creates a store and runs the workload up to the first error. It returns
// the states that a reopened store may have; nil if it was never created.
func play(fs *memFS) []raft.Stored {
	state := raft.Bootstrap([]raft.Member{{ID: 1}, {ID: 2}, {ID: 3}})
	if err := wal.Create(options(fs), state); err != nil {
		return nil
	}
	store, _, err := wal.Open(options(fs))
	if err != nil {
		return []raft.Stored{state}
	}
	for _, op := range workload {
		if err := perform(store, op); err != nil {
			return possible(state, op)
		}
		state = after(state, op)
	}
	return []raft.Stored{state}
}

func expectOneOf(got raft.Stored, allowed []raft.Stored, where string) {
	GinkgoHelper()
	var texts []string
	for _, state := range allowed {
		texts = append(texts, text(state))
	}
	Expect(texts).To(ContainElement(text(got)), where)
}

var _ = Describe("crash at each step", func() {
	DescribeTable("loses nothing synced and shows nothing torn, also when recovery crashes", func(segmentBytes int64) {
		whole := newMemFS()
		whole.segmentBytes = segmentBytes
		play(whole)
		Expect(whole.steps).To(BeNumerically(">", 50))
		cases := 0
		for at := range whole.steps {
			for _, mode := range crashModes {
				fs := newMemFS()
				fs.segmentBytes = segmentBytes
				fs.failAt, fs.failure = at, errCrash
				allowed := play(fs)
				cases += checkRecovery(fs, mode, allowed, fmt.Sprintf("crash at step %d, %+v", at, mode))
			}
		}
		fmt.Fprintf(GinkgoWriter, "crash cases: %d\n", cases)
	},
		Entry("segments of several frames", int64(256)),
		Entry("a segment for each frame", int64(1)),
	)
})

// checkRecovery opens the disk after a crash, with a second crash at each step
// of the recovery, and then saves on. It returns the count of cases.
func checkRecovery(crashed *memFS, mode crashMode, allowed []raft.Stored, where string) int {
	GinkgoHelper()
	for second := 0; ; second++ {
		disk := crashed.restart(mode)
		disk.failAt, disk.failure = second, errCrash
		store, stored, err := wal.Open(options(disk))
		if allowed == nil {
			checkUncreated(crashed.restart(mode), err, where)
			return 1
		}
		if err == nil {
			expectOneOf(stored, allowed, where)
			disk.failAt = -1
			checkUsable(store, disk, stored, where)
			return second + 1
		}
		Expect(err).To(MatchError(errCrash), where)
		_, stored, err = wal.Open(options(disk.restart(mode)))
		Expect(err).NotTo(HaveOccurred(), where)
		expectOneOf(stored, allowed, where)
	}
}

// checkUncreated guards against a half-created directory that can be neither
// opened nor created.
func checkUncreated(disk *memFS, openErr error, where string) {
	GinkgoHelper()
	if openErr == nil {
		return
	}
	Expect(openErr).To(Or(MatchError(wal.ErrNoIdentity), MatchError(errCrash)), where)
	if err := wal.Create(options(disk), raft.Stored{}); err != nil {
		Expect(err).To(MatchError(wal.ErrExists), where)
	}
	_, _, err := wal.Open(options(disk))
	Expect(err).NotTo(HaveOccurred(), where)
}

func checkUsable(store *wal.Store, disk *memFS, state raft.Stored, where string) {
	GinkgoHelper()
	last := state.Snapshot.Index + uint64(len(state.Entries))
	op := operation{write: &raft.Write{HardState: raft.HardState{Term: 9}, Entries: entries(9, last+1)}}
	Expect(store.Save(op.write)).To(Succeed(), where)
	Expect(store.Close()).To(Succeed(), where)
	_, stored, err := wal.Open(options(disk.restart(crashMode{})))
	Expect(err).NotTo(HaveOccurred(), where)
	Expect(text(stored)).To(Equal(text(after(state, op))), where)
}
