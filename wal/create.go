package wal

import (
	"crypto/rand"
	"encoding/binary"
	"path/filepath"
	"slices"

	"geraniumwall/raft"
)

// DefaultSegmentBytes is the size at which a new segment is started.
const DefaultSegmentBytes = 16 << 20

// Options configure a store.
type Options struct {
	// Dir is the directory, used by this store alone.
	Dir string
	// ReplicaID must be the one the directory was created with.
	ReplicaID uint64
	// FS is the file system; nil stands for OSFS.
	FS FS
	// SegmentBytes is the size at which a new segment is started; 0 stands for
	// DefaultSegmentBytes.
	SegmentBytes int64
}

func (o Options) withDefaults() Options {
	if o.FS == nil {
		o.FS = OSFS{}
	}
	o.FS = waitingFS{o.FS}
	if o.SegmentBytes == 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	return o
}

// Create prepares an empty directory for a new replica with the state it starts
// from: raft.Bootstrap for one of the first replicas, else an empty one. A
// creation that a crash interrupted may be repeated. It returns ErrExists if the
// directory holds anything else.
func Create(options Options, stored raft.Stored) error {
	options = options.withDefaults()
	fs := options.FS
	if err := fs.MakeDir(options.Dir); err != nil {
		return writeError(err)
	}
	lock, err := fs.Lock(filepath.Join(options.Dir, lockName))
	if err != nil {
		return err
	}
	defer lock.Close()
	if err := clearInterrupted(options); err != nil {
		return err
	}
	identity := filepath.Join(options.Dir, identityName)
	if err := writeTemporary(fs, identity+temporarySuffix, encodeIdentity(options.ReplicaID)); err != nil {
		return err
	}
	if err := syncDir(fs, identity); err != nil {
		return err
	}
	if err := createFiles(options, stored); err != nil {
		return err
	}
	if err := fs.Rename(identity+temporarySuffix, identity); err != nil {
		return writeError(err)
	}
	return syncDir(fs, identity)
}

func createFiles(options Options, stored raft.Stored) error {
	path := snapshotPath(options.Dir, stored.Snapshot.Index)
	if err := writeFile(options.FS, path, encodeSnapshot(stored.Snapshot)); err != nil {
		return err
	}
	records := []record{hardStateRecord(stored.HardState), resetRecord(stored.Snapshot.SnapshotMeta)}
	for _, entry := range stored.Entries {
		records = append(records, entryRecord(entry))
	}
	_, err := createSegment(options, segmentHeader{number: 1}, records)
	return err
}

// clearInterrupted removes the files of an unfinished creation.
func clearInterrupted(options Options) error {
	names, err := options.FS.List(options.Dir)
	if err != nil {
		return writeError(err)
	}
	names = slices.DeleteFunc(names, func(name string) bool { return name == lockName })
	unfinished := slices.Contains(names, identityName+temporarySuffix)
	if len(names) > 0 && (!unfinished || slices.Contains(names, identityName)) {
		return ErrExists
	}
	for _, name := range names {
		if name == identityName+temporarySuffix {
			continue
		}
		if err := options.FS.Remove(filepath.Join(options.Dir, name)); err != nil {
			return writeError(err)
		}
	}
	return nil
}

// createdSegment is a new segment, open for appending.
type createdSegment struct {
	header segmentHeader
	file   File
	size   int64
}

// createSegment makes a segment with one frame durable and opens it.
func createSegment(options Options, header segmentHeader, records []record) (createdSegment, error) {
	var salt [8]byte
	if _, err := rand.Read(salt[:]); err != nil {
		return createdSegment{}, writeError(err)
	}
	header.salt = binary.LittleEndian.Uint64(salt[:])
	data := appendSegmentHeader(nil, header)
	data = appendFrame(data, header.salt, frame{sequence: header.firstSequence, payload: payloadOf(records)})
	path := segmentPath(options.Dir, header.number)
	if err := writeFile(options.FS, path, data); err != nil {
		return createdSegment{}, err
	}
	file, err := options.FS.Append(path)
	if err != nil {
		return createdSegment{}, writeError(err)
	}
	return createdSegment{header: header, file: file, size: int64(len(data))}, nil
}

func payloadOf(records []record) []byte {
	var payload []byte
	for _, r := range records {
		payload = appendRecord(payload, r)
	}
	return payload
}
