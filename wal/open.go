package wal

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strings"

	"geraniumwall/raft"
)

// Open opens the directory of a replica and returns its stored state. Its
// errors are ErrNoIdentity, ErrLocked, IdentityError, VersionError,
// CorruptionError and those of the file system. A torn tail is cut off.
func Open(options Options) (*Store, raft.Stored, error) {
	options = options.withDefaults()
	names, err := options.FS.List(options.Dir)
	if err != nil {
		return nil, raft.Stored{}, fmt.Errorf("%w: %w", ErrNoIdentity, err)
	}
	if err := checkIdentity(options, names); err != nil {
		return nil, raft.Stored{}, err
	}
	lock, err := options.FS.Lock(filepath.Join(options.Dir, lockName))
	if err != nil {
		return nil, raft.Stored{}, err
	}
	store, stored, err := openLocked(options, lock)
	if err != nil {
		lock.Close()
		return nil, raft.Stored{}, err
	}
	return store, stored, nil
}

func openLocked(options Options, lock io.Closer) (*Store, raft.Stored, error) {
	names, err := options.FS.List(options.Dir)
	if err != nil {
		return nil, raft.Stored{}, err
	}
	if err := removeTemporary(options, names); err != nil {
		return nil, raft.Stored{}, err
	}
	snapshot, err := loadSnapshot(options, names)
	if err != nil {
		return nil, raft.Stored{}, err
	}
	scan, err := loadSegments(options, names)
	if err != nil {
		return nil, raft.Stored{}, err
	}
	mustReset, err := scan.replay.fit(snapshot.SnapshotMeta)
	if err != nil {
		return nil, raft.Stored{}, &CorruptionError{File: options.Dir, Reason: err.Error()}
	}
	store, err := openTail(options, scan)
	if err != nil {
		return nil, raft.Stored{}, err
	}
	store.lock = lock
	store.snapshotIndex = snapshot.Index
	stored := raft.Stored{HardState: scan.replay.hard, Snapshot: snapshot, Entries: scan.replay.entries}
	if err := store.finishOpen(mustReset, snapshot.SnapshotMeta); err != nil {
		return nil, raft.Stored{}, errors.Join(err, store.file.Close())
	}
	return store, stored, nil
}

// removeTemporary removes files whose writing was interrupted.
func removeTemporary(options Options, names []string) error {
	for _, name := range names {
		if !strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		if err := options.FS.Remove(filepath.Join(options.Dir, name)); err != nil {
			return writeError(err)
		}
	}
	return nil
}

// loadSnapshot reads the newest snapshot.
func loadSnapshot(options Options, names []string) (raft.Snapshot, error) {
	indexes := numbersOf(names, snapshotPrefix, snapshotSuffix)
	if len(indexes) == 0 {
		return raft.Snapshot{}, &CorruptionError{File: options.Dir, Reason: "there is no snapshot"}
	}
	newest := indexes[len(indexes)-1]
	path := snapshotPath(options.Dir, newest)
	data, err := options.FS.ReadFile(path)
	if err != nil {
		return raft.Snapshot{}, err
	}
	snapshot, err := decodeSnapshot(filepath.Base(path), data)
	if err != nil {
		return raft.Snapshot{}, err
	}
	if snapshot.Index != newest {
		return raft.Snapshot{}, &CorruptionError{File: filepath.Base(path), Reason: "name and content differ"}
	}
	return snapshot, nil
}

func loadSegments(options Options, names []string) (*segmentScan, error) {
	numbers := numbersOf(names, segmentPrefix, segmentSuffix)
	if len(numbers) == 0 {
		return nil, &CorruptionError{File: options.Dir, Reason: "there is no segment"}
	}
	scan := &segmentScan{replay: &replay{}}
	for i, number := range numbers {
		path := segmentPath(options.Dir, number)
		data, err := options.FS.ReadFile(path)
		if err != nil {
			return nil, err
		}
		if err := scan.scan(filepath.Base(path), number, data, i == len(numbers)-1); err != nil {
			return nil, err
		}
	}
	return scan, nil
}

// openTail opens the newest segment for appending, without its torn tail.
func openTail(options Options, scan *segmentScan) (*Store, error) {
	file, err := options.FS.Append(segmentPath(options.Dir, scan.last.number))
	if err != nil {
		return nil, writeError(err)
	}
	if scan.torn {
		if err := cutTail(file, scan.tail); err != nil {
			return nil, errors.Join(err, file.Close())
		}
	}
	return &Store{
		options:  options,
		file:     file,
		header:   scan.last,
		size:     scan.tail,
		sequence: scan.sequence,
		segments: scan.segments,
		hard:     scan.replay.hard,
		last:     scan.replay.last(),
	}, nil
}

func cutTail(file File, size int64) error {
	if err := file.Truncate(size); err != nil {
		return writeError(err)
	}
	if err := file.Sync(); err != nil {
		return syncError(err)
	}
	return nil
}
