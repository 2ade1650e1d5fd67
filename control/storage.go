package control

import "geraniumwall/raft"

// Storage keeps a replica's log. Any error ends the process.
type Storage interface {
	// Save makes a write durable.
	Save(w *raft.Write) error
	// SaveSnapshot makes a snapshot of the replica's own state durable. It may be
	// called while Save is.
	SaveSnapshot(s raft.Snapshot) error
	Close() error
}
