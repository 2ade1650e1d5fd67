package scheduler

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/workerapi"
)

var _ = ginkgo.Describe("Attempts", func() {
	// Guards against an attempt of a task that another domain returned being numbered
	// below its record: control would refuse its outcome and the task would stay bound.
	ginkgo.It("of a task are numbered above its record", func() {
		c := activeCore(1)
		t := newTask("returned")
		t.Attempt = workerapi.Attempt{Epoch: 1, Number: 40}
		c.SyncTasks(2010*ms, 1, []BoundTask{t}, false)
		renewLeases(c, 2100*ms)
		c.Tick(2100 * ms)
		starts := takeActionsOf[SendStart](c)
		Expect(starts).To(HaveLen(1))
		Expect(t.Attempt.Less(starts[0].Body.Attempt)).To(BeTrue(), "attempt %v", starts[0].Body.Attempt)
	})
})
