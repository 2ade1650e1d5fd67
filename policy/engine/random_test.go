package engine_test

import (
	"flag"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumwall/config"
	"geraniumwall/policy"
	"geraniumwall/policy/engine"
	"geraniumwall/workerapi"
)

// modelChecker drives the engine with random events and checks it against its own record
// of which task runs on which worker.
type modelChecker struct {
	engine  *engine.Engine
	now     time.Duration
	lastID  int
	tasks   map[string]policy.Task
	waiting map[string]bool
	running map[string]string
	workers map[string]policy.Worker
	log     []any
}

func newModelChecker() *modelChecker {
	m := &modelChecker{
		engine: engine.New(7), tasks: map[string]policy.Task{}, waiting: map[string]bool{},
		running: map[string]string{}, workers: map[string]policy.Worker{},
	}
	m.engine.SetConfig(0, config.Config{
		Domains: []string{"d"}, Apart: []config.Pair{{Service: "s1", Job: "j0"}},
		Teams: []config.Team{
			{Name: "t0", Weight: 1, Quota: config.Resources{CPUMillis: 60_000, MemoryMB: 200_000}, MayBorrow: true},
			{Name: "t1", Weight: 3, Quota: config.Resources{CPUMillis: 40_000, MemoryMB: 400_000}},
		},
	})
	return m
}

func (m *modelChecker) apply(event, a, b int) {
	m.now += time.Duration(a%7) * 300 * time.Millisecond
	switch event {
	case 0:
		m.join(a%6, b)
	case 1, 2, 3:
		m.submit(a, b)
	case 4:
		m.cancel(a)
	case 5, 6:
		m.end(a, b)
	case 7:
		m.report(a, b)
	case 8:
		id := fmt.Sprint("w", a%6)
		m.engine.RemoveWorker(m.now, id)
		delete(m.workers, id)
	}
	m.schedule(a + b)
}

func (m *modelChecker) join(n, b int) {
	w := policy.Worker{
		ID: fmt.Sprint("w", n), Rack: fmt.Sprint("r", n/2), Accepting: b%5 != 0,
		Capacity: cores(16+int64(n)*4, 64), Reserved: cores(4, 8), Services: []string{fmt.Sprint("s", n%2)},
	}
	m.workers[w.ID] = w
	m.engine.UpsertWorker(m.now, w)
}

func (m *modelChecker) submit(a, b int) {
	m.lastID++
	t := policy.Task{
		ID: fmt.Sprint(m.lastID), Team: fmt.Sprint("t", a%3), Job: fmt.Sprint("j", b%4), Enqueued: m.now,
		Priority: []config.Priority{config.Urgent, config.Normal, config.Batch}[(a+b)%3],
		Size:     cores(1+int64(a%12), 1+int64(b%24)), Expected: time.Minute, Checkpoints: b%2 == 0,
	}
	m.tasks[t.ID] = t
	m.waiting[t.ID] = true
	m.engine.Enqueue(m.now, t)
}

func (m *modelChecker) cancel(a int) {
	id := fmt.Sprint(1 + a%max(1, m.lastID))
	m.engine.Dequeue(m.now, id)
	delete(m.waiting, id)
}

func (m *modelChecker) end(a, b int) {
	id := fmt.Sprint(1 + a%max(1, m.lastID))
	on, runs := m.running[id]
	if !runs {
		return
	}
	outcomes := []policy.Outcome{policy.OutcomeDone, policy.OutcomeFailed, policy.OutcomeEvicted, policy.OutcomeCancelled, policy.OutcomeLost}
	outcome := outcomes[b%len(outcomes)]
	m.engine.Ended(m.now, id, on, outcome)
	delete(m.running, id)
	if outcome == policy.OutcomeEvicted || outcome == policy.OutcomeFailed {
		m.waiting[id] = true
		m.engine.Enqueue(m.now, m.tasks[id])
	}
}

func (m *modelChecker) report(a, b int) {
	m.engine.ReportService(m.now, fmt.Sprint("w", a%6), workerapi.ServiceReport{
		Service: fmt.Sprint("s", a%2), AgeMS: int64(b%30) * 1000, Load: float64(a%10) / 10, P99US: int64(1000 + 100*b), Count: 50,
	})
	id := fmt.Sprint(1 + a%max(1, m.lastID))
	if on, runs := m.running[id]; runs {
		m.engine.ReportUsage(m.now, on, policy.Usage{Task: id, Used: cores(int64(b%4), int64(b%8)), Age: time.Second})
	}
}

func (m *modelChecker) schedule(reject int) {
	placements, unschedulable := m.engine.ProposeStarts(m.now, 8)
	for i, p := range placements {
		if (reject+i)%5 == 0 {
			m.engine.Rejected(m.now, p.Task, p.Worker)
			continue
		}
		t := m.tasks[p.Task]
		t.Size = p.Size
		m.engine.Started(m.now, t, p.Worker)
		m.start(t, p)
	}
	reactions := m.engine.ProposeReactions(m.now)
	m.log = append(m.log, placements, unschedulable, reactions, m.engine.TakeDecisions())
}

func (m *modelChecker) start(t policy.Task, p policy.Placement) {
	w, known := m.workers[p.Worker]
	switch {
	case !m.waiting[t.ID]:
		panic("placed a task that is not waiting: " + t.ID)
	case !known || !w.Accepting:
		panic("placed on a worker that accepts no tasks: " + p.Worker)
	case t.Job == "j0" && w.Services[0] == "s1":
		panic("placed a job beside a service that it must be kept apart from, on " + p.Worker)
	}
	delete(m.waiting, t.ID)
	m.running[t.ID] = p.Worker
	stored := m.tasks[t.ID]
	stored.Size = t.Size
	m.tasks[t.ID] = stored
}

func (m *modelChecker) check(t *rapid.T) {
	used := map[string]workerapi.Resources{}
	for id, on := range m.running {
		used[on] = used[on].Plus(m.tasks[id].Size)
	}
	for id, w := range m.workers {
		if w.Capacity.Minus(w.Reserved).Minus(used[id]).Negative() {
			t.Fatalf("worker %s is overcommitted: %+v of %+v in use", id, used[id], w.Capacity)
		}
	}
	if m.engine.Waiting() != len(m.waiting) {
		t.Fatalf("engine counts %d waiting tasks, want %d", m.engine.Waiting(), len(m.waiting))
	}
}

// TestRandomEvents guards against overcommitted hosts, tasks started twice, jobs on a host
// of a service that they are kept apart from, and decisions that differ between equal runs.
func TestRandomEvents(t *testing.T) {
	if err := flag.Set("rapid.seed", "20"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) [3]int {
			return [3]int{rapid.IntRange(0, 8).Draw(t, "event"), rapid.IntRange(0, 999).Draw(t, "a"), rapid.IntRange(0, 999).Draw(t, "b")}
		}), 60, 200).Draw(t, "steps")
		first, second := newModelChecker(), newModelChecker()
		for _, s := range steps {
			first.apply(s[0], s[1], s[2])
			second.apply(s[0], s[1], s[2])
			first.check(t)
		}
		if !reflect.DeepEqual(first.log, second.log) {
			t.Fatal("equal events gave different decisions")
		}
	})
}
