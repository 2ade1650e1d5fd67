// Package health tells a worker that fails the tasks it starts from a task that
// fails everywhere, and keeps failing workers away from work.
package health

import (
	"slices"
	"time"
)

// Rules of quarantine.
const (
	// quarantineBlame is the blame from which a worker is quarantined: about that
	// many distinct tasks failed on it, and on no other worker, without a success.
	quarantineBlame = 2.5
	// blameMemory is the time for which a failure counts.
	blameMemory = 10 * time.Minute
	// fleetWindow is the time over which failing workers are counted to recognise
	// a failure that concerns the whole fleet.
	fleetWindow = time.Minute
	// fleetShare is the part of the workers from which the fleet is at fault.
	fleetShare = 0.25
	// fleetMinimum is the least number of failing workers that is called a fleet.
	fleetMinimum = 4
	// maxQuarantinedShare bounds the capacity that quarantine can cost.
	maxQuarantinedShare = 0.1
	// minQuarantined is allowed in a small domain as well, but never more than half
	// of the workers, since otherwise nothing is left that could run a task.
	minQuarantined    = 2
	firstProbeAfter   = 30 * time.Second
	longestProbeAfter = 10 * time.Minute
	// readmittedAt is the limit of running tasks from which a worker is healthy.
	readmittedAt = 16
	// unlimited is the limit of a healthy worker.
	unlimited = -1
	// maxFailures bounds the failures that are remembered for each worker.
	maxFailures = 16
)

type failure struct {
	at        time.Duration
	task, job string
}

type worker struct {
	failures []failure
	// successes since the last failure.
	successes   int
	quarantined bool
	// probing workers have a limit and are watched closely.
	probing    bool
	limit      int
	probeAfter time.Duration
	until      time.Duration
	// absent workers have left while in quarantine.
	absent bool
}

// jobRecord counts the outcomes of a job by worker.
type jobRecord struct {
	failed    map[string]int
	succeeded map[string]int
	attempts  int
}

// Change is a change of the standing of a worker.
type Change struct {
	Worker string
	// Limit is the number of tasks that may run at once; negative is no limit.
	Limit int
	// Kind is quarantined, probed or readmitted.
	Kind  string
	Blame float64
}

// Kinds of changes.
const (
	Quarantined = "quarantined"
	Probed      = "probed"
	Readmitted  = "readmitted"
)

// Tracker judges the workers of one domain.
type Tracker struct {
	workers map[string]*worker
	jobs    map[string]*jobRecord
	// taskFailures lists the workers on which a task failed.
	taskFailures map[string][]string
	// failedTasks is the order in which the tasks of taskFailures were added.
	failedTasks []string
	// confined lists the workers in quarantine, oldest first.
	confined []string
	changes  []Change
	enabled  bool
}

// NewTracker returns a tracker without history; a disabled one never quarantines.
func NewTracker(enabled bool) *Tracker {
	return &Tracker{
		workers:      map[string]*worker{},
		jobs:         map[string]*jobRecord{},
		taskFailures: map[string][]string{},
		enabled:      enabled,
	}
}

// Add makes a worker known; its record is kept when it is known already.
func (t *Tracker) Add(id string) {
	w := t.workers[id]
	if w == nil {
		w = &worker{limit: unlimited}
		t.workers[id] = w
	}
	w.absent = false
}

// Forget removes a worker that left. A quarantine stays in force until its end,
// so that a failing worker cannot shed it by a restart.
func (t *Tracker) Forget(id string) {
	w := t.workers[id]
	if w != nil && w.quarantined {
		w.absent = true
		return
	}
	delete(t.workers, id)
}

// ForgetTask drops the failures of a task that has ended for good.
func (t *Tracker) ForgetTask(task string) { delete(t.taskFailures, task) }

// FailedOn lists the workers on which a task failed.
func (t *Tracker) FailedOn(task string) []string { return t.taskFailures[task] }

// Limit is the number of tasks that a worker may run at once; negative is no limit.
func (t *Tracker) Limit(id string) int {
	if w := t.workers[id]; w != nil {
		return w.limit
	}
	return unlimited
}

// Changes takes the changes since the last call.
func (t *Tracker) Changes() []Change {
	taken := t.changes
	t.changes = nil
	return taken
}

// FailsEverywhere is the number of distinct workers on which a task failed
// although they run other tasks.
func (t *Tracker) FailsEverywhere(now time.Duration, task string) int {
	n := 0
	for _, id := range t.taskFailures[task] {
		w := t.workers[id]
		if w != nil && !w.quarantined && !w.probing && t.blame(w, id, now) < quarantineBlame {
			n++
		}
	}
	return n
}

func (t *Tracker) job(name string) *jobRecord {
	j := t.jobs[name]
	if j == nil {
		j = &jobRecord{failed: map[string]int{}, succeeded: map[string]int{}}
		t.jobs[name] = j
	}
	// Halving keeps the record short and lets old outcomes fade.
	if j.attempts++; j.attempts >= jobMemory {
		j.halve()
	}
	return j
}

// jobMemory is the number of outcomes after which those of a job are halved.
const jobMemory = 512

func (j *jobRecord) halve() {
	j.attempts = 0
	for _, counts := range []map[string]int{j.failed, j.succeeded} {
		for id, n := range counts {
			if counts[id] = n / 2; n < 2 {
				delete(counts, id)
			}
			j.attempts += n / 2
		}
	}
}

