package scheduler

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a core that reports AtRest while work is due, which delays it by RestInterval.
var _ = ginkgo.Describe("An idle core", func() {
	ginkgo.It("is at rest until an event needs a tick", func() {
		c := activeCore(1)
		c.Tick(2050 * ms)
		Expect(c.AtRest(2050 * ms)).To(BeTrue())
		c.SyncTasks(2060*ms, 1, []BoundTask{newTask("t1")}, false)
		Expect(c.AtRest(2060*ms)).To(BeFalse(), "a task waits for its start")
		c.Tick(2060 * ms)
		Expect(takeActionsOf[SendStart](c)).To(HaveLen(1))
		Expect(c.AtRest(2060*ms)).To(BeFalse(), "a start has not been answered")
	})

	ginkgo.It("is not at rest after a worker leaves or registers", func() {
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
