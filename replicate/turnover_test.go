package replicate

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// turnoverCatchUp is the time after the start of a successor, or the departure of a host
	// that is replaced as planned, from which on the voters have to be hosts that run.
	turnoverCatchUp = 4 * time.Second
	// turnoverMinGap and turnoverMaxGap limit the time between a departure and the start of
	// the successor, or the reverse. A host that departs unannounced after its successor has
	// joined can't be told from a partition behind which a host was added.
	turnoverMinGap = 400 * time.Millisecond
	turnoverMaxGap = 2 * time.Second
	// turnoverDrain is how long a host that stops as planned still answers.
	turnoverDrain = 2 * time.Second
	// turnoverRecovery is how long the hosts have to elect a leader that commits, after the
	// last of them is back.
	turnoverRecovery = 12 * time.Second
)

// turnover is a way in which every host is replaced by an empty one at another address.
type turnover struct {
	name string
	// leaderFirst replaces whichever host leads; otherwise the hosts are drawn by lot.
	leaderFirst bool
	// planned starts the successor first and then stops the host gracefully.
	planned bool
	// faults loses messages and starts faults of processes, hosts and the network until the
	// successor has had its time, and lets the replicas become complete then.
	faults bool
	// powerLoss takes the power of all hosts while the successor joins.
	powerLoss bool
}

// depart takes a host away for good.
func (c *powerCluster) depart(h *powerHost) {
	if h.up {
		h.powerOff()
	}
	h.gone = true
	h.loseDisk()
}

// stopGracefully announces the stop and takes the host away at the end of its drain.
func (c *powerCluster) stopGracefully(h *powerHost) {
	if h.replica == nil {
		c.depart(h)
		return
	}
	h.onControl(h.life, func() { h.replica.Leave() })
	c.schedule(turnoverDrain, func() { c.depart(h) })
}

// startSuccessor adds an empty host at a new address.
func (c *powerCluster) startSuccessor() {
	h := c.addHost(fmt.Sprint("h", len(c.hosts)+1))
	h.powerOn()
}

// run proposes commands for a time.
func (c *powerCluster) run(length time.Duration) {
	for end := c.now + length; c.now < end; {
		if c.faults && c.rng.IntN(20) == 0 {
			c.disturb()
		}
		c.propose(func() {})
		c.runUntil(c.now + c.randomTime(50*time.Millisecond, 250*time.Millisecond))
	}
}

// leadingHost returns the host that leads, or the first one without a leader.
func (c *powerCluster) leadingHost() *powerHost {
	hosts := c.remaining()
	for _, h := range hosts {
		if h.replica != nil && h.replica.leading {
			return h
		}
	}
	return hosts[0]
}

// replace replaces one host.
func (c *powerCluster) replace(t turnover) {
	hosts := c.remaining()
	h := hosts[c.rng.IntN(len(hosts))]
	if t.leaderFirst {
		h = c.leadingHost()
	}
	c.faults = t.faults
	gap := c.randomTime(turnoverMinGap, turnoverMaxGap)
	if t.planned {
		c.startSuccessor()
		c.run(gap)
		c.stopGracefully(h)
		c.run(turnoverDrain)
	} else {
		c.depart(h)
		c.run(gap)
		c.startSuccessor()
	}
	if t.powerLoss {
		c.run(c.randomTime(0, time.Second))
		c.losePowerAndDisks(0)
		c.run(3 * time.Second)
	}
	c.run(turnoverCatchUp)
	if t.faults {
		c.becomeComplete()
	}
}

// expectFitting requires that the voters are hosts that run, and that as many vote as fit
// their number.
func (c *powerCluster) expectFitting() {
	if !c.votersFit() {
		c.fail("the voters do not fit the hosts: %s", c.describe())
	}
}

// votersFit reports whether each host knows of as many voters as fit, which are hosts that run.
func (c *powerCluster) votersFit() bool {
	hosts := c.remaining()
	for _, h := range hosts {
		if h.replica == nil {
			return false
		}
		voters := h.replica.Status().Committed.Voters()
		if len(voters) != targetVoters(len(hosts)) {
			return false
		}
		for _, id := range voters {
			if !slices.ContainsFunc(hosts, func(other *powerHost) bool { return other.id == id }) {
				return false
			}
		}
	}
	return true
}

