package scheduler

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/policy"
	"geraniumwall/policy/firstfit"
	"geraniumwall/workerapi"
)

// resizingEngine proposes more than the declared size, like an engine that has observed
// a job using more than it declares.
type resizingEngine struct {
	*firstfit.Engine
	size    workerapi.Resources
	started []workerapi.Resources
}

func (e *resizingEngine) ProposeStarts(now time.Duration, limit int) ([]policy.Placement, []policy.Unschedulable) {
	placements, unschedulable := e.Engine.ProposeStarts(now, limit)
	for i := range placements {
		placements[i].Size = e.size
	}
	return placements, unschedulable
}

func (e *resizingEngine) Started(now time.Duration, t policy.Task, worker string) {
	e.started = append(e.started, t.Size)
	e.Engine.Started(now, t, worker)
}

var _ = ginkgo.Describe("Applying placements", func() {
	// Guards against overcommitting a host because the scheduler reserves the declared
	// size of tasks that use more.
	ginkgo.It("reserves the corrected size and rejects placements that do not fit", func() {
		engine := &resizingEngine{size: workerapi.Resources{CPUMillis: 300, MemoryMB: 5000}}
		c := activeCore(1)
		engine.Engine = c.engine.(*firstfit.Engine)
		c.engine = engine
		c.SyncTasks(2010*ms, 1, []BoundTask{newTask("a"), newTask("b")}, false)
		renewLeases(c, 2100*ms)
		c.Tick(2100 * ms)
		starts := takeActionsOf[SendStart](c)
		Expect(starts).To(HaveLen(1), "both fit with their declared size, only one with the corrected size")
		Expect(starts[0].Body.Resources).To(Equal(engine.size))
		Expect(engine.started).To(Equal([]workerapi.Resources{engine.size}))
	})
})
