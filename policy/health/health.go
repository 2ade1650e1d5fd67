// Package health distinguishes a worker that fails the tasks it runs from a task
// that fails on every worker, and quarantines failing workers.
package health

import (
	"slices"
	"time"
)

// Thresholds and limits of quarantine.
const (
	// quarantineThreshold is the blame score at which a worker is quarantined. It is
	// about the number of distinct tasks that failed on this worker and on no other,
	// without a success in between.
	quarantineThreshold = 2.5
	// failureWindow is how long a failure counts towards the blame score.
	failureWindow = 10 * time.Minute
	// fleetFaultWindow is the time within which failing workers are counted to detect
	// a failure with a cause common to the fleet.
	fleetFaultWindow = time.Minute
	// fleetFaultShare is the share of failing workers that indicates a common cause.
	fleetFaultShare = 0.25
	// fleetFaultMinWorkers is the number of failing workers below which no common
	// cause is assumed.
	fleetFaultMinWorkers = 4
	// maxQuarantinedShare is the largest share of the workers, and so of the capacity,
	// that may be quarantined or on probation.
	maxQuarantinedShare = 0.1
	// minQuarantined workers may be quarantined in a small domain as well, but never
	// more than half of the workers, so that some are left to run tasks.
	minQuarantined = 2
	// minProbeDelay and maxProbeDelay bound the length of a quarantine, which doubles
	// after each failed probe.
	minProbeDelay = 30 * time.Second
	maxProbeDelay = 10 * time.Minute
	// fullReadmissionLimit is the limit of running tasks at which a worker on
	// probation is healthy again.
	fullReadmissionLimit = 16
	// noLimit is the limit of a healthy worker.
	noLimit = -1
	// maxFailuresPerWorker bounds the failures kept per worker.
	maxFailuresPerWorker = 16
)

// failure is a failed attempt of a task.
type failure struct {
	at        time.Duration
	task, job string
}

// worker is the health record of one worker.
type worker struct {
	failures []failure
	// successes is the number of tasks done since the last failure or change of limit.
	successes   int
	quarantined bool
	// onProbation is set after a quarantine. The worker has a limit of running tasks
	// and is quarantined again at probationThreshold.
	onProbation      bool
	limit            int
	probeDelay       time.Duration
	quarantinedUntil time.Duration
	// departed is set if the worker left while it was quarantined.
	departed bool
}

// jobOutcomes counts the outcomes of the tasks of a job by worker.
type jobOutcomes struct {
	failed    map[string]int
	succeeded map[string]int
	total     int
}

// Change is a change of the limit of running tasks of a worker.
type Change struct {
	Worker string
	// Limit is the number of tasks that may run at once; negative means no limit.
	Limit int
	// Kind is quarantined, probed or readmitted.
	Kind string
	// Blame is the blame score that led to a quarantine.
	Blame float64
}

// Kinds of changes. Readmitted is reported each time the limit is raised.
const (
	Quarantined = "quarantined"
	Probed      = "probed"
	Readmitted  = "readmitted"
)

// Tracker tracks the health of the workers of one domain.
type Tracker struct {
	workers map[string]*worker
	jobs    map[string]*jobOutcomes
	// failedOn lists the workers on which a task failed, by task.
	failedOn map[string][]string
	// failedTaskOrder holds the tasks of failedOn in the order of their first failure.
	failedTaskOrder []string
	// quarantinedIDs lists the quarantined workers, longest quarantined first.
	quarantinedIDs []string
	changes        []Change
	enabled        bool
}

// NewTracker returns an empty tracker. A disabled tracker never quarantines a
// worker.
func NewTracker(enabled bool) *Tracker {
	return &Tracker{
		workers:  map[string]*worker{},
		jobs:     map[string]*jobOutcomes{},
		failedOn: map[string][]string{},
		enabled:  enabled,
	}
}

// Add registers a worker. The record of a worker that is already registered is
// kept.
func (t *Tracker) Add(id string) {
	w := t.workers[id]
	if w == nil {
		w = &worker{limit: noLimit}
		t.workers[id] = w
	}
	w.departed = false
}

