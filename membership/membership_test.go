package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"geraniumwall/membership"
)

const (
	timeStep    = 10 * time.Millisecond
	packetDelay = 5 * time.Millisecond
)

// inFlightPacket is a packet that is delivered at a later virtual time.
type inFlightPacket struct {
	deliverAt time.Duration
	from      string
	packet    membership.Outgoing
}

// network simulates processes that exchange packets in virtual time.
type network struct {
	now         time.Duration
	random      *rand.Rand
	cores       map[string]*membership.Core
	names       []string
	inFlight    []inFlightPacket
	blocked     func(from, to string) bool
	lossRate    float64
	packetsSent map[string]int
}

func newNetwork(n int, seed uint64) *network {
	net := &network{
		random: rand.New(rand.NewPCG(seed, 1)), cores: map[string]*membership.Core{},
		blocked: func(string, string) bool { return false }, packetsSent: map[string]int{},
	}
	for i := range n {
		net.start(name(i), 1, seed+uint64(i))
	}
	return net
}

func name(i int) string { return fmt.Sprintf("p%03d", i) }

// start starts a process, or restarts it with an empty view.
func (net *network) start(member string, incarnation, seed uint64) {
	self := membership.Member{Name: member, Kind: "gateway", GossipAddress: member, Incarnation: incarnation}
	if _, known := net.cores[member]; !known {
		net.names = append(net.names, member)
	}
	net.cores[member] = membership.New(self, []string{name(0), name(1)}, rand.New(rand.NewPCG(seed, 2)))
}

func (net *network) kill(member string) { net.cores[member] = nil }

func (net *network) send(from string, out []membership.Outgoing) {
	for _, o := range out {
		net.packetsSent[from]++
		if net.random.Float64() >= net.lossRate {
			net.inFlight = append(net.inFlight, inFlightPacket{deliverAt: net.now + packetDelay, from: from, packet: o})
		}
	}
}

// advance runs the simulation for d of virtual time.
func (net *network) advance(d time.Duration) {
	for end := net.now + d; net.now < end; net.now += timeStep {
		pending := net.inFlight
		net.inFlight = nil
		for _, p := range pending {
			switch target := net.cores[p.packet.To]; {
			case p.deliverAt > net.now:
				net.inFlight = append(net.inFlight, p)
			case target != nil && !net.blocked(p.from, p.packet.To):
				net.send(p.packet.To, target.Receive(net.now, p.packet.Packet))
			}
		}
		for _, n := range net.names {
			if c := net.cores[n]; c != nil {
				net.send(n, c.Tick(net.now))
			}
		}
	}
}

// view returns the states of the members that a process sees as alive or suspected, by
// name.
func (net *network) view(member string) map[string]membership.State {
	seen := map[string]membership.State{}
	for _, m := range net.cores[member].Members() {
		seen[m.Name] = m.State
	}
	return seen
}

