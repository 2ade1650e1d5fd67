package dispatch

import (
	"time"

	"geraniumwall/jobs"
)

// Address identifies the recipient of an order. Each call names the worker, so that a
// different process at the same network address rejects it.
type Address struct {
	Worker   string
	HostPort string
	// Domain is the failure domain of the worker.
	Domain string
}

// Order is a request to a worker. Exactly one of Start, Stop, Hold and Pace is set.
type Order struct {
	To Address
	// Fence is the fencing token: a worker rejects orders with a lower one than it has
	// seen.
	Fence int64
	Start *Start
	Stop  *Stop
	Hold  *Hold
	Pace  *Pace
	// target is the worker incarnation that the order is meant for.
	target *worker
}

// task returns the task of an order, or the zero key for a hold.
func (o *Order) task() jobs.TaskKey {
	switch {
	case o.Start != nil:
		return o.Start.Task
	case o.Stop != nil:
		return o.Stop.Task
	case o.Pace != nil:
		return o.Pace.Task
	}
	return jobs.TaskKey{}
}

// Start starts an attempt.
type Start struct {
	Task    jobs.TaskKey
	Attempt int
	Payload string
	// Deadline is the end of the worker's lease in milliseconds of the worker's clock.
	Deadline   int64
	Checkpoint string
}

// Stop stops an attempt. If its start has not arrived yet, the worker refuses it from
// then on.
type Stop struct {
	Task    jobs.TaskKey
	Attempt int
}

// Hold is a long poll that renews the worker's lease and returns its running and
// finished attempts.
type Hold struct {
	// Deadline has the meaning of Start.Deadline; 0 leaves the lease unchanged.
	Deadline int64
	// AckThrough acknowledges finished attempts: the worker may discard those up to this
	// number.
	AckThrough int64
	// MaxWait is how long the worker may delay the reply until an attempt finishes.
	MaxWait time.Duration
}

// Pace limits an attempt to a percentage of its full speed; 0 pauses it.
type Pace struct {
	Task    jobs.TaskKey
	Attempt int
	Percent int
}

// ReplyStatus is the status of the reply to an order.
type ReplyStatus int

// Statuses of a reply.
const (
	// Accepted: the worker executed the order.
	Accepted ReplyStatus = iota
	// Refused: the worker did not execute the order and never will.
	Refused
	// Unhealthy: like Refused, from a worker that reports itself unhealthy.
	Unhealthy
	// WrongWorker: a different process answers at the worker's address.
	WrongWorker
	// Unknown: no usable answer. The worker may have executed the order or may still do so.
	Unknown
	// Unreachable: the address refused the connection, so the order was not sent.
	Unreachable
	// Expired: the order was not sent in time, since the leader's lease had ended by then or
	// no connection to the worker was free.
	Expired
)

// Reply is the response to an order.
type Reply struct {
	Order  Order
	Status ReplyStatus
	// Unreported is set with the status Unknown if the carrier of the order has not reported
	// in time, which tells nothing about the worker. Late is set if the order had been
	// reported so before.
	Unreported bool
	Late       bool
	// Reason is the error or the worker's reason for a refusal, for logs.
	Reason string
	// SentAt and ReceivedAt are monotonic times of the leader's process.
	SentAt     time.Duration
	ReceivedAt time.Duration
	// ClockMS is the worker's clock in milliseconds, 0 if the reply has none.
	ClockMS int64
	// StartedAtMS is the start time of the worker's process in Unix milliseconds, 0 if
	// unknown.
	StartedAtMS int64
	Running     []RunningTask
	// Finished keeps the place of a row that could not be decoded as a zero FinishedTask.
	Finished []FinishedTask
	// Malformed counts the list entries that could not be decoded.
	Malformed int
}

// RunningTask is an attempt that runs on a worker.
type RunningTask struct {
	Task       jobs.TaskKey
	Attempt    int
	Checkpoint string
	// Percent is the progress of the attempt. A long-running one reports 100 once it is
	// ready.
	Percent int
	// Usage is the tail latency in milliseconds of a serving task, and the CPU usage in
	// millicores of any other task.
	Usage float64
}

// FinishedTask is an attempt that has finished on a worker.
type FinishedTask struct {
	// Number counts the finished attempts of the worker's incarnation.
	Number     int64
	Task       jobs.TaskKey
	Attempt    int
	Outcome    jobs.Outcome
	Checkpoint string
}

// unreadable reports whether the row of the list could not be decoded.
func (f *FinishedTask) unreadable() bool { return *f == FinishedTask{} }

// Heartbeat is a worker's periodic status report.
type Heartbeat struct {
	Worker   string
	HostPort string
	Service  string
	Domain   string
	Draining bool
	// Remaining is the minimum time until a draining worker shuts down.
	Remaining time.Duration
	// ColdLeft is how much longer the worker remains slow after its start, 0 if it is warm or
	// reports none.
	ColdLeft time.Duration
	Capacity jobs.Resources
	Labels   []string
	// ClockMS and StartedAtMS have the meaning of the fields of Reply.
	ClockMS     int64
	StartedAtMS int64
	Sequence    int64
}
