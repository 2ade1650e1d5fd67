package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

var _ = Describe("The status", func() {
	It("tells what waits and what the workers do", func() {
		sim := newSimulation(5)
		for range 3 {
			sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
		}
		d := sim.startLeader()
		sim.runUntil(2 * time.Second)
		d.TakeStatus()
		sim.submit("job", jobs.Spec{Steps: []jobs.Step{{
			Count: 10, Request: jobs.Resources{MilliCPU: 1500, MemoryMB: 10}, EstimateMS: 60_000,
		}}})
		sim.runUntil(4 * time.Second)
		s := d.TakeStatus()
		Expect(s.Workers).To(Equal(WorkerCounts{Known: 3, Usable: 3}))
		Expect(s.Attempts).To(Equal(AttemptCounts{Started: 6}))
		Expect(s.FreeMilliCPU).To(Equal(int64(3 * 1000)))
		Expect(s.Queues).To(HaveLen(1))
		Expect(s.Queues[0].Jobs).To(Equal(1))
		Expect(s.Queues[0].Tasks).To(Equal(4))
		Expect(s.Queues[0].FirstBinding.Count).To(Equal(6))
		Expect(s.Queues[0].Blocked).To(Equal("map[no CPU:3]"))
		Expect(s.Commit.Count).To(Equal(6))
		Expect(s.Commit.Mean()).To(BeNumerically(">=", 5*time.Millisecond), "a commit takes as long in the simulation")
		Expect(s.StartReply.Count).To(Equal(6))
		Expect(s.Holds.Answered).To(BeNumerically(">", 0))
		Expect(s.Holds.Failed).To(BeZero())

		sim.workers[2].heartbeatsBlocked = true
		sim.runUntil(8 * time.Second)
		s = d.TakeStatus()
		Expect(s.Workers).To(Equal(WorkerCounts{Known: 3, Usable: 2, Silent: 1}))
		Expect(s.FreeMilliCPU).To(Equal(int64(2 * 1000)))
		Expect(s.Commit.Count).To(BeZero(), "counts start anew with each status")
	})
})
