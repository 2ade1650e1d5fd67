package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"geraniumwall/control/client"
	"geraniumwall/rpc/controlpb"
)

const (
	// submitLanes is the number of SubmitTasks calls in flight. Submissions that
	// arrive meanwhile form the next batch.
	submitLanes     = 2
	submitBatchMost = 256
	// submitBatchBytes bounds the payloads of one batch, which is one log entry.
	submitBatchBytes = 1 << 20
	submitQueueMost  = 4096
	submitTimeout    = 5 * time.Second
	// submitPatience is how long a submission looks for a leader before it is
	// refused as not_run. It covers an election of the log.
	submitPatience = 2 * time.Second
)

// submission is one task on its way to the control replicas.
type submission struct {
	spec *controlpb.TaskSpec
	// giveUp is when the submission is refused unless a replica may have it.
	giveUp time.Time
	// claimed decides between a batch that takes the submission and a caller that
	// gives it up.
	claimed atomic.Bool
	done    chan submitOutcome
}

// submitOutcome is the result of a submission, or the error of its batch.
type submitOutcome struct {
	result *controlpb.SubmitResult
	err    error
}

// submitter batches the submissions of many callers.
type submitter struct {
	control *client.Client
	// version returns the configuration version in force.
	version func() uint64
	queue   chan *submission
	cancel  context.CancelFunc
	ctx     context.Context
}

func newSubmitter(c *client.Client, version func() uint64) *submitter {
	s := &submitter{control: c, version: version, queue: make(chan *submission, submitQueueMost)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

func (s *submitter) start(spawn func(func())) {
	for range submitLanes {
		spawn(s.run)
	}
}

func (s *submitter) stop() { s.cancel() }

func (s *submitter) run() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case first := <-s.queue:
			s.send(s.collect(first))
		}
	}
}

// collect takes what is queued already, without waiting for more.
func (s *submitter) collect(first *submission) []*submission {
	batch := claim(nil, first)
	size := len(first.spec.GetPayload())
	for len(batch) < submitBatchMost && size < submitBatchBytes {
		select {
		case next := <-s.queue:
			batch = claim(batch, next)
			size += len(next.spec.GetPayload())
		default:
			return batch
		}
	}
	return batch
}

func claim(batch []*submission, s *submission) []*submission {
	if s.claimed.CompareAndSwap(false, true) {
		return append(batch, s)
	}
	return batch
}

func (s *submitter) send(batch []*submission) {
	if len(batch) == 0 {
		return
	}
	request := &controlpb.SubmitTasksRequest{ConfigVersion: s.version()}
	for _, b := range batch {
		request.Tasks = append(request.Tasks, b.spec)
	}
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	response, err := client.CallWithin(ctx, s.control, "SubmitTasks", patience(batch), controlpb.Control.SubmitTasks, request)
	for i, b := range batch {
		b.done <- outcomeAt(response, i, err)
	}
}

// patience is the time left to the first submission of the batch.
func patience(batch []*submission) time.Duration {
	first := batch[0].giveUp
	for _, b := range batch {
		if b.giveUp.Before(first) {
			first = b.giveUp
		}
	}
	return time.Until(first)
}

// giveUpAt leaves a quarter of the caller's time for a definite answer.
func giveUpAt(ctx context.Context) time.Time {
	now := time.Now()
	wait := submitPatience
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, deadline.Sub(now)*3/4)
	}
	return now.Add(wait)
}

func outcomeAt(response *controlpb.SubmitTasksResponse, i int, err error) submitOutcome {
	if err != nil {
		return submitOutcome{err: err}
	}
	if i >= len(response.GetResults()) {
		return submitOutcome{err: errShortResponse}
	}
	return submitOutcome{result: response.GetResults()[i]}
}

// submit waits for the outcome until ctx is over. A submission that no batch has
// taken in its patience is withdrawn.
func (s *submitter) submit(ctx context.Context, spec *controlpb.TaskSpec) submitOutcome {
	entry := &submission{spec: spec, giveUp: giveUpAt(ctx), done: make(chan submitOutcome, 1)}
	select {
	case s.queue <- entry:
	default:
		return submitOutcome{err: errSubmitQueueFull}
	}
	withdraw := time.NewTimer(time.Until(entry.giveUp))
	defer withdraw.Stop()
	select {
	case o := <-entry.done:
		return o
	case <-withdraw.C:
	case <-ctx.Done():
	}
	if entry.claimed.CompareAndSwap(false, true) {
		return submitOutcome{err: errNotSubmitted}
	}
	select {
	case o := <-entry.done:
		return o
	case <-ctx.Done():
		return submitOutcome{err: errSubmitPending}
	}
}
