package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

// largeFleet is a fleet of workers of 64 cores on which long-running tasks of about 13 cores
// hold a share of the CPU.
type largeFleet struct {
	*simulation
	// steps holds the time of each step since the last loss, by task.
	steps map[jobs.TaskKey]map[string]time.Duration
}

// largeFleetReplicas is the number of job replicas of a deployment of 300 hosts, by the share
// that today's deployments have. It lengthens the interval between two entries of the log.
const largeFleetReplicas = 40

func newLargeFleet(workers int, held float64) *largeFleet {
	f := &largeFleet{simulation: newSimulation(1)}
	f.entries = &simEntries{size: 512, interval: largeFleetReplicas * 2500 * time.Microsecond}
	f.options.WorkerLease, f.options.HeartbeatInterval = 10*time.Second, 1500*time.Millisecond
	f.commitDelay = 15 * time.Millisecond
	f.maxDelay = 10 * time.Millisecond
	f.reset()
	f.observe = f.record
	capacity := jobs.Resources{MilliCPU: 64_000, MemoryMB: 250_000}
	for range workers {
		f.addWorker(capacity, true)
	}
	used, total := int64(0), int64(float64(workers)*64_000*held)
	for i := 0; used < total; i++ {
		milliCPU := 9_000 + f.rng.Int64N(8_000)
		count := 1 + f.rng.IntN(8)
		f.submit(fmt.Sprintf("lasts-%05d", i), jobs.Spec{Payload: "x", Steps: []jobs.Step{{
			Count: count, MaxPerWorker: i % 2, LongRunning: true, LatencyTargetMS: 30, Image: fmt.Sprint("s", i%20),
			Request: jobs.Resources{MilliCPU: milliCPU, MemoryMB: 4 * milliCPU},
		}}})
		used += int64(count) * milliCPU
	}
	return f
}

func (f *largeFleet) reset() {
	f.steps = map[jobs.TaskKey]map[string]time.Duration{}
}

func (f *largeFleet) record(step string, key jobs.TaskKey) {
	if step == "ended" {
		f.steps[key] = map[string]time.Duration{}
	}
	if s := f.steps[key]; s != nil {
		s[step] = f.now
	}
}

// longest returns the longest time from one step to another over all tasks that have made the
// first, and the number of those that have not made the second.
func (f *largeFleet) longest(from, to string) (longest time.Duration, missing int) {
	for _, s := range f.steps {
		begin, known := s[from]
		if end, made := s[to]; made {
			longest = max(longest, end-begin)
		} else if known {
			missing++
		}
	}
	return longest, missing
}

func (f *largeFleet) loseThird(refuse bool, back time.Duration) {
	for i, t := range f.workers {
		if i%3 == 0 {
			t.refusesConnections = refuse
			t.crash(back)
		}
	}
}

// BenchmarkLargeFleet measures what the leader computes while the long-running tasks of a third
// of the workers wait on a fleet that has no room for most of them.
func BenchmarkLargeFleet(b *testing.B) {
	for _, workers := range []int{350, 3000} {
		f := newLargeFleet(workers, 0.88)
		f.startLeader()
		f.runUntil(20 * time.Second)
		f.loseThird(false, time.Hour)
		f.runUntil(f.now + 14*time.Second)
		d := f.current()
		b.Run(fmt.Sprint("plan/workers=", workers), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				d.planner.dirty, d.planner.nextPlanAt = true, 0
				d.Plan()
			}
		})
		d.TakeOutput()
		b.Run(fmt.Sprint("status/workers=", workers), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				d.TakeStatus()
			}
		})
		b.Run(fmt.Sprint("audit/workers=", workers), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				d.nextAuditAt = d.now
				d.audit()
			}
		})
		b.Run(fmt.Sprint("tick/workers=", workers), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				d.nextAuditAt, d.effectsCheckedAt = d.now+time.Second, d.now
				d.planner.replanAt, d.planner.dirty = d.now+time.Second, false
				d.Tick()
			}
		})
		d.TakeOutput()
	}
}

