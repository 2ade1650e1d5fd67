package dispatch

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

// plainEligible examines all conditions for a worker, in no order of cost.
func (d *Dispatcher) plainEligible(wj *waitingJob, step *jobs.Step, t *jobs.Task, c *candidate) bool {
	if c.worker.Service != wj.service || c.isolated && !wj.besideIsolated || !c.admits(step, t.Key) || c.keeps(step, t) ||
		c.pendingStarts >= maxPendingStarts || !c.worker.hasLabel(step.RequiredLabel) || !step.ReservedResources().FitsIn(c.free) {
		return false
	}
	if step.MaxPerWorker > 0 && plainCountStep(c.worker, t.Key) >= step.MaxPerWorker {
		return false
	}
	if !step.Filler {
		return true
	}
	left := c.idleMilliCPU - float64(step.Request.MilliCPU)
	memory := float64(c.free.MemoryMB - step.Request.MemoryMB)
	return left >= -maxCPUDeficitShare*float64(c.worker.Capacity.MilliCPU) && memory >= reservedMemoryShare*float64(c.worker.Capacity.MemoryMB) &&
		c.worker.colocation.tailHighSince == 0 && !d.exceedsHeadroom(step, c)
}

var _ = Describe("The choice of a worker", func() {
	// Guards against another choice by the shorter search.
	It("is the first with the highest score of all that fulfil each condition", func() {
		made, none := 0, 0
		for seed := range uint64(300) {
			sim := newSimulation(seed)
			d := sim.startLeader()
			for s := range 4 {
				for f := range 6 {
					d.model.Suppose(fmt.Sprint("s", s), fmt.Sprint("f", f), 0.2*sim.rng.Float64())
				}
			}
			candidates := randomCandidates(d, sim.rng, 40)
			for _, c := range candidates {
				c.reserved = reservation(sim.rng.IntN(12) / 10)
				c.pendingStarts += sim.rng.IntN(2) * sim.rng.IntN(maxPendingStarts)
			}
			for i := range 20 {
				a := d.randomAttempt(sim.rng, 100+i)
				a.step.MaxPerWorker = sim.rng.IntN(3)
				if sim.rng.IntN(3) == 0 {
					a.step.RequiredLabel = "kind1"
				}
				wj := &waitingJob{service: "s0", besideIsolated: sim.rng.IntN(2) == 0}
				var want *candidate
				for _, c := range candidates {
					if d.plainEligible(wj, a.step, a.record, c) && (want == nil || d.score(a.step, a.record, c) > d.score(a.step, a.record, want)) {
						want = c
					}
				}
				Expect(d.choose(wj, a.step, a.record, candidates, nil) == want).To(BeTrue(), "seed %d, choice %d", seed, i)
				Expect(d.chooseFromShortlist(wj, a.step, a.record, candidates, &shortlist{}) == want).To(BeTrue(), "seed %d, choice %d", seed, i)
				if want == nil {
					none++
					continue
				}
				made++
				want.free = want.free.Sub(a.reserved)
				d.addTask(want, a.step)
			}
		}
		Expect(made).To(BeNumerically(">", 1000))
		Expect(none).To(BeNumerically(">", 100))
	})
})
