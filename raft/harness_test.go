package raft_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"geraniumwall/raft"
)

const tickInterval = 50 * time.Millisecond

// replica is a node with a simulated disk and a state machine that records the
// applied entries.
type replica struct {
	id       uint64
	node     *raft.Node
	disk     raft.Stored
	writing  *raft.Write
	applied  []string
	index    uint64
	reads    []raft.ReadResult
	down     bool
	frozen   bool
	slowDisk bool
}

// cluster runs replicas on a simulated network and checks after each event that
// the replicas agree.
type cluster struct {
	config    raft.Config
	seed      uint64
	now       time.Duration
	replicas  []*replica
	network   []raft.Message
	leaders   map[uint64]uint64
	committed map[uint64]string
	// filter returns the copies of a message to deliver now; nil delivers all.
	filter func(raft.Message) []raft.Message
	// beforeSync, when set, is told of each write before it is durable.
	beforeSync func(*replica)
	// later are actions due at a time.
	later []timedAction
	// floors are the highest applied index when each read was asked for.
	floors map[uint64]uint64
}

type timedAction struct {
	due time.Duration
	run func()
}

func newCluster(seed uint64, size int, config raft.Config) *cluster {
	c := &cluster{config: config, seed: seed, leaders: map[uint64]uint64{}, committed: map[uint64]string{}, floors: map[uint64]uint64{}}
	var members []raft.Member
	for id := uint64(1); id <= uint64(size); id++ {
		members = append(members, raft.Member{ID: id})
	}
	for _, member := range members {
		c.add(member.ID, raft.Bootstrap(members))
	}
	return c
}

func (c *cluster) add(id uint64, stored raft.Stored) *replica {
	r := &replica{id: id, disk: stored}
	c.replicas = append(c.replicas, r)
	c.start(r)
	return r
}

func (c *cluster) get(id uint64) *replica {
	return c.replicas[slices.IndexFunc(c.replicas, func(r *replica) bool { return r.id == id })]
}

func (c *cluster) start(r *replica) {
	config := c.config
	config.ID = r.id
	c.seed++
	config.Random = rand.New(rand.NewPCG(c.seed, r.id))
	node, err := raft.New(config, r.disk)
	if err != nil {
		panic(err)
	}
	r.node, r.down, r.writing = node, false, nil
	r.restore(&r.disk.Snapshot)
	node.Tick(c.now)
}

func (c *cluster) crash(r *replica) {
	r.down, r.writing, r.node = true, nil, nil
}

func (r *replica) restore(snapshot *raft.Snapshot) {
	r.applied = nil
	r.index = snapshot.Index
	for rest := string(snapshot.Data); len(rest) > 0; rest = rest[4:] {
		r.applied = append(r.applied, rest[:4])
	}
}

// command is a proposal of four bytes, so that snapshots split into chunks.
func command(i int) []byte {
	return fmt.Appendf(nil, "%04d", i)
}

func (c *cluster) persist(r *replica, w *raft.Write) {
	if w.Snapshot != nil {
		r.disk.Snapshot, r.disk.Entries = *w.Snapshot, nil
	}
	r.disk.HardState = w.HardState
	if len(w.Entries) > 0 {
		keep := w.Entries[0].Index - r.disk.Snapshot.Index - 1
		r.disk.Entries = append(r.disk.Entries[:keep], w.Entries...)
	}
}

// finishWrite makes the outstanding write durable.
func (c *cluster) finishWrite(r *replica) {
	w := r.writing
	if w == nil || r.down {
		return
	}
	if c.beforeSync != nil {
		c.beforeSync(r)
	}
	if r.down || r.slowDisk {
		return
	}
	c.persist(r, w)
	r.writing = nil
	c.network = append(c.network, w.Messages...)
	r.node.Advance(w)
}

// pump carries out a replica's pending work.
func (c *cluster) pump(r *replica) {
	for !r.down && !r.frozen && r.node.HasReady() {
		ready := r.node.Ready()
		c.network = append(c.network, ready.Messages...)
		c.checkReads(ready.Reads)
		r.reads = append(r.reads, ready.Reads...)
		if ready.Restore != nil {
			r.restore(ready.Restore)
		}
		for _, entry := range ready.Committed {
			c.apply(r, entry)
		}
		if ready.Write != nil {
			r.writing = ready.Write
		}
		if !r.slowDisk {
			c.finishWrite(r)
		}
	}
	c.check(r)
}

func (c *cluster) apply(r *replica, entry raft.Entry) {
	if entry.Index != r.index+1 {
		panic(fmt.Sprintf("replica %d applies %d after %d", r.id, entry.Index, r.index))
	}
	r.index = entry.Index
	text := fmt.Sprintf("%d/%d/%x", entry.Term, entry.Kind, entry.Data)
	if known, found := c.committed[entry.Index]; found && known != text {
		panic(fmt.Sprintf("replica %d applies %s at %d, another one applied %s", r.id, text, entry.Index, known))
	}
	c.committed[entry.Index] = text
	if entry.Kind == raft.EntryCommand {
		r.applied = append(r.applied, string(entry.Data))
	}
}

