// Package workerapi defines the HTTP/JSON protocol between workers, schedulers
// and gateways. All durations are milliseconds, memory is megabytes and
// processors are millicores.
package workerapi

import "time"

// Paths served by a scheduler.
const (
	PathHeartbeat = "/v1/worker/heartbeat"
	PathWithdraw  = "/v1/worker/withdraw"
)

// Paths served by a worker.
const (
	PathAttach     = "/v1/attach"
	PathStart      = "/v1/tasks/start"
	PathStop       = "/v1/tasks/stop"
	PathThrottle   = "/v1/tasks/throttle"
	PathCheckpoint = "/v1/tasks/checkpoint"
	// PathServe is followed by the service name.
	PathServe = "/v1/serve/"
)

// Headers of requests and answers.
const (
	HeaderOutcome    = "Geranium-Outcome"
	HeaderDeadline   = "Geranium-Deadline-Ms"
	HeaderRequestID  = "Geranium-Request-Id"
	HeaderSession    = "Geranium-Session"
	HeaderCaller     = "Geranium-Caller"
	HeaderVersion    = "Geranium-Config-Version"
	HeaderIdempotent = "Idempotency-Key"
)

// FormatCompact is the newest format of heartbeats: the short forms of usage, of the
// session and of the answer, and heartbeats without tasks. A side uses it once the
// other has said that it reads it; without a word the format is 1.
const FormatCompact = 2

const (
	// HeartbeatInterval separates two heartbeats to a scheduler of FormatCompact
	// that names no other interval.
	HeartbeatInterval = time.Second
	// FirstInterval is that to a scheduler of format 1, which takes a worker for
	// silent after 1 s.
	FirstInterval = 500 * time.Millisecond
)

// Outcome is the typed result of a request.
type Outcome string

// Outcomes of a request.
const (
	OutcomeDone    Outcome = "done"
	OutcomeFailed  Outcome = "failed"
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
)

// Resources is an amount of host capacity.
type Resources struct {
	CPUMillis    int64 `json:"cpu_millis"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators"`
}

// Attempt numbers the starts of one task.
type Attempt struct {
	Epoch  uint64 `json:"epoch"`
	Number uint64 `json:"number"`
}

// Less reports whether a is older than b.
func (a Attempt) Less(b Attempt) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch < b.Epoch
	}
	return a.Number < b.Number
}

// Phase is the state of an attempt on a worker.
type Phase string

// Phases of an attempt. An attempt in a final phase is reported in every
// heartbeat until a heartbeat answer acknowledges it.
const (
	PhaseRunning Phase = "running"
	PhaseDone    Phase = "done"
	PhaseFailed  Phase = "failed"
	// PhaseStopped is final: stopped by command or because its lease ended.
	PhaseStopped Phase = "stopped"
	// PhaseNeverStarted blocks the attempt: a late start of it is refused.
	PhaseNeverStarted Phase = "never_started"
)

// TaskReport is the state of one attempt.
type TaskReport struct {
	ID         string    `json:"id"`
	Attempt    Attempt   `json:"attempt"`
	Phase      Phase     `json:"phase"`
	Job        string    `json:"job"`
	Resources  Resources `json:"resources"`
	Used       Resources `json:"used"`
	Progress   float64   `json:"progress"`
	Checkpoint []byte    `json:"checkpoint,omitempty"`
	Result     []byte    `json:"result,omitempty"`
	Error      string    `json:"error,omitempty"`
	Throttle   float64   `json:"throttle,omitempty"`
	// SinceCheckpointMS is the run time that a stop without checkpoint would lose.
	SinceCheckpointMS int64 `json:"since_checkpoint_ms"`
}

// UsageReport is the part of a TaskReport that changes while an attempt runs. The
// keys are short because it is most of what a worker sends.
type UsageReport struct {
	ID        string  `json:"t"`
	CPUMillis int64   `json:"c"`
	MemoryMB  int64   `json:"m"`
	Accels    int64   `json:"a,omitempty"`
	Progress  float64 `json:"p"`
	// SinceMS is SinceCheckpointMS.
	SinceMS int64 `json:"s"`
	// Checkpoint is left out if the one of the base is still the newest.
	Checkpoint []byte `json:"k,omitempty"`
}

// ServiceReport is a lagged measurement of one service on a worker.
type ServiceReport struct {
	Service string `json:"service"`
	// AgeMS is the time from the middle of the measured interval to sending.
	AgeMS int64 `json:"age_ms"`
	// Load is busy slots over offered slots during the interval, 0 to 1.
	Load  float64 `json:"load"`
	P50US int64   `json:"p50_us"`
	P99US int64   `json:"p99_us"`
	Count int64   `json:"count"`
}

