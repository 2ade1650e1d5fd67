// Package replicate drives package raft: it carries messages between replicas and
// writes to the disk outside of the control thread, and applies what is committed
// to a state machine.
package replicate

import (
	"fmt"

	"geraniumwall/raft"
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

// DiskQueue carries out the writes of the log outside of the control thread.
type DiskQueue struct {
	writes chan *raft.Write
	done   chan struct{}
}

// NewDiskQueue starts the writer. written is called after each write, fatal with
// the first error, after which nothing is written any more.
func NewDiskQueue(storage Storage, written func(*raft.Write), fatal func(error)) *DiskQueue {
	// The log has one write outstanding at a time.
	q := &DiskQueue{writes: make(chan *raft.Write, 1), done: make(chan struct{})}
	go func() {
		defer close(q.done)
		for w := range q.writes {
			if err := storage.Save(w); err != nil {
				fatal(fmt.Errorf("save the log: %w", err))
				return
			}
			written(w)
		}
	}()
	return q
}

// Save queues the outstanding write.
func (q *DiskQueue) Save(w *raft.Write) { q.writes <- w }

// Close waits for the write in progress.
func (q *DiskQueue) Close() {
	close(q.writes)
	<-q.done
}
