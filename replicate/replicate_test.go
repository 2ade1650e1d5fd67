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

// recordingMachine is a state machine that records the applied commands.
type recordingMachine struct{ lines []string }

func (l *recordingMachine) Apply(data []byte) any {
	l.lines = append(l.lines, string(data))
	return len(l.lines)
}

func (l *recordingMachine) Snapshot() ([]byte, error) { return fmt.Appendf(nil, "%q", l.lines), nil }
func (l *recordingMachine) Restore([]byte) error      { return errors.New("no snapshot is expected") }

// memoryStorage is a storage that persists nothing and never fails.
type memoryStorage struct{}

func (memoryStorage) Save(*raft.Write) error           { return nil }
func (memoryStorage) SaveSnapshot(raft.Snapshot) error { return nil }
func (memoryStorage) Close() error                     { return nil }

// network connects nodes by id. A partitioned node neither sends nor receives.
type network struct {
	mu          sync.Mutex
	nodes       map[uint64]*node
	partitioned map[uint64]bool
}

func (n *network) setPartitioned(id uint64, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[id] = partitioned
}

type fakeTransport struct {
	network *network
	id      uint64
}

func (p fakeTransport) Send(messages []raft.Message) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	for _, m := range messages {
		if to := p.network.nodes[m.To]; to != nil && !p.network.partitioned[m.To] && !p.network.partitioned[p.id] {
			to.post(func() { to.replica.Step([]raft.Message{m}) })
		}
	}
}

func (fakeTransport) SetPeers(map[uint64]string) {}
func (fakeTransport) Close()                     {}

// node is a replica and its control thread, which runs the queued calls.
type node struct {
	id      uint64
	replica *replicate.Replica
	machine *recordingMachine
	calls   chan func()
}

func (n *node) post(f func()) {
	select {
	case n.calls <- f:
	default:
	}
}

// call runs f on the control thread and waits for it.
func call[T any](n *node, f func() T) T {
	result := make(chan T, 1)
	n.calls <- func() { result <- f() }
	return <-result
}

func (w *network) start(id uint64, stored raft.Stored) *node {
	n := &node{id: id, machine: &recordingMachine{}, calls: make(chan func(), 10_000)}
	begin := time.Now()
	clock := func() time.Duration { return time.Since(begin) }
	r, err := replicate.New(replicate.Options{
		ID: id, Stored: stored, Storage: memoryStorage{}, Transport: fakeTransport{w, id}, Machine: n.machine, Log: zerolog.Nop(), Seed: id,
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
			case f := <-n.calls:
				f()
			case <-t.C:
				r.Tick()
				r.Maintain()
			}
		}
	}()
	return n
}

