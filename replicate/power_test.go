package replicate

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"geraniumwall/raft"
)

const (
	powerSeeds = 15
	// powerRounds is the number of times that all hosts lose power in one run.
	powerRounds = 3
	// powerJoinInterval is the time between two requests to join of one process.
	powerJoinInterval = 150 * time.Millisecond
	// recoveryLimit is how long the replicas have to become complete again without faults.
	recoveryLimit = 60 * time.Second
)

// powerCluster runs replicas with their real rules of membership in virtual time. Hosts lose
// power and disks, and the runs check that no acknowledged command is forgotten.
type powerCluster struct {
	rng    *rand.Rand
	now    time.Duration
	events powerEvents
	hosts  []*powerHost
	// faults is set while messages are late or lost, and hosts fail.
	faults bool
	// group is the side of a split on which each host is, by address.
	group map[string]int
	// acknowledged are the commands whose proposer was told of their commit, with the term of
	// the leader.
	acknowledged map[string]uint64
	// applied are the commands by index, from the first replica that applied them.
	applied  map[int]string
	proposed int
	counts   map[string]int
}

// powerHost is a host with the disk and the present process of a replica.
type powerHost struct {
	cluster *powerCluster
	address string
	// id, stored and peers, the members when it joined, are on the disk. The id is 0 if it is
	// empty.
	id     uint64
	stored raft.Stored
	peers  map[uint64]string
	// life counts the processes; events of earlier ones are dropped.
	life         int
	up           bool
	replica      *Replica
	machine      *powerMachine
	writing      *raft.Write
	stalledUntil time.Duration
	nonce        string
	wasLeading   bool
	// firstStart is set until the host has joined at the first start of all.
	firstStart bool
	// gone is set once the host is taken away for good.
	gone bool
}

type powerEvent struct {
	at  time.Duration
	seq int
	run func()
}

type powerEvents struct {
	list []powerEvent
	seq  int
}

func (e *powerEvents) Len() int { return len(e.list) }
func (e *powerEvents) Less(i, j int) bool {
	return e.list[i].at < e.list[j].at || e.list[i].at == e.list[j].at && e.list[i].seq < e.list[j].seq
}
func (e *powerEvents) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *powerEvents) Push(x any)    { e.list = append(e.list, x.(powerEvent)) }
func (e *powerEvents) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

// powerMachine records the applied commands.
type powerMachine struct {
	host  *powerHost
	lines []string
}

func (m *powerMachine) Apply(data []byte) any {
	c, index := m.host.cluster, len(m.lines)
	if known, found := c.applied[index]; found && known != string(data) {
		c.fail("%s applies %s as command %d, another replica applied %s", m.host.address, data, index, known)
	}
	c.applied[index] = string(data)
	m.lines = append(m.lines, string(data))
	return nil
}

func (m *powerMachine) Snapshot() ([]byte, error) { return json.Marshal(m.lines) }
func (m *powerMachine) Restore(data []byte) error { return json.Unmarshal(data, &m.lines) }

// powerTransport sends the messages of one process.
type powerTransport struct {
	host  *powerHost
	life  int
	peers map[uint64]string
}

func (t *powerTransport) Send(messages []raft.Message) {
	for _, m := range messages {
		if address, known := t.peers[m.To]; known {
			t.host.cluster.send(t.host, t.life, address, m)
		}
	}
}
func (t *powerTransport) SetPeers(addresses map[uint64]string) { t.peers = addresses }
func (t *powerTransport) Close()                               {}

// noStorage is never called: the test carries out the writes itself.
type noStorage struct{}

func (noStorage) Save(*raft.Write) error           { panic("unexpected write") }
func (noStorage) SaveSnapshot(raft.Snapshot) error { panic("unexpected snapshot") }
func (noStorage) Close() error                     { return nil }

func (c *powerCluster) fail(format string, args ...any) {
	panic(fmt.Sprintf("%v: ", c.now) + fmt.Sprintf(format, args...))
}

func (c *powerCluster) schedule(d time.Duration, run func()) {
	c.events.seq++
	heap.Push(&c.events, powerEvent{c.now + d, c.events.seq, run})
}

func (c *powerCluster) randomTime(least, most time.Duration) time.Duration {
	return least + time.Duration(c.rng.Int64N(int64(most-least)))
}

func (c *powerCluster) chance(share float64) bool { return c.faults && c.rng.Float64() < share }

func (c *powerCluster) runUntil(until time.Duration) {
	for c.events.Len() > 0 && c.events.list[0].at <= until {
		e := heap.Pop(&c.events).(powerEvent)
		c.now = e.at
		e.run()
	}
	c.now = until
}

