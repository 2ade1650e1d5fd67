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

// TestDiscoveryAndLeave runs the protocol over real UDP. It guards against processes
// that do not find each other, and against a planned stop that is noticed only after the
// suspicion timeout.
func TestDiscoveryAndLeave(t *testing.T) {
	g := NewWithT(t)
	var seeds []string
	var processes []*Gossip
	for _, name := range []string{"a", "b", "c"} {
		process, err := Start(context.Background(), Options{
			Self:  membership.Member{Name: name, Kind: "gateway", GossipAddress: "127.0.0.1:0"},
			Seeds: seeds,
		}, zerolog.Nop())
		g.Expect(err).NotTo(HaveOccurred())
		seeds = append(seeds, process.Address())
		processes = append(processes, process)
	}
	for _, process := range processes {
		g.Eventually(process.Members).WithTimeout(20 * time.Second).Should(HaveLen(3))
	}
	processes[2].Stop()
	g.Eventually(processes[0].Members).WithTimeout(membership.SuspicionTimeout).Should(HaveLen(2))
	processes[0].Stop()
	processes[1].Stop()
}

// TestDropsUnauthenticatedDatagrams guards against a process without the right key that
// joins the fleet or learns its members.
func TestDropsUnauthenticatedDatagrams(t *testing.T) {
	g := NewWithT(t)
	start := func(name string, key []byte, seeds ...string) *Gossip {
		process, err := Start(context.Background(), Options{
			Self: membership.Member{Name: name, GossipAddress: "127.0.0.1:0"}, Seeds: seeds, Key: key,
		}, zerolog.Nop())
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(process.Stop)
		return process
	}
	key := bytes.Repeat([]byte("k"), minKeyBytes)
	a := start("a", key)
	b := start("b", key, a.Address())
	wrongKey := start("c", bytes.Repeat([]byte("x"), minKeyBytes), a.Address())
	withoutKey := start("d", nil, a.Address())
	g.Eventually(a.Members).WithTimeout(5 * time.Second).Should(HaveLen(2))
	g.Eventually(b.Members).WithTimeout(5 * time.Second).Should(HaveLen(2))
	g.Consistently(func() int { return len(a.Members()) + len(wrongKey.Members()) + len(withoutKey.Members()) }).
		WithTimeout(time.Second).Should(Equal(4))
}

// TestJoin guards against settings that silently leave a process isolated or its
// datagrams unauthenticated.
func TestJoin(t *testing.T) {
	g := NewWithT(t)
	disabled, err := Join(context.Background(), nil, membership.Member{}, zerolog.Nop())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(disabled.Members()).To(BeEmpty())
	disabled.Stop()
	for _, invalid := range []string{`{"listen":"0.0.0.0:1","seeds":["127.0.0.1:1"]}`, `{"listen":"127.0.0.1:1","seeds":[]}`} {
		parsed := &daemonSettings{}
		err := settings.Parse("file", []byte(`{"membership":`+invalid+`}`), parsed)
		g.Expect(err).To(MatchError(ContainSubstring("membership.")), invalid)
	}
	shortKey := filepath.Join(t.TempDir(), "key")
	g.Expect(os.WriteFile(shortKey, []byte("short"), 0o600)).To(Succeed())
	for _, file := range []string{shortKey, shortKey + ".missing"} {
		_, err := Join(context.Background(), &JoinSettings{Listen: "127.0.0.1:0", KeyFile: file}, membership.Member{}, zerolog.Nop())
		g.Expect(err).To(MatchError(ContainSubstring("at least 32")))
	}
}

type daemonSettings struct {
	Membership *JoinSettings `json:"membership"`
}

func (s *daemonSettings) Check(c *settings.Checker) { s.Membership.Check(c) }

// TestBandwidth guards against traffic per process that grows with the fleet. A fleet
// of 105 processes has 5 replicas and 20 domains of two schedulers and three gateways.
func TestBandwidth(t *testing.T) {
	const maxBytesPerSecond = 17_000 // limit of one node for all control traffic
	small, large := bytesPerSecond(t, 20), bytesPerSecond(t, 105)
	t.Logf("bytes/s sent by one process: %.0f in a fleet of 20, %.0f in a fleet of 105", small, large)
	g := NewWithT(t)
	g.Expect(large).To(BeNumerically("<", 1.1*small))
	g.Expect(2 * large).To(BeNumerically("<", maxBytesPerSecond))
}

// bytesPerSecond returns the bytes that one process sends per second of virtual time
// once the fleet has settled. The updates of 105 processes that join at the same time
// take 80 s to spread.
func bytesPerSecond(t *testing.T, n int) float64 {
	t.Helper()
	const settleTime, measureTime, timeStep = 2 * time.Minute, time.Minute, 50 * time.Millisecond
	cores := map[string]*membership.Core{}
	for i := range n {
		address := fmt.Sprintf("127.0.0.1:%d", 10_000+i)
		cores[address] = membership.New(membership.Member{
			Name: fmt.Sprintf("gateway-bern-a-%d", i), Kind: membership.KindGateway, Domain: "bern-a",
			Address: address, GossipAddress: address, Incarnation: uint64(time.Now().UnixMilli()),
		}, []string{"127.0.0.1:10000", "127.0.0.1:10001"}, rand.New(rand.NewPCG(1, uint64(i))))
	}
	totalBytes := 0
	var inFlight []membership.Outgoing
	send := func(now time.Duration, out []membership.Outgoing) {
		for _, o := range out {
			if now < settleTime {
				continue
			}
			datagram, err := encodePacket(o.Packet)
			if err != nil {
				t.Fatal(err)
			}
			totalBytes += len(datagram)
		}
		inFlight = append(inFlight, out...)
	}
	for now := time.Duration(0); now < settleTime+measureTime; now += timeStep {
		due := inFlight
		inFlight = nil
		for _, o := range due {
			send(now, cores[o.To].Receive(now, o.Packet))
		}
		for _, c := range cores {
			send(now, c.Tick(now))
		}
	}
	return float64(totalBytes) / float64(n) / measureTime.Seconds()
}

// FuzzDecode guards against datagrams that make the decoder or the core panic.
func FuzzDecode(f *testing.F) {
	datagram, err := encodePacket(membership.Packet{
		Kind: membership.Ping, From: membership.Member{Name: "x", GossipAddress: "y", State: membership.Alive},
		Updates: []membership.Member{{Name: "z", State: membership.Dead, Incarnation: 3}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(datagram)
	f.Fuzz(func(_ *testing.T, datagram []byte) {
		p, err := decodePacket(datagram)
		if err != nil {
			return
		}
		core := membership.New(membership.Member{Name: "self", GossipAddress: "self"}, nil, rand.New(rand.NewPCG(1, 2)))
		core.Receive(time.Second, p)
		core.Tick(2 * time.Second)
	})
}
