package scheduler

import "fmt"

// RefusalKind classifies refused requests of workers.
type RefusalKind string

// Kinds of refusals.
const (
	RefusedDomain    RefusalKind = "wrong_domain"
	RefusedDuplicate RefusalKind = "duplicate_worker"
	RefusedInvalid   RefusalKind = "invalid_heartbeat"
	RefusedUnknown   RefusalKind = "unknown_worker"
)

// Refusal is the error for a request of a worker that was rejected and changed nothing.
type Refusal struct {
	Kind   RefusalKind
	Worker string
	Text   string
	Remedy string
}

// Error returns the worker, the problem and the remedy.
func (r *Refusal) Error() string {
	return fmt.Sprintf("worker %q: %s; %s", r.Worker, r.Text, r.Remedy)
}

// assert panics if an invariant is violated. Continuing could run a task twice or
// overcommit a host.
func assert(holds bool, format string, args ...any) {
	if !holds {
		panic("scheduler invariant violated: " + fmt.Sprintf(format, args...))
	}
}
