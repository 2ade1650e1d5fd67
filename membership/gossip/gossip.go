// Package gossip runs the membership protocol over UDP. One actor owns the view;
// readers take immutable snapshots.
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
	// tickInterval is below membership.ProbeTimeout, as Core.Tick requires.
	tickInterval = 100 * time.Millisecond
	maxDatagram  = 16 << 10
)

// Settings say where a process takes part in the protocol.
type Settings struct {
	// Self describes the process; its Gossip address is bound. An incarnation of 0
	// is replaced by the wall clock in milliseconds.
	Self  membership.Member
	Seeds []string
	// Key seals the datagrams; empty for none.
	Key []byte
}

// Gossip is the running protocol of one process.
type Gossip struct {
	system  *actor.ActorSystem
	pid     *actor.PID
	conn    net.PacketConn
	key     []byte
	members atomic.Pointer[[]membership.Member]
	stopped chan struct{}
}

type tick struct{}
type leave struct{}

// owner is the actor that owns the core.
type owner struct {
	gossip *Gossip
	core   *membership.Core
	began  time.Time
	log    zerolog.Logger
}

// Start binds the gossip address and takes part until Stop.
func Start(ctx context.Context, s Settings, log zerolog.Logger) (*Gossip, error) {
	var lc net.ListenConfig
	conn, err := lc.ListenPacket(ctx, "udp", s.Self.GossipAddress)
	if err != nil {
		return nil, fmt.Errorf("membership: %w; choose a free UDP address in the settings", err)
	}
	s.Self.GossipAddress = conn.LocalAddr().String()
	if s.Self.Incarnation == 0 {
		s.Self.Incarnation = uint64(max(1, time.Now().UnixMilli()))
	}
	g := &Gossip{system: actor.NewActorSystem(), conn: conn, key: s.Key, stopped: make(chan struct{})}
	g.members.Store(&[]membership.Member{s.Self})
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	o := &owner{gossip: g, core: membership.New(s.Self, s.Seeds, random), began: time.Now(), log: log}
	g.pid = g.system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return o }))
	go g.receive()
	go g.tick()
	return g, nil
}

// Members returns the members that are alive or suspected, in order of name. The
// slice must not be changed. A nil Gossip has no members.
func (g *Gossip) Members() []membership.Member {
	if g == nil {
		return nil
	}
	return *g.members.Load()
}

// OfKind returns the members of one kind.
func (g *Gossip) OfKind(kind string) []membership.Member {
	var found []membership.Member
	for _, m := range g.Members() {
		if m.Kind == kind {
			found = append(found, m)
		}
	}
	return found
}

// AddressesOf returns a function that lists the service addresses of the members
// of one kind.
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

// Stop announces that the process leaves and ends the protocol. It may be called
// on a nil Gossip.
func (g *Gossip) Stop() {
	if g == nil {
		return
	}
	g.system.Root.Send(g.pid, leave{})
	_ = g.system.Root.PoisonFuture(g.pid).Wait()
	close(g.stopped)
	_ = g.conn.Close()
	g.system.Shutdown()
}

func (g *Gossip) receive() {
	buffer := make([]byte, maxDatagram)
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
		if packet, err := g.read(buffer[:n]); err == nil {
			g.system.Root.Send(g.pid, packet)
		}
	}
}

func (g *Gossip) read(datagram []byte) (membership.Packet, error) {
	opened, err := open(g.key, datagram)
	if err != nil {
		return membership.Packet{}, err
	}
	return decode(opened)
}

func (g *Gossip) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.stopped:
			return
		case <-ticker.C:
			g.system.Root.Send(g.pid, tick{})
		}
	}
}

// Receive steps the core with one message.
func (o *owner) Receive(c actor.Context) {
	now := time.Since(o.began)
	switch m := c.Message().(type) {
	case tick:
		o.send(o.core.Tick(now))
	case membership.Packet:
		o.send(o.core.Receive(now, m))
	case leave:
		o.send(o.core.Leave())
	}
	if o.core.Changed() {
		members := o.core.Members()
		o.gossip.members.Store(&members)
	}
}

func (o *owner) send(out []membership.Outgoing) {
	for _, one := range out {
		address, err := net.ResolveUDPAddr("udp", one.To)
		if err != nil {
			o.log.Warn().Err(err).Str("address", one.To).Msg("member has a bad gossip address")
			continue
		}
		datagram, err := encode(one.Packet)
		if err == nil {
			_, err = o.gossip.conn.WriteTo(seal(o.gossip.key, datagram), address)
		}
		if err != nil {
			o.log.Debug().Err(err).Str("address", one.To).Msg("membership packet was not sent")
		}
	}
}
