package dispatch

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

// maxTakeover is how long a new leader may take until it has reached every worker: well
// below the heartbeat interval, and below what is left of a lease after an election.
const maxTakeover = 600 * time.Millisecond

var _ = Describe("Takeover", func() {
	started := func(sim *simulation) int {
		running := 0
		for _, t := range sim.workers {
			running += len(t.running)
		}
		return running
	}

	// Guards against a new leader that knows no worker until its next heartbeat: it starts
	// nothing, learns of no end, and the leases of sound workers expire.
	for _, workers := range []int{66, 1100, 2000} {
		It(fmt.Sprintf("reaches all of %d workers before they report to the new leader", workers), func() {
			sim := newSimulation(5)
			for range workers {
				sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
			}
			sim.startLeader()
			sim.runUntil(2 * time.Second)
			sim.submit("resident", jobs.Spec{Steps: []jobs.Step{{
				Count: workers, MaxPerWorker: 1, Request: jobs.Resources{MilliCPU: 1000, MemoryMB: 10}, LongRunning: true,
			}}})
			sim.runUntil(4 * time.Second)
			Expect(started(sim)).To(Equal(workers))
			for _, t := range sim.workers {
				t.heartbeatsBlocked = true
			}
			sim.submit("urgent", jobs.Spec{Steps: []jobs.Step{{
				Count: workers, Request: jobs.Resources{MilliCPU: 2000, MemoryMB: 10}, EstimateMS: 5000,
			}}})
			d := sim.startLeader()
			sim.runUntil(4*time.Second + maxTakeover)
			confirmed := 0
			for _, w := range d.workers {
				confirmed += boolToInt(w.fenceConfirmed)
			}
			Expect(confirmed).To(Equal(workers))
			sim.runUntil(6 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			Expect(started(sim)).To(Equal(2*workers), "all tasks of both jobs run, and none was restarted")
			Expect(sim.starts).To(Equal(2 * workers))
		})
	}

	// Guards against a worker that has left or is draining and gets tasks again from the
	// next leader, which has not heard from it.
	It("does not use workers that an earlier leader saw leave or drain", func() {
		sim := newSimulation(5)
		for range 3 {
			sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
		}
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		left, draining, sound := sim.workers[0], sim.workers[1], sim.workers[2]
		recorded := 0
		count := func(ok bool) { recorded += boolToInt(ok) }
		left.heartbeatsBlocked = true
		sim.current().Deregister(left.id, count)
		sim.carryOut(sim.current())
		draining.draining = true
		sim.runUntil(4 * time.Second)
		sim.current().OnDrainRecorded(draining.id, count)
		Expect(recorded).To(Equal(2), "the leader acknowledges both only once they are recorded")
		for _, t := range sim.workers {
			t.heartbeatsBlocked = true
		}
		sim.submit("job", jobs.Spec{Steps: []jobs.Step{{
			Count: 6, Request: jobs.Resources{MilliCPU: 1000, MemoryMB: 10}, EstimateMS: 5000,
		}}})
		sim.startLeader()
		sim.runUntil(6 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(sound.running).To(HaveLen(4))
		Expect(left.running).To(BeEmpty())
		Expect(draining.running).To(BeEmpty())
	})

	// Guards against a registration that is committed after the worker has left.
	It("removes a worker that leaves before its registration is committed", func() {
		sim := newSimulation(5)
		t := sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
		t.heartbeatsBlocked = true
		d := sim.startLeader()
		d.HandleHeartbeat(Heartbeat{Worker: t.id, HostPort: t.address, Service: "s", ClockMS: t.clock(), StartedAtMS: t.startedAtMS, Sequence: 1})
		left := false
		d.Deregister(t.id, func(ok bool) { left = ok })
		Expect(left).To(BeFalse(), "nothing is committed yet")
		sim.carryOut(d)
		sim.runUntil(time.Second)
		Expect(left).To(BeTrue())
		Expect(sim.store.Workers()).To(BeEmpty())
	})

	// Guards against registrations of lost workers that every later leader polls forever.
	It("forgets a worker that is lost for good", func() {
		sim := newSimulation(5)
		for range 2 {
			sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
		}
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		Expect(sim.store.Workers()).To(HaveLen(2))
		sim.workers[0].crash(time.Hour)
		sim.startLeader()
		sim.runUntil(20 * time.Second)
		Expect(sim.store.Workers()).To(HaveLen(1))
	})
})
