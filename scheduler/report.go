package scheduler

import (
	"time"

	"geraniumwall/workerapi"
)

// reportQueue holds the events that control has not recorded yet, in order. Only one
// batch is in flight at a time, so that control sees the events of a task in order.
type reportQueue struct {
	queue    []Report
	inFlight int
	batch    uint64
	retryAt  time.Duration
	pending  map[workerapi.TaskRef]int
}

func newReportQueue() reportQueue {
	return reportQueue{pending: map[workerapi.TaskRef]int{}}
}

func (q *reportQueue) add(r Report) {
	q.queue = append(q.queue, r)
	q.pending[workerapi.TaskRef{ID: r.Task, Attempt: r.Attempt}]++
}

// contains reports whether an event of the attempt has not been recorded yet.
func (q *reportQueue) contains(ref workerapi.TaskRef) bool { return q.pending[ref] > 0 }

func (q *reportQueue) removeFirst(n int) {
	for _, r := range q.queue[:n] {
		ref := workerapi.TaskRef{ID: r.Task, Attempt: r.Attempt}
		if q.pending[ref]--; q.pending[ref] <= 0 {
			delete(q.pending, ref)
		}
	}
	q.queue = append([]Report(nil), q.queue[n:]...)
}

// flushReports sends the next batch if none is in flight.
func (c *Core) flushReports(now time.Duration) {
	q := &c.reports
	if !c.authority.active() || q.inFlight > 0 || len(q.queue) == 0 || now < q.retryAt {
		return
	}
	q.inFlight = min(len(q.queue), maxReportBatch)
	batch := append([]Report(nil), q.queue[:q.inFlight]...)
	q.batch++
	c.queueAction(SendReports{Epoch: c.authority.activeEpoch, Batch: q.batch, Events: batch})
}

// ReportsAnswered processes the outcome of a SendReports. Events that control refused
// as stale have been superseded and need no recording.
func (c *Core) ReportsAnswered(now time.Duration, epoch, batch uint64, recorded bool) {
	q := &c.reports
	if epoch != c.authority.activeEpoch || !c.authority.active() || q.inFlight == 0 || batch != q.batch {
		return
	}
	if recorded {
		q.removeFirst(q.inFlight)
	} else {
		q.retryAt = now + reportRetryDelay
	}
	q.inFlight = 0
}
