package raft

import (
	"fmt"
	"strings"
)

// Fingerprint describes the state of a node without its clock, so that an
// exploration recognises states it has visited.
func (n *Node) Fingerprint() string {
	var b strings.Builder
	fmt.Fprint(&b, n.hard, n.saved, n.role, n.leader, n.hearsLeader(), n.votes, n.memberships)
	fmt.Fprint(&b, n.log.commit, n.log.stable, n.log.handed, n.log.base, n.log.entries)
	fmt.Fprint(&b, n.writing != nil, n.deferred, n.ready)
	if n.writing != nil {
		fmt.Fprint(&b, *n.writing)
	}
	if n.lead == nil {
		return b.String()
	}
	for _, peer := range n.orderedPeers() {
		fmt.Fprint(&b, peer.match, peer.next, peer.probing, peer.paused, peer.window, peer.round)
	}
	fmt.Fprint(&b, n.lead.firstIndex, n.lead.reads)
	return b.String()
}

// Holds reports whether the entry is in the log or covered by the snapshot.
func (n *Node) Holds(p Position) bool {
	return p.Index <= n.log.base.Index || n.log.matches(p)
}
