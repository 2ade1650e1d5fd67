package wal_test

import (
	"errors"
	"strings"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/raft"
	"geraniumwall/wal"
)

var _ = Describe("store", func() {
	It("is dead after a failure at any step and says so", func() {
		whole := newMemFS()
		play(whole)
		for at := range whole.steps {
			fs := newMemFS()
			Expect(wal.Create(options(fs), raft.Bootstrap(nil))).To(Succeed())
			store, _, err := wal.Open(options(fs))
			Expect(err).NotTo(HaveOccurred())
			fs.failAt, fs.failure = fs.steps+at, syscall.ENOSPC
			for _, op := range workload {
				if err = perform(store, op); err != nil {
					break
				}
			}
			if err == nil {
				break
			}
			Expect(err).To(MatchError(wal.ErrDiskFull))
			steps := fs.steps
			Expect(store.Save(workload[len(workload)-1].write)).To(MatchError(wal.ErrDead))
			Expect(fs.steps).To(Equal(steps), "a dead store touches the disk")
		}
	})

	It("survives a shortage of descriptors at any open", func() {
		whole := newMemFS()
		play(whole)
		waited := 0
		for at := range whole.steps {
			fs := newMemFS()
			fs.failAt, fs.failure = at, syscall.EMFILE
			err := wal.Create(options(fs), raft.Bootstrap(nil))
			var store *wal.Store
			if err == nil {
				store, _, err = wal.Open(options(fs))
			}
			for _, op := range workload {
				if err == nil {
					err = perform(store, op)
				}
			}
			if fs.failedKind != "create" && fs.failedKind != "directory sync" {
				continue
			}
			Expect(err).NotTo(HaveOccurred(), "%s at step %d", fs.failedKind, at)
			waited++
		}
		Expect(waited).To(BeNumerically(">", 0))
	})

	It("never retries a failed sync", func() {
		fs := newMemFS()
		play(fs)
		_, _, err := wal.Open(options(fs))
		Expect(err).To(MatchError(wal.ErrLocked))
		fs.locked = false
		store, _, err := wal.Open(options(fs))
		Expect(err).NotTo(HaveOccurred())
		fs.failAt, fs.failure = fs.steps+1, syscall.EIO
		write := &raft.Write{HardState: raft.HardState{Term: 6}}
		Expect(store.Save(write)).To(MatchError(wal.ErrSyncFailed))
		Expect(store.Save(write)).To(MatchError(wal.ErrDead))
	})

	It("syncs once for a batch and bounds the disk by snapshots", func() {
		fs := newMemFS()
		Expect(wal.Create(options(fs), raft.Bootstrap(nil))).To(Succeed())
		store, _, err := wal.Open(wal.Options{Dir: "data", ReplicaID: 7, FS: fs})
		Expect(err).NotTo(HaveOccurred())
		before := fs.steps
		Expect(store.Save(&raft.Write{HardState: raft.HardState{Term: 1}, Entries: entries(1, 1, 2, 3, 4, 5, 6)})).To(Succeed())
		Expect(fs.steps - before).To(Equal(2))
		Expect(store.Close()).To(Succeed())

		store, _, err = wal.Open(options(fs))
		Expect(err).NotTo(HaveOccurred())
		for index := uint64(7); index < 500; index++ {
			Expect(store.Save(&raft.Write{HardState: raft.HardState{Term: 1}, Entries: entries(1, index)})).To(Succeed())
			if index%10 == 0 {
				Expect(store.SaveSnapshot(snapshot(index, 1))).To(Succeed())
			}
			Expect(len(fs.files)).To(BeNumerically("<", 12))
		}
	})

	// It guards against a replica that refuses its disk after a new leader has
	// replaced entries of an earlier segment, which a snapshot then removes.
	It("opens a log whose first stored entries were replaced from further back", func() {
		fs := newMemFS()
		fs.segmentBytes = 1
		Expect(wal.Create(options(fs), raft.Bootstrap(nil))).To(Succeed())
		store, _, err := wal.Open(options(fs))
		Expect(err).NotTo(HaveOccurred())
		for _, list := range [][]raft.Entry{entries(1, 1, 2), entries(1, 3, 4), entries(2, 2, 3)} {
			Expect(store.Save(&raft.Write{HardState: raft.HardState{Term: 2}, Entries: list})).To(Succeed())
		}
		Expect(store.SaveSnapshot(snapshot(2, 2))).To(Succeed())
		_, stored, err := wal.Open(options(fs.restart(crashMode{})))
		Expect(err).NotTo(HaveOccurred())
		Expect(stored.Entries).To(Equal(entries(2, 3)))
	})

	It("refuses an empty directory, another replica's and one in use", func() {
		fs := newMemFS()
		_, _, err := wal.Open(options(fs))
		Expect(err).To(MatchError(wal.ErrNoIdentity))
		play(fs)
		fs.locked = false
		Expect(wal.Create(options(fs), raft.Stored{})).To(MatchError(wal.ErrExists))
		other := options(fs)
		other.ReplicaID = 8
		_, _, err = wal.Open(other)
		var identity *wal.IdentityError
		Expect(errors.As(err, &identity)).To(BeTrue())
	})

	It("detects each damaged byte, or loses the last frame only", func() {
		fs := newMemFS()
		Expect(wal.Create(options(fs), raft.Bootstrap(nil))).To(Succeed())
		store, _, err := wal.Open(options(fs))
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Save(&raft.Write{HardState: raft.HardState{Term: 1}, Entries: entries(1, 1)})).To(Succeed())
		Expect(store.Save(&raft.Write{HardState: raft.HardState{Term: 1}, Entries: entries(1, 2)})).To(Succeed())
		for name, file := range fs.files {
			for i := range file.data {
				damaged := fs.restart(crashMode{})
				damaged.files[name].data[i] ^= 0x10
				_, stored, err := wal.Open(options(damaged))
				if err == nil {
					Expect(strings.HasSuffix(name, ".seg")).To(BeTrue(), "%s byte %d", name, i)
					Expect(stored.Entries).To(Equal(entries(1, 1)), "%s byte %d", name, i)
					continue
				}
				var corruption *wal.CorruptionError
				Expect(errors.As(err, &corruption)).To(BeTrue(), "%s byte %d: %v", name, i, err)
			}
		}
	})
})
