// Package jobd is the process library of a job replica: a member of the
// replicated log of jobs which, while it leads, takes in jobs, configurations and
// heartbeats and dispatches tasks to workers.
package jobd

import (
	"context"
	"time"

	"geraniumwall/jobs"
	"geraniumwall/jobs/dispatch"
)

// Kind is a kind of failure.
type Kind string

// Kinds of failures.
const (
	// KindNotRun: the request was not carried out and never will be.
	KindNotRun Kind = "not_run"
	// KindOverloaded: as KindNotRun, since too much waits already.
	KindOverloaded Kind = "overloaded"
	// KindNoQueue: no queue has the host and path.
	KindNoQueue Kind = "no_queue"
	// KindNoJob: the queue has no such job.
	KindNoJob Kind = "no_job"
	// KindInvalid: the request can never be carried out as it is.
	KindInvalid Kind = "invalid"
	// KindUnresolved: the request may have been carried out.
	KindUnresolved Kind = "unresolved"
)

// Error is a failure whose text names the remedy.
type Error struct {
	Kind Kind
	Text string
	// RetryAfter is when the caller may try again, 0 for no advice.
	RetryAfter time.Duration
}

// Error returns the text.
func (e *Error) Error() string { return e.Text }

// CallerService is what callers use. All errors are of type *Error or of the
// context.
type CallerService interface {
	// BodyLimit returns the most bytes of a submission.
	BodyLimit(ctx context.Context) (int64, error)
	// Submit accepts a job once. A second submission of an id changes nothing.
	Submit(ctx context.Context, host, path, id string, spec jobs.Spec) error
	JobState(ctx context.Context, host, path, id string) (jobs.State, error)
	Cancel(ctx context.Context, host, path, id string) error
	// Pending counts the jobs of a queue of which no task has started.
	Pending(ctx context.Context, host, path string) (int, error)
}

// WorkerService is what workers use.
type WorkerService interface {
	// Heartbeat takes in a report and returns the address for later ones, empty if
	// it does not matter.
	Heartbeat(ctx context.Context, h dispatch.Heartbeat) (address string, err error)
	Deregister(ctx context.Context, id string) error
	// MalformedHeartbeat records a heartbeat that could not be read.
	MalformedHeartbeat(id string, err error)
}

// OperatorService is what operators use.
type OperatorService interface {
	// Configure puts a configuration in force if its version is the highest.
	Configure(ctx context.Context, c jobs.Config) error
	// Configuration returns the document that is in force, as it was sent.
	Configuration(ctx context.Context) ([]byte, error)
}

// Workers carries out orders.
type Workers interface {
	Do(ctx context.Context, o dispatch.Order) dispatch.Reply
}
