package control

import (
	"fmt"

	"geraniumwall/raft"
	"geraniumwall/state"
)

const (
	// DefaultSnapshotEntries and snapshotBytes bound the log behind a snapshot, and
	// with it the time of a restart and the use of the disk.
	DefaultSnapshotEntries = 20_000
	snapshotBytes          = 32 << 20
	// recordsPerEntry makes snapshots of a large state rarer, so that writing them
	// stays a small part of the disk's work.
	recordsPerEntry = 4
)

// snapshotting decides when a snapshot is due.
type snapshotting struct {
	entries int
	bytes   int
	busy    bool
}

func (s *snapshotting) add(bytes int) {
	s.entries++
	s.bytes += bytes
}

func (s *snapshotting) reset() { s.entries, s.bytes = 0, 0 }

func (s *snapshotting) due(entries int) bool {
	return !s.busy && (s.entries >= entries || s.bytes >= snapshotBytes)
}

// considerSnapshot captures the state when a snapshot is due and encodes it
// outside of the actor.
func (r *replica) considerSnapshot() {
	if !r.snapshots.due(max(r.options.SnapshotEntries, r.machine.Records()/recordsPerEntry)) {
		return
	}
	r.snapshots.busy = true
	r.snapshots.reset()
	c := r.machine.Capture()
	go r.encode(c)
}

func (r *replica) encode(c state.Capture) {
	data, err := c.Encode()
	if err != nil {
		r.options.Fatal(err)
		return
	}
	r.self(&encoded{c.Index(), data})
}

// saveSnapshot writes an encoded snapshot. One that a snapshot of the leader has
// overtaken is dropped.
func (r *replica) saveSnapshot(m *encoded) {
	snapshot, err := r.node.MakeSnapshot(m.index, m.data)
	if err != nil {
		r.snapshots.busy = false
		r.log.Info().Err(err).Msg("snapshot is dropped")
		return
	}
	go func() {
		if err := r.options.Storage.SaveSnapshot(snapshot); err != nil {
			r.options.Fatal(fmt.Errorf("save snapshot: %w", err))
			return
		}
		r.self(&snapshotSaved{snapshot})
	}()
}

func (r *replica) compact(s raft.Snapshot) {
	r.snapshots.busy = false
	if err := r.node.Compact(s); err != nil {
		r.log.Info().Err(err).Msg("log is not compacted")
	}
}
