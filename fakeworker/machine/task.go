package machine

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"geraniumwall/workerapi"
)

const (
	// checkpointEvery is the run time between two checkpoints of a task.
	checkpointEvery = time.Second
	// maxStep bounds the work of one quantum, so that a process that was frozen does
	// not count the time as work.
	maxStep = 50 * time.Millisecond
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
	at      time.Duration
}

// attempt is one attempt on this worker until its end is acknowledged.
type attempt struct {
	report  workerapi.TaskReport
	payload Payload
	lease   time.Duration
	share   float64
	// before is the run time of earlier attempts, ran that of this one.
	before time.Duration
	ran    time.Duration
	saved  time.Duration
	// unsent is set while the newest checkpoint was in no answered heartbeat.
	unsent bool
}

func (a *attempt) running() bool { return a.report.Phase == workerapi.PhaseRunning }

func newAttempt(c *workerapi.Start, lease time.Duration) *attempt {
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

// Advance runs every task for one quantum and ends those whose lease is over.
func (m *Machine) Advance(now, step time.Duration) {
	step = min(step, maxStep)
	for _, id := range m.taskIDs() {
		a := m.tasks[id]
		if !a.running() {
			continue
		}
		if now >= a.lease {
			a.save()
			m.finish(a, workerapi.PhaseStopped, a.lease)
			continue
		}
		a.ran += time.Duration(float64(step) * a.share)
		switch {
		case a.before+a.ran >= a.total() && a.payload.Fail:
			a.report.Error = "the payload asks for a failure"
			m.finish(a, workerapi.PhaseFailed, now)
		case a.before+a.ran >= a.total():
			a.report.Result, _ = json.Marshal(Result{
				Worker: m.settings.Name, Attempt: a.report.Attempt, RanMS: a.ran.Milliseconds(),
			})
			m.finish(a, workerapi.PhaseDone, now)
		case a.before+a.ran-a.saved >= checkpointEvery:
			a.save()
		}
	}
	m.forgetFences(now)
}

var finalEvents = map[workerapi.Phase]EventKind{
	workerapi.PhaseDone: TaskDone, workerapi.PhaseFailed: TaskFailed, workerapi.PhaseStopped: TaskStop,
}

// finish ends an attempt; it is reported until it is acknowledged.
func (m *Machine) finish(a *attempt, phase workerapi.Phase, at time.Duration) {
	a.report.Phase = phase
	a.refresh()
	a.report.Used = workerapi.Resources{}
	m.record(Event{At: at, Kind: finalEvents[phase], Task: a.report.ID, Attempt: a.report.Attempt, Ran: a.ran})
}

// taskIDs returns the tasks in a fixed order, so that equal runs are equal.
func (m *Machine) taskIDs() []string { return slices.Sorted(maps.Keys(m.tasks)) }

func (m *Machine) forgetFences(now time.Duration) {
	if len(m.newest) < maxFence {
		return
	}
	for id, f := range m.newest {
		if m.tasks[id] == nil && now-f.at > fenceAge {
			delete(m.newest, id)
		}
	}
}