// newPowerCluster starts founders, and further hosts that join them.
func newPowerCluster(seed uint64, founders, joining int) *powerCluster {
	c := &powerCluster{
		rng: rand.New(rand.NewPCG(seed, 0)), group: map[string]int{}, acknowledged: map[string]uint64{}, applied: map[int]string{}, //nolint:gosec // a simulation
		counts: map[string]int{},
	}
	var members []raft.Member
	peers := map[uint64]string{}
	for i := range founders + joining {
		h := &powerHost{cluster: c, address: fmt.Sprint("h", i+1), firstStart: true}
		c.hosts = append(c.hosts, h)
		if i < founders {
			h.id = uint64(i) + 1 //nolint:gosec // small
			members = append(members, raft.Member{ID: h.id, Address: h.address})
			peers[h.id] = h.address
		}
	}
	for _, h := range c.hosts {
		if h.id != 0 {
			h.stored, h.peers = raft.Bootstrap(members), peers
		}
		h.powerOn()
	}
	return c
}

// powerOn starts the process of a host, which joins if its disk is empty.
func (h *powerHost) powerOn() {
	h.up, h.stalledUntil = true, 0
	if h.id == 0 {
		h.nonce = fmt.Sprintf("%s.%d", h.address, h.life)
		h.joinLater()
		return
	}
	h.startReplica()
}

func (h *powerHost) startReplica() {
	c, life := h.cluster, h.life
	h.machine, h.wasLeading = &powerMachine{host: h}, false
	startedAt := c.now
	clock := func() time.Duration { return c.now - startedAt }
	boot := func() time.Duration { return c.now }
	r, err := New(Options{
		ID: h.id, Stored: h.stored, Storage: noStorage{}, Transport: &powerTransport{host: h, life: life}, Machine: h.machine, Log: zerolog.Nop(),
		Seed: c.rng.Uint64(), Post: func(func()) { panic("unexpected call") }, Fatal: func(err error) { panic(err) }, Now: clock, Boot: boot,
		Peers: h.peers,
	})
	if err != nil {
		c.fail("%s does not start: %v", h.address, err)
	}
	r.disk.Close()
	r.disk = &DiskQueue{writes: make(chan *raft.Write, 1)}
	h.replica = r
	h.tick(life)
}

// powerOff ends the process of a host. A write in progress may have become durable.
func (h *powerHost) powerOff() {
	if h.writing != nil && h.cluster.rng.IntN(2) == 0 {
		h.persist(h.writing)
	}
	h.up, h.replica, h.writing = false, nil, nil
	h.life++
}

func (h *powerHost) loseDisk() { h.id, h.stored, h.peers, h.firstStart = 0, raft.Stored{}, nil, false }

func (h *powerHost) persist(w *raft.Write) {
	if w.Snapshot != nil {
		h.stored.Snapshot, h.stored.Entries = *w.Snapshot, nil
	}
	h.stored.HardState = w.HardState
	if len(w.Entries) > 0 {
		keep := w.Entries[0].Index - h.stored.Snapshot.Index - 1
		h.stored.Entries = append(slices.Clone(h.stored.Entries[:keep]), w.Entries...)
	}
}

// onControl runs a function on the control thread of a process, after those that wait there.
func (h *powerHost) onControl(life int, run func()) {
	if h.life != life || h.replica == nil {
		return
	}
	if wait := h.stalledUntil - h.cluster.now; wait > 0 {
		h.cluster.schedule(wait, func() { h.onControl(life, run) })
		return
	}
	run()
	h.afterCall()
}

// afterCall starts the write that a call has queued and checks the state.
func (h *powerHost) afterCall() {
	c, life := h.cluster, h.life
	select {
	case w := <-h.replica.disk.writes:
		h.writing = w
		delay := time.Millisecond
		if c.chance(0.05) {
			delay = c.randomTime(time.Millisecond, 900*time.Millisecond)
		}
		c.schedule(delay, func() {
			if h.life != life {
				return
			}
			h.persist(w)
			h.writing = nil
			h.onControl(life, func() { h.replica.onWritten(w) })
		})
	default:
	}
	h.check()
}

// check guards against a leader that lacks a command that was acknowledged in its term or an
// earlier one, and counts the times at which two leaders hold a lease.
func (h *powerHost) check() {
	c := h.cluster
	leaderTerm, leading := h.replica.Leading()
	if leading && !h.wasLeading {
		c.counts["leaders"]++
		for command, term := range c.acknowledged {
			if leaderTerm >= term && !slices.Contains(h.machine.lines, command) {
				c.fail("%s leads without the acknowledged command %s", h.address, command)
			}
		}
	}
	h.wasLeading = leading
	if !h.replica.Leads() {
		return
	}
	for _, other := range c.hosts {
		if other != h && other.replica != nil && other.replica.Leads() {
			c.counts["double leases"]++
		}
	}
}

