// Package jobs implements the replicated state machine of jobs and queues. A job has
// one or more steps, and each step a number of identical tasks. The state depends only
// on the committed commands, which are applied in log order.
package jobs

import (
	"fmt"
	"slices"
)

// TaskKey identifies a task. Occurrence is 0 for a job without a schedule.
type TaskKey struct {
	Job        string `json:"j"`
	Occurrence int    `json:"o,omitempty"`
	Step       int    `json:"s,omitempty"`
	Index      int    `json:"i,omitempty"`
}

// String formats the key for logs.
func (k TaskKey) String() string {
	return fmt.Sprintf("%s/%d/%d/%d", k.Job, k.Occurrence, k.Step, k.Index)
}

// Resources are amounts of CPU, memory and GPUs.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64 `json:"cpu,omitempty"`
	MemoryMB int64 `json:"mem,omitempty"`
	GPUs     int64 `json:"gpu,omitempty"`
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.GPUs + o.GPUs}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.GPUs - o.GPUs}
}

// FitsIn reports whether r does not exceed the available resources.
func (r Resources) FitsIn(available Resources) bool {
	return r.MilliCPU <= available.MilliCPU && r.MemoryMB <= available.MemoryMB && r.GPUs <= available.GPUs
}

// Step describes the identical tasks of one step of a job.
type Step struct {
	Count      int       `json:"count"`
	Request    Resources `json:"request"`
	EstimateMS int64     `json:"estimate_ms,omitempty"`
	// DependsOn are the indexes of earlier steps that must be done first.
	DependsOn    []int `json:"depends_on,omitempty"`
	Checkpointed bool  `json:"checkpointed,omitempty"`
	Gang         bool  `json:"gang,omitempty"`
	SameRack     bool  `json:"same_rack,omitempty"`
	// RequiredLabel is a label that the worker must have; empty for none.
	RequiredLabel string `json:"required_label,omitempty"`
	// DataRack is the rack that holds the input data, where the tasks run fastest.
	DataRack string `json:"data_rack,omitempty"`
	// MaxPerWorker limits the tasks of the step on one worker; 0 is no limit.
	MaxPerWorker int `json:"max_per_worker,omitempty"`
	// Speculative steps may run copies of a task in parallel.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool   `json:"long_running,omitempty"`
	Image       string `json:"image,omitempty"`
	// LatencyTargetMS is the latency objective of a serving task, in milliseconds.
	LatencyTargetMS int64 `json:"tail_target_ms,omitempty"`
	// Filler tasks are best-effort: they use only CPU time that other tasks leave idle.
	Filler bool `json:"filler,omitempty"`
	// MaxUnavailable limits the disruption of a long-running step.
	MaxUnavailable int `json:"max_unavailable,omitempty"`
}

// ReservedResources returns the capacity that a task reserves on its worker. Fillers
// reserve no CPU.
func (s *Step) ReservedResources() Resources {
	reserved := s.Request
	if s.Filler {
		reserved.MilliCPU = 0
	}
	return reserved
}

// Spec is the description of a job as a caller submits it.
type Spec struct {
	// Payload is opaque to the scheduler and is sent to the worker with each start.
	Payload string `json:"payload"`
	Steps   []Step `json:"steps"`
	// Occurrences is the number of scheduled runs, 0 for a job without a schedule.
	Occurrences int `json:"occurrences,omitempty"`
	// FirstStart is the due time of the first occurrence in Unix milliseconds. Period
	// is the time between two occurrences in milliseconds.
	FirstStart int64 `json:"first_start_ms,omitempty"`
	Period     int64 `json:"period_ms,omitempty"`
}

// OccurrenceCount returns the number of occurrences, 1 for a job without a schedule.
func (s *Spec) OccurrenceCount() int { return max(1, s.Occurrences) }