// check guards against two leaders in one term, and against a leader that lacks
// a committed entry.
func (c *cluster) check(r *replica) {
	if r.down {
		return
	}
	status := r.node.Status()
	if status.Role != raft.RoleLeader {
		return
	}
	if known, found := c.leaders[status.Term]; found && known != r.id {
		panic(fmt.Sprintf("replicas %d and %d lead term %d", known, r.id, status.Term))
	}
	if c.leaders[status.Term] == r.id {
		return
	}
	c.leaders[status.Term] = r.id
	for index, text := range c.committed {
		position := raft.Position{Index: index, Term: termOf(text)}
		if position.Term < status.Term && !r.node.Holds(position) {
			panic(fmt.Sprintf("replica %d leads term %d without the committed entry %+v", r.id, status.Term, position))
		}
	}
}

// termOf returns the term in the text of an applied entry.
func termOf(text string) uint64 {
	digits, _, _ := strings.Cut(text, "/")
	term, _ := strconv.ParseUint(digits, 10, 64)
	return term
}

// read asks the replica for a read and notes what it must at least see.
func (c *cluster) read(r *replica) error {
	id := uint64(len(c.floors) + 1)
	c.floors[id] = uint64(len(c.committed))
	err := r.node.Read(id)
	c.pump(r)
	return err
}

// checkReads guards against stale reads.
func (c *cluster) checkReads(results []raft.ReadResult) {
	for _, result := range results {
		if result.Err == nil && result.Index < c.floors[result.ID] {
			panic(fmt.Sprintf("read %d sees index %d, but %d was applied before", result.ID, result.Index, c.floors[result.ID]))
		}
	}
}

// deliver passes one message through the wire encoding to its receiver.
func (c *cluster) deliver(m raft.Message) {
	index := slices.IndexFunc(c.replicas, func(r *replica) bool { return r.id == m.To })
	if index < 0 || c.replicas[index].down {
		return
	}
	decoded, err := raft.DecodeMessage(raft.EncodeMessage(m))
	if err != nil {
		panic(err)
	}
	c.replicas[index].node.Step(decoded)
	c.pump(c.replicas[index])
}

// settle delivers messages until none are left. A frozen replica's stay queued.
func (c *cluster) settle() {
	for range 100000 {
		for _, r := range c.replicas {
			c.pump(r)
		}
		index := slices.IndexFunc(c.network, func(m raft.Message) bool { return !c.isFrozen(m.To) })
		if index < 0 {
			return
		}
		m := c.network[index]
		c.network = slices.Delete(c.network, index, index+1)
		if c.filter == nil {
			c.deliver(m)
			continue
		}
		for _, out := range c.filter(m) {
			c.deliver(out)
		}
	}
	panic("messages never end")
}

func (c *cluster) isFrozen(id uint64) bool {
	return slices.ContainsFunc(c.replicas, func(r *replica) bool { return r.id == id && r.frozen })
}

// tick lets one interval pass and settles.
func (c *cluster) tick() {
	c.now += tickInterval
	due := c.later
	c.later = nil
	for _, action := range due {
		if action.due > c.now {
			c.later = append(c.later, action)
			continue
		}
		action.run()
	}
	for _, r := range c.replicas {
		if !r.down && !r.frozen {
			r.node.Tick(c.now)
		}
		c.pump(r)
	}
	c.settle()
}

// after runs an action when the time has passed.
func (c *cluster) after(delay time.Duration, run func()) {
	c.later = append(c.later, timedAction{due: c.now + delay, run: run})
}

// run lets time pass until the condition holds. It returns false after a limit
// of simulated time.
func (c *cluster) run(limit time.Duration, condition func() bool) bool {
	for end := c.now + limit; c.now < end; c.tick() {
		if condition() {
			return true
		}
	}
	return condition()
}

// leader returns the running leader of the highest term that may serve reads.
func (c *cluster) leader() *replica {
	var found *replica
	for _, r := range c.replicas {
		if r.down || r.frozen || !r.node.Status().LeaderReady {
			continue
		}
		if found == nil || r.node.Status().Term > found.node.Status().Term {
			found = r
		}
	}
	return found
}

func (c *cluster) awaitLeader() *replica {
	if !c.run(failoverLimit, func() bool { return c.leader() != nil }) {
		panic("no leader in time")
	}
	return c.leader()
}

func (c *cluster) propose(r *replica, data []byte) (raft.Position, error) {
	position, err := r.node.Propose(data)
	c.pump(r)
	return position, err
}

// compact takes a snapshot of the replica's state and saves it.
func (c *cluster) compact(r *replica) error {
	var data []byte
	for _, value := range r.applied {
		data = append(data, value...)
	}
	snapshot, err := r.node.MakeSnapshot(r.index, data)
	if err != nil {
		return err
	}
	r.disk.Entries = slices.DeleteFunc(slices.Clone(r.disk.Entries), func(e raft.Entry) bool { return e.Index <= snapshot.Index })
	r.disk.Snapshot = snapshot
	return r.node.Compact(snapshot)
}
