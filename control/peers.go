package control

import (
	"slices"

	"geraniumwall/raft"
)

// updatePeers follows the membership with the transport. The addresses of the
// settings serve until a replica knows a membership.
func (r *replica) updatePeers(m raft.Membership) {
	if slices.Equal(m.Members, r.members.Members) && len(m.Members) > 0 {
		return
	}
	r.members = m
	r.net.SetPeers(r.addresses())
}

func (r *replica) addresses() map[uint64]string {
	addresses := map[uint64]string{}
	for _, configured := range r.options.Settings.Replicas {
		addresses[configured.ID] = configured.Address
	}
	if len(r.members.Members) > 0 {
		clear(addresses)
	}
	for _, m := range r.members.Members {
		addresses[m.ID] = m.Address
	}
	return addresses
}

func (r *replica) addressOf(id uint64) string { return r.addresses()[id] }
