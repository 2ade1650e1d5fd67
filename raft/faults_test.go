package raft_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"geraniumwall/raft"
)

// Times of the fault matrix. A freeze outlasts the longest election timeout.
const (
	delayTime    = 700 * time.Millisecond
	restartTime  = 300 * time.Millisecond
	freezeTime   = 1500 * time.Millisecond
	scenarioTime = 20 * time.Second
	extraReplica = 4
)

// scenario is a fault-free preparation and the steps that a fault may hit.
type scenario struct {
	name    string
	prepare func(*cluster)
	run     func(*cluster)
}

var scenarios = []scenario{
	{name: "election", prepare: func(*cluster) {}, run: func(c *cluster) { c.commitOnLeader(1) }},
	{name: "append", prepare: func(c *cluster) { c.awaitLeader() }, run: runAppends},
	{name: "snapshot", prepare: prepareSnapshot, run: func(c *cluster) {
		behind := c.replicas[0]
		c.start(behind)
		c.must("the replica that was behind catches up", func() bool { return behind.index >= 20 })
	}},
	{name: "membership", prepare: prepareMembership, run: runMembership},
	{name: "transfer", prepare: func(c *cluster) { c.awaitLeader() }, run: func(c *cluster) {
		leader := c.leader()
		_ = leader.node.Transfer(leader.id%3 + 1)
		c.commitOnLeader(1)
	}},
}

// must lets time pass until the condition holds.
func (c *cluster) must(what string, condition func() bool) {
	if !c.run(scenarioTime, condition) {
		panic("doesn't happen in time: " + what)
	}
}

// commitOnLeader proposes commands until one is applied.
func (c *cluster) commitOnLeader(value int) {
	c.must("a command is applied", func() bool {
		leader := c.leader()
		if leader == nil {
			return false
		}
		position, err := c.propose(leader, command(value))
		if err != nil {
			return false
		}
		return c.run(time.Second, func() bool { return c.applied(position) })
	})
}

// applied reports whether the proposed entry itself was applied anywhere.
func (c *cluster) applied(position raft.Position) bool {
	return termOf(c.committed[position.Index]) == position.Term
}

func runAppends(c *cluster) {
	for round := range 3 {
		if leader := c.leader(); leader != nil {
			for i := range 4 {
				_, _ = leader.node.Propose(command(round*4 + i))
			}
			_ = c.read(leader)
		}
		c.settle()
		c.tick()
	}
	c.commitOnLeader(99)
}

func prepareSnapshot(c *cluster) {
	leader := c.awaitLeader()
	behind := c.get(leader.id%3 + 1)
	// The replica that is behind comes first, where the scenario finds it.
	for i, r := range c.replicas {
		if r == behind {
			c.replicas[0], c.replicas[i] = c.replicas[i], c.replicas[0]
		}
	}
	c.crash(behind)
	for i := range 20 {
		_, _ = c.propose(leader, command(i))
		c.settle()
	}
	if err := c.compact(leader); err != nil {
		panic(err)
	}
}

func prepareMembership(c *cluster) {
	c.awaitLeader()
	c.commitOnLeader(1)
	c.add(extraReplica, raft.Stored{})
}

// runMembership replaces one follower by a new replica.
func runMembership(c *cluster) {
	removed := c.leader().id%3 + 1
	c.change(raft.MemberChange{Kind: raft.AddLearner, Member: raft.Member{ID: extraReplica}})
	c.change(raft.MemberChange{Kind: raft.PromoteLearner, Member: raft.Member{ID: extraReplica}})
	c.change(raft.MemberChange{Kind: raft.RemoveMember, Member: raft.Member{ID: removed}})
	c.must("the new replica votes", func() bool {
		leader := c.leader()
		return leader != nil && leader.node.Status().Membership.IsVoter(extraReplica)
	})
}

// change repeats a membership change until it is committed or refused for good.
func (c *cluster) change(change raft.MemberChange) {
	c.must("a membership change is committed", func() bool {
		leader := c.leader()
		if leader == nil {
			return false
		}
		position, err := leader.node.ChangeMembers(change)
		c.pump(leader)
		if errors.Is(err, raft.ErrInvalidChange) {
			return true
		}
		if err != nil {
			return false
		}
		return c.run(time.Second, func() bool { return c.applied(position) })
	})
}

