package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

// fullCapacity is the capacity of a worker that has not shrunk.
var fullCapacity = jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}

// quarter returns a quarter of a capacity.
func quarter(r jobs.Resources) jobs.Resources {
	return jobs.Resources{MilliCPU: r.MilliCPU / 4, MemoryMB: r.MemoryMB / 4, GPUs: r.GPUs / 4}
}

// oneTask returns a job of one task that asks for the given CPU in millicores.
func oneTask(milliCPU, estimateMS int64) jobs.Spec {
	return jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: jobs.Resources{MilliCPU: milliCPU, MemoryMB: 10}, EstimateMS: estimateMS}}}
}

var _ = Describe("Capacity that changes", func() {
	// Guards against a start beyond a capacity that shrank between the choice of the worker
	// and the commit of the binding.
	It("cancels a start that no longer fits and plans the task anew at once", func() {
		sim := newSimulation(7)
		shrinks := sim.addWorker(fullCapacity, true)
		d := sim.startLeader()
		sim.runUntil(2 * time.Second)
		sim.submit("resident", oneTask(1000, 60_000))
		sim.runUntil(3 * time.Second)
		Expect(shrinks.running).To(HaveLen(1))
		sim.commitDelay = 200 * time.Millisecond
		sim.submit("job", oneTask(3000, 60_000))
		sim.runUntil(sim.now + 50*time.Millisecond)
		Expect(d.proposedBinds).To(HaveLen(1))
		shrinks.setCapacity(jobs.Resources{MilliCPU: 3000, MemoryMB: 1000})
		shrinks.report()
		other := sim.addWorker(fullCapacity, true)
		other.report()
		sim.runUntil(sim.now + 180*time.Millisecond)
		Expect(shrinks.running).To(HaveLen(1), "the new task does not fit beside the running one")
		// The end of the binding and the next binding have to be committed.
		sim.runUntil(sim.now + 2*sim.commitDelay + 100*time.Millisecond)
		Expect(sim.violations).To(BeEmpty())
		Expect(other.running).To(HaveLen(1))
	})

	// Guards against a gang of which only some members start. They would wait for the others
	// until they give up.
	It("cancels all starts of a gang of which one member no longer fits", func() {
		sim := newSimulation(7)
		for range 2 {
			sim.addWorker(fullCapacity, true)
		}
		d := sim.startLeader()
		sim.runUntil(2 * time.Second)
		sim.commitDelay = 200 * time.Millisecond
		sim.submit("gang", jobs.Spec{Steps: []jobs.Step{{
			Count: 2, MaxPerWorker: 1, Gang: true, Request: jobs.Resources{MilliCPU: 3000, MemoryMB: 10}, EstimateMS: 60_000,
		}}})
		sim.runUntil(sim.now + 50*time.Millisecond)
		Expect(d.proposedBinds).To(HaveLen(2))
		sim.workers[1].setCapacity(quarter(fullCapacity))
		sim.workers[1].report()
		sim.runUntil(sim.now + time.Second)
		Expect(sim.starts).To(Equal(0))
		sim.workers[1].setCapacity(fullCapacity)
		sim.workers[1].report()
		sim.runUntil(sim.now + time.Second)
		Expect(sim.starts).To(Equal(2))
		Expect(sim.violations).To(BeEmpty())
	})
})
