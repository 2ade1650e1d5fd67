package scheduler

import "fmt"

// RefusalKind names the reason for which an announcement was refused.
type RefusalKind string

// Kinds of refusals.
const (
	RefusedDomain    RefusalKind = "wrong_domain"
	RefusedDuplicate RefusalKind = "duplicate_worker"
	RefusedInvalid   RefusalKind = "invalid_heartbeat"
	RefusedUnknown   RefusalKind = "unknown_worker"
)

// Refusal is returned for an announcement that changed nothing.
type Refusal struct {
	Kind   RefusalKind
	Worker string
	Text   string
	Remedy string
}

// Error names the worker, the problem and the remedy.
func (r *Refusal) Error() string {
	return fmt.Sprintf("worker %q: %s; %s", r.Worker, r.Text, r.Remedy)
}

// assert panics when an invariant is broken; going on could run a task twice or
// overload a host.
func assert(holds bool, format string, args ...any) {
	if !holds {
		panic("scheduler invariant broken: " + fmt.Sprintf(format, args...))
	}
}
