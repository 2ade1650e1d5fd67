package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

var _ = Describe("The check of workers for tasks to stop", func() {
	key := jobs.TaskKey{Job: "j"}

	// Guards against attempts that run on because no event has brought up the check of their
	// worker, which is rare without one.
	DescribeTable("follows an event at once", func(event func(*simulation, *Dispatcher, *worker)) {
		for i := range 10 {
			sim := newSimulation(7)
			t := sim.addWorker(jobs.Resources{MilliCPU: 8000, MemoryMB: 1000}, true)
			d := sim.startLeader()
			sim.runUntil(2 * time.Second)
			sim.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: jobs.Resources{MilliCPU: 1000, MemoryMB: 10}, EstimateMS: 60_000}}})
			sim.runUntil(4*time.Second + time.Duration(i)*50*time.Millisecond)
			Expect(t.running).To(HaveKey(key))
			event(sim, d, d.workers[t.id])
			sim.runUntil(sim.now + 3*testTick)
			Expect(sim.stops).To(Equal(1))
		}
	},
		Entry("a cancelled job", func(sim *simulation, _ *Dispatcher, _ *worker) {
			sim.store.Apply(jobs.Command{Cancel: &jobs.Cancel{ID: "j", At: sim.unix()}})
		}),
		Entry("an attempt to move", func(_ *simulation, d *Dispatcher, w *worker) { d.requestStop(w.attempts[key]) }),
		Entry("a start that the worker does not list", func(sim *simulation, d *Dispatcher, w *worker) {
			delete(sim.workers[0].running, key)
			w.attempts[key].setPhase(phaseUncertain, d.now)
			w.nextSweepAt = d.now + idleSweepInterval
			d.handleMissing(w.attempts[key], d.now)
		}),
		Entry("an unexpected attempt", func(sim *simulation, d *Dispatcher, w *worker) {
			other := jobs.TaskKey{Job: "other"}
			sim.workers[0].running[other] = &simRun{attempt: 1}
			d.handleUnexpected(w, &RunningTask{Task: other, Attempt: 1})
		}),
		Entry("a worker that drains", func(sim *simulation, d *Dispatcher, w *worker) {
			w.attempts[key].step.LongRunning = true
			w.attempts[key].markLoadOutdated()
			sim.workers[0].draining = true
			d.HandleHeartbeat(sim.workers[0].heartbeat())
		}),
	)
})
