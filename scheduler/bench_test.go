package scheduler

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/workerapi"
)

var fleetSizes = []int{50, 200, 1000, 2000}

// runningTasks is the number of tasks per worker in the benchmarks.
const runningTasks = 8

// targetWorkers and targetTasks are the workers per domain and the tasks per worker at
// the target scale, see docs/design.md 1.6.
const (
	targetWorkers = 100
	targetTasks   = 31
)

// benchFleet returns an active core in which every worker runs tasks, and one
// heartbeat per worker.
func benchFleet(b *testing.B, workers int) (*Core, []*workerapi.Heartbeat) {
	return benchFleetOf(b, workers, runningTasks, 800)
}

func benchFleetOf(b *testing.B, workers, perWorker int, cpu int64) (*Core, []*workerapi.Heartbeat) {
	RegisterTestingT(b)
	c := activeCore(workers)
	var tasks []BoundTask
	for i := range workers * perWorker {
		t := newTask(fmt.Sprintf("t%06d", i))
		t.Size = workerapi.Resources{CPUMillis: cpu, MemoryMB: 100}
		tasks = append(tasks, t)
	}
	c.SyncTasks(2000*ms, 1, tasks, false)
	heartbeats := map[string]*workerapi.Heartbeat{}
	var order []*workerapi.Heartbeat
	for _, id := range sortedKeys(c.workers) {
		hb := newHeartbeat(id, 2)
		hb.Session, hb.Holder = 1, "s1#1"
		heartbeats[id] = hb
		order = append(order, hb)
	}
	for c.engine.Waiting() > 0 {
		c.Tick(2050 * ms)
		for _, s := range takeActionsOf[SendStart](c) {
			report := workerapi.TaskReport{
				ID: s.Body.ID, Attempt: s.Body.Attempt, Phase: workerapi.PhaseRunning, Job: s.Body.Job,
				Resources: s.Body.Resources, Used: s.Body.Resources, Progress: 0.5, SinceCheckpointMS: 700,
			}
			c.StartAnswered(2060*ms, StartResult{
				Ref:    workerapi.TaskRef{ID: s.Body.ID, Attempt: s.Body.Attempt},
				Answer: workerapi.CommandAnswer{Outcome: workerapi.OutcomeDone, Task: report},
			})
			heartbeats[s.Worker].Tasks = append(heartbeats[s.Worker].Tasks, report)
		}
	}
	return c, order
}

func forFleets(b *testing.B, run func(b *testing.B, workers int)) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) { run(b, n) })
	}
}

// BenchmarkHeartbeat measures one heartbeat with eight running tasks and reports the
// JSON sizes of the request and the answer.
func BenchmarkHeartbeat(b *testing.B) {
	forFleets(b, func(b *testing.B, workers int) {
		c, heartbeats := benchFleet(b, workers)
		var answer workerapi.HeartbeatAnswer
		i := 0
		for b.Loop() {
			hb := heartbeats[i%len(heartbeats)]
			hb.Sequence++
			answer, _ = c.Heartbeat(2100*ms, hb)
			i++
		}
		request, _ := json.Marshal(heartbeats[0])
		response, _ := json.Marshal(answer)
		b.ReportMetric(float64(len(request)), "request-bytes")
		b.ReportMetric(float64(len(response)), "answer-bytes")
	})
}

// BenchmarkGrantSync measures one sync of one of nine gateways that hold grants.
func BenchmarkGrantSync(b *testing.B) {
	forFleets(b, func(b *testing.B, workers int) {
		c, _ := benchFleet(b, workers)
		holdings := make([][]Holding, 9)
		i := 0
		for b.Loop() {
			g := i % len(holdings)
			answer, err := c.SyncGrants(2100*ms, GrantSync{
				Gateway: fmt.Sprintf("g%d", g), Domain: testDomain, Incarnation: "1", Sequence: uint64(i + 1),
				Demand: map[string]int{"proof": 5}, Holdings: holdings[g],
			})
			if err != nil {
				b.Fatal(err)
			}
			holdings[g] = holdings[g][:0]
			for _, grant := range answer.Grants {
				holdings[g] = append(holdings[g], Holding{Worker: grant.Worker, Session: grant.Session, Slots: grant.Slots})
			}
			i++
		}
	})
}

// BenchmarkStart measures one task with the first-fit engine: binding, start, end and
// the recording of its result.
func BenchmarkStart(b *testing.B) {
	forFleets(b, func(b *testing.B, workers int) {
		RegisterTestingT(b)
		c := activeCore(workers)
		i := 0
		for b.Loop() {
			i++
			c.SyncTasks(2050*ms, 1, []BoundTask{newTask(fmt.Sprint(i))}, false)
			c.placeTasks(2050 * ms)
			s := takeActionsOf[SendStart](c)[0]
			ref := workerapi.TaskRef{ID: s.Body.ID, Attempt: s.Body.Attempt}
			report := workerapi.TaskReport{ID: ref.ID, Attempt: ref.Attempt, Phase: workerapi.PhaseDone}
			c.StartAnswered(2050*ms, StartResult{Ref: ref, Answer: workerapi.CommandAnswer{Outcome: workerapi.OutcomeDone, Task: report}})
			c.flushReports(2050 * ms)
			c.ReportsAnswered(2050*ms, 1, c.reports.batch, true)
			c.TakeActions()
			c.SyncTasks(2050*ms, 1, []BoundTask{{ID: ref.ID}}, false)
		}
	})
}

// BenchmarkTick measures one tick without changes.
func BenchmarkTick(b *testing.B) {
	forFleets(b, func(b *testing.B, workers int) {
		c, _ := benchFleet(b, workers)
		now := 2100 * ms
		for b.Loop() {
			now += time.Microsecond
			c.Tick(min(now, 2900*ms))
		}
	})
}

// BenchmarkTargetTick measures one tick of a domain at the target scale without
// changes. The heartbeats of each second are excluded from the measurement.
func BenchmarkTargetTick(b *testing.B) {
	c, heartbeats := benchFleetOf(b, targetWorkers, targetTasks, 200)
	now, lastHeartbeat := 2100*ms, 2100*ms
	for b.Loop() {
		now += TickInterval
		if now-lastHeartbeat >= time.Second {
			b.StopTimer()
			lastHeartbeat = now
			for _, hb := range heartbeats {
				hb.Sequence++
				_, _ = c.Heartbeat(now, hb)
			}
			b.StartTimer()
		}
		renewLeases(c, now)
		c.Tick(now)
		c.TakeActions()
	}
}
