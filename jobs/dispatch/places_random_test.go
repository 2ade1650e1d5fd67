package dispatch

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// placeSeedShare divides the number of seeds of the runs with preferred places.
const placeSeedShare = 3

var _ = Describe("Preferred places under faults", func() {
	// Guards against tasks and gangs that wait for a place for ever, and against a decision
	// about places that breaks an invariant, while workers crash, are partitioned, drain or
	// answer late and leaders change.
	It("keep the invariants and finish all jobs", func() {
		accepted, givenUp, begun := 0, 0, 0
		first, count := seeds()
		for i := range max(1, count/placeSeedShare) {
			seed := first + uint64(i) //nolint:gosec // small
			sim := newSimulation(seed)
			sim.remoteSlowdown, sim.slowdown, sim.durationSpread = 1.2+2*sim.rng.Float64(), 2, 0.5
			for w := range 4 + sim.rng.IntN(4) {
				t := sim.addWorker(fullCapacity, sim.rng.IntN(2) == 0)
				t.rack = fmt.Sprint("r", w%3)
			}
			sim.startLeader()
			for at := time.Second; at < faultsEnd; at += 700 * time.Millisecond {
				sim.schedule(at, func() {
					spec := sim.randomSpec()
					for s := range spec.Steps {
						step := &spec.Steps[s]
						switch sim.rng.IntN(4) {
						case 0, 1:
							step.DataRack = fmt.Sprint("r", sim.rng.IntN(4))
						case 2:
							step.Gang, step.SameRack, step.MaxPerWorker, step.Count = true, true, 0, min(step.Count, 3)
						}
					}
					sim.submit(fmt.Sprintf("job-%v", at), spec)
					begun += sim.current().planner.places.counts.Begun
					sim.current().TakeStatus()
				})
			}
			for at := 3 * time.Second; at < faultsEnd; at += 1500 * time.Millisecond {
				sim.schedule(at, sim.injectFault)
			}
			sim.runUntil(simulationEnd)
			Expect(sim.violations).To(BeEmpty(), "seed %d", seed)
			Expect(sim.current().planner.places.waits).To(BeEmpty(), "seed %d", seed)
			for _, j := range sim.store.Jobs() {
				accepted++
				givenUp += boolToInt(sim.expectDone(seed, j))
			}
		}
		Expect(givenUp).To(BeNumerically("<=", accepted/minJobsPerGivenUp))
		GinkgoWriter.Printf("%d jobs, %d waits\n", accepted, begun)
		Expect(begun).To(BeNumerically(">", accepted/10), "tasks wait for places")
	})
})
