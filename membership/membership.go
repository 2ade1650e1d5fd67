// Package membership maintains each process's view of the fleet: which processes
// exist, their addresses, and which have failed. It implements a gossip protocol
// based on SWIM (Das, Gupta, Motivala, 2002). In every probe period a process pings
// one other member, first directly and then through other members. An unresponsive
// member is suspected before it is declared dead. Updates are piggybacked on the
// probes, so the traffic of a process does not grow with the fleet.
//
// Core performs no I/O and reads no clock: callers pass in the time and the received
// packets, and send the packets it returns. It is not safe for concurrent use.
//
// Invariant: as long as a view contains a member, the member's incarnation in it
// never decreases. Only the member itself increments its incarnation.
package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Timing and size limits of the protocol.
const (
	// ProbePeriod is the time between probes. Each probe targets one member.
	ProbePeriod = 500 * time.Millisecond
	// ProbeTimeout is how long a direct ping may stay unanswered before other members
	// are asked to ping the target.
	ProbeTimeout = 150 * time.Millisecond
	// SuspicionTimeout is how long a suspected member has to refute the suspicion
	// before it is declared dead.
	SuspicionTimeout = 2 * time.Second
	// SyncPeriod is the interval between exchanges of full state. Members considered
	// dead are included, so that both sides of a partition merge again once it heals.
	SyncPeriod = 10 * time.Second
	// JoinRetryPeriod is the interval between state exchanges until the first reply.
	// Requests are lost while the seeds are not listening yet.
	JoinRetryPeriod = 500 * time.Millisecond
	// TombstoneTTL is how long a dead or departed member is kept in the view, so that
	// a stale update cannot revive it.
	TombstoneTTL = 10 * time.Minute

	// indirectProbeCount is the number of members that are asked to ping an
	// unresponsive member, or told of a planned stop.
	indirectProbeCount       = 3
	maxUpdatesPerPacket      = 8
	maxMembersPerStatePacket = 12
	// retransmitMultiplier scales the number of times an update is sent, which grows
	// with the binary logarithm of the size of the fleet; see retransmitLimit.
	retransmitMultiplier = 3
)

// Values of Member.Kind for the processes of the system.
const (
	KindControl   = "control"
	KindScheduler = "scheduler"
	KindGateway   = "gateway"
)

// State is the state of a member in a view.
type State int

// Member states in ascending precedence: at equal incarnation, an update with a higher
// state overrides a lower one.
const (
	Alive State = iota + 1
	Suspect
	Dead
	Left
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	}
	return "unknown"
}

// Member describes one process of the fleet.
type Member struct {
	Name   string
	Kind   string
	Domain string
	// Address is the service address and GossipAddress the address of this protocol,
	// both as host:port.
	Address       string
	GossipAddress string
	Incarnation   uint64
	State         State
}

// viewEntry is a known member with the time of the last accepted update about it.
type viewEntry struct {
	Member
	updatedAt time.Duration
}

// PacketKind is the type of a packet.
type PacketKind int

// Packet kinds.
const (
	Ping PacketKind = iota + 1
	Ack
	// PingRequest asks the recipient to ping Target on behalf of the sender.
	PingRequest
	// Sync asks for the recipient's view, if its digest differs from Digest.
	Sync
	// StateTransfer carries a part of the sender's view.
	StateTransfer
)

// Packet is the content of one datagram.
type Packet struct {
	Kind PacketKind
	// Sequence matches an Ack to its Ping.
	Sequence uint64
	From     Member
	// Target and TargetGossipAddress identify the member to ping, in a PingRequest.
	Target              string
	TargetGossipAddress string
	// Recipient is the name of the process that a Ping is for. Another process that has
	// taken over its address does not reply.
	Recipient string
	Updates   []Member
	// Digest is the digest of the sender's view, in a Sync.
	Digest uint64
}

// Outgoing is a packet and the gossip address to send it to.
type Outgoing struct {
	To     string
	Packet Packet
}

// Core is the protocol state machine of one process, including its view of the fleet.
type Core struct {
	self         Member
	seeds        []string
	random       *rand.Rand
	members      map[string]*viewEntry
	probeOrder   []string
	probeIndex   int
	sequence     uint64
	probe        *probe
	relayedPings map[uint64]relayedPing
	updates      updateQueue
	nextProbe    time.Duration
	nextSync     time.Duration
	// joined is set once another member has sent its view. A process that others already
	// know may never be sent one, so joining also ends at joinDeadline.
	joined       bool
	joinDeadline time.Duration
	changed      bool
	leaving      bool
}

// New returns a Core that knows only self and the gossip addresses of the seeds.
// self.Incarnation must be higher than in any earlier run of the same process; if it
// is not, a refutation raises it.
func New(self Member, seeds []string, random *rand.Rand) *Core {
	self.State = Alive
	c := &Core{self: self, seeds: seeds, random: random, members: map[string]*viewEntry{}, relayedPings: map[uint64]relayedPing{}}
	c.updates.add(self)
	c.changed = true
	return c
}

// Members returns all known members that are alive or suspected, including self,
// sorted by name.
func (c *Core) Members() []Member {
	list := []Member{c.self}
	for _, e := range c.members {
		if e.State == Alive || e.State == Suspect {
			list = append(list, e.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Changed reports whether the result of Members may have changed since the last call
// of Changed.
func (c *Core) Changed() bool {
	changed := c.changed
	c.changed = false
	return changed
}

// Leave announces a planned stop to a few random members. From then on, ticks and
// received packets are ignored.
func (c *Core) Leave() []Outgoing {
	c.leaving = true
	c.self.State = Left
	c.updates.add(c.self)
	var out []Outgoing
	for _, e := range c.randomLiveMembers(indirectProbeCount, "") {
		out = append(out, c.preparePacket(e.GossipAddress, Packet{Kind: Ping, Sequence: c.nextSequence(), Recipient: e.Name}))
	}
	return out
}

func (c *Core) nextSequence() uint64 {
	c.sequence++
	return c.sequence
}

// preparePacket adds the sender and the updates to piggyback. The updates of a
// StateTransfer are set by its caller.
func (c *Core) preparePacket(to string, p Packet) Outgoing {
	p.From = c.self
	if p.Kind != StateTransfer {
		p.Updates = c.updates.take(maxUpdatesPerPacket, c.retransmitLimit())
	}
	return Outgoing{To: to, Packet: p}
}

// retransmitLimit returns the number of times an update is sent before it is dropped:
// retransmitMultiplier * (1 + bits.Len(n)) for n known members, self not counted.
func (c *Core) retransmitLimit() int {
	limit := retransmitMultiplier
	for n := len(c.members); n > 0; n /= 2 {
		limit += retransmitMultiplier
	}
	return limit
}

// randomLiveMembers returns up to n random members that are alive or suspected, never
// the one named by exclude.
func (c *Core) randomLiveMembers(n int, exclude string) []*viewEntry {
	var live []*viewEntry
	for _, name := range c.probeOrder {
		if e := c.members[name]; name != exclude && (e.State == Alive || e.State == Suspect) {
			live = append(live, e)
		}
	}
	c.random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(n, len(live))]
}
