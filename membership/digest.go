package membership

import (
	"encoding/binary"
	"hash/fnv"
)

// digest sums the hashes of the names and incarnations of all members that are alive
// or suspected. Two processes with equal digests do not exchange their views. A
// collision of the 64-bit digests hides a difference only until the next change.
func (c *Core) digest() uint64 {
	sum := memberDigest(c.self)
	for _, e := range c.members {
		if e.State == Alive || e.State == Suspect {
			sum += memberDigest(e.Member)
		}
	}
	return sum
}

func memberDigest(m Member) uint64 {
	h := fnv.New64a()
	h.Write([]byte(m.Name))
	h.Write(binary.BigEndian.AppendUint64(nil, m.Incarnation))
	return h.Sum64()
}
