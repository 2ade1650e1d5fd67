package dispatch

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

// colocationSim simulates serving tasks with a periodic load beside fillers. Each serving
// task is a single-server queue whose service time increases with the fillers beside it.
type colocationSim struct {
	*simulation
	trueEffects map[imagePair]float64
	loadPhases  map[string]float64
	// samples counts the sampled tail latencies of serving tasks, overObjective those above
	// the objective.
	overObjective, samples int
}

const (
	baseLatency   = 10.0 // milliseconds
	tailObjective = 45   // milliseconds
	loadPeriod    = 12.0 // seconds
)

func newColocationSim(seed uint64, workers int) *colocationSim {
	c := &colocationSim{simulation: newSimulation(seed), trueEffects: map[imagePair]float64{}, loadPhases: map[string]float64{}}
	for range workers {
		t := c.addWorker(jobs.Resources{MilliCPU: 32_000, MemoryMB: 128_000}, true)
		t.usage = func(key jobs.TaskKey) float64 { return c.usage(t, key) }
	}
	// One half of the fillers disturbs one half of the serving images, the other half
	// disturbs the others.
	for s := range 4 {
		for f := range 6 {
			if s%2 == f%2 {
				c.trueEffects[imagePair{fmt.Sprint("s", s), fmt.Sprint("f", f)}] = 0.04 + 0.08*c.rng.Float64()
			}
		}
	}
	return c
}

func (c *colocationSim) step(key jobs.TaskKey) *jobs.Step { return c.store.Job(key.Job).Step(key) }

// usage returns the usage that a worker reports for a task.
func (c *colocationSim) usage(t *simWorker, key jobs.TaskKey) float64 {
	step := c.step(key)
	if step.LatencyTargetMS == 0 {
		if t.running[key].paused {
			return 0
		}
		return float64(step.Request.MilliCPU)
	}
	return c.tail(t, key)
}

// tail returns the tail latency of a serving task in milliseconds.
func (c *colocationSim) tail(t *simWorker, key jobs.TaskKey) float64 {
	slowdown := 1.0
	for other, run := range t.running {
		if step := c.step(other); step.Filler && !run.paused {
			slowdown += c.trueEffects[imagePair{c.step(key).Image, step.Image}] * float64(step.Request.MilliCPU) / milliCPUPerCore
		}
	}
	load := 0.42 + 0.25*math.Sin(2*math.Pi*(c.loadPhases[key.Job]+c.now.Seconds()/loadPeriod))
	return math.Round(baseLatency * slowdown / max(0.02, 1-load*slowdown))
}

// sampleTails samples the tail latencies of all serving tasks every 100 ms.
func (c *colocationSim) sampleTails() {
	c.schedule(100*time.Millisecond, c.sampleTails)
	for _, t := range c.workers {
		for key := range t.running {
			if c.step(key).LatencyTargetMS > 0 {
				c.samples++
				c.overObjective += boolToInt(c.tail(t, key) > tailObjective)
			}
		}
	}
}

var _ = Describe("Pauses beside serving tasks", func() {
	// Guards against applying effects that were learned at a low load near saturation, and
	// against pausing fillers only after the tail latency is already too high.
	It("keep the tail latency below its objective under a changing load, and let fillers run", func() {
		for seed := range uint64(3) {
			c := newColocationSim(seed, 20)
			c.startLeader()
			c.runUntil(2 * time.Second)
			for i := range 20 {
				id := fmt.Sprintf("serves-%02d", i)
				c.loadPhases[id] = c.rng.Float64()
				c.submit(id, jobs.Spec{Steps: []jobs.Step{{
					Count: 4, LongRunning: true, LatencyTargetMS: tailObjective, Image: fmt.Sprint("s", i%4),
					Request: jobs.Resources{MilliCPU: 6000, MemoryMB: 13_000},
				}}})
			}
			for i := range 240 {
				c.schedule(2*time.Second+time.Duration(i)*100*time.Millisecond, func() {
					c.submit(fmt.Sprintf("fills-%03d", i), jobs.Spec{Steps: []jobs.Step{{
						Count: 5, Filler: true, Image: fmt.Sprint("f", c.rng.IntN(6)), EstimateMS: 2000,
						Request: jobs.Resources{MilliCPU: 3500, MemoryMB: 6000},
					}}})
				})
			}
			c.runUntil(12 * time.Second)
			c.sampleTails()
			c.runUntil(30 * time.Second)
			Expect(c.violations).To(BeEmpty())
			Expect(float64(c.overObjective)/float64(c.samples)).To(BeNumerically("<", 0.02), "seed %d, %d samples", seed, c.samples)
			done := 0
			for _, j := range c.store.Jobs() {
				done += boolToInt(j.State == jobs.Done)
			}
			Expect(done).To(BeNumerically(">=", 216), "at least nine of ten fillers done, seed %d", seed)
		}
	})
})

var _ = Describe("The choice of fillers to pause", func() {
	// Guards against a disturbing filler that keeps running because a larger one with a
	// small effect per core precedes it in the order.
	It("skips a large filler with a small effect", func() {
		sim := newSimulation(1)
		sim.addWorker(jobs.Resources{MilliCPU: 32_000, MemoryMB: 1000}, true)
		d := sim.startLeader()
		sim.runUntil(2 * time.Second)
		d.model.Suppose("s", "large", disturbingEffect/2)
		d.model.Suppose("s", "small", 2*disturbingEffect)
		w := d.workers[sim.workers[0].id]
		addStarted := func(id string, step jobs.Step) *attempt {
			a := &attempt{task: jobs.TaskKey{Job: id}, worker: w, step: &step, phase: phaseStarted, percent: 100, appliedPace: fullPace, targetPace: fullPace}
			w.attempts[a.task] = a
			return a
		}
		serving := addStarted("s", jobs.Step{Image: "s", LatencyTargetMS: 45, LongRunning: true})
		large := addStarted("large", jobs.Step{Image: "large", Filler: true, Request: jobs.Resources{MilliCPU: 10_000}})
		small := addStarted("small", jobs.Step{Image: "small", Filler: true, Request: jobs.Resources{MilliCPU: 2000}})
		Expect(d.pauseByEffect(w, serving, 0.1, disturbingEffect)).To(BeTrue())
		Expect(large.targetPace).To(Equal(fullPace))
		Expect(small.targetPace).To(Equal(0))
	})
})
