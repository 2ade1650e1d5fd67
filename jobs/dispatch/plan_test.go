package dispatch

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

var _ = Describe("Plan", func() {
	// Guards against starvation of a long-running task: a steady stream of short tasks
	// takes any capacity that comes free before there is enough for it.
	It("starts a long-running task within 3 s under a steady load of short ones", func() {
		sim := newSimulation(7)
		sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
		sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
		sim.startLeader()
		for i := range 200 {
			sim.schedule(time.Duration(i)*50*time.Millisecond, func() {
				sim.submit(fmt.Sprintf("short-%d", i), jobs.Spec{Steps: []jobs.Step{{
					Count: 2, Request: jobs.Resources{MilliCPU: 1000, MemoryMB: 10}, EstimateMS: 300 + int64(i%7)*100,
				}}})
			})
		}
		sim.runUntil(5 * time.Second)
		sim.submit("lasts", jobs.Spec{Steps: []jobs.Step{{
			Count: 1, Request: jobs.Resources{MilliCPU: 3500, MemoryMB: 10}, LongRunning: true, LatencyTargetMS: 20, Image: "s",
		}}})
		sim.runUntil(8 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(sim.store.Job("lasts").State).To(Equal(jobs.Running))
	})

	// Guards against starvation of short jobs behind a queue of long-running ones, which
	// occupy all capacity that comes free and keep it.
	It("runs short jobs while more long-running tasks wait than fit", func() {
		sim := newSimulation(7)
		for range 4 {
			sim.addWorker(jobs.Resources{MilliCPU: 8000, MemoryMB: 10_000}, true)
		}
		sim.startLeader()
		longRunning := jobs.Spec{Steps: []jobs.Step{{
			Count: 4, Request: jobs.Resources{MilliCPU: 2000, MemoryMB: 10}, LongRunning: true, LatencyTargetMS: 20, Image: "s",
		}}}
		for i := range 40 {
			id := fmt.Sprintf("lasting-%02d", i)
			sim.schedule(2*time.Second, func() { sim.submit(id, longRunning) })
			sim.schedule(time.Duration(i+8)*500*time.Millisecond, func() {
				sim.store.Apply(jobs.Command{Cancel: &jobs.Cancel{ID: id, At: sim.unix()}})
			})
		}
		for i := range 60 {
			sim.schedule(5*time.Second+time.Duration(i)*200*time.Millisecond, func() {
				sim.submit(fmt.Sprintf("short-%02d", i), jobs.Spec{Steps: []jobs.Step{{
					Count: 1, Request: jobs.Resources{MilliCPU: 2000, MemoryMB: 10}, EstimateMS: 300,
				}}})
			})
		}
		sim.runUntil(19 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		done := 0
		for _, j := range sim.store.Jobs() {
			// The objective is twice the duration plus 1 s.
			done += boolToInt(j.Queue == "q" && j.State == jobs.Done && j.EndedAt-j.AcceptedAt <= 1600)
		}
		Expect(done).To(BeNumerically(">=", 54), "at least nine of ten short jobs in time")
	})

	// Guards against a long-running task that lost its worker and waits behind a stream of
	// new ones, whose images sort before its own.
	It("restarts a long-running task before new ones start", func() {
		sim := newSimulation(7)
		sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 10_000}, true)
		sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 10_000}, true)
		sim.startLeader()
		longRunning := func(image string) jobs.Spec {
			return jobs.Spec{Steps: []jobs.Step{{
				Count: 1, Request: jobs.Resources{MilliCPU: 2000, MemoryMB: 10}, LongRunning: true, LatencyTargetMS: 20, Image: image,
			}}}
		}
		sim.runUntil(2 * time.Second)
		sim.submit("first", longRunning("z"))
		sim.submit("second", longRunning("z"))
		for i := range 120 {
			id := fmt.Sprintf("new-%02d", i)
			sim.schedule(time.Second+time.Duration(i)*100*time.Millisecond, func() { sim.submit(id, longRunning("a")) })
			sim.schedule(time.Duration(i+30)*100*time.Millisecond, func() {
				sim.store.Apply(jobs.Command{Cancel: &jobs.Cancel{ID: id, At: sim.unix()}})
			})
		}
		sim.runUntil(4 * time.Second)
		for _, t := range sim.workers {
			if t.running[jobs.TaskKey{Job: "first"}] != nil {
				t.crash(20 * time.Second)
			}
		}
		sim.runUntil(4*time.Second + testLease + 2*time.Second)
		Expect(sim.violations).To(BeEmpty())
		for _, id := range []string{"first", "second"} {
			key := jobs.TaskKey{Job: id}
			runs := slices.ContainsFunc(sim.workers, func(t *simWorker) bool { return t.running[key] != nil })
			Expect(runs).To(BeTrue(), "%s runs again", id)
		}
	})

	// Guards against a large long-running task that lost its worker and waits behind
	// smaller ones. The smaller ones are rejected first, and short tasks take the capacity
	// that comes free before there is enough for the large one.
	It("restarts a large long-running task within 6 s among smaller ones and short ones", func() {
		sim := newSimulation(7)
		for range 4 {
			sim.addWorker(jobs.Resources{MilliCPU: 8000, MemoryMB: 10_000}, true)
		}
		sim.startLeader()
		longRunning := func(count int, cpu int64, image string) jobs.Spec {
			return jobs.Spec{Steps: []jobs.Step{{
				Count: count, Request: jobs.Resources{MilliCPU: cpu, MemoryMB: 10}, LongRunning: true, LatencyTargetMS: 20, Image: image,
			}}}
		}
		sim.runUntil(2 * time.Second)
		large := longRunning(1, 7000, "z")
		large.Steps[0].EstimateMS = 20_000 // its objective ends after those of the others
		sim.submit("large", large)
		sim.runUntil(4 * time.Second)
		sim.submit("held", longRunning(8, 2500, "a"))
		for i := range 12 {
			sim.submit(fmt.Sprintf("new-%02d", i), longRunning(4, 2500, "a"))
		}
		for i := range 400 {
			sim.schedule(time.Duration(i)*50*time.Millisecond, func() {
				sim.submit(fmt.Sprintf("short-%03d", i), jobs.Spec{Steps: []jobs.Step{{
					Count: 2, Request: jobs.Resources{MilliCPU: 2000, MemoryMB: 10}, EstimateMS: 500,
				}}})
			})
		}
		sim.runUntil(8 * time.Second)
		key := jobs.TaskKey{Job: "large"}
		runs := func() bool {
			return slices.ContainsFunc(sim.workers, func(t *simWorker) bool { return t.running[key] != nil })
		}
		Expect(runs()).To(BeTrue())
		for _, t := range sim.workers {
			if t.running[key] != nil {
				t.end(key, jobs.OutcomeFailed)
			}
		}
		sim.runUntil(14 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(runs()).To(BeTrue())
	})

	// Guards against a further wait of a long-running task whose worker was unreachable for
	// a whole lease.
	It("restarts a long-running task as soon as the lease of its worker has expired", func() {
		sim := newSimulation(7)
		for range 2 {
			sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 10_000}, true)
		}
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		sim.submit("lasts", jobs.Spec{Steps: []jobs.Step{{
			Count: 1, Request: jobs.Resources{MilliCPU: 3000, MemoryMB: 10}, LongRunning: true, LatencyTargetMS: 20, Image: "s",
		}}})
		for i := range 200 {
			sim.schedule(time.Duration(i)*50*time.Millisecond, func() {
				sim.submit(fmt.Sprintf("short-%03d", i), jobs.Spec{Steps: []jobs.Step{{
					Count: 1, Request: jobs.Resources{MilliCPU: 1000, MemoryMB: 10}, EstimateMS: 200,
				}}})
			})
		}
		sim.runUntil(4 * time.Second)
		key := jobs.TaskKey{Job: "lasts"}
		for _, t := range sim.workers {
			t.partitioned = t.running[key] != nil
		}
		// One second covers the clock drift, the lease margin and the remaining time of the
		// short tasks on the other worker.
		sim.runUntil(4*time.Second + testLease + time.Second)
		Expect(sim.violations).To(BeEmpty())
		runs := slices.ContainsFunc(sim.workers, func(t *simWorker) bool { return !t.partitioned && t.running[key] != nil })
		Expect(runs).To(BeTrue())
	})

	// Guards against a step with a limit per worker that waits although other workers have
	// free capacity.
	It("spreads the tasks of a step with a limit per worker", func() {
		sim := newSimulation(7)
		for range 3 {
			sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
		}
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		sim.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 3, MaxPerWorker: 1, Request: jobs.Resources{MilliCPU: 500}, EstimateMS: 500}}})
		sim.runUntil(4 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(sim.store.Job("j").State).To(Equal(jobs.Done))
		Expect(sim.starts).To(Equal(3))
	})

	// Guards against fillers that occupy all memory, so that long-running tasks do not fit
	// although CPUs are idle. Fillers reserve no CPU, which would limit them.
	It("leaves memory and CPU free beside fillers", func() {
		sim := newSimulation(7)
		sim.addWorker(jobs.Resources{MilliCPU: 8000, MemoryMB: 1000}, true)
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		sim.submit("f", jobs.Spec{Steps: []jobs.Step{{
			Count: 40, Request: jobs.Resources{MilliCPU: 100, MemoryMB: 50}, EstimateMS: 9000, Filler: true, Image: "f",
		}}})
		sim.runUntil(4 * time.Second)
		Expect(len(sim.workers[0].running) * 50).To(BeNumerically("<=", 850))
		sim.submit("s", jobs.Spec{Steps: []jobs.Step{{
			Count: 1, Request: jobs.Resources{MilliCPU: 4000, MemoryMB: 140}, LongRunning: true, LatencyTargetMS: 20, Image: "s",
		}}})
		sim.runUntil(6 * time.Second)
		Expect(sim.store.Job("s").State).To(Equal(jobs.Running))
		Expect(sim.violations).To(BeEmpty())
	})

	// Guards against placing a disturbing filler beside serving tasks while another worker
	// is free, and against a harmless filler that takes the free worker.
	It("keeps fillers away from the serving tasks that they disturb", func() {
		sim := newSimulation(7)
		sim.store.Apply(jobs.Command{RecordEffects: &jobs.RecordEffects{Effects: []jobs.Effect{
			{Serving: "s", Filler: "bad", Slowdown: 0.5}, {Serving: "s", Filler: "good", Slowdown: 0}}}})
		sim.addWorker(jobs.Resources{MilliCPU: 8000, MemoryMB: 1000}, true)
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		sim.submit("s", jobs.Spec{Steps: []jobs.Step{{
			Count: 1, Request: jobs.Resources{MilliCPU: 4000}, LongRunning: true, LatencyTargetMS: 20, Image: "s",
		}}})
		sim.runUntil(4 * time.Second)
		sim.workers[0].tail = 10
		sim.addWorker(jobs.Resources{MilliCPU: 8000, MemoryMB: 1000}, true)
		sim.runUntil(7 * time.Second)
		filler := func(image string) jobs.Spec {
			return jobs.Spec{Steps: []jobs.Step{{Count: 2, Request: jobs.Resources{MilliCPU: 3000}, EstimateMS: 3000, Filler: true, Image: image}}}
		}
		sim.submit("bad", filler("bad"))
		sim.runUntil(8 * time.Second)
		Expect(sim.workers[0].running).To(HaveLen(1))
		Expect(sim.workers[1].running).To(HaveLen(2))
		sim.submit("good", jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: jobs.Resources{MilliCPU: 3000}, EstimateMS: 3000, Filler: true, Image: "good"}}})
		sim.runUntil(9 * time.Second)
		Expect(sim.workers[0].running).To(HaveLen(2))
	})
})

