package dispatch

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

const (
	// A task may be started maxStartsAfterCrashes times after maxCrashesUnder workers have
	// crashed under it.
	maxCrashesUnder       = 3
	maxStartsAfterCrashes = 2
	// A job may be given up after minCrashesToGiveUp workers have crashed under one of its
	// tasks.
	minCrashesToGiveUp = 2
	// At most one of minJobsPerGivenUp innocent jobs may be given up, where one worker after
	// the other crashes under it by chance.
	minJobsPerGivenUp = 1000
	// maxDeadlyRun bounds the time after which a long-running deadly task crashes its worker.
	maxDeadlyRun = 5 * time.Second
	// deadlyEnd leaves enough time to finish all jobs of a run with deadly ones.
	deadlyEnd = 120 * time.Second
)

// crashUnder makes a worker crash at a random time of the run of a deadly task, possibly
// before it answers the start. The worker is back under its id or a new one after 1 s to
// 6 s, so that its lease may have expired by then.
func (t *simWorker) crashUnder(key jobs.TaskKey, run *simRun) {
	length := run.duration
	if length == 0 {
		length = maxDeadlyRun
	}
	crash := func() {
		if !t.up || t.running[key] != run {
			return
		}
		t.refusesConnections = t.sim.rng.IntN(2) == 0
		t.keepID = t.sim.rng.IntN(2) == 0
		t.crash(time.Second + time.Duration(t.sim.rng.Int64N(int64(5*time.Second))))
	}
	if t.sim.rng.IntN(4) == 0 {
		crash()
		return
	}
	t.sim.schedule(time.Duration(t.sim.rng.Int64N(int64(length))), crash)
}

// countCrash counts the crash of a worker for the tasks that run there. The crash of a
// worker that has announced its end can't be told from that end.
func (t *simWorker) countCrash() {
	t.expire()
	if t.draining {
		return
	}
	possible := map[jobs.TaskKey]bool{}
	for key := range t.running {
		t.sim.crashesUnder[key]++
		possible[key] = true
	}
	incarnation := jobs.Incarnation{Worker: t.id, StartedAtMS: t.startedAtMS}
	for key := range t.sim.store.BoundTo(incarnation) {
		possible[key] = true
	}
	t.sim.store.ExpiredTasks(func(task *jobs.Task) {
		for _, e := range task.ExpiredAttempts {
			possible[task.Key] = possible[task.Key] || e.On == incarnation
		}
	})
	for key, may := range possible {
		t.sim.possibleCrashes[key] += boolToInt(may)
	}
}

// expectDone checks that an innocent job is done, or given up after two workers may have
// crashed under one of its tasks. It reports whether the job was given up.
func (sim *simulation) expectDone(seed uint64, j *jobs.Job) (givenUp bool) {
	crashes := 0
	j.Tasks(func(t *jobs.Task) { crashes = max(crashes, sim.possibleCrashes[t.Key]) })
	if j.State == jobs.Failed && crashes >= minCrashesToGiveUp {
		return true
	}
	Expect(j.State).To(Equal(jobs.Done), "seed %d: job %s, under which %d workers may have crashed", seed, j.ID, crashes)
	return false
}

// submitDeadly submits a job whose first task crashes its workers.
func (sim *simulation) submitDeadly(id string, step jobs.Step) {
	sim.deadly[jobs.TaskKey{Job: id}] = true
	sim.submit(id, jobs.Spec{Payload: "x", Steps: []jobs.Step{step}})
}

// leave ends a draining worker, unless it has crashed meanwhile.
func (t *simWorker) leave(downtime time.Duration) {
	if t.draining {
		t.crash(downtime)
	}
}

// injectFaultWithoutCrash starts one random fault other than the crash of a worker.
func (sim *simulation) injectFaultWithoutCrash() {
	t := sim.workers[sim.rng.IntN(len(sim.workers))]
	length := time.Second + time.Duration(sim.rng.Int64N(int64(7*time.Second)))
	switch sim.rng.IntN(7) {
	case 0:
		t.partitioned = true
		sim.schedule(length, func() { t.partitioned = false })
	case 1:
		sim.lateRate = 0.1
		sim.schedule(length, func() { sim.lateRate = 0 })
	case 2:
		sim.noAnswerRate = 0.1
		sim.schedule(length, func() { sim.noAnswerRate = 0 })
	case 3:
		sim.startLeader()
	case 4:
		sim.rejectRate = 0.2
		sim.schedule(length, func() { sim.rejectRate = 0 })
	case 5:
		sim.maxDelay = 300 * time.Millisecond
		sim.schedule(length, func() { sim.maxDelay = 0 })
	case 6:
		// The worker leaves after it has announced it, and is back later.
		t.draining = true
		sim.schedule(3*time.Second, func() { t.leave(length) })
	}
}

// playDeadly plays a random run in which deadly jobs come beside innocent ones.
func playDeadly(seed uint64) *simulation {
	sim := newSimulation(seed)
	for range 8 + sim.rng.IntN(6) {
		sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, sim.rng.IntN(2) == 0)
	}
	sim.startLeader()
	sim.schedule(2*time.Second, func() {
		sim.submit("lasting", jobs.Spec{Steps: []jobs.Step{{Count: 3, Request: jobs.Resources{MilliCPU: 500, MemoryMB: 10}, LongRunning: true}}})
	})
	for at := time.Second; at < faultsEnd; at += time.Second {
		sim.schedule(at, func() { sim.submit(fmt.Sprintf("job-%v", at), sim.randomSpec()) })
	}
	for i := range 2 {
		sim.schedule(3*time.Second+time.Duration(sim.rng.Int64N(int64(faultsEnd))), func() {
			sim.submitDeadly(fmt.Sprintf("deadly-%d", i), jobs.Step{
				Count: 1 + sim.rng.IntN(2), Request: jobs.Resources{MilliCPU: 200 + 100*sim.rng.Int64N(20), MemoryMB: 10},
				EstimateMS: 100 + sim.rng.Int64N(5000), LongRunning: sim.rng.IntN(3) == 0,
			})
		})
	}
	for at := 3 * time.Second; at < faultsEnd; at += 1500 * time.Millisecond {
		sim.schedule(at, sim.injectFaultWithoutCrash)
	}
	sim.runUntil(deadlyEnd)
	return sim
}

var _ = Describe("Tasks that crash their workers", func() {
	// Guards against a task that is bound again and again although each worker that starts
	// it crashes, and against jobs that are given up although only others crash workers.
	It("are given up, and hardly any others", func() {
		innocents, givenUp := 0, 0
		first, count := seeds()
		for i := range count {
			seed := first + uint64(i) //nolint:gosec // small
			sim := playDeadly(seed)
			Expect(sim.violations).To(BeEmpty(), "seed %d", seed)
			for _, j := range sim.store.Jobs() {
				innocent := !sim.deadly[jobs.TaskKey{Job: j.ID}]
				innocents += boolToInt(innocent)
				switch {
				case !innocent:
					Expect(j.State).To(Equal(jobs.Failed), "seed %d: deadly job %s", seed, j.ID)
				case j.State == jobs.Running:
					Expect(j.ID).To(Equal("lasting"), "seed %d", seed)
					j.Tasks(func(t *jobs.Task) { Expect(sim.runs(t.Key)).To(BeTrue(), "seed %d: %v runs", seed, t.Key) })
				default:
					givenUp += boolToInt(sim.expectDone(seed, j))
				}
			}
		}
		Expect(givenUp).To(BeNumerically("<=", innocents/minJobsPerGivenUp))
	})
})
