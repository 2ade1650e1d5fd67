package dispatch

import (
	"fmt"
	"testing"
	"time"

	"geraniumwall/jobs"
)

// BenchmarkPlaces measures a plan in which tasks wait for full racks, and the same plan of a
// leader whose tasks have no preferred place. No task is bound: the decision is made for each
// of them, and all of them go on waiting.
func BenchmarkPlaces(b *testing.B) {
	for _, workers := range []int{350, 3000} {
		for _, c := range []struct {
			name               string
			near, gangs, tasks int
		}{{"without", 0, 0, 0}, {"hot", 1, 0, 40}, {"everywhere", 200, 0, 40}, {"gangs", 0, 20, 10}} {
			b.Run(fmt.Sprintf("workers=%d/%s", workers, c.name), func(b *testing.B) { benchmarkPlaces(b, workers, c.near, c.gangs, c.tasks) })
		}
	}
}

// benchmarkPlaces plans with every rack full of tasks but the last one. near jobs have data on
// one rack each. gangs jobs fit in no rack, since each rack has room for 8 tasks only.
func benchmarkPlaces(b *testing.B, workers, near, gangs, tasks int) {
	const perRack = 12
	sim := newSimulation(1)
	d := New(Options{WorkerLease: testLease, HeartbeatInterval: time.Hour, PreviousLeaderLease: testPreviousLeaderLease, RemoteSlowdown: 2}, sim.store, 1, 0, sim.unix())
	commit := func() {
		commands, _, _ := d.TakeOutput()
		for _, c := range commands {
			c.OnResult(sim.store.Apply(c.Command), true)
		}
	}
	busy := perRack - boolToInt(gangs > 0)
	racks := (workers + perRack - 1) / perRack
	for i := range workers {
		w := fmt.Sprintf("w%04d", i)
		d.HandleHeartbeat(Heartbeat{Worker: w, Service: "s", Capacity: jobs.Resources{MilliCPU: 64_000, MemoryMB: 250_000},
			Labels: []string{"general", fmt.Sprint("r", i/perRack)}, ClockMS: 1, StartedAtMS: 1, Sequence: 1})
		d.workers[w].fenceConfirmed = true
	}
	commit()
	for r := range racks - boolToInt(gangs == 0) {
		sim.submitTo("q", fmt.Sprint("full-", r), jobs.Step{Count: 8 * busy, RequiredLabel: fmt.Sprint("r", r),
			Request: jobs.Resources{MilliCPU: 8000, MemoryMB: 1000}, EstimateMS: 2000})
	}
	for i := range 12 {
		d.Advance(time.Duration(i+1)*500*time.Millisecond, sim.unix())
		d.planner.dirty, d.planner.nextPlanAt = true, 0
		d.Plan()
		commit()
	}
	for _, w := range d.workers {
		for _, a := range w.attempts {
			a.startedAt, a.phase = d.now, phaseStarted
		}
		w.load.outdated = true
	}
	for i := range near {
		sim.submitTo("q", fmt.Sprint("near-", i), jobs.Step{Count: tasks, DataRack: fmt.Sprint("r", i%(racks-1)),
			Request: jobs.Resources{MilliCPU: 8000, MemoryMB: 1000}, EstimateMS: 100_000})
	}
	for i := range gangs {
		sim.submitTo("q", fmt.Sprint("gang-", i), jobs.Step{Count: tasks, Gang: true, SameRack: true,
			Request: jobs.Resources{MilliCPU: 8000, MemoryMB: 1000}, EstimateMS: 100_000})
	}
	plan := func() {
		d.planner.dirty, d.planner.nextPlanAt = true, 0
		d.Plan()
	}
	d.refreshWaiting()
	b.ResetTimer()
	for range b.N {
		plan()
	}
	b.StopTimer()
	b.ReportMetric(float64(len(d.planner.places.deferred)), "waiting")
	b.ReportMetric(float64(len(d.proposedBinds)), "bound")
	d.TakeOutput()
}
