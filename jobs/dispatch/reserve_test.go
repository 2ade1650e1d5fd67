package dispatch

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

// plainCountStep counts the tasks of a step by walking over all attempts of a worker.
func plainCountStep(w *worker, key jobs.TaskKey) int {
	count := 0
	for other := range w.attempts {
		count += boolToInt(stepKey(other) == stepKey(key))
	}
	for other := range w.unexpected {
		count += boolToInt(stepKey(other.task) == stepKey(key))
	}
	return count
}

// plainReserve returns the worker that is reserved for a task, with each condition examined
// for every worker.
func plainReserve(wj *waitingJob, step *jobs.Step, t *jobs.Task, candidates []*candidate, restarts bool) *candidate {
	var best *candidate
	reserved := 0
	for _, c := range candidates {
		reserved += boolToInt(c.reserved == reservedForLongRunning)
		fits := step.ReservedResources().FitsIn(c.worker.Capacity) && !c.keeps(step, t)
		if restarts {
			fits = step.ReservedResources().FitsIn(c.freeAfterShort)
		}
		if c.worker.Service != wj.service || c.reserved != notReserved || !c.worker.hasLabel(step.RequiredLabel) || !fits ||
			step.MaxPerWorker > 0 && plainCountStep(c.worker, t.Key) >= step.MaxPerWorker {
			continue
		}
		if best == nil || c.fitRatio(step) > best.fitRatio(step) {
			best = c
		}
	}
	if !restarts && reserved > len(candidates)/workersPerReservation {
		return nil
	}
	return best
}

// randomCandidates returns workers with random attempts, labels and capacities.
func randomCandidates(d *Dispatcher, rng *rand.Rand, count int) []*candidate {
	for i := range count {
		w := newWorker(Heartbeat{
			Worker: fmt.Sprint("w", i), Service: fmt.Sprint("s", rng.IntN(2)), Labels: []string{fmt.Sprint("kind", rng.IntN(2))}, StartedAtMS: 1,
			Capacity: jobs.Resources{MilliCPU: 1000 * rng.Int64N(33), MemoryMB: 128_000},
		}, 1, d.now)
		w.fenceConfirmed, w.reportExpiresAt = true, d.now+time.Hour
		for range rng.IntN(8) {
			w.addAttempt(d.randomAttempt(rng, rng.IntN(10)))
		}
		if rng.IntN(4) == 0 {
			a := d.randomAttempt(rng, rng.IntN(10))
			w.unexpected[attemptKey{a.task, 1}] = &unexpectedAttempt{reserved: a.reserved}
		}
		d.workers[w.Worker] = w
	}
	d.planner.workersByID = nil
	candidates := d.candidates()
	for _, c := range candidates {
		c.keptForShort = rng.IntN(5) == 0
	}
	return candidates
}

// newlyReserved returns the worker that has been reserved since the last call, or nil.
func newlyReserved(candidates []*candidate, before map[*candidate]reservation) *candidate {
	var found *candidate
	for _, c := range candidates {
		if c.reserved != before[c] {
			found = c
			before[c] = c.reserved
		}
	}
	return found
}

var _ = Describe("The reservation of a worker", func() {
	// Guards against another choice by the shorter search.
	It("is the one that an examination of all workers would choose", func() {
		made := 0
		for seed := range uint64(300) {
			sim := newSimulation(seed)
			d := sim.startLeader()
			candidates := randomCandidates(d, sim.rng, 60)
			before := map[*candidate]reservation{}
			for range 12 {
				step := &jobs.Step{
					LongRunning: true, Request: jobs.Resources{MilliCPU: sim.rng.Int64N(16_000), MemoryMB: sim.rng.Int64N(20_000)}, MaxPerWorker: sim.rng.IntN(3),
				}
				if sim.rng.IntN(3) == 0 {
					step.RequiredLabel = "kind0"
				}
				wj := &waitingJob{service: "s0", job: &jobs.Job{AcceptedAt: 1}}
				t := &jobs.Task{Key: jobs.TaskKey{Job: fmt.Sprint("job-", sim.rng.IntN(5))}, Attempt: sim.rng.IntN(2)}
				restarts := sim.rng.IntN(2) == 0
				want := plainReserve(wj, step, t, candidates, restarts)
				if restarts {
					d.reserveForRestart(restart{wj, step, t}, candidates)
				} else {
					d.reserve(wj, step, t, candidates)
				}
				Expect(newlyReserved(candidates, before) == want).To(BeTrue(), "seed %d", seed)
				made += boolToInt(want != nil)
			}
		}
		Expect(made).To(BeNumerically(">", 1000))
	})

	// Guards against a step with more tasks on a worker than its limit.
	It("counts the tasks of a step on a worker", func() {
		counted := 0
		for seed := range uint64(100) {
			sim := newSimulation(seed)
			d := sim.startLeader()
			for _, c := range randomCandidates(d, sim.rng, 10) {
				for a := range 5 {
					key := jobs.TaskKey{Job: fmt.Sprint("job-", a), Index: 100}
					Expect(countStep(c.worker, key)).To(Equal(plainCountStep(c.worker, key)))
					counted += countStep(c.worker, key)
				}
			}
		}
		Expect(counted).To(BeNumerically(">", 1000))
	})
})
