package raft

import (
	"slices"
	"time"
)

// leadership is the state of a leader in its term.
type leadership struct {
	peers map[uint64]*progress
	// firstIndex is the empty entry with which the term began.
	firstIndex    uint64
	lastHeartbeat time.Duration
	quorumCheck   time.Duration
	uncommitted   int
	reads         readQueue
	transferee    uint64
	transferStart time.Duration
}

func (n *Node) becomeLeader() {
	assert(n.role == RoleCandidate, "%v becomes leader", n.role)
	n.role = RoleLeader
	n.leader = n.config.ID
	n.votes, n.answers = nil, nil
	n.lead = &leadership{
		peers:       map[uint64]*progress{},
		firstIndex:  n.log.last().Index + 1,
		quorumCheck: n.now,
	}
	n.appendOwn(EntryEmpty, nil)
	n.updatePeers()
	if previous := n.lead.peers[n.lastLeader]; previous != nil {
		previous.contact = n.lastLeaderContact
	}
	n.sendHeartbeats()
}

// updatePeers makes the set of peers follow the membership. New peers are
// probed at the last entry, which the leader has just appended.
func (n *Node) updatePeers() {
	membership := n.membership()
	for _, member := range membership.Members {
		if member.ID == n.config.ID || n.lead.peers[member.ID] != nil {
			continue
		}
		peer := &progress{id: member.ID, contact: n.now}
		peer.probe(n.log.last().Index)
		n.lead.peers[member.ID] = peer
	}
	for id := range n.lead.peers {
		if _, found := membership.Find(id); !found {
			delete(n.lead.peers, id)
		}
	}
}

// orderedPeers returns the peers by id, so that equal inputs give equal outputs.
func (n *Node) orderedPeers() []*progress {
	peers := make([]*progress, 0, len(n.lead.peers))
	for _, member := range n.membership().Members {
		if peer := n.lead.peers[member.ID]; peer != nil {
			peers = append(peers, peer)
		}
	}
	return peers
}

func (n *Node) peerStatus() []PeerStatus {
	var peers []PeerStatus
	for _, peer := range n.orderedPeers() {
		peers = append(peers, PeerStatus{
			ID:       peer.id,
			Match:    peer.match,
			Active:   n.isActive(peer),
			Answered: peer.answered,
			Leaving:  peer.leaving,
			Silence:  n.now - peer.contact,
			Contact:  n.contactTime(peer),
			CaughtUp: n.isCaughtUp(peer),
			Snapshot: peer.outgoing != nil,
		})
	}
	return peers
}

func (n *Node) isActive(peer *progress) bool {
	return n.now-peer.contact < n.config.ElectionTimeout
}

// contactTime returns how long a peer that answers has done so without a gap of an election
// timeout, up to its last answer.
func (n *Node) contactTime(peer *progress) time.Duration {
	if !peer.answered || !n.isActive(peer) {
		return 0
	}
	return peer.contact - peer.contactSince
}

// isCaughtUp reports whether a peer is in contact and has nearly all entries. One that has
// acknowledged nothing may not have started, however short the log is.
func (n *Node) isCaughtUp(peer *progress) bool {
	return peer.match != 0 && n.isActive(peer) && peer.match+n.config.PromotionLag >= n.log.last().Index
}

// Propose appends a command. The data must not be modified afterwards. Its
// errors are ErrNotLeader, ErrTransferring and ErrOverloaded; after any of them
// nothing has been appended.
func (n *Node) Propose(data []byte) (Position, error) {
	if n.role != RoleLeader {
		return Position{}, ErrNotLeader
	}
	if n.lead.transferee != 0 {
		return Position{}, ErrTransferring
	}
	if n.lead.uncommitted > 0 && n.lead.uncommitted+len(data) > n.config.MaxUncommittedBytes {
		return Position{}, ErrOverloaded
	}
	return n.appendOwn(EntryCommand, data), nil
}

func (n *Node) appendOwn(kind EntryKind, data []byte) Position {
	last := n.log.last()
	entry := Entry{Index: last.Index + 1, Term: n.hard.Term, Kind: kind, Data: data}
	n.log.appendEntries(entry)
	n.lead.uncommitted += entrySize(entry)
	return Position{Index: entry.Index, Term: entry.Term}
}

func (n *Node) tickLeader() {
	n.abortSlowTransfer()
	if n.writeStalled() {
		n.becomeFollower(n.hard.Term, 0)
		return
	}
	if n.now-n.lead.quorumCheck >= n.config.ElectionTimeout {
		n.lead.quorumCheck = n.now
		if !n.hasActiveQuorum() {
			n.becomeFollower(n.hard.Term, 0)
			return
		}
	}
	if n.now-n.lead.lastHeartbeat >= n.config.HeartbeatInterval {
		n.sendHeartbeats()
	}
}

// hasActiveQuorum is the quorum check: a leader that has lost contact with a
// quorum steps down, so that its callers learn of it.
func (n *Node) hasActiveQuorum() bool {
	active := 0
	voters := n.membership().Voters()
	for _, id := range voters {
		peer := n.lead.peers[id]
		if id == n.config.ID || peer != nil && n.isActive(peer) {
			active++
		}
	}
	return active >= quorum(len(voters))
}

