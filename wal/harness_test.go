package wal_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"geraniumwall/raft"
	"geraniumwall/wal"
)

// member is a replica with its own disk. Its node is nil while it is down.
type member struct {
	id, index uint64
	disk      *memFS
	store     *wal.Store
	node      *raft.Node
	writing   *raft.Write
	// stored is what the disk must hold, opened what it may hold after a crash.
	stored raft.Stored
	opened []raft.Stored
	// writeDue and restartAt are virtual times, as is began, the node's start.
	writeDue, began, restartAt time.Duration
}

type packet struct {
	raft.Message
	due time.Duration
}

// diskCluster drives three members in virtual time by a seeded schedule.
type diskCluster struct {
	random  *rand.Rand
	now     time.Duration
	members []*member
	network []packet
	calm    bool
	// cut is the member without a network, or 0.
	cut uint64
	// committed starts with an empty entry, so that indexes are positions.
	committed []raft.Entry
	// claims are the leader of each term and the votes.
	claims  map[string]uint64
	crashes map[string]int
}

func newDiskCluster(seed uint64) *diskCluster {
	c := &diskCluster{random: rand.New(rand.NewPCG(seed, 0)), committed: make([]raft.Entry, 1), claims: map[string]uint64{}, crashes: map[string]int{}}
	state := raft.Bootstrap([]raft.Member{{ID: 1}, {ID: 2}, {ID: 3}})
	state.Snapshot.Data = c.state(0)
	for id := uint64(1); id <= 3; id++ {
		m := &member{id: id, disk: newMemFS(), stored: state, opened: []raft.Stored{state}}
		require(wal.Create(options(m.disk), state) == nil, "create %d", id)
		c.members = append(c.members, m)
	}
	return c
}

func require(holds bool, format string, values ...any) {
	if !holds {
		panic(fmt.Sprintf(format, values...))
	}
}

// chance is true in so many of a thousand cases, and never once the faults end.
func (c *diskCluster) chance(perMille int) bool {
	return c.random.IntN(1000) < perMille && !c.calm
}

// upTo draws a time below the limit, and in one of 20 cases below a second.
func (c *diskCluster) upTo(limit time.Duration) time.Duration {
	if c.chance(50) {
		limit = time.Second
	}
	return time.Duration(c.random.Int64N(int64(limit)))
}

// arm lets one of the next storage steps crash, in so many of a thousand cases.
func (c *diskCluster) arm(m *member, perMille, steps int) {
	if c.chance(perMille) {
		m.disk.failAt, m.disk.failure = m.disk.steps+c.random.IntN(steps), errCrash
	}
}

func (c *diskCluster) crash(m *member, kind string, err error, opened ...raft.Stored) {
	require(errors.Is(err, errCrash), "member %d, %s: %v", m.id, kind, err)
	mode := crashModes[c.random.IntN(len(crashModes))]
	c.crashes[fmt.Sprintf("%s: %s, %d/4 kept", kind, m.disk.failedKind, mode.data)]++
	m.disk = m.disk.restart(mode)
	m.node, m.store, m.writing, m.opened = nil, nil, nil, opened
	m.restartAt = c.now + c.upTo(200*time.Millisecond)
}

func (c *diskCluster) open(m *member) {
	c.arm(m, 200, 4)
	store, stored, err := wal.Open(options(m.disk))
	if err != nil {
		c.crash(m, "open", err, m.opened...)
		return
	}
	known := slices.ContainsFunc(m.opened, func(state raft.Stored) bool { return text(state) == text(stored) })
	require(known, "member %d opens %+v in place of one of %+v", m.id, stored, m.opened)
	config := raft.Config{ID: m.id, Random: c.random, RetainedEntries: 5, SnapshotChunkBytes: 12, MaxBatchBytes: 60, MaxInflightMessages: 3}
	m.node, err = raft.New(config, stored)
	require(err == nil, "member %d: %v", m.id, err)
	m.store, m.stored, m.began = store, stored, c.now
	c.restore(m, &stored.Snapshot)
}

// state stands for the effect of all entries up to the index.
func (c *diskCluster) state(index uint64) []byte {
	return fmt.Appendf(nil, "%+v", c.committed[index])
}

// restore guards against a snapshot that differs from the committed entries.
func (c *diskCluster) restore(m *member, snapshot *raft.Snapshot) {
	m.index = snapshot.Index
	require(m.index < uint64(len(c.committed)) && string(snapshot.Data) == string(c.state(m.index)), "member %d restores %+v", m.id, snapshot)
}

