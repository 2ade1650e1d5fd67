package jobd

import (
	"time"

	"github.com/rs/zerolog"

	"geraniumwall/jobs"
	"geraniumwall/jobs/dispatch"
)

const (
	// maxProposalsInFlight limits the log entries that wait to be committed. Commands
	// that arrive meanwhile share the next entry.
	maxProposalsInFlight = 2
	// proposalIntervalPerReplica times the number of replicas is the minimum interval
	// between two entries. It limits the messages that a loaded leader sends.
	proposalIntervalPerReplica = 2500 * time.Microsecond
	// maxBatchCommands limits the commands in one entry, but for one larger decision.
	maxBatchCommands = dispatch.MaxEntryCommands
)

// replicatedLog is the log that a proposalQueue appends to.
type replicatedLog interface {
	// Propose appends an entry. If it returns an error, nothing was appended and done is
	// not called.
	Propose(data []byte, done func(result any, err error)) error
}

// proposalQueue batches the commands of one term of a leader into log entries. This
// group commit keeps the number of disk syncs low. It is only accessed on the control
// thread.
type proposalQueue struct {
	replicated replicatedLog
	now        func() time.Duration
	// interval returns the minimum interval between two entries.
	interval func() time.Duration
	// afterFunc runs a function on the control thread after a delay.
	afterFunc func(time.Duration, func())
	// beforeResults is called before the results of an entry are reported, afterResults
	// afterwards.
	beforeResults, afterResults func()
	log                         zerolog.Logger

	queued         []dispatch.Proposal
	inFlight       int
	nextProposalAt time.Duration
	flushScheduled bool
	// rejecting is set while the log rejects entries.
	rejecting bool
}

// add queues commands for the next entry.
func (q *proposalQueue) add(proposals ...dispatch.Proposal) {
	q.queued = append(q.queued, proposals...)
}

// fail reports all queued commands as not applied. The queue must not be used afterwards.
func (q *proposalQueue) fail() {
	queued := q.queued
	q.queued = nil
	for i := range queued {
		queued[i].OnResult(jobs.Result{}, false)
	}
}

// flush proposes the queued commands in batches, unless enough entries are in flight.
// Commands that the log rejects stay queued: it takes none while leadership is being
// transferred, and whoever sent them waits for their result.
func (q *proposalQueue) flush() {
	if len(q.queued) == 0 {
		return
	}
	if wait := q.nextProposalAt - q.now(); wait > 0 {
		q.flushLater(wait)
		return
	}
	for len(q.queued) > 0 && q.inFlight < maxProposalsInFlight && q.now() >= q.nextProposalAt {
		q.nextProposalAt = q.now() + q.interval()
		n := dispatch.EntryLen(q.queued, maxBatchCommands)
		batch := q.queued[:n:n]
		q.queued = q.queued[n:]
		if !q.propose(batch) {
			q.queued = append(batch, q.queued...)
			return
		}
	}
}

func (q *proposalQueue) flushLater(wait time.Duration) {
	if q.flushScheduled {
		return
	}
	q.flushScheduled = true
	q.afterFunc(wait, func() {
		q.flushScheduled = false
		q.flush()
	})
}

// propose appends a batch to the log. It returns false if the log rejects it for now.
func (q *proposalQueue) propose(batch []dispatch.Proposal) bool {
	commands := make([]jobs.Command, len(batch))
	for i := range batch {
		commands[i] = batch[i].Command
	}
	data, err := jobs.Encode(commands)
	if err != nil {
		q.log.Error().Err(err).Int("commands", len(batch)).Msg("commands could not be encoded")
		q.settle(batch, nil, err)
		return true
	}
	q.inFlight++
	err = q.replicated.Propose(data, func(result any, err error) {
		q.inFlight--
		q.settle(batch, result, err)
	})
	if err != nil {
		q.inFlight--
	}
	if rejected := err != nil; rejected != q.rejecting {
		q.rejecting = rejected
		q.log.Warn().Err(err).Int("commands", len(batch)).Bool("rejected", rejected).Msg("log changed whether it takes commands")
	}
	return err == nil
}

// settle reports the result of a batch to those who queued its commands.
func (q *proposalQueue) settle(batch []dispatch.Proposal, result any, err error) {
	q.beforeResults()
	results, _ := result.([]jobs.Result)
	for i := range batch {
		if err != nil {
			batch[i].OnResult(jobs.Result{}, false)
		} else {
			batch[i].OnResult(results[i], true)
		}
	}
	q.afterResults()
}