func (n *Node) sendHeartbeats() {
	n.lead.lastHeartbeat = n.now
	for _, peer := range n.orderedPeers() {
		m := Message{
			Type:   MessageHeartbeat,
			To:     peer.id,
			Commit: min(peer.match, n.log.commit),
			Round:  n.lead.reads.round,
		}
		if !peer.answered {
			m.Entries = n.introduction()
		}
		n.send(m)
	}
}

func (n *Node) handleHeartbeatResponse(peer *progress, m Message) {
	peer.round = max(peer.round, m.Round)
	peer.paused = false
	if peer.outgoing != nil {
		n.resendStalledChunk(peer)
		n.confirmReads()
		return
	}
	if !peer.probing && peer.match < n.log.last().Index {
		// Finds out whether a message was lost: the follower rejects a gap.
		n.sendAppend(peer, true)
	}
	n.confirmReads()
}

// sendAppends sends what has been appended since the last call, which puts
// proposals made together into the same messages.
func (n *Node) sendAppends() {
	if n.role != RoleLeader {
		return
	}
	for _, peer := range n.orderedPeers() {
		for n.canSend(peer) {
			n.sendAppend(peer, false)
		}
	}
}

func (n *Node) canSend(peer *progress) bool {
	if peer.paused || peer.outgoing != nil || peer.full(n.config) {
		return false
	}
	return peer.next <= n.log.last().Index
}

// sendAppend sends entries from peer.next on, or a snapshot if they are gone.
func (n *Node) sendAppend(peer *progress, empty bool) {
	previous := peer.next - 1
	term, known := n.log.term(previous)
	if !known {
		n.startSnapshot(peer)
		return
	}
	m := Message{Type: MessageAppend, To: peer.id, Index: previous, LogTerm: term, Commit: n.log.commit}
	if !empty {
		m.Entries = n.log.batch(peer.next, n.config.MaxBatchBytes)
	}
	n.send(m)
	n.noteSent(peer, m.Entries)
}

func (n *Node) noteSent(peer *progress, entries []Entry) {
	if peer.probing {
		peer.paused = true
		return
	}
	if len(entries) == 0 {
		return
	}
	bytes := 0
	for _, entry := range entries {
		bytes += entrySize(entry)
	}
	last := entries[len(entries)-1].Index
	peer.next = last + 1
	peer.add(last, bytes)
}

func (n *Node) handleAppendResponse(peer *progress, m Message) {
	if m.Reject {
		n.handleReject(peer, m)
		return
	}
	assert(m.Index <= n.log.last().Index, "replica %d acknowledges entry %d, the last one is %d", m.From, m.Index, n.log.last().Index)
	peer.acknowledge(m.Index)
	if m.Index <= peer.match && !peer.probing {
		return
	}
	peer.match = max(peer.match, m.Index)
	if peer.outgoing != nil && peer.match < peer.outgoing.snapshot.Index {
		return
	}
	peer.outgoing = nil
	peer.replicate()
	n.advanceCommit()
	n.finishTransferCatchUp(peer)
}

// handleReject moves back to where the follower's log may match.
func (n *Node) handleReject(peer *progress, m Message) {
	if peer.outgoing != nil || m.Index <= peer.match {
		return
	}
	if !peer.probing {
		peer.probe(peer.match + 1)
		return
	}
	if m.Index != peer.next-1 {
		return
	}
	hint := n.log.lastWithTermAtMost(m.HintIndex, m.HintTerm)
	peer.probe(min(m.Index, hint.Index+1))
}

// advanceCommit commits what a quorum has made durable. Only entries of the
// current term are counted; earlier ones are committed along with them.
func (n *Node) advanceCommit() {
	voters := n.membership().Voters()
	matches := make([]uint64, 0, len(voters))
	for _, id := range voters {
		matches = append(matches, n.matchOf(id))
	}
	slices.Sort(matches)
	index := matches[len(matches)-quorum(len(matches))]
	if index <= n.log.commit {
		return
	}
	if term, known := n.log.term(index); !known || term != n.hard.Term {
		return
	}
	for _, entry := range n.log.slice(n.log.commit+1, index) {
		n.lead.uncommitted -= min(n.lead.uncommitted, entrySize(entry))
	}
	n.log.commitTo(index)
	n.announceCommit()
	n.releaseReads()
}

func (n *Node) matchOf(id uint64) uint64 {
	if id == n.config.ID {
		return n.log.stable
	}
	if peer := n.lead.peers[id]; peer != nil {
		return peer.match
	}
	return 0
}

// announceCommit tells followers that have nothing to receive of the new
// commit index at once.
func (n *Node) announceCommit() {
	if n.config.LazyCommit {
		return
	}
	for _, peer := range n.orderedPeers() {
		if peer.outgoing == nil && !peer.probing && peer.next > n.log.last().Index {
			n.sendAppend(peer, true)
		}
	}
}

// committedInTerm reports whether an entry of this leader's term is committed.
func (n *Node) committedInTerm() bool {
	return n.log.commit >= n.lead.firstIndex
}