func (h *powerHost) tick(life int) {
	h.onControl(life, func() {
		h.replica.Tick()
		h.replica.Maintain()
		h.cluster.schedule(TickInterval, func() { h.tick(life) })
	})
}

// send delivers a message late, or not at all.
func (c *powerCluster) send(from *powerHost, life int, address string, m raft.Message) {
	delay := c.randomTime(time.Millisecond, 20*time.Millisecond)
	switch {
	case c.chance(0.02):
		return
	case c.chance(0.03):
		delay = c.randomTime(20*time.Millisecond, 1500*time.Millisecond)
	}
	c.schedule(delay, func() {
		index := slices.IndexFunc(c.hosts, func(h *powerHost) bool { return h.address == address })
		if index < 0 || c.hosts[index].replica == nil {
			return
		}
		to := c.hosts[index]
		if c.group[from.address] != c.group[address] {
			return
		}
		to.onControl(to.life, func() {
			if to.replica.Status().Committed.Removed(m.From) {
				c.retire(from, life)
				return
			}
			to.replica.Step([]raft.Message{m})
		})
	})
}

// retire restarts a process that has learned of its removal, so that it joins again.
func (c *powerCluster) retire(h *powerHost, life int) {
	c.schedule(c.randomTime(time.Millisecond, 20*time.Millisecond), func() {
		if h.life != life || h.id == 0 {
			return
		}
		c.counts["retired"]++
		h.powerOff()
		h.loseDisk()
		h.powerOn()
	})
}

// propose proposes a command at each replica that takes it for itself to lead. The first
// acknowledgement of a command calls onAcknowledged.
func (c *powerCluster) propose(onAcknowledged func()) {
	for _, h := range c.hosts {
		if h.replica == nil || !h.replica.leading {
			continue
		}
		c.proposed++
		command := fmt.Sprintf("c%d", c.proposed)
		h.onControl(h.life, func() {
			_ = h.replica.Propose([]byte(command), func(_ any, err error) {
				if err == nil {
					c.acknowledged[command], _ = h.replica.Leading()
					onAcknowledged()
				}
			})
		})
	}
}

// disturb starts one random fault.
func (c *powerCluster) disturb() {
	h := c.hosts[c.rng.IntN(len(c.hosts))]
	length := c.randomTime(300*time.Millisecond, 2*time.Second)
	switch c.rng.IntN(6) {
	case 0:
		h.stalledUntil = max(h.stalledUntil, c.now+length)
	case 1:
		for _, leader := range c.hosts {
			if leader.replica != nil && leader.replica.leading {
				leader.stalledUntil = max(leader.stalledUntil, c.now+length)
			}
		}
	case 2:
		if h.replica != nil && h.stalledUntil <= c.now {
			h.onControl(h.life, func() { h.replica.Transfer() })
		}
	case 3:
		if h.up {
			h.powerOff()
			c.schedule(c.randomTime(50*time.Millisecond, 2*time.Second), h.powerOnUnlessUp)
		}
	case 4, 5:
		for _, other := range c.hosts {
			c.group[other.address] = c.rng.IntN(2)
		}
		c.schedule(length, func() { clear(c.group) })
	}
}

func (h *powerHost) powerOnUnlessUp() {
	if !h.up && !h.gone {
		h.powerOn()
	}
}

// losePower ends all processes at once, empties two disks and starts the hosts one by one.
func (c *powerCluster) losePower() {
	c.counts["power losses"]++
	c.losePowerAndDisks(2)
}

// losePowerAndDisks ends all processes at once, empties a number of disks drawn by lot and
// starts the hosts one by one.
func (c *powerCluster) losePowerAndDisks(disks int) {
	hosts := c.remaining()
	lost := c.rng.Perm(len(hosts))[:disks]
	clear(c.group)
	for i, h := range hosts {
		if h.up {
			h.powerOff()
		}
		if slices.Contains(lost, i) {
			h.loseDisk()
		}
		c.schedule(c.randomTime(0, 3*time.Second), h.powerOnUnlessUp)
	}
}

// remaining returns the hosts that are not gone for good.
func (c *powerCluster) remaining() []*powerHost {
	return slices.DeleteFunc(slices.Clone(c.hosts), func(h *powerHost) bool { return h.gone })
}