// Heartbeat announces a worker and reports its state.
type Heartbeat struct {
	Worker string `json:"worker"`
	// Incarnation changes when the worker restarts.
	Incarnation string `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	// Format is the newest format that the worker reads, in a whole heartbeat.
	Format int `json:"format,omitempty"`
	// Base is the sequence of an answered heartbeat; fields and tasks that are left
	// out are as they were in it. 0 is a whole heartbeat. See package delta.
	Base uint64 `json:"base,omitempty"`
	// Gone lists the tasks of the base that are no longer reported.
	Gone        []string  `json:"gone,omitempty"`
	Domain      string    `json:"domain,omitempty"`
	Rack        string    `json:"rack,omitempty"`
	Address     string    `json:"address,omitempty"`
	Capacity    Resources `json:"capacity,omitzero"`
	Slots       int       `json:"slots,omitempty"`
	Connections int       `json:"connections,omitempty"`
	Services    []string  `json:"services,omitempty"`
	Draining    bool      `json:"draining,omitempty"`
	// Session, Holder and Epoch are of the newest accepted attach.
	Session uint64 `json:"session,omitempty"`
	Holder  string `json:"holder,omitempty"`
	Epoch   uint64 `json:"epoch,omitempty"`
	// SlotsInUse counts running requests by session.
	SlotsInUse map[uint64]int `json:"slots_in_use,omitempty"`
	Tasks      []TaskReport   `json:"tasks,omitempty"`
	// Usage has the changed values of attempts that are otherwise as in the base.
	Usage []UsageReport `json:"usage,omitempty"`
	// WithoutTasks says that Tasks is left out, as it may be towards a scheduler
	// without the newest full session. It must not be taken for no tasks.
	WithoutTasks bool `json:"without_tasks,omitempty"`
	// Used is the sum of the tasks. It is left out in FormatCompact.
	Used    Resources       `json:"used,omitzero"`
	Reports []ServiceReport `json:"reports,omitempty"`
	// BootUnixMS is the wall clock at start, for people only.
	BootUnixMS int64 `json:"boot_unix_ms,omitempty"`
}

// TaskRef names one attempt of a task.
type TaskRef struct {
	ID      string  `json:"id"`
	Attempt Attempt `json:"attempt"`
}

// HeartbeatAnswer renews task leases. The worker counts a lease from the moment
// it sent the heartbeat.
type HeartbeatAnswer struct {
	// In FormatCompact it is left out if it is the holder that the heartbeat names.
	Scheduler string `json:"scheduler,omitempty"`
	// Renew lists the attempts whose lease is renewed for TaskLeaseMS.
	Renew []TaskRef `json:"renew,omitempty"`
	// RenewAll stands for a Renew with every running attempt of the heartbeat.
	RenewAll    bool  `json:"renew_all,omitempty"`
	TaskLeaseMS int64 `json:"task_lease_ms,omitempty"`
	// SendWhole says that the scheduler does not hold the base of the heartbeat. The
	// answer then does nothing else, and the next heartbeat must be whole.
	SendWhole bool `json:"send_whole,omitempty"`
	// Acknowledge lists final attempts whose outcome is recorded durably.
	Acknowledge []TaskRef `json:"acknowledge,omitempty"`
	// Version is the configuration version of the scheduler.
	Version uint64 `json:"version"`
	// Format is the newest format that the scheduler reads, in the answer to a whole
	// heartbeat.
	Format int `json:"format,omitempty"`
	// IntervalMS is the time to the next heartbeat, with 0 the default of the format. After
	// an accepted attach the next heartbeat is sent at once.
	IntervalMS int64 `json:"interval_ms,omitempty"`
}

// Withdraw announces that a worker leaves; Done is set when nothing runs.
type Withdraw struct {
	Worker      string `json:"worker"`
	Incarnation string `json:"incarnation"`
	Done        bool   `json:"done"`
}

// Attach asks a worker for a new session, see docs/design.md 3.2.
type Attach struct {
	Scheduler    string `json:"scheduler"`
	Epoch        uint64 `json:"epoch"`
	ServicesOnly bool   `json:"services_only"`
}

// AttachAnswer carries what the new session needs to know.
type AttachAnswer struct {
	Accepted    bool           `json:"accepted"`
	Session     uint64         `json:"session"`
	Holder      string         `json:"holder"`
	Epoch       uint64         `json:"epoch"`
	Incarnation string         `json:"incarnation"`
	Tasks       []TaskReport   `json:"tasks,omitempty"`
	SlotsInUse  map[uint64]int `json:"slots_in_use,omitempty"`
}

// Start starts an attempt. Its lease counts from the moment the worker sent the
// heartbeat with the given incarnation and sequence, so a start that arrives
// after a long delay is refused with not_run instead of running past the time
// at which the scheduler treats the lease as over.
type Start struct {
	Session     uint64 `json:"session"`
	Epoch       uint64 `json:"epoch"`
	Incarnation string `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`

	ID         string    `json:"id"`
	Attempt    Attempt   `json:"attempt"`
	Job        string    `json:"job"`
	Resources  Resources `json:"resources"`
	LeaseMS    int64     `json:"lease_ms"`
	ExpectedMS int64     `json:"expected_ms"`
	Checkpoint []byte    `json:"checkpoint,omitempty"`
	Payload    []byte    `json:"payload,omitempty"`
}

// Stop stops an attempt and blocks it and all older ones of the task.
type Stop struct {
	Session    uint64  `json:"session"`
	Epoch      uint64  `json:"epoch"`
	ID         string  `json:"id"`
	Attempt    Attempt `json:"attempt"`
	Checkpoint bool    `json:"checkpoint"`
}

// Throttle sets the share of its processors that an attempt may use, 0 to 1.
type Throttle struct {
	Session uint64  `json:"session"`
	Epoch   uint64  `json:"epoch"`
	ID      string  `json:"id"`
	Attempt Attempt `json:"attempt"`
	Share   float64 `json:"share"`
}

// CommandAnswer answers Start, Stop, Throttle and Checkpoint. With outcome
// not_run the command had no effect.
type CommandAnswer struct {
	Outcome Outcome    `json:"outcome"`
	Reason  string     `json:"reason,omitempty"`
	Task    TaskReport `json:"task"`
}