// fault hits one message or write.
type fault struct {
	name string
	// message returns what is delivered at once in place of the message.
	message func(*cluster, raft.Message) []raft.Message
	// write acts before a write is durable; nil if the fault has no such form.
	write func(*cluster, *replica)
}

var faults = []fault{
	{name: "drop", message: func(*cluster, raft.Message) []raft.Message { return nil }},
	{name: "duplicate", message: func(c *cluster, m raft.Message) []raft.Message {
		c.after(delayTime, func() { c.network = append(c.network, m) })
		return []raft.Message{m, m}
	}},
	{name: "delay", message: func(c *cluster, m raft.Message) []raft.Message {
		c.after(delayTime, func() { c.network = append(c.network, m) })
		return nil
	}},
	{name: "reorder", message: func(c *cluster, m raft.Message) []raft.Message {
		c.network = append(c.network, m)
		return nil
	}},
	{name: "crash", message: func(c *cluster, m raft.Message) []raft.Message {
		c.crashFor(c.get(m.To))
		return nil
	}, write: func(c *cluster, r *replica) { c.crashFor(r) }},
	{name: "crash-after-sync", message: nil, write: func(c *cluster, r *replica) {
		c.persist(r, r.writing)
		c.crashFor(r)
	}},
	{name: "freeze", message: func(c *cluster, m raft.Message) []raft.Message {
		r := c.get(m.To)
		r.frozen = true
		c.after(freezeTime, func() { r.frozen = false })
		c.network = append([]raft.Message{m}, c.network...)
		return nil
	}, write: func(c *cluster, r *replica) {
		r.slowDisk = true
		c.after(freezeTime, func() {
			r.slowDisk = false
			c.finishWrite(r)
		})
	}},
}

func (c *cluster) crashFor(r *replica) {
	if r.down {
		return
	}
	c.crash(r)
	c.after(restartTime, func() { c.start(r) })
}

// runCase runs a scenario with the fault at a step; 0 is no fault. It returns
// the count of steps and whether the fault acted.
func runCase(s scenario, f fault, step int) (steps int, hit bool) {
	c := newCluster(1, 3, raft.Config{RetainedEntries: 4, SnapshotChunkBytes: 24, MaxBatchBytes: 64})
	s.prepare(c)
	c.filter = func(m raft.Message) []raft.Message {
		steps++
		if steps != step || f.message == nil || c.get(m.To).down {
			return []raft.Message{m}
		}
		hit = true
		return f.message(c, m)
	}
	c.beforeSync = func(r *replica) {
		steps++
		if steps == step && f.write != nil {
			hit = true
			f.write(c, r)
		}
	}
	s.run(c)
	c.filter, c.beforeSync = nil, nil
	c.checkRecovered()
	return steps, hit
}

// checkRecovered guards against a cluster that stays stuck or apart: a new
// command must reach every member.
func (c *cluster) checkRecovered() {
	c.run(freezeTime+failoverLimit, func() bool { return len(c.later) == 0 && c.leader() != nil })
	c.commitOnLeader(100)
	complete := c.run(failoverLimit, func() bool {
		leader := c.leader()
		return leader != nil && leader.node.Status().Applied == leader.node.Status().Last && c.agree(leader)
	})
	if !complete {
		panic("the members don't reach the same state")
	}
}

func (c *cluster) agree(leader *replica) bool {
	for _, member := range leader.node.Status().Membership.Members {
		r := c.get(member.ID)
		if r.down || fmt.Sprint(r.applied) != fmt.Sprint(leader.applied) || len(r.applied) == 0 {
			return false
		}
	}
	return true
}

// TestFaultMatrix puts each fault at each step of each scenario. One case is
// replayed by its name, such as -run 'TestFaultMatrix/append/drop/17$'.
func TestFaultMatrix(t *testing.T) {
	cases := 0
	for _, s := range scenarios {
		total, _ := runCase(s, fault{}, 0)
		for _, f := range faults {
			for step := 1; step <= total; step++ {
				t.Run(fmt.Sprintf("%s/%s/%d", s.name, f.name, step), func(*testing.T) {
					if _, hit := runCase(s, f, step); hit {
						cases++
					}
				})
			}
		}
	}
	t.Logf("fault cases: %d", cases)
}
