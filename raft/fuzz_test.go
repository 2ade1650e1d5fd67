package raft_test

import (
	"bytes"
	"testing"

	"geraniumwall/raft"
)

// FuzzDecoders guards against panics of the decoders on bytes from other hosts
// or from disk, and against values that change when they are encoded again.
func FuzzDecoders(f *testing.F) {
	membership := raft.Membership{Members: []raft.Member{{ID: 1, Address: "a", Domain: "d"}, {ID: 4, Learner: true}}}
	meta := raft.SnapshotMeta{Index: 9, Term: 3, Membership: membership}
	entry := raft.Entry{Index: 4, Term: 2, Kind: raft.EntryMembership, Data: raft.EncodeMembership(membership)}
	f.Add(raft.EncodeMessage(raft.Message{
		Type:    raft.MessageSnapshot,
		From:    1,
		To:      2,
		Entries: []raft.Entry{entry, {Index: 5, Term: 2, Data: []byte("x")}},
		Chunk:   &raft.SnapshotChunk{Meta: meta, Total: 7, Data: []byte("data")},
	}))
	f.Add(raft.EncodeEntry(entry))
	f.Add(raft.EncodeHardState(raft.HardState{Term: 1, Vote: 2, Commit: 3}))
	f.Add(raft.EncodeMembership(membership))
	f.Add(raft.EncodeSnapshotMeta(meta))
	f.Fuzz(func(t *testing.T, data []byte) {
		checkCodec(t, data, raft.DecodeMessage, raft.EncodeMessage)
		checkCodec(t, data, raft.DecodeEntry, raft.EncodeEntry)
		checkCodec(t, data, raft.DecodeHardState, raft.EncodeHardState)
		checkCodec(t, data, raft.DecodeMembership, raft.EncodeMembership)
		checkCodec(t, data, raft.DecodeSnapshotMeta, raft.EncodeSnapshotMeta)
	})
}

func checkCodec[T any](t *testing.T, data []byte, decode func([]byte) (T, error), encode func(T) []byte) {
	t.Helper()
	value, err := decode(data)
	if err != nil {
		return
	}
	encoded := encode(value)
	again, err := decode(encoded)
	if err != nil {
		t.Fatalf("%T doesn't decode again: %v", value, err)
	}
	if !bytes.Equal(encoded, encode(again)) {
		t.Fatalf("%T changes when it is encoded again", value)
	}
}
