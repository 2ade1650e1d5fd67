// Package jobd implements a job replica: a member of the replicated log of jobs. The
// leader accepts jobs, configurations and heartbeats and dispatches tasks to workers.
package jobd

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"geraniumwall/jobs"
	"geraniumwall/jobs/dispatch"
)

// ErrorKind classifies errors.
type ErrorKind string

// Error kinds.
const (
	// KindNotRun means that the request was not executed and never will be.
	KindNotRun ErrorKind = "not_run"
	// KindOverloaded is like KindNotRun, because too much is waiting already.
	KindOverloaded ErrorKind = "overloaded"
	// KindNoQueue means that no queue matches the host and path.
	KindNoQueue ErrorKind = "no_queue"
	// KindNoJob means that the job does not exist.
	KindNoJob ErrorKind = "no_job"
	// KindInvalid means that the request is invalid and fails again if it is repeated unchanged.
	KindInvalid ErrorKind = "invalid"
	// KindUnknownDomain means that no failure domain has the name.
	KindUnknownDomain ErrorKind = "unknown_domain"
	// KindUnsupported means that the deployment's settings do not ask for the function.
	KindUnsupported ErrorKind = "unsupported"
	// KindUnresolved means that the request may have been executed.
	KindUnresolved ErrorKind = "unresolved"
)

// Error is an error that is reported to clients. Its text says how to resolve it.
type Error struct {
	Kind ErrorKind
	Text string
	// RetryAfter is the time after which the client may retry, 0 for no advice.
	RetryAfter time.Duration
}

// SetRetryAfter sets the header Retry-After, in whole seconds rounded up, if there is advice.
func (e *Error) SetRetryAfter(header http.Header) {
	if e.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int((e.RetryAfter+time.Second-1)/time.Second)))
	}
}

// Error returns the text.
func (e *Error) Error() string { return e.Text }

// CallerService is the service for callers. All errors are of type *Error or come from
// the context.
type CallerService interface {
	// BodyLimit returns the maximum size of a submission in bytes.
	BodyLimit(ctx context.Context) (int64, error)
	// Submit accepts a job. Submitting the same id again changes nothing.
	Submit(ctx context.Context, host, path, id string, spec jobs.Spec) error
	JobState(ctx context.Context, host, path, id string) (jobs.State, error)
	Cancel(ctx context.Context, host, path, id string) error
	// Pending returns the number of jobs of a queue without a started task.
	Pending(ctx context.Context, host, path string) (int, error)
}

// WorkerService is the service for workers.
type WorkerService interface {
	// Heartbeat processes a heartbeat and returns the address for later ones, empty for
	// any.
	Heartbeat(ctx context.Context, h dispatch.Heartbeat) (address string, err error)
	Deregister(ctx context.Context, id string) error
	// MalformedHeartbeat records a heartbeat that could not be decoded.
	MalformedHeartbeat(id string, err error)
}

// OperatorService is the service for operators.
type OperatorService interface {
	// Configure activates a configuration if its version is higher than the current one.
	Configure(ctx context.Context, c jobs.Config) error
	// Configuration returns the document of the active configuration as it was sent.
	Configuration(ctx context.Context) ([]byte, error)
	// Evacuate orders that no more tasks start in a failure domain. It returns once the order
	// is committed. Repeating it changes nothing. operator may be empty.
	Evacuate(ctx context.Context, domain, operator string) error
	// EndEvacuation revokes the order.
	EndEvacuation(ctx context.Context, domain, operator string) error
}

// WorkerClient sends orders to workers.
type WorkerClient interface {
	Do(ctx context.Context, o dispatch.Order) dispatch.Reply
}

// IdleLimiter is a WorkerClient whose connections can be closed when they are idle.
type IdleLimiter interface {
	// SetIdleTimeout sets how long a connection without a call is kept, 0 for the default.
	SetIdleTimeout(timeout time.Duration)
}
