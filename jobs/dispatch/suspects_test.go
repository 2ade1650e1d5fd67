package dispatch

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

var _ = Describe("Placement of a task under which workers have crashed", func() {
	small := jobs.Resources{MilliCPU: 1000, MemoryMB: 10}
	key := jobs.TaskKey{Job: "j"}
	var sim *simulation

	// begin starts a fleet, and the first task of job j with a number of crashes. The job
	// waits for a worker at the end.
	begin := func(workers, crashes int, step jobs.Step, setUp func()) {
		sim = newSimulation(7)
		for range workers {
			sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
		}
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		setUp()
		sim.runUntil(3 * time.Second)
		sim.submit("j", jobs.Spec{Steps: []jobs.Step{step}})
		nowhere := jobs.Incarnation{Worker: "gone"}
		for i := range crashes {
			sim.store.Apply(jobs.Command{Bind: &jobs.Bind{Task: key, Attempt: i + 1, On: nowhere, At: sim.unix()}})
			sim.store.Apply(jobs.Command{End: &jobs.End{Task: key, Attempt: i + 1, Outcome: jobs.OutcomeCrashed, At: sim.unix()}})
		}
	}
	occupy := func(id string, count int, estimate int64) {
		sim.submit(id, jobs.Spec{Steps: []jobs.Step{{Count: count, Request: small, EstimateMS: estimate}}})
	}
	workerOf := func(k jobs.TaskKey) *simWorker {
		for _, t := range sim.workers {
			if t.running[k] != nil {
				return t
			}
		}
		return nil
	}
	short := jobs.Step{Count: 1, Request: small, EstimateMS: 60_000}

	// Guards against others that crash with a suspect although there is room elsewhere.
	It("keeps a suspect and others apart while there is room", func() {
		begin(3, 1, short, func() { occupy("before", 3, 60_000) })
		sim.runUntil(4 * time.Second)
		on := workerOf(key)
		Expect(on).NotTo(BeNil())
		occupy("after", 3, 60_000)
		sim.runUntil(5 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		after := 0
		for k := range on.running {
			after += boolToInt(k.Job == "after")
		}
		Expect(after).To(BeZero())
	})

	// Guards against a wait of tasks that are only possibly the cause of a crash.
	It("does not make a suspect or others wait", func() {
		begin(1, 1, short, func() { occupy("before", 2, 60_000) })
		sim.runUntil(3*time.Second + 200*time.Millisecond)
		Expect(workerOf(key)).NotTo(BeNil())
		occupy("after", 1, 60_000)
		sim.runUntil(3*time.Second + 500*time.Millisecond)
		Expect(workerOf(jobs.TaskKey{Job: "after"})).NotTo(BeNil())
	})

	// Guards against a task under which two workers have crashed and that takes others with
	// it once more.
	It("runs a task alone after two crashes", func() {
		begin(3, 2, short, func() { occupy("before", 2, 60_000) })
		sim.runUntil(4 * time.Second)
		on := workerOf(key)
		Expect(on).NotTo(BeNil())
		Expect(on.running).To(HaveLen(1))
		occupy("after", 6, 60_000)
		sim.runUntil(6 * time.Second)
		Expect(on.running).To(HaveLen(1))
		Expect(sim.violations).To(BeEmpty())
	})

	// Guards against a worker that never empties because others take what comes free.
	It("reserves a worker for it until this is empty", func() {
		begin(2, 2, short, func() {
			occupy("before", 8, 1600)
			for i := range 40 {
				sim.schedule(time.Duration(i)*100*time.Millisecond, func() { occupy(fmt.Sprint("stream-", i), 1, 400) })
			}
		})
		sim.runUntil(3*time.Second + maxIsolationWait + 200*time.Millisecond)
		Expect(workerOf(key)).NotTo(BeNil())
		Expect(workerOf(key).running).To(HaveLen(1))
	})

	// Guards against a task that waits for ever although there is room for it.
	for name, before := range map[string]int{"the least used worker": 3, "the only worker": 1} {
		It("goes to "+name+" when none becomes empty", func() {
			workers := (before + 1) / 2
			begin(workers, 2, short, func() { occupy("before", before, 60_000) })
			sim.runUntil(3*time.Second + 800*time.Millisecond)
			Expect(workerOf(key)).To(BeNil())
			sim.runUntil(3*time.Second + maxIsolationWait + 400*time.Millisecond)
			on := workerOf(key)
			Expect(on).NotTo(BeNil())
			Expect(on.running).To(HaveLen(2))
		})
	}

	// Guards against others that wait for ever beside a task that is to run alone.
	It("lets others run beside it when there is no other room and they have waited", func() {
		begin(1, 2, short, func() {})
		sim.runUntil(3*time.Second + 200*time.Millisecond)
		Expect(workerOf(key)).NotTo(BeNil())
		occupy("short", 1, 60_000)
		sim.submit("lasting", jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: small, LongRunning: true}}})
		sim.runUntil(4 * time.Second)
		Expect(sim.workers[0].running).To(HaveLen(1))
		sim.runUntil(3*time.Second + 200*time.Millisecond + maxSeparationWait + 400*time.Millisecond)
		Expect(sim.workers[0].running).To(HaveLen(3))
	})

	// Guards against a long-running task that keeps a worker to itself for its whole life.
	It("lets others run beside a long-running one that has run for a while", func() {
		begin(2, 2, jobs.Step{Count: 1, Request: small, LongRunning: true}, func() {})
		sim.runUntil(4 * time.Second)
		on := workerOf(key)
		Expect(on).NotTo(BeNil())
		sim.runUntil(4*time.Second + 2*suspicionPeriod)
		occupy("after", 7, 60_000)
		sim.runUntil(sim.now + 500*time.Millisecond)
		Expect(on.running).To(HaveLen(4))
	})

	// Guards against a gang that waits for workers of its own.
	It("does not isolate the members of a gang", func() {
		gang := short
		gang.Count, gang.Gang = 2, true
		begin(1, 0, gang, func() { occupy("before", 1, 60_000) })
		for attempt := 1; attempt <= 2; attempt++ {
			for i := range 2 {
				member := jobs.TaskKey{Job: "j", Index: i}
				sim.store.Apply(jobs.Command{Bind: &jobs.Bind{Task: member, Attempt: attempt, On: jobs.Incarnation{Worker: "gone"}}})
				sim.store.Apply(jobs.Command{End: &jobs.End{Task: member, Attempt: attempt, Outcome: jobs.OutcomeCrashed, At: sim.unix()}})
			}
		}
		sim.runUntil(3*time.Second + 200*time.Millisecond)
		Expect(sim.workers[0].running).To(HaveLen(3))
	})

	// Guards against others that are skipped because a suspect of the same size found no
	// worker, or because others may not run beside it yet.
	It("does not make others be skipped", func() {
		begin(2, 2, short, func() { occupy("before", 2, 60_000) })
		occupy("after", 2, 60_000)
		sim.runUntil(3*time.Second + 200*time.Millisecond)
		Expect(workerOf(key)).To(BeNil(), "both workers run others")
		Expect(workerOf(jobs.TaskKey{Job: "after"})).NotTo(BeNil())
		request := newUnplaceableRequest("s", &short, &jobs.Task{})
		noFit := unplaceable{}
		noFit.add(request)
		request.besideIsolated = true
		Expect(noFit.covers(request)).To(BeFalse())
	})

	// Guards against the score of one task of a step that is used for another with crashes.
	It("is chosen by its own score among the tasks of its step", func() {
		wide := short
		wide.Count = 3
		begin(3, 1, wide, func() { occupy("before", 2, 60_000) })
		d := sim.current()
		d.Advance(sim.now, sim.unix())
		d.refreshWaiting()
		candidates := d.candidates()
		wj := d.rankJob(sim.store.Job("j"))
		step := &wj.job.Spec.Steps[0]
		var list shortlist
		for i := range 3 {
			task := &wj.job.StepTasks(0, 0)[i]
			expected := d.choose(wj, step, task, candidates, nil)
			Expect(d.chooseFromShortlist(wj, step, task, candidates, &list)).To(BeIdenticalTo(expected))
			d.bind(task, step, expected, task.Attempt+1)
			Expect(expected.suspects).To(Equal(boolToInt(i == 0)), "task %d", i)
		}
	})
})