// Due returns the earliest start of an occurrence in Unix milliseconds, 0 for
// immediately.
func (s *Spec) Due(occurrence int) int64 {
	if s.Occurrences == 0 {
		return s.FirstStart
	}
	return s.FirstStart + int64(occurrence)*s.Period
}

// State is the lifecycle state of a job.
type State string

// Job states.
const (
	// Queued jobs are accepted. Their tasks may be bound, but none is known to have started.
	Queued State = "queued"
	// Running jobs have started, and stay so while all of their tasks wait to run again.
	Running   State = "running"
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Ended reports whether the state is final.
func (s State) Ended() bool { return s == Done || s == Failed || s == Cancelled }

// Outcome is how an attempt ended.
type Outcome string

// Attempt outcomes.
const (
	OutcomeDone Outcome = "done"
	// OutcomeFailed counts towards Queue.MaxAttempts.
	OutcomeFailed Outcome = "failed"
	// OutcomeStopped means that the worker stopped the attempt on request.
	OutcomeStopped Outcome = "stopped"
	// OutcomeLeaseExpired means that the worker's lease expired.
	OutcomeLeaseExpired Outcome = "lapsed"
	// OutcomeGangMemberEnded means that another member of the gang ended.
	OutcomeGangMemberEnded Outcome = "broken"
	// OutcomeGangIncomplete means that the other members of the gang did not start.
	OutcomeGangIncomplete Outcome = "alone"
	// OutcomeLost means that the attempt does not run and cannot start any more, and
	// that its result is unknown.
	OutcomeLost Outcome = "lost"
	// OutcomeCrashed is like OutcomeLost, after the worker process has ended abnormally
	// while the attempt may have been running there. It counts towards Task.Crashes.
	OutcomeCrashed Outcome = "crashed"
)

// Incarnation identifies one run of a worker process. A restarted worker has the same
// id and a new incarnation.
type Incarnation struct {
	Worker string `json:"w"`
	// StartedAtMS is the start time of the process in Unix milliseconds, by its own
	// clock.
	StartedAtMS int64 `json:"b"`
}

// Task is the state of one task.
type Task struct {
	Key TaskKey `json:"k"`
	// Attempt is the number of the latest attempt, 0 before the first.
	Attempt int `json:"a,omitempty"`
	// BoundTo is the worker of the current attempt, nil if there is none.
	BoundTo  *Incarnation `json:"on,omitempty"`
	Done     bool         `json:"d,omitempty"`
	Failures int          `json:"f,omitempty"`
	// Checkpoint is the latest known checkpoint, empty for none.
	Checkpoint string `json:"c,omitempty"`
	// BoundAt and EndedAt are Unix milliseconds by the clock of the leader.
	BoundAt int64 `json:"ba,omitempty"`
	EndedAt int64 `json:"ea,omitempty"`
	// AbandonedAttempts are the attempts that were abandoned before their worker reported
	// an end. The worker may still report it.
	AbandonedAttempts []int `json:"g,omitempty"`
	// Crashes counts the workers that have crashed under the task. Long-running tasks start
	// anew with each attempt that has run for stableRunMS.
	Crashes int `json:"cr,omitempty"`
	// LateCrashes are those of Crashes that became known after the lease of the worker: the
	// attempt may have ended with the lease before.
	LateCrashes int `json:"lc,omitempty"`
	// ExpiredAttempts are the latest attempts that ended with the lease of their worker, the
	// oldest first. The worker may have crashed; this is known once it is back.
	ExpiredAttempts []ExpiredAttempt `json:"ex,omitempty"`
}

// ExpiredAttempt is an attempt that ended with the lease of its worker.
type ExpiredAttempt struct {
	Attempt int         `json:"a"`
	On      Incarnation `json:"on"`
	// HostPort is the address of the worker, empty if it has registered anew since.
	HostPort string `json:"addr,omitempty"`
	// EndedAt has the meaning of the field of Task.
	EndedAt int64 `json:"ea"`
}

// run is the state of one occurrence of a job.
type run struct {
	Steps []stepRun `json:"steps"`
}

type stepRun struct {
	Tasks     []Task `json:"tasks"`
	Remaining int    `json:"left"`
}

// Job is the state of a submitted job.
type Job struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	Spec  Spec   `json:"spec"`
	// AcceptedAt is the time of the submission in Unix milliseconds.
	AcceptedAt int64 `json:"at"`
	State      State `json:"state"`
	// StartedAt is when a worker was first known to have begun a task, in Unix milliseconds, 0
	// before. It is missing in snapshots of earlier versions.
	StartedAt int64 `json:"started_at,omitempty"`
	// EndedAt is the time of the end in Unix milliseconds, 0 while the job is active.
	EndedAt int64 `json:"end,omitempty"`
	// Unsubmitted is set for a job that was cancelled before its submission arrived.
	Unsubmitted   bool  `json:"unsubmitted,omitempty"`
	Runs          []run `json:"runs,omitempty"`
	runsRemaining int
	// maxCrashes is an upper bound of Task.Crashes.
	maxCrashes int
}

