package raft

// readQueue holds the reads of a leader. A heartbeat round that began after a
// read arrived and was answered by a quorum proves that no later leader had
// committed anything when the read arrived.
type readQueue struct {
	// round is the newest round that was started.
	round uint64
	// waiting reads have no round yet.
	waiting []uint64
	// confirming reads wait for the answers to the newest round.
	confirming []uint64
	index      uint64
}

// Read asks for a linearizable read. The result with this id arrives in a later
// Ready.Reads; ErrNotLeader is returned when this replica is no leader.
func (n *Node) Read(id uint64) error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	n.lead.reads.waiting = append(n.lead.reads.waiting, id)
	n.releaseReads()
	return nil
}

// releaseReads starts a round for the waiting reads, unless one is under way or
// no entry of the term is committed: before that the commit index may lag
// behind what an earlier leader has committed.
func (n *Node) releaseReads() {
	reads := &n.lead.reads
	if len(reads.waiting) == 0 || len(reads.confirming) > 0 || !n.committedInTerm() {
		return
	}
	reads.confirming = reads.waiting
	reads.waiting = nil
	reads.index = n.log.commit
	reads.round++
	n.sendHeartbeats()
	n.confirmReads()
}

func (n *Node) confirmReads() {
	reads := &n.lead.reads
	if len(reads.confirming) == 0 || !n.roundConfirmed() {
		return
	}
	for _, id := range reads.confirming {
		n.ready.Reads = append(n.ready.Reads, ReadResult{ID: id, Index: reads.index})
	}
	reads.confirming = nil
	n.releaseReads()
}

func (n *Node) roundConfirmed() bool {
	voters := n.membership().Voters()
	answered := 0
	for _, id := range voters {
		peer := n.lead.peers[id]
		if id == n.config.ID || peer != nil && peer.round >= n.lead.reads.round {
			answered++
		}
	}
	return answered >= quorum(len(voters))
}

// failReads ends the reads of a leader that steps down.
func (n *Node) failReads() {
	if n.lead == nil {
		return
	}
	reads := append(n.lead.reads.confirming, n.lead.reads.waiting...)
	for _, id := range reads {
		n.ready.Reads = append(n.ready.Reads, ReadResult{ID: id, Err: ErrNotLeader})
	}
}
