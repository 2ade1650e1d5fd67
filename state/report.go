package state

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"geraniumwall/rpc/controlpb"
	"geraniumwall/state/statepb"
)

// reportTasks applies events reported by the active scheduler of a domain. A report
// from a former active scheduler is rejected as a whole: the current one collects
// the outcomes from the workers again.
func (m *Machine) reportTasks(unixMS int64, c *controlpb.ReportTasksRequest) (proto.Message, *Refusal) {
	domain := m.domains[c.GetDomain()]
	if domain.GetActive() != c.GetScheduler() || domain.GetEpoch() != c.GetEpoch() || c.GetScheduler() == "" {
		return nil, newRefusal(KindStaleEpoch,
			"%s with epoch %d is not the active scheduler of domain %s (it is %s with epoch %d); renew the lease first",
			c.GetScheduler(), c.GetEpoch(), c.GetDomain(), domain.GetActive(), domain.GetEpoch())
	}
	resp := &controlpb.ReportTasksResponse{}
	for _, e := range c.GetEvents() {
		if !m.recordEvent(unixMS, domain, e) {
			resp.Stale = append(resp.Stale, e.GetId())
		}
	}
	return resp, nil
}

// recordEvent applies an event. It reports whether the event is recorded, now or by
// an earlier report.
func (m *Machine) recordEvent(unixMS int64, domain *statepb.DomainRecord, e *controlpb.TaskEvent) bool {
	r, known := m.tasks.byID[e.GetId()]
	if !known {
		return false
	}
	if isRepeatedEvent(r, domain.GetDomain(), e) {
		return true
	}
	kind, valid := eventByKind[e.GetKind()]
	if !valid || !acceptsEvent(r, domain, kind, e.GetAttempt()) {
		return false
	}
	state, ok := nextState(r.GetTask(), kind)
	if !ok {
		return false
	}
	m.applyEvent(r, domain.GetDomain(), state, e)
	m.auditEvent(unixMS, domain, e)
	return true
}

func isRepeatedEvent(r *statepb.TaskRecord, domain string, e *controlpb.TaskEvent) bool {
	return r.GetLastEvent() != 0 && r.GetLastEvent() == e.GetKind() && r.GetLastDomain() == domain &&
		sameAttempt(r.GetTask().GetAttempt(), e.GetAttempt())
}

// acceptsEvent reports whether an event of attempt a may change the record. The task
// must be bound to the domain. The attempt must not be older than the recorded one
// or belong to an epoch that the domain has not reached. An attempt ends only once,
// except that the failure of the task may follow the failure of the attempt.
func acceptsEvent(r *statepb.TaskRecord, domain *statepb.DomainRecord, kind event, a *controlpb.Attempt) bool {
	t := r.GetTask()
	if t.GetState() != taskBound || t.GetDomain() != domain.GetDomain() {
		return false
	}
	if isOlderAttempt(a, t.GetAttempt()) || a.GetEpoch() > domain.GetEpoch() {
		return false
	}
	last := eventByKind[r.GetLastEvent()]
	if !sameAttempt(a, t.GetAttempt()) || !endsAttempt[last] || !endsAttempt[kind] {
		return true
	}
	return last == eventAttemptFailed && kind == eventFailed
}

func (m *Machine) applyEvent(
	r *statepb.TaskRecord, domain string, state controlpb.TaskState, e *controlpb.TaskEvent,
) {
	after := copyTaskRecord(r)
	after.LastEvent, after.LastDomain = e.GetKind(), domain
	t := after.Task
	t.State, t.Attempt, t.ChangedIndex = state, e.GetAttempt(), m.index
	if len(e.GetCheckpoint()) > 0 {
		t.Checkpoint = e.GetCheckpoint()
	}
	if e.GetReason() != "" {
		t.Reason = e.GetReason()
	}
	switch e.GetKind() {
	case controlpb.TaskEventKind_TASK_EVENT_KIND_EVICTED:
		t.Evictions++
	case controlpb.TaskEventKind_TASK_EVENT_KIND_ATTEMPT_FAILED:
		t.Failures++
	}
	if isTerminal(state) {
		t.Result, t.Checkpoint = e.GetResult(), nil
	}
	if state == taskPending {
		t.Domain, t.Epoch = "", 0
	}
	m.tasks.replace(r, after)
}

// auditEvent adds an audit record for events that result from automatic decisions:
// evictions and rejections.
func (m *Machine) auditEvent(unixMS int64, domain *statepb.DomainRecord, e *controlpb.TaskEvent) {
	var action string
	switch e.GetKind() {
	case controlpb.TaskEventKind_TASK_EVENT_KIND_EVICTED:
		action = "task.evicted"
	case controlpb.TaskEventKind_TASK_EVENT_KIND_REJECTED:
		action = "task.rejected"
	default:
		return
	}
	m.audit.append(&controlpb.AuditRecord{
		UnixMs: unixMS, Actor: domain.GetActive(), Action: action, Subject: e.GetId(),
		Detail: fmt.Sprintf("attempt %d/%d on %s in %s: %s", e.GetAttempt().GetEpoch(), e.GetAttempt().GetNumber(),
			e.GetWorker(), domain.GetDomain(), e.GetReason()),
		Result: "done",
	})
}
