package gossip

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"geraniumwall/membership"
)

// TestGossip guards the adapter: processes find each other over real UDP, and one
// that stops in a planned way disappears without waiting for a suspicion.
func TestGossip(t *testing.T) {
	g := NewWithT(t)
	var seeds []string
	var all []*Gossip
	for _, name := range []string{"a", "b", "c"} {
		one, err := Start(context.Background(), Settings{
			Self:  membership.Member{Name: name, Kind: "gateway", Gossip: "127.0.0.1:0"},
			Seeds: seeds,
		}, zerolog.Nop())
		g.Expect(err).NotTo(HaveOccurred())
		seeds = append(seeds, one.Address())
		all = append(all, one)
	}
	for _, one := range all {
		g.Eventually(one.Members).WithTimeout(20 * time.Second).Should(HaveLen(3))
	}
	all[2].Stop()
	g.Eventually(all[0].Members).WithTimeout(membership.SuspectTime).Should(HaveLen(2))
	all[0].Stop()
	all[1].Stop()
}

// FuzzDecode guards against a datagram that makes the core panic.
func FuzzDecode(f *testing.F) {
	datagram, err := encode(membership.Packet{
		Kind: membership.Ping, From: membership.Member{Name: "x", Gossip: "y", State: membership.Alive},
		Updates: []membership.Member{{Name: "z", State: membership.Dead, Incarnation: 3}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(datagram)
	f.Fuzz(func(_ *testing.T, datagram []byte) {
		p, err := decode(datagram)
		if err != nil {
			return
		}
		core := membership.New(membership.Member{Name: "self", Gossip: "self"}, nil, rand.New(rand.NewPCG(1, 2)))
		core.Receive(time.Second, p)
		core.Tick(2 * time.Second)
	})
}
