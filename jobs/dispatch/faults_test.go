package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

var _ = Describe("Dispatcher", func() {
	small := jobs.Resources{MilliCPU: 1000, MemoryMB: 10}

	// Guards against tasks that stay on a hung worker that reports itself healthy. They
	// would miss their objective by the whole time that it hangs.
	It("moves tasks from a worker on which they make no progress", func() {
		sim := newSimulation(7)
		sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
		sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
		sim.startLeader()
		sim.runUntil(3 * time.Second)
		sim.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 6, Request: small, EstimateMS: 1000}}})
		sim.schedule(300*time.Millisecond, func() { sim.workers[0].hung = true })
		sim.runUntil(9 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(sim.store.Job("j").State).To(Equal(jobs.Done))
		Expect(sim.workers[0].hung).To(BeTrue())
	})

	// Guards against a worker that fails all tasks at once and therefore always has free
	// capacity for more.
	It("quarantines a worker that fails all tasks", func() {
		sim := newSimulation(7)
		sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
		sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
		sim.workers[0].failTasks = true
		sim.startLeader()
		sim.runUntil(3 * time.Second)
		for i := range 40 {
			sim.schedule(time.Duration(i)*100*time.Millisecond, func() {
				sim.submit(string(rune('A'+i)), jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: small, EstimateMS: 100}}})
			})
		}
		sim.runUntil(9 * time.Second)
		failures := 0
		for _, j := range sim.store.Jobs() {
			Expect(j.State).To(Equal(jobs.Done), j.ID)
			j.Tasks(func(t *jobs.Task) { failures += t.Failures })
		}
		Expect(failures).To(BeNumerically("<=", 2*quarantineThreshold))
	})

	// Guards against a task that runs twice because an earlier leader renewed the lease of
	// a worker that does not report to the new one. The new leader restarts the task only
	// after the longest lease that the earlier one may have granted.
	It("waits out the leases of a worker that does not report to a new leader", func() {
		sim := newSimulation(7)
		sim.addWorker(jobs.Resources{MilliCPU: 1000, MemoryMB: 1000}, true)
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		sim.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: small, EstimateMS: 60_000}}})
		sim.runUntil(3 * time.Second)
		Expect(sim.workers[0].running).To(HaveLen(1))
		sim.workers[0].partitioned = true
		sim.addWorker(jobs.Resources{MilliCPU: 1000, MemoryMB: 1000}, true)
		sim.startLeader()
		startedAt := sim.now
		sim.runUntil(startedAt + testLease)
		Expect(sim.workers[1].running).To(BeEmpty())
		sim.runUntil(startedAt + testLease + 2*testPreviousLeaderLease + time.Second + sim.current().reportWait())
		Expect(sim.workers[1].running).To(HaveLen(1))
		Expect(sim.violations).To(BeEmpty())
	})

	// Guards against tasks that wait for a worker that sends heartbeats but receives no
	// orders. Its lease expires nevertheless.
	It("abandons the tasks of a worker that reports but receives no orders", func() {
		sim := newSimulation(7)
		sim.addWorker(jobs.Resources{MilliCPU: 1000, MemoryMB: 1000}, true)
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		sim.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: small, LongRunning: true}}})
		sim.runUntil(3 * time.Second)
		sim.workers[0].ordersBlocked = true
		sim.addWorker(jobs.Resources{MilliCPU: 1000, MemoryMB: 1000}, true)
		sim.runUntil(3*time.Second + testLease + 2*time.Second)
		Expect(sim.workers[1].running).To(HaveLen(1))
		Expect(sim.violations).To(BeEmpty())
	})

	// Guards against workers that count as unresponsive for holds that never left the leader.
	It("does not charge a worker with a hold that has expired", func() {
		sim := newSimulation(7)
		t := sim.addWorker(jobs.Resources{MilliCPU: 1000, MemoryMB: 1000}, true)
		d := sim.startLeader()
		sim.runUntil(2 * time.Second)
		w := d.workers[t.id]
		d.sendHold(w)
		d.HandleReply(Reply{Order: Order{Hold: &Hold{}, target: w}, Status: Expired, SentAt: sim.now, ReceivedAt: sim.now})
		Expect(w.unresponsive).To(BeFalse())
		Expect(w.holdInFlight).To(BeFalse())
		Expect(w.usable(sim.now)).To(BeTrue())
	})

	// Guards against a worker that failed a hold and has no attempts left: without another
	// hold it would stay out of use although it reports.
	It("uses a worker again that receives orders again", func() {
		sim := newSimulation(7)
		t := sim.addWorker(jobs.Resources{MilliCPU: 1000, MemoryMB: 1000}, true)
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		sim.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: small, LongRunning: true}}})
		sim.runUntil(3 * time.Second)
		t.ordersBlocked = true
		sim.runUntil(3*time.Second + testLease + 2*time.Second)
		Expect(sim.current().workers[t.id].attempts).To(BeEmpty())
		t.ordersBlocked = false
		Expect(sim.starts).To(Equal(1))
		sim.runUntil(sim.now + testHeartbeatInterval + time.Second)
		Expect(sim.starts).To(Equal(2), "the task runs again")
		Expect(sim.violations).To(BeEmpty())
	})

	// Guards against a hold that acknowledges ends of the former incarnation and arrives at a
	// restarted worker, which counts its ends anew: it would forget an end that is not
	// recorded, and the task would run again.
	It("does not acknowledge ends by the numbers of a former incarnation", func() {
		sim := newSimulation(7)
		t := sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
		d := sim.startLeader()
		sim.runUntil(2 * time.Second)
		sim.submit("before", jobs.Spec{Steps: []jobs.Step{
			{Count: 3, Request: small, EstimateMS: 100}, {Count: 1, Request: small, EstimateMS: 100, DependsOn: []int{0}},
		}})
		sim.runUntil(4 * time.Second)
		Expect(d.workers[t.id].lastAcked).To(BeNumerically(">", 0))
		t.crash(50 * time.Millisecond)
		sim.runUntil(4100 * time.Millisecond)
		sim.holdDelay, sim.commitDelay = 300*time.Millisecond, 50*time.Millisecond
		sim.submit("after", jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: small, EstimateMS: 100}}})
		sim.runUntil(7 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(sim.store.Job("after").State).To(Equal(jobs.Done))
		Expect(sim.starts).To(Equal(5))
	})

	// Guards against a sequence of fillers beside a serving task whose tail latency is
	// already too high. Each one is paused in time, but together they keep it slow.
	It("starts no filler beside a serving task that is too slow", func() {
		sim := newSimulation(7)
		sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		sim.submit("s", jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: small, LongRunning: true, LatencyTargetMS: 20, Image: "s"}}})
		sim.runUntil(4 * time.Second)
		Expect(sim.workers[0].running).To(HaveLen(1))
		sim.workers[0].tail = 40
		sim.runUntil(7 * time.Second)
		sim.submit("f", jobs.Spec{Steps: []jobs.Step{{Count: 2, Request: small, EstimateMS: 3000, Filler: true, Image: "f"}}})
		sim.runUntil(9 * time.Second)
		Expect(sim.workers[0].running).To(HaveLen(1))
		sim.workers[0].tail = 5
		sim.runUntil(16 * time.Second)
		Expect(sim.store.Job("f").State).To(Equal(jobs.Done))
	})

	// Guards against tasks that are lost when a draining worker shuts down.
	It("starts nothing on a draining worker and moves tasks that cannot finish in time", func() {
		sim := newSimulation(7)
		sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		sim.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 2, Request: small, EstimateMS: 60_000}}})
		sim.runUntil(3 * time.Second)
		sim.workers[0].draining = true
		sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
		sim.runUntil(6 * time.Second)
		Expect(sim.workers[0].running).To(BeEmpty())
		Expect(sim.workers[1].running).To(HaveLen(2))
	})
})
