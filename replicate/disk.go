// Package replicate runs a raft node: it sends messages between replicas, writes
// the log to disk on a separate goroutine and applies committed entries to a
// state machine.
//
// The control thread is the single goroutine on which the owner of a Replica
// calls its methods and runs its callbacks.
package replicate

import (
	"fmt"

	"geraniumwall/raft"
)

// Storage persists the log and the snapshots of a replica. Every error is fatal to
// the process.
type Storage interface {
	// Save returns once the write is durable.
	Save(w *raft.Write) error
	// SaveSnapshot returns once a snapshot of the local state machine is durable.
	// It may be called concurrently with Save.
	SaveSnapshot(s raft.Snapshot) error
	Close() error
}

// DiskQueue performs log writes on a goroutine of its own, so that they do not
// block the control thread.
type DiskQueue struct {
	writes chan *raft.Write
	done   chan struct{}
}

// NewDiskQueue starts the writer goroutine. It calls onWritten after each write.
// The first error is passed to onError and stops the goroutine.
func NewDiskQueue(storage Storage, onWritten func(*raft.Write), onError func(error)) *DiskQueue {
	// A raft node has at most one write outstanding.
	q := &DiskQueue{writes: make(chan *raft.Write, 1), done: make(chan struct{})}
	go func() {
		defer close(q.done)
		for w := range q.writes {
			if err := storage.Save(w); err != nil {
				onError(fmt.Errorf("save the log: %w", err))
				return
			}
			onWritten(w)
		}
	}()
	return q
}

// Save queues a write.
func (q *DiskQueue) Save(w *raft.Write) { q.writes <- w }

// Close waits for the queued write and stops the goroutine.
func (q *DiskQueue) Close() {
	close(q.writes)
	<-q.done
}
