package scheduler

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// A core that claims to rest while something is due delays it by RestInterval.
var _ = ginkgo.Describe("rest", func() {
	ginkgo.It("lasts until an event that a tick must follow", func() {
		c := activeCore(1)
		c.Tick(2050 * ms)
		Expect(c.AtRest(2050 * ms)).To(BeTrue())
		c.SyncTasks(2060*ms, 1, []BoundTask{newTask("t1")}, false)
		Expect(c.AtRest(2060*ms)).To(BeFalse(), "a task waits for its start")
		c.Tick(2060 * ms)
		Expect(takeActionsOf[SendStart](c)).To(HaveLen(1))
		Expect(c.AtRest(2060*ms)).To(BeFalse(), "a start has no answer")
	})

	ginkgo.It("is ended by a worker that leaves or arrives", func() {
		c := activeCore(1)
		c.Tick(2050 * ms)
		hb := newHeartbeat("w0000", 2)
		hb.Session, hb.Holder, hb.Draining = 1, "s1#1", true
		_, err := c.Heartbeat(2060*ms, hb)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.AtRest(2060 * ms)).To(BeFalse())
		c.Tick(2070 * ms)
		Expect(c.AtRest(2070 * ms)).To(BeTrue())
		_, err = c.Heartbeat(2080*ms, newHeartbeat("w0001", 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.AtRest(2080 * ms)).To(BeFalse())
	})
})
