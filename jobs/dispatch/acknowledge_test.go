package dispatch

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

// checkAcknowledged checks that the log has recorded an end that a hold acknowledges.
func (t *simWorker) checkAcknowledged(f *FinishedTask) {
	j := t.sim.store.Job(f.Task.Job)
	task := j.Task(f.Task)
	switch {
	case task.Attempt < f.Attempt:
		t.sim.violation("end %d of %v was acknowledged, but the log does not know attempt %d", f.Number, f.Task, f.Attempt)
	case task.Attempt == f.Attempt && task.BoundTo != nil:
		t.sim.violation("end %d of %v (%s) was acknowledged while attempt %d is bound", f.Number, f.Task, f.Outcome, f.Attempt)
	case f.Outcome == jobs.OutcomeDone && !task.Done:
		t.sim.violation("end of %v was acknowledged before it was committed", f.Task)
	case f.Outcome == jobs.OutcomeFailed && !task.Done && slices.Contains(task.AbandonedAttempts, f.Attempt):
		t.sim.violation("failure of attempt %d of %v was acknowledged before it was committed", f.Attempt, f.Task)
	}
}

var _ = Describe("The end of an attempt that the log has bound", func() {
	first, second := jobs.TaskKey{Job: "j"}, jobs.TaskKey{Job: "j", Index: 1}
	var sim *simulation
	var t *simWorker
	var d *Dispatcher
	var w *worker

	BeforeEach(func() {
		sim = newSimulation(7)
		t = sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
		d = sim.startLeader()
		sim.runUntil(2 * time.Second)
		sim.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 2, Request: jobs.Resources{MilliCPU: 1000, MemoryMB: 10}, EstimateMS: 60_000}}})
		sim.runUntil(3 * time.Second)
		w = d.workers[t.id]
		Expect(w.attempts).To(HaveLen(2))
	})

	bothDone := []FinishedTask{
		{Number: 1, Task: first, Attempt: 1, Outcome: jobs.OutcomeDone},
		{Number: 2, Task: second, Attempt: 1, Outcome: jobs.OutcomeDone},
	}

	// applyEnd commits the proposed end of a task and returns whether there was one.
	applyEnd := func(key jobs.TaskKey) bool {
		commands, _, _ := d.TakeOutput()
		found := false
		for _, c := range commands {
			if c.Command.End != nil && c.Command.End.Task == key {
				found = true
				c.OnResult(sim.store.Apply(c.Command), true)
			}
		}
		return found
	}

	// Guards against a simulation that does not notice an end which is acknowledged too early.
	for _, outcome := range []jobs.Outcome{jobs.OutcomeDone, jobs.OutcomeFailed, jobs.OutcomeStopped, jobs.OutcomeLeaseExpired} {
		It("breaks an invariant of the simulation when it is acknowledged as "+string(outcome), func() {
			t.end(first, outcome)
			t.listAttempts(&Reply{}, 1)
			Expect(sim.violations).To(HaveLen(1))
		})
	}

	// Guards against a task that runs again after its end was acknowledged.
	It("is recorded before it is acknowledged, although the dispatcher does not track it", func() {
		delete(w.attempts, first)
		t.end(first, jobs.OutcomeDone)
		t.end(second, jobs.OutcomeDone)
		sim.runUntil(10 * time.Second)
		Expect(sim.violations).To(HaveLen(1))
		Expect(sim.violations[0]).To(ContainSubstring("bound task was not tracked"))
		sim.violations = nil
		sim.runUntil(20 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(sim.store.Job("j").State).To(Equal(jobs.Done))
		Expect(sim.starts).To(Equal(2))
		Expect(w.lastAcked).To(BeEquivalentTo(2))
	})

	// Guards against an acknowledgement that goes past an end which is not committed yet.
	It("keeps the ends behind it from being acknowledged until it is recorded", func() {
		delete(w.attempts, first)
		d.handleFinished(w, bothDone)
		Expect(w.lastAcked).To(BeZero())
		for _, proposal := range d.commands {
			if proposal.Command.End.Task == second {
				proposal.OnResult(sim.store.Apply(proposal.Command), true)
			}
		}
		Expect(w.lastAcked).To(BeZero())
		Expect(applyEnd(first)).To(BeTrue())
		Expect(w.lastAcked).To(BeEquivalentTo(2))
	})

	// Guards against a task that runs again after the end of its attempt was acknowledged to
	// a worker to which the log has not bound it.
	It("is not acknowledged to another worker", func() {
		other := newWorker(Heartbeat{Worker: "other"}, d.fence+1, d.now)
		d.handleFinished(other, bothDone)
		Expect(other.lastAcked).To(BeZero())
		Expect(applyEnd(first)).To(BeFalse())

		d.endAttempt(w.attempts[first], jobs.OutcomeDone)
		Expect(applyEnd(first)).To(BeTrue())
		d.handleFinished(other, bothDone)
		Expect(other.lastAcked).To(BeEquivalentTo(1), "the second task is still bound")
	})

	// Guards against a task that runs again after the end of an orphan was acknowledged.
	It("is not acknowledged while it is an orphan", func() {
		d.orphans[first] = w.attempts[first]
		delete(w.attempts, first)
		d.handleFinished(w, bothDone[:1])
		Expect(w.lastAcked).To(BeZero())
		Expect(applyEnd(first)).To(BeFalse())
	})

	// Guards against stopping a sound attempt that the log has bound to the worker.
	It("is waited for, although the dispatcher does not track the attempt while it runs", func() {
		delete(w.attempts, first)
		d.handleRunning(w, &RunningTask{Task: first, Attempt: 1})
		Expect(w.unexpected).To(BeEmpty())
		Expect(w.attempts[first].phase).To(Equal(phaseStarted))
	})
})

// slowLogRegressions are seeds that have failed. 609: a crash counted for an attempt that was
// bound after it.
var slowLogRegressions = []uint64{609}

var _ = Describe("Ends beside a slow log", func() {
	// Guards against ends that are acknowledged before they are recorded, while commits and
	// heartbeats take long and some commands are not committed.
	It("are recorded before they are acknowledged, and all jobs finish", func() {
		list := slices.Clone(slowLogRegressions)
		for seed := range uint64(40) {
			list = append(list, seed)
		}
		for _, seed := range list {
			sim := newSimulation(seed)
			for range 3 + sim.rng.IntN(4) {
				sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, sim.rng.IntN(2) == 0)
			}
			sim.rejectRate, sim.expireRate = 0.1*sim.rng.Float64(), 0.05*sim.rng.Float64()
			sim.commitDelay = time.Duration(sim.rng.Int64N(int64(500 * time.Millisecond)))
			sim.holdDelay = time.Duration(sim.rng.Int64N(int64(300 * time.Millisecond)))
			sim.maxHeartbeatDelay = time.Duration(sim.rng.Int64N(int64(800 * time.Millisecond)))
			sim.startLeader()
			for at := time.Second; at < faultsEnd; at += 700 * time.Millisecond {
				sim.schedule(at, func() { sim.submit(fmt.Sprintf("job-%v", at), sim.randomSpec()) })
			}
			for at := 3 * time.Second; at < faultsEnd; at += 1500 * time.Millisecond {
				sim.schedule(at, sim.injectFault)
			}
			sim.runUntil(simulationEnd)
			Expect(sim.violations).To(BeEmpty(), "seed %d", seed)
			for _, j := range sim.store.Jobs() {
				sim.expectDone(seed, j)
			}
		}
	})
})
