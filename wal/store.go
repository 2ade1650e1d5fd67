package wal

import (
	"errors"
	"fmt"
	"io"
	"sync"

	"geraniumwall/raft"
)

// Store is an open directory. Save and SaveSnapshot may be called concurrently.
type Store struct {
	options Options
	lock    io.Closer

	mutex    sync.Mutex
	file     File
	header   segmentHeader
	size     int64
	sequence uint64
	// segments are the stored ones in order; the last one is written to.
	segments []segment
	hard     raft.HardState
	// last is the index of the last entry, or of the snapshot it would follow.
	last          uint64
	snapshotIndex uint64
	// failed is the first failure, after which nothing is written any more.
	failed error
}

// finishOpen completes what a crash has interrupted.
func (s *Store) finishOpen(mustReset bool, meta raft.SnapshotMeta) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if mustReset {
		s.last = meta.Index
		if err := s.append([]record{resetRecord(meta)}); err != nil {
			return err
		}
	}
	return s.removeCovered()
}

// Save makes a write durable, with one sync unless it has a snapshot. Its errors
// are ErrInvalidWrite, ErrDiskFull, ErrSyncFailed, ErrWriteFailed and ErrDead;
// after any other than ErrInvalidWrite the process has to end.
func (s *Store) Save(w *raft.Write) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.failed != nil {
		return fmt.Errorf("%w: %w", ErrDead, s.failed)
	}
	if err := s.checkWrite(w); err != nil {
		return err
	}
	if err := s.save(w); err != nil {
		s.failed = err
		return err
	}
	return nil
}

func (s *Store) checkWrite(w *raft.Write) error {
	last := s.last
	if w.Snapshot != nil {
		last = w.Snapshot.Index
		if last <= s.snapshotIndex {
			return fmt.Errorf("%w: snapshot %d after snapshot %d", ErrInvalidWrite, last, s.snapshotIndex)
		}
	}
	if len(w.Entries) > 0 && (w.Entries[0].Index > last+1 || w.Entries[0].Index <= s.snapshotIndex) {
		return fmt.Errorf("%w: entry %d, log ends at %d, snapshot at %d", ErrInvalidWrite, w.Entries[0].Index, last, s.snapshotIndex)
	}
	if w.HardState.Term < s.hard.Term {
		return fmt.Errorf("%w: term %d after term %d", ErrInvalidWrite, w.HardState.Term, s.hard.Term)
	}
	return nil
}

func (s *Store) save(w *raft.Write) error {
	if w.Snapshot != nil {
		if err := s.saveReceived(w); err != nil {
			return err
		}
	}
	records := make([]record, 0, len(w.Entries)+2)
	records = append(records, hardStateRecord(w.HardState))
	if w.Snapshot != nil {
		records = append(records, resetRecord(w.Snapshot.SnapshotMeta))
		s.last = w.Snapshot.Index
	}
	for _, entry := range w.Entries {
		records = append(records, entryRecord(entry))
		s.last = entry.Index
	}
	s.hard = w.HardState
	if err := s.append(records); err != nil {
		return err
	}
	if w.Snapshot == nil {
		return nil
	}
	s.snapshotIndex = w.Snapshot.Index
	return s.removeCovered()
}

// saveReceived saves a snapshot from the leader before the log is reset. The
// term comes first, since a stored snapshot must not have a higher one than the
// hard state. The commit index stays: the entries still stored may differ from
// the committed ones.
func (s *Store) saveReceived(w *raft.Write) error {
	early := w.HardState
	early.Commit = s.hard.Commit
	// A segment that the append starts begins with s.hard.
	s.hard = early
	if err := s.append([]record{hardStateRecord(early)}); err != nil {
		return err
	}
	return writeFile(s.options.FS, snapshotPath(s.options.Dir, w.Snapshot.Index), encodeSnapshot(*w.Snapshot))
}

// append writes one frame and syncs it.
func (s *Store) append(records []record) error {
	payload := payloadOf(records)
	if len(payload) > maxPayload {
		return fmt.Errorf("%w: %d bytes in one write", ErrInvalidWrite, len(payload))
	}
	data := appendFrame(nil, s.header.salt, frame{sequence: s.sequence, payload: payload})
	if _, err := s.file.Write(data); err != nil {
		return writeError(err)
	}
	if err := s.file.Sync(); err != nil {
		return syncError(err)
	}
	s.sequence++
	s.size += int64(len(data))
	current := &s.segments[len(s.segments)-1]
	current.lastIndex = max(current.lastIndex, s.last)
	if s.size >= s.options.SegmentBytes {
		return s.roll()
	}
	return nil
}

// roll starts a new segment. It begins with the hard state, so that the earlier
// ones can be removed.
func (s *Store) roll() error {
	header := segmentHeader{number: s.header.number + 1, firstSequence: s.sequence}
	created, err := createSegment(s.options, header, []record{hardStateRecord(s.hard)})
	if err != nil {
		return err
	}
	if err := s.file.Close(); err != nil {
		return errors.Join(writeError(err), created.file.Close())
	}
	s.file = created.file
	s.header = created.header
	s.size = created.size
	s.sequence++
	s.segments = append(s.segments, segment{number: header.number})
	return nil
}

// SaveSnapshot makes a snapshot of the replica's own state durable and removes
// the files it supersedes. Saves may go on meanwhile. Its errors are those of
// Save.
func (s *Store) SaveSnapshot(snapshot raft.Snapshot) error {
	if err := s.dead(); err != nil {
		return err
	}
	path := snapshotPath(s.options.Dir, snapshot.Index)
	err := writeFile(s.options.FS, path, encodeSnapshot(snapshot))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err == nil {
		s.snapshotIndex = max(s.snapshotIndex, snapshot.Index)
		err = s.removeCovered()
	}
	if err != nil && s.failed == nil {
		s.failed = err
	}
	return err
}

func (s *Store) dead() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.failed != nil {
		return fmt.Errorf("%w: %w", ErrDead, s.failed)
	}
	return nil
}

// removeCovered removes the segments and snapshots that the newest snapshot
// supersedes.
func (s *Store) removeCovered() error {
	for len(s.segments) > 1 && s.segments[0].lastIndex <= s.snapshotIndex {
		// The directory is synced after each removal: a crash must not bring
		// back a segment without the one that follows it.
		if err := s.removeFile(segmentPath(s.options.Dir, s.segments[0].number)); err != nil {
			return err
		}
		s.segments = s.segments[1:]
	}
	names, err := s.options.FS.List(s.options.Dir)
	if err != nil {
		return writeError(err)
	}
	for _, index := range numbersOf(names, snapshotPrefix, snapshotSuffix) {
		if index >= s.snapshotIndex {
			continue
		}
		if err := s.removeFile(snapshotPath(s.options.Dir, index)); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) removeFile(path string) error {
	if err := s.options.FS.Remove(path); err != nil {
		return writeError(err)
	}
	return syncDir(s.options.FS, path)
}

// Close releases the directory. It syncs nothing: all saved writes are durable.
func (s *Store) Close() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failed = ErrDead
	err := s.file.Close()
	return errors.Join(err, s.lock.Close())
}
