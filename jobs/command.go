package jobs

import (
	"encoding/json"
	"fmt"
)

// Command is one entry of the replicated log. Exactly one field is set.
type Command struct {
	Configure     *Configure     `json:"conf,omitempty"`
	Submit        *Submit        `json:"sub,omitempty"`
	Cancel        *Cancel        `json:"can,omitempty"`
	Bind          *Bind          `json:"bind,omitempty"`
	End           *End           `json:"end,omitempty"`
	Prune         *Prune         `json:"prune,omitempty"`
	RecordEffects *RecordEffects `json:"learn,omitempty"`
	// RegisterWorker and RemoveWorker are ignored by versions that do not know them. The
	// leader registers each worker anew that it finds unregistered.
	RegisterWorker *RegisterWorker `json:"reg,omitempty"`
	RemoveWorker   *RemoveWorker   `json:"unreg,omitempty"`
	// RecordStarts is ignored by versions that do not know it: they take jobs for started once
	// a task is bound.
	RecordStarts *RecordStarts `json:"began,omitempty"`
	// Evacuate and EndEvacuation are ignored by versions that do not know them.
	Evacuate      *Evacuate      `json:"evac,omitempty"`
	EndEvacuation *EndEvacuation `json:"unevac,omitempty"`
}

// Task returns the task that the command refers to, or the zero key if it does not
// refer to a single task.
func (c *Command) Task() TaskKey {
	switch {
	case c.Bind != nil:
		return c.Bind.Task
	case c.End != nil:
		return c.End.Task
	}
	return TaskKey{}
}

// at returns the time of the leader that proposed the command, in Unix milliseconds, or 0
// if the command has none.
func (c *Command) at() int64 {
	switch {
	case c.Submit != nil:
		return c.Submit.At
	case c.Cancel != nil:
		return c.Cancel.At
	case c.Bind != nil:
		return c.Bind.At
	case c.End != nil:
		return c.End.At
	case c.RecordStarts != nil:
		return c.RecordStarts.At
	case c.RegisterWorker != nil:
		return c.RegisterWorker.At
	case c.Evacuate != nil:
		return c.Evacuate.At
	case c.EndEvacuation != nil:
		return c.EndEvacuation.At
	}
	return 0
}

// Configure activates a configuration if its version is higher than the current one.
type Configure struct {
	Config Config `json:"c"`
}

// Submit accepts a job. Submitting the same id again changes nothing.
type Submit struct {
	ID    string `json:"id"`
	Queue string `json:"q"`
	Spec  Spec   `json:"spec"`
	At    int64  `json:"at"`
}

// Cancel ends a job. Cancelling an unknown id is recorded too, so that a submission
// that arrives later does not start the job.
type Cancel struct {
	ID string `json:"id"`
	At int64  `json:"at"`
}

// Bind assigns the next attempt of a waiting task to a worker. It is committed before
// the start is sent to the worker, so that every later leader knows where the task may
// be running.
type Bind struct {
	Task    TaskKey     `json:"t"`
	Attempt int         `json:"a"`
	On      Incarnation `json:"on"`
	At      int64       `json:"at"`
}

// End records that an attempt has ended, and how.
type End struct {
	Task       TaskKey `json:"t"`
	Attempt    int     `json:"a"`
	Outcome    Outcome `json:"how"`
	Checkpoint string  `json:"c,omitempty"`
	At         int64   `json:"at"`
	// Sole is set for a crash if the attempt is known to have run on the worker, and no other
	// may have.
	Sole bool `json:"sole,omitempty"`
}

// RecordStarts records that workers have begun tasks of jobs, for those that were not known to
// have started.
type RecordStarts struct {
	Jobs []string `json:"ids"`
	At   int64    `json:"at"`
}

// Effect is the slowdown that one core of a filler image causes to a serving image:
// at 0.1 the same work takes 10% longer. Earlier versions recorded logarithms of tail
// latencies under "v"; that field is ignored.
type Effect struct {
	Serving  string  `json:"s"`
	Filler   string  `json:"f"`
	Slowdown float64 `json:"slowdown"`
}

// RecordEffects replaces the recorded interference effects. It lets a new leader start
// from the estimates of the previous one.
type RecordEffects struct {
	Effects []Effect `json:"e"`
}

// Prune deletes ended jobs.
type Prune struct {
	IDs []string `json:"ids"`
}

// Encode serializes a batch of commands for the log.
func Encode(batch []Command) ([]byte, error) {
	data, err := json.Marshal(batch)
	if err != nil {
		return nil, fmt.Errorf("encode commands: %w", err)
	}
	return data, nil
}

// Decode parses a batch of commands from the log.
func Decode(data []byte) ([]Command, error) {
	var batch []Command
	if err := json.Unmarshal(data, &batch); err != nil {
		return nil, fmt.Errorf("decode commands: %w; run the version that wrote the log", err)
	}
	return batch, nil
}