// Forget removes a worker that left. The record of a quarantined worker is kept
// until the quarantine ends, so that a failing worker cannot end it by restarting.
func (t *Tracker) Forget(id string) {
	w := t.workers[id]
	if w != nil && w.quarantined {
		w.departed = true
		return
	}
	delete(t.workers, id)
}

// ForgetTask drops the failures of a task that will not run again.
func (t *Tracker) ForgetTask(task string) { delete(t.failedOn, task) }

// FailedOn returns the workers on which a task failed.
func (t *Tracker) FailedOn(task string) []string { return t.failedOn[task] }

// Limit returns the number of tasks that a worker may run at once; negative means
// no limit.
func (t *Tracker) Limit(id string) int {
	if w := t.workers[id]; w != nil {
		return w.limit
	}
	return noLimit
}

// Changes returns the changes since the last call and clears them.
func (t *Tracker) Changes() []Change {
	taken := t.changes
	t.changes = nil
	return taken
}

// FailsEverywhere returns the number of distinct workers on which a task failed and
// that are healthy, so that the task is likely at fault.
func (t *Tracker) FailsEverywhere(now time.Duration, task string) int {
	n := 0
	for _, id := range t.failedOn[task] {
		w := t.workers[id]
		if w != nil && !w.quarantined && !w.onProbation && t.blameScore(w, id, now) < quarantineThreshold {
			n++
		}
	}
	return n
}

// countOutcome counts one outcome of a job and returns its record, in which the
// caller records the outcome.
func (t *Tracker) countOutcome(name string) *jobOutcomes {
	j := t.jobs[name]
	if j == nil {
		j = &jobOutcomes{failed: map[string]int{}, succeeded: map[string]int{}}
		t.jobs[name] = j
	}
	// Halving bounds the size of the record and gives old outcomes less weight.
	if j.total++; j.total >= maxJobOutcomes {
		j.halve()
	}
	return j
}

// maxJobOutcomes is the number of outcomes of a job at which all counts are halved.
const maxJobOutcomes = 512

func (j *jobOutcomes) halve() {
	j.total = 0
	for _, counts := range []map[string]int{j.failed, j.succeeded} {
		for id, n := range counts {
			if counts[id] = n / 2; n < 2 {
				delete(counts, id)
			}
			j.total += n / 2
		}
	}
}

// Success records that a task succeeded on a worker. On probation, the limit of the
// worker doubles after as many successes in a row as the limit.
func (t *Tracker) Success(id, task, job string) {
	t.countOutcome(job).succeeded[id]++
	t.ForgetTask(task)
	w := t.workers[id]
	if w == nil {
		return
	}
	w.successes++
	if !w.onProbation {
		w.failures = nil
		return
	}
	if w.successes < w.limit {
		return
	}
	w.successes = 0
	w.limit *= 2
	if w.limit >= fullReadmissionLimit {
		*w = worker{limit: noLimit}
	}
	t.changes = append(t.changes, Change{Worker: id, Limit: w.limit, Kind: Readmitted})
}

// Failure records that a task failed on a worker, and quarantines the worker if it
// is likely at fault.
func (t *Tracker) Failure(now time.Duration, id, task, job string) {
	t.countOutcome(job).failed[id]++
	t.recordTaskFailure(task, id)
	w := t.workers[id]
	if w == nil || w.quarantined {
		return
	}
	w.successes = 0
	w.failures = append(w.failures, failure{at: now, task: task, job: job})
	if len(w.failures) > maxFailuresPerWorker {
		w.failures = w.failures[1:]
	}
	t.quarantineIfFaulty(now, id, w)
}

// maxFailedTasks bounds the number of tasks whose failures are kept.
const maxFailedTasks = 4096

func (t *Tracker) recordTaskFailure(task, id string) {
	on, known := t.failedOn[task]
	if !known {
		t.failedTaskOrder = append(t.failedTaskOrder, task)
	}
	if !slices.Contains(on, id) {
		t.failedOn[task] = append(on, id)
	}
	if len(t.failedTaskOrder) > maxFailedTasks {
		delete(t.failedOn, t.failedTaskOrder[0])
		t.failedTaskOrder = t.failedTaskOrder[1:]
	}
}

