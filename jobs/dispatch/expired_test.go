package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

var _ = Describe("A short task whose lease has expired on a silent worker", func() {
	small := jobs.Resources{MilliCPU: 1000, MemoryMB: 10}
	key := jobs.TaskKey{Job: "j"}
	var sim *simulation
	var t *simWorker

	// cutOff runs the task on a worker that loses contact, while another worker has room.
	cutOff := func() {
		sim = newSimulation(7)
		t = sim.addWorker(jobs.Resources{MilliCPU: 2000, MemoryMB: 1000}, true)
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		sim.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: small, EstimateMS: 60_000}}})
		sim.runUntil(2500 * time.Millisecond)
		Expect(t.running).To(HaveKey(key))
	}
	// expiry is when the lease has expired by the slowest clock, at the latest.
	const expiry = 3*time.Second + testLease + time.Second

	BeforeEach(cutOff)

	// Guards against a task that runs again after it is done: its end waits on a worker that
	// was out of contact for longer than the lease and is heard again, but not answered yet.
	It("waits for the list of a worker that is heard again", func() {
		sim.runUntil(3 * time.Second)
		t.partitioned = true
		sim.addWorker(jobs.Resources{MilliCPU: 2000, MemoryMB: 1000}, true)
		sim.runUntil(3500 * time.Millisecond)
		t.end(key, jobs.OutcomeDone)
		sim.runUntil(expiry)
		Expect(sim.store.Job("j").Task(key).AbandonedAttempts).To(Equal([]int{1}))
		t.partitioned, t.ordersBlocked = false, true
		sim.runUntil(expiry + 4*time.Second)
		t.ordersBlocked = false
		sim.runUntil(expiry + 6*time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(sim.starts).To(Equal(1))
		Expect(sim.store.Job("j").State).To(Equal(jobs.Done))
	})

	// Guards against the same while nothing is heard of the worker, for the time in which it
	// would report after the end of a cut, and against a task that then waits for ever.
	It("waits for the report of a worker that stays silent, and no longer", func() {
		sim.runUntil(3 * time.Second)
		t.partitioned = true
		sim.addWorker(jobs.Resources{MilliCPU: 2000, MemoryMB: 1000}, true)
		sim.runUntil(expiry)
		Expect(sim.store.Job("j").Task(key).AbandonedAttempts).To(Equal([]int{1}))
		ended := time.Duration(sim.store.Job("j").Task(key).EndedAt-unixStart) * time.Millisecond
		wait := sim.current().reportWait()
		sim.runUntil(ended + wait - 100*time.Millisecond)
		Expect(sim.starts).To(Equal(1))
		sim.runUntil(ended + wait + 500*time.Millisecond)
		Expect(sim.starts).To(Equal(2))
	})

	// Guards against a task that runs again after it is done because a long-running task was at
	// work beside it: that one may have failed before the end of the lease.
	It("waits also where a long-running task was at work", func() {
		sim.submit("lasting", jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: small, LongRunning: true}}})
		sim.runUntil(3 * time.Second)
		Expect(t.running).To(HaveLen(2))
		t.partitioned = true
		sim.addWorker(jobs.Resources{MilliCPU: 2000, MemoryMB: 1000}, true)
		sim.runUntil(3500 * time.Millisecond)
		t.end(key, jobs.OutcomeDone)
		t.end(jobs.TaskKey{Job: "lasting"}, jobs.OutcomeFailed)
		sim.runUntil(expiry)
		t.partitioned = false
		sim.runUntil(expiry + 3*time.Second)
		Expect(sim.store.Job("j").Task(key).Attempt).To(Equal(1))
		Expect(sim.store.Job("j").State).To(Equal(jobs.Done))
	})

	// Guards against the same for a start whose answer the cut has swallowed: the attempt was
	// taken for one that can't have started.
	It("waits although the start was not answered", func() {
		sim.runUntil(3 * time.Second)
		d := sim.current()
		a := d.workers[t.id].attempts[key]
		t.partitioned = true
		a.setPhase(phaseUncertain, d.now)
		a.unstarted = true
		sim.addWorker(jobs.Resources{MilliCPU: 2000, MemoryMB: 1000}, true)
		sim.runUntil(3500 * time.Millisecond)
		t.end(key, jobs.OutcomeDone)
		sim.runUntil(expiry)
		Expect(sim.store.Job("j").Task(key).BoundTo).To(BeNil())
		t.partitioned = false
		sim.runUntil(expiry + 3*time.Second)
		Expect(sim.starts).To(Equal(1))
		Expect(sim.store.Job("j").State).To(Equal(jobs.Done))
	})

	// Guards against a task that waits for the length of a step back of the leader's wall clock.
	It("waits by a clock that does not step", func() {
		sim.runUntil(3 * time.Second)
		t.partitioned = true
		sim.addWorker(jobs.Resources{MilliCPU: 2000, MemoryMB: 1000}, true)
		sim.runUntil(expiry)
		task := sim.store.Job("j").Task(key)
		Expect(task.BoundTo).To(BeNil())
		task.EndedAt += 60_000
		task.ExpiredAttempts[0].EndedAt += 60_000
		sim.runUntil(expiry + sim.current().reportWait() + 500*time.Millisecond)
		Expect(sim.starts).To(Equal(2))
	})

	It("starts at once if the worker refuses connections", func() {
		sim.runUntil(3 * time.Second)
		t.refusesConnections = true
		t.crash(30 * time.Second)
		sim.addWorker(jobs.Resources{MilliCPU: 2000, MemoryMB: 1000}, true)
		sim.runUntil(expiry + 500*time.Millisecond)
		Expect(sim.store.Job("j").Task(key).Attempt).To(Equal(2))
	})
})
