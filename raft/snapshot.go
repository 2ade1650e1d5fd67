package raft

// outgoingSnapshot is a snapshot being sent to a peer, one chunk at a time.
type outgoingSnapshot struct {
	snapshot Snapshot
	// offset is the count of bytes that the peer has acknowledged.
	offset int
	// progressed is true if a chunk was acknowledged since the last heartbeat
	// response.
	progressed bool
}

// incomingSnapshot collects the chunks of a snapshot.
type incomingSnapshot struct {
	meta SnapshotMeta
	from uint64
	data []byte
}

func (n *Node) startSnapshot(peer *progress) {
	assert(n.log.snapshot.Index >= n.log.base.Index, "snapshot %d is older than the log's base %d", n.log.snapshot.Index, n.log.base.Index)
	peer.probe(peer.next)
	peer.outgoing = &outgoingSnapshot{snapshot: n.log.snapshot, progressed: true}
	n.sendChunk(peer)
}

func (n *Node) sendChunk(peer *progress) {
	out := peer.outgoing
	end := min(out.offset+n.config.SnapshotChunkBytes, len(out.snapshot.Data))
	n.send(Message{
		Type: MessageSnapshot,
		To:   peer.id,
		Chunk: &SnapshotChunk{
			Meta:   out.snapshot.SnapshotMeta,
			Offset: uint64(out.offset),
			Total:  uint64(len(out.snapshot.Data)),
			Data:   out.snapshot.Data[out.offset:end:end],
		},
	})
}

// resendStalledChunk repeats a chunk if a heartbeat went by without an answer.
func (n *Node) resendStalledChunk(peer *progress) {
	if !peer.outgoing.progressed {
		n.sendChunk(peer)
	}
	peer.outgoing.progressed = false
}

// handleSnapshotResponse sends the next chunk. The end of the transfer is
// acknowledged by an AppendResponse.
func (n *Node) handleSnapshotResponse(peer *progress, m Message) {
	out := peer.outgoing
	if out == nil || m.Index != out.snapshot.Index || m.Offset > uint64(len(out.snapshot.Data)) {
		return
	}
	if m.Offset == uint64(out.offset) {
		return
	}
	out.offset = int(m.Offset)
	out.progressed = true
	n.sendChunk(peer)
}

func (n *Node) handleSnapshot(m Message) {
	chunk := m.Chunk
	if chunk == nil || chunk.Total > n.config.MaxSnapshotBytes {
		return
	}
	if chunk.Meta.Index <= n.log.commit || n.log.matches(Position{Index: chunk.Meta.Index, Term: chunk.Meta.Term}) {
		n.log.commitTo(chunk.Meta.Index)
		n.send(Message{Type: MessageAppendResponse, To: m.From, Index: n.log.commit})
		return
	}
	n.collectChunk(m)
	if uint64(len(n.incoming.data)) < chunk.Total {
		n.send(Message{
			Type:   MessageSnapshotResponse,
			To:     m.From,
			Index:  chunk.Meta.Index,
			Offset: uint64(len(n.incoming.data)),
		})
		return
	}
	n.installSnapshot(m.From)
}

// collectChunk adds a chunk that continues the data; others are dropped, and
// the response names the offset to continue at.
func (n *Node) collectChunk(m Message) {
	chunk := m.Chunk
	if n.incoming == nil || n.incoming.from != m.From || n.incoming.meta.Index != chunk.Meta.Index {
		n.incoming = &incomingSnapshot{meta: chunk.Meta, from: m.From}
	}
	size := uint64(len(n.incoming.data))
	if chunk.Offset == size && size+uint64(len(chunk.Data)) <= chunk.Total {
		n.incoming.data = append(n.incoming.data, chunk.Data...)
	}
}

func (n *Node) installSnapshot(leader uint64) {
	snapshot := Snapshot{SnapshotMeta: n.incoming.meta, Data: n.incoming.data}
	n.incoming = nil
	n.log.restore(snapshot)
	n.memberships = []membershipAt{{index: snapshot.Index, membership: snapshot.Membership}}
	n.send(Message{Type: MessageAppendResponse, To: leader, Index: snapshot.Index})
}
