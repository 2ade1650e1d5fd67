package dispatch

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

const (
	// logCutSeedShare divides the number of seeds of the runs with a log that is cut.
	logCutSeedShare = 3
	// logCutInterval is the time between two entries of the log. It makes commands queue, so
	// that a leader often ends between two of them.
	logCutInterval = 4 * time.Millisecond
)

// mixedSpec returns a random job of steps that depend on each other, some of them gangs or with
// checkpoints, and some jobs with occurrences.
func (sim *simulation) mixedSpec() jobs.Spec {
	spec := sim.randomSpec()
	for s := range spec.Steps {
		step := &spec.Steps[s]
		switch sim.rng.IntN(4) {
		case 0:
			step.Gang, step.MaxPerWorker, step.Count = true, 0, min(step.Count, 4)
		case 1:
			step.Checkpointed = true
		}
	}
	if sim.rng.IntN(5) == 0 {
		spec.Occurrences, spec.FirstStart, spec.Period = 2, sim.unix()+1000, 500
	}
	return spec
}

var _ = Describe("A log that is cut after any decision", func() {
	// Guards against work that the next leader never finishes, runs twice or shows wrongly,
	// since its leader ended between two commands of the log.
	It("leaves the next leader all that it needs", func() {
		first, count := seeds()
		for i := range max(1, count/logCutSeedShare) {
			seed := first + uint64(i) //nolint:gosec // small
			sim := newSimulation(seed)
			sim.entries = &simEntries{size: 1, interval: logCutInterval}
			sim.inheritProposals = true
			for range 4 + sim.rng.IntN(3) {
				sim.addWorker(jobs.Resources{MilliCPU: 6000, MemoryMB: 1000}, sim.rng.IntN(2) == 0)
			}
			sim.startLeader()
			for at := 2 * time.Second; at < faultsEnd; at += 700 * time.Millisecond {
				sim.schedule(at, func() {
					sim.submit(fmt.Sprintf("job-%v", at), sim.mixedSpec())
					// Bindings follow within some milliseconds.
					if sim.rng.IntN(3) == 0 {
						sim.schedule(time.Duration(sim.rng.Int64N(int64(200*time.Millisecond))), func() { sim.startLeader() })
					}
				})
			}
			sim.runUntil(simulationEnd)
			Expect(sim.violations).To(BeEmpty(), "seed %d", seed)
			for _, j := range sim.store.Jobs() {
				Expect(j.State).To(Equal(jobs.Done), "seed %d: job %s", seed, j.ID)
			}
		}
	})
})
