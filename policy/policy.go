// Package policy defines the interface between the scheduler core and a
// scheduling engine, which decides which waiting task starts next and on which
// worker, and how to react when a service slows down. An engine updates its
// index of workers and tasks incrementally from events. Its placements are only
// proposals: package scheduler checks each one against its ledger before it
// starts the task.
//
// Every now parameter is the monotonic time since the start of the process.
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
	// Capacity is the total capacity of the host.
	Capacity workerapi.Resources
	// Reserved is the part of Capacity reserved for the worker's services.
	Reserved workerapi.Resources
	Services []string
	// Accepting is false while the worker is leaving or unreachable.
	Accepting bool
}

// Task is a waiting or running task.
type Task struct {
	ID       string
	Team     string
	Job      string
	Priority config.Priority
	Size     workerapi.Resources
	// Expected is the declared run time.
	Expected time.Duration
	// Enqueued is the time since which the task waits; aging is based on it.
	Enqueued  time.Duration
	Evictions int
	Failures  int
	// Checkpoints says whether the task can be resumed after an eviction.
	Checkpoints bool
}

// Outcome says how an attempt ended.
type Outcome string

// Outcomes of an attempt.
const (
	OutcomeDone      Outcome = "done"
	OutcomeFailed    Outcome = "failed"
	OutcomeEvicted   Outcome = "evicted"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeLost      Outcome = "lost"
)

// Placement is a proposal to start a task on a worker.
type Placement struct {
	Task   string
	Worker string
	// Size is the capacity to reserve: the declared size corrected from observed
	// usage, with memory never below the declared amount. The scheduler reserves it
	// in its ledger and passes it as Task.Size to Started. The zero value means the
	// declared size.
	Size     workerapi.Resources
	Decision Decision
}

// Unschedulable reports a waiting task that can never run, and the reason.
type Unschedulable struct {
	Task   string
	Reason string
}

// ReactionKind names a reaction to interference.
type ReactionKind string

// Kinds of reactions. Throttle sets the CPU share of a running task; a share of 1
// removes the throttle.
const (
	Throttle ReactionKind = "throttle"
	Evict    ReactionKind = "evict"
)

// Reaction is a proposal to throttle or evict a running task.
type Reaction struct {
	Kind     ReactionKind
	Task     string
	Worker   string
	Share    float64
	Decision Decision
}

// Factor is a named value that a decision was based on.
type Factor struct {
	Name  string
	Value float64
}

// Decision records one decision and the reason for it.
type Decision struct {
	At      time.Duration
	Subject string
	// Kind is placed, refused, throttled, evicted, quarantined or readmitted.
	Kind    string
	Reason  string
	Worker  string
	Factors []Factor
}

// Usage is a measurement of a running task; it arrives with a delay.
type Usage struct {
	Task string
	Used workerapi.Resources
	// Age is the time between the measurement and the receipt of the report.
	Age time.Duration
	// SinceCheckpoint is the run time since the last checkpoint, which is lost if
	// the task is stopped without taking another one.
	SinceCheckpoint time.Duration
	Progress        float64
}

// Engine makes the scheduling decisions for one failure domain. It is not safe
// for concurrent use; the scheduler core owns it.
type Engine interface {
	SetConfig(now time.Duration, c config.Config)
	// UpsertWorker adds a worker or replaces its description.
	UpsertWorker(now time.Duration, w Worker)
	RemoveWorker(now time.Duration, id string)
	// Enqueue adds a waiting task; Dequeue removes it, for example when it is
	// cancelled.
	Enqueue(now time.Duration, t Task)
	Dequeue(now time.Duration, task string)
	// ProposeStarts proposes up to limit placements, in order of priority, and returns
	// the waiting tasks that can never run. Each proposal must be answered with Started
	// or Rejected before the next call.
	ProposeStarts(now time.Duration, limit int) ([]Placement, []Unschedulable)
	// Started reports that the task occupies its size on the worker. It is also
	// called for tasks found running after a failover.
	Started(now time.Duration, t Task, worker string)
	// Rejected reports that a proposal was not applied; the task returns to the queue.
	Rejected(now time.Duration, task, worker string)
	// Ended reports that an attempt has ended and its capacity is free.
	Ended(now time.Duration, task, worker string, outcome Outcome)
	ReportService(now time.Duration, worker string, r workerapi.ServiceReport)
	ReportUsage(now time.Duration, worker string, u Usage)
	// ProposeReactions proposes to throttle or evict running tasks.
	ProposeReactions(now time.Duration) []Reaction
	// TakeDecisions returns and clears the decisions made since the last call.
	TakeDecisions() []Decision
	// Waiting returns the number of waiting tasks.
	Waiting() int
}
