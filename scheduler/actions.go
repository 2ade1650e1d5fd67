package scheduler

import (
	"time"

	"geraniumwall/workerapi"
)

// Action is an operation that the caller of the core must execute.
type Action interface{ isAction() }

// Target is the worker process that a command is addressed to.
type Target struct {
	Worker      string
	Incarnation string
	Address     string
}

// SendAttach requests a session from a worker; pass the result to AttachAnswered.
type SendAttach struct {
	Target
	Body workerapi.Attach
}

// SendStart starts an attempt; pass the result to StartAnswered.
type SendStart struct {
	Target
	Body workerapi.Start
}

// SendStop stops an attempt; pass the result to StopAnswered.
type SendStop struct {
	Target
	Body workerapi.Stop
}

// SendThrottle sets the CPU share of an attempt; its result is not needed.
type SendThrottle struct {
	Target
	Body workerapi.Throttle
}

// SendReports records events in control; pass the result to ReportsAnswered.
type SendReports struct {
	Epoch uint64
	// Batch numbers the batches, so that a duplicated answer is not applied to the next one.
	Batch  uint64
	Events []Report
}

// SyncFromStart starts a sync of all tasks bound to the domain.
type SyncFromStart struct{ Epoch uint64 }

// StopSync stops the task sync after the scheduler has lost its role.
type StopSync struct{}

// RecordAudit appends a decision to the audit log. Control itself records evictions
// and appointments.
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

// ReportKind is the kind of an event reported to control.
type ReportKind string

// Kinds of events, see TaskEventKind in control.proto.
const (
	ReportDone          ReportKind = "done"
	ReportFailed        ReportKind = "failed"
	ReportEvicted       ReportKind = "evicted"
	ReportCancelled     ReportKind = "cancelled"
	ReportReturned      ReportKind = "returned"
	ReportAttemptFailed ReportKind = "attempt_failed"
)

// Report is a task event that control records.
type Report struct {
	Task       string
	Kind       ReportKind
	Attempt    workerapi.Attempt
	Worker     string
	Checkpoint []byte
	Result     []byte
	Reason     string
	// Cause is set for evictions only.
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
	// CauseWorker: the worker stopped the attempt without a command.
	CauseWorker EvictionCause = "worker"
)
