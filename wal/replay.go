package wal

import (
	"fmt"

	"geraniumwall/raft"
)

// replay rebuilds hard state and entries from the records.
type replay struct {
	hard    raft.HardState
	entries []raft.Entry
	// base is the index before the first entry, known after a reset. Without one
	// it is inferred from the first stored entry, as the segments before it were
	// removed.
	base         uint64
	baseKnown    bool
	baseInferred bool
}

// applyFrame takes over the records of one frame.
func (r *replay) applyFrame(payload []byte) error {
	for len(payload) > 0 {
		next, rest, err := nextRecord(payload)
		if err != nil {
			return err
		}
		if err := r.applyRecord(next); err != nil {
			return err
		}
		payload = rest
	}
	return nil
}

func (r *replay) applyRecord(next record) error {
	switch next.kind {
	case recordHardState:
		return r.applyHardState(next.data)
	case recordEntry:
		return r.applyEntry(next.data)
	case recordReset:
		return r.applyReset(next.data)
	}
	return errUnknownRecord
}

func (r *replay) applyHardState(data []byte) error {
	hard, err := raft.DecodeHardState(data)
	if err != nil {
		return err
	}
	if hard.Term < r.hard.Term {
		return fmt.Errorf("term falls from %d to %d", r.hard.Term, hard.Term)
	}
	r.hard = hard
	return nil
}

func (r *replay) applyReset(data []byte) error {
	meta, err := raft.DecodeSnapshotMeta(data)
	if err != nil {
		return err
	}
	r.entries = nil
	r.base = meta.Index
	r.baseKnown = true
	r.baseInferred = false
	return nil
}

// applyEntry appends an entry; one with an index that is stored already
// replaces it and all that follow. Below an inferred base it replaces one in a
// removed segment; fit refuses a log that then starts above the snapshot.
func (r *replay) applyEntry(data []byte) error {
	entry, err := raft.DecodeEntry(data)
	if err != nil {
		return err
	}
	if !r.baseKnown || r.baseInferred && entry.Index <= r.base {
		r.entries = nil
		r.base = entry.Index - 1
		r.baseKnown = true
		r.baseInferred = true
	}
	if entry.Index <= r.base || entry.Index > r.last()+1 {
		return fmt.Errorf("entry %d doesn't continue a log from %d to %d", entry.Index, r.base+1, r.last())
	}
	r.entries = append(r.entries[:entry.Index-r.base-1], entry)
	return nil
}

func (r *replay) last() uint64 {
	return r.base + uint64(len(r.entries))
}

// fit drops the entries that a snapshot covers. It returns true if the log must
// be reset: when a crash came between the saving of a snapshot from the leader
// and the reset that belongs to it, the entries don't reach or contradict the
// snapshot.
func (r *replay) fit(meta raft.SnapshotMeta) (bool, error) {
	if !r.baseKnown {
		r.base = meta.Index
		r.baseKnown = true
		return false, nil
	}
	if r.base > meta.Index {
		return false, fmt.Errorf("entries %d to %d are missing after the snapshot", meta.Index+1, r.base)
	}
	if r.base == meta.Index {
		return false, nil
	}
	if r.last() < meta.Index || r.entries[meta.Index-r.base-1].Term != meta.Term {
		r.entries = nil
		r.base = meta.Index
		return true, nil
	}
	r.entries = r.entries[meta.Index-r.base:]
	r.base = meta.Index
	return false, nil
}
