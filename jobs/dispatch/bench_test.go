package dispatch

import (
	"fmt"
	"testing"
	"time"

	"geraniumwall/jobs"
)

// BenchmarkPlan measures a plan for fleets of several sizes, where fillers wait for a
// worker on which they disturb no serving task. The minimum time between two plans is
// planDelayPerWorker for each worker.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{50, 350, 500, 1100, 2000} {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) { benchmarkPlan(b, workers) })
	}
}

func benchmarkPlan(b *testing.B, workers int) {
	const serving, waiting = 5, 40
	sim := newSimulation(1)
	for i := range workers * 94 / 100 {
		sim.submit(fmt.Sprintf("serve-%d", i), jobs.Spec{Steps: []jobs.Step{{
			Count: serving, LongRunning: true, LatencyTargetMS: 18, Image: fmt.Sprint("s", i%5), Request: jobs.Resources{MilliCPU: 6000, MemoryMB: 13000},
		}}})
	}
	d := New(Options{WorkerLease: testLease, HeartbeatInterval: testHeartbeatInterval, PreviousLeaderLease: testPreviousLeaderLease}, sim.store, 1, 0, sim.unix())
	apply := func() {
		for {
			commands, _, _ := d.TakeOutput()
			if len(commands) == 0 {
				return
			}
			for _, c := range commands {
				c.OnResult(sim.store.Apply(c.Command), true)
			}
		}
	}
	for i := range workers {
		d.HandleHeartbeat(Heartbeat{
			Worker: fmt.Sprint("w", i), Service: "s", Capacity: jobs.Resources{MilliCPU: 32000, MemoryMB: 128000}, ClockMS: 1, StartedAtMS: 1, Sequence: 1})
		d.workers[fmt.Sprint("w", i)].fenceConfirmed = true
	}
	d.Advance(time.Second, sim.unix()+1000)
	d.Tick()
	apply()
	for s := range 5 {
		d.model.Suppose(fmt.Sprint("s", s), "f", 0.5)
	}
	for i := range waiting {
		sim.submit(fmt.Sprintf("fill-%d", i), jobs.Spec{Steps: []jobs.Step{{
			Count: 20, Filler: true, Image: "f", EstimateMS: 1700, Request: jobs.Resources{MilliCPU: 3500, MemoryMB: 6000},
		}}})
	}
	b.ResetTimer()
	for range b.N {
		d.planner.dirty, d.planner.nextPlanAt = true, 0
		d.Plan()
	}
	b.StopTimer()
	d.TakeOutput()
}

// BenchmarkBusyFleet measures the parts of a plan and of a tick that examine every worker,
// on a fleet where each worker runs serving tasks and fillers.
func BenchmarkBusyFleet(b *testing.B) {
	d := busyFleet(1100)
	b.Run("candidates", func(b *testing.B) {
		for range b.N {
			clear(d.effectCache)
			d.candidates()
		}
	})
	b.Run("sweep", func(b *testing.B) {
		for range b.N {
			for _, w := range d.workers {
				d.stopUnneeded(w)
			}
		}
	})
}

// busyFleet returns a leader whose workers run four serving tasks and seven fillers each.
func busyFleet(workers int) *Dispatcher {
	sim := newSimulation(1)
	for range workers {
		sim.addWorker(jobs.Resources{MilliCPU: 32_000, MemoryMB: 125_000}, true)
	}
	d := sim.startLeader()
	sim.runUntil(2 * time.Second)
	for i := range workers / 6 {
		sim.submit(fmt.Sprintf("serve-%d", i), jobs.Spec{Steps: []jobs.Step{{
			Count: 24, LongRunning: true, LatencyTargetMS: 18, Image: fmt.Sprint("s", i%16), Request: jobs.Resources{MilliCPU: 6000, MemoryMB: 13_000},
		}}})
	}
	sim.runUntil(4 * time.Second)
	for i := range workers * 7 / 40 {
		sim.submit(fmt.Sprintf("fill-%d", i), jobs.Spec{Steps: []jobs.Step{{
			Count: 40, Filler: true, Image: fmt.Sprint("f", i%30), EstimateMS: 60_000, Request: jobs.Resources{MilliCPU: 2000, MemoryMB: 5000},
		}}})
	}
	sim.runUntil(8 * time.Second)
	return d
}

// BenchmarkPreempt measures a plan in which urgent tasks look for room on a fleet that is
// full of work of a lower priority.
func BenchmarkPreempt(b *testing.B) {
	const workers = 1100
	l := newBatchLoad(1, workers, 0)
	l.runUntil(batchStart + 4*time.Second)
	d := l.current()
	for i := range 10 {
		l.submitUrgent(fmt.Sprint("urgent-", i), jobs.Spec{Steps: []jobs.Step{{
			Count: 13, Request: jobs.Resources{MilliCPU: 6400, MemoryMB: 10}, EstimateMS: 600,
		}}})
	}
	d.refreshWaiting()
	candidates := d.candidates()
	ranked := d.rankedJobs()
	b.Logf("%d jobs wait", len(ranked))
	b.ResetTimer()
	for range b.N {
		p := &d.planner.preemptor
		for _, cl := range p.claims {
			for _, a := range cl.sources {
				a.yields, a.stopping = false, false
			}
		}
		for _, c := range candidates {
			c.claims, c.claimed = nil, jobs.Resources{}
		}
		p.init()
		p.claims, p.tokens = nil, 1000
		search := newRoomSearch(d, candidates)
		for _, wj := range ranked {
			d.preemptFor(wj, search)
		}
	}
	b.StopTimer()
	b.Logf("%+v", d.activity.preemptions)
	d.TakeOutput()
}
