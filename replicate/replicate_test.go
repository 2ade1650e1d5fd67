package replicate_test

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"geraniumwall/raft"
	"geraniumwall/replicate"
)

func TestReplicate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "replicate")
}

// log is a state machine that keeps what was applied.
type log struct{ lines []string }

func (l *log) Apply(data []byte) any {
	l.lines = append(l.lines, string(data))
	return len(l.lines)
}

func (l *log) Snapshot() ([]byte, error) { return fmt.Appendf(nil, "%q", l.lines), nil }
func (l *log) Restore([]byte) error      { return errors.New("no snapshot is expected") }

// memory is a disk that never fails.
type memory struct{}

func (memory) Save(*raft.Write) error           { return nil }
func (memory) SaveSnapshot(raft.Snapshot) error { return nil }
func (memory) Close() error                     { return nil }

// network connects replicas by id. Those that are cut off reach nobody.
type network struct {
	mu    sync.Mutex
	nodes map[uint64]*node
	cut   map[uint64]bool
}

func (n *network) setCut(id uint64, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[id] = cut
}

type port struct {
	network *network
	id      uint64
}

func (p port) Send(messages []raft.Message) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	for _, m := range messages {
		if to := p.network.nodes[m.To]; to != nil && !p.network.cut[m.To] && !p.network.cut[p.id] {
			to.post(func() { to.replica.Step([]raft.Message{m}) })
		}
	}
}

func (port) SetPeers(map[uint64]string) {}
func (port) Close()                     {}

// node is a replica with its control thread.
type node struct {
	id      uint64
	replica *replicate.Replica
	machine *log
	work    chan func()
}

func (n *node) post(f func()) {
	select {
	case n.work <- f:
	default:
	}
}

// do runs f on the control thread and waits for it.
func do[T any](n *node, f func() T) T {
	result := make(chan T, 1)
	n.work <- func() { result <- f() }
	return <-result
}

func (w *network) start(id uint64, stored raft.Stored) *node {
	n := &node{id: id, machine: &log{}, work: make(chan func(), 10_000)}
	begin := time.Now()
	clock := func() time.Duration { return time.Since(begin) }
	r, err := replicate.New(replicate.Options{
		ID: id, Stored: stored, Storage: memory{}, Transport: port{w, id}, Machine: n.machine, Log: zerolog.Nop(), Seed: id,
		Post: n.post, Fatal: func(err error) { panic(err) }, Now: clock, Boot: clock,
	})
	Expect(err).NotTo(HaveOccurred())
	n.replica = r
	w.mu.Lock()
	w.nodes[id] = n
	w.mu.Unlock()
	stop := make(chan struct{})
	DeferCleanup(func() { close(stop) })
	go func() {
		t := time.NewTicker(replicate.TickInterval)
		defer t.Stop()
		for {
			select {
			case <-stop:
				return
			case f := <-n.work:
				f()
			case <-t.C:
				r.Tick()
				r.Maintain()
			}
		}
	}()
	return n
}

func found(count int) (*network, []*node) {
	w := &network{nodes: map[uint64]*node{}, cut: map[uint64]bool{}}
	var members []raft.Member
	for id := range count {
		members = append(members, raft.Member{ID: uint64(id + 1), Address: fmt.Sprint("a", id+1)}) //nolint:gosec // small
	}
	var nodes []*node
	for _, m := range members {
		nodes = append(nodes, w.start(m.ID, raft.Bootstrap(members)))
	}
	return w, nodes
}

// leader waits for the node that leads.
func leader(nodes ...*node) *node {
	var found *node
	Eventually(func() bool {
		for _, n := range nodes {
			if do(n, n.replica.Leads) {
				found = n
			}
		}
		return found != nil
	}, "5s", "20ms").Should(BeTrue())
	return found
}

func others(nodes []*node, except *node) []*node {
	var rest []*node
	for _, n := range nodes {
		if n != except {
			rest = append(rest, n)
		}
	}
	return rest
}

func propose(n *node, line string) error {
	done := make(chan error, 1)
	n.work <- func() {
		if err := n.replica.Propose([]byte(line), func(_ any, err error) { done <- err }); err != nil {
			done <- err
		}
	}
	return <-done
}

func lines(n *node) func() []string {
	return func() []string { return do(n, func() []string { return append([]string{}, n.machine.lines...) }) }
}

