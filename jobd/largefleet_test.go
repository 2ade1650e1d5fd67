package jobd

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"geraniumwall/jobs"
	"geraniumwall/jobs/dispatch"
)

// idleClient records the idle timeout of the connections to workers.
type idleClient struct{ timeout time.Duration }

func (c *idleClient) Do(context.Context, dispatch.Order) dispatch.Reply { return dispatch.Reply{} }
func (c *idleClient) SetIdleTimeout(timeout time.Duration)              { c.timeout = timeout }

// Guards against a small fleet that is treated as a large one, and against a fleet at the
// threshold whose connections are closed with each worker that comes or goes.
func TestFleetSize(t *testing.T) {
	g := NewWithT(t)
	c := &idleClient{}
	m := &manager{settings: &Settings{LargeFleetWorkers: 20}, store: jobs.NewStore(), workers: c, log: zerolog.Nop()}
	set := func(count int) {
		m.store = jobs.NewStore()
		for i := range count {
			m.store.Apply(jobs.Command{RegisterWorker: &jobs.RegisterWorker{Worker: jobs.Worker{Incarnation: jobs.Incarnation{Worker: fmt.Sprint(i)}}}})
		}
		m.updateFleetSize()
	}
	for _, step := range []struct {
		workers int
		large   bool
	}{{19, false}, {20, true}, {18, true}, {17, false}, {19, false}} {
		set(step.workers)
		g.Expect(m.largeFleet.Load()).To(Equal(step.large), fmt.Sprint(step.workers))
		g.Expect(c.timeout > 0).To(Equal(step.large), fmt.Sprint(step.workers))
	}
	m.settings.LargeFleetWorkers = 0
	set(5000)
	g.Expect(m.largeFleet.Load()).To(BeFalse(), "0 is off")
}

// Guards against a new leader of a large fleet that calls all workers itself before it knows a
// carrier, and against one without carriers that calls none.
func TestAwaitsCarriers(t *testing.T) {
	g := NewWithT(t)
	g.Expect(awaitsCarriers(true, 0, 100*time.Millisecond)).To(BeTrue())
	g.Expect(awaitsCarriers(true, 1, 100*time.Millisecond)).To(BeFalse())
	g.Expect(awaitsCarriers(true, 0, maxCarrierWait)).To(BeFalse())
	g.Expect(awaitsCarriers(false, 0, 0)).To(BeFalse())
}
