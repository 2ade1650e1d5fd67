package gossip

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"geraniumwall/membership"
	"geraniumwall/settings"
)

// TestGossip guards the adapter: processes find each other over real UDP, and one
// that stops in a planned way disappears without waiting for a suspicion.
func TestGossip(t *testing.T) {
	g := NewWithT(t)
	var seeds []string
	var all []*Gossip
	for _, name := range []string{"a", "b", "c"} {
		one, err := Start(context.Background(), Settings{
			Self:  membership.Member{Name: name, Kind: "gateway", GossipAddress: "127.0.0.1:0"},
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
	g.Eventually(all[0].Members).WithTimeout(membership.SuspicionTimeout).Should(HaveLen(2))
	all[0].Stop()
	all[1].Stop()
}

// TestForeignDatagrams guards against a process without the key that joins, or
// learns who is in the fleet.
func TestForeignDatagrams(t *testing.T) {
	g := NewWithT(t)
	start := func(name string, key []byte, seeds ...string) *Gossip {
		one, err := Start(context.Background(), Settings{
			Self: membership.Member{Name: name, GossipAddress: "127.0.0.1:0"}, Seeds: seeds, Key: key,
		}, zerolog.Nop())
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(one.Stop)
		return one
	}
	key := bytes.Repeat([]byte("k"), minKeyBytes)
	a := start("a", key)
	b := start("b", key, a.Address())
	foreign := start("c", bytes.Repeat([]byte("x"), minKeyBytes), a.Address())
	open := start("d", nil, a.Address())
	g.Eventually(a.Members).WithTimeout(5 * time.Second).Should(HaveLen(2))
	g.Eventually(b.Members).WithTimeout(5 * time.Second).Should(HaveLen(2))
	g.Consistently(func() int { return len(a.Members()) + len(foreign.Members()) + len(open.Members()) }).
		WithTimeout(time.Second).Should(Equal(4))
}

// TestJoin guards against settings that would leave a process alone or open
// without a word.
func TestJoin(t *testing.T) {
	g := NewWithT(t)
	none, err := Join(context.Background(), nil, membership.Member{}, zerolog.Nop())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(none.Members()).To(BeEmpty())
	none.Stop()
	for _, wrong := range []string{`{"listen":"0.0.0.0:1","seeds":["127.0.0.1:1"]}`, `{"listen":"127.0.0.1:1","seeds":[]}`} {
		s := &checked{}
		err := settings.Parse("file", []byte(`{"membership":`+wrong+`}`), s)
		g.Expect(err).To(MatchError(ContainSubstring("membership.")), wrong)
	}
	short := filepath.Join(t.TempDir(), "key")
	g.Expect(os.WriteFile(short, []byte("short"), 0o600)).To(Succeed())
	for _, file := range []string{short, short + ".missing"} {
		_, err := Join(context.Background(), &JoinSettings{Listen: "127.0.0.1:0", KeyFile: file}, membership.Member{}, zerolog.Nop())
		g.Expect(err).To(MatchError(ContainSubstring("at least 32")))
	}
}

type checked struct {
	Membership *JoinSettings `json:"membership"`
}

func (c *checked) Check(k *settings.Checker) { c.Membership.Check(k) }

// TestBandwidth guards against traffic that grows with the fleet. 105 processes
// are 20 domains with two schedulers and three gateways each and 5 replicas.
func TestBandwidth(t *testing.T) {
	const limit = 17_000 // bytes/s of a node for all of control
	small, large := bytesPerSecond(t, 20), bytesPerSecond(t, 105)
	t.Logf("sent by one process: %.0f bytes/s of 20, %.0f of 105", small, large)
	g := NewWithT(t)
	g.Expect(large).To(BeNumerically("<", 1.1*small))
	g.Expect(2 * large).To(BeNumerically("<", limit))
}

// bytesPerSecond is what one process of a settled fleet sends, in virtual time.
// The news of 105 processes that join at once takes 80 s to be passed on.
func bytesPerSecond(t *testing.T, n int) float64 {
	t.Helper()
	const settle, measured, step = 2 * time.Minute, time.Minute, 50 * time.Millisecond
	cores := map[string]*membership.Core{}
	for i := range n {
		address := fmt.Sprintf("127.0.0.1:%d", 10_000+i)
		cores[address] = membership.New(membership.Member{
			Name: fmt.Sprintf("gateway-bern-a-%d", i), Kind: membership.KindGateway, Domain: "bern-a",
			Address: address, GossipAddress: address, Incarnation: uint64(time.Now().UnixMilli()),
		}, []string{"127.0.0.1:10000", "127.0.0.1:10001"}, rand.New(rand.NewPCG(1, uint64(i))))
	}
	total := 0
	var inFlight []membership.Outgoing
	send := func(now time.Duration, out []membership.Outgoing) {
		for _, o := range out {
			if now < settle {
				continue
			}
			datagram, err := encode(o.Packet)
			if err != nil {
				t.Fatal(err)
			}
			total += len(datagram)
		}
		inFlight = append(inFlight, out...)
	}
	for now := time.Duration(0); now < settle+measured; now += step {
		due := inFlight
		inFlight = nil
		for _, o := range due {
			send(now, cores[o.To].Receive(now, o.Packet))
		}
		for _, c := range cores {
			send(now, c.Tick(now))
		}
	}
	return float64(total) / float64(n) / measured.Seconds()
}

// FuzzDecode guards against a datagram that makes the core panic.
func FuzzDecode(f *testing.F) {
	datagram, err := encode(membership.Packet{
		Kind: membership.Ping, From: membership.Member{Name: "x", GossipAddress: "y", State: membership.Alive},
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
		core := membership.New(membership.Member{Name: "self", GossipAddress: "self"}, nil, rand.New(rand.NewPCG(1, 2)))
		core.Receive(time.Second, p)
		core.Tick(2 * time.Second)
	})
}
