package dispatch

import (
	"fmt"
	"slices"
	"time"

	"geraniumwall/jobs"
)

const (
	// traceCapacity is the number of decisions that are kept.
	traceCapacity = 1 << 14
	// maxTraceReports limits the tasks whose decisions are logged in each traceReportPeriod,
	// since each of them takes a pass over all decisions.
	maxTraceReports   = 20
	traceReportPeriod = time.Second
)

// decisionKind is what was decided about an attempt.
type decisionKind string

const (
	attemptEnded    decisionKind = "attempt ended"
	attemptStarted  decisionKind = "attempt started"
	endAcknowledged decisionKind = "end acknowledged"
)

// decisionBasis is what a decision rests on.
type decisionBasis string

const (
	// Bases of the end of an attempt: what makes it certain to be over.
	basisListed         decisionBasis = "listed as ended"
	basisListedLate     decisionBasis = "listed as ended after it was given up"
	basisMissing        decisionBasis = "missing from a list of the worker"
	basisVoidMissing    decisionBasis = "can't start any more and missing from a list of the worker"
	basisStartRefused   decisionBasis = "start refused"
	basisStartNotSent   decisionBasis = "start not sent"
	basisWorkerReplaced decisionBasis = "worker replaced"
	basisLeaseByWorker  decisionBasis = "lease expired by the worker's clock"
	basisLeaseByLeader  decisionBasis = "lease expired by the leader's clock"
	basisNeverStarted   decisionBasis = "lease expired, but the attempt can't have started"

	// basisPreviousEnded is the basis of a start: the log allows no binding before the end of
	// the previous attempt is recorded.
	basisPreviousEnded decisionBasis = "the previous attempt has ended"

	// Bases of an acknowledgement: what the log holds on the attempt.
	basisJobUnknown     decisionBasis = "the log does not hold the job"
	basisAttemptUnknown decisionBasis = "the log does not know the attempt"
	basisStillBound     decisionBasis = "the attempt is bound"
	basisAbandoned      decisionBasis = "the attempt was given up"
	basisEndRecorded    decisionBasis = "the end is recorded"
)

// certainty is what makes it certain that an attempt is over.
type certainty struct {
	basis decisionBasis
	// end is the number of the listed end, 0 for none.
	end int64
	// bound is the time before which the attempt may not have been over, and reading the one
	// that was compared with it, in milliseconds of the clock that the basis implies.
	bound, reading int64
}

// decision is one decision about an attempt.
type decision struct {
	certainty
	kind    decisionKind
	atMS    int64
	worker  string
	fence   int64
	task    jobs.TaskKey
	attempt int
	outcome jobs.Outcome
}

func (e *decision) String() string {
	text := fmt.Sprintf("at_ms %d, fence %d, %s", e.atMS, e.fence, e.basis)
	if e.outcome != "" {
		text += ", outcome " + string(e.outcome)
	}
	if e.end != 0 {
		text += fmt.Sprintf(", end %d", e.end)
	}
	if e.bound != 0 || e.reading != 0 {
		text += fmt.Sprintf(", bound_ms %d, reading_ms %d", e.bound, e.reading)
	}
	return text
}

// trace keeps the latest decisions, to explain a task after a check has failed.
type trace struct {
	decisions []decision
	// next is the index of the oldest decision once the trace is full.
	next int
	// reports is the number of reports since reportsSince.
	reports      int
	reportsSince time.Duration
}

func (t *trace) add(e decision) {
	if len(t.decisions) < traceCapacity {
		t.decisions = append(t.decisions, e)
		return
	}
	t.decisions[t.next] = e
	t.next = (t.next + 1) % traceCapacity
}

// allowReport reports whether the decisions about one more task may be logged now.
func (t *trace) allowReport(now time.Duration) bool {
	if now-t.reportsSince >= traceReportPeriod {
		t.reportsSince, t.reports = now, 0
	}
	t.reports++
	return t.reports <= maxTraceReports
}

// traceAttempt adds a decision about an attempt.
func (d *Dispatcher) traceAttempt(kind decisionKind, a *attempt, outcome jobs.Outcome, c certainty) {
	e := decision{certainty: c, kind: kind, atMS: d.unixMS, task: a.task, attempt: a.number, outcome: outcome}
	if a.worker != nil {
		e.worker, e.fence = a.worker.Worker, a.worker.fence
	}
	d.trace.add(e)
}

