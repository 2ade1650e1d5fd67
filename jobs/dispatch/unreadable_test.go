package dispatch

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

var _ = Describe("A list of ends with a row that cannot be read", func() {
	first, second := jobs.TaskKey{Job: "j"}, jobs.TaskKey{Job: "j", Step: 1}
	var sim *simulation
	var t, other *simWorker
	var w *worker

	small := jobs.Resources{MilliCPU: 1000, MemoryMB: 10}

	BeforeEach(func() {
		sim = newSimulation(7)
		t = sim.addWorker(jobs.Resources{MilliCPU: 2000, MemoryMB: 1000}, true)
		d := sim.startLeader()
		sim.runUntil(2 * time.Second)
		sim.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: small, EstimateMS: 60_000}, {Count: 1, Request: small, EstimateMS: 60_000}}})
		sim.runUntil(3 * time.Second)
		w = d.workers[t.id]
		Expect(w.attempts).To(HaveLen(2))
		other = sim.addWorker(jobs.Resources{MilliCPU: 2000, MemoryMB: 1000}, true)
		sim.runUntil(5 * time.Second)
	})

	// hideFirstEnd makes the end of the first task unreadable.
	hideFirstEnd := func(r *Reply) {
		for i := range r.Finished {
			if r.Finished[i].Task == first {
				r.Finished[i] = FinishedTask{}
				r.Malformed++
			}
		}
	}

	// Guards against a task that runs again after its end was acknowledged by the number of a
	// later end.
	It("acknowledges nothing at or behind that row, but records the ends behind it", func() {
		t.garbleLists = hideFirstEnd
		t.end(first, jobs.OutcomeDone)
		t.end(second, jobs.OutcomeDone)
		sim.runUntil(7 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(w.lastAcked).To(BeZero())
		Expect(sim.store.Job("j").Task(second).Done).To(BeTrue())
		Expect(w.attempts).To(HaveKey(first), "the wait is not over")

		t.garbleLists = nil
		sim.runUntil(9 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(sim.store.Job("j").State).To(Equal(jobs.Done))
		Expect(sim.starts).To(Equal(2))
		Expect(w.lastAcked).To(BeEquivalentTo(2))
	})

	// Guards against a task that hangs for ever, and against new tasks for a worker whose
	// list of ends fills up.
	It("gives up its attempts with the lease and the worker gets no tasks while it stays so", func() {
		t.garbleLists = hideFirstEnd
		t.end(first, jobs.OutcomeDone)
		sim.runUntil(5*time.Second + unreadableEndsTimeout + testLease - 500*time.Millisecond)
		Expect(w.attempts).To(HaveKey(first))
		sim.runUntil(5*time.Second + unreadableEndsTimeout + testLease + 2*time.Second + expiredWindow)
		Expect(other.running).To(And(HaveKey(first), HaveKey(second)))
		Expect(t.running).To(BeEmpty())

		sim.submit("k", jobs.Spec{Steps: []jobs.Step{{Count: 2, Request: small, EstimateMS: 60_000}}})
		sim.runUntil(sim.now + 2*time.Second)
		Expect(t.running).To(BeEmpty())
		d := sim.current()
		Expect(d.unusableBecause(w)).To(Equal("unreadable ends"))
		status := d.TakeStatus()
		Expect(status.Workers.UnreadableEnds).To(Equal(1))
		Expect(status.Queues[0].Blocked).To(ContainSubstring("unreadable ends:1"))
		Expect(w.lastAcked).To(BeZero())

		t.garbleLists = nil
		sim.runUntil(sim.now + 3*time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(sim.store.Job("j").Task(first).Done).To(BeTrue(), "its end was late")
		Expect(t.running).To(HaveLen(2))
	})

	// Guards against a worker that is never used again because nothing asks for its list.
	It("keeps a worker without tasks from new ones until its list can be read", func() {
		t.garbleLists = func(r *Reply) { r.Finished, r.Malformed = append(r.Finished, FinishedTask{}), r.Malformed+1 }
		sim.store.Apply(jobs.Command{Cancel: &jobs.Cancel{ID: "j", At: sim.unix()}})
		t.end(first, jobs.OutcomeStopped)
		t.end(second, jobs.OutcomeStopped)
		sim.runUntil(10 * time.Second)
		Expect(w.attempts).To(BeEmpty())
		Expect(w.usable(sim.now)).To(BeFalse())
		t.garbleLists = nil
		sim.runUntil(sim.now + 2*testHeartbeatInterval)
		Expect(w.usable(sim.now)).To(BeTrue())
		Expect(sim.violations).To(BeEmpty())
	})

	// Guards against giving up a task whose row among the running ones cannot be read.
	It("gives up nothing while a row of the running tasks cannot be read either", func() {
		sim.submit("lasting", jobs.Spec{Steps: []jobs.Step{{Count: 2, Request: small, LongRunning: true}}})
		sim.runUntil(6 * time.Second)
		Expect(other.running).To(HaveLen(2))
		other.garbleLists = func(r *Reply) {
			r.Running, r.Finished, r.Malformed = nil, append(r.Finished, FinishedTask{}), 3
		}
		sim.runUntil(15 * time.Second)
		Expect(sim.current().workers[other.id].attempts).To(HaveLen(2))
		Expect(sim.starts).To(Equal(4))
		Expect(sim.violations).To(BeEmpty())
	})

	// Guards against room that is given away while an attempt that is to stop still runs there.
	It("keeps the room of an unexpected attempt while a row of the running tasks cannot be read", func() {
		d := sim.current()
		d.Advance(sim.now, sim.unix())
		idle := d.workers[other.id]
		d.handleUnexpected(idle, &RunningTask{Task: first, Attempt: 9})
		d.reconcile(idle, Reply{Finished: []FinishedTask{{}}, Malformed: 2})
		Expect(idle.free().MilliCPU).To(BeEquivalentTo(1000))
		d.reconcile(idle, Reply{Finished: []FinishedTask{{}}, Malformed: 1})
		Expect(idle.free().MilliCPU).To(BeEquivalentTo(2000))
	})

	// Guards against tasks that run twice, start after an acknowledged end or never end, while
	// rows of both lists can't be read now and then.
	It("keeps the invariants and finishes all jobs, beside other faults", func() {
		for seed := range uint64(40) {
			sim := newSimulation(seed)
			for range 3 + sim.rng.IntN(4) {
				sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, sim.rng.IntN(2) == 0)
			}
			sim.startLeader()
			for at := time.Second; at < faultsEnd; at += 700 * time.Millisecond {
				sim.schedule(at, func() { sim.submit(fmt.Sprintf("job-%v", at), sim.randomSpec()) })
			}
			for at := 3 * time.Second; at < faultsEnd; at += 1500 * time.Millisecond {
				sim.schedule(at, sim.injectFault)
				sim.schedule(at, sim.injectUnreadableRows)
			}
			sim.runUntil(simulationEnd)
			Expect(sim.violations).To(BeEmpty(), "seed %d", seed)
			for _, j := range sim.store.Jobs() {
				sim.expectDone(seed, j)
			}
		}
	})
})

// injectUnreadableRows makes rows of the lists of a worker unreadable for a while.
func (sim *simulation) injectUnreadableRows() {
	t := sim.workers[sim.rng.IntN(len(sim.workers))]
	length := time.Second + time.Duration(sim.rng.Int64N(int64(7*time.Second)))
	rate, runningToo := sim.rng.Float64(), sim.rng.IntN(2) == 0
	hides := func(number int64) bool { return float64(number%16) < 16*rate }
	t.garbleLists = func(r *Reply) {
		for i := range r.Finished {
			if hides(r.Finished[i].Number) {
				r.Finished[i] = FinishedTask{}
				r.Malformed++
			}
		}
		running := len(r.Running)
		r.Running = slices.DeleteFunc(r.Running, func(run RunningTask) bool { return runningToo && hides(int64(run.Task.Index)) })
		r.Malformed += running - len(r.Running)
	}
	sim.schedule(length, func() { t.garbleLists = nil })
}
