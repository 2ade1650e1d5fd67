package dispatch

import (
	"fmt"
	"testing"
	"time"

	"geraniumwall/jobs"
)

const (
	benchWorkers  = 1100
	benchAttempts = 12
)

// BenchmarkHoldReply measures the reply to a hold that lists running attempts only, on a
// fleet whose workers run 12 attempts each of jobs with 100 tasks, half of which are done.
func BenchmarkHoldReply(b *testing.B) {
	d, workers := shortTaskFleet()
	replies := make([]Reply, len(workers))
	for i, w := range workers {
		replies[i] = Reply{Order: Order{Hold: &Hold{}, target: w}, Status: Accepted}
		for _, a := range w.attempts {
			replies[i].Running = append(replies[i].Running, RunningTask{Task: a.task, Attempt: a.number, Percent: 20, Usage: 500})
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		r := replies[i%len(replies)]
		r.SentAt, r.ReceivedAt = d.now, d.now
		r.ClockMS = r.Order.target.minClock(d.now)
		if i%40 == 0 {
			d.Advance(d.now+20*time.Millisecond, d.unixMS+20)
		}
		d.HandleReply(r)
	}
	b.StopTimer()
	d.TakeOutput()
}

// BenchmarkTick measures a tick of the same fleet in which nothing is due, beside the plan.
func BenchmarkTick(b *testing.B) {
	d, workers := shortTaskFleet()
	for _, w := range workers {
		w.holdInFlight = true
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		d.now += testTick
		d.nextAuditAt, d.effectsCheckedAt = d.now+time.Second, d.now
		d.planner.replanAt, d.planner.dirty = d.now+time.Second, false
		d.Tick()
	}
}

// shortTaskFleet returns a leader whose workers run benchAttempts attempts each that have
// worked for a fifth of their duration, and its workers.
func shortTaskFleet() (*Dispatcher, []*worker) {
	const tasksPerJob, duration = 100, 10_000
	sim := newSimulation(1)
	d := New(Options{WorkerLease: testLease, HeartbeatInterval: time.Hour, PreviousLeaderLease: testPreviousLeaderLease}, sim.store, 1, time.Second, sim.unix())
	workers := make([]*worker, benchWorkers)
	for i := range workers {
		d.HandleHeartbeat(Heartbeat{
			Worker: fmt.Sprint("w", i), HostPort: fmt.Sprintf("w%d:1", i), Service: "s",
			Capacity: jobs.Resources{MilliCPU: 32_000, MemoryMB: 128_000}, ClockMS: 1, StartedAtMS: 1, Sequence: 1})
		workers[i] = d.workers[fmt.Sprint("w", i)]
		workers[i].fenceConfirmed = true
	}
	step := jobs.Step{Count: tasksPerJob, EstimateMS: duration, Checkpointed: true, Request: jobs.Resources{MilliCPU: 2000, MemoryMB: 1000}}
	placed := 0
	for i := 0; placed < benchWorkers*benchAttempts; i++ {
		id := fmt.Sprintf("job-%d", i)
		sim.submit(id, jobs.Spec{Steps: []jobs.Step{step}})
		sim.store.Job(id).Tasks(func(t *jobs.Task) {
			w := workers[placed%benchWorkers]
			sim.store.Apply(jobs.Command{Bind: &jobs.Bind{Task: t.Key, Attempt: 1, On: w.incarnation(), At: sim.unix() - duration/5}})
			if t.Key.Index < tasksPerJob/2 {
				sim.store.Apply(jobs.Command{End: &jobs.End{Task: t.Key, Attempt: 1, Outcome: jobs.OutcomeDone, At: sim.unix()}})
				return
			}
			a := d.newAttempt(t, sim.store.Job(id).Step(t.Key), 1, phaseStarted)
			a.worker, a.percent, a.startedAt, w.attempts[t.Key] = w, 20, d.now-duration/5*time.Millisecond, a
			placed++
		})
	}
	return d, workers
}
