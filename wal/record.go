package wal

import (
	"encoding/binary"
	"errors"

	"geraniumwall/raft"
)

// recordKind tells what a record in a frame means.
type recordKind uint8

const (
	recordHardState recordKind = iota + 1
	recordEntry
	// recordReset removes all entries; the next one follows its snapshot.
	recordReset
)

var (
	errShortRecord   = errors.New("record is cut short")
	errUnknownRecord = errors.New("record of unknown kind")
)

// record is a part of a frame's payload: kind, length, data.
type record struct {
	kind recordKind
	data []byte
}

func appendRecord(out []byte, r record) []byte {
	out = append(out, byte(r.kind))
	out = binary.AppendUvarint(out, uint64(len(r.data)))
	return append(out, r.data...)
}

// nextRecord reads the first record and returns the remaining payload.
func nextRecord(payload []byte) (record, []byte, error) {
	length, size := binary.Uvarint(payload[1:])
	if size <= 0 {
		return record{}, nil, errShortRecord
	}
	rest := payload[1+size:]
	if length > uint64(len(rest)) {
		return record{}, nil, errShortRecord
	}
	return record{kind: recordKind(payload[0]), data: rest[:length]}, rest[length:], nil
}

func hardStateRecord(h raft.HardState) record {
	return record{kind: recordHardState, data: raft.EncodeHardState(h)}
}

func resetRecord(meta raft.SnapshotMeta) record {
	position := raft.SnapshotMeta{Index: meta.Index, Term: meta.Term}
	return record{kind: recordReset, data: raft.EncodeSnapshotMeta(position)}
}

func entryRecord(entry raft.Entry) record {
	return record{kind: recordEntry, data: raft.EncodeEntry(entry)}
}
