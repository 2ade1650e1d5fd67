package experiments

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"geraniumwall/config"
	"geraniumwall/experiments/fake"
	"geraniumwall/policy"
	"geraniumwall/policy/engine"
	"geraniumwall/workerapi"
)

// Scale of the cost measurement.
const (
	tasksAtFullScale   = 63_000
	workersAtFullScale = 2_000
	startsPerSecond    = 310
	costDecisions      = 20_000
	nodeLimit          = 0.015
	largestCostNS      = int64(time.Second)
	// usedShare is the part of the capacity that runs in the steady state.
	usedShare = 0.9
)

// FleetSizes are the numbers of workers at which the cost is measured.
var FleetSizes = []int{50, 200, 500, 1000, 2000}

// loadedFleet is an engine with as many running tasks for each worker as at full
// scale.
type loadedFleet struct {
	engine  *engine.Engine
	random  *rand.Rand
	now     time.Duration
	running []policy.Task
	on      map[string]string
	next    int
	workers int
}

func newLoadedFleet(workers int) *loadedFleet {
	f := &loadedFleet{engine: engine.New(1), random: rand.New(rand.NewPCG(1, 1)), on: map[string]string{}, workers: workers}
	spec := fake.Spec{Workers: workers, Capacity: workerCapacity, Services: Lichtdach.Services, Jobs: jobs()}
	f.engine.SetConfig(0, configuration(&spec, []time.Duration{time.Second, time.Second}))
	for i := range workers {
		f.engine.UpsertWorker(0, policy.Worker{
			ID: fmt.Sprintf("w%04d", i), Rack: fmt.Sprintf("r%03d", i/Lichtdach.RackSize), Accepting: true,
			Capacity: workerCapacity, Reserved: workerReserved, Services: []string{Lichtdach.Services[i%2].Name},
		})
	}
	for range workers * tasksAtFullScale / workersAtFullScale {
		f.enqueue()
	}
	for f.engine.Waiting() > 0 {
		if f.start(1000) == 0 {
			panic("experiments: loaded fleet does not fit its tasks")
		}
	}
	return f
}

// enqueue adds a task of a size with which the tasks of full scale fill usedShare.
func (f *loadedFleet) enqueue() {
	f.next++
	j := jobs()[f.random.IntN(6)]
	perWorker := float64(tasksAtFullScale) / workersAtFullScale
	cpu := usedShare * float64(workerCapacity.CPUMillis-workerReserved.CPUMillis) / perWorker
	f.engine.Enqueue(f.now, policy.Task{
		ID: fmt.Sprintf("t%07d", f.next), Team: j.Team, Job: j.Name, Priority: j.Priority, Enqueued: f.now,
		Size:     workerapi.Resources{CPUMillis: int64(cpu * (0.5 + float64(f.random.IntN(5))/4)), MemoryMB: 1000},
		Expected: j.Expected,
	})
}

func (f *loadedFleet) start(limit int) int {
	placements, _ := f.engine.ProposeStarts(f.now, limit)
	for _, p := range placements {
		t := policy.Task{ID: p.Task, Size: p.Size}
		f.engine.Started(f.now, t, p.Worker)
		f.running = append(f.running, t)
		f.on[p.Task] = p.Worker
	}
	return len(placements)
}

// end ends a random task.
func (f *loadedFleet) end() {
	i := f.random.IntN(len(f.running))
	id := f.running[i].ID
	f.running[i] = f.running[len(f.running)-1]
	f.running = f.running[:len(f.running)-1]
	f.engine.Ended(f.now, id, f.on[id], policy.OutcomeDone)
	delete(f.on, id)
}

// Cost measures the time of one start, from the end of another task to the
// confirmation, in a loaded fleet, and of one reaction to the whole fleet.
func Cost(workers int) []Line {
	f := newLoadedFleet(workers)
	decisions := hdrhistogram.New(1, largestCostNS, 3)
	total := time.Duration(0)
	for range costDecisions {
		f.now += time.Second / startsPerSecond
		begin := time.Now()
		f.end()
		f.enqueue()
		f.start(1)
		spent := time.Since(begin)
		total += spent
		_ = decisions.RecordValue(min(spent.Nanoseconds(), largestCostNS))
	}
	prefix := fmt.Sprintf("cost/%d_workers", workers)
	share := total.Seconds() / costDecisions * startsPerSecond
	return []Line{
		{Name: prefix + "/start_p50", Value: float64(decisions.ValueAtQuantile(50)), Unit: "ns", N: costDecisions},
		{Name: prefix + "/start_p99", Value: float64(decisions.ValueAtQuantile(99)), Unit: "ns", N: costDecisions},
		compared(prefix+"/core_share_at_310_starts", "ratio", share, nodeLimit, costDecisions),
		f.reactions(prefix),
		f.cancelHalf(prefix),
	}
}

// reactions measures reports of all workers and the reactions to them, each once
// in reportPeriod, as a share of a core.
func (f *loadedFleet) reactions(prefix string) Line {
	const rounds = 10
	const reportPeriod = 2 * time.Second
	begin := time.Now()
	for range rounds {
		f.now += reportPeriod
		for id, on := range f.on {
			f.engine.ReportUsage(f.now, on, policy.Usage{Task: id, Used: workerapi.Resources{CPUMillis: 500, MemoryMB: 500}})
		}
		for i := range f.workers {
			load := f.random.Float64()
			p99 := 40_000 * (1 + load) * (1 + 0.05*f.random.NormFloat64())
			f.engine.ReportService(f.now, fmt.Sprintf("w%04d", i), workerapi.ServiceReport{
				Service: Lichtdach.Services[i%2].Name, AgeMS: 4000, Load: load, P99US: int64(p99), Count: 100,
			})
		}
		f.engine.ProposeReactions(f.now)
		f.engine.TakeDecisions()
	}
	share := time.Since(begin).Seconds() / rounds / reportPeriod.Seconds()
	return compared(prefix+"/core_share_of_reports_and_reactions", "ratio", share, nodeLimit, rounds)
}

// cancelHalf measures an urgent start right behind the cancellation of half of
// all tasks.
func (f *loadedFleet) cancelHalf(prefix string) Line {
	n := len(f.running) / 2
	begin := time.Now()
	for range n {
		f.end()
	}
	f.engine.Enqueue(f.now, policy.Task{ID: "urgent", Team: "design", Job: "rush", Priority: config.Urgent, Size: size(2, 4), Enqueued: f.now})
	if f.start(1) != 1 {
		panic("experiments: urgent task did not start after cancellations")
	}
	return compared(prefix+"/urgent_start_behind_cancellations", "s", time.Since(begin).Seconds(), targetUrgentS, n)
}
