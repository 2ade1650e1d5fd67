package dispatch

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

// crowd plays serving tasks whose load swings beside fillers. Each serving task is a
// queue with one server whose work the fillers beside it make longer.
type crowd struct {
	*world
	effects map[imagePair]float64
	phases  map[string]float64
	// high and served count the looks at serving tasks above their objective and at all.
	high, served int
}

const (
	crowdBase   = 10.0 // milliseconds
	crowdTarget = 45   // milliseconds
	crowdSwing  = 12.0 // seconds
)

func newCrowd(seed uint64, workers int) *crowd {
	c := &crowd{world: newWorld(seed), effects: map[imagePair]float64{}, phases: map[string]float64{}}
	for range workers {
		t := c.addWorker(jobs.Resources{MilliCPU: 32_000, MemoryMB: 128_000}, true)
		t.usage = func(key jobs.TaskKey) float64 { return c.usage(t, key) }
	}
	// Half of the fillers disturb one half of the serving images, the others the other.
	for s := range 4 {
		for f := range 6 {
			if s%2 == f%2 {
				c.effects[imagePair{fmt.Sprint("s", s), fmt.Sprint("f", f)}] = 0.04 + 0.08*c.random.Float64()
			}
		}
	}
	return c
}

func (c *crowd) step(key jobs.TaskKey) *jobs.Step { return c.store.Job(key.Job).Step(key) }

// usage is what a task reports.
func (c *crowd) usage(t *testWorker, key jobs.TaskKey) float64 {
	step := c.step(key)
	if step.TailTarget == 0 {
		if t.running[key].paused {
			return 0
		}
		return float64(step.Request.MilliCPU)
	}
	return c.tail(t, key)
}

// tail is the tail latency of a serving task in milliseconds.
func (c *crowd) tail(t *testWorker, key jobs.TaskKey) float64 {
	slowdown := 1.0
	for other, run := range t.running {
		if step := c.step(other); step.Filler && !run.paused {
			slowdown += c.effects[imagePair{c.step(key).Image, step.Image}] * float64(step.Request.MilliCPU) / milliCPUPerCore
		}
	}
	load := 0.42 + 0.25*math.Sin(2*math.Pi*(c.phases[key.Job]+c.now.Seconds()/crowdSwing))
	return math.Round(crowdBase * slowdown / max(0.02, 1-load*slowdown))
}

// look counts the serving tasks above their objective, every 100 ms.
func (c *crowd) look() {
	c.after(100*time.Millisecond, c.look)
	for _, t := range c.workers {
		for key := range t.running {
			if c.step(key).TailTarget > 0 {
				c.served++
				c.high += boolToInt(c.tail(t, key) > crowdTarget)
			}
		}
	}
}

var _ = Describe("Pauses beside serving tasks", func() {
	// Guards against effects that are learned at a low load and taken for the same near
	// saturation, and against pauses that come only when the tail is high already.
	It("keep the tail below its objective while the load swings, and let fillers work", func() {
		for seed := range uint64(3) {
			c := newCrowd(seed, 20)
			c.lead()
			c.run(2 * time.Second)
			for i := range 20 {
				id := fmt.Sprintf("serves-%02d", i)
				c.phases[id] = c.random.Float64()
				c.submit(id, jobs.Spec{Steps: []jobs.Step{{
					Count: 4, LongRunning: true, TailTarget: crowdTarget, Image: fmt.Sprint("s", i%4),
					Request: jobs.Resources{MilliCPU: 6000, MemoryMB: 13_000},
				}}})
			}
			for i := range 240 {
				c.after(2*time.Second+time.Duration(i)*100*time.Millisecond, func() {
					c.submit(fmt.Sprintf("fills-%03d", i), jobs.Spec{Steps: []jobs.Step{{
						Count: 5, Filler: true, Image: fmt.Sprint("f", c.random.IntN(6)), Estimate: 2000,
						Request: jobs.Resources{MilliCPU: 3500, MemoryMB: 6000},
					}}})
				})
			}
			c.run(12 * time.Second)
			c.look()
			c.run(30 * time.Second)
			Expect(c.failures).To(BeEmpty())
			Expect(float64(c.high)/float64(c.served)).To(BeNumerically("<", 0.02), "seed %d, %d looks", seed, c.served)
			done := 0
			for _, j := range c.store.Jobs() {
				done += boolToInt(j.State == jobs.Done)
			}
			Expect(done).To(BeNumerically(">=", 216), "nine of ten fillers, seed %d", seed)
		}
	})
})

var _ = Describe("The choice of fillers to pause", func() {
	// Guards against a disturbing filler that goes on because a larger one with a
	// small effect by the core comes before it.
	It("passes over a large filler with a small effect", func() {
		w := newWorld(1)
		w.addWorker(jobs.Resources{MilliCPU: 32_000, MemoryMB: 1000}, true)
		d := w.lead()
		w.run(2 * time.Second)
		d.model.Suppose("s", "large", disturbingEffect/2)
		d.model.Suppose("s", "small", 2*disturbingEffect)
		on := d.workers[w.workers[0].id]
		started := func(id string, step jobs.Step) *attempt {
			a := &attempt{task: jobs.TaskKey{Job: id}, worker: on, step: &step, phase: phaseStarted, percent: 100, appliedPace: fullPace, targetPace: fullPace}
			on.attempts[a.task] = a
			return a
		}
		serving := started("s", jobs.Step{Image: "s", TailTarget: 45, LongRunning: true})
		large := started("large", jobs.Step{Image: "large", Filler: true, Request: jobs.Resources{MilliCPU: 10_000}})
		small := started("small", jobs.Step{Image: "small", Filler: true, Request: jobs.Resources{MilliCPU: 2000}})
		Expect(d.pauseByEffect(on, serving, 0.1, disturbingEffect)).To(BeTrue())
		Expect(large.targetPace).To(Equal(fullPace))
		Expect(small.targetPace).To(Equal(0))
	})
})
