package dispatch

import (
	"cmp"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

const (
	urgentPriority = 0
	batchPriority  = 2
	// urgentObjective is the latency objective of the urgent queue, whose stretch is 1.5.
	urgentObjective = 300 * time.Millisecond
	// simStopTime is how long a worker of these simulations takes to stop a task.
	simStopTime = 300 * time.Millisecond
)

// preemptionSimulation returns a simulation with an urgent queue and one for batch work.
func preemptionSimulation(seed uint64) *simulation {
	sim := newSimulation(seed)
	sim.stopTime, sim.durationSpread, sim.commitDelay = simStopTime, 0.2, 15*time.Millisecond
	sim.store.Apply(jobs.Command{Configure: &jobs.Configure{Config: jobs.Config{
		Version: 2, Queues: []jobs.Queue{
			{Name: "urgent", Service: "s", Priority: urgentPriority, MaxAttempts: 1000, Stretch: 1.5, LatencyObjective: urgentObjective.Milliseconds()},
			{Name: "q", Service: "s", Priority: batchPriority, MaxAttempts: 1000, Stretch: 3, LatencyObjective: 60_000},
			{Name: "tight", Service: "s", Priority: batchPriority, MaxAttempts: 1000, Stretch: 1, LatencyObjective: 500},
		},
	}}})
	return sim
}

func (sim *simulation) submitUrgent(id string, spec jobs.Spec) {
	sim.store.Apply(jobs.Command{Submit: &jobs.Submit{ID: id, Queue: "urgent", Spec: spec, At: sim.unix()}})
}

// batchLoad is a full fleet of batch work, with urgent jobs at a steady rate.
type batchLoad struct {
	*simulation
	urgent []string
}

const (
	batchStart  = 2 * time.Second
	urgentStart = 8 * time.Second
	loadEnd     = 38 * time.Second
)

// newBatchLoad returns the load of a number of workers of 32 cores. Batch work arrives
// faster than it is done, urgent jobs once in an interval.
func newBatchLoad(seed uint64, workers int, interval time.Duration) *batchLoad {
	l := &batchLoad{simulation: preemptionSimulation(seed)}
	for range workers {
		l.addWorker(jobs.Resources{MilliCPU: 32_000, MemoryMB: 100_000}, true)
	}
	l.startLeader()
	count := 0
	batchInterval := 4500 * time.Millisecond / time.Duration(workers)
	for at := batchStart; at < loadEnd; at += batchInterval {
		l.schedule(at, func() {
			count++
			l.submit(fmt.Sprintf("batch-%05d", count), l.batchSpec(count))
		})
	}
	if interval == 0 {
		return l
	}
	for at := urgentStart; at < loadEnd; at += interval {
		id := fmt.Sprintf("urgent-%v", at)
		l.urgent = append(l.urgent, id)
		l.schedule(at, func() {
			l.submitUrgent(id, jobs.Spec{Steps: []jobs.Step{{
				Count: 13, Request: jobs.Resources{MilliCPU: 6400, MemoryMB: 10}, EstimateMS: 600,
			}}})
		})
	}
	return l
}

// batchSpec returns a job of 20 tasks, of which 85 of 100 save their work.
func (l *batchLoad) batchSpec(number int) jobs.Spec {
	return jobs.Spec{Steps: []jobs.Step{{
		Count: 20, Request: jobs.Resources{MilliCPU: 3500, MemoryMB: 10}, EstimateMS: 1600 + l.rng.Int64N(1200), Checkpointed: number%20 >= 3,
	}}}
}

// urgentInTime returns the number of urgent jobs that were done within their objective.
func (l *batchLoad) urgentInTime() int {
	inTime := 0
	for _, id := range l.urgent {
		j := l.store.Job(id)
		objective := 900 + urgentObjective.Milliseconds()
		inTime += boolToInt(j.State == jobs.Done && j.EndedAt-j.AcceptedAt <= objective)
	}
	return inTime
}

// batchWork returns the declared duration of the batch tasks that were done while urgent
// jobs arrived.
func (l *batchLoad) batchWork() time.Duration {
	sum := time.Duration(0)
	for _, j := range l.store.Jobs() {
		if j.Queue == "urgent" {
			continue
		}
		j.Tasks(func(t *jobs.Task) {
			if t.Done && t.EndedAt >= unixStart+urgentStart.Milliseconds() && t.EndedAt < unixStart+loadEnd.Milliseconds() {
				sum += time.Duration(j.Step(t.Key).EstimateMS) * time.Millisecond
			}
		})
	}
	return sum
}

// randomPreemptionLoad returns a simulation with random urgent and batch jobs on a small
// fleet that is full, and with faults until faultsEnd.
func randomPreemptionLoad(seed uint64) *simulation {
	sim := preemptionSimulation(seed)
	for range 4 + sim.rng.IntN(4) {
		sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, sim.rng.IntN(2) == 0)
	}
	sim.startLeader()
	for at := time.Second; at < faultsEnd; at += 500 * time.Millisecond {
		sim.schedule(at, func() {
			spec := sim.randomSpec()
			for i := range spec.Steps {
				spec.Steps[i].Checkpointed = sim.rng.IntN(4) > 0
				spec.Steps[i].Gang = sim.rng.IntN(8) == 0 && spec.Steps[i].Count <= 3
			}
			sim.submit(fmt.Sprintf("batch-%v", at), spec)
		})
	}
	for at := 2 * time.Second; at < faultsEnd; at += 600 * time.Millisecond {
		sim.schedule(at, func() {
			spec := sim.randomSpec()
			for i := range spec.Steps {
				spec.Steps[i].EstimateMS = 100 + spec.Steps[i].EstimateMS%500
			}
			sim.submitUrgent(fmt.Sprintf("urgent-%v", at), spec)
		})
	}
	for at := 3 * time.Second; at < faultsEnd; at += 1500 * time.Millisecond {
		sim.schedule(at, sim.injectFault)
	}
	return sim
}

