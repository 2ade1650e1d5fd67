package dispatch

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

var _ = Describe("The crash of a worker", func() {
	const long = 60_000
	small := jobs.Resources{MilliCPU: 1000, MemoryMB: 10}
	key := jobs.TaskKey{Job: "j"}
	var sim *simulation
	var t *simWorker

	// The only worker runs the tasks of job j from 3 s on.
	start := func(step jobs.Step) {
		sim = newSimulation(7)
		t = sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		sim.submit("j", jobs.Spec{Steps: []jobs.Step{step}})
		sim.runUntil(3 * time.Second)
		Expect(t.running).To(HaveLen(step.Count))
	}
	crashes := func() int { return sim.store.Job("j").Task(key).Crashes }

	// Guards against a restart that is known and yet counts as an attempt that was lost for
	// any reason.
	for name, keepsID := range map[string]bool{"under its id": true, "under a new id": false} {
		It("counts when it is back "+name, func() {
			start(jobs.Step{Count: 2, Request: small, EstimateMS: long})
			t.keepID = keepsID
			t.crash(time.Second)
			sim.runUntil(6 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			sim.store.Job("j").Tasks(func(task *jobs.Task) {
				Expect(task.Crashes).To(Equal(1), task.Key.String())
				Expect(task.Attempt).To(Equal(2), task.Key.String())
			})
		})

		// Guards against a crash that is forgotten because its worker is back after its lease,
		// by then under another leader.
		for leader, changes := range map[string]bool{"the same": false, "the next": true} {
			for step, longRunning := range map[string]bool{"short": false, "long-running": true} {
				It(fmt.Sprintf("counts once when it is back %s after its lease and %s leader, for a %s task", name, leader, step), func() {
					start(jobs.Step{Count: 1, Request: small, EstimateMS: long, LongRunning: longRunning})
					other := sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
					t.keepID = keepsID
					wait := time.Duration(0)
					if !longRunning {
						wait = sim.current().reportWait()
					}
					t.crash(6*time.Second + wait)
					sim.runUntil(3*time.Second + testLease + 1500*time.Millisecond + wait)
					Expect(other.running).To(HaveLen(1), "the lease has expired")
					Expect(crashes()).To(BeZero())
					if changes {
						sim.startLeader()
					}
					sim.runUntil(12*time.Second + wait)
					Expect(crashes()).To(Equal(1))
					Expect(other.running).To(HaveLen(1))
					sim.startLeader()
					sim.runUntil(30 * time.Second)
					Expect(sim.violations).To(BeEmpty())
					Expect(crashes()).To(Equal(1))
					Expect(sim.store.Job("j").Task(key).ExpiredAttempts).To(BeEmpty())
				})
			}
		}

		// Guards against a crash that only a leader that is gone could have counted.
		It("counts when it is back "+name+" under the next leader", func() {
			start(jobs.Step{Count: 1, Request: small, EstimateMS: long})
			t.keepID = keepsID
			t.crash(1500 * time.Millisecond)
			sim.startLeader()
			sim.runUntil(7 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			Expect(crashes()).To(Equal(1))
		})

		// Guards against a worker that has left as announced and whose tasks are blamed.
		It("does not count when it is back "+name+" and was draining", func() {
			start(jobs.Step{Count: 1, Request: small, EstimateMS: long})
			t.draining = true
			t.ordersBlocked = true
			sim.runUntil(5 * time.Second)
			t.keepID, t.ordersBlocked = keepsID, false
			t.crash(time.Second)
			sim.runUntil(12 * time.Second)
			Expect(sim.store.Job("j").Task(key).Attempt).To(BeNumerically(">=", 2))
			Expect(crashes()).To(BeZero())
		})

		It("does not count when it is back "+name+" and had deregistered", func() {
			start(jobs.Step{Count: 1, Request: small, EstimateMS: long})
			t.heartbeatsBlocked = true
			sim.current().Deregister(t.id, func(bool) {})
			sim.carryOut(sim.current())
			t.keepID = keepsID
			t.crash(time.Second)
			sim.schedule(time.Second, func() { t.heartbeatsBlocked = false })
			sim.runUntil(12 * time.Second)
			Expect(sim.store.Job("j").Task(key).Attempt).To(BeNumerically(">=", 2))
			Expect(crashes()).To(BeZero())
		})
	}

	// Guards against a worker whose address refuses connections, so that its process has
	// ended, and whose tasks count as out of contact.
	It("counts when its address refuses connections until its lease has expired", func() {
		start(jobs.Step{Count: 1, Request: small, EstimateMS: long})
		t.refusesConnections = true
		t.crash(time.Hour)
		sim.runUntil(3*time.Second + testLease + 1500*time.Millisecond)
		Expect(crashes()).To(Equal(1))
		Expect(sim.store.Job("j").Task(key).ExpiredAttempts).To(BeEmpty(), "it does not count again")
	})

	// Guards against a partition that counts as a crash.
	It("does not count for a worker that answers again after its lease", func() {
		start(jobs.Step{Count: 1, Request: small, EstimateMS: long})
		t.partitioned = true
		sim.runUntil(3*time.Second + testLease + time.Second)
		Expect(sim.store.Job("j").Task(key).ExpiredAttempts).To(HaveLen(1))
		t.partitioned = false
		sim.runUntil(10 * time.Second)
		Expect(sim.store.Job("j").Task(key).ExpiredAttempts).To(BeEmpty())
		t.crash(time.Second)
		sim.runUntil(14 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(crashes()).To(Equal(1), "the crash of the second attempt only")
	})

	// Guards against a task that is blamed for the crash of a worker that was down before its
	// start was sent, and against one that crashes its worker before the start is answered.
	for status, want := range map[string]int{"is not answered in time": 0, "breaks off": 1} {
		It(fmt.Sprintf("counts %d for a start that %s", want, status), func() {
			start(jobs.Step{Count: 1, Request: small, EstimateMS: long})
			d := sim.current()
			a := d.workers[t.id].attempts[key]
			a.setPhase(phaseOrdered, d.now)
			after := 10 * time.Millisecond
			if want == 0 {
				after = orderTravelTime
			}
			order := Order{Start: &Start{Task: key, Attempt: 1}, target: a.worker}
			d.HandleReply(Reply{Order: order, Status: Unknown, SentAt: d.now, ReceivedAt: d.now + after})
			t.crash(time.Second)
			sim.runUntil(7 * time.Second)
			Expect(crashes()).To(Equal(want))
			Expect(sim.store.Job("j").Task(key).Attempt).To(Equal(2))
		})
	}

	// Guards against a crash that is blamed on a task that never started on the worker.
	It("does not count for a start that another process has rejected", func() {
		start(jobs.Step{Count: 1, Request: small, EstimateMS: long})
		d := sim.current()
		w := d.workers[t.id]
		running := w.attempts[key]
		step := &jobs.Step{Count: 1, Request: small}
		rejected := d.newAttempt(&jobs.Task{Key: jobs.TaskKey{Job: "j", Index: 1}}, step, 1, phaseOrdered)
		void := d.newAttempt(&jobs.Task{Key: jobs.TaskKey{Job: "j", Index: 2}}, step, 1, phaseVoid)
		uncertain := d.newAttempt(&jobs.Task{Key: jobs.TaskKey{Job: "j", Index: 3}}, step, 1, phaseUncertain)
		for _, a := range []*attempt{rejected, void, uncertain} {
			a.worker = w
			w.attempts[a.task] = a
		}
		d.HandleReply(Reply{Order: Order{target: w, Start: &Start{Task: rejected.task, Attempt: 1}}, Status: WrongWorker})
		outcomes := map[jobs.TaskKey]jobs.Outcome{}
		commands, _, _ := d.TakeOutput()
		for _, c := range commands {
			if c.Command.End != nil {
				outcomes[c.Command.End.Task] = c.Command.End.Outcome
				Expect(c.Command.End.Sole).To(BeFalse())
			}
		}
		Expect(outcomes).To(Equal(map[jobs.TaskKey]jobs.Outcome{
			running.task: jobs.OutcomeCrashed, uncertain.task: jobs.OutcomeCrashed, rejected.task: jobs.OutcomeLost, void.task: jobs.OutcomeLost,
		}))
	})

	// Guards against a task that is no suspect any more because it has waited void through
	// the next crash of its worker.
	It("does not count for an attempt that was void on an earlier incarnation", func() {
		start(jobs.Step{Count: 1, Request: small, EstimateMS: long})
		d := sim.current()
		w := d.workers[t.id]
		void := d.newAttempt(&jobs.Task{Key: jobs.TaskKey{Job: "j", Index: 1}}, &jobs.Step{Count: 1, Request: small}, 1, phaseVoid)
		void.worker = w
		w.attempts[void.task] = void
		for i := range int64(2) {
			h := w.Heartbeat
			h.StartedAtMS += 1000 * (i + 1)
			w = d.newIncarnation(d.workers[t.id], h)
		}
		Expect(w.attempts[key].lossOutcome()).To(Equal(jobs.OutcomeCrashed))
		Expect(void.lossOutcome()).To(Equal(jobs.OutcomeLost))
	})

	// Guards against a crash that an earlier leader has seen, but not recorded for its tasks,
	// and against blame for a worker that an earlier leader saw leave.
	It("counts for attempts that are bound to an incarnation before the registered one", func() {
		start(jobs.Step{Count: 1, Request: small, EstimateMS: long})
		d := sim.current()
		record := d.workers[t.id].record(sim.now, sim.unix())
		later := *record
		later.StartedAtMS++
		sim.store.Apply(jobs.Command{RegisterWorker: &jobs.RegisterWorker{Worker: later}})
		d = New(d.options, sim.store, 2, sim.now, sim.unix())
		Expect(d.workers[t.id].attempts[key].lossOutcome()).To(Equal(jobs.OutcomeCrashed))

		sim.store.Apply(jobs.Command{RemoveWorker: &jobs.RemoveWorker{Worker: later.Incarnation}})
		d = New(d.options, sim.store, 3, sim.now, sim.unix())
		w := d.newIncarnation(nil, Heartbeat{Worker: t.id, HostPort: t.address, StartedAtMS: later.StartedAtMS + 1})
		Expect(w.attempts[key].lossOutcome()).To(Equal(jobs.OutcomeLost))
	})

	// Guards against a job that is given up after two crashes although the task may never
	// have run on the second worker.
	It("counts alone only for an attempt that is known to have run", func() {
		start(jobs.Step{Count: 1, Request: small, EstimateMS: long})
		d := sim.current()
		w := d.workers[t.id]
		a := w.attempts[key]
		for p, sole := range map[phase]bool{phaseStarted: true, phaseUncertain: false, phaseOrdered: false, phaseInherited: false} {
			a.crashed = false
			a.setPhase(p, d.now)
			Expect(d.markCrash(w)).To(Equal(1))
			Expect(a.sole).To(Equal(sole), "phase %d", p)
		}
	})

	// Guards against a task that counts as the only one on its worker beside one that may
	// have started there or runs there without being bound.
	It("counts alone only for the one attempt that may have started", func() {
		start(jobs.Step{Count: 1, Request: small, EstimateMS: long})
		w := sim.current().workers[t.id]
		Expect(w.runsSingleAttempt()).To(BeTrue())
		second := sim.current().newAttempt(&jobs.Task{Key: jobs.TaskKey{Job: "j", Index: 1}}, &jobs.Step{Count: 1}, 1, phaseVoid)
		w.attempts[second.task] = second
		Expect(w.runsSingleAttempt()).To(BeTrue())
		second.setPhase(phaseOrdered, 0)
		Expect(w.runsSingleAttempt()).To(BeFalse())
		delete(w.attempts, second.task)
		w.unexpected[attemptKey{second.task, 1}] = &unexpectedAttempt{}
		Expect(w.runsSingleAttempt()).To(BeFalse())
	})

	// Guards against an operator who can't tell why a job has failed.
	It("is logged with its tasks, and the job that is given up", func() {
		start(jobs.Step{Count: 1, Request: small, EstimateMS: long})
		events := map[string]LogEvent{}
		for attempt := 2; attempt <= 4; attempt++ {
			d := sim.current()
			h := d.workers[t.id].Heartbeat
			h.StartedAtMS += 1000
			h.Sequence = 1
			d.HandleHeartbeat(h)
			w := d.workers[t.id]
			for _, a := range w.attempts {
				d.handleMissing(a, d.now)
			}
			commands, _, logEvents := d.TakeOutput()
			for _, c := range commands {
				c.OnResult(sim.store.Apply(c.Command), true)
			}
			_, _, more := d.TakeOutput()
			for _, e := range append(logEvents, more...) {
				events[e.Event] = e
			}
			sim.store.Apply(jobs.Command{Bind: &jobs.Bind{Task: key, Attempt: attempt, On: w.incarnation()}})
			if sim.store.Job("j").State == jobs.Running {
				d.adopt(w, sim.store.Job("j").Task(key))
				d.TakeOutput()
			}
		}
		Expect(events["worker crashed"].Detail).To(Equal("tasks: 1"))
		Expect(events["job given up"].Task).To(Equal(key))
		Expect(events["job given up"].Detail).To(Equal("3 workers have crashed under the task"))
	})
})