// MaxCrashes returns an upper bound of the number of workers that have crashed under one
// task of the job.
func (j *Job) MaxCrashes() int { return j.maxCrashes }

// Tasks calls visit with each task of the job.
func (j *Job) Tasks(visit func(*Task)) {
	for o := range j.Runs {
		for s := range j.Runs[o].Steps {
			tasks := j.Runs[o].Steps[s].Tasks
			for i := range tasks {
				visit(&tasks[i])
			}
		}
	}
}

// Step returns the step that a task belongs to.
func (j *Job) Step(k TaskKey) *Step { return &j.Spec.Steps[k.Step] }

func (j *Job) stepRun(k TaskKey) *stepRun {
	if k.Occurrence < 0 || k.Occurrence >= len(j.Runs) {
		return nil
	}
	steps := j.Runs[k.Occurrence].Steps
	if k.Step < 0 || k.Step >= len(steps) {
		return nil
	}
	return &steps[k.Step]
}

// StepTasks returns the tasks of one step of one occurrence.
func (j *Job) StepTasks(occurrence, step int) []Task {
	s := j.stepRun(TaskKey{Occurrence: occurrence, Step: step})
	if s == nil {
		return nil
	}
	return s.Tasks
}

// Task returns the task with the given key, or nil.
func (j *Job) Task(k TaskKey) *Task {
	s := j.stepRun(k)
	if s == nil || k.Index < 0 || k.Index >= len(s.Tasks) {
		return nil
	}
	return &s.Tasks[k.Index]
}

// StepReady reports whether all steps that the step depends on are done.
func (j *Job) StepReady(occurrence, step int) bool {
	for _, dependency := range j.Spec.Steps[step].DependsOn {
		if j.Runs[occurrence].Steps[dependency].Remaining > 0 {
			return false
		}
	}
	return true
}

// initRuns creates the tasks of all occurrences.
func (j *Job) initRuns() {
	j.Runs = make([]run, j.Spec.OccurrenceCount())
	for o := range j.Runs {
		steps := make([]stepRun, len(j.Spec.Steps))
		for s := range steps {
			count := j.Spec.Steps[s].Count
			steps[s] = stepRun{Tasks: make([]Task, count), Remaining: count}
			for i := range steps[s].Tasks {
				steps[s].Tasks[i].Key = TaskKey{j.ID, o, s, i}
			}
		}
		j.Runs[o].Steps = steps
	}
	j.countRemainingRuns()
}

// countRemainingRuns recomputes the number of occurrences with unfinished tasks.
func (j *Job) countRemainingRuns() {
	j.runsRemaining = 0
	for o := range j.Runs {
		unfinished := slices.ContainsFunc(j.Runs[o].Steps, func(s stepRun) bool { return s.Remaining > 0 })
		if unfinished {
			j.runsRemaining++
		}
	}
}