// Guards against a part of a restart that takes longer the more tasks are lost together: a
// long-running task runs again within 6 s of the end of its last run while there is room.
func TestLargeFleetRestarts(t *testing.T) {
	const (
		// maxCommit allows for the entries that hold the ends and bindings of all lost tasks.
		maxPlan, maxCommit, maxStart, maxDown = time.Second, 2 * time.Second, time.Second, 6 * time.Second
	)
	for _, c := range []struct {
		name     string
		workers  int
		refused  bool
		takeover time.Duration
	}{
		{"silent loss", 1000, false, 0},
		{"refused connections", 1000, true, 0},
		{"change of leader", 1000, true, 300 * time.Millisecond},
		{"all processes killed", 1000, true, 3 * time.Second},
		{"all processes killed", 3000, true, 3 * time.Second},
	} {
		t.Run(fmt.Sprint(c.name, ", workers: ", c.workers), func(t *testing.T) {
			g := NewWithT(t)
			f := newLargeFleet(c.workers, 0.55)
			f.startLeader()
			f.runUntil(12 * time.Second)
			f.reset()
			f.loseThird(c.refused, time.Hour)
			if c.takeover > 0 {
				f.depose(f.current())
				f.runUntil(f.now + c.takeover)
				f.startLeader()
			}
			f.runUntil(f.now + 16*time.Second)
			g.Expect(f.violations).To(BeEmpty())
			g.Expect(len(f.steps)).To(BeNumerically(">", c.workers/2), "tasks that were lost")
			for _, part := range []struct {
				from, to string
				bound    time.Duration
			}{
				{"ended", "bound", maxPlan}, {"bound", "committed", maxCommit}, {"ordered", "answered: 0", maxStart}, {"ended", "at work", maxDown},
			} {
				longest, missing := f.longest(part.from, part.to)
				t.Logf("from %s to %s: %v at most", part.from, part.to, longest)
				g.Expect(longest).To(BeNumerically("<=", part.bound), "from %s to %s", part.from, part.to)
				g.Expect(missing).To(BeZero(), "from %s to %s", part.from, part.to)
			}
		})
	}
}

// Guards against plans whose cost grows with the square of the fleet: each of thousands of
// tasks that wait after a loss would examine every worker, and the control thread would be
// busy for longer than the leader's lease lasts. Tasks under which two workers have crashed
// are planned apart.
func TestLargeFleetPlanCost(t *testing.T) {
	for _, crashes := range []int{0, 2} {
		t.Run(fmt.Sprint("crashes: ", crashes), func(t *testing.T) {
			g := NewWithT(t)
			f := newLargeFleet(1000, 0.88)
			d := f.startLeader()
			f.runUntil(12 * time.Second)
			f.loseThird(false, time.Hour)
			f.runUntil(f.now + 14*time.Second)
			for range crashes {
				f.crashWaiting()
			}
			f.runUntil(f.now + 3*time.Second)
			d.TakeStatus()
			f.runUntil(f.now + time.Second)
			g.Expect(f.violations).To(BeEmpty())
			s := d.TakeStatus()
			waiting := 0
			for _, q := range s.Queues {
				waiting += q.Tasks
			}
			g.Expect(waiting).To(BeNumerically(">", 1000))
			g.Expect(s.Plans).To(BeNumerically(">", 1))
			t.Logf("%d tasks wait, each plan looks at each of the workers %.1f times", waiting, float64(s.Examined)/float64(s.Plans)/float64(s.Workers.Usable))
			g.Expect(s.Examined / s.Plans / s.Workers.Usable).To(BeNumerically("<", waiting/10))
		})
	}
}

// crashWaiting lets a worker crash under each long-running task that waits to run again.
func (f *largeFleet) crashWaiting() {
	on := jobs.Incarnation{Worker: "gone", StartedAtMS: 1}
	for _, j := range f.store.Jobs() {
		j.Tasks(func(t *jobs.Task) {
			if t.BoundTo == nil && t.Attempt > 0 {
				attempt := t.Attempt + 1
				f.store.Apply(jobs.Command{Bind: &jobs.Bind{Task: t.Key, Attempt: attempt, On: on, At: f.unix()}})
				f.store.Apply(jobs.Command{End: &jobs.End{Task: t.Key, Attempt: attempt, Outcome: jobs.OutcomeCrashed, At: f.unix()}})
			}
		})
	}
}

// Guards against a task that waits longest and whose binding is committed with the last of
// several entries, because its job sorts last by its id.
func TestRestartsInOrderOfWait(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(1)
	const tasks = MaxEntryCommands + 100
	d := New(sim.options, sim.store, 1, 0, sim.unix())
	bindAll := func() []Proposal {
		for i := range tasks {
			bind := jobs.Bind{Task: jobs.TaskKey{Job: fmt.Sprintf("job-%04d", i)}, Attempt: 2}
			d.commands = append(d.commands, Proposal{Command: jobs.Command{Bind: &bind}})
		}
		commands, _, _ := d.TakeOutput()
		return commands
	}
	for i := range tasks {
		id := fmt.Sprintf("job-%04d", i)
		sim.submit(id, jobs.Spec{Steps: []jobs.Step{{Count: 1, LongRunning: i != tasks-2}}})
		sim.now = time.Duration(tasks-i) * time.Second
		sim.loseFirstTask(id)
	}
	commands := bindAll()
	g.Expect(commands).To(HaveLen(tasks))
	g.Expect(commands[0].Command.Bind.Task.Job).To(Equal(fmt.Sprintf("job-%04d", tasks-2)), "a short task")
	g.Expect(commands[1].Command.Bind.Task.Job).To(Equal(fmt.Sprintf("job-%04d", tasks-1)), "the longest wait")
	g.Expect(commands[tasks-1].Command.Bind.Task.Job).To(Equal("job-0000"), "the shortest wait")
}
