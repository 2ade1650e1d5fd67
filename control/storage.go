package control

import (
	"errors"
	"fmt"

	"geraniumwall/raft"
	"geraniumwall/replicate"
	"geraniumwall/wal"
)

// OpenStorage opens the data directory of a replica. If there is none, permit is
// asked whether the replica may start without one; it then starts from the first
// membership, or empty if it isn't one of the first replicas.
func OpenStorage(s Settings, permit func() error) (replicate.Storage, raft.Stored, error) {
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
