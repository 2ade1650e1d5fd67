package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

// plainCandidate computes the state of a worker from all of its attempts, with the headroom
// of each serving image.
func (d *Dispatcher) plainCandidate(w *worker) (candidate, map[string]float64) {
	c := candidate{worker: w, capacity: w.Capacity, free: w.Capacity, idleMilliCPU: float64(w.Capacity.MilliCPU)}
	for _, u := range w.unexpected {
		c.free = c.free.Sub(u.reserved)
	}
	c.freeAfterShort = c.free
	c.tasks = len(w.attempts) + len(w.unexpected)
	headroom := map[string]float64{}
	for _, a := range w.attempts {
		c.free = c.free.Sub(a.reserved)
		if a.step.LongRunning {
			c.freeAfterShort = c.freeAfterShort.Sub(a.reserved)
		} else {
			c.shortMilliCPU += a.reserved.MilliCPU
		}
		c.pendingStarts += boolToInt(a.phase == phaseProposed || a.phase == phaseOrdered)
		if a.isSuspect(d.now) {
			c.suspects++
			c.isolated = c.isolated || a.suspicion >= isolateSuspicion && !a.step.Gang
		}
		share := 1.0
		if a.step.LatencyTargetMS > 0 {
			share = servingCPUShare
			c.servingTasks++
			bearable := d.tolerableSlowdown(a, goalTailRatio, placementLookahead) - 1
			if lowest, known := headroom[a.step.Image]; !known || bearable < lowest {
				headroom[a.step.Image] = bearable
			}
		}
		c.idleMilliCPU -= share * float64(a.step.Request.MilliCPU)
	}
	for image := range headroom {
		for _, a := range w.attempts {
			if a.step.Filler {
				headroom[image] -= d.effect(image, a.step.Image) * a.declaredCores()
			}
		}
	}
	return c, headroom
}

// plainLoad computes the load of a worker from all of its attempts.
func (w *worker) plainLoad() load {
	l := load{attempts: len(w.attempts)}
	for _, a := range w.attempts {
		l.reserved = l.reserved.Add(a.reserved)
		l.pendingStarts += boolToInt(a.phase == phaseProposed || a.phase == phaseOrdered)
		if a.step.LongRunning {
			l.longRunning++
			l.lasting = l.lasting.Add(a.reserved)
		}
		l.serving += boolToInt(a.step.LatencyTargetMS > 0)
		if a.suspicion > 0 {
			l.suspects = append(l.suspects, a)
		}
	}
	return l
}

// checkLoads checks that the load that a leader keeps for each worker is that of its
// attempts.
func (sim *simulation) checkLoads(d *Dispatcher) {
	if len(d.workersByID()) != len(d.workers) {
		sim.violation("the list has %d of %d workers", len(d.workersByID()), len(d.workers))
	}
	for _, w := range d.workersByID() {
		if d.workers[w.Worker] != w {
			sim.violation("the list has an earlier incarnation of %s", w.Worker)
		}
		if w.load.outdated || w.load.attempts != len(w.attempts) {
			continue
		}
		if plain := w.plainLoad(); !w.load.sameTotals(&plain) {
			sim.violation("the load of %s is %+v in place of %+v", w.Worker, w.load, plain)
		}
	}
}

// sameTotals reports whether two loads agree in all but the images.
func (l *load) sameTotals(o *load) bool {
	for _, a := range l.suspects {
		if !slices.Contains(o.suspects, a) {
			return false
		}
	}
	return l.attempts == o.attempts && l.reserved == o.reserved && l.lasting == o.lasting && l.pendingStarts == o.pendingStarts &&
		l.longRunning == o.longRunning && l.serving == o.serving && len(l.suspects) == len(o.suspects)
}

// randomAttempt returns an attempt with a random step, phase and suspicion.
func (d *Dispatcher) randomAttempt(rng *rand.Rand, index int) *attempt {
	step := &jobs.Step{MaxPerWorker: 20, Request: jobs.Resources{MilliCPU: rng.Int64N(7000), MemoryMB: rng.Int64N(9000)}}
	switch rng.IntN(3) {
	case 0:
		step.LongRunning, step.LatencyTargetMS, step.Image = true, 18, fmt.Sprint("s", rng.IntN(4))
	case 1:
		step.Filler, step.Image = true, fmt.Sprint("f", rng.IntN(6))
	}
	t := &jobs.Task{Key: jobs.TaskKey{Job: fmt.Sprint("job-", rng.IntN(5)), Index: index}, Crashes: rng.IntN(12) / 9}
	return d.newAttempt(t, step, 1, phase(rng.IntN(int(phaseVoid)+1)))
}

// changeRandomly adds, removes or changes an attempt of a worker.
func (w *worker) changeRandomly(d *Dispatcher, rng *rand.Rand, index int) {
	if len(w.attempts) == 0 || rng.IntN(3) > 0 {
		w.addAttempt(d.randomAttempt(rng, index))
		return
	}
	for _, a := range w.attempts {
		if rng.IntN(2) == 0 {
			w.removeAttempt(a)
		} else {
			a.setPhase(phase(rng.IntN(int(phaseVoid)+1)), d.now)
		}
		return
	}
}

var _ = Describe("The state of a worker in a plan", func() {
	// Guards against a kept load that differs from that of the attempts.
	It("is the one that all attempts on it add up to", func() {
		for seed := range uint64(200) {
			sim := newSimulation(seed)
			sim.addWorker(jobs.Resources{MilliCPU: 32_000, MemoryMB: 128_000}, true)
			d := sim.startLeader()
			sim.runUntil(2 * time.Second)
			for s := range 4 {
				for f := range 6 {
					d.model.Suppose(fmt.Sprint("s", s), fmt.Sprint("f", f), 0.2*sim.rng.Float64())
				}
			}
			w := d.workers[sim.workers[0].id]
			w.unexpected[attemptKey{}] = &unexpectedAttempt{reserved: jobs.Resources{MilliCPU: sim.rng.Int64N(900)}}
			for i := range 40 {
				w.changeRandomly(d, sim.rng, i)
				d.Advance(d.now+time.Duration(sim.rng.Int64N(int64(2*time.Second))), d.unixMS)
				kept := d.newCandidate(w)
				plain, headroom := d.plainCandidate(w)
				Expect(d.headroomOf(&kept)).To(HaveLen(len(headroom)))
				for _, h := range kept.headroom {
					Expect(h.value).To(BeNumerically("~", headroom[h.image], 1e-9), "seed %d, step %d, %s", seed, i, h.image)
				}
				kept.headroom, kept.headroomKnown = nil, false
				Expect(kept).To(Equal(plain), "seed %d, step %d", seed, i)
			}
		}
	})
})
