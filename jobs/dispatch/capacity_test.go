package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

// fullCapacity is the capacity of a worker that has not shrunk.
var fullCapacity = jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}

// quarter returns a quarter of a capacity.
func quarter(r jobs.Resources) jobs.Resources {
	return jobs.Resources{MilliCPU: r.MilliCPU / 4, MemoryMB: r.MemoryMB / 4, GPUs: r.GPUs / 4}
}

// oneTask returns a job of one task that asks for the given CPU in millicores.
func oneTask(milliCPU, estimateMS int64) jobs.Spec {
	return jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: jobs.Resources{MilliCPU: milliCPU, MemoryMB: 10}, EstimateMS: estimateMS}}}
}

var _ = Describe("Capacity that changes", func() {
	// Guards against a start beyond a capacity that shrank between the choice of the worker
	// and the commit of the binding.
	It("cancels a start that no longer fits and plans the task anew at once", func() {
		sim := newSimulation(7)
		shrinks := sim.addWorker(fullCapacity, true)
		d := sim.startLeader()
		sim.runUntil(2 * time.Second)
		sim.submit("resident", oneTask(1000, 60_000))
		sim.runUntil(3 * time.Second)
		Expect(shrinks.running).To(HaveLen(1))
		sim.commitDelay = 200 * time.Millisecond
		sim.submit("job", oneTask(3000, 60_000))
		sim.runUntil(sim.now + 50*time.Millisecond)
		Expect(d.proposedBinds).To(HaveLen(1))
		shrinks.setCapacity(jobs.Resources{MilliCPU: 3000, MemoryMB: 1000})
		shrinks.report()
		other := sim.addWorker(fullCapacity, true)
		other.report()
		sim.runUntil(sim.now + 180*time.Millisecond)
		Expect(shrinks.running).To(HaveLen(1), "the new task does not fit beside the running one")
		// The end of the binding and the next binding have to be committed.
		sim.runUntil(sim.now + 2*sim.commitDelay + 100*time.Millisecond)
		Expect(sim.violations).To(BeEmpty())
		Expect(other.running).To(HaveLen(1))
	})

	// Guards against a gang of which only some members start. They would wait for the others
	// until they give up.
	It("cancels all starts of a gang of which one member no longer fits", func() {
		sim := newSimulation(7)
		for range 2 {
			sim.addWorker(fullCapacity, true)
		}
		d := sim.startLeader()
		sim.runUntil(2 * time.Second)
		sim.commitDelay = 200 * time.Millisecond
		sim.submit("gang", jobs.Spec{Steps: []jobs.Step{{
			Count: 2, MaxPerWorker: 1, Gang: true, Request: jobs.Resources{MilliCPU: 3000, MemoryMB: 10}, EstimateMS: 60_000,
		}}})
		sim.runUntil(sim.now + 50*time.Millisecond)
		Expect(d.proposedBinds).To(HaveLen(2))
		sim.workers[1].setCapacity(quarter(fullCapacity))
		sim.workers[1].report()
		sim.runUntil(sim.now + time.Second)
		Expect(sim.starts).To(Equal(0))
		sim.workers[1].setCapacity(fullCapacity)
		sim.workers[1].report()
		sim.runUntil(sim.now + time.Second)
		Expect(sim.starts).To(Equal(2))
		Expect(sim.violations).To(BeEmpty())
	})

	// Guards against a start on a new incarnation by the capacity of the former one. The new
	// one may be of another kind and size, also under the same id.
	It("starts nothing on a restarted worker before it has reported itself", func() {
		sim := newSimulation(7)
		t := sim.addWorker(fullCapacity, true)
		d := sim.startLeader()
		sim.runUntil(2 * time.Second)
		sim.submit("resident", oneTask(1000, 60_000))
		sim.runUntil(3 * time.Second)
		t.nextCapacity = func() jobs.Resources { return quarter(fullCapacity) }
		t.heartbeatsBlocked = true
		t.crash(100 * time.Millisecond)
		sim.runUntil(5 * time.Second)
		Expect(d.workers[t.id].StartedAtMS).To(Equal(t.startedAtMS), "the hold has found the new incarnation")
		Expect(d.workers[t.id].fenceConfirmed).To(BeTrue())
		sim.submit("large", oneTask(3000, 60_000))
		sim.runUntil(6 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(t.running).To(BeEmpty())
		t.heartbeatsBlocked = false
		t.report()
		sim.runUntil(sim.now + replanInterval + 50*time.Millisecond)
		Expect(t.running).To(HaveLen(1), "only the resident fits")
		Expect(sim.violations).To(BeEmpty())
	})

	// Guards against a new leader that uses a restarted worker by the record of its former
	// incarnation.
	It("starts nothing on a worker that restarted while the leader changed before it has reported itself", func() {
		sim := newSimulation(7)
		t := sim.addWorker(fullCapacity, true)
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		t.nextCapacity = func() jobs.Resources { return quarter(fullCapacity) }
		t.heartbeatsBlocked = true
		t.crash(100 * time.Millisecond)
		sim.submit("large", oneTask(3000, 60_000))
		sim.runUntil(2200 * time.Millisecond)
		sim.startLeader()
		sim.runUntil(5 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(t.running).To(BeEmpty())
	})

	// Guards against starts by a report that is too old to know that the capacity shrank.
	It("starts nothing on a worker whose report is older than the time after which a smaller capacity binds", func() {
		sim := newSimulation(7)
		t := sim.addWorker(fullCapacity, true)
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		t.report()
		sim.runUntil(sim.now + 10*time.Millisecond)
		t.setCapacity(quarter(fullCapacity))
		t.heartbeatsBlocked = true
		sim.runUntil(sim.now + testCapacityGrace + testHeartbeatInterval)
		sim.submit("large", oneTask(3000, 60_000))
		sim.runUntil(sim.now + 2*time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(t.running).To(BeEmpty())
	})

	// Guards against a heartbeat that was delayed on its way and counts as new. By the time
	// of its arrival the capacity may have shrunk long ago.
	It("counts the age of a report from when the worker made it", func() {
		sim := newSimulation(7)
		t := sim.addWorker(fullCapacity, true)
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		sim.submit("resident", oneTask(1000, 60_000))
		sim.runUntil(3 * time.Second)
		d := sim.current()
		t.heartbeatsBlocked = true
		delayed := t.heartbeat()
		sim.runUntil(sim.now + 10*time.Millisecond)
		t.setCapacity(quarter(fullCapacity))
		sim.runUntil(sim.now + 2*time.Second)
		d.Advance(sim.now, sim.unix())
		d.HandleHeartbeat(delayed)
		sim.runUntil(sim.now + testCapacityGrace + testHeartbeatInterval - 1800*time.Millisecond)
		sim.submit("large", oneTask(3000, 60_000))
		sim.runUntil(sim.now + 2*time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(t.running).To(HaveLen(1))
	})

	// Guards against a late heartbeat that counts as new because it is the first one that
	// tells the leader the worker's clock.
	It("counts the age of a report by later readings of the clock too", func() {
		sim := newSimulation(7)
		t := sim.addWorker(fullCapacity, true)
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		t.heartbeatsBlocked = true
		delayed := t.heartbeat()
		sim.runUntil(sim.now + 10*time.Millisecond)
		t.setCapacity(quarter(fullCapacity))
		sim.runUntil(4 * time.Second)
		d := sim.startLeader()
		d.HandleHeartbeat(delayed)
		sim.runUntil(2*time.Second + testCapacityGrace + testHeartbeatInterval + 20*time.Millisecond)
		delete(sim.registered[d], jobs.Incarnation{Worker: t.id, StartedAtMS: t.startedAtMS})
		sim.submit("large", oneTask(3000, 60_000))
		sim.runUntil(sim.now + 2*time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(t.running).To(BeEmpty())
	})

	// Guards against a worker that never gets tasks again because its clock went back
	// without a restart that it reports: all its heartbeats would look late.
	It("asks a worker for its clock when its heartbeat seems too late to count", func() {
		sim := newSimulation(7)
		t := sim.addWorker(fullCapacity, true)
		sim.startLeader()
		sim.runUntil(20 * time.Second)
		t.bootedAt = sim.now
		sim.runUntil(22 * time.Second)
		sim.submit("job", oneTask(1000, 500))
		sim.runUntil(24 * time.Second)
		Expect(sim.store.Job("job").State).To(Equal(jobs.Done))
	})

	// Guards against a restored worker that counts as having reported at the takeover,
	// although the record in the log may be older.
	It("uses a restored worker only for a short time before it reports to the new leader", func() {
		sim := newSimulation(7)
		t := sim.addWorker(fullCapacity, true)
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		t.heartbeatsBlocked = true
		sim.startLeader()
		sim.runUntil(sim.now + testHeartbeatInterval)
		sim.submit("early", oneTask(1000, 60_000))
		sim.runUntil(sim.now + 500*time.Millisecond)
		Expect(t.running).To(HaveLen(1))
		t.setCapacity(quarter(fullCapacity))
		sim.runUntil(2*time.Second + testTakeover - 500*time.Millisecond)
		sim.submit("late", oneTask(1000, 60_000))
		sim.runUntil(sim.now + 2*time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(t.running).To(HaveLen(1))
		t.setCapacity(fullCapacity)
		t.heartbeatsBlocked = false
		sim.runUntil(sim.now + testHeartbeatInterval + 300*time.Millisecond)
		Expect(t.running).To(HaveLen(2))
	})

	// Guards against waiting tasks that see a larger capacity, or a worker that reports again,
	// only with the next periodic plan.
	It("plans at once when a heartbeat makes room", func() {
		sim := newSimulation(7)
		t := sim.addWorker(quarter(fullCapacity), true)
		d := sim.startLeader()
		sim.runUntil(2 * time.Second)
		planned := func() {
			for !d.planner.dirty && d.planner.replanAt-sim.now < replanInterval-2*testTick {
				sim.runUntil(sim.now + testTick)
			}
		}
		sim.submit("large", oneTask(3000, 60_000))
		sim.runUntil(3 * time.Second)
		planned()
		t.setCapacity(fullCapacity)
		t.report()
		sim.runUntil(sim.now + 3*testTick)
		Expect(t.running).To(HaveLen(1), "after the growth")
		t.heartbeatsBlocked = true
		sim.runUntil(sim.now + d.maxReportAge() + testHeartbeatInterval)
		sim.submit("small", oneTask(1000, 60_000))
		sim.runUntil(sim.now + testHeartbeatInterval)
		Expect(t.running).To(HaveLen(1), "nothing starts on a silent worker")
		planned()
		t.heartbeatsBlocked = false
		t.report()
		sim.runUntil(sim.now + 3*testTick)
		Expect(t.running).To(HaveLen(2), "after the silence")
		Expect(sim.violations).To(BeEmpty())
	})

	// Guards against starts on a worker that runs more than its capacity holds by now, also of
	// tasks that reserve no CPU, and against running tasks that are stopped for it.
	It("starts nothing until the running tasks fit again and leaves them alone", func() {
		sim := newSimulation(7)
		t := sim.addWorker(fullCapacity, true)
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		lasting := oneTask(1500, 0)
		lasting.Steps[0].LongRunning = true
		sim.submit("lasting", lasting)
		sim.submit("short", oneTask(2000, 8000))
		sim.runUntil(3 * time.Second)
		Expect(t.running).To(HaveLen(2))
		t.setCapacity(jobs.Resources{MilliCPU: 2000, MemoryMB: 1000})
		t.report()
		sim.runUntil(4 * time.Second)
		filler := jobs.Spec{Steps: []jobs.Step{{
			Count: 1, Request: jobs.Resources{MilliCPU: 200, MemoryMB: 10}, EstimateMS: 500, Filler: true, Image: "f",
		}}}
		sim.submit("filler", filler)
		sim.submit("small", oneTask(500, 500))
		sim.submit("nothing", jobs.Spec{Steps: []jobs.Step{{Count: 1, EstimateMS: 500}}})
		sim.runUntil(9 * time.Second)
		Expect(sim.starts).To(Equal(2), "nothing starts")
		Expect(t.running).To(HaveLen(2), "nothing is stopped")
		sim.runUntil(13 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		for _, id := range []string{"short", "filler", "small", "nothing"} {
			Expect(sim.store.Job(id).State).To(Equal(jobs.Done), id)
		}
		Expect(t.running).To(HaveLen(1), "the lasting task goes on")
		Expect(sim.starts).To(Equal(5))
	})

	// Guards against starts on a worker that reports no capacity at all.
	It("starts nothing that asks for anything on a worker without capacity", func() {
		sim := newSimulation(7)
		t := sim.addWorker(jobs.Resources{}, true)
		sim.startLeader()
		sim.submit("job", oneTask(1, 500))
		sim.submit("filler", jobs.Spec{Steps: []jobs.Step{{
			Count: 1, Request: jobs.Resources{MilliCPU: 200}, EstimateMS: 500, Filler: true, Image: "f",
		}}})
		sim.runUntil(5 * time.Second)
		Expect(sim.starts).To(Equal(0))
		t.setCapacity(fullCapacity)
		sim.runUntil(8 * time.Second)
		Expect(sim.store.Job("job").State).To(Equal(jobs.Done))
		Expect(sim.store.Job("filler").State).To(Equal(jobs.Done))
	})

	// Guards against decisions that mistake a negative rest of capacity for room.
	It("takes a worker that is over its capacity for the worst choice", func() {
		sim := newSimulation(7)
		for range 3 {
			sim.addWorker(fullCapacity, true)
		}
		d := sim.startLeader()
		sim.runUntil(2 * time.Second)
		lasting := oneTask(3000, 0)
		lasting.Steps[0].LongRunning, lasting.Steps[0].Count, lasting.Steps[0].LatencyTargetMS, lasting.Steps[0].Image = true, 3, 20, "s"
		sim.submit("lasting", lasting)
		sim.runUntil(4 * time.Second)
		sim.workers[0].setCapacity(quarter(fullCapacity))
		sim.workers[0].report()
		sim.runUntil(sim.now + testTick)
		candidates := d.candidates()
		over := candidates[0]
		Expect(over.free.MilliCPU).To(Equal(int64(-2000)))
		Expect(over.freeAfterShort.MilliCPU).To(Equal(int64(-2000)))
		serving, idle := &lasting.Steps[0], &jobs.Step{Request: jobs.Resources{MilliCPU: 100, MemoryMB: 10}, Filler: true, LongRunning: true}
		for _, step := range []*jobs.Step{serving, idle, {}} {
			Expect(step.ReservedResources().FitsIn(over.free)).To(BeFalse())
			Expect(over.fitRatio(step)).To(BeNumerically("<", 0))
			Expect(over.fitRatio(step)).To(BeNumerically("<", candidates[1].fitRatio(step)))
		}
		for _, moving := range candidates[1].worker.attempts {
			moving.reserved = jobs.Resources{MemoryMB: 10}
			to := d.destination(candidates[1], candidates, moving, map[*candidate]jobs.Resources{}, nil)
			Expect(to).To(BeIdenticalTo(candidates[2]))
		}
		task := &jobs.Task{Key: jobs.TaskKey{Job: "restart"}, Attempt: 1}
		for range 3 {
			d.reserveForRestart(restart{&waitingJob{service: "s"}, idle, task}, candidates)
		}
		Expect(over.reserved).To(Equal(notReserved))
		keepForShort("s", 100, candidates)
		Expect(over.keptForShort).To(BeFalse())
	})

	// Guards against a reservation by the free CPU for a task that reserves none.
	It("compares workers by memory alone for a task that reserves no CPU", func() {
		step := &jobs.Step{Request: jobs.Resources{MilliCPU: 100, MemoryMB: 100}, Filler: true}
		more := &candidate{free: jobs.Resources{MilliCPU: 0, MemoryMB: 90}}
		less := &candidate{free: jobs.Resources{MilliCPU: 500, MemoryMB: 30}}
		Expect(more.fitRatio(step)).To(BeNumerically("~", 0.9))
		Expect(less.fitRatio(step)).To(BeNumerically("~", 0.3))
	})

	// Guards against a worker that has long been silent and is used again by each new leader,
	// by a record that nothing has confirmed meanwhile.
	It("does not use a worker that an earlier leader saw silent before it reports", func() {
		sim := newSimulation(7)
		t := sim.addWorker(fullCapacity, true)
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		t.heartbeatsBlocked = true
		t.setCapacity(quarter(fullCapacity))
		sim.runUntil(6 * time.Second)
		Expect(sim.store.Workers()[0].Silent).To(BeTrue())
		sim.startLeader()
		sim.submit("large", oneTask(3000, 60_000))
		sim.runUntil(sim.now + 3*time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(t.running).To(BeEmpty())
		t.setCapacity(fullCapacity)
		t.heartbeatsBlocked = false
		sim.runUntil(sim.now + testHeartbeatInterval + 100*time.Millisecond)
		Expect(t.running).To(HaveLen(1))
		Expect(sim.store.Workers()[0].Silent).To(BeFalse())
	})

	// Guards against a draining worker that seems to work longer with each record, since its
	// remaining time counts from its last report.
	It("records the end of a silent worker's drain as it was reported", func() {
		sim := newSimulation(7)
		t := sim.addWorker(fullCapacity, true)
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		t.draining = true
		t.report()
		t.heartbeatsBlocked = true
		sim.runUntil(2100 * time.Millisecond)
		reported := sim.store.Workers()[0].DrainEndsAt
		sim.runUntil(6 * time.Second)
		Expect(sim.store.Workers()[0].Silent).To(BeTrue())
		Expect(sim.store.Workers()[0].DrainEndsAt).To(BeNumerically("~", reported, 10))
	})

	// Guards against a delayed heartbeat that replaces the newer state in the log after a
	// takeover.
	It("keeps the smaller capacity in the log when an older heartbeat arrives at a new leader", func() {
		sim := newSimulation(7)
		t := sim.addWorker(fullCapacity, true)
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		delayed := t.heartbeat()
		t.setCapacity(quarter(fullCapacity))
		t.report()
		t.heartbeatsBlocked = true
		sim.runUntil(2500 * time.Millisecond)
		d := sim.startLeader()
		Expect(d.workers[t.id].Capacity).To(Equal(quarter(fullCapacity)))
		d.HandleHeartbeat(delayed)
		Expect(d.workers[t.id].Capacity).To(Equal(quarter(fullCapacity)))
		later := t.heartbeat()
		d.HandleHeartbeat(later)
		Expect(d.workers[t.id].Sequence).To(Equal(later.Sequence))
	})

	// Guards against a worker that tells no start time and restarts while the leader changes:
	// its heartbeats count anew and must not be taken for old ones.
	It("accepts the heartbeats of a restarted worker that tells no start time", func() {
		sim := newSimulation(7)
		sim.store.Apply(jobs.Command{RegisterWorker: &jobs.RegisterWorker{Worker: jobs.Worker{
			Incarnation: jobs.Incarnation{Worker: "w"}, HostPort: "w:1", Service: "s", Capacity: fullCapacity, Sequence: 50,
		}}})
		d := New(Options{HeartbeatInterval: time.Second, WorkerLease: testLease}, sim.store, 1, 0, unixStart)
		d.HandleHeartbeat(Heartbeat{Worker: "w", HostPort: "w:1", Service: "s", Capacity: quarter(fullCapacity), Sequence: 1})
		Expect(d.workers["w"].Capacity).To(Equal(quarter(fullCapacity)))
	})

	// Guards against a log that fills with registrations of workers whose capacity changes
	// with each heartbeat, and against a later leader that gets an outdated one.
	It("has one registration of a worker on its way at a time, and the newest state at the end", func() {
		const workers, heartbeats = 300, 8
		sim := newSimulation(7)
		for range workers {
			sim.addWorker(fullCapacity, true)
		}
		d := sim.startLeader()
		sim.runUntil(2 * time.Second)
		for _, t := range sim.workers {
			t.heartbeatsBlocked = true
		}
		var proposed []Proposal
		for i := range heartbeats {
			for _, t := range sim.workers {
				h := t.heartbeat()
				h.Capacity.MilliCPU = int64(1000 + i)
				d.HandleHeartbeat(h)
			}
			commands, _, _ := d.TakeOutput()
			for _, p := range commands {
				if p.Command.RegisterWorker != nil {
					proposed = append(proposed, p)
				}
			}
		}
		Expect(proposed).To(HaveLen(workers))
		settled := 0
		for len(proposed) > 0 {
			for _, p := range proposed {
				p.OnResult(sim.store.Apply(p.Command), true)
			}
			settled += len(proposed)
			proposed, _, _ = d.TakeOutput()
		}
		Expect(settled).To(Equal(2*workers), "the first state and the newest one")
		for _, w := range sim.store.Workers() {
			Expect(w.Capacity.MilliCPU).To(Equal(int64(1000 + heartbeats - 1)))
		}
	})

	// Guards against a leader that proposes the same registration again and again because
	// the log holds one of a later start time, for example after the worker's wall clock was
	// set back.
	It("does not repeat a registration that the log refuses", func() {
		sim := newSimulation(7)
		t := sim.addWorker(fullCapacity, true)
		t.heartbeatsBlocked = true
		sim.store.Apply(jobs.Command{RegisterWorker: &jobs.RegisterWorker{Worker: jobs.Worker{
			Incarnation: jobs.Incarnation{Worker: t.id, StartedAtMS: t.startedAtMS + 5000}, HostPort: t.address, Service: "s", Capacity: fullCapacity,
		}}})
		d := sim.startLeader()
		sim.runUntil(100 * time.Millisecond)
		Expect(d.workers[t.id].StartedAtMS).To(Equal(t.startedAtMS), "the worker has answered")
		d.HandleHeartbeat(t.heartbeat())
		commands, _, _ := d.TakeOutput()
		for _, p := range commands {
			p.OnResult(sim.store.Apply(p.Command), true)
		}
		commands, _, _ = d.TakeOutput()
		Expect(commands).To(BeEmpty())
	})

	// Guards against other bounds where the setting is not given.
	It("uses a worker for four heartbeat intervals after its report without a capacity grace", func() {
		store := jobs.NewStore()
		store.Apply(jobs.Command{Cancel: &jobs.Cancel{ID: "j", At: unixStart}})
		d := New(Options{HeartbeatInterval: time.Second, WorkerLease: testLease}, store, 1, 0, unixStart)
		Expect(d.maxReportAge()).To(Equal(4 * time.Second))
		Expect(d.restoredReportAge()).To(Equal(2 * time.Second))
		d.options.CapacityGrace = 100 * time.Millisecond
		Expect(d.maxReportAge()).To(Equal(time.Second), "a worker that reports in time stays in use")
		Expect(d.restoredReportAge()).To(Equal(time.Second))
		d.options.CapacityGrace = time.Minute
		Expect(d.maxReportAge()).To(Equal(4 * time.Second))
	})

	// Guards against starts over the room of workers that have shrunk while there was no
	// leader: what the log says of them is out of date.
	It("waits for the reports of recorded workers after a time without a leader", func() {
		for leaderless, want := range map[time.Duration]time.Duration{
			0: 2 * time.Second, 2500 * time.Millisecond: 1500 * time.Millisecond, 5 * time.Second: 0, time.Hour: 0, -time.Second: 2 * time.Second,
		} {
			store := jobs.NewStore()
			store.Apply(jobs.Command{Bind: &jobs.Bind{At: unixStart}})
			data, err := store.Snapshot()
			Expect(err).NotTo(HaveOccurred())
			restored, err := jobs.Restore(data)
			Expect(err).NotTo(HaveOccurred())
			d := New(Options{HeartbeatInterval: time.Second, WorkerLease: testLease}, restored, 1, 0, unixStart+leaderless.Milliseconds())
			Expect(d.restoredReportAge()).To(Equal(want), leaderless.String())
		}
		d := New(Options{HeartbeatInterval: time.Second, WorkerLease: testLease}, jobs.NewStore(), 1, 0, unixStart)
		Expect(d.restoredReportAge()).To(BeZero(), "no leader has recorded a command")
	})
})
