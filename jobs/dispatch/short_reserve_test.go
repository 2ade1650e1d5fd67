package dispatch

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

var _ = Describe("Capacity reserved for short tasks", func() {
	longRunning := func(count int) jobs.Spec {
		return jobs.Spec{Steps: []jobs.Step{{
			Count: count, Request: jobs.Resources{MilliCPU: 6000, MemoryMB: 10}, LongRunning: true, LatencyTargetMS: 20, Image: "s",
		}}}
	}

	// Guards against short jobs that wait for minutes: long-running jobs arrive faster than
	// they leave and take all capacity, and the rest on each worker is too small for a
	// short task. The load is 80 cores of short tasks on a service of 1,280 cores, and more
	// long-running tasks than fit.
	It("runs wide short jobs in time while long-running ones fill the service", func() {
		sim := newSimulation(3)
		for range 40 {
			sim.addWorker(jobs.Resources{MilliCPU: 32_000, MemoryMB: 10_000}, true)
		}
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		for i := range 28 {
			sim.submit(fmt.Sprintf("resident-%02d", i), longRunning(6))
		}
		for i := range 30 {
			sim.schedule(time.Duration(i)*time.Second, func() { sim.submit(fmt.Sprintf("lasting-%02d", i), longRunning(6)) })
		}
		const shortJobs = 60
		for i := range shortJobs {
			sim.schedule(500*time.Millisecond+time.Duration(i)*500*time.Millisecond, func() {
				sim.submit(fmt.Sprintf("short-%02d", i), jobs.Spec{Steps: []jobs.Step{{
					Count: 6, Request: jobs.Resources{MilliCPU: 8000, MemoryMB: 10}, EstimateMS: 800,
				}}})
			})
		}
		sim.runUntil(38 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		inTime, running := 0, 0
		for i := range shortJobs {
			j := sim.store.Job(fmt.Sprintf("short-%02d", i))
			inTime += boolToInt(j.State == jobs.Done && j.EndedAt-j.AcceptedAt <= 2600)
		}
		for _, t := range sim.workers {
			for key := range t.running {
				running += boolToInt(sim.store.Job(key.Job).Step(key).LongRunning)
			}
		}
		Expect(inTime).To(BeNumerically(">=", shortJobs*95/100), "the objective is twice the duration plus 1 s")
		Expect(running).To(BeNumerically(">=", 168), "long-running tasks keep the capacity outside the reserve")
	})

	// Guards against a reserve that keeps new long-running tasks waiting after the short
	// jobs have stopped to arrive.
	It("returns the reserve once no short tasks run", func() {
		sim := newSimulation(3)
		for range 20 {
			sim.addWorker(jobs.Resources{MilliCPU: 32_000, MemoryMB: 10_000}, true)
		}
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		for i := range 8 {
			sim.submit(fmt.Sprintf("short-%d", i), jobs.Spec{Steps: []jobs.Step{{
				Count: 4, Request: jobs.Resources{MilliCPU: 8000, MemoryMB: 10}, EstimateMS: 800,
			}}})
		}
		sim.runUntil(5 * time.Second)
		sim.submit("lasting", longRunning(100))
		sim.runUntil(35 * time.Second)
		running := 0
		for _, t := range sim.workers {
			running += len(t.running)
		}
		Expect(sim.violations).To(BeEmpty())
		Expect(running).To(Equal(100), "20 workers with room for 5 tasks each")
	})

	// Guards against a long-running task that is taken to fit nowhere because a smaller
	// new one was kept from the reserved workers.
	It("tells apart the tasks that the reserve admits", func() {
		noFit := unplaceable{}
		small, large := jobs.Step{Request: jobs.Resources{MilliCPU: 1000}}, jobs.Step{Request: jobs.Resources{MilliCPU: 2000}}
		lasting := large
		lasting.LongRunning = true
		noFit.add(newUnplaceableRequest("s", &lasting, &jobs.Task{}))
		Expect(noFit.covers(newUnplaceableRequest("s", &large, &jobs.Task{}))).To(BeFalse(), "short")
		Expect(noFit.covers(newUnplaceableRequest("s", &lasting, &jobs.Task{Attempt: 1}))).To(BeFalse(), "restarted")
		Expect(noFit.covers(newUnplaceableRequest("s", &lasting, &jobs.Task{}))).To(BeTrue(), "new")
		noFit.add(newUnplaceableRequest("s", &small, &jobs.Task{}))
		Expect(noFit.covers(newUnplaceableRequest("s", &large, &jobs.Task{Attempt: 1}))).To(BeTrue(), "a larger short task")
	})
})
