package raft

func (n *Node) handleAppend(m Message) {
	response := Message{Type: MessageAppendResponse, To: m.From}
	if m.Index < n.log.commit {
		response.Index = n.log.commit
		n.send(response)
		return
	}
	if !n.log.matches(Position{Index: m.Index, Term: m.LogTerm}) {
		hint := n.log.lastWithTermAtMost(m.Index, m.LogTerm)
		response.Reject = true
		response.Index = m.Index
		response.HintIndex = hint.Index
		response.HintTerm = hint.Term
		n.send(response)
		return
	}
	if !consecutive(m) {
		return
	}
	if removed := n.log.merge(m.Entries); removed != 0 {
		n.removeMemberships(removed)
	}
	if err := n.addMemberships(m.Entries); err != nil {
		assert(false, "%v", err)
	}
	response.Index = m.Index + uint64(len(m.Entries))
	n.log.commitTo(min(m.Commit, response.Index))
	n.send(response)
}

// consecutive reports whether the entries follow the message's index and don't
// exceed its term. Others come from a faulty sender.
func consecutive(m Message) bool {
	term := m.LogTerm
	for i, entry := range m.Entries {
		if entry.Index != m.Index+1+uint64(i) || entry.Term < term || entry.Term > m.Term {
			return false
		}
		term = entry.Term
	}
	return true
}

func (n *Node) handleHeartbeat(m Message) {
	n.log.commitTo(min(m.Commit, n.log.last().Index))
	n.send(Message{Type: MessageHeartbeatResponse, To: m.From, Round: m.Round})
}
