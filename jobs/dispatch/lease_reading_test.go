package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

var _ = Describe("A lease of an earlier leader", func() {
	// Guards against a task that runs twice because its worker's clock was first read from
	// a heartbeat that had waited for longer than the leader is in office.
	It("does not expire early after a heartbeat that was delayed", func() {
		sim := newSimulation(7)
		t := sim.addWorker(jobs.Resources{MilliCPU: 1000, MemoryMB: 1000}, true)
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		sim.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: jobs.Resources{MilliCPU: 1000, MemoryMB: 10}, EstimateMS: 60_000}}})
		sim.runUntil(3 * time.Second)
		Expect(t.running).To(HaveLen(1))
		sim.addWorker(jobs.Resources{MilliCPU: 1000, MemoryMB: 1000}, true)
		delayed := t.heartbeat()
		sim.runUntil(sim.now + 2*time.Second)

		t.ordersBlocked, t.heartbeatsBlocked = true, true
		d := sim.startLeader()
		d.HandleHeartbeat(delayed)
		t.heartbeatsBlocked = false
		sim.runUntil(sim.now + 2*testLease + expiredWindow)
		Expect(sim.violations).To(BeEmpty())
		Expect(sim.store.Job("j").Task(jobs.TaskKey{Job: "j"}).Attempt).To(Equal(2))
	})
})