// complete reports whether every host is an active member, and all agree on the members.
func (c *powerCluster) complete() bool {
	hosts := c.remaining()
	for _, h := range hosts {
		if h.replica == nil {
			return false
		}
		members := h.replica.Status().Committed
		if len(members.Members) != len(hosts) || len(members.Voters()) != targetVoters(len(hosts)) {
			return false
		}
		for _, other := range hosts {
			if _, found := members.Find(other.id); !found {
				return false
			}
		}
	}
	return true
}

// round lets the cluster run with faults, takes the power right after an acknowledgement, and
// lets it become complete again.
func (c *powerCluster) round() {
	c.faults = true
	end := c.now + c.randomTime(2*time.Second, 8*time.Second)
	for c.now < end {
		if c.rng.IntN(10) == 0 {
			c.disturb()
		}
		c.propose(func() {})
		c.runUntil(c.now + c.randomTime(5*time.Millisecond, 100*time.Millisecond))
	}
	c.becomeComplete()
	c.faults = true
	lost := false
	for !lost {
		c.propose(func() {
			if !lost {
				lost = true
				c.schedule(c.randomTime(0, 15*time.Millisecond), c.losePower)
			}
		})
		c.runUntil(c.now + 10*time.Millisecond)
	}
	c.runUntil(c.now + 20*time.Millisecond)
	end = c.now + c.randomTime(3*time.Second, 12*time.Second)
	for c.now < end {
		if c.rng.IntN(20) == 0 {
			c.disturb()
		}
		c.propose(func() {})
		c.runUntil(c.now + c.randomTime(5*time.Millisecond, 100*time.Millisecond))
	}
	c.becomeComplete()
}

// becomeComplete ends the faults and waits until every host is a member again and knows every
// acknowledged command.
func (c *powerCluster) becomeComplete() {
	c.faults = false
	clear(c.group)
	for _, h := range c.hosts {
		h.powerOnUnlessUp()
	}
	for limit := c.now + recoveryLimit; !c.complete(); {
		if c.now > limit {
			c.fail("the replicas do not become complete: %s", c.describe())
		}
		c.runUntil(c.now + TickInterval)
	}
	acknowledged := false
	for limit := c.now + recoveryLimit; !acknowledged; {
		if c.now > limit {
			c.fail("no command is acknowledged: %s", c.describe())
		}
		c.propose(func() { acknowledged = true })
		c.runUntil(c.now + TickInterval)
	}
	c.runUntil(c.now + 2*time.Second)
	for _, h := range c.remaining() {
		for command := range c.acknowledged {
			if !slices.Contains(h.machine.lines, command) {
				c.fail("%s lacks the acknowledged command %s: %s", h.address, command, c.describe())
			}
		}
	}
}

func (c *powerCluster) describe() string {
	text := ""
	for _, h := range c.hosts {
		text += fmt.Sprintf("\n%s id %d up %t gone %t", h.address, h.id, h.up, h.gone)
		if h.replica != nil {
			s := h.replica.Status()
			text += fmt.Sprintf(" %v term %d last %d commit %d members %v", s.Role, s.Term, s.Last, s.Commit, s.Membership.Members)
		}
	}
	return text
}

// runPower returns what a seed has broken.
func runPower(seed uint64, founders, joining int) (c *powerCluster, broken any) {
	defer func() { broken = recover() }()
	c = newPowerCluster(seed, founders, joining)
	for range powerRounds {
		c.round()
	}
	return c, nil
}

// powerRange returns the seeds to run. GERANIUM_SOAK_SECONDS sets their number, and they start
// from the current time then.
func powerRange() (first uint64, count int) {
	if s, err := strconv.Atoi(os.Getenv("GERANIUM_SOAK_SECONDS")); err == nil && s > 0 {
		return uint64(time.Now().UnixNano()), s * 2 //nolint:gosec // a seed
	}
	return 1, powerSeeds
}

var _ = Describe("Replicas of hosts that lose power", func() {
	sizes := []struct{ founders, joining int }{{5, 0}, {5, 1}, {6, 0}}
	for _, size := range sizes {
		// Guards against an acknowledged command that a later leader does not know, after all
		// hosts have lost power and two of them their disks.
		It(fmt.Sprintf("keep each acknowledged command with %d founders and %d joined", size.founders, size.joining), func() {
			first, count := powerRange()
			counts := map[string]int{}
			for i := range count {
				seed := first + uint64(i) //nolint:gosec // small
				c, broken := runPower(seed, size.founders, size.joining)
				Expect(broken).To(BeNil(), "seed %d", seed)
				for name, n := range c.counts {
					counts[name] += n
				}
			}
			GinkgoWriter.Println(counts)
			for _, name := range []string{"power losses", "joined", "leaders"} {
				Expect(counts[name]).To(BeNumerically(">=", count), name)
			}
		})
	}
})
