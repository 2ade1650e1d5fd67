package dispatch

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

// callersSimulation returns a simulation with queues of the given names, each in a
// workspace of its own, whose jobs have an objective of 1.5 times their duration plus
// 250 ms.
func callersSimulation(seed uint64, fair *FairShares, queues ...string) *simulation {
	sim := newSimulation(seed)
	sim.fairShares = fair
	config := jobs.Config{Version: 2}
	for _, name := range queues {
		config.Queues = append(config.Queues, jobs.Queue{
			Name: name, Host: name + ".test", Service: "s", MaxAttempts: 1000, Stretch: 1.5, LatencyObjective: 250,
		})
	}
	sim.store.Apply(jobs.Command{Configure: &jobs.Configure{Config: config}})
	return sim
}

func (sim *simulation) submitFor(queue, id string, spec jobs.Spec) {
	sim.store.Apply(jobs.Command{Submit: &jobs.Submit{ID: id, Queue: queue, Spec: spec, At: sim.unix()}})
}

func (sim *simulation) cancelJob(id string) {
	sim.store.Apply(jobs.Command{Cancel: &jobs.Cancel{ID: id, At: sim.unix()}})
}

// shortSpec returns a job of tasks that end after the given time.
func shortSpec(count int, request jobs.Resources, estimate time.Duration) jobs.Spec {
	return jobs.Spec{Steps: []jobs.Step{{Count: count, Request: request, EstimateMS: estimate.Milliseconds()}}}
}

// inTime returns the share of the jobs of a queue accepted in an interval that met their
// objective.
func (sim *simulation) inTime(queue string, from, until time.Duration) float64 {
	all, met := 0, 0
	for _, j := range sim.store.Jobs() {
		accepted := time.Duration(j.AcceptedAt-unixStart) * time.Millisecond
		if j.Queue != queue || accepted < from || accepted >= until {
			continue
		}
		all++
		objective := 1.5*float64(j.Spec.Steps[0].EstimateMS) + 250
		met += boolToInt(j.State == jobs.Done && float64(j.EndedAt-j.AcceptedAt) <= objective)
	}
	return float64(met) / float64(max(1, all))
}

const (
	lossAt      = 10 * time.Second
	afterLoss   = 25 * time.Second
	lastingStep = 200 * time.Millisecond
)

// lossSimulation returns a fleet that is nearly full of long-running tasks and loses a quarter
// of its workers, with urgent jobs of another queue. Long-running jobs are cancelled and
// replaced at a steady rate.
func lossSimulation(seed uint64, fair *FairShares) *simulation {
	sim := callersSimulation(seed, fair, "lasting", "urgent")
	for range 20 {
		sim.addWorker(jobs.Resources{MilliCPU: 64_000, MemoryMB: 250_000}, true)
	}
	sim.startLeader()
	lasting := func(id int) jobs.Spec {
		spec := shortSpec(1, jobs.Resources{MilliCPU: 9000 + int64(id%9)*1000, MemoryMB: 10_000}, 0)
		spec.Steps[0].LongRunning = true
		return spec
	}
	for i := range 300 {
		id := fmt.Sprintf("lasting-%03d", i)
		at := 2*time.Second + max(0, time.Duration(i-92)*lastingStep)
		sim.schedule(at, func() { sim.submitFor("lasting", id, lasting(i)) })
		sim.schedule(8*time.Second+time.Duration(i)*lastingStep, func() { sim.cancelJob(id) })
	}
	for at := 5 * time.Second; at < afterLoss; at += 30 * time.Millisecond {
		sim.schedule(at, func() {
			sim.submitFor("urgent", fmt.Sprintf("urgent-%v", at), shortSpec(1, jobs.Resources{MilliCPU: 8000, MemoryMB: 1000}, 500*time.Millisecond))
		})
	}
	sim.schedule(lossAt, func() {
		for _, t := range sim.workers[:5] {
			t.crash(time.Hour)
		}
	})
	return sim
}

var _ = Describe("Fair shares", func() {
	// Guards against urgent work that waits behind the restarts of a queue that holds nearly
	// all of the fleet.
	It("binds urgent jobs before restarts of a queue above its share", func() {
		before, after := 0.0, 0.0
		for seed := range uint64(4) {
			for _, fair := range []*FairShares{nil, {}} {
				sim := lossSimulation(seed, fair)
				sim.runUntil(afterLoss + 5*time.Second)
				Expect(sim.violations).To(BeEmpty())
				met := sim.inTime("urgent", lossAt, afterLoss) / 4
				if fair == nil {
					before += met
				} else {
					after += met
				}
			}
		}
		GinkgoWriter.Println("urgent in time without shares", before, "with shares", after)
		Expect(after).To(BeNumerically(">", 0.8))
		Expect(before).To(BeNumerically("<", 0.75), "without shares the load shows the failure")
	})
})
