package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"geraniumwall/jobs"
	"geraniumwall/jobs/dispatch/admission"
	"geraniumwall/policy/interference"
)

// BenchmarkPlan measures a plan for fleets of several sizes, where fillers wait for a
// worker on which they disturb no serving task. The minimum time between two plans is
// planDelayPerWorker for each worker.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{50, 350, 500, 1100, 2000, 3000} {
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

const (
	// fullFleetWorkers is the size of the fleet of the benchmark of a full one.
	fullFleetWorkers = 1100
	servingImages    = 16
	fillerImageCount = 30
	// changedWorkers is the number of workers whose attempts change between two plans.
	changedWorkers = 200
)

// BenchmarkFullFleet measures what runs on a fleet without free CPU while 100 short jobs of
// two priorities and 50 long-running ones wait.
func BenchmarkFullFleet(b *testing.B) {
	d, sim := fullFleet()
	changed := slices.Sorted(maps.Keys(d.workers))[:changedWorkers]
	plan := func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			d.planner.dirty, d.planner.nextPlanAt = true, 0
			// Predictions of the model are kept for less than the time between two plans.
			d.Advance(d.now+110*time.Millisecond, sim.unix())
			d.refreshReports()
			d.changeAttempts(changed)
			d.Plan()
		}
	}
	b.Run("plan", plan)
	d.options.FairShares = &FairShares{}
	b.Run("plan with shares", plan)
	d.options.FairShares = nil
	b.Run("observation for admission", func(b *testing.B) {
		b.ReportAllocs()
		d.admission = &admissionState{controller: admission.New(d.now)}
		for range b.N {
			d.admission.observeAt = 0
			d.observeAdmission()
		}
		d.admission = nil
	})
	b.Run("candidates", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			clear(d.effectCache)
			d.candidates()
		}
	})
	b.Run("serving choice", func(b *testing.B) {
		b.ReportAllocs()
		// A task that reserves no CPU finds room on each worker.
		step := &jobs.Step{LongRunning: true, LatencyTargetMS: 18, Image: "serve3", Request: jobs.Resources{MemoryMB: 1}}
		wj, t := &waitingJob{service: "s"}, &jobs.Task{Key: jobs.TaskKey{Job: "job"}}
		d.refreshReports()
		candidates := d.candidates()
		for range b.N {
			if d.choose(wj, step, t, candidates, nil) == nil {
				b.Fatal("no worker was chosen")
			}
		}
	})
	b.Run("status", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			d.TakeStatus()
		}
	})
	b.Run("audit", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			d.auditWaiting()
			d.reportLongestWait()
			d.logEvents = nil
		}
	})
	if len(d.commands) > 0 {
		b.Fatalf("%d tasks were bound on a full fleet", len(d.commands))
	}
}

// changeAttempts lets an attempt on each of the given workers pass through another phase.
func (d *Dispatcher) changeAttempts(workers []string) {
	for _, id := range workers {
		for _, a := range d.workers[id].attempts {
			a.setPhase(phaseOrdered, d.now)
			a.setPhase(phaseStarted, d.now)
			break
		}
	}
}

// refreshReports keeps the workers usable without heartbeats.
func (d *Dispatcher) refreshReports() {
	for _, w := range d.workers {
		w.reportExpiresAt = d.now + time.Second
	}
}

// fullFleet returns a leader whose workers run five or six long-running tasks and as many
// short ones each, and have no free CPU.
func fullFleet() (*Dispatcher, *simulation) {
	sim := newSimulation(1)
	sim.store.Apply(jobs.Command{Configure: &jobs.Configure{Config: jobs.Config{Version: 2, Queues: []jobs.Queue{
		{Name: "q", Service: "s", MaxAttempts: 1000, Stretch: 2, LatencyObjective: 1000},
		{Name: "low", Service: "s", Priority: 2, MaxAttempts: 1000, Stretch: 2, LatencyObjective: 1000},
	}}}})
	serve := jobs.Step{LongRunning: true, LatencyTargetMS: 18, Request: jobs.Resources{MilliCPU: 5000, MemoryMB: 10_000}}
	fill := jobs.Step{Filler: true, EstimateMS: 60_000, Request: jobs.Resources{MilliCPU: 3500, MemoryMB: 9000}}
	short := jobs.Step{EstimateMS: 60_000, Request: jobs.Resources{MilliCPU: 3500, MemoryMB: 10_000}}
	sim.bindToAll("serve", "q", 24, 5*fullFleetWorkers, serve, servingImages)
	sim.bindToAll("fill", "low", 40, 5*fullFleetWorkers, fill, fillerImageCount)
	sim.bindToAll("short", "q", 13, 2*fullFleetWorkers, short, 1)

	d := New(Options{WorkerLease: testLease, HeartbeatInterval: testHeartbeatInterval, PreviousLeaderLease: testPreviousLeaderLease}, sim.store, 1, 0, sim.unix())
	for i := range fullFleetWorkers {
		d.HandleHeartbeat(Heartbeat{
			Worker: workerName(i), Service: "s", Capacity: jobs.Resources{MilliCPU: 32_000, MemoryMB: 128_000}, ClockMS: 1, StartedAtMS: 1, Sequence: 1})
	}
	for _, w := range d.workers {
		w.fenceConfirmed = true
		for _, a := range w.attempts {
			a.setPhase(phaseStarted, d.now)
			a.percent = 50
		}
	}
	sim.now = 3 * time.Second
	sim.supposeEffects(d)
	sim.submitWaiting()
	sim.now += 2 * time.Second
	d.Advance(sim.now, sim.unix())
	d.TakeOutput()
	return d, sim
}

