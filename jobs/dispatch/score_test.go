package dispatch

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

// plainProfiles compares an image with each serving image on a worker, and these with each
// other.
func (d *Dispatcher) plainProfiles(c *candidate, image string) (dissimilar, mixed bool) {
	similar := func(x, y string) bool { return x == y || d.compareInterference(x, y) }
	for _, served := range d.headroomOf(c) {
		dissimilar = dissimilar || !similar(served.image, image)
		for _, other := range d.headroomOf(c) {
			mixed = mixed || !similar(served.image, other.image)
		}
	}
	return dissimilar, mixed
}

var _ = Describe("The profiles of serving tasks", func() {
	// Guards against profiles that are kept while tasks are added or the model learns.
	It("are those of the tasks on the worker in this plan", func() {
		counts := map[string]int{}
		for seed := range uint64(100) {
			sim := newSimulation(seed)
			d := sim.startLeader()
			for f := range 6 {
				d.fillerImages[fmt.Sprint("f", f)] = true
			}
			candidates := randomCandidates(d, sim.rng, 5)
			for range 40 {
				image := fmt.Sprint("s", sim.rng.IntN(6))
				if sim.rng.IntN(4) == 0 {
					// The next plan begins.
					d.model.Suppose(image, fmt.Sprint("f", sim.rng.IntN(6)), 0.2*sim.rng.Float64())
					d.Advance(d.now+time.Second, d.unixMS)
					candidates = d.candidates()
				}
				if len(candidates) == 0 {
					break
				}
				c := candidates[sim.rng.IntN(len(candidates))]
				dissimilar, mixed := d.compareProfiles(c, image)
				plainDissimilar, plainMixed := d.plainProfiles(c, image)
				Expect([]bool{dissimilar, mixed}).To(Equal([]bool{plainDissimilar, plainMixed}), "seed %d", seed)
				counts[fmt.Sprint(dissimilar, mixed)]++
				if sim.rng.IntN(2) == 0 {
					d.addTask(c, &jobs.Step{Image: image, LatencyTargetMS: 18, LongRunning: true})
				}
			}
		}
		Expect(counts).To(HaveLen(4))
	})
})