var _ = Describe("The shortlist of a step", func() {
	// Guards against a choice by outdated scores, since workers are scored only once for
	// the tasks of a step.
	It("chooses the same workers as a full scan", func() {
		for seed := range uint64(50) {
			sim := newSimulation(seed)
			for range 12 {
				sim.addWorker(jobs.Resources{MilliCPU: 2000 + 1000*sim.rng.Int64N(8), MemoryMB: 200 + 100*sim.rng.Int64N(8)}, true)
			}
			d := sim.startLeader()
			sim.runUntil(2 * time.Second)
			sim.submit("s", jobs.Spec{Steps: []jobs.Step{{
				Count: 4, LongRunning: true, LatencyTargetMS: 18, Image: "s", Request: jobs.Resources{MilliCPU: 1500, MemoryMB: 100},
			}}})
			sim.runUntil(3 * time.Second)
			d.model.Suppose("s", "f", float64(sim.rng.IntN(2))*0.1)
			sim.submit("f", jobs.Spec{Steps: []jobs.Step{{
				Count: 40, Filler: true, Image: "f", Request: jobs.Resources{MilliCPU: 500 + sim.rng.Int64N(1500), MemoryMB: 50}, MaxPerWorker: sim.rng.IntN(4),
			}}})
			d.Advance(sim.now, sim.unix())
			d.refreshWaiting()
			candidates := d.candidates()
			wj := d.rankJob(sim.store.Job("f"))
			step := &wj.job.Spec.Steps[0]
			var list shortlist
			for i := range wj.job.StepTasks(0, 0) {
				t := &wj.job.StepTasks(0, 0)[i]
				if sim.rng.IntN(8) == 0 {
					d.avoid(t.Key, sim.workers[sim.rng.IntN(len(sim.workers))].id)
				}
				expected := d.choose(wj, step, t, candidates, nil)
				Expect(d.chooseFromShortlist(wj, step, t, candidates, &list)).To(BeIdenticalTo(expected), "seed %d, task %d", seed, i)
				if expected != nil {
					d.bind(t, step, expected, 1)
				}
			}
		}
	})
})
