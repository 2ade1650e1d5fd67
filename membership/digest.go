package membership

import (
	"encoding/binary"
	"hash/fnv"
)

// digest sums the members that are alive or suspected, each with its incarnation.
// Two processes with equal digests have nothing to exchange, but for a collision
// of 64 bits that the next change resolves.
func (c *Core) digest() uint64 {
	sum := digestOf(c.self)
	for _, e := range c.members {
		if e.State == Alive || e.State == Suspect {
			sum += digestOf(e.Member)
		}
	}
	return sum
}

func digestOf(m Member) uint64 {
	h := fnv.New64a()
	h.Write([]byte(m.Name))
	h.Write(binary.BigEndian.AppendUint64(nil, m.Incarnation))
	return h.Sum64()
}
