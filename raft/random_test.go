package raft_test

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumwall/raft"
)

// Sizes of the randomised runs.
const (
	randomReplicas = 5
	randomSeed     = "20261204"
	soakVariable   = "GERANIUM_SOAK_SECONDS"
)

// machine drives a cluster by random events.
type machine struct {
	c      *cluster
	values int
	nextID uint64
}

func (m *machine) pick(t *rapid.T) *replica {
	return rapid.SampledFrom(m.c.replicas).Draw(t, "replica")
}

func (m *machine) pickRunning(t *rapid.T) *replica {
	r := m.pick(t)
	if r.down || r.frozen {
		t.Skip("not running")
	}
	return r
}

// take removes a random message in flight.
func (m *machine) take(t *rapid.T, keep bool) raft.Message {
	if len(m.c.network) == 0 {
		t.Skip("no message")
	}
	i := rapid.IntRange(0, len(m.c.network)-1).Draw(t, "message")
	message := m.c.network[i]
	if !keep {
		m.c.network = append(m.c.network[:i:i], m.c.network[i+1:]...)
	}
	return message
}

func (m *machine) deliver(t *rapid.T, keep bool) {
	message := m.take(t, keep)
	for _, r := range m.c.replicas {
		if r.id == message.To && r.frozen {
			m.c.network = append(m.c.network, message)
			return
		}
	}
	m.c.deliver(message)
}

func (m *machine) deliverSome(t *rapid.T) {
	for range rapid.IntRange(1, 10).Draw(t, "count") {
		if len(m.c.network) > 0 {
			m.deliver(t, false)
		}
	}
}

// pass lets time pass without delivering.
func (m *machine) pass(t *rapid.T) {
	m.c.now += time.Duration(rapid.IntRange(1, 30).Draw(t, "ticks")) * tickInterval
	for _, r := range m.c.replicas {
		if r.down || r.frozen {
			continue
		}
		r.node.Tick(m.c.now)
		m.c.pump(r)
	}
}

// pickLeader prefers the leader, so that most runs make progress.
func (m *machine) pickLeader(t *rapid.T) *replica {
	if leader := m.c.leader(); leader != nil {
		return leader
	}
	return m.pickRunning(t)
}

// advance lets the cluster run without further faults.
func (m *machine) advance(t *rapid.T) {
	for range rapid.IntRange(10, 40).Draw(t, "ticks") {
		m.c.tick()
	}
}

func (m *machine) propose(t *rapid.T) {
	r := m.pickLeader(t)
	for range rapid.IntRange(1, 6).Draw(t, "count") {
		m.values++
		_, _ = r.node.Propose(command(m.values % 10000))
	}
	m.c.pump(r)
}

func (m *machine) changeMembers(t *rapid.T) {
	r := m.pickLeader(t)
	kinds := []raft.ChangeKind{raft.AddLearner, raft.PromoteLearner, raft.RemoveMember, raft.DemoteVoter, raft.UpdateMembers}
	kind := rapid.SampledFrom(kinds).Draw(t, "kind")
	members := r.node.Status().Membership.Members
	if len(members) == 0 {
		t.Skip("no members")
	}
	member := rapid.SampledFrom(members).Draw(t, "member")
	replaces := uint64(0)
	update := rapid.SampledFrom(members).Draw(t, "update")
	update.Leaving = rapid.Bool().Draw(t, "leaving")
	switch {
	case kind == raft.RemoveMember && len(members) <= 3:
		t.Skip("too few members")
	case kind == raft.AddLearner && len(m.c.replicas) >= randomReplicas:
		t.Skip("enough replicas")
	case kind == raft.DemoteVoter && len(r.node.Status().Membership.Voters()) <= 3:
		t.Skip("too few voters")
	case kind == raft.AddLearner:
		if len(members) > 3 && rapid.Bool().Draw(t, "replace") {
			replaces = member.ID
		}
		m.nextID++
		member = raft.Member{ID: m.nextID}
		m.c.add(member.ID, raft.Stored{})
	}
	_, _ = r.node.ChangeMembers(raft.MemberChange{Kind: kind, Member: member, Replaces: replaces, Updates: []raft.Member{update}})
	m.c.pump(r)
}

