package control

import (
	"slices"

	"geraniumwall/raft"
)

// updatePeers follows the membership, and newcomers, with the transport. The addresses of
// the settings serve until a replica knows a membership.
func (r *replica) updatePeers(s *raft.Status) {
	m := s.Membership
	if slices.Equal(m.Members, r.members.Members) && len(m.Members) > 0 && slices.Equal(s.Newcomers, r.newcomers) {
		return
	}
	r.members, r.newcomers = m, s.Newcomers
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
	for _, m := range slices.Concat(r.members.Members, r.newcomers) {
		addresses[m.ID] = m.Address
	}
	return addresses
}

func (r *replica) addressOf(id uint64) string { return r.addresses()[id] }