func (t *Tracker) quarantineIfFaulty(now time.Duration, id string, w *worker) {
	score := t.blameScore(w, id, now)
	faulty := score >= quarantineThreshold || (w.onProbation && score >= probationThreshold)
	if !t.enabled || !faulty {
		return
	}
	if !w.onProbation && (t.fleetAtFault(now) || t.quarantineFull()) {
		return
	}
	w.probeDelay = min(max(2*w.probeDelay, minProbeDelay), maxProbeDelay)
	w.quarantinedUntil = now + w.probeDelay
	w.quarantined, w.onProbation, w.limit = true, false, 0
	w.failures = nil
	t.quarantinedIDs = append(t.quarantinedIDs, id)
	t.changes = append(t.changes, Change{Worker: id, Limit: 0, Kind: Quarantined, Blame: score})
}

// probationThreshold is the blame score at which a worker on probation is
// quarantined again.
const probationThreshold = 0.5

// blameScore sums, over the distinct tasks that failed on the worker, the likelihood
// that the worker was at fault. A task or job that also fails on other workers adds
// little.
func (t *Tracker) blameScore(w *worker, id string, now time.Duration) float64 {
	sum := 0.0
	seen := map[string]bool{}
	for _, f := range w.failures {
		if seen[f.task] || now-f.at > failureWindow {
			continue
		}
		seen[f.task] = true
		sum += 1 - t.taskFaultLikelihood(f, id)
	}
	return sum
}

// taskFaultLikelihood returns the likelihood, from 0 to 1, that the task or its job
// is at fault for a failure on the worker.
func (t *Tracker) taskFaultLikelihood(f failure, id string) float64 {
	j := t.jobs[f.job]
	if j == nil {
		return 0
	}
	failed, succeeded := 0, 0
	for other, n := range j.failed {
		if other != id && !t.isSuspect(other) {
			failed += n
		}
	}
	for other, n := range j.succeeded {
		if other != id {
			succeeded += n
		}
	}
	likelihood := float64(failed) / float64(failed+succeeded+1)
	failedElsewhere := 0
	for _, other := range t.failedOn[f.task] {
		if other != id && !t.isSuspect(other) {
			failedElsewhere++
		}
	}
	if failedElsewhere > 0 {
		likelihood = max(likelihood, minRepeatFailureLikelihood)
	}
	return likelihood
}

// minRepeatFailureLikelihood is the minimum likelihood that a task is at fault if it
// also failed on another healthy worker.
const minRepeatFailureLikelihood = 0.8

// isSuspect reports whether failures on a worker say little about the task, because
// the worker is unknown, quarantined or on probation.
func (t *Tracker) isSuspect(id string) bool {
	w := t.workers[id]
	return w == nil || w.quarantined || w.onProbation
}

// fleetAtFault reports whether so many workers fail tasks at the same time that a
// common cause is likely.
func (t *Tracker) fleetAtFault(now time.Duration) bool {
	failing := 0
	for _, w := range t.workers {
		n := len(w.failures)
		if n > 0 && now-w.failures[n-1].at <= fleetFaultWindow {
			failing++
		}
	}
	return failing >= fleetFaultMinWorkers && float64(failing) >= fleetFaultShare*float64(len(t.workers))
}

// quarantineFull reports whether the domain can't spare another worker.
func (t *Tracker) quarantineFull() bool {
	n := 0
	for _, w := range t.workers {
		if !w.departed && (w.quarantined || w.onProbation) {
			n++
		}
	}
	known := len(t.workers)
	allowed := max(minQuarantined, int(maxQuarantinedShare*float64(known)))
	return n >= min(allowed, known/2)
}

// Step ends the quarantines whose time is over. Such a worker is put on probation
// and may run one task as a probe.
func (t *Tracker) Step(now time.Duration) {
	remaining := t.quarantinedIDs[:0]
	for _, id := range t.quarantinedIDs {
		w := t.workers[id]
		if w == nil || !w.quarantined {
			continue
		}
		if now < w.quarantinedUntil {
			remaining = append(remaining, id)
			continue
		}
		if w.departed {
			delete(t.workers, id)
			continue
		}
		w.quarantined, w.onProbation, w.limit, w.successes = false, true, 1, 0
		t.changes = append(t.changes, Change{Worker: id, Limit: 1, Kind: Probed})
	}
	t.quarantinedIDs = remaining
}
