// Package state implements the replicated state machine. It holds the configuration
// history, tasks, records of non-idempotent requests, the schedulers of each failure
// domain, drained workers and the audit trail.
//
// The state machine is deterministic: the same commands at the same log indexes
// yield the same state and results on every replica. It never reads the clock.
// Decisions that depend on time are made by the leader and proposed as commands
// with a precondition.
//
// Records are immutable: an update replaces the record, so readers on other
// goroutines may keep the records that they received.
package state

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"geraniumwall/rpc/controlpb"
	"geraniumwall/state/statepb"
)

// Machine is the replicated state machine. It must be used by a single goroutine.
type Machine struct {
	index          uint64
	tasks          *taskTable
	requests       *requestTable
	domains        map[string]*statepb.DomainRecord
	configs        configHistory
	audit          auditTrail
	joinedReplicas map[uint64]bool
	drains         drainTable
}

// New returns a state machine to which no entry has been applied.
func New() *Machine {
	return &Machine{
		tasks:          newTaskTable(),
		requests:       newRequestTable(),
		domains:        map[string]*statepb.DomainRecord{},
		joinedReplicas: map[uint64]bool{},
		drains:         drainTable{workers: map[string]bool{}},
	}
}

// Index returns the log index of the last applied entry.
func (m *Machine) Index() uint64 { return m.index }

// Refusal is the error of a command that was rejected without any effect. Kind is
// stable and meant for programs; Text is for people.
type Refusal struct {
	Kind Kind
	Text string
}

// Kind classifies rejected commands and the errors of single tasks in a batch.
type Kind string

// Kinds of errors.
const (
	KindStaleEpoch     Kind = "stale_epoch"
	KindStaleRevision  Kind = "stale_revision"
	KindUnknownRequest Kind = "unknown_request"
	KindOtherHolder    Kind = "other_holder"
	KindKeyConflict    Kind = "key_conflict"
	KindAlreadyEnded   Kind = "already_ended"
	KindTooManyDrains  Kind = "too_many_drains"
)

// Error returns the text, which includes what to do about the error.
func (r *Refusal) Error() string { return r.Text }

func newRefusal(kind Kind, format string, args ...any) *Refusal {
	return &Refusal{Kind: kind, Text: fmt.Sprintf(format, args...)}
}

// Encode returns the encoding of a command in the log.
func Encode(c *statepb.Command) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return data, nil
}

// Formats of commands and snapshots. Data that needs no later format is written
// without one, so that replicas of the previous version can read it.
const (
	// FormatDrains adds drained workers.
	FormatDrains = 2
	// Format is the newest format that this version reads.
	Format = FormatDrains
)

// checkFormat rejects formats newer than the ones that this version reads.
func checkFormat(format uint32) error {
	if format > Format {
		return fmt.Errorf("format %d is newer than %d; upgrade this replica to the version that wrote it, "+
			"and do not replace its data directory", format, Format)
	}
	return nil
}

// Decode decodes a command from the log. It fails if the kind or the format of the
// command is unknown.
func Decode(data []byte) (*statepb.Command, error) {
	c := &statepb.Command{}
	if err := proto.Unmarshal(data, c); err != nil {
		return nil, fmt.Errorf("decode command: %w; the log is damaged, replace this replica", err)
	}
	if err := checkFormat(c.GetFormat()); err != nil {
		return nil, fmt.Errorf("decode command: %w", err)
	}
	if c.GetKind() == nil {
		return nil, fmt.Errorf("decode command: unknown kind; upgrade this replica to the version of the leader")
	}
	return c, nil
}

// Apply applies the committed command at index. It returns the response for the
// proposer, or a *Refusal if the command was rejected.
func (m *Machine) Apply(index uint64, c *statepb.Command) (proto.Message, error) {
	m.Skip(index)
	result, refusal := m.dispatch(c)
	if refusal != nil {
		return nil, refusal
	}
	return result, nil
}

// Skip advances the index past an entry that carries no command.
func (m *Machine) Skip(index uint64) {
	assert(index > m.index, "entry %d applied after entry %d", index, m.index)
	m.index = index
}

