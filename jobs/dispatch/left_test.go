package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

var _ = Describe("A deregistered worker that refuses connections", func() {
	// Guards against a task that runs twice because a start of the former leader was still on
	// its way and reached the next process under the same id.
	It("keeps an attempt whose start may still arrive", func() {
		const startDelay = 1500 * time.Millisecond
		sim := newSimulation(1)
		sim.carrierWait = func(o Order) time.Duration {
			if o.Start != nil && o.Start.Attempt == 1 {
				return startDelay
			}
			return 0
		}
		t := sim.addWorker(jobs.Resources{MilliCPU: 1000, MemoryMB: 1000}, true)
		t.refusesConnections = true
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		sim.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: jobs.Resources{MilliCPU: 1000, MemoryMB: 10}, EstimateMS: 20_000}}})
		sim.runUntil(2300 * time.Millisecond)
		task := sim.store.Job("j").Task(jobs.TaskKey{Job: "j"})
		Expect(task.Attempt).To(Equal(1))
		sim.addWorker(jobs.Resources{MilliCPU: 1000, MemoryMB: 1000}, true)
		t.heartbeatsBlocked = true
		t.crash(time.Second)
		d := sim.startLeader()
		d.Deregister(t.id, func(bool) {})
		sim.runUntil(4 * time.Second)
		t.heartbeatsBlocked = false
		sim.runUntil(10 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(sim.store.Job("j").Task(task.Key).Attempt).To(Equal(2), "the next process lacks the attempt and refuses its start")
	})
})
