package wal_test

import (
	"errors"
	"testing"

	"geraniumwall/raft"
	"geraniumwall/wal"
)

// FuzzOpen guards against panics and unnamed errors on damaged files: payloads
// with a correct checksum, and any bytes in place of each file.
func FuzzOpen(f *testing.F) {
	seed := newMemFS()
	play(seed)
	for _, file := range seed.files {
		f.Add(file.data)
	}
	f.Add([]byte{2, 3, 8, 1, 16})
	f.Fuzz(func(t *testing.T, data []byte) {
		disk := newMemFS()
		if err := wal.Create(options(disk), raft.Bootstrap(nil)); err != nil {
			t.Fatal(err)
		}
		for name, file := range disk.files {
			damaged := disk.restart(crashMode{})
			damaged.files[name].data = data
			checkOpen(t, damaged)
			damaged = disk.restart(crashMode{})
			damaged.files[name].data = wal.WithPayload(file.data, data, 1)
			checkOpen(t, damaged)
		}
	})
}

func checkOpen(t *testing.T, disk *memFS) {
	t.Helper()
	store, stored, err := wal.Open(options(disk))
	var corruption *wal.CorruptionError
	var identity *wal.IdentityError
	if err != nil {
		if !errors.As(err, &corruption) && !errors.As(err, &identity) {
			t.Fatalf("unnamed error: %v", err)
		}
		return
	}
	defer store.Close()
	for i, entry := range stored.Entries {
		if entry.Index != stored.Snapshot.Index+1+uint64(i) {
			t.Fatalf("entry %d at position %d after snapshot %d", entry.Index, i, stored.Snapshot.Index)
		}
	}
}