// supposeEffects sets effects of fillers on serving images, of which two in three disturb,
// and the loads of the serving jobs.
func (sim *simulation) supposeEffects(d *Dispatcher) {
	for s := range servingImages {
		for f := range fillerImageCount {
			effect := 0.0
			if sim.rng.IntN(3) > 0 {
				effect = 0.03 + 0.1*sim.rng.Float64()
			}
			d.model.Suppose(fmt.Sprint("serve", s), fmt.Sprint("fill", f), effect)
			d.fillerImages[fmt.Sprint("fill", f)] = true
		}
	}
	for _, j := range sim.store.Jobs() {
		if j.Spec.Steps[0].LatencyTargetMS > 0 {
			d.model.Observe(interference.Reading{Image: j.Spec.Steps[0].Image, Group: j.ID, Tail: 10, Measured: sim.now})
		}
	}
}

// submitWaiting submits 100 short jobs of two priorities and 50 long-running ones.
func (sim *simulation) submitWaiting() {
	random := func(mean int64) int64 { return mean/2 + sim.rng.Int64N(mean) }
	for i := range 50 {
		sim.submitTo("low", fmt.Sprint("wait-fill-", i), jobs.Step{
			Count: int(random(40)), Filler: true, Image: fmt.Sprint("fill", i%fillerImageCount), EstimateMS: random(2200),
			Request: jobs.Resources{MilliCPU: random(3500), MemoryMB: 5000 + random(6400)},
		})
		sim.submitTo("q", fmt.Sprint("wait-short-", i), jobs.Step{
			Count: int(random(13)), EstimateMS: random(1000), MaxPerWorker: sim.rng.IntN(7) / 6,
			Request: jobs.Resources{MilliCPU: random(6400), MemoryMB: random(13_000)},
		})
		sim.submitTo("q", fmt.Sprint("wait-serve-", i), jobs.Step{
			Count: int(random(24)), LongRunning: true, LatencyTargetMS: 18, Image: fmt.Sprint("serve", i%servingImages),
			MaxPerWorker: sim.rng.IntN(2), Request: jobs.Resources{MilliCPU: random(6400), MemoryMB: random(13_000)},
		})
	}
	for i := range 10 {
		sim.loseFirstTask(fmt.Sprint("wait-serve-", i))
	}
}

// loseFirstTask makes the first task of a job one that has run and lost its worker.
func (sim *simulation) loseFirstTask(job string) {
	key := jobs.TaskKey{Job: job}
	on := jobs.Incarnation{Worker: "gone", StartedAtMS: 1}
	sim.store.Apply(jobs.Command{Bind: &jobs.Bind{Task: key, Attempt: 1, On: on, At: sim.unix()}})
	sim.store.Apply(jobs.Command{End: &jobs.End{Task: key, Attempt: 1, Outcome: jobs.OutcomeLost, At: sim.unix()}})
}

func (sim *simulation) submitTo(queue, id string, steps ...jobs.Step) {
	sim.store.Apply(jobs.Command{Submit: &jobs.Submit{ID: id, Queue: queue, Spec: jobs.Spec{Payload: "x", Steps: steps}, At: sim.unix()}})
}

func workerName(i int) string { return fmt.Sprintf("i-%08x", i*2654435761%(1<<32)) }

// bindToAll submits jobs with a number of tasks each until there are tasks of them, and
// binds the tasks to the workers by turns.
func (sim *simulation) bindToAll(kind, queue string, perJob, tasks int, step jobs.Step, images int) {
	step.Count = perJob
	for i := 0; i < tasks; i++ {
		id := fmt.Sprintf("%s-%08x", kind, i/perJob)
		if i%perJob == 0 {
			step.Image = fmt.Sprint(kind, (i/perJob)%images)
			sim.submitTo(queue, id, step)
		}
		key := jobs.TaskKey{Job: id, Index: i % perJob}
		on := jobs.Incarnation{Worker: workerName(i % fullFleetWorkers), StartedAtMS: 1}
		sim.store.Apply(jobs.Command{Bind: &jobs.Bind{Task: key, Attempt: 1, On: on, At: sim.unix()}})
	}
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
		p.claims, p.recent = nil, nil
		search := newRoomSearch(d, candidates)
		for _, wj := range ranked {
			d.preemptFor(wj, search)
		}
	}
	b.StopTimer()
	b.Logf("%+v", d.activity.preemptions)
	d.TakeOutput()
}
