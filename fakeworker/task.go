package fakeworker

import (
	"encoding/json"
	"time"

	"geraniumwall/workerapi"
)

const (
	// checkpointEvery is the run time between two checkpoints of a task.
	checkpointEvery = time.Second
	// maxStep bounds the work of one quantum, so that a process that was frozen does
	// not count the time as work.
	maxStep = 5 * quantum
	// fenceAge is the time for which attempts of a task are remembered; no command
	// is delayed for longer.
	fenceAge = 10 * time.Minute
	maxFence = 10_000
)

// Payload is what a task of the stand-in does.
type Payload struct {
	RunMS    int64 `json:"run_ms"`
	Fail     bool  `json:"fail"`
	MemoryMB int64 `json:"memory_mb"`
}

// Checkpoint is the progress of a task.
type Checkpoint struct {
	RanMS int64 `json:"ran_ms"`
}

// Result is the result of a task.
type Result struct {
	Worker  string            `json:"worker"`
	Attempt workerapi.Attempt `json:"attempt"`
	// RanMS is the run time of the last attempt only.
	RanMS int64 `json:"ran_ms"`
}

// fence is the newest attempt of a task that the worker has seen or blocked.
type fence struct {
	attempt workerapi.Attempt
	at      time.Time
}

// attempt is one attempt on this worker until its end is acknowledged.
type attempt struct {
	report  workerapi.TaskReport
	payload Payload
	lease   time.Time
	share   float64
	// before is the run time of earlier attempts, ran that of this one.
	before time.Duration
	ran    time.Duration
	saved  time.Duration
	// unsent is set while the newest checkpoint was in no answered heartbeat.
	unsent bool
}

func (a *attempt) running() bool { return a.report.Phase == workerapi.PhaseRunning }

func newAttempt(c *workerapi.Start, lease time.Time) *attempt {
	a := &attempt{lease: lease, share: 1, report: workerapi.TaskReport{
		ID: c.ID, Attempt: c.Attempt, Phase: workerapi.PhaseRunning, Job: c.Job, Resources: c.Resources, Throttle: 1,
	}}
	_ = json.Unmarshal(c.Payload, &a.payload)
	if a.payload.RunMS <= 0 {
		a.payload.RunMS = c.ExpectedMS
	}
	var done Checkpoint
	_ = json.Unmarshal(c.Checkpoint, &done)
	a.before = time.Duration(done.RanMS) * time.Millisecond
	a.report.Checkpoint = c.Checkpoint
	a.saved = a.before
	return a
}

func (a *attempt) total() time.Duration { return time.Duration(a.payload.RunMS) * time.Millisecond }

// save takes a checkpoint.
func (a *attempt) save() {
	a.saved = a.before + a.ran
	a.report.Checkpoint, _ = json.Marshal(Checkpoint{RanMS: a.saved.Milliseconds()})
	a.unsent = true
}

func (a *attempt) refresh() {
	a.report.Used = a.report.Resources
	a.report.Used.CPUMillis = int64(float64(a.report.Resources.CPUMillis) * a.share)
	if a.payload.MemoryMB > 0 {
		a.report.Used.MemoryMB = a.payload.MemoryMB
	}
	a.report.Throttle = a.share
	a.report.SinceCheckpointMS = (a.before + a.ran - a.saved).Milliseconds()
	if total := a.total(); total > 0 {
		a.report.Progress = min(1, float64(a.before+a.ran)/float64(total))
	}
}

// advance runs every task for one quantum and ends those whose lease is over.
func (w *Worker) advance(now time.Time, step time.Duration) {
	step = min(step, maxStep)
	for _, a := range w.tasks {
		if !a.running() {
			continue
		}
		if !now.Before(a.lease) {
			a.save()
			w.finish(a, workerapi.PhaseStopped, a.lease)
			continue
		}
		a.ran += time.Duration(float64(step) * a.share)
		switch {
		case a.before+a.ran >= a.total() && a.payload.Fail:
			a.report.Error = "the payload asks for a failure"
			w.finish(a, workerapi.PhaseFailed, now)
		case a.before+a.ran >= a.total():
			a.report.Result, _ = json.Marshal(Result{
				Worker: w.settings.Name, Attempt: a.report.Attempt, RanMS: a.ran.Milliseconds(),
			})
			w.finish(a, workerapi.PhaseDone, now)
		case a.before+a.ran-a.saved >= checkpointEvery:
			a.save()
		}
	}
	w.forgetFences(now)
}

var finalEvents = map[workerapi.Phase]EventKind{
	workerapi.PhaseDone: TaskDone, workerapi.PhaseFailed: TaskFailed, workerapi.PhaseStopped: TaskStop,
}

// finish ends an attempt; it is reported until it is acknowledged.
func (w *Worker) finish(a *attempt, phase workerapi.Phase, at time.Time) {
	a.report.Phase = phase
	a.refresh()
	a.report.Used = workerapi.Resources{}
	e := w.event(at, finalEvents[phase])
	e.Task, e.Attempt, e.RanMS = a.report.ID, &a.report.Attempt, a.ran.Milliseconds()
	w.record.add(e)
	w.nudge()
}

// used is what running tasks take up by their declared sizes.
func (w *Worker) used() workerapi.Resources {
	var sum workerapi.Resources
	for _, a := range w.tasks {
		if a.running() {
			sum = sum.Plus(a.report.Resources)
		}
	}
	return sum
}

func (w *Worker) notePeak() {
	used := w.used()
	higher := used.CPUMillis > w.peak.CPUMillis || used.MemoryMB > w.peak.MemoryMB ||
		used.Accelerators > w.peak.Accelerators || w.busy > w.slotPeak
	if !higher {
		return
	}
	w.peak.CPUMillis = max(w.peak.CPUMillis, used.CPUMillis)
	w.peak.MemoryMB = max(w.peak.MemoryMB, used.MemoryMB)
	w.peak.Accelerators = max(w.peak.Accelerators, used.Accelerators)
	w.slotPeak = max(w.slotPeak, w.busy)
	e := w.event(time.Now(), Peak)
	peak := w.peak
	e.Use, e.Slots = &peak, w.slotPeak
	w.record.add(e)
}

func (w *Worker) forgetFences(now time.Time) {
	if len(w.newest) < maxFence {
		return
	}
	for id, f := range w.newest {
		if w.tasks[id] == nil && now.Sub(f.at) > fenceAge {
			delete(w.newest, id)
		}
	}
}