var _ = Describe("membership", func() {
	It("lets all processes discover each other from two seeds", func() {
		net := newNetwork(30, 1)
		net.advance(15 * time.Second)
		for _, n := range net.names {
			Expect(net.view(n)).To(HaveLen(30), n)
		}
	})

	// A process that starts before the seeds listen loses its first Sync. It must retry
	// after JoinRetryPeriod and not wait for SyncPeriod.
	It("discovers all processes within 3 s of the start of the last seed", func() {
		for seed := range uint64(20) {
			net := &network{
				random: rand.New(rand.NewPCG(seed, 1)), cores: map[string]*membership.Core{},
				blocked: func(string, string) bool { return false }, packetsSent: map[string]int{},
			}
			for i := 2; i < 12; i++ {
				net.start(name(i), 1, seed+uint64(i))
			}
			net.advance(300 * time.Millisecond)
			net.start(name(1), 1, seed+1)
			net.advance(300 * time.Millisecond)
			net.start(name(0), 1, seed)
			net.advance(3 * time.Second)
			for _, n := range net.names {
				Expect(net.view(n)).To(HaveLen(12), "%s, seed %d", n, seed)
			}
		}
	})

	It("removes a killed process from all views within 10 s and accepts its restart", func() {
		net := newNetwork(30, 2)
		net.advance(15 * time.Second)
		net.kill(name(7))
		net.advance(10 * time.Second)
		for _, n := range net.names {
			if n != name(7) {
				Expect(net.view(n)).NotTo(HaveKey(name(7)), n)
			}
		}
		net.start(name(7), 1, 99) // same incarnation: the process must refute that it is dead
		net.advance(15 * time.Second)
		for _, n := range net.names {
			Expect(net.view(n)).To(HaveKeyWithValue(name(7), membership.Alive), n)
		}
	})

	It("does not suspect a process while only one link to it is down", func() {
		net := newNetwork(10, 3)
		net.advance(15 * time.Second)
		net.blocked = func(from, to string) bool { return from == name(2) && to == name(5) }
		for range 600 {
			net.advance(100 * time.Millisecond)
			Expect(net.view(name(2))).To(HaveKeyWithValue(name(5), membership.Alive))
			Expect(net.view(name(9))).To(HaveKeyWithValue(name(5), membership.Alive))
		}
	})

	It("merges both halves after a partition of several minutes", func() {
		net := newNetwork(20, 4)
		net.advance(15 * time.Second)
		inFirstHalf := func(n string) bool { return n < name(10) }
		net.blocked = func(from, to string) bool { return inFirstHalf(from) != inFirstHalf(to) }
		net.advance(3 * time.Minute)
		Expect(net.view(name(0))).To(HaveLen(10))
		net.blocked = func(string, string) bool { return false }
		net.advance(45 * time.Second)
		for _, n := range net.names {
			Expect(net.view(n)).To(HaveLen(20), n)
		}
	})

	It("removes a process that leaves at once, without suspecting it first", func() {
		net := newNetwork(10, 5)
		net.advance(15 * time.Second)
		net.send(name(4), net.cores[name(4)].Leave())
		net.advance(3 * time.Second)
		net.kill(name(4))
		Expect(net.view(name(8))).NotTo(HaveKey(name(4)))
	})

	It("does not increase the packets per process in a fleet four times as large", func() {
		rate := func(n int) float64 {
			net := newNetwork(n, 6)
			net.advance(20 * time.Second)
			net.packetsSent = map[string]int{}
			net.advance(60 * time.Second)
			totalPackets := 0
			for _, count := range net.packetsSent {
				totalPackets += count
			}
			return float64(totalPackets) / float64(n) / 60
		}
		Expect(rate(80)).To(BeNumerically("<", 1.05*rate(20)))
	})
})

// TestIncarnationNeverDecreases guards against stale updates: under random packet loss,
// kills and restarts, no view may replace a member with a lower incarnation.
func TestIncarnationNeverDecreases(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		net := newNetwork(6, rapid.Uint64Range(1, 1<<20).Draw(r, "seed"))
		net.lossRate = rapid.Float64Range(0, 0.4).Draw(r, "loss")
		highest := map[string]uint64{}
		for range rapid.IntRange(1, 8).Draw(r, "rounds") {
			victim := name(rapid.IntRange(2, 5).Draw(r, "victim"))
			switch rapid.IntRange(0, 2).Draw(r, "action") {
			case 0:
				net.kill(victim)
			case 1:
				net.start(victim, rapid.Uint64Range(1, 3).Draw(r, "incarnation"), 7)
			}
			net.advance(2 * time.Second)
			for _, m := range net.cores[name(0)].Members() {
				if m.Incarnation < highest[m.Name] && m.Name != name(0) {
					r.Fatalf("incarnation of %s decreased from %d to %d", m.Name, highest[m.Name], m.Incarnation)
				}
				highest[m.Name] = max(highest[m.Name], m.Incarnation)
			}
		}
	})
}
