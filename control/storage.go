package control

import (
	"errors"
	"fmt"

	"geraniumwall/raft"
	"geraniumwall/wal"
)

// Storage keeps a replica's log. Any error ends the process.
type Storage interface {
	// Save makes a write durable.
	Save(w *raft.Write) error
	// SaveSnapshot makes a snapshot of the replica's own state durable. It may be
	// called while Save is.
	SaveSnapshot(s raft.Snapshot) error
	Close() error
}

// OpenStorage opens the data directory of a replica. If there is none, permit is
// asked whether the replica may start without one; it then starts from the first
// membership, or empty if it isn't one of the first replicas.
func OpenStorage(s Settings, permit func() error) (Storage, raft.Stored, error) {
	options := wal.Options{Dir: s.DataDir, ReplicaID: s.ReplicaID}
	store, stored, err := wal.Open(options)
	if errors.Is(err, wal.ErrNoIdentity) {
		if err := permit(); err != nil {
			return nil, raft.Stored{}, err
		}
		if err := wal.Create(options, firstState(s)); err != nil {
			return nil, raft.Stored{}, fmt.Errorf("create data directory: %w", err)
		}
		store, stored, err = wal.Open(options)
	}
	if err != nil {
		return nil, raft.Stored{}, fmt.Errorf("open data directory: %w", err)
	}
	return store, stored, nil
}

func firstState(s Settings) raft.Stored {
	if !s.initial() {
		return raft.Stored{}
	}
	return raft.Bootstrap(s.members())
}
