package raft

// campaign starts a pre-vote: the term is raised only if a quorum would vote
// for this replica, so a replica that was cut off disturbs nobody.
func (n *Node) campaign() {
	n.resetElectionTimer()
	if !n.membership().IsVoter(n.config.ID) || n.writeStalled() {
		return
	}
	n.role = RolePreCandidate
	n.leader = 0
	n.votes = map[uint64]bool{n.config.ID: true}
	if n.hasVoteQuorum() {
		n.startElection(false)
		return
	}
	n.requestVotes(Message{Type: MessagePreVote, Term: n.hard.Term + 1})
}

// startElection enters a new term and asks for votes. The own vote counts once
// it is durable.
func (n *Node) startElection(transfer bool) {
	n.hard.Term++
	n.hard.Vote = n.config.ID
	n.incoming = nil
	n.role = RoleCandidate
	n.leader = 0
	n.votes = map[uint64]bool{}
	n.resetElectionTimer()
	n.requestVotes(Message{Type: MessageVote, Transfer: transfer})
}

func (n *Node) requestVotes(m Message) {
	last := n.log.last()
	m.Index = last.Index
	m.LogTerm = last.Term
	m.Entries = n.introduction()
	n.answers = map[uint64]bool{}
	for _, id := range n.membership().Voters() {
		if id == n.config.ID {
			continue
		}
		m.To = id
		n.send(m)
	}
}

func (n *Node) countOwnVote() {
	if n.saved.Term != n.hard.Term || n.saved.Vote != n.config.ID {
		return
	}
	n.votes[n.config.ID] = true
	if n.hasVoteQuorum() {
		n.becomeLeader()
	}
}

func (n *Node) hasVoteQuorum() bool {
	voters := n.membership().Voters()
	granted := 0
	for _, id := range voters {
		if n.votes[id] {
			granted++
		}
	}
	return granted >= quorum(len(voters))
}

// quorum is the smallest majority of the count.
func quorum(count int) int {
	return count/2 + 1
}

// handleVoteRequest answers PreVote and Vote. Replicas vote whether or not they
// are members in their own log, since a newer membership may count them.
func (n *Node) handleVoteRequest(m Message) {
	response := Message{Type: MessageVoteResponse, To: m.From}
	grant := n.mayVoteFor(m)
	if m.Type == MessagePreVote {
		response.Type = MessagePreVoteResponse
		grant = grant && !n.hearsLeader() && !n.precedes(m)
		if grant {
			response.Term = m.Term
		}
	} else if grant {
		n.hard.Vote = m.From
		n.resetElectionTimer()
	}
	response.Reject = !grant
	n.send(response)
}

// precedes breaks the tie between two replicas that ask for pre-votes at the
// same time with equal logs: the higher id goes on. Otherwise both would become
// candidates, split the votes and need another election timeout.
func (n *Node) precedes(m Message) bool {
	equal := n.log.last() == Position{Index: m.Index, Term: m.LogTerm}
	return n.role == RolePreCandidate && equal && n.config.ID > m.From
}

func (n *Node) mayVoteFor(m Message) bool {
	if !n.log.isUpToDate(Position{Index: m.Index, Term: m.LogTerm}) {
		return false
	}
	if m.Term > n.hard.Term {
		return true
	}
	return n.hard.Vote == m.From || n.hard.Vote == 0 && n.leader == 0
}

func (n *Node) handleVoteResponse(m Message) {
	if n.answers != nil && (m.Reject || n.votes != nil) {
		n.answers[m.From] = !m.Reject
	}
	if m.Reject || n.votes == nil {
		return
	}
	switch {
	case m.Type == MessagePreVoteResponse && n.role == RolePreCandidate && m.Term == n.hard.Term+1:
		n.votes[m.From] = true
		if n.hasVoteQuorum() {
			n.startElection(false)
		}
	case m.Type == MessageVoteResponse && n.role == RoleCandidate && m.Term == n.hard.Term:
		n.votes[m.From] = true
		if n.hasVoteQuorum() {
			n.becomeLeader()
		}
	}
}