func startCluster(count int) (*network, []*node) {
	w := &network{nodes: map[uint64]*node{}, partitioned: map[uint64]bool{}}
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

// waitForLeader waits until one of the nodes leads and returns it.
func waitForLeader(nodes ...*node) *node {
	var found *node
	Eventually(func() bool {
		for _, n := range nodes {
			if call(n, n.replica.Leads) {
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
	n.calls <- func() {
		if err := n.replica.Propose([]byte(line), func(_ any, err error) { done <- err }); err != nil {
			done <- err
		}
	}
	return <-done
}

func lines(n *node) func() []string {
	return func() []string { return call(n, func() []string { return append([]string{}, n.machine.lines...) }) }
}

func addresses(n *node) func() []string {
	return func() []string {
		return call(n, func() []string {
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
	// Guards against replicas that apply different commands, and against a partitioned
	// leader that still claims to lead when another one may have been elected.
	It("applies the same commands on all replicas and loses its lease when partitioned", func() {
		w, nodes := startCluster(3)
		first := waitForLeader(nodes...)
		Expect(propose(first, "one")).To(Succeed())
		w.setPartitioned(first.id, true)
		Eventually(func() bool { return call(first, first.replica.Leads) }, "2s", "10ms").Should(BeFalse())
		second := waitForLeader(others(nodes, first)...)
		Expect(call(first, first.replica.Leads)).To(BeFalse())
		Expect(propose(second, "two")).To(Succeed())
		w.setPartitioned(first.id, false)
		for _, n := range nodes {
			Eventually(lines(n), "5s").Should(Equal([]string{"one", "two"}))
		}
	})

	// Guards against a wrong result for a proposal that a leader could not commit
	// before it was deposed.
	It("reports a proposal of a deposed leader as lost or unresolved", func() {
		w, nodes := startCluster(3)
		first := waitForLeader(nodes...)
		w.setPartitioned(first.id, true)
		outcome := make(chan error, 1)
		go func() { outcome <- propose(first, "never") }()
		second := waitForLeader(others(nodes, first)...)
		Expect(propose(second, "two")).To(Succeed())
		w.setPartitioned(first.id, false)
		var err error
		Eventually(outcome, "5s").Should(Receive(&err))
		Expect(errors.Is(err, replicate.ErrLost) || errors.Is(err, replicate.ErrUnresolved)).To(BeTrue())
		Eventually(lines(first), "5s").Should(Equal([]string{"two"}))
	})

	// join asks whichever node leads at the time, since leadership can move on a loaded
	// machine.
	join := func(nodes []*node, address string) uint64 {
		var id uint64
		Eventually(func() error {
			l := waitForLeader(nodes...)
			var err error
			call(l, func() bool { id, err = l.replica.Join(replicate.JoinRequest{Address: address}); return true })
			return err
		}, "5s", "20ms").Should(Succeed())
		return id
	}

	// Guards against a replica that lost its disk and votes again under its old id.
	It("removes a member that lost its data and adds it under a new id", func() {
		w, nodes := startCluster(3)
		l := waitForLeader(nodes...)
		Expect(propose(l, "one")).To(Succeed())
		failed := others(nodes, l)[0]
		w.setPartitioned(failed.id, true)
		address := fmt.Sprint("a", failed.id)
		id := join(others(nodes, failed), address)
		Expect(id).To(BeEquivalentTo(4))
		rejoined := w.start(id, raft.Stored{})
		Eventually(lines(rejoined), "5s").Should(Equal([]string{"one"}))
		Eventually(addresses(l), "5s").Should(ConsistOf("a1", "a2", "a3"))
		_, isMember := call(l, l.replica.Status).Membership.Find(failed.id)
		Expect(isMember).To(BeFalse())
	})

	// Guards against an even number of voters, which a partition into equal halves
	// leaves without a majority: of four replicas three vote.
	It("keeps the number of voters odd", func() {
		w, nodes := startCluster(3)
		l := waitForLeader(nodes...)
		w.start(join(nodes, "a8"), raft.Stored{})
		Eventually(addresses(l), "3s").Should(ConsistOf("a1", "a2", "a3", "a8?"))
		Consistently(addresses(l), "1s", "100ms").Should(ConsistOf("a1", "a2", "a3", "a8?"))
		w.start(join(nodes, "a9"), raft.Stored{})
		Eventually(addresses(l), "5s").Should(ConsistOf("a1", "a2", "a3", "a8", "a9"))
	})

	// Guards against a failed replica that stays a voter after another has replaced it,
	// and against the removal of a partitioned voter without a replacement.
	It("removes a silent voter only when a new one replaces it", func() {
		w, nodes := startCluster(3)
		l := waitForLeader(nodes...)
		lost := others(nodes, l)[0]
		w.setPartitioned(lost.id, true)
		Consistently(addresses(l), "3s", "100ms").Should(ConsistOf("a1", "a2", "a3"))
		id := join(others(nodes, lost), "a9")
		w.start(id, raft.Stored{})
		gone := fmt.Sprint("a", lost.id)
		Eventually(addresses(l), "6s").Should(And(HaveLen(3), ContainElement("a9"), Not(ContainElement(gone))))
	})
})
