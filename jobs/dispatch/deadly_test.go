package dispatch

import (
	"time"

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
		t.draining = false
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

// countCrash counts the crash of a worker for the tasks that run there. A worker that has
// announced its end does not crash.
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
