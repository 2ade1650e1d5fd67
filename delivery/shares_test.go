package delivery

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const shareWorkers = 3000

// shareFixture returns a sender with 39 carriers in three domains, one of which has only three.
func shareFixture(now *time.Duration) (*Sender, []Carrier) {
	s := &Sender{now: func() time.Duration { return *now }, carriers: map[string]*carrier{}}
	var carriers []Carrier
	for i := range 39 {
		domain := fmt.Sprint("zone-", i%2)
		if i < 3 {
			domain = "zone-2"
		}
		carriers = append(carriers, Carrier{Address: fmt.Sprintf("192.0.2.%d:7000", i), Domain: domain})
	}
	s.SetFixedShares(true)
	s.SetCarriers(carriers)
	return s, carriers
}

func selectAll(s *Sender) map[string]string {
	chosen := map[string]string{}
	for i := range shareWorkers {
		worker := fmt.Sprintf("i-%d", i)
		chosen[worker] = s.selectCarrier(worker, fmt.Sprint("zone-", i%3))
	}
	return chosen
}

// Guards against a carrier that calls most workers of its domain for lack of others there: with
// four connections to each, it would run out of descriptors.
func TestSharesAreBounded(t *testing.T) {
	g := NewWithT(t)
	now := time.Second
	s, _ := shareFixture(&now)
	count := map[string]int{}
	for _, address := range selectAll(s) {
		count[address]++
	}
	for address, n := range count {
		g.Expect(n).To(BeNumerically("<=", shareWorkers*5/4/39+shareStep), address)
	}
	s.SetFixedShares(false)
	clear(count)
	for _, address := range selectAll(s) {
		count[address]++
	}
	g.Expect(count["192.0.2.0:7000"]).To(BeNumerically(">", 250), "without fixed shares the domain decides alone")
}

// Guards against workers that move between carriers without need: each move opens
// connections.
func TestSharesSurviveLosses(t *testing.T) {
	g := NewWithT(t)
	now := time.Second
	s, carriers := shareFixture(&now)
	before := selectAll(s)
	lost := carriers[10].Address

	// A pause that is shorter than memberRetention moves the workers back afterwards.
	rest := append(append([]Carrier(nil), carriers[:10]...), carriers[11:]...)
	now += time.Second
	s.SetCarriers(rest)
	for worker, address := range selectAll(s) {
		if before[worker] != lost {
			g.Expect(address).To(Equal(before[worker]), worker)
		}
		g.Expect(address).NotTo(Equal(lost))
	}
	now += time.Second
	s.SetCarriers(carriers)
	g.Expect(selectAll(s)).To(Equal(before))

	now += memberRetention + time.Second
	s.SetCarriers(rest)
	moved := 0
	for worker, address := range selectAll(s) {
		g.Expect(address).NotTo(Equal(lost))
		if before[worker] != lost && address != before[worker] {
			moved++
		}
	}
	t.Logf("%d workers of other carriers moved", moved)
	g.Expect(moved).To(BeZero())

	// The carrier that comes back gets most of its workers back, and no others move.
	after := selectAll(s)
	now += time.Second
	s.SetCarriers(carriers)
	returned := 0
	for worker, address := range selectAll(s) {
		if address == lost {
			returned++
			continue
		}
		g.Expect(address).To(Equal(after[worker]), worker)
	}
	g.Expect(returned).To(BeNumerically(">", 30))

	// A new leader, which sends its first orders in another sequence, assigns most workers the
	// same way.
	other, _ := shareFixture(&now)
	same := 0
	for i := range shareWorkers {
		worker := fmt.Sprintf("i-%d", shareWorkers-1-i)
		if other.selectCarrier(worker, fmt.Sprint("zone-", (shareWorkers-1-i)%3)) == before[worker] {
			same++
		}
	}
	t.Logf("%d workers have the same carrier under a new leader", same)
	g.Expect(same).To(BeNumerically(">", shareWorkers*2/3))
}

// BenchmarkSelectCarrier measures the choice of the carrier of an order.
func BenchmarkSelectCarrier(b *testing.B) {
	for _, fixed := range []bool{false, true} {
		b.Run(fmt.Sprint("fixed=", fixed), func(b *testing.B) {
			now := time.Second
			s, _ := shareFixture(&now)
			s.SetFixedShares(fixed)
			workers := make([]string, shareWorkers)
			for i := range workers {
				workers[i] = fmt.Sprintf("i-%d", i)
			}
			b.ReportAllocs()
			for i := range b.N {
				s.selectCarrier(workers[i%shareWorkers], "zone-1")
			}
		})
	}
}
