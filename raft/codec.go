package raft

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"geraniumwall/raft/raftpb"
)

// ErrDecode is wrapped by the errors of all decoders in this package.
var ErrDecode = errors.New("raft: malformed encoding; check that sender and receiver run the same version")

func encode(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	assert(err == nil, "encoding fails: %v", err)
	return data
}

func decode(data []byte, into proto.Message) error {
	if err := proto.Unmarshal(data, into); err != nil {
		return fmt.Errorf("%w: %w", ErrDecode, err)
	}
	return nil
}

// EncodeMessage returns the binary form of a message.
func EncodeMessage(m Message) []byte {
	out := &raftpb.Message{
		Type:      uint32(m.Type),
		From:      m.From,
		To:        m.To,
		Term:      m.Term,
		Index:     m.Index,
		LogTerm:   m.LogTerm,
		Commit:    m.Commit,
		Entries:   entriesToProto(m.Entries),
		Reject:    m.Reject,
		HintIndex: m.HintIndex,
		HintTerm:  m.HintTerm,
		Round:     m.Round,
		Transfer:  m.Transfer,
		Offset:    m.Offset,
		Leaving:   m.Leaving,
	}
	if m.Chunk != nil {
		out.Chunk = &raftpb.SnapshotChunk{
			Meta:   metaToProto(m.Chunk.Meta),
			Offset: m.Chunk.Offset,
			Total:  m.Chunk.Total,
			Data:   m.Chunk.Data,
		}
	}
	return encode(out)
}

// DecodeMessage parses a message; its error wraps ErrDecode.
func DecodeMessage(data []byte) (Message, error) {
	in := &raftpb.Message{}
	if err := decode(data, in); err != nil {
		return Message{}, err
	}
	if in.Type == 0 || in.Type > uint32(lastMessageType) {
		return Message{}, fmt.Errorf("%w: unknown message type %d", ErrDecode, in.Type)
	}
	entries, err := entriesFromProto(in.Entries)
	if err != nil {
		return Message{}, err
	}
	m := Message{
		Type:      MessageType(in.Type),
		From:      in.From,
		To:        in.To,
		Term:      in.Term,
		Index:     in.Index,
		LogTerm:   in.LogTerm,
		Commit:    in.Commit,
		Entries:   entries,
		Reject:    in.Reject,
		HintIndex: in.HintIndex,
		HintTerm:  in.HintTerm,
		Round:     in.Round,
		Transfer:  in.Transfer,
		Offset:    in.Offset,
		Leaving:   in.Leaving,
	}
	if in.Chunk != nil {
		meta, err := metaFromProto(in.Chunk.Meta)
		if err != nil {
			return Message{}, err
		}
		m.Chunk = &SnapshotChunk{Meta: meta, Offset: in.Chunk.Offset, Total: in.Chunk.Total, Data: in.Chunk.Data}
	}
	return m, nil
}

func entriesToProto(entries []Entry) []*raftpb.Entry {
	if len(entries) == 0 {
		return nil
	}
	values := make([]raftpb.Entry, len(entries))
	out := make([]*raftpb.Entry, len(entries))
	for i, entry := range entries {
		values[i].Index = entry.Index
		values[i].Term = entry.Term
		values[i].Kind = uint32(entry.Kind)
		values[i].Data = entry.Data
		out[i] = &values[i]
	}
	return out
}

func entriesFromProto(in []*raftpb.Entry) ([]Entry, error) {
	if len(in) == 0 {
		return nil, nil
	}
	entries := make([]Entry, len(in))
	for i, entry := range in {
		if entry.Kind > uint32(EntryMembership) {
			return nil, fmt.Errorf("%w: unknown entry kind %d", ErrDecode, entry.Kind)
		}
		entries[i] = Entry{Index: entry.Index, Term: entry.Term, Kind: EntryKind(entry.Kind), Data: entry.Data}
		if entries[i].Kind != EntryMembership {
			continue
		}
		if _, err := DecodeMembership(entry.Data); err != nil {
			return nil, err
		}
	}
	return entries, nil
}