// Success records a task that ended well on a worker.
func (t *Tracker) Success(id, task, job string) {
	t.job(job).succeeded[id]++
	t.ForgetTask(task)
	w := t.workers[id]
	if w == nil {
		return
	}
	w.successes++
	if !w.probing {
		w.failures = nil
		return
	}
	if w.successes < w.limit {
		return
	}
	w.successes = 0
	w.limit *= 2
	if w.limit >= readmittedAt {
		*w = worker{limit: unlimited}
	}
	t.changes = append(t.changes, Change{Worker: id, Limit: w.limit, Kind: Readmitted})
}

// Failure records a task that failed on a worker.
func (t *Tracker) Failure(now time.Duration, id, task, job string) {
	t.job(job).failed[id]++
	t.remember(task, id)
	w := t.workers[id]
	if w == nil || w.quarantined {
		return
	}
	w.successes = 0
	w.failures = append(w.failures, failure{at: now, task: task, job: job})
	if len(w.failures) > maxFailures {
		w.failures = w.failures[1:]
	}
	t.judge(now, id, w)
}

// maxFailedTasks bounds the tasks whose failures are remembered.
const maxFailedTasks = 4096

func (t *Tracker) remember(task, id string) {
	on, known := t.taskFailures[task]
	if !known {
		t.failedTasks = append(t.failedTasks, task)
	}
	if !slices.Contains(on, id) {
		t.taskFailures[task] = append(on, id)
	}
	if len(t.failedTasks) > maxFailedTasks {
		delete(t.taskFailures, t.failedTasks[0])
		t.failedTasks = t.failedTasks[1:]
	}
}

func (t *Tracker) judge(now time.Duration, id string, w *worker) {
	blame := t.blame(w, id, now)
	faulty := blame >= quarantineBlame || (w.probing && blame >= probeBlame)
	if !t.enabled || !faulty {
		return
	}
	if !w.probing && (t.fleetAtFault(now) || t.quarantinedFull()) {
		return
	}
	w.probeAfter = min(max(2*w.probeAfter, firstProbeAfter), longestProbeAfter)
	w.until = now + w.probeAfter
	w.quarantined, w.probing, w.limit = true, false, 0
	w.failures = nil
	t.confined = append(t.confined, id)
	t.changes = append(t.changes, Change{Worker: id, Limit: 0, Kind: Quarantined, Blame: blame})
}

// probeBlame is the blame from which a worker on probation is quarantined again.
const probeBlame = 0.5

// blame sums over distinct failed tasks how likely the worker was at fault: a
// task or a job that fails elsewhere as well says little about the worker.
func (t *Tracker) blame(w *worker, id string, now time.Duration) float64 {
	sum := 0.0
	seen := map[string]bool{}
	for _, f := range w.failures {
		if seen[f.task] || now-f.at > blameMemory {
			continue
		}
		seen[f.task] = true
		sum += 1 - t.failsElsewhere(f, id)
	}
	return sum
}

// failsElsewhere is the likelihood, 0 to 1, that the task or its job is at fault.
func (t *Tracker) failsElsewhere(f failure, id string) float64 {
	j := t.jobs[f.job]
	if j == nil {
		return 0
	}
	failed, succeeded := 0, 0
	for other, n := range j.failed {
		if other != id && !t.suspect(other) {
			failed += n
		}
	}
	for other, n := range j.succeeded {
		if other != id {
			succeeded += n
		}
	}
	rate := float64(failed) / float64(failed+succeeded+1)
	others := 0
	for _, other := range t.taskFailures[f.task] {
		if other != id && !t.suspect(other) {
			others++
		}
	}
	if others > 0 {
		rate = max(rate, taskAtFault)
	}
	return rate
}

// taskAtFault is the likelihood that a task which failed on another sound worker
// is itself at fault.
const taskAtFault = 0.8

func (t *Tracker) suspect(id string) bool {
	w := t.workers[id]
	return w == nil || w.quarantined || w.probing
}

// fleetAtFault reports whether so many workers fail tasks at the same time that
// the cause is common to them.
func (t *Tracker) fleetAtFault(now time.Duration) bool {
	failing := 0
	for _, w := range t.workers {
		n := len(w.failures)
		if n > 0 && now-w.failures[n-1].at <= fleetWindow {
			failing++
		}
	}
	return failing >= fleetMinimum && float64(failing) >= fleetShare*float64(len(t.workers))
}

func (t *Tracker) quarantinedFull() bool {
	n := 0
	for _, w := range t.workers {
		if !w.absent && (w.quarantined || w.probing) {
			n++
		}
	}
	present := len(t.workers)
	allowed := max(minQuarantined, int(maxQuarantinedShare*float64(present)))
	return n >= min(allowed, present/2)
}

// Step ends quarantines that are over: the worker gets one task as a probe.
func (t *Tracker) Step(now time.Duration) {
	kept := t.confined[:0]
	for _, id := range t.confined {
		w := t.workers[id]
		if w == nil || !w.quarantined {
			continue
		}
		if now < w.until {
			kept = append(kept, id)
			continue
		}
		if w.absent {
			delete(t.workers, id)
			continue
		}
		w.quarantined, w.probing, w.limit, w.successes = false, true, 1, 0
		t.changes = append(t.changes, Change{Worker: id, Limit: 1, Kind: Probed})
	}
	t.confined = kept
}
