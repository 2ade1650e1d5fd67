package replicate

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/raft"
)

// leader returns the host that leads with a valid lease, of those other than one.
func (c *powerCluster) leader(except *powerHost) *powerHost {
	for limit := c.now + 10*time.Second; c.now < limit; c.runUntil(c.now + TickInterval) {
		for _, h := range c.hosts {
			if h != except && h.replica != nil && h.replica.Leads() {
				return h
			}
		}
	}
	c.fail("no leader: %s", c.describe())
	return nil
}

// requestJoin requests to join at a host on its control thread.
func (h *powerHost) requestJoin(nonce, address string) (id uint64, err error) {
	h.onControl(h.life, func() { id, err = h.replica.RequestJoin(JoinRequest{Nonce: nonce, Address: address}) })
	return id, err
}

// join requests to join at the leader until an id is granted.
func (c *powerCluster) join(nonce, address string) uint64 {
	for {
		if id, err := c.leader(nil).requestJoin(nonce, address); err == nil {
			return id
		}
		c.runUntil(c.now + powerJoinInterval)
	}
}

// addHost adds a host without data that does not join by itself.
func (c *powerCluster) addHost(address string) *powerHost {
	h := &powerHost{cluster: c, address: address}
	c.hosts = append(c.hosts, h)
	return h
}

// joinLater asks all replicas to join, until one grants an id.
func (h *powerHost) joinLater() {
	c, life := h.cluster, h.life
	c.schedule(powerJoinInterval, func() {
		if h.life != life || h.replica != nil {
			return
		}
		h.joinLater()
		for _, at := range c.hosts {
			if at.replica != nil && c.group[at.address] == c.group[h.address] {
				h.joinAt(at)
			}
		}
	})
}

// joinAt asks one replica to join and starts with the id that it grants.
func (h *powerHost) joinAt(at *powerHost) {
	c, life, nonce := h.cluster, h.life, h.nonce
	at.onControl(at.life, func() {
		id, err := at.replica.RequestJoin(JoinRequest{Nonce: nonce, Address: h.address, FirstStart: h.firstStart})
		if err != nil {
			return
		}
		peers := map[uint64]string{}
		for _, m := range at.replica.Status().Membership.Members {
			peers[m.ID] = m.Address
		}
		c.schedule(c.randomTime(time.Millisecond, 20*time.Millisecond), func() {
			if h.life == life && h.replica == nil {
				h.id, h.stored, h.peers = id, raft.Stored{}, peers
				c.counts["joined"]++
				h.startReplica()
			}
		})
	})
}

// startAs starts the process of a host as a replica without data that has joined.
func (h *powerHost) startAs(id uint64, peers map[uint64]string) {
	h.id, h.peers, h.up = id, peers, true
	h.startReplica()
}

func (c *powerCluster) addresses() map[uint64]string {
	addresses := map[uint64]string{}
	for _, m := range c.leader(nil).replica.Status().Membership.Members {
		addresses[m.ID] = m.Address
	}
	return addresses
}

var _ = Describe("A replica that joins", func() {
	// Guards against two replicas with one id, of which one never takes part: a former leader
	// that had not committed the id granted it after the next one had given it to another.
	It("is not granted an id that another replica has got", func() {
		c := newPowerCluster(1, 3, 0)
		former := c.leader(nil)
		c.group[former.address] = 1
		_, err := former.requestJoin("x", "h8")
		Expect(err).To(MatchError(ErrNotReady))
		next := c.leader(former)
		_, err = next.requestJoin("y", "h9")
		Expect(err).To(MatchError(ErrNotReady))
		c.runUntil(c.now + time.Second)
		granted, err := next.requestJoin("y", "h9")
		Expect(err).NotTo(HaveOccurred())
		clear(c.group)
		c.runUntil(c.now + time.Second)
		member, _ := former.replica.Status().Committed.Find(granted)
		Expect(member.Address).To(Equal("h9"))
		_, err = former.requestJoin("x", "h8")
		Expect(err).To(MatchError(raft.ErrNotLeader))
	})

	// Guards against a replica that never takes part because it was removed by a repeated
	// request to join before it had heard from a leader.
	It("learns that it was removed before it heard from a leader", func() {
		c := newPowerCluster(1, 3, 0)
		id := c.join("first", "h4")
		peers := c.addresses()
		c.join("second", "h4")
		h := c.addHost("h4")
		h.startAs(id, peers)
		c.becomeComplete()
		Expect(h.id).To(BeNumerically(">", id))
	})

	// Guards against a replica that stays behind because it can't answer a leader that has
	// joined since: no entry that tells the leader's address reaches it.
	It("brings members up to date that don't know it when it leads", func() {
		c := newPowerCluster(1, 3, 0)
		first := c.leader(nil)
		behind := c.hosts[(first.id)%3]
		behind.powerOff()
		var joined []*powerHost
		for _, address := range []string{"h4", "h5"} {
			id := c.join(address, address)
			h := c.addHost(address)
			h.startAs(id, c.addresses())
			joined = append(joined, h)
		}
		for len(c.leader(nil).replica.Status().Committed.Voters()) < 5 {
			c.runUntil(c.now + TickInterval)
		}
		c.runUntil(c.now + time.Second)
		for c.leader(nil) != joined[0] {
			leader := c.leader(nil)
			leader.onControl(leader.life, func() { _ = leader.replica.node.Transfer(joined[0].id) })
			c.runUntil(c.now + time.Second)
		}
		behind.powerOn()
		c.becomeComplete()
	})
})