// EncodeEntry returns the binary form of an entry.
func EncodeEntry(entry Entry) []byte {
	return encode(entriesToProto([]Entry{entry})[0])
}

// DecodeEntry parses an entry; its error wraps ErrDecode.
func DecodeEntry(data []byte) (Entry, error) {
	in := &raftpb.Entry{}
	if err := decode(data, in); err != nil {
		return Entry{}, err
	}
	entries, err := entriesFromProto([]*raftpb.Entry{in})
	if err != nil {
		return Entry{}, err
	}
	return entries[0], nil
}

// EncodeHardState returns the binary form of a hard state.
func EncodeHardState(h HardState) []byte {
	return encode(&raftpb.HardState{Term: h.Term, Vote: h.Vote, Commit: h.Commit})
}

// DecodeHardState parses a hard state; its error wraps ErrDecode.
func DecodeHardState(data []byte) (HardState, error) {
	in := &raftpb.HardState{}
	if err := decode(data, in); err != nil {
		return HardState{}, err
	}
	return HardState{Term: in.Term, Vote: in.Vote, Commit: in.Commit}, nil
}

// EncodeMembership returns the binary form of a membership.
func EncodeMembership(m Membership) []byte {
	return encode(membershipToProto(m))
}

// DecodeMembership parses a membership; its error wraps ErrDecode.
func DecodeMembership(data []byte) (Membership, error) {
	in := &raftpb.Membership{}
	if err := decode(data, in); err != nil {
		return Membership{}, err
	}
	return membershipFromProto(in)
}

func membershipToProto(m Membership) *raftpb.Membership {
	out := &raftpb.Membership{HighestId: m.HighestID}
	for _, member := range m.Members {
		out.Members = append(out.Members, &raftpb.Member{
			Id:            member.ID,
			Learner:       member.Learner,
			Address:       member.Address,
			Domain:        member.Domain,
			Leaving:       member.Leaving,
			SilentSinceId: member.SilentSinceID,
			Surplus:       member.Surplus,
			SilentSeconds: member.SilentSeconds,
			FirstId:       member.FirstID,
		})
	}
	return out
}

func membershipFromProto(in *raftpb.Membership) (Membership, error) {
	m := Membership{HighestID: in.GetHighestId()}
	previous := uint64(0)
	for _, member := range in.GetMembers() {
		if member.Id <= previous {
			return Membership{}, fmt.Errorf("%w: member ids are not ascending", ErrDecode)
		}
		previous = member.Id
		m.Members = append(m.Members, Member{
			ID: member.Id, Learner: member.Learner, Address: member.Address, Domain: member.Domain,
			Leaving: member.Leaving, SilentSinceID: member.SilentSinceId, Surplus: member.Surplus,
			SilentSeconds: member.SilentSeconds, FirstID: member.FirstId,
		})
	}
	return m, nil
}

// EncodeSnapshotMeta returns the binary form of a snapshot's description.
func EncodeSnapshotMeta(meta SnapshotMeta) []byte {
	return encode(metaToProto(meta))
}

// DecodeSnapshotMeta parses a snapshot's description; its error wraps ErrDecode.
func DecodeSnapshotMeta(data []byte) (SnapshotMeta, error) {
	in := &raftpb.SnapshotMeta{}
	if err := decode(data, in); err != nil {
		return SnapshotMeta{}, err
	}
	return metaFromProto(in)
}

func metaToProto(meta SnapshotMeta) *raftpb.SnapshotMeta {
	return &raftpb.SnapshotMeta{Index: meta.Index, Term: meta.Term, Membership: membershipToProto(meta.Membership)}
}

func metaFromProto(in *raftpb.SnapshotMeta) (SnapshotMeta, error) {
	membership, err := membershipFromProto(in.GetMembership())
	if err != nil {
		return SnapshotMeta{}, err
	}
	return SnapshotMeta{Index: in.GetIndex(), Term: in.GetTerm(), Membership: membership}, nil
}