func addresses(n *node) func() []string {
	return func() []string {
		return do(n, func() []string {
			var list []string
			for _, m := range n.replica.Status().Membership.Members {
				state := ""
				if m.Learner {
					state = "?"
				}
				list = append(list, m.Address+state)
			}
			return list
		})
	}
}

var _ = Describe("Replica", func() {
	// Guards against replicas that apply different commands, and against a leader
	// that answers for the system after another one may lead.
	It("applies the same commands everywhere and loses its lease when it is cut off", func() {
		w, nodes := found(3)
		first := leader(nodes...)
		Expect(propose(first, "one")).To(Succeed())
		w.setCut(first.id, true)
		Eventually(func() bool { return do(first, first.replica.Leads) }, "2s", "10ms").Should(BeFalse())
		second := leader(others(nodes, first)...)
		Expect(do(first, first.replica.Leads)).To(BeFalse())
		Expect(propose(second, "two")).To(Succeed())
		w.setCut(first.id, false)
		for _, n := range nodes {
			Eventually(lines(n), "5s").Should(Equal([]string{"one", "two"}))
		}
	})

	// Guards against a proposal of a former leader whose fate is told wrongly.
	It("tells that a proposal of a deposed leader is lost or unresolved", func() {
		w, nodes := found(3)
		first := leader(nodes...)
		w.setCut(first.id, true)
		fate := make(chan error, 1)
		go func() { fate <- propose(first, "never") }()
		second := leader(others(nodes, first)...)
		Expect(propose(second, "two")).To(Succeed())
		w.setCut(first.id, false)
		var err error
		Eventually(fate, "5s").Should(Receive(&err))
		Expect(errors.Is(err, replicate.ErrLost) || errors.Is(err, replicate.ErrUnresolved)).To(BeTrue())
		Eventually(lines(first), "5s").Should(Equal([]string{"two"}))
	})

	join := func(l *node, address string) uint64 {
		var id uint64
		Eventually(func() error {
			var err error
			do(l, func() bool { id, err = l.replica.Join(address, ""); return true })
			return err
		}, "5s", "20ms").Should(Succeed())
		return id
	}

	// Guards against a replica that lost its disk and votes again under its old id.
	It("removes a member without data and admits it under a new id", func() {
		w, nodes := found(3)
		l := leader(nodes...)
		Expect(propose(l, "one")).To(Succeed())
		lost := others(nodes, l)[0]
		w.setCut(lost.id, true)
		address := fmt.Sprint("a", lost.id)
		id := join(l, address)
		Expect(id).To(BeEquivalentTo(4))
		again := w.start(id, raft.Stored{})
		Eventually(lines(again), "5s").Should(Equal([]string{"one"}))
		Eventually(addresses(l), "5s").Should(ConsistOf("a1", "a2", "a3"))
		_, member := do(l, l.replica.Status).Membership.Find(lost.id)
		Expect(member).To(BeFalse())
	})

	// Guards against a split into halves that leaves no majority: of four replicas
	// three vote.
	It("keeps the number of voters odd", func() {
		w, nodes := found(3)
		l := leader(nodes...)
		w.start(join(l, "a8"), raft.Stored{})
		Eventually(addresses(l), "3s").Should(ConsistOf("a1", "a2", "a3", "a8?"))
		Consistently(addresses(l), "1s", "100ms").Should(ConsistOf("a1", "a2", "a3", "a8?"))
		w.start(join(l, "a9"), raft.Stored{})
		Eventually(addresses(l), "5s").Should(ConsistOf("a1", "a2", "a3", "a8", "a9"))
	})

	// Guards against a lost replica that counts for ever once another has taken its
	// place, and against the removal of one that is only cut off.
	It("removes a silent voter only when a new one takes its place", func() {
		w, nodes := found(3)
		l := leader(nodes...)
		lost := others(nodes, l)[0]
		w.setCut(lost.id, true)
		Consistently(addresses(l), "3s", "100ms").Should(ConsistOf("a1", "a2", "a3"))
		id := join(l, "a9")
		w.start(id, raft.Stored{})
		Eventually(addresses(l), "6s").Should(HaveLen(3))
		Expect(addresses(l)()).To(ContainElement("a9"))
		Expect(addresses(l)()).NotTo(ContainElement(fmt.Sprint("a", lost.id)))
	})
})
