package dispatch

import (
	"time"

	"geraniumwall/jobs"
)

// Address is where and as whom a worker is called. A call names the worker, so
// that another process at the address refuses it.
type Address struct {
	Worker   string
	HostPort string
	// Domain is the failure domain of the worker.
	Domain string
}

// Order is a call to a worker. Exactly one field besides To is set.
type Order struct {
	To    Address
	Fence int64
	Start *Start
	Stop  *Stop
	Hold  *Hold
	Pace  *Pace
	// target is the life of the worker that the order is meant for.
	target *worker
}

// task is the task of an order, none for a hold.
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

// Start orders the start of an attempt.
type Start struct {
	Task    jobs.TaskKey
	Attempt int
	Payload string
	// Deadline is the end of the worker's lease, in milliseconds of its own clock.
	Deadline   int64
	Checkpoint string
}

// Stop orders the end of an attempt. One that has not arrived yet is refused from
// then on.
type Stop struct {
	Task    jobs.TaskKey
	Attempt int
}

// Hold renews the worker's lease and asks for what runs and what has ended.
type Hold struct {
	// Deadline is as in Start; 0 leaves the lease as it is.
	Deadline int64
	// LastSeen is the number of the last end that the worker may forget.
	LastSeen int64
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// Pace bounds the share of its normal speed at which an attempt works.
type Pace struct {
	Task    jobs.TaskKey
	Attempt int
	Percent int
}

// Verdict is what became of an order.
type Verdict int

// Verdicts of an order.
const (
	// Accepted: the worker has carried the order out.
	Accepted Verdict = iota
	// Refused: the worker has not carried it out and never will.
	Refused
	// Unhealthy: as Refused, by a worker that reports that it is not healthy.
	Unhealthy
	// Replaced: another life of the worker is at the address.
	Replaced
	// Unknown: no answer; the order may be carried out at any later time.
	Unknown
	// Unreachable: nothing listens at the address; the order was not sent.
	Unreachable
)

// Reply is the answer to an order.
type Reply struct {
	Order   Order
	Verdict Verdict
	// Reason is the worker's word for a refusal, for logs.
	Reason string
	// SentAt and ReceivedAt are monotonic times of this process.
	SentAt     time.Duration
	ReceivedAt time.Duration
	// Clock is the worker's clock in milliseconds, 0 if the reply has none.
	Clock int64
	// Born is the start of the worker's process in Unix milliseconds, 0 if unknown.
	Born     int64
	Running  []RunningTask
	Finished []FinishedTask
	// Malformed counts the rows of the lists that could not be read.
	Malformed int
}

// RunningTask is an attempt that runs on a worker.
type RunningTask struct {
	Task       jobs.TaskKey
	Attempt    int
	Checkpoint string
	// Percent is how far the attempt is; a long-running one is at work at 100.
	Percent int
	// Usage is the tail latency in milliseconds of a serving task, and the
	// thousandths of a core in use of any other.
	Usage float64
}

// FinishedTask is an attempt that has ended on a worker.
type FinishedTask struct {
	// Number counts the ends of the worker's life.
	Number     int64
	Task       jobs.TaskKey
	Attempt    int
	Outcome    jobs.Outcome
	Checkpoint string
}

// Heartbeat is a worker's report about itself.
type Heartbeat struct {
	Worker   string
	HostPort string
	Service  string
	Zone     string
	Draining bool
	// Remaining is the least time that a draining worker still works.
	Remaining time.Duration
	Capacity  jobs.Resources
	Labels    []string
	// Clock and Born are as in Reply.
	Clock    int64
	Born     int64
	Sequence int64
}
