package dispatch

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

// maxIdle is how long a task may wait although there is room for it and no fault is near.
const maxIdle = 3 * time.Second

var _ = Describe("Dispatcher whose commands are not committed", func() {
	small := jobs.Resources{MilliCPU: 1000, MemoryMB: 10}

	// Guards against tasks that never run again after the log has rejected a command of a
	// leader that stays in office, for example while it tries to hand over.
	It("starts every task again", func() {
		for seed := range uint64(60) {
			sim := newSimulation(seed)
			for range 4 {
				sim.addWorker(jobs.Resources{MilliCPU: 8000, MemoryMB: 1000}, seed%2 == 0)
			}
			sim.startLeader()
			sim.schedule(2*time.Second, func() {
				sim.submit("lasting", jobs.Spec{Steps: []jobs.Step{{Count: 8, Request: small, LongRunning: true}}})
			})
			for i := range 12 {
				sim.schedule(2*time.Second+time.Duration(i)*500*time.Millisecond, func() {
					sim.submit(fmt.Sprintf("job-%d", i), jobs.Spec{Steps: []jobs.Step{
						{Count: 3, Request: small, EstimateMS: 300}, {Count: 2, Request: small, EstimateMS: 200, DependsOn: []int{0}},
					}})
				})
			}
			for at := 3 * time.Second; at < 8*time.Second; at += 400 * time.Millisecond {
				sim.schedule(at, sim.failLastingTask)
			}
			sim.schedule(4*time.Second, func() { sim.workers[0].crash(time.Second) })
			for at := 2 * time.Second; at < 8*time.Second; at += 700 * time.Millisecond {
				sim.schedule(at, func() { sim.rejectRate, sim.expireRate = 0.5, 0.3 })
				sim.schedule(at+300*time.Millisecond, func() { sim.rejectRate, sim.expireRate = 0, 0 })
			}
			sim.runUntil(8*time.Second + maxIdle)
			Expect(sim.violations).To(BeEmpty(), "seed %d", seed)
			sim.store.Job("lasting").Tasks(func(t *jobs.Task) {
				Expect(sim.runs(t.Key)).To(BeTrue(), "seed %d: %v, attempt %d bound to %v", seed, t.Key, t.Attempt, t.BoundTo)
			})
			for i := range 12 {
				Expect(sim.store.Job(fmt.Sprintf("job-%d", i)).State).To(Equal(jobs.Done), "seed %d: job-%d", seed, i)
			}
		}
	})
})

// failLastingTask makes one running task of the job "lasting" fail.
func (sim *simulation) failLastingTask() {
	key := jobs.TaskKey{Job: "lasting", Index: sim.rng.IntN(8)}
	for _, t := range sim.workers {
		if t.running[key] != nil {
			t.end(key, jobs.OutcomeFailed)
			return
		}
	}
}

// runs reports whether a task runs on a worker.
func (sim *simulation) runs(key jobs.TaskKey) bool {
	for _, t := range sim.workers {
		if t.up && t.running[key] != nil {
			return true
		}
	}
	return false
}
