// Package state is the replicated state machine: configuration, tasks, records of
// non-idempotent requests, the schedulers of the domains and the audit trail. It
// is deterministic: the same commands at the same indexes give the same state and
// the same results on every replica. The clock never enters it; what depends on
// time is decided by the leader and proposed as a command with a precondition.
//
// Records are immutable: a change replaces a record, so readers on other
// goroutines may keep the records that they were given.
package state

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"geraniumwall/rpc/controlpb"
	"geraniumwall/state/statepb"
)

// Machine is the state machine. It is used by one goroutine.
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

// New returns the state before the first command.
func New() *Machine {
	return &Machine{
		tasks:          newTaskTable(),
		requests:       newRequestTable(),
		domains:        map[string]*statepb.DomainRecord{},
		joinedReplicas: map[uint64]bool{},
		drains:         drainTable{workers: map[string]bool{}},
	}
}

// Index returns the index of the last entry applied.
func (m *Machine) Index() uint64 { return m.index }

// Refusal is a command's result when it had no effect. Kind is stable and
// meant for programs.
type Refusal struct {
	Kind Kind
	Text string
}

// Kind classifies refusals and the errors of single tasks.
type Kind string

// Kinds of refusals.
const (
	KindStaleEpoch     Kind = "stale_epoch"
	KindStaleRevision  Kind = "stale_revision"
	KindUnknownRequest Kind = "unknown_request"
	KindOtherHolder    Kind = "other_holder"
	KindKeyConflict    Kind = "key_conflict"
	KindAlreadyEnded   Kind = "already_ended"
	KindTooManyDrains  Kind = "too_many_drains"
)

// Error returns the text of the refusal, which names the remedy.
func (r *Refusal) Error() string { return r.Text }

func newRefusal(kind Kind, format string, args ...any) *Refusal {
	return &Refusal{Kind: kind, Text: fmt.Sprintf(format, args...)}
}

// Encode returns the log form of a command.
func Encode(c *statepb.Command) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return data, nil
}

// Formats of commands and snapshots. What does not need a later format is written
// without one, so that replicas of the former version can read it.
const (
	// FormatDrains has drains of workers.
	FormatDrains = 2
	// Format is the newest format that this code reads.
	Format = FormatDrains
)

// checkFormat refuses data whose meaning this code doesn't know.
func checkFormat(format uint32) error {
	if format > Format {
		return fmt.Errorf("format %d is newer than %d; upgrade this replica to the version that wrote it, "+
			"and do not replace its data directory", format, Format)
	}
	return nil
}

// Decode is the inverse of Encode. It fails on a command of an unknown kind or
// format.
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

// Apply applies the committed entry at index. It returns the answer to the
// proposer, or a *Refusal if the command had no effect.
func (m *Machine) Apply(index uint64, c *statepb.Command) (proto.Message, error) {
	m.Skip(index)
	result, refusal := m.dispatch(c)
	if refusal != nil {
		return nil, refusal
	}
	return result, nil
}

// Skip records an entry that carries no command.
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

// Joined reports whether a replica is known to have stored part of the log.
func (m *Machine) Joined(id uint64) bool { return m.joinedReplicas[id] }

// TakeEnded returns the ids of the tasks that ended since the last call.
func (m *Machine) TakeEnded() []string {
	ids := m.tasks.justEnded
	m.tasks.justEnded = nil
	return ids
}

// TaskCounts returns the number of tasks in each state, by its name.
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

// HasEnded reports whether there is a task or a request that ended at or before
// its index.
func (m *Machine) HasEnded(tasksThrough, requestsThrough uint64) bool {
	t, found := m.tasks.ended.Min()
	if found && t.GetTask().GetChangedIndex() <= tasksThrough {
		return true
	}
	q, found := m.requests.ended.Min()
	return found && q.GetChangedIndex() <= requestsThrough
}

// EndedBeyond returns the index at or before which the ended tasks beyond the
// newest keep ones ended, 0 if there are no more than keep.
func (m *Machine) EndedBeyond(keep int) uint64 {
	excess := m.tasks.ended.Len() - keep
	if excess <= 0 {
		return 0
	}
	r, _ := m.tasks.ended.GetAt(excess - 1)
	return r.GetTask().GetChangedIndex()
}

// Records returns the number of tasks and requests.
func (m *Machine) Records() int { return len(m.tasks.byID) + len(m.requests.byKey) }

// assert ends the process when an invariant is violated: going on would spread
// the damage to callers and to the snapshot.
func assert(ok bool, format string, args ...any) {
	if !ok {
		panic("state: invariant violated: " + fmt.Sprintf(format, args...))
	}
}
