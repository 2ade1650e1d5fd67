package dispatch

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

// callersSimulation returns a simulation with queues of the given names, each in a
// workspace of its own, whose jobs have an objective of 1.5 times their duration plus
// 250 ms.
func callersSimulation(seed uint64, fair *FairShares, queues ...string) *simulation {
	sim := newSimulation(seed)
	sim.fairShares = fair
	config := jobs.Config{Version: 2}
	for _, name := range queues {
		config.Queues = append(config.Queues, jobs.Queue{
			Name: name, Host: name + ".test", Service: "s", MaxAttempts: 1000, Stretch: 1.5, LatencyObjective: 250,
		})
	}
	sim.store.Apply(jobs.Command{Configure: &jobs.Configure{Config: config}})
	return sim
}

func (sim *simulation) submitFor(queue, id string, spec jobs.Spec) {
	sim.store.Apply(jobs.Command{Submit: &jobs.Submit{ID: id, Queue: queue, Spec: spec, At: sim.unix()}})
}

func (sim *simulation) cancelJob(id string) {
	sim.store.Apply(jobs.Command{Cancel: &jobs.Cancel{ID: id, At: sim.unix()}})
}

// shortSpec returns a job of tasks that end after the given time.
func shortSpec(count int, request jobs.Resources, estimate time.Duration) jobs.Spec {
	return jobs.Spec{Steps: []jobs.Step{{Count: count, Request: request, EstimateMS: estimate.Milliseconds()}}}
}

// inTime returns the share of the jobs of a queue accepted in an interval that met their
// objective.
func (sim *simulation) inTime(queue string, from, until time.Duration) float64 {
	all, met := 0, 0
	for _, j := range sim.store.Jobs() {
		accepted := time.Duration(j.AcceptedAt-unixStart) * time.Millisecond
		if j.Queue != queue || accepted < from || accepted >= until {
			continue
		}
		all++
		objective := 1.5*float64(j.Spec.Steps[0].EstimateMS) + 250
		met += boolToInt(j.State == jobs.Done && float64(j.EndedAt-j.AcceptedAt) <= objective)
	}
	return float64(met) / float64(max(1, all))
}

const (
	lossAt      = 10 * time.Second
	afterLoss   = 25 * time.Second
	lastingStep = 200 * time.Millisecond
)

// lossSimulation returns a fleet that is nearly full of long-running tasks and loses a quarter
// of its workers, with urgent jobs of another queue. Long-running jobs are cancelled and
// replaced at a steady rate.
func lossSimulation(seed uint64, fair *FairShares) *simulation {
	sim := callersSimulation(seed, fair, "lasting", "urgent")
	for range 20 {
		sim.addWorker(jobs.Resources{MilliCPU: 64_000, MemoryMB: 250_000}, true)
	}
	sim.startLeader()
	lasting := func(id int) jobs.Spec {
		spec := shortSpec(1, jobs.Resources{MilliCPU: 9000 + int64(id%9)*1000, MemoryMB: 10_000}, 0)
		spec.Steps[0].LongRunning = true
		return spec
	}
	for i := range 300 {
		id := fmt.Sprintf("lasting-%03d", i)
		at := 2*time.Second + max(0, time.Duration(i-92)*lastingStep)
		sim.schedule(at, func() { sim.submitFor("lasting", id, lasting(i)) })
		sim.schedule(8*time.Second+time.Duration(i)*lastingStep, func() { sim.cancelJob(id) })
	}
	for at := 5 * time.Second; at < afterLoss; at += 30 * time.Millisecond {
		sim.schedule(at, func() {
			sim.submitFor("urgent", fmt.Sprintf("urgent-%v", at), shortSpec(1, jobs.Resources{MilliCPU: 8000, MemoryMB: 1000}, 500*time.Millisecond))
		})
	}
	sim.schedule(lossAt, func() {
		for _, t := range sim.workers[:5] {
			t.crash(time.Hour)
		}
	})
	return sim
}

