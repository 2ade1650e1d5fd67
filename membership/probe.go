package membership

import "time"

// probe is the state of the probe in the current period.
type probe struct {
	target       string
	sequence     uint64
	sentAt       time.Duration
	indirectSent bool
	acked        bool
}

// relayedPing is a ping sent on behalf of another member.
type relayedPing struct {
	// origin is the gossip address to forward the ack to.
	origin          string
	requestSequence uint64
	expiresAt       time.Duration
}

// Tick starts the probes and state exchanges that are due and applies the timeouts.
// It must be called at least every ProbeTimeout.
func (c *Core) Tick(now time.Duration) []Outgoing {
	if c.leaving {
		return nil
	}
	var out []Outgoing
	if c.probe != nil && !c.probe.acked && !c.probe.indirectSent && now-c.probe.sentAt >= ProbeTimeout {
		out = append(out, c.beginIndirectProbe()...)
	}
	if now >= c.nextProbe {
		c.nextProbe = now + ProbePeriod
		c.endProbe(now)
		out = append(out, c.beginProbe(now)...)
	}
	if now >= c.nextSync {
		c.nextSync = now + c.syncInterval(now)
		out = append(out, c.sync()...)
	}
	c.expire(now)
	return out
}

// syncInterval returns the time until the next state exchange, which is shorter while
// the process is joining.
func (c *Core) syncInterval(now time.Duration) time.Duration {
	if c.joinDeadline == 0 {
		c.joinDeadline = now + SyncPeriod
	}
	if len(c.probeOrder) == 0 || !c.joined && now < c.joinDeadline {
		return JoinRetryPeriod
	}
	return SyncPeriod
}

// beginIndirectProbe asks other members to ping the target of the current probe.
func (c *Core) beginIndirectProbe() []Outgoing {
	c.probe.indirectSent = true
	target := c.members[c.probe.target]
	if target == nil {
		return nil
	}
	var out []Outgoing
	for _, helper := range c.randomLiveMembers(indirectProbeCount, target.Name) {
		out = append(out, c.preparePacket(helper.GossipAddress, Packet{
			Kind: PingRequest, Sequence: c.probe.sequence, Target: target.Name, TargetGossipAddress: target.GossipAddress,
		}))
	}
	return out
}

// endProbe ends the probe of the previous period and suspects its target if no ack has
// arrived.
func (c *Core) endProbe(now time.Duration) {
	p := c.probe
	c.probe = nil
	if p == nil || p.acked {
		return
	}
	if e := c.members[p.target]; e != nil && e.State == Alive {
		suspected := e.Member
		suspected.State = Suspect
		c.merge(now, suspected)
	}
}

// beginProbe pings the next live member in the probe order. The order is reshuffled
// after each round, which bounds the time until a failed member is probed.
func (c *Core) beginProbe(now time.Duration) []Outgoing {
	for range c.probeOrder {
		if c.probeIndex >= len(c.probeOrder) {
			c.probeIndex = 0
			c.random.Shuffle(len(c.probeOrder), func(i, j int) { c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i] })
		}
		e := c.members[c.probeOrder[c.probeIndex]]
		c.probeIndex++
		if e.State != Alive && e.State != Suspect {
			continue
		}
		c.probe = &probe{target: e.Name, sequence: c.nextSequence(), sentAt: now}
		return []Outgoing{c.preparePacket(e.GossipAddress, Packet{Kind: Ping, Sequence: c.probe.sequence, Recipient: e.Name})}
	}
	return nil
}

// sync asks for the views of other processes: of all seeds while no other member is
// known, otherwise of one random member, which may be dead, and of one random seed.
func (c *Core) sync() []Outgoing {
	targets := append([]string(nil), c.seeds...)
	if len(c.probeOrder) > 0 {
		targets = []string{c.members[c.probeOrder[c.random.IntN(len(c.probeOrder))]].GossipAddress}
		if len(c.seeds) > 0 {
			targets = append(targets, c.seeds[c.random.IntN(len(c.seeds))])
		}
	}
	var out []Outgoing
	for _, to := range targets {
		if to != c.self.GossipAddress {
			out = append(out, c.preparePacket(to, Packet{Kind: Sync, Sequence: c.nextSequence(), Digest: c.digest()}))
		}
	}
	return out
}

// expire declares members dead whose suspicion has timed out, and deletes expired
// tombstones and relayed pings.
func (c *Core) expire(now time.Duration) {
	kept := c.probeOrder[:0]
	for _, name := range c.probeOrder {
		e := c.members[name]
		if e.State == Suspect && now-e.updatedAt >= SuspicionTimeout {
			dead := e.Member
			dead.State = Dead
			c.merge(now, dead)
		}
		if (e.State == Dead || e.State == Left) && now-e.updatedAt >= TombstoneTTL {
			delete(c.members, name)
			continue
		}
		kept = append(kept, name)
	}
	c.probeOrder = kept
	for sequence, r := range c.relayedPings {
		if now >= r.expiresAt {
			delete(c.relayedPings, sequence)
		}
	}
}

// Receive handles a packet and returns the replies. It drops packets of a different
// process with the same name.
func (c *Core) Receive(now time.Duration, p Packet) []Outgoing {
	if c.leaving || p.From.Name == "" || p.From.Name == c.self.Name && p.From.GossipAddress != c.self.GossipAddress {
		return nil
	}
	c.merge(now, p.From)
	for _, m := range p.Updates {
		c.merge(now, m)
	}
	switch p.Kind {
	case Ping:
		if p.Recipient == c.self.Name {
			return []Outgoing{c.preparePacket(p.From.GossipAddress, Packet{Kind: Ack, Sequence: p.Sequence})}
		}
	case Ack:
		return c.handleAck(p)
	case PingRequest:
		return c.handlePingRequest(now, p)
	case Sync:
		if p.Digest != c.digest() {
			return c.stateTransfer(p.From.GossipAddress)
		}
	case StateTransfer:
		c.joined = true
	}
	return nil
}

func (c *Core) handleAck(p Packet) []Outgoing {
	if r, known := c.relayedPings[p.Sequence]; known {
		delete(c.relayedPings, p.Sequence)
		return []Outgoing{c.preparePacket(r.origin, Packet{Kind: Ack, Sequence: r.requestSequence})}
	}
	if c.probe != nil && c.probe.sequence == p.Sequence {
		c.probe.acked = true
	}
	return nil
}

func (c *Core) handlePingRequest(now time.Duration, p Packet) []Outgoing {
	sequence := c.nextSequence()
	c.relayedPings[sequence] = relayedPing{origin: p.From.GossipAddress, requestSequence: p.Sequence, expiresAt: now + ProbePeriod}
	return []Outgoing{c.preparePacket(p.TargetGossipAddress, Packet{Kind: Ping, Sequence: sequence, Recipient: p.Target})}
}

// stateTransfer returns the whole view in packets of bounded size. The sender itself is
// in the From field.
func (c *Core) stateTransfer(to string) []Outgoing {
	var out []Outgoing
	var chunk []Member
	for _, name := range c.probeOrder {
		chunk = append(chunk, c.members[name].Member)
		if len(chunk) == maxMembersPerStatePacket {
			out = append(out, c.preparePacket(to, Packet{Kind: StateTransfer, Updates: chunk}))
			chunk = nil
		}
	}
	return append(out, c.preparePacket(to, Packet{Kind: StateTransfer, Updates: chunk}))
}
