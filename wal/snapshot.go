package wal

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"path/filepath"

	"geraniumwall/raft"
)

// A snapshot file is magic, checksum of the rest, length of the description,
// description, data.
const (
	snapshotMagic      = 0x4e534e47
	snapshotHeaderSize = 4 + 4 + 4
)

func encodeSnapshot(snapshot raft.Snapshot) []byte {
	meta := raft.EncodeSnapshotMeta(snapshot.SnapshotMeta)
	out := make([]byte, snapshotHeaderSize, snapshotHeaderSize+len(meta)+len(snapshot.Data))
	binary.LittleEndian.PutUint32(out, snapshotMagic)
	binary.LittleEndian.PutUint32(out[8:], uint32(len(meta)))
	out = append(out, meta...)
	out = append(out, snapshot.Data...)
	binary.LittleEndian.PutUint32(out[4:], crc32.Checksum(out[8:], castagnoli))
	return out
}

// decodeSnapshot parses a snapshot file. Its error is a CorruptionError.
func decodeSnapshot(name string, data []byte) (raft.Snapshot, error) {
	if len(data) < snapshotHeaderSize || binary.LittleEndian.Uint32(data) != snapshotMagic {
		return raft.Snapshot{}, &CorruptionError{File: name, Reason: "the header is damaged"}
	}
	if crc32.Checksum(data[8:], castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return raft.Snapshot{}, &CorruptionError{File: name, Reason: "the checksum doesn't match"}
	}
	length := binary.LittleEndian.Uint32(data[8:])
	body := data[snapshotHeaderSize:]
	if uint64(length) > uint64(len(body)) {
		return raft.Snapshot{}, &CorruptionError{File: name, Reason: "the description is cut short"}
	}
	meta, err := raft.DecodeSnapshotMeta(body[:length])
	if err != nil {
		return raft.Snapshot{}, &CorruptionError{File: name, Reason: err.Error()}
	}
	return raft.Snapshot{SnapshotMeta: meta, Data: body[length:]}, nil
}

// writeFile makes a file durable under its name as a whole or not at all.
func writeFile(fs FS, path string, data []byte) error {
	temporary := path + temporarySuffix
	if err := writeTemporary(fs, temporary, data); err != nil {
		return err
	}
	if err := fs.Rename(temporary, path); err != nil {
		return writeError(err)
	}
	return syncDir(fs, path)
}

func writeTemporary(fs FS, path string, data []byte) error {
	file, err := fs.Create(path)
	if err != nil {
		return writeError(err)
	}
	if _, err := file.Write(data); err != nil {
		return errors.Join(writeError(err), file.Close())
	}
	if err := file.Sync(); err != nil {
		return errors.Join(syncError(err), file.Close())
	}
	if err := file.Close(); err != nil {
		return writeError(err)
	}
	return nil
}

// syncDir makes the directory entry of a file durable.
func syncDir(fs FS, path string) error {
	if err := fs.SyncDir(filepath.Dir(path)); err != nil {
		return syncError(err)
	}
	return nil
}