// victimCase is a task that occupies a worker, and what happens to it when an urgent task
// arrives.
type victimCase struct {
	step  jobs.Step
	queue string
	// age is the time for which the task has run.
	age time.Duration
	// late is set if the urgent job cannot meet its objective.
	late bool
	// preempted is set if the task is stopped, ends if it ends soon by itself.
	preempted, ends bool
}

// submit submits the job of the task.
func (c *victimCase) submit(sim *simulation) {
	step := c.step
	step.Count, step.Request = 1, jobs.Resources{MilliCPU: 3500, MemoryMB: 10}
	if step.EstimateMS == 0 {
		step.EstimateMS = 6000
	}
	spec := jobs.Spec{Steps: []jobs.Step{step}}
	sim.store.Apply(jobs.Command{Submit: &jobs.Submit{ID: "victim", Queue: cmp.Or(c.queue, "q"), Spec: spec, At: sim.unix()}})
}

var _ = Describe("Preemption", func() {
	// Guards against urgent jobs that wait for room while batch work takes each piece of a
	// full fleet that comes free. They need 50 of 960 cores.
	DescribeTable("serves urgent jobs in time on a fleet that is full of batch work", func(commitDelay time.Duration, minInTime float64) {
		const workers = 30
		alone := newBatchLoad(4, workers, 0)
		alone.commitDelay = commitDelay
		alone.runUntil(loadEnd)
		l := newBatchLoad(4, workers, time.Second)
		l.commitDelay = commitDelay
		l.runUntil(loadEnd + 3*time.Second)
		Expect(l.violations).To(BeEmpty())
		GinkgoWriter.Printf("urgent %d of %d in time, batch work %v of %v, %+v\n",
			l.urgentInTime(), len(l.urgent), l.batchWork(), alone.batchWork(), l.current().TakeStatus().Preemptions)
		Expect(l.urgentInTime()).To(BeNumerically(">=", minInTime*float64(len(l.urgent))))
		Expect(l.batchWork()).To(BeNumerically(">=", alone.batchWork()*9/10))
		for key, stops := range l.stoppedEnds {
			Expect(stops).To(BeNumerically("<=", maxPreemptions), "%v", key)
		}
	},
		Entry("with fast commits", 15*time.Millisecond, 0.8),
		Entry("with slow commits", 150*time.Millisecond, 0.65),
	)

	// Guards against preempted tasks that run twice, start anew over the capacity of a worker
	// or are lost, and against stops that count as failures, while workers crash, are
	// partitioned, drain or answer late and leaders change.
	It("keeps the invariants and finishes all jobs under faults", func() {
		first, count := seeds()
		accepted, givenUp, preempted, used := 0, 0, 0, 0
		for i := range count / capacitySeedShare {
			seed := first + uint64(i) //nolint:gosec // small
			sim := randomPreemptionLoad(seed)
			sim.runUntil(simulationEnd)
			Expect(sim.violations).To(BeEmpty(), "seed %d", seed)
			for _, j := range sim.store.Jobs() {
				accepted++
				givenUp += boolToInt(sim.expectDone(seed, j))
				j.Tasks(func(t *jobs.Task) {
					Expect(t.Failures).To(BeNumerically("<=", sim.failedEnds[t.Key]), "seed %d: failures of %v", seed, t.Key)
				})
			}
			for _, d := range sim.leaders {
				counts := d.TakeStatus().Preemptions
				preempted += counts.Preempted
				used += counts.Used
			}
		}
		GinkgoWriter.Printf("%d jobs, %d given up, %d tasks preempted, %d claims used\n", accepted, givenUp, preempted, used)
		Expect(preempted).To(BeNumerically(">", 0))
		Expect(used).To(BeNumerically(">", 0))
		Expect(givenUp).To(BeNumerically("<=", accepted/minJobsPerGivenUp))
	})

	// Guards against victims that lose much, that must not be disturbed or that end soon by
	// themselves, and against preemption for jobs that cannot meet their objective.
	DescribeTable("takes room only from work that may be stopped", func(c victimCase) {
		sim := preemptionSimulation(7)
		sim.durationSpread = 0
		sim.addWorker(fullCapacity, true)
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		c.submit(sim)
		sim.runUntil(2*time.Second + 100*time.Millisecond + c.age)
		Expect(sim.workers[0].running).To(HaveLen(1))
		waited := 800 * time.Millisecond * time.Duration(boolToInt(c.late))
		sim.store.Apply(jobs.Command{Submit: &jobs.Submit{ID: "urgent", Queue: "urgent", Spec: oneTask(3000, 600), At: sim.unix() - waited.Milliseconds()}})
		sim.runUntil(sim.now + simStopTime + 300*time.Millisecond)
		counts := sim.current().TakeStatus().Preemptions
		Expect(sim.violations).To(BeEmpty())
		Expect(counts.Preempted).To(Equal(boolToInt(c.preempted)))
		Expect(sim.store.Job("urgent").Task(jobs.TaskKey{Job: "urgent"}).BoundTo != nil).To(Equal(c.preempted || c.ends))
		Expect(counts.Used).To(Equal(boolToInt(c.preempted || c.ends)))
	},
		Entry("with checkpoints", victimCase{step: jobs.Step{Checkpointed: true}, age: 2 * time.Second, preempted: true}),
		Entry("hardly begun", victimCase{age: 100 * time.Millisecond, preempted: true}),
		Entry("at work without checkpoints", victimCase{age: 2 * time.Second}),
		Entry("of the same priority", victimCase{step: jobs.Step{Checkpointed: true}, age: time.Second, queue: "urgent"}),
		Entry("of a gang", victimCase{step: jobs.Step{Checkpointed: true, Gang: true}, age: time.Second}),
		Entry("long-running", victimCase{step: jobs.Step{Checkpointed: true, LongRunning: true, LatencyTargetMS: 20, Image: "s"}, age: time.Second}),
		Entry("with a limit of disruption", victimCase{step: jobs.Step{Checkpointed: true, MaxUnavailable: 1}, age: time.Second}),
		Entry("about to end", victimCase{step: jobs.Step{Checkpointed: true, EstimateMS: 2000}, age: 1700 * time.Millisecond, ends: true}),
		Entry("whose job would become late", victimCase{step: jobs.Step{Checkpointed: true, EstimateMS: 1500}, age: 100 * time.Millisecond, queue: "tight"}),
		Entry("for a job that can't meet its objective", victimCase{step: jobs.Step{Checkpointed: true}, age: time.Second, late: true}),
	)

	// Guards against smaller tasks that take the room of each stopped task as it comes free.
	It("keeps the room for the step for which it was freed", func() {
		sim := preemptionSimulation(7)
		sim.durationSpread = 0
		sim.addWorker(fullCapacity, true)
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		for i, estimate := range []int64{2000, 8000} {
			spec := oneTask(2000, estimate)
			spec.Steps[0].Checkpointed = true
			sim.submit(fmt.Sprint("running-", i), spec)
		}
		sim.runUntil(3800 * time.Millisecond)
		for i := range 20 {
			sim.submit(fmt.Sprint("waiting-", i), oneTask(1000, 3000))
		}
		sim.submitUrgent("urgent", oneTask(4000, 600))
		sim.runUntil(4900 * time.Millisecond)
		Expect(sim.violations).To(BeEmpty())
		Expect(sim.store.Job("urgent").State).To(Equal(jobs.Done))
		counts := sim.current().TakeStatus().Preemptions
		Expect(counts).To(Equal(PreemptionCounts{Preempted: 1, Claimed: 1, Used: 1}), "one task ends by itself")
	})

	// Guards against room that stays idle for a task that never gets it.
	It("gives up a claim whose room does not come free in time", func() {
		sim := preemptionSimulation(7)
		sim.addWorker(fullCapacity, true)
		sim.stopTime = 5 * time.Second
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		victim := oneTask(3500, 10_000)
		victim.Steps[0].Checkpointed = true
		sim.submit("victim", victim)
		sim.runUntil(4 * time.Second)
		sim.submitUrgent("urgent", oneTask(4000, 600))
		sim.submit("small", oneTask(500, 600))
		sim.runUntil(4*time.Second + claimTimeout - 100*time.Millisecond)
		Expect(sim.store.Job("small").Task(jobs.TaskKey{Job: "small"}).BoundTo).To(BeNil(), "the rest of the worker is claimed")
		sim.runUntil(4*time.Second + claimTimeout + 300*time.Millisecond)
		Expect(sim.violations).To(BeEmpty())
		Expect(sim.store.Job("small").Task(jobs.TaskKey{Job: "small"}).BoundTo).NotTo(BeNil())
		Expect(sim.current().TakeStatus().Preemptions).To(Equal(PreemptionCounts{Preempted: 1, Claimed: 1, Expired: 1}))
	})

	// Guards against a task that is preempted again and again, and against work that is lost
	// or counts as failed with a preemption.
	It("preempts a task a limited number of times and resumes it from its checkpoint", func() {
		sim := preemptionSimulation(7)
		sim.durationSpread = 0
		sim.addWorker(fullCapacity, true)
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		victim := oneTask(3500, 15_000)
		victim.Steps[0].Checkpointed = true
		sim.submit("victim", victim)
		for at := 4 * time.Second; at < 30*time.Second; at += 1500 * time.Millisecond {
			sim.schedule(at-sim.now, func() { sim.submitUrgent(fmt.Sprintf("urgent-%v", at), oneTask(3000, 600)) })
		}
		sim.runUntil(30 * time.Second)
		key := jobs.TaskKey{Job: "victim"}
		task := sim.store.Job("victim").Task(key)
		Expect(sim.violations).To(BeEmpty())
		Expect(sim.stoppedEnds[key]).To(Equal(maxPreemptions))
		Expect(task.Attempt).To(Equal(maxPreemptions + 1))
		Expect(task.Checkpoint).NotTo(BeEmpty())
		Expect(task.Failures).To(BeZero())
		Expect(task.Done).To(BeTrue())
		Expect(task.EndedAt-unixStart).To(BeNumerically("<", 24_000), "15 s of work, two urgent tasks and two restores")
	})

	// Guards against a wide job that makes the leader stop a large part of the fleet at once, or at
	// the border between two seconds.
	It("bounds the preemptions in any second", func() {
		const workers = 30
		sim := preemptionSimulation(7)
		sim.durationSpread = 0
		for range workers {
			sim.addWorker(fullCapacity, true)
		}
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		victims := oneTask(3500, 20_000)
		victims.Steps[0].Count, victims.Steps[0].Checkpointed = workers, true
		sim.submit("victims", victims)
		sim.runUntil(4 * time.Second)
		wide := oneTask(3000, 3000)
		wide.Steps[0].Count = workers
		sim.submitUrgent("wide", wide)
		var totals []int
		for total := 0; sim.now < 5500*time.Millisecond; {
			sim.runUntil(sim.now + testTick)
			total += sim.current().TakeStatus().Preemptions.Preempted
			totals = append(totals, total)
		}
		Expect(sim.violations).To(BeEmpty())
		second := int(preemptionWindow/testTick) - 1
		for i := second; i < len(totals); i++ {
			Expect(totals[i]-totals[i-second]).To(BeNumerically("<=", preemptionsPerWorker*workers), "%v", i)
		}
		Expect(totals[len(totals)-1]).To(BeNumerically(">=", 1.5*preemptionsPerWorker*workers))
	})

	// Guards against late and expired jobs that stand in front of work that is still in time.
	It("serves batch work in time before urgent jobs that are late or expired", func() {
		sim := preemptionSimulation(7)
		sim.durationSpread = 0
		sim.addWorker(fullCapacity, true)
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		sim.submitUrgent("blocker", oneTask(4000, 2500))
		sim.runUntil(2100 * time.Millisecond)
		sim.submitUrgent("expired", oneTask(3000, 100))
		sim.submitUrgent("late", oneTask(3000, 600))
		sim.schedule(2*time.Second, func() { sim.submit("batch", oneTask(3000, 600)) })
		sim.runUntil(8 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		ended := func(id string) int64 { return sim.store.Job(id).EndedAt }
		Expect(ended("blocker")).To(BeNumerically("<", ended("batch")))
		Expect(ended("batch")).To(BeNumerically("<", ended("late")))
		Expect(ended("late")).To(BeNumerically("<", ended("expired")))
	})
})
