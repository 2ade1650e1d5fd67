package raft

// Successor returns the active voter with the most entries besides the leader, to
// which a leader hands over, or 0 if there is none. One that stops itself is chosen only
// if there is no other.
func (s Status) Successor() uint64 {
	var best PeerStatus
	for _, p := range s.Peers {
		if !p.Active || !s.Membership.IsVoter(p.ID) || p.ID == s.ID {
			continue
		}
		if best.ID == 0 || best.Leaving && !p.Leaving || best.Leaving == p.Leaving && p.Match >= best.Match {
			best = p
		}
	}
	return best.ID
}

// Transfer starts to hand leadership to another voter, for a planned stop. It
// is given up after an election timeout; Status shows whether it is under way.
// Its errors are ErrNotLeader and ErrInvalidTransfer.
func (n *Node) Transfer(target uint64) error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	peer := n.lead.peers[target]
	if peer == nil || !n.membership().IsVoter(target) {
		return ErrInvalidTransfer
	}
	n.lead.transferee = target
	n.lead.transferStart = n.now
	n.finishTransferCatchUp(peer)
	return nil
}

// finishTransferCatchUp orders the target to campaign once it has every entry.
func (n *Node) finishTransferCatchUp(peer *progress) {
	if n.lead.transferee != peer.id || peer.match != n.log.last().Index {
		return
	}
	n.send(Message{Type: MessageTimeoutNow, To: peer.id})
}

func (n *Node) abortSlowTransfer() {
	if n.lead.transferee != 0 && n.now-n.lead.transferStart >= n.config.ElectionTimeout {
		n.lead.transferee = 0
	}
}

func (n *Node) handleTimeoutNow() {
	if n.membership().IsVoter(n.config.ID) {
		n.startElection(true)
	}
}