func (m *Machine) dispatch(c *statepb.Command) (proto.Message, *Refusal) {
	switch k := c.GetKind().(type) {
	case *statepb.Command_Submit:
		return m.submitTasks(c.GetUnixMs(), k.Submit), nil
	case *statepb.Command_Cancel:
		return m.cancelTasks(k.Cancel), nil
	case *statepb.Command_Bind:
		return m.bindTasks(k.Bind), nil
	case *statepb.Command_Report:
		return m.reportTasks(c.GetUnixMs(), k.Report)
	case *statepb.Command_ApplyConfig:
		return m.applyConfig(c.GetUnixMs(), k.ApplyConfig), nil
	case *statepb.Command_Audit:
		return m.recordAudit(c.GetUnixMs(), k.Audit), nil
	case *statepb.Command_DrainWorker:
		return m.drainWorker(c.GetUnixMs(), k.DrainWorker)
	case *statepb.Command_Prune:
		return m.prune(k.Prune), nil
	}
	return m.dispatchRequestsAndDomains(c)
}

func (m *Machine) dispatchRequestsAndDomains(c *statepb.Command) (proto.Message, *Refusal) {
	switch k := c.GetKind().(type) {
	case *statepb.Command_BeginRequest:
		return m.beginRequest(k.BeginRequest), nil
	case *statepb.Command_EndRequest:
		return m.endRequest(k.EndRequest)
	case *statepb.Command_ExpireRequests:
		return m.expireRequests(k.ExpireRequests), nil
	case *statepb.Command_Appoint:
		return m.appoint(c.GetUnixMs(), k.Appoint)
	case *statepb.Command_NameStandby:
		return m.nameStandby(k.NameStandby)
	case *statepb.Command_ConfirmStandby:
		return m.confirmStandby(k.ConfirmStandby)
	case *statepb.Command_ExpireDomain:
		return m.expireDomain(c.GetUnixMs(), k.ExpireDomain)
	case *statepb.Command_ReplicaJoined:
		m.joinedReplicas[k.ReplicaJoined.GetId()] = true
		return k.ReplicaJoined, nil
	}
	panic("state: command of an unknown kind; upgrade this replica to the version of the leader")
}

func (m *Machine) prune(p *statepb.Prune) proto.Message {
	return &statepb.PruneResult{
		Tasks:    m.tasks.prune(p.GetTasksThrough(), p.GetLimit()),
		Requests: m.requests.prune(p.GetRequestsThrough(), p.GetLimit()),
	}
}

// Joined reports whether a ReplicaJoined command has recorded that the replica
// stored part of the log.
func (m *Machine) Joined(id uint64) bool { return m.joinedReplicas[id] }

// TakeEnded returns and clears the ids of the tasks that ended since the last call.
func (m *Machine) TakeEnded() []string {
	ids := m.tasks.justEnded
	m.tasks.justEnded = nil
	return ids
}

// TaskCounts returns the number of tasks by the name of their state.
func (m *Machine) TaskCounts() map[string]int64 {
	counts := map[string]int64{}
	for s, n := range m.tasks.counts {
		counts[taskStateName(s)] = n
	}
	return counts
}

func taskStateName(s controlpb.TaskState) string {
	names := map[controlpb.TaskState]string{
		controlpb.TaskState_TASK_STATE_PENDING:   "pending",
		controlpb.TaskState_TASK_STATE_BOUND:     "bound",
		controlpb.TaskState_TASK_STATE_DONE:      "done",
		controlpb.TaskState_TASK_STATE_FAILED:    "failed",
		controlpb.TaskState_TASK_STATE_CANCELLED: "cancelled",
		controlpb.TaskState_TASK_STATE_REJECTED:  "rejected",
	}
	return names[s]
}

// HasEnded reports whether any task ended at or before index tasksThrough, or any
// request at or before requestsThrough. These are what Prune with the same indexes
// removes.
func (m *Machine) HasEnded(tasksThrough, requestsThrough uint64) bool {
	t, found := m.tasks.ended.Min()
	if found && t.GetTask().GetChangedIndex() <= tasksThrough {
		return true
	}
	q, found := m.requests.ended.Min()
	return found && q.GetChangedIndex() <= requestsThrough
}

// EndedBeyond returns the index through which ended tasks have to be pruned so that
// at most the newest keep of them remain, or 0 if there are no more than keep.
func (m *Machine) EndedBeyond(keep int) uint64 {
	excess := m.tasks.ended.Len() - keep
	if excess <= 0 {
		return 0
	}
	r, _ := m.tasks.ended.GetAt(excess - 1)
	return r.GetTask().GetChangedIndex()
}

// Records returns the total number of stored tasks and requests.
func (m *Machine) Records() int { return len(m.tasks.byID) + len(m.requests.byKey) }

// assert panics if an invariant is violated: continuing would spread the corruption
// to callers and into the snapshot.
func assert(ok bool, format string, args ...any) {
	if !ok {
		panic("state: invariant violated: " + fmt.Sprintf(format, args...))
	}
}
