// Package policy defines what the scheduler core asks of its decisions: which
// waiting task starts next and where, and how to react when a service slows
// down. An engine keeps an incremental index of workers and tasks from the
// events it is told; it holds no authority: the applier of package scheduler
// checks every placement against the ledger before it starts anything.
//
// now is always the monotonic time since the start of the process.
package policy

import (
	"time"

	"geraniumwall/config"
	"geraniumwall/workerapi"
)

// Worker is a host that can run tasks.
type Worker struct {
	ID     string
	Domain string
	Rack   string
	// Capacity is what the host has.
	Capacity workerapi.Resources
	// Reserved is held back for the services of the worker.
	Reserved workerapi.Resources
	Services []string
	// Accepting is false while the worker leaves or is unreachable.
	Accepting bool
}

// Task is a task that waits or runs.
type Task struct {
	ID       string
	Team     string
	Job      string
	Priority config.Priority
	Size     workerapi.Resources
	// Expected is the declared run time.
	Expected time.Duration
	// Waiting since; the age counts for fairness.
	Enqueued  time.Duration
	Evictions int
	Failures  int
	// Checkpoints says whether the task can be resumed after an eviction.
	Checkpoints bool
}

// EndKind says how an attempt ended.
type EndKind string

// Ways in which an attempt ends.
const (
	EndDone      EndKind = "done"
	EndFailed    EndKind = "failed"
	EndEvicted   EndKind = "evicted"
	EndCancelled EndKind = "cancelled"
	EndLost      EndKind = "lost"
)

// Placement is a proposal to start a task on a worker.
type Placement struct {
	Task   string
	Worker string
	// Size is what to reserve: the declared size corrected from usage, memory
	// never below the declared one. The applier reserves it in its ledger and
	// passes it as Task.Size to Started. The zero value means the declared size.
	Size     workerapi.Resources
	Decision Decision
}

// Impossible is a waiting task that can never run, with the reason.
type Impossible struct {
	Task   string
	Reason string
}

// ReactionKind names a reaction to interference.
type ReactionKind string

// Reactions. Throttle sets the processor share of a running task; a share of 1
// ends the throttling.
const (
	Throttle ReactionKind = "throttle"
	Evict    ReactionKind = "evict"
)

// Reaction is a proposal to slow down or move a running task.
type Reaction struct {
	Kind     ReactionKind
	Task     string
	Worker   string
	Share    float64
	Decision Decision
}

// Figure is one number behind a decision.
type Figure struct {
	Name  string
	Value float64
}

// Decision explains one decision.
type Decision struct {
	At      time.Duration
	Subject string
	// Kind is placed, refused, throttled, evicted, quarantined or readmitted.
	Kind    string
	Reason  string
	Worker  string
	Figures []Figure
}

// Usage is a lagged measurement of a running task.
type Usage struct {
	Task string
	Used workerapi.Resources
	// Age is the time from the measurement to the receipt of the report.
	Age time.Duration
	// SinceCheckpoint is the run time that a stop without checkpoint loses.
	SinceCheckpoint time.Duration
	Progress        float64
}

// Engine makes the decisions of one failure domain. It is not safe for
// concurrent use; the scheduler core owns it.
type Engine interface {
	SetConfig(now time.Duration, c config.Config)
	// UpsertWorker adds or changes a worker.
	UpsertWorker(now time.Duration, w Worker)
	RemoveWorker(now time.Duration, id string)
	// Enqueue adds a waiting task; Dequeue removes it, for example on cancellation.
	Enqueue(now time.Duration, t Task)
	Dequeue(now time.Duration, task string)
	// Next proposes up to limit starts, most important first. Each proposal must be
	// answered by Started or Refused before the next call.
	Next(now time.Duration, limit int) ([]Placement, []Impossible)
	// Started says that the task now takes up its size on the worker. It is also
	// called for tasks found running after a failover.
	Started(now time.Duration, t Task, worker string)
	// Refused puts the task back into the queue.
	Refused(now time.Duration, task, worker string)
	// Ended says that an attempt has ended and its capacity is free.
	Ended(now time.Duration, task, worker string, kind EndKind)
	ReportService(now time.Duration, worker string, r workerapi.ServiceReport)
	ReportUsage(now time.Duration, worker string, u Usage)
	// React proposes reactions to interference.
	React(now time.Duration) []Reaction
	// Decisions takes the decisions made since the last call.
	Decisions() []Decision
	// Waiting is the number of waiting tasks.
	Waiting() int
}
