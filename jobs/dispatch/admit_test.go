package dispatch

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

// offered counts the jobs of a load that were offered and refused.
type offered struct{ jobs, refused int }

// offerSimulation offers a steady number of jobs per second to ten workers that can do 40.
// Refused jobs don't return.
func offerSimulation(seed uint64, admission bool, perSecond int) (*simulation, *offered) {
	sim := callersSimulation(seed, &FairShares{}, "a", "b")
	sim.admission = admission
	for range 10 {
		sim.addWorker(jobs.Resources{MilliCPU: 16_000, MemoryMB: 100_000}, true)
	}
	sim.startLeader()
	count := &offered{}
	spec := shortSpec(4, jobs.Resources{MilliCPU: 2000, MemoryMB: 100}, 500*time.Millisecond)
	for i := range 20 * perSecond {
		sim.schedule(3*time.Second+time.Duration(i)*time.Second/time.Duration(perSecond), func() {
			d := sim.current()
			d.Advance(sim.now, sim.unix())
			count.jobs++
			queue := []string{"a", "b"}[i%2]
			if !d.Admit(d.store.Config().Queue(queue), &spec).Admitted {
				count.refused++
				return
			}
			sim.submitFor(queue, fmt.Sprintf("%s-%05d", queue, i), spec)
		})
	}
	return sim, count
}

// worthless counts the accepted jobs that did not end before their result was worthless.
func (sim *simulation) worthless() int {
	count := 0
	for _, j := range sim.store.Jobs() {
		window := int64(expiryFactor * (1.5*float64(j.Spec.Steps[0].EstimateMS) + 250))
		count += boolToInt(j.State != jobs.Done || j.EndedAt-j.AcceptedAt > window)
	}
	return count
}

var _ = Describe("Admission", func() {
	// Guards against refusals on a fleet with room, also in a burst after a pause, and by a
	// leader that has just taken over.
	It("refuses nothing on a fleet with room", func() {
		sim, count := offerSimulation(3, true, 28)
		sim.runUntil(12 * time.Second)
		sim.startLeader()
		sim.runUntil(26 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(count.jobs).To(Equal(560))
		Expect(count.refused).To(BeZero())
		Expect(sim.worthless()).To(BeZero())
	})

	// Guards against work that is accepted although it can't be done, and against refusals of
	// more than that.
	It("refuses what the fleet can't do in time", func() {
		run := func(admission bool) (worthless int, inTime float64, count *offered) {
			sim, count := offerSimulation(3, admission, 120)
			sim.runUntil(27 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			done := 0
			for _, j := range sim.store.Jobs() {
				done += boolToInt(j.State == jobs.Done)
			}
			return sim.worthless(), float64(done), count
		}
		before, doneBefore, _ := run(false)
		after, doneAfter, count := run(true)
		GinkgoWriter.Println("worthless", before, after, "done", doneBefore, doneAfter, "refused", count.refused, "of", count.jobs)
		Expect(before).To(BeNumerically(">", 1000), "without admission the load shows the failure")
		Expect(after).To(BeNumerically("<", before/4))
		Expect(doneAfter).To(BeNumerically(">", 0.9*doneBefore), "no capacity stays unused")
	})
})