func (m *machine) toggleDisk(t *rapid.T) {
	r := m.pick(t)
	r.slowDisk = !r.slowDisk
	m.c.finishWrite(r)
}

func (m *machine) toggleCrash(t *rapid.T) {
	r := m.pick(t)
	if r.down {
		m.c.start(r)
		return
	}
	if r.writing != nil && rapid.Bool().Draw(t, "synced") {
		m.c.persist(r, r.writing)
	}
	m.c.crash(r)
}

func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"deliver":    m.deliverSome,
		"deliver2":   m.deliverSome,
		"settle":     func(*rapid.T) { m.c.settle() },
		"duplicate":  func(t *rapid.T) { m.deliver(t, true) },
		"drop":       func(t *rapid.T) { m.take(t, false) },
		"pass":       m.pass,
		"advance":    m.advance,
		"advance2":   m.advance,
		"advance3":   m.advance,
		"propose":    m.propose,
		"propose2":   m.propose,
		"propose3":   m.propose,
		"read":       func(t *rapid.T) { _ = m.c.read(m.pickLeader(t)) },
		"compact":    func(t *rapid.T) { _ = m.c.compact(m.pickRunning(t)) },
		"transfer":   func(t *rapid.T) { _ = m.pickLeader(t).node.Transfer(m.pick(t).id) },
		"members":    m.changeMembers,
		"disk":       m.toggleDisk,
		"crash":      m.toggleCrash,
		"freeze":     func(t *rapid.T) { r := m.pick(t); r.frozen = !r.frozen },
		"heal":       func(*rapid.T) { m.heal() },
		"heal2":      func(*rapid.T) { m.heal() },
		"lose links": func(*rapid.T) { m.c.network = nil },
	}
}

// heal ends all faults.
func (m *machine) heal() {
	for _, r := range m.c.replicas {
		r.frozen = false
		r.slowDisk = false
		if r.down {
			m.c.start(r)
		}
		m.c.finishWrite(r)
	}
}

// randomRun guards against faults of combinations that the matrix doesn't have.
func randomRun(t *rapid.T) {
	config := raft.Config{RetainedEntries: 5, SnapshotChunkBytes: 12, MaxBatchBytes: 60, MaxInflightMessages: 3}
	seed := rapid.Uint64().Draw(t, "seed")
	config.LazyCommit = rapid.Bool().Draw(t, "lazy commit")
	m := &machine{c: newCluster(seed, 3, config), nextID: 3}
	m.c.awaitLeader()
	t.Repeat(m.actions())
	m.heal()
	m.c.checkRecovered()
}

func setFlags(t *testing.T, values map[string]string) {
	t.Helper()
	for name, value := range values {
		old := flag.Lookup(name).Value.String()
		t.Cleanup(func() { _ = flag.Set(name, old) })
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

func TestRandom(t *testing.T) {
	setFlags(t, map[string]string{"rapid.seed": randomSeed, "rapid.checks": "300", "rapid.steps": "120", "rapid.nofailfile": "true"})
	rapid.Check(t, randomRun)
}

// soakTime returns how long soak tests run; without it they are skipped.
func soakTime(t *testing.T) time.Duration {
	t.Helper()
	seconds, err := strconv.Atoi(os.Getenv(soakVariable))
	if err != nil || seconds <= 0 {
		t.Skip(soakVariable + " is not set")
	}
	return time.Duration(seconds) * time.Second
}

// TestSoakRandom runs new seeds and names each one that fails.
func TestSoakRandom(t *testing.T) {
	end := time.Now().Add(soakTime(t))
	setFlags(t, map[string]string{"rapid.checks": "50", "rapid.steps": "150", "rapid.nofailfile": "true"})
	runs := 0
	for seed := time.Now().UnixNano(); time.Now().Before(end); seed++ {
		setFlags(t, map[string]string{"rapid.seed": strconv.FormatInt(seed, 10)})
		if !t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { rapid.Check(t, randomRun) }) {
			t.Logf("failing seed: -rapid.seed=%d -rapid.checks=50 -rapid.steps=150", seed)
		}
		runs++
	}
	t.Logf("seeds run: %d", runs)
}