var _ = Describe("Fair shares", func() {
	// Guards against urgent work that waits behind the restarts of a queue that holds nearly
	// all of the fleet.
	It("binds urgent jobs before restarts of a queue above its share", func() {
		before, after := 0.0, 0.0
		for seed := range uint64(4) {
			for _, fair := range []*FairShares{nil, {}} {
				sim := lossSimulation(seed, fair)
				sim.runUntil(afterLoss + 5*time.Second)
				Expect(sim.violations).To(BeEmpty())
				met := sim.inTime("urgent", lossAt, afterLoss) / 4
				if fair == nil {
					before += met
				} else {
					after += met
				}
			}
		}
		GinkgoWriter.Println("urgent in time without shares", before, "with shares", after)
		Expect(after).To(BeNumerically(">", 0.8))
		Expect(before).To(BeNumerically("<", 0.75), "without shares the load shows the failure")
	})

	// Guards against a caller whose burst of ten times its load delays the jobs of the others.
	It("lets a burst of one of four callers delay its own jobs only", func() {
		others := func(fair *FairShares) float64 {
			sim := callersSimulation(3, fair, "burst", "b", "c", "d")
			for range 20 {
				sim.addWorker(jobs.Resources{MilliCPU: 16_000, MemoryMB: 100_000}, true)
			}
			sim.startLeader()
			for i, queue := range []string{"burst", "b", "c", "d"} {
				for at := 3*time.Second + time.Duration(i)*10*time.Millisecond; at < 20*time.Second; at += 80 * time.Millisecond {
					jobsAtOnce := 1
					if queue == "burst" && at >= 8*time.Second {
						jobsAtOnce = 10
					}
					for n := range jobsAtOnce {
						sim.schedule(at, func() {
							sim.submitFor(queue, fmt.Sprintf("%s-%v-%d", queue, at, n), shortSpec(4, jobs.Resources{MilliCPU: 2000, MemoryMB: 100}, 500*time.Millisecond))
						})
					}
				}
			}
			sim.runUntil(22 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.inTime("burst", 3*time.Second, 8*time.Second)).To(BeNumerically(">", 0.95), "the fleet suffices for the usual load")
			return (sim.inTime("b", 8*time.Second, 20*time.Second) + sim.inTime("c", 8*time.Second, 20*time.Second) + sim.inTime("d", 8*time.Second, 20*time.Second)) / 3
		}
		without, with := others(nil), others(&FairShares{})
		GinkgoWriter.Println("jobs of the others in time without shares", without, "with shares", with)
		Expect(with).To(BeNumerically(">", 0.9))
		Expect(without).To(BeNumerically("<", 0.7), "without shares the load shows the failure")
	})

	// Guards against a queue that is told apart by its CPU alone: tasks that fill the memory
	// with little CPU would go on taking the memory that comes free.
	It("serves others beside a queue whose work fills all memory", func() {
		served := func(fair *FairShares) float64 {
			sim := callersSimulation(5, fair, "memory", "cpu")
			for range 10 {
				sim.addWorker(jobs.Resources{MilliCPU: 16_000, MemoryMB: 16_000}, true)
			}
			sim.startLeader()
			for at := 2 * time.Second; at < 15*time.Second; at += 100 * time.Millisecond {
				sim.schedule(at, func() {
					sim.submitFor("memory", fmt.Sprintf("a-memory-%v", at), shortSpec(30, jobs.Resources{MilliCPU: 100, MemoryMB: 2000}, time.Second))
					sim.submitFor("cpu", fmt.Sprintf("cpu-%v", at), shortSpec(2, jobs.Resources{MilliCPU: 2000, MemoryMB: 2000}, time.Second))
				})
			}
			sim.runUntil(18 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			return sim.inTime("cpu", 4*time.Second, 15*time.Second)
		}
		without, with := served(nil), served(&FairShares{})
		GinkgoWriter.Println("CPU jobs in time without shares", without, "with shares", with)
		Expect(with).To(BeNumerically(">", 0.9))
		Expect(without).To(BeNumerically("<", 0.7), "without shares the load shows the failure")
	})

	// Guards against cancelled jobs that still count as work of their queue: the others would
	// not get the capacity back.
	It("returns the capacity of a caller that cancels all of its jobs", func() {
		sim := callersSimulation(9, &FairShares{}, "mass", "other")
		for range 10 {
			sim.addWorker(jobs.Resources{MilliCPU: 16_000, MemoryMB: 100_000}, true)
		}
		sim.startLeader()
		for i := range 300 {
			id := fmt.Sprintf("mass-%03d", i)
			sim.schedule(2*time.Second, func() {
				sim.submitFor("mass", id, shortSpec(4, jobs.Resources{MilliCPU: 4000, MemoryMB: 100}, 20*time.Second))
			})
			sim.schedule(6*time.Second, func() { sim.cancelJob(id) })
		}
		for i := range 20 {
			sim.schedule(7*time.Second, func() {
				sim.submitFor("other", fmt.Sprintf("other-%03d", i), shortSpec(4, jobs.Resources{MilliCPU: 2000, MemoryMB: 100}, time.Second))
			})
		}
		sim.runUntil(7500 * time.Millisecond)
		Expect(sim.current().TakeStatus().Shares).To(ConsistOf(QueueShare{"other", 1, 1}))
		sim.runUntil(12 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(sim.inTime("other", 0, 12*time.Second)).To(Equal(1.0))
	})

	// Guards against jobs that no worker can run and that hold up the restarts of other
	// queues for as long as they arrive.
	It("lets jobs that can never be done hold up no restart", func() {
		sim := callersSimulation(7, &FairShares{}, "lasting", "never", "urgent")
		for range 4 {
			sim.addWorker(jobs.Resources{MilliCPU: 8000, MemoryMB: 10_000}, true)
		}
		d := sim.startLeader()
		lasting := shortSpec(4, jobs.Resources{MilliCPU: 7000, MemoryMB: 10}, 0)
		lasting.Steps[0].LongRunning = true
		sim.runUntil(2 * time.Second)
		sim.submitFor("lasting", "lasting", lasting)
		sim.runUntil(4 * time.Second)
		waitsForRoom := func() bool {
			d.Advance(sim.now, sim.unix())
			d.refreshWaiting()
			ranked, candidates := d.rankedJobs(), d.candidates()
			d.planner.fair = d.newFairPlan(ranked, candidates)
			return d.planBelowShare(ranked, candidates, &unplaceable{})
		}
		sim.submitFor("never", "large", shortSpec(1, jobs.Resources{MilliCPU: 9000, MemoryMB: 10}, 500*time.Millisecond))
		labelled := shortSpec(1, jobs.Resources{MilliCPU: 1000, MemoryMB: 10}, 500*time.Millisecond)
		labelled.Steps[0].RequiredLabel = "none has it"
		sim.submitFor("never", "labelled", labelled)
		Expect(waitsForRoom()).To(BeFalse())
		sim.submitFor("urgent", "urgent", shortSpec(1, jobs.Resources{MilliCPU: 2000, MemoryMB: 10}, 500*time.Millisecond))
		Expect(waitsForRoom()).To(BeTrue())
	})

	// Guards against both kinds of starvation of a restart by urgent work: room for it that is
	// kept idle for the urgent work, and pieces too small for it that come free all the time.
	DescribeTable("runs a restart of a queue above its share", func(spareMilliCPU int64, bound time.Duration) {
		sim := callersSimulation(7, &FairShares{}, "lasting", "urgent")
		for range 4 {
			sim.addWorker(jobs.Resources{MilliCPU: 8000, MemoryMB: 10_000}, true)
		}
		spare := sim.addWorker(jobs.Resources{}, true)
		sim.startLeader()
		holders := shortSpec(4, jobs.Resources{MilliCPU: 1500, MemoryMB: 7000}, 0)
		holders.Steps[0].LongRunning, holders.Steps[0].MaxPerWorker = true, 1
		moved := shortSpec(1, jobs.Resources{MilliCPU: 300, MemoryMB: 3000}, 0)
		moved.Steps[0].LongRunning = true
		sim.runUntil(2 * time.Second)
		sim.submitFor("lasting", "holders", holders)
		sim.runUntil(3 * time.Second)
		sim.submitFor("lasting", "moved", moved)
		for at := 2 * time.Second; at < 60*time.Second; at += 40 * time.Millisecond {
			sim.schedule(at, func() {
				// The CPU of the spare worker is too small for urgent work.
				sim.submitFor("urgent", fmt.Sprintf("urgent-%v", at), shortSpec(1, jobs.Resources{MilliCPU: 700, MemoryMB: 1000}, 500*time.Millisecond+at%(7*time.Millisecond)*70))
			})
		}
		sim.runUntil(6 * time.Second)
		spare.setCapacity(jobs.Resources{MilliCPU: spareMilliCPU, MemoryMB: 10 * spareMilliCPU})
		sim.runUntil(8 * time.Second)
		sim.workerOf("moved").crash(time.Hour)
		sim.runUntil(8*time.Second + testLease + bound)
		Expect(sim.violations).To(BeEmpty())
		Expect(sim.workerOf("moved")).NotTo(BeNil())
	},
		Entry("at once where there is room for it twice over", int64(600), 1500*time.Millisecond),
		Entry("in the end where there is none", int64(0), 26*time.Second),
	)
})

// workerOf returns a worker that is up and runs a task of a job, or nil.
func (sim *simulation) workerOf(job string) *simWorker {
	for _, t := range sim.workers {
		for key := range t.running {
			if t.up && key.Job == job {
				return t
			}
		}
	}
	return nil
}
