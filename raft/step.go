package raft

import "time"

// Step processes a message from another replica. Messages for another replica
// or of an unknown type are ignored.
func (n *Node) Step(m Message) {
	if m.To != n.config.ID || m.From == n.config.ID || m.From == 0 {
		return
	}
	n.noteNewcomer(m)
	if m.Term < n.hard.Term {
		n.refuseOldTerm(m)
		return
	}
	if m.Term > n.hard.Term && !n.enterTermOf(m) {
		return
	}
	if m.fromLeader() {
		n.followLeader(m)
	}
	n.dispatch(m)
}

func (n *Node) dispatch(m Message) {
	switch m.Type {
	case MessagePreVote, MessageVote:
		n.handleVoteRequest(m)
	case MessagePreVoteResponse, MessageVoteResponse:
		n.handleVoteResponse(m)
	case MessageAppend:
		n.handleAppend(m)
	case MessageHeartbeat:
		n.handleHeartbeat(m)
	case MessageSnapshot:
		n.handleSnapshot(m)
	case MessageTimeoutNow:
		n.handleTimeoutNow()
	default:
		n.dispatchToLeader(m)
	}
}

func (n *Node) dispatchToLeader(m Message) {
	if n.role != RoleLeader {
		return
	}
	peer, known := n.lead.peers[m.From]
	if !known {
		return
	}
	if !peer.answered || !n.isActive(peer) {
		peer.contactSince = n.now
	}
	peer.contact, peer.answered, peer.leaving = n.now, true, m.Leaving
	switch m.Type {
	case MessageAppendResponse:
		n.handleAppendResponse(peer, m)
	case MessageHeartbeatResponse:
		n.handleHeartbeatResponse(peer, m)
	case MessageSnapshotResponse:
		n.handleSnapshotResponse(peer, m)
	}
}

// refuseOldTerm tells a sender that its term is over, so that a replica with a
// higher term can't be shut out by a leader whose messages it ignores.
func (n *Node) refuseOldTerm(m Message) {
	switch {
	case m.fromLeader():
		n.send(Message{Type: MessageAppendResponse, To: m.From, Reject: true})
	case m.Type == MessagePreVote:
		n.send(Message{Type: MessagePreVoteResponse, To: m.From, Reject: true})
	}
}

// enterTermOf enters the higher term of a message. It returns false if the
// message must be ignored.
func (n *Node) enterTermOf(m Message) bool {
	switch {
	case m.Type == MessagePreVote:
		return true
	case m.Type == MessagePreVoteResponse && !m.Reject:
		return true
	case m.Type == MessageVote && !m.Transfer && n.hearsLeader():
		return false
	}
	leader := uint64(0)
	if m.fromLeader() {
		leader = m.From
	}
	n.becomeFollower(m.Term, leader)
	return true
}

// hearsLeader is leader stickiness: while a leader is in contact, votes for
// others are refused, so that a replica that was cut off can't unseat it.
func (n *Node) hearsLeader() bool {
	if n.role == RoleLeader {
		return true
	}
	return n.leader != 0 && n.now-n.leaderContact < n.config.ElectionTimeout
}

// followLeader records contact with the leader of the current term.
func (n *Node) followLeader(m Message) {
	assert(n.role != RoleLeader, "replicas %d and %d both lead term %d", n.config.ID, m.From, m.Term)
	assert(n.leader == 0 || n.leader == m.From, "replicas %d and %d both lead term %d", n.leader, m.From, m.Term)
	if n.role != RoleFollower {
		n.becomeFollower(m.Term, m.From)
	}
	n.leader, n.answers = m.From, nil
	n.leaderContact = n.now
	n.lastLeader, n.lastLeaderContact = m.From, n.now
	n.electionStart = n.now
}

func (n *Node) becomeFollower(term, leader uint64) {
	assert(term >= n.hard.Term, "term falls from %d to %d", n.hard.Term, term)
	if term > n.hard.Term {
		n.hard.Term = term
		n.hard.Vote = 0
		n.incoming = nil
	}
	n.failReads()
	n.role = RoleFollower
	n.lead = nil
	n.votes = nil
	n.leader = leader
	n.leaderContact = n.now
	n.resetElectionTimer()
}

func (n *Node) resetElectionTimer() {
	n.electionStart = n.now
	spread := n.random.Int64N(int64(n.config.ElectionTimeout))
	n.electionTimeout = n.config.ElectionTimeout + time.Duration(spread)
}
