// Package routing decides to which upstream a gateway sends each request. It is a
// pure state machine: its methods take events and the current time and return
// decisions. It opens no sockets, starts no goroutines and reads no clock. The
// caller must serialize the calls to a value.
//
// Times are durations since the start of the process on a monotonic clock.
package routing

import "time"

// ServiceConfig is the part of a service's configuration that routing needs.
type ServiceConfig struct {
	Name     string
	MaxQueue int
}

// Grant permits this gateway to use slots of one worker session. Sent is the time
// at which the grant was requested. Expires is the time at which it ends; its
// duration counts from Sent.
type Grant struct {
	Worker      string
	Address     string
	Domain      string
	Session     uint64
	Slots       int
	Connections int
	Services    []string
	Sent        time.Duration
	Expires     time.Duration
}

// limit returns the number of requests that may be outstanding under the grant.
func (g Grant) limit() int { return min(g.Slots, g.Connections) }

// Result is the result of an attempt on an upstream.
type Result int

// Results of an attempt.
const (
	// ResultOK is a complete response that is not a failure of the upstream.
	ResultOK Result = iota
	// ResultFailed is a lost connection, a truncated response or a 5xx status.
	ResultFailed
	// ResultRefused is a not_run response: the upstream did not start the request.
	ResultRefused
	// ResultAbandoned is an attempt that the gateway itself aborted.
	ResultAbandoned
)

// Ticket permits one outstanding request on an upstream. It must be released
// exactly once.
type Ticket struct {
	Worker      string
	Address     string
	Session     uint64
	Connections int
	// HedgeAfter is the delay after which the request may be hedged with a second
	// attempt, or 0 if there are too few latency samples.
	HedgeAfter time.Duration

	endpoint *endpoint
	session  *session
	started  time.Duration
}

// Valid reports whether a request may still be sent on the ticket, that is, whether
// its grant has neither expired nor been withdrawn.
func (t *Ticket) Valid(now time.Duration) bool { return t.session.usable(now) }

// ShedReason is the reason why a request was shed.
type ShedReason string

// Reasons for shedding a request.
const (
	ShedQueueFull  ShedReason = "queue_full"
	ShedDeadline   ShedReason = "deadline"
	ShedNoService  ShedReason = "unknown_service"
	ShedTerminated ShedReason = "terminated"
)

// DecisionKind is the kind of a Decision.
type DecisionKind int

// Kinds of decisions.
const (
	// Admitted sets Decision.Ticket.
	Admitted DecisionKind = iota
	// Queued sets Decision.Waiter; the final decision follows as a Wake.
	Queued
	// Shed sets Decision.Reason and, if a wait can be estimated, Decision.RetryAfter.
	Shed
)

// Decision is the result of Acquire.
type Decision struct {
	Kind       DecisionKind
	Ticket     Ticket
	Waiter     *Waiter
	Reason     ShedReason
	RetryAfter time.Duration
}

// Wake is the final decision on a queued request.
type Wake struct {
	Waiter   *Waiter
	Decision Decision
}

// Request is a request for a slot.
type Request struct {
	Service  string
	Deadline time.Duration
	// Avoid lists workers that already failed this request. They are used only if no
	// other worker has a free slot.
	Avoid []string
	// Tag is an opaque value that is copied to the waiter.
	Tag any
}