// recover requires that a leader commits in time.
func (c *powerCluster) recover() {
	acknowledged := false
	for limit := c.now + turnoverRecovery; !acknowledged; c.runUntil(c.now + TickInterval) {
		if c.now > limit {
			c.fail("no quorum: %s", c.describe())
		}
		c.propose(func() { acknowledged = true })
	}
}

// surviveLostDisk takes the power of all hosts with one disk, and requires that they recover.
func (c *powerCluster) surviveLostDisk() {
	c.losePowerAndDisks(1)
	c.runUntil(c.now + 3*time.Second)
	c.recover()
	c.becomeComplete()
}

// runTurnover replaces every host once and takes the power of all hosts with one disk at the
// end. It returns what a seed has broken.
func runTurnover(seed uint64, founders, joining int, t turnover) (broken any) {
	defer func() { broken = recover() }()
	c := newPowerCluster(seed, founders, joining)
	c.becomeComplete()
	for range c.remaining() {
		c.replace(t)
		c.expectFitting()
	}
	c.surviveLostDisk()
	return nil
}

var _ = Describe("Replicas whose hosts are replaced", func() {
	turnovers := []turnover{
		{name: "unplanned"},
		{name: "unplanned, the leader first", leaderFirst: true},
		{name: "planned", planned: true},
		{name: "planned, the leader first", planned: true, leaderFirst: true},
		{name: "unplanned, with a loss of power", powerLoss: true},
		{name: "planned, with a loss of power", planned: true, powerLoss: true},
		{name: "unplanned, with faults", faults: true},
		{name: "planned, with faults", planned: true, faults: true},
	}
	for _, size := range []struct{ founders, joining int }{{3, 0}, {3, 1}, {3, 2}} {
		for _, t := range turnovers {
			// Guards against a host that is gone and counts towards the quorum for good.
			It(fmt.Sprintf("keep a quorum with %d hosts: %s", size.founders+size.joining, t.name), func() {
				first, count := powerRange()
				for i := range count {
					seed := first + uint64(i) //nolint:gosec // small
					Expect(runTurnover(seed, size.founders, size.joining, t)).To(BeNil(), "seed %d", seed)
				}
			})
		}
	}
})

var _ = Describe("The membership", func() {
	// Guards against a partitioned voter that loses its place, and its data, to a host that
	// was added before.
	It("keeps a partitioned voter beside a replica that had joined before", func() {
		c := newPowerCluster(1, 3, 1)
		c.becomeComplete()
		c.startSuccessor()
		c.run(turnoverCatchUp)
		c.expectFitting()
		cut := c.hosts[1]
		c.group[cut.address] = 1
		c.run(unannouncedSilence / 2)
		clear(c.group)
		c.run(time.Second)
		c.expectFitting()
		Expect(cut.id).To(BeEquivalentTo(2))
	})

	// Guards against a host that counts for good because it left without notice after its
	// successor had joined.
	It("replaces a host that leaves unannounced after its successor has joined", func() {
		c := newPowerCluster(1, 3, 1)
		c.becomeComplete()
		c.startSuccessor()
		c.run(turnoverCatchUp)
		c.depart(c.hosts[0])
		c.run(unannouncedSilence + turnoverCatchUp)
		c.expectFitting()
	})

	// Guards against a replacement that a change of the leader leaves half done.
	It("finishes a replacement under the next leader", func() {
		for seed := range uint64(powerSeeds) {
			c := newPowerCluster(seed, 3, 0)
			c.becomeComplete()
			leader := c.leadingHost()
			lost := c.hosts[leader.id%3]
			c.depart(lost)
			c.run(time.Second)
			c.startSuccessor()
			c.run(c.randomTime(200*time.Millisecond, 2*time.Second))
			former := c.leadingHost()
			former.onControl(former.life, func() { former.replica.Transfer() })
			c.run(turnoverCatchUp)
			c.expectFitting()
		}
	})
})
