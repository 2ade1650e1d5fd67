package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

var _ = Describe("A cold worker", func() {
	const span = 8 * time.Second

	// begin starts a warm and a cold worker, and a stream of tasks that fills half of both.
	begin := func(warmUp bool, warmWorkers int) *simulation {
		sim := newSimulation(7)
		for range warmWorkers {
			sim.addWorker(jobs.Resources{MilliCPU: 16_000, MemoryMB: 1000}, true)
		}
		cold := sim.addWorker(jobs.Resources{MilliCPU: 16_000, MemoryMB: 1000}, true)
		cold.coldUntil = 2*time.Second + span
		d := sim.startLeader()
		d.options.WarmUp = warmUp
		sim.runUntil(2 * time.Second)
		return sim
	}
	submit := func(sim *simulation, id string, count int) {
		sim.submit(id, jobs.Spec{Steps: []jobs.Step{{Count: count, Request: jobs.Resources{MilliCPU: 1000, MemoryMB: 10}, EstimateMS: 60_000}}})
		sim.runUntil(sim.now + time.Second)
	}

	// Guards against a worker that gets a full share of the load right after its start, and
	// against one that gets none until it is warm.
	It("gets load by degrees while others have room", func() {
		sim := begin(true, 1)
		submit(sim, "first", 10)
		Expect(sim.workers[1].running).To(HaveLen(2), "an eighth of 16 cores")
		sim.runUntil(2*time.Second + span/2)
		submit(sim, "second", 10)
		Expect(len(sim.workers[1].running)).To(BeNumerically("~", 9, 1))
		sim.runUntil(2*time.Second + span)
		submit(sim, "third", 12)
		Expect(sim.workers[1].running).To(HaveLen(16))
		Expect(sim.violations).To(BeEmpty())
	})

	// Guards against work that waits for a worker to become warm although there is room.
	It("gets what has no other room", func() {
		sim := begin(true, 0)
		submit(sim, "first", 16)
		Expect(sim.workers[0].running).To(HaveLen(16))
	})

	// Guards against a placement that changes for a whole fleet that has just started.
	It("is loaded as others while most of them are cold", func() {
		sim := begin(true, 1)
		sim.addWorker(jobs.Resources{MilliCPU: 16_000, MemoryMB: 1000}, true).coldUntil = 2*time.Second + span
		sim.runUntil(3200 * time.Millisecond)
		submit(sim, "first", 24)
		Expect(len(sim.workers[1].running)).To(BeNumerically(">=", 4))
		Expect(len(sim.workers[2].running)).To(BeNumerically(">=", 4))
	})

	// Guards against another placement in deployments that do not ask for it.
	It("is loaded as others without the setting", func() {
		sim := begin(false, 1)
		submit(sim, "first", 10)
		Expect(len(sim.workers[1].running)).To(BeNumerically(">=", 4))
	})
})
