// Package gossip runs the membership protocol over UDP. One actor owns the protocol
// state; readers get immutable snapshots of the members.
package gossip

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/rs/zerolog"

	"geraniumwall/membership"
)

const (
	// tickInterval must be below membership.ProbeTimeout, as Core.Tick requires.
	tickInterval     = 100 * time.Millisecond
	maxDatagramBytes = 16 << 10
)

// Options configures how a process takes part in the protocol.
type Options struct {
	// Self describes the process. Start binds its GossipAddress and replaces an
	// Incarnation of 0 with the wall clock in milliseconds.
	Self  membership.Member
	Seeds []string
	// Key authenticates the datagrams; if it is empty, they are not authenticated.
	Key []byte
}

// Gossip runs the protocol for one process.
type Gossip struct {
	system  *actor.ActorSystem
	pid     *actor.PID
	conn    net.PacketConn
	key     []byte
	members atomic.Pointer[[]membership.Member]
	stopped chan struct{}
}

type tickMessage struct{}
type leaveMessage struct{}

// protocolActor owns the protocol core; all calls of the core run in this actor.
type protocolActor struct {
	gossip    *Gossip
	core      *membership.Core
	startedAt time.Time
	log       zerolog.Logger
}

// Start binds the gossip address and runs the protocol until Stop.
func Start(ctx context.Context, options Options, log zerolog.Logger) (*Gossip, error) {
	var lc net.ListenConfig
	conn, err := lc.ListenPacket(ctx, "udp", options.Self.GossipAddress)
	if err != nil {
		return nil, fmt.Errorf("membership: %w; choose a free UDP address in the settings", err)
	}
	options.Self.GossipAddress = conn.LocalAddr().String()
	if options.Self.Incarnation == 0 {
		options.Self.Incarnation = uint64(max(1, time.Now().UnixMilli()))
	}
	g := &Gossip{system: actor.NewActorSystem(), conn: conn, key: options.Key, stopped: make(chan struct{})}
	g.members.Store(&[]membership.Member{options.Self})
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	a := &protocolActor{gossip: g, core: membership.New(options.Self, options.Seeds, random), startedAt: time.Now(), log: log}
	g.pid = g.system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return a }))
	go g.receiveLoop()
	go g.tickLoop()
	return g, nil
}

// Members returns the members that are alive or suspected, sorted by name. Callers
// must not modify the slice. A nil Gossip has no members.
func (g *Gossip) Members() []membership.Member {
	if g == nil {
		return nil
	}
	return *g.members.Load()
}

// OfKind returns the members of a kind.
func (g *Gossip) OfKind(kind string) []membership.Member {
	var found []membership.Member
	for _, m := range g.Members() {
		if m.Kind == kind {
			found = append(found, m)
		}
	}
	return found
}

// AddressesOf returns a function that lists the current service addresses of the
// members of a kind.
func (g *Gossip) AddressesOf(kind string) func() []string {
	return func() []string {
		var list []string
		for _, m := range g.OfKind(kind) {
			list = append(list, m.Address)
		}
		return list
	}
}

// Address returns the bound gossip address.
func (g *Gossip) Address() string { return g.conn.LocalAddr().String() }

// Stop announces that the process is leaving and stops the protocol. It may be called
// on a nil Gossip.
func (g *Gossip) Stop() {
	if g == nil {
		return
	}
	g.system.Root.Send(g.pid, leaveMessage{})
	_ = g.system.Root.PoisonFuture(g.pid).Wait()
	close(g.stopped)
	_ = g.conn.Close()
	g.system.Shutdown()
}

func (g *Gossip) receiveLoop() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := g.conn.ReadFrom(buffer)
		select {
		case <-g.stopped:
			return
		default:
		}
		if err != nil {
			continue
		}
		if packet, err := g.parseDatagram(buffer[:n]); err == nil {
			g.system.Root.Send(g.pid, packet)
		}
	}
}

func (g *Gossip) parseDatagram(datagram []byte) (membership.Packet, error) {
	payload, err := verifyMAC(g.key, datagram)
	if err != nil {
		return membership.Packet{}, err
	}
	return decodePacket(payload)
}

func (g *Gossip) tickLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.stopped:
			return
		case <-ticker.C:
			g.system.Root.Send(g.pid, tickMessage{})
		}
	}
}

// Receive passes one message to the core and publishes the members if they may have
// changed.
func (a *protocolActor) Receive(c actor.Context) {
	now := time.Since(a.startedAt)
	switch m := c.Message().(type) {
	case tickMessage:
		a.send(a.core.Tick(now))
	case membership.Packet:
		a.send(a.core.Receive(now, m))
	case leaveMessage:
		a.send(a.core.Leave())
	}
	if a.core.Changed() {
		members := a.core.Members()
		a.gossip.members.Store(&members)
	}
}

func (a *protocolActor) send(out []membership.Outgoing) {
	for _, outgoing := range out {
		address, err := net.ResolveUDPAddr("udp", outgoing.To)
		if err != nil {
			a.log.Warn().Err(err).Str("address", outgoing.To).Msg("cannot resolve gossip address")
			continue
		}
		datagram, err := encodePacket(outgoing.Packet)
		if err == nil {
			_, err = a.gossip.conn.WriteTo(appendMAC(a.gossip.key, datagram), address)
		}
		if err != nil {
			a.log.Debug().Err(err).Str("address", outgoing.To).Msg("failed to send membership packet")
		}
	}
}
