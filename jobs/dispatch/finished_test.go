package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

var _ = Describe("Finished attempts that a worker lists", func() {
	// Guards against acknowledging an end while a different outcome of the attempt is
	// being recorded. The task would start again after it is done.
	It("are not acknowledged while another end of the attempt is being recorded", func() {
		sim := newSimulation(7)
		t := sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
		d := sim.startLeader()
		sim.runUntil(2 * time.Second)
		small := jobs.Resources{MilliCPU: 1000, MemoryMB: 10}
		sim.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 2, Request: small, EstimateMS: 60_000}}})
		sim.runUntil(3 * time.Second)
		w := d.workers[t.id]
		first, second := jobs.TaskKey{Job: "j"}, jobs.TaskKey{Job: "j", Index: 1}
		Expect(w.attempts).To(HaveLen(2))

		d.endAttempt(w.attempts[second], jobs.OutcomeLeaseExpired)
		d.handleFinished(w, []FinishedTask{
			{Number: 1, Task: first, Attempt: 1, Outcome: jobs.OutcomeDone},
			{Number: 2, Task: second, Attempt: 1, Outcome: jobs.OutcomeDone},
		})
		commands, _, _ := d.TakeOutput()
		for _, c := range commands {
			if c.Command.End != nil && c.Command.End.Task == first {
				c.OnResult(sim.store.Apply(c.Command), true)
			}
		}
		Expect(w.lastAcked).To(BeEquivalentTo(1))
	})

	// Guards against a task that starts after its end was acknowledged to the worker of an
	// earlier attempt. The start can be in flight for longer than the hold that
	// acknowledges the end.
	It("are not acknowledged while the start of a newer attempt is in flight", func() {
		sim := newSimulation(7)
		previous := sim.addWorker(jobs.Resources{MilliCPU: 1000, MemoryMB: 1000}, true)
		d := sim.startLeader()
		sim.runUntil(2 * time.Second)
		small := jobs.Resources{MilliCPU: 1000, MemoryMB: 10}
		sim.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: small, EstimateMS: 60_000}}})
		sim.runUntil(3 * time.Second)
		key := jobs.TaskKey{Job: "j"}
		previous.partitioned = true
		sim.runUntil(3*time.Second + testLease + time.Second)
		Expect(sim.store.Job("j").Task(key).AbandonedAttempts).To(Equal([]int{1}))
		sim.addWorker(jobs.Resources{MilliCPU: 1000, MemoryMB: 1000}, true)
		sim.runUntil(sim.now + 2*testHeartbeatInterval)
		newer := d.currentAttempt(key)
		newer.setPhase(phaseOrdered, d.now)
		listed := []FinishedTask{{Number: 1, Task: key, Attempt: 1, Outcome: jobs.OutcomeDone}}
		w := newWorker(Heartbeat{Worker: previous.id}, d.fence+incarnationsPerTerm-1, d.now)
		d.handleFinished(w, listed)
		Expect(w.lastAcked).To(BeZero())
		Expect(d.proposedLateEnds).To(BeEmpty())

		newer.setPhase(phaseStarted, d.now)
		d.handleFinished(w, listed)
		Expect(d.proposedLateEnds).To(HaveKey(key))
		d.handleFinished(w, listed)
		commands, _, _ := d.TakeOutput()
		Expect(commands).To(HaveLen(1))
		commands[0].OnResult(sim.store.Apply(commands[0].Command), true)
		Expect(w.lastAcked).To(BeEquivalentTo(1))
		Expect(sim.store.Job("j").State).To(Equal(jobs.Done))
	})

	// Guards against a task that does not run again because its end is listed behind one
	// that cannot be recorded for the rest of another worker's lease.
	It("are recorded although an earlier one in the list has to wait", func() {
		sim := newSimulation(7)
		previous := sim.addWorker(jobs.Resources{MilliCPU: 1000, MemoryMB: 1000}, true)
		d := sim.startLeader()
		sim.runUntil(2 * time.Second)
		small := jobs.Resources{MilliCPU: 1000, MemoryMB: 10}
		sim.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: small, EstimateMS: 60_000}}})
		sim.runUntil(3 * time.Second)
		previous.partitioned = true
		sim.runUntil(3*time.Second + testLease + time.Second)
		other := sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
		sim.runUntil(sim.now + 2*testHeartbeatInterval)
		sim.submit("lasting", jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: small, LongRunning: true}}})
		sim.runUntil(sim.now + time.Second)
		deferred, lasting := jobs.TaskKey{Job: "j"}, jobs.TaskKey{Job: "lasting"}
		d.currentAttempt(deferred).setPhase(phaseOrdered, d.now)

		w := d.workers[other.id]
		list := []FinishedTask{
			{Number: 1, Task: deferred, Attempt: 1, Outcome: jobs.OutcomeDone},
			{Number: 2, Task: lasting, Attempt: 1, Outcome: jobs.OutcomeFailed},
		}
		d.handleFinished(w, list)
		commands, _, _ := d.TakeOutput()
		Expect(commands).To(HaveLen(1))
		Expect(commands[0].Command.End.Task).To(Equal(lasting))
		commands[0].OnResult(sim.store.Apply(commands[0].Command), true)
		Expect(sim.store.Job("lasting").Task(lasting).BoundTo).To(BeNil())
		Expect(w.lastAcked).To(BeZero(), "the first end is not recorded yet")

		d.currentAttempt(deferred).setPhase(phaseStarted, d.now)
		d.handleFinished(w, list)
		commands, _, _ = d.TakeOutput()
		Expect(commands).To(HaveLen(1))
		commands[0].OnResult(sim.store.Apply(commands[0].Command), true)
		Expect(w.lastAcked).To(BeEquivalentTo(2))
	})

	// Guards against a worker whose list is stuck for ever: it has finished an abandoned
	// attempt and the newer one of the same task, which a new leader does not know to have
	// started.
	It("are recorded when both an abandoned attempt and the newer one have finished there", func() {
		sim := newSimulation(7)
		t := sim.addWorker(jobs.Resources{MilliCPU: 1000, MemoryMB: 1000}, true)
		previous := sim.startLeader()
		sim.runUntil(2 * time.Second)
		sim.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: jobs.Resources{MilliCPU: 1000, MemoryMB: 10}, EstimateMS: 60_000}}})
		sim.runUntil(3 * time.Second)
		sim.depose(previous)
		key := jobs.TaskKey{Job: "j"}
		sim.store.Apply(jobs.Command{End: &jobs.End{Task: key, Attempt: 1, Outcome: jobs.OutcomeLeaseExpired, At: sim.unix()}})
		sim.store.Apply(jobs.Command{Bind: &jobs.Bind{Task: key, Attempt: 2, On: jobs.Incarnation{Worker: t.id, StartedAtMS: t.startedAtMS}, At: sim.unix()}})
		t.end(key, jobs.OutcomeDone)
		t.running[key] = &simRun{attempt: 2}
		t.end(key, jobs.OutcomeDone)
		sim.startLeader()
		sim.runUntil(5 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(sim.store.Job("j").State).To(Equal(jobs.Done))
		Expect(sim.store.Job("j").Task(key).BoundTo).To(BeNil())
		Expect(sim.current().workers[t.id].lastAcked).To(BeEquivalentTo(2))
	})

	// Guards against starting a task that turns out to be done after its binding was
	// proposed.
	It("cancel a newer binding that is being recorded", func() {
		sim := newSimulation(7)
		previous := sim.addWorker(jobs.Resources{MilliCPU: 1000, MemoryMB: 1000}, true)
		d := sim.startLeader()
		sim.runUntil(2 * time.Second)
		small := jobs.Resources{MilliCPU: 1000, MemoryMB: 10}
		sim.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: small, EstimateMS: 60_000}}})
		sim.runUntil(3 * time.Second)
		key := jobs.TaskKey{Job: "j"}
		previous.partitioned = true
		sim.runUntil(3*time.Second + testLease + time.Second)
		other := sim.addWorker(jobs.Resources{MilliCPU: 1000, MemoryMB: 1000}, true)
		limit := sim.now + 3*time.Second
		for d.proposedBinds[key] == nil && sim.now < limit {
			sim.runUntil(sim.now + testTick/10)
		}
		Expect(d.proposedBinds).To(HaveKey(key))
		w := newWorker(Heartbeat{Worker: previous.id}, d.fence+incarnationsPerTerm-1, d.now)
		d.handleFinished(w, []FinishedTask{{Number: 1, Task: key, Attempt: 1, Outcome: jobs.OutcomeDone}})
		sim.runUntil(sim.now + testHeartbeatInterval)
		Expect(other.running).To(BeEmpty())
		Expect(sim.store.Job("j").State).To(Equal(jobs.Done))
		Expect(w.lastAcked).To(BeEquivalentTo(1))
	})

	// Guards against a hold that acknowledges ends of a restarted worker by the numbers of
	// its previous incarnation, which finished more tasks. The restarted worker accepts
	// starts before its first heartbeat.
	It("are not acknowledged by the numbers of an earlier incarnation", func() {
		sim := newSimulation(7)
		t := sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
		d := sim.startLeader()
		sim.runUntil(2 * time.Second)
		previous := d.workers[t.id]
		previous.lastAcked = 15
		t.boot()
		small := jobs.Resources{MilliCPU: 1000, MemoryMB: 10}
		sim.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: small, EstimateMS: 60_000}}})
		sim.runUntil(sim.now + 100*time.Millisecond)
		Expect(previous.terminated).To(BeTrue())
		Expect(d.workers[t.id].lastAcked).To(BeZero())
		Expect(d.workers[t.id].fence).To(BeNumerically(">", previous.fence))
	})

	// Guards against taking a worker for restarted because its reply to a start arrives
	// before its earlier reply to a hold, so that its clock seems to run backwards.
	It("stay with the same incarnation when replies arrive out of order", func() {
		sim := newSimulation(7)
		t := sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
		d := sim.startLeader()
		sim.runUntil(2 * time.Second)
		w := d.workers[t.id]
		sent := d.now
		for _, clock := range []int64{t.clock(), t.clock() - 1} {
			d.HandleReply(Reply{
				Order: Order{target: w, Stop: &Stop{Task: jobs.TaskKey{Job: "j"}, Attempt: 1}}, Status: Accepted, ClockMS: clock,
				SentAt: sent, ReceivedAt: sent + 400*time.Microsecond,
			})
		}
		Expect(w.terminated).To(BeFalse())
		Expect(d.workers[t.id]).To(BeIdenticalTo(w))
	})
})