// traceListed adds a decision about an end that a worker lists.
func (d *Dispatcher) traceListed(kind decisionKind, w *worker, f *FinishedTask, basis decisionBasis) {
	d.trace.add(decision{
		certainty: certainty{basis: basis, end: f.Number}, kind: kind, atMS: d.unixMS, worker: w.Worker, fence: w.fence,
		task: f.Task, attempt: f.Attempt, outcome: f.Outcome,
	})
}

// acknowledgeEnd records that a listed end is acknowledged, and checks it.
func (d *Dispatcher) acknowledgeEnd(w *worker, f *FinishedTask) {
	basis := d.acknowledgementBasis(f)
	d.traceListed(endAcknowledged, w, f, basis)
	switch {
	case basis == basisStillBound || basis == basisAttemptUnknown:
		d.reportFailedCheck("end acknowledged without a record", w, f.Task, f.Attempt, string(basis))
	case basis == basisAbandoned && (f.Outcome == jobs.OutcomeDone || f.Outcome == jobs.OutcomeFailed):
		d.checkLateEnd(w, f)
	}
}

func (d *Dispatcher) acknowledgementBasis(f *FinishedTask) decisionBasis {
	j := d.store.Job(f.Task.Job)
	if j == nil {
		return basisJobUnknown
	}
	t := j.Task(f.Task)
	switch {
	case t == nil:
		return basisJobUnknown
	case f.Attempt > t.Attempt:
		return basisAttemptUnknown
	case t.BoundTo != nil && f.Attempt == t.Attempt:
		return basisStillBound
	case slices.Contains(t.AbandonedAttempts, f.Attempt):
		return basisAbandoned
	}
	return basisEndRecorded
}

// checkLateEnd reports a success or failure of an attempt that was given up if a newer one
// has been bound since: the task may have run twice.
func (d *Dispatcher) checkLateEnd(w *worker, f *FinishedTask) {
	if newest := d.store.Job(f.Task.Job).Task(f.Task).Attempt; newest > f.Attempt {
		d.reportFailedCheck("late end after a newer attempt", w, f.Task, f.Attempt, fmt.Sprintf("%s, newest attempt %d", f.Outcome, newest))
	}
}

// reportFailedCheck logs a check that failed for a task, and the decisions about the task.
func (d *Dispatcher) reportFailedCheck(check string, w *worker, key jobs.TaskKey, number int, detail string) {
	d.addLogEvent(check, w, &attempt{task: key, number: number}, detail)
	d.logEvents[len(d.logEvents)-1].Trace = true
	d.reportDecisions(key)
}

// reportDecisions logs the decisions about a task, the oldest first.
func (d *Dispatcher) reportDecisions(key jobs.TaskKey) {
	if !d.trace.allowReport(d.now) {
		return
	}
	list := d.trace.decisions
	for i := range list {
		e := &list[(d.trace.next+i)%len(list)]
		if e.task != key {
			continue
		}
		d.logEvents = append(d.logEvents, LogEvent{
			Event: "decision: " + string(e.kind), Worker: e.worker, Task: key, Attempt: e.attempt, Detail: e.String(), Trace: true,
		})
	}
}

// leaseCertainty returns what makes it certain that the lease of a worker has expired.
func (d *Dispatcher) leaseCertainty(w *worker) certainty {
	switch {
	case w.movedAt != 0:
		return d.leaderClockCertainty(w.movedAt)
	case w.leaseEnd == 0:
		return d.leaderClockCertainty(w.grantsBefore)
	}
	return certainty{basis: basisLeaseByWorker, bound: w.leaseEnd + leaseMargin.Milliseconds(), reading: w.minClock(d.now)}
}

// leaderClockCertainty returns what makes it certain that the leases granted before a time
// have expired.
func (d *Dispatcher) leaderClockCertainty(grantsBefore time.Duration) certainty {
	return certainty{basis: basisLeaseByLeader, bound: (grantsBefore + d.maxLeaseWait()).Milliseconds(), reading: d.now.Milliseconds()}
}

// startRefusal returns why a start that was not accepted can't have taken effect.
func startRefusal(s ReplyStatus) certainty {
	switch s {
	case Unreachable, Expired:
		return certainty{basis: basisStartNotSent}
	case WrongWorker:
		return certainty{basis: basisWorkerReplaced}
	case Accepted, Refused, Unhealthy, Unknown:
	}
	return certainty{basis: basisStartRefused}
}
