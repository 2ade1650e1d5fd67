package state

import (
	"bytes"
	"fmt"

	"google.golang.org/protobuf/proto"

	"geraniumwall/rpc/controlpb"
	"geraniumwall/state/statepb"
)

func (m *Machine) submitTasks(unixMS int64, c *controlpb.SubmitTasksRequest) proto.Message {
	resp := &controlpb.SubmitTasksResponse{}
	for _, spec := range c.GetTasks() {
		resp.Results = append(resp.Results, m.submitTask(unixMS, spec))
	}
	return resp
}

func (m *Machine) submitTask(unixMS int64, spec *controlpb.TaskSpec) *controlpb.SubmitResult {
	key := idempotencyKey{spec.GetCaller(), spec.GetIdempotencyKey()}
	if id, known := m.tasks.byKey[key]; known {
		return repeatedSubmitResult(m.tasks.byID[id].GetTask(), spec)
	}
	m.tasks.lastSequence++
	task := &controlpb.Task{
		Id:             taskID(m.tasks.lastSequence),
		Spec:           spec,
		State:          taskPending,
		Attempt:        &controlpb.Attempt{},
		ChangedIndex:   m.index,
		AcceptedUnixMs: unixMS,
	}
	m.tasks.insert(&statepb.TaskRecord{Task: task, Sequence: m.tasks.lastSequence})
	return &controlpb.SubmitResult{Id: task.GetId()}
}

// repeatedSubmitResult answers a submission whose idempotency key is in use. It
// compares only the job and the payload: fields that the caller omits are filled in
// from the configuration, which may have changed between the two submissions.
func repeatedSubmitResult(t *controlpb.Task, spec *controlpb.TaskSpec) *controlpb.SubmitResult {
	original := t.GetSpec()
	if original.GetJob() != spec.GetJob() || !bytes.Equal(original.GetPayload(), spec.GetPayload()) {
		return &controlpb.SubmitResult{
			ErrorKind: string(KindKeyConflict),
			Error: fmt.Sprintf("idempotency key %q was used for task %s with another job or payload; use a new key",
				spec.GetIdempotencyKey(), t.GetId()),
		}
	}
	return &controlpb.SubmitResult{Id: t.GetId(), Existed: true}
}

// cancelTasks cancels pending tasks immediately and marks bound ones for
// cancellation. Tasks of another caller are left unchanged and omitted from the
// response. A request without a caller comes from an operator and applies to the
// tasks of all callers.
func (m *Machine) cancelTasks(c *controlpb.CancelTasksRequest) proto.Message {
	resp := &controlpb.CancelTasksResponse{}
	for _, id := range c.GetIds() {
		r, known := m.tasks.byID[id]
		if !known || (c.GetCaller() != "" && c.GetCaller() != r.GetTask().GetSpec().GetCaller()) {
			continue
		}
		resp.Tasks = append(resp.Tasks, m.cancelTask(r))
	}
	return resp
}

func (m *Machine) cancelTask(r *statepb.TaskRecord) *controlpb.Task {
	state, ok := nextState(r.GetTask(), eventCancel)
	if !ok || r.GetTask().GetCancelRequested() {
		return r.GetTask()
	}
	after := copyTaskRecord(r)
	after.Task.State = state
	after.Task.CancelRequested = true
	after.Task.ChangedIndex = m.index
	m.tasks.replace(r, after)
	return after.GetTask()
}

func (m *Machine) bindTasks(c *statepb.Bind) proto.Message {
	result := &statepb.BindResult{}
	for _, b := range c.GetBindings() {
		if m.bindTask(b) {
			result.Bound++
		}
	}
	return result
}

// bindTask binds a pending task to a domain and reports whether it did. It raises the
// attempt number, so that a delayed event of an earlier binding is older than the
// record.
func (m *Machine) bindTask(b *statepb.Binding) bool {
	r, known := m.tasks.byID[b.GetTask()]
	domain := m.domains[b.GetDomain()]
	if !known || domain.GetActive() == "" || domain.GetEpoch() != b.GetIfEpoch() {
		return false
	}
	state, ok := nextState(r.GetTask(), eventBind)
	if !ok {
		return false
	}
	after := copyTaskRecord(r)
	after.LastEvent, after.LastDomain = 0, ""
	t := after.Task
	t.State, t.Domain, t.Epoch, t.ChangedIndex = state, b.GetDomain(), domain.GetEpoch(), m.index
	t.Attempt = &controlpb.Attempt{Epoch: domain.GetEpoch(), Number: t.GetAttempt().GetNumber() + 1}
	m.tasks.replace(r, after)
	return true
}