// apply guards against applied sequences that aren't prefixes of each other.
func (c *diskCluster) apply(m *member, entry raft.Entry) {
	m.index++
	require(entry.Index == m.index, "member %d applies %d in place of %d", m.id, entry.Index, m.index)
	if m.index == uint64(len(c.committed)) {
		c.committed = append(c.committed, entry)
	}
	same := fmt.Sprint(entry) == fmt.Sprint(c.committed[m.index])
	require(same, "member %d applies %+v, another one applied %s", m.id, entry, c.state(m.index))
}

// claim guards against a second leader in a term or a second vote of a member.
func (c *diskCluster) claim(id uint64, format string, values ...any) {
	what := fmt.Sprintf(format, values...)
	known := c.claims[what]
	require(known == 0 || known == id, "the %s is %d and %d", what, known, id)
	c.claims[what] = id
}

func (c *diskCluster) send(messages []raft.Message) {
	for _, m := range messages {
		if m.Type == raft.MessageVote {
			c.claim(m.From, "vote of member %d in term %d", m.From, m.Term)
		} else if m.Type == raft.MessageVoteResponse && !m.Reject {
			c.claim(m.To, "vote of member %d in term %d", m.From, m.Term)
		}
		for again := true; again; again = c.chance(40) {
			if !c.chance(50) && (c.cut == 0 || c.cut != m.From && c.cut != m.To) {
				c.network = append(c.network, packet{m, c.now + c.upTo(60*time.Millisecond)})
			}
		}
	}
}

// save returns false if the disk crashes.
func (c *diskCluster) save(m *member, kind string, op operation) bool {
	if err := perform(m.store, op); err != nil {
		c.crash(m, kind, err, possible(m.stored, op)...)
		return false
	}
	m.stored = after(m.stored, op)
	return true
}

// finishWrite saves the outstanding write. Crashes are more likely before a new
// vote is saved, since few terms have two candidates.
func (c *diskCluster) finishWrite(m *member) {
	write := m.writing
	c.arm(m, 20, 3)
	if write.HardState.Vote != 0 && write.HardState.Vote != m.stored.HardState.Vote {
		c.arm(m, 100, 1)
	}
	if !c.save(m, "save", operation{write: write}) {
		return
	}
	if c.chance(5) {
		c.crash(m, "after the sync", errCrash, m.stored)
		return
	}
	m.writing = nil
	c.send(write.Messages)
	m.node.Advance(write)
}

func (c *diskCluster) compact(m *member) {
	if snapshot, err := m.node.MakeSnapshot(m.index, c.state(m.index)); err == nil {
		c.arm(m, 150, 8)
		if c.save(m, "snapshot", operation{local: &snapshot}) {
			require(m.node.Compact(snapshot) == nil, "member %d can't compact", m.id)
		}
	}
}

func (c *diskCluster) pump(m *member) {
	for m.node != nil && m.node.HasReady() {
		ready := m.node.Ready()
		c.send(ready.Messages)
		if ready.Restore != nil {
			c.restore(m, ready.Restore)
		}
		for _, entry := range ready.Committed {
			c.apply(m, entry)
		}
		if ready.Write != nil {
			m.writing, m.writeDue = ready.Write, c.now+c.upTo(40*time.Millisecond)
		}
	}
	if m.node != nil && m.node.Status().Role == raft.RoleLeader {
		c.claim(m.id, "leader of term %d", m.node.Status().Term)
	}
}

// checkDisks guards against a committed entry that too few disks hold.
func (c *diskCluster) checkDisks() {
	covered := uint64(len(c.committed)) - 1
	for _, other := range c.members {
		covered = min(covered, other.stored.Snapshot.Index)
	}
	for _, entry := range c.committed[covered+1:] {
		held := 0
		for _, other := range c.members {
			at := int(entry.Index) - int(other.stored.Snapshot.Index) - 1
			if at < 0 || at < len(other.stored.Entries) && other.stored.Entries[at].Term == entry.Term {
				held++
			}
		}
		require(held >= 2, "the committed entry %+v is on %d disks", entry, held)
	}
}

func (c *diskCluster) step() {
	c.now += 10 * time.Millisecond
	if c.chance(10) {
		c.cut = c.random.Uint64N(4)
	}
	for _, m := range c.members {
		if m.node == nil && c.now >= m.restartAt {
			c.open(m)
		}
		if m.node != nil {
			m.node.Tick(c.now - m.began)
			if c.chance(200) {
				_, _ = m.node.Propose(fmt.Appendf(nil, "%d at %v", m.id, c.now))
			}
			if c.chance(20) {
				c.compact(m)
			}
		}
		if m.writing != nil && c.now >= m.writeDue {
			c.finishWrite(m)
		}
		c.pump(m)
	}
	due := c.network
	c.network = nil
	for _, p := range due {
		if m := c.members[p.To-1]; p.due > c.now {
			c.network = append(c.network, p)
		} else if m.node != nil {
			m.node.Step(p.Message)
			c.pump(m)
		}
	}
	c.checkDisks()
}
