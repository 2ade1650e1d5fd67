package raft

// MessageType tells what a message asks or answers.
type MessageType uint8

// Types of messages.
const (
	MessagePreVote MessageType = iota + 1
	MessagePreVoteResponse
	MessageVote
	MessageVoteResponse
	MessageAppend
	MessageAppendResponse
	MessageHeartbeat
	MessageHeartbeatResponse
	MessageSnapshot
	MessageSnapshotResponse
	MessageTimeoutNow
	lastMessageType = MessageTimeoutNow
)

// Message goes from one replica to another. Messages may be lost, duplicated,
// delayed and reordered.
type Message struct {
	Type MessageType
	From uint64
	To   uint64
	// Term is the sender's; in PreVote and a granted PreVoteResponse it is the
	// term that the candidate would enter.
	Term uint64
	// Index and LogTerm: the last entry of a candidate, the entry before the
	// appended ones, or in responses the acknowledged or rejected entry.
	Index   uint64
	LogTerm uint64
	Commit  uint64
	// Entries are those to append. A request for votes, and a heartbeat to a replica that has
	// not answered in this term, has the sender's membership: the receiver may not know yet
	// to which address it has to answer.
	Entries []Entry
	Reject  bool
	// HintIndex and HintTerm name the entry at which a follower's log may match.
	HintIndex uint64
	HintTerm  uint64
	// Round numbers heartbeat rounds; a response returns it.
	Round uint64
	// Transfer marks a vote requested on the leader's order.
	Transfer bool
	Chunk    *SnapshotChunk
	// Offset is the count of snapshot bytes received, in a SnapshotResponse.
	Offset uint64
	// Leaving is true if the sender's process is stopping.
	Leaving bool
}

// SnapshotChunk is a part of a snapshot's data.
type SnapshotChunk struct {
	Meta   SnapshotMeta
	Offset uint64
	// Total is the size of the whole data in bytes.
	Total uint64
	Data  []byte
}

// fromLeader reports whether only the leader of the term sends the message.
func (m Message) fromLeader() bool {
	switch m.Type {
	case MessageAppend, MessageHeartbeat, MessageSnapshot, MessageTimeoutNow:
		return true
	}
	return false
}

// dependsOnWrite reports whether the message tells others about something that the
// sender must still know after a crash.
func (m Message) dependsOnWrite() bool {
	switch m.Type {
	case MessageVote, MessageVoteResponse, MessageAppendResponse, MessageSnapshotResponse:
		return true
	}
	return false
}
