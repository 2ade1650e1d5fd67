// Package jobs is the replicated state of jobs: jobs of several steps, each with a
// number of equal tasks, and the queues that take them in. It is a pure state
// machine: commands go in, committed and in order, and the state follows from them
// alone.
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

// String returns the key in the form that logs show.
func (k TaskKey) String() string {
	return fmt.Sprintf("%s/%d/%d/%d", k.Job, k.Occurrence, k.Step, k.Index)
}

// Resources are amounts of a worker's capacity.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64 `json:"cpu,omitempty"`
	MemoryMB int64 `json:"mem,omitempty"`
	GPUs     int64 `json:"gpu,omitempty"`
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.GPUs + o.GPUs}
}

// Sub returns the difference.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.GPUs - o.GPUs}
}

// Fits reports whether the amounts fit into the room.
func (r Resources) Fits(room Resources) bool {
	return r.MilliCPU <= room.MilliCPU && r.MemoryMB <= room.MemoryMB && r.GPUs <= room.GPUs
}

// Step describes the equal tasks of one step of a job.
type Step struct {
	Count    int       `json:"count"`
	Request  Resources `json:"request"`
	Estimate int64     `json:"estimate_ms,omitempty"`
	// DependsOn are earlier steps that must be done first.
	DependsOn    []int `json:"depends_on,omitempty"`
	Checkpointed bool  `json:"checkpointed,omitempty"`
	Gang         bool  `json:"gang,omitempty"`
	SameRack     bool  `json:"same_rack,omitempty"`
	// RequiredLabel is a label that the worker must have.
	RequiredLabel string `json:"required_label,omitempty"`
	// DataRack is the rack on which the tasks run fastest.
	DataRack string `json:"data_rack,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; 0 is no bound.
	MaxPerWorker int `json:"max_per_worker,omitempty"`
	// Speculative steps may run copies of a task in parallel.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool   `json:"long_running,omitempty"`
	Image       string `json:"image,omitempty"`
	// TailTarget is the latency objective of a serving task, in milliseconds.
	TailTarget int64 `json:"tail_target_ms,omitempty"`
	// Filler tasks use only the processor time that others leave.
	Filler bool `json:"filler,omitempty"`
	// MaxUnavailable bounds the disruption of a long-running step.
	MaxUnavailable int `json:"max_unavailable,omitempty"`
}

// Charge is what a task takes from the capacity of its worker.
func (s *Step) Charge() Resources {
	charge := s.Request
	if s.Filler {
		charge.MilliCPU = 0
	}
	return charge
}

// Spec is what a caller submits.
type Spec struct {
	// Payload is passed to the workers with each start.
	Payload string `json:"payload"`
	Steps   []Step `json:"steps"`
	// Occurrences is the number of scheduled runs, 0 for a job that runs at once.
	Occurrences int `json:"occurrences,omitempty"`
	// FirstStart is the due time of the first occurrence, Period the time between
	// two, in Unix milliseconds and milliseconds.
	FirstStart int64 `json:"first_start_ms,omitempty"`
	Period     int64 `json:"period_ms,omitempty"`
}

// Runs is the number of occurrences, one for a job without a schedule.
func (s *Spec) Runs() int { return max(1, s.Occurrences) }

// Due returns the Unix time from which an occurrence may start, 0 for at once.
func (s *Spec) Due(occurrence int) int64 {
	if s.Occurrences == 0 {
		return s.FirstStart
	}
	return s.FirstStart + int64(occurrence)*s.Period
}

// State is the state of a job.
type State string

// States of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Ended reports whether the state is final.
func (s State) Ended() bool { return s == Done || s == Failed || s == Cancelled }

// Outcome is how an attempt ended.
type Outcome string

// Outcomes of an attempt.
const (
	OutcomeDone Outcome = "done"
	// OutcomeFailed counts against the limit of attempts.
	OutcomeFailed Outcome = "failed"
	// OutcomeStopped follows an order to stop.
	OutcomeStopped Outcome = "stopped"
	// OutcomeLapsed follows the end of the worker's lease.
	OutcomeLapsed Outcome = "lapsed"
	// OutcomeBroken: another member of the gang ended.
	OutcomeBroken Outcome = "broken"
	// OutcomeAlone: the other members of the gang did not come.
	OutcomeAlone Outcome = "alone"
	// OutcomeLost: the attempt certainly runs no more and never will, and nothing
	// else is known of it.
	OutcomeLost Outcome = "lost"
)

// Incarnation identifies one life of a worker process.
type Incarnation struct {
	Worker string `json:"w"`
	// Born is the start of the process in Unix milliseconds by its own clock.
	Born int64 `json:"b"`
}

// Task is the state of one task.
type Task struct {
	Key TaskKey `json:"k"`
	// Attempt is the number of the newest attempt, 0 before the first.
	Attempt int `json:"a,omitempty"`
	// Bound names the worker of the current attempt; nil while the task waits.
	Bound    *Incarnation `json:"on,omitempty"`
	Done     bool         `json:"d,omitempty"`
	Failures int          `json:"f,omitempty"`
	// Checkpoint is the newest known one, empty for none.
	Checkpoint string `json:"c,omitempty"`
	// BoundAt and EndedAt are times of the log leader in Unix milliseconds.
	BoundAt int64 `json:"ba,omitempty"`
	EndedAt int64 `json:"ea,omitempty"`
	// GivenUp are the attempts whose end the worker had not told when they were given
	// up. It may still tell it.
	GivenUp []int `json:"g,omitempty"`
}

// run is one occurrence of the steps of a job.
type run struct {
	Steps []stepRun `json:"steps"`
}

type stepRun struct {
	Tasks []Task `json:"tasks"`
	Left  int    `json:"left"`
}

// Job is an accepted job.
type Job struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	Spec  Spec   `json:"spec"`
	// AcceptedAt is the Unix time of the submission in milliseconds.
	AcceptedAt int64 `json:"at"`
	State      State `json:"state"`
	// EndedAt is the Unix time of the end in milliseconds, 0 before.
	EndedAt int64 `json:"end,omitempty"`
	// Unsubmitted marks a cancelled job whose submission has not arrived.
	Unsubmitted bool  `json:"unsubmitted,omitempty"`
	Started     bool  `json:"started,omitempty"`
	Runs        []run `json:"runs,omitempty"`
	runsLeft    int
}

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

// Step returns the description of a task's step.
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

// Task returns a task, or nil.
func (j *Job) Task(k TaskKey) *Task {
	s := j.stepRun(k)
	if s == nil || k.Index < 0 || k.Index >= len(s.Tasks) {
		return nil
	}
	return &s.Tasks[k.Index]
}

// Ready reports whether all steps that the step depends on are done.
func (j *Job) Ready(occurrence, step int) bool {
	for _, earlier := range j.Spec.Steps[step].DependsOn {
		if j.Runs[occurrence].Steps[earlier].Left > 0 {
			return false
		}
	}
	return true
}

// newRuns makes the tasks of all occurrences.
func (j *Job) newRuns() {
	j.Runs = make([]run, j.Spec.Runs())
	for o := range j.Runs {
		steps := make([]stepRun, len(j.Spec.Steps))
		for s := range steps {
			count := j.Spec.Steps[s].Count
			steps[s] = stepRun{Tasks: make([]Task, count), Left: count}
			for i := range steps[s].Tasks {
				steps[s].Tasks[i].Key = TaskKey{j.ID, o, s, i}
			}
		}
		j.Runs[o].Steps = steps
	}
	j.countLeft()
}

// countLeft finds how many occurrences have tasks left.
func (j *Job) countLeft() {
	j.runsLeft = 0
	for o := range j.Runs {
		left := slices.ContainsFunc(j.Runs[o].Steps, func(s stepRun) bool { return s.Left > 0 })
		if left {
			j.runsLeft++
		}
	}
}
