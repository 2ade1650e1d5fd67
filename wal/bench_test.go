package wal_test

import (
	"math"
	"testing"
	"time"

	"geraniumwall/raft"
	"geraniumwall/wal"
)

const (
	recordBytes    = 200
	restartRecords = 100_000
	// restartLimit is the longest time to open a log of restartRecords.
	restartLimit = time.Second
)

func diskStore(b testing.TB) (*wal.Store, wal.Options) {
	b.Helper()
	disk := wal.Options{Dir: b.TempDir(), ReplicaID: 1}
	if err := wal.Create(disk, raft.Bootstrap([]raft.Member{{ID: 1}})); err != nil {
		b.Fatal(err)
	}
	store, _, err := wal.Open(disk)
	if err != nil {
		b.Fatal(err)
	}
	return store, disk
}

func records(first uint64, count int) *raft.Write {
	w := &raft.Write{HardState: raft.HardState{Term: 1}}
	for i := range count {
		w.Entries = append(w.Entries, raft.Entry{Index: first + uint64(i), Term: 1, Data: make([]byte, recordBytes)})
	}
	return w
}

// BenchmarkSave is the latency of one synced write on the file system of the
// temporary directory.
func BenchmarkSave(b *testing.B) {
	for _, run := range []struct {
		name  string
		count int
	}{{"1 entry", 1}, {"64 entries", 64}} {
		b.Run(run.name, func(b *testing.B) {
			store, _ := diskStore(b)
			defer store.Close()
			next := uint64(1)
			for b.Loop() {
				if err := store.Save(records(next, run.count)); err != nil {
					b.Fatal(err)
				}
				next += uint64(run.count)
			}
		})
	}
}

// filledStore returns a closed store of restartRecords entries.
func filledStore(b testing.TB) wal.Options {
	const batch = 100
	store, disk := diskStore(b)
	for next := uint64(1); next < restartRecords; next += batch {
		if err := store.Save(records(next, batch)); err != nil {
			b.Fatal(err)
		}
	}
	if err := store.Close(); err != nil {
		b.Fatal(err)
	}
	return disk
}

func reopen(b testing.TB, disk wal.Options) {
	store, stored, err := wal.Open(disk)
	if err != nil {
		b.Fatal(err)
	}
	if len(stored.Entries) != restartRecords {
		b.Fatalf("%d entries", len(stored.Entries))
	}
	if err := store.Close(); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkRestart opens a log of 100,000 records.
func BenchmarkRestart(b *testing.B) {
	disk := filledStore(b)
	for b.Loop() {
		reopen(b, disk)
	}
	if b.Elapsed() > time.Duration(b.N)*restartLimit {
		b.Fatalf("opening %d records takes longer than %v", restartRecords, restartLimit)
	}
}

// TestRestartTime guards the target time of a restart. The shortest of a few
// attempts counts, since other processes may delay one.
func TestRestartTime(t *testing.T) {
	const attempts = 5
	disk := filledStore(t)
	best := time.Duration(math.MaxInt64)
	for range attempts {
		began := time.Now()
		reopen(t, disk)
		best = min(best, time.Since(began))
		if best <= restartLimit || raceDetector {
			return
		}
	}
	t.Fatalf("opening %d records took %v, the limit is %v", restartRecords, best, restartLimit)
}
