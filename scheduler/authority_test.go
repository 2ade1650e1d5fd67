package scheduler

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("A scheduler whose leases have expired", func() {
	// Guards against starts and renewals by a scheduler that was partitioned or paused
	// and may have been replaced meanwhile.
	ginkgo.It("starts no task and renews no lease until they are renewed", func() {
		c := activeCore(1)
		c.SyncTasks(2010*ms, 1, []BoundTask{newTask("a")}, false)
		over := 4000 * ms
		answer, err := c.Heartbeat(over, newHeartbeat("w0000", 2))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Renew).To(BeEmpty())
		c.Tick(over)
		Expect(takeActionsOf[SendStart](c)).To(BeEmpty())

		renewLeases(c, over)
		c.Tick(over + 50*ms)
		Expect(takeActionsOf[SendStart](c)).To(HaveLen(1))
	})
})
