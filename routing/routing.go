// Package routing decides where a gateway sends each request. It is a pure core:
// it takes events and the time, and returns decisions. It opens no socket, starts
// no goroutine and reads no clock; the caller serialises the calls to one value.
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
// at which the request for the grant was sent; Expires counts from Sent.
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

// limit is the number of requests that may be outstanding under the grant.
func (g Grant) limit() int { return min(g.Slots, g.Connections) }

// Result says how an attempt on an upstream ended.
type Result int

// Results of an attempt.
const (
	// ResultOK is a complete answer that does not count against the upstream.
	ResultOK Result = iota
	// ResultFailed is a lost connection, a truncated answer or a 5xx status.
	ResultFailed
	// ResultRefused is an answer not_run: the upstream did not start the request.
	ResultRefused
	// ResultAbandoned is an attempt that the gateway gave up itself.
	ResultAbandoned
)

// Ticket is the right to one outstanding request on an upstream. It must be
// released exactly once.
type Ticket struct {
	Worker      string
	Address     string
	Session     uint64
	Connections int
	// HedgeAfter is the time after which the attempt takes longer than usual, or 0
	// if that is not known.
	HedgeAfter time.Duration

	lane    *lane
	session *session
	started time.Duration
}

// Valid reports whether a request may still be sent on the ticket: its grant has
// not expired and was not withdrawn.
func (t *Ticket) Valid(now time.Duration) bool { return t.session.open(now) }

// ShedReason says why a request was not admitted.
type ShedReason string

// Reasons for shedding.
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
	// Admitted carries a ticket.
	Admitted DecisionKind = iota
	// Queued carries a waiter; its decision follows as a Wake.
	Queued
	// Shed carries a reason and a time after which a retry makes sense.
	Shed
)

// Decision is the answer to Acquire.
type Decision struct {
	Kind       DecisionKind
	Ticket     Ticket
	Waiter     *Waiter
	Reason     ShedReason
	RetryAfter time.Duration
}

// Wake delivers the decision about a queued request.
type Wake struct {
	Waiter   *Waiter
	Decision Decision
}

// Request asks for a slot.
type Request struct {
	Service  string
	Deadline time.Duration
	// Avoid names workers that already failed this request; they are used only
	// if no other has a free slot.
	Avoid []string
	// Tag is returned unchanged in the waiter.
	Tag any
}
