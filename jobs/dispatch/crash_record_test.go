package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

var _ = Describe("A crash of a worker that is known from the log", func() {
	// Guards against a job that is given up for a crash which was before the attempt was bound:
	// the log has the registration of the incarnation before the one that ran it.
	It("does not count for an attempt that was bound to the next incarnation", func() {
		sim := newSimulation(7)
		t := sim.addWorker(jobs.Resources{MilliCPU: 1000, MemoryMB: 1000}, true)
		earlier := sim.startLeader()
		sim.runUntil(2 * time.Second)
		registered := *sim.store.Worker(t.id)
		t.crash(100 * time.Millisecond)
		sim.runUntil(4 * time.Second)
		key := jobs.TaskKey{Job: "j"}
		sim.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: jobs.Resources{MilliCPU: 1000, MemoryMB: 10}, EstimateMS: 60_000}}})
		sim.runUntil(5 * time.Second)
		task := sim.store.Job("j").Task(key)
		Expect(task.BoundTo.StartedAtMS).To(BeNumerically(">", registered.StartedAtMS))
		sim.depose(earlier)
		sim.store.Apply(jobs.Command{RemoveWorker: &jobs.RemoveWorker{Worker: sim.store.Worker(t.id).Incarnation}})
		sim.store.Apply(jobs.Command{RegisterWorker: &jobs.RegisterWorker{Worker: registered, At: sim.unix()}})

		delete(t.running, key)
		sim.startLeader()
		sim.runUntil(9 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(t.running).To(HaveKey(key))
		Expect(sim.store.Job("j").Task(key).Attempt).To(Equal(2))
		Expect(sim.store.Job("j").Task(key).Crashes).To(BeZero())
	})
})
