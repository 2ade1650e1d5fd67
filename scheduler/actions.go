package scheduler

import (
	"time"

	"geraniumwall/workerapi"
)

// Action is something the caller of the core must carry out.
type Action interface{ isAction() }

// Target is the worker process an action is meant for.
type Target struct {
	Worker      string
	Incarnation string
	Address     string
}

// SendAttach asks a worker for a session; the result goes to AttachAnswered.
type SendAttach struct {
	Target
	Body workerapi.Attach
}

// SendStart starts an attempt; the result goes to StartAnswered.
type SendStart struct {
	Target
	Body workerapi.Start
}

// SendStop stops an attempt; the result goes to StopAnswered.
type SendStop struct {
	Target
	Body workerapi.Stop
}

// SendThrottle sets the processor share of an attempt; no result is needed.
type SendThrottle struct {
	Target
	Body workerapi.Throttle
}

// SendReports records events in control; the result goes to ReportsAnswered.
type SendReports struct {
	Epoch uint64
	// Batch numbers the sends, so that a repeated answer is not taken for the next.
	Batch  uint64
	Events []Report
}

// SyncFromStart asks for the complete set of the tasks bound to the domain.
type SyncFromStart struct{ Epoch uint64 }

// StopSync ends the synchronization of tasks after the role was lost.
type StopSync struct{}

// RecordAudit appends a decision to the audit trail. Control itself records
// evictions and appointments.
type RecordAudit struct {
	Action  string
	Subject string
	Detail  string
	At      time.Duration
}

func (SendAttach) isAction()    {}
func (SendStart) isAction()     {}
func (SendStop) isAction()      {}
func (SendThrottle) isAction()  {}
func (SendReports) isAction()   {}
func (SyncFromStart) isAction() {}
func (StopSync) isAction()      {}
func (RecordAudit) isAction()   {}

// ReportKind is the kind of a report to control.
type ReportKind string

// Kinds of reports, see TaskEventKind of control.proto.
const (
	ReportDone          ReportKind = "done"
	ReportFailed        ReportKind = "failed"
	ReportEvicted       ReportKind = "evicted"
	ReportCancelled     ReportKind = "cancelled"
	ReportReturned      ReportKind = "returned"
	ReportAttemptFailed ReportKind = "attempt_failed"
)

// Report is an event of a task that control records.
type Report struct {
	Task       string
	Kind       ReportKind
	Attempt    workerapi.Attempt
	Worker     string
	Checkpoint []byte
	Result     []byte
	Reason     string
	// Cause is set on evictions.
	Cause EvictionCause
}

// EvictionCause classifies evictions.
type EvictionCause string

// Causes of evictions.
const (
	CauseInterference EvictionCause = "interference"
	CauseDrain        EvictionCause = "drain"
	CauseWorkerLost   EvictionCause = "worker_lost"
	CauseUnknownStart EvictionCause = "unknown_start"
	// CauseWorker: the worker stopped the attempt itself.
	CauseWorker EvictionCause = "worker"
)
