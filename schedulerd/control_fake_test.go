package schedulerd

import (
	"context"
	"net/http/httptest"
	"slices"
	"sync"
	"time"

	"geraniumwall/lease"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/transport"
)

// fakeControl is a control replica for one domain without a replicated log.
type fakeControl struct {
	controlpb.Control
	mu      sync.Mutex
	start   time.Time
	grantor lease.Grantor
	record  lease.Record
	index   uint64
	tasks   map[string]*controlpb.Task
	events  []*controlpb.TaskEvent
	config  []byte
}

func startFakeControl(config []byte) (*fakeControl, *httptest.Server) {
	f := &fakeControl{start: time.Now(), tasks: map[string]*controlpb.Task{}, config: config}
	server := httptest.NewUnstartedServer(nil)
	server.Config = transport.NewServer(controlpb.NewControlServer(f))
	server.Start()
	return f, server
}

// lock locks the state and returns the function that unlocks it.
func (f *fakeControl) lock() func() {
	f.mu.Lock()
	return f.mu.Unlock
}

func (f *fakeControl) GetConfig(ctx context.Context, r *controlpb.GetConfigRequest) (*controlpb.GetConfigResponse, error) {
	if r.GetKnownVersion() > 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &controlpb.GetConfigResponse{Config: &controlpb.ConfigVersion{Version: 1, Content: f.config}}, nil
}

func (f *fakeControl) RenewLease(_ context.Context, r *controlpb.RenewLeaseRequest) (*controlpb.RenewLeaseResponse, error) {
	defer f.lock()()
	now := time.Since(f.start)
	record := &f.record
	isActive := record.Active == r.GetScheduler() && record.Epoch == r.GetEpoch()
	if !isActive && r.GetMayBeAppointed() && f.grantor.MayAppoint(*record, r.GetScheduler(), now) {
		f.index++
		*record = lease.Record{Epoch: record.Epoch + 1, Active: r.GetScheduler(), Clean: true}
		isActive = true
	}
	if !isActive && record.Active != r.GetScheduler() && record.Standby != r.GetScheduler() {
		f.index++
		record.Standby = r.GetScheduler()
	}
	response := &controlpb.RenewLeaseResponse{
		Epoch: record.Epoch, Active: record.Active, Standby: record.Standby, Revision: f.index, ConfigVersion: 1,
		SchedulerLeaseMs: lease.SchedulerLease.Milliseconds(), DomainLeaseMs: lease.DomainLease.Milliseconds(),
	}
	switch {
	case isActive && f.grantor.Renew(now):
		response.Role = controlpb.SchedulerRole_SCHEDULER_ROLE_ACTIVE
	case record.Standby == r.GetScheduler():
		response.Role = controlpb.SchedulerRole_SCHEDULER_ROLE_STANDBY
	default:
		response.Role = controlpb.SchedulerRole_SCHEDULER_ROLE_NONE
		if record.Active == r.GetScheduler() {
			response.Epoch, response.Revision = 0, 0
		}
	}
	return response, nil
}

func (f *fakeControl) SyncTasks(ctx context.Context, r *controlpb.SyncTasksRequest) (*controlpb.SyncTasksResponse, error) {
	for deadline := time.Now().Add(time.Second); ; {
		response := f.changedAfter(r.GetAfterIndex())
		if response.GetComplete() || len(response.GetTasks()) > 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return response, ctx.Err()
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (f *fakeControl) changedAfter(after uint64) *controlpb.SyncTasksResponse {
	defer f.lock()()
	response := &controlpb.SyncTasksResponse{Index: f.index, Complete: after == 0}
	if f.index == 0 {
		response.Index = 1
	}
	for _, t := range f.tasks {
		if t.GetChangedIndex() > after {
			response.Tasks = append(response.Tasks, t)
		}
	}
	return response
}

func (f *fakeControl) ReportTasks(_ context.Context, r *controlpb.ReportTasksRequest) (*controlpb.ReportTasksResponse, error) {
	defer f.lock()()
	f.index++
	finalStates := map[controlpb.TaskEventKind]controlpb.TaskState{
		controlpb.TaskEventKind_TASK_EVENT_KIND_DONE:      controlpb.TaskState_TASK_STATE_DONE,
		controlpb.TaskEventKind_TASK_EVENT_KIND_FAILED:    controlpb.TaskState_TASK_STATE_FAILED,
		controlpb.TaskEventKind_TASK_EVENT_KIND_CANCELLED: controlpb.TaskState_TASK_STATE_CANCELLED,
	}
	for _, e := range r.GetEvents() {
		f.events = append(f.events, e)
		before := f.tasks[e.GetId()]
		t := &controlpb.Task{
			Id: before.GetId(), Spec: before.GetSpec(), State: before.GetState(), Domain: before.GetDomain(),
			Epoch: before.GetEpoch(), Attempt: e.GetAttempt(), Result: e.GetResult(), ChangedIndex: f.index,
			CancelRequested: before.GetCancelRequested(), Checkpoint: e.GetCheckpoint(),
		}
		if s, hasEnded := finalStates[e.GetKind()]; hasEnded {
			t.State = s
		}
		f.tasks[t.GetId()] = t
	}
	return &controlpb.ReportTasksResponse{}, nil
}

func (f *fakeControl) RecordAudit(context.Context, *controlpb.RecordAuditRequest) (*controlpb.RecordAuditResponse, error) {
	return &controlpb.RecordAuditResponse{}, nil
}

// bind adds tasks that are bound to the domain in its current epoch.
func (f *fakeControl) bind(domain string, specs map[string]*controlpb.TaskSpec) {
	defer f.lock()()
	f.index++
	for id, spec := range specs {
		f.tasks[id] = &controlpb.Task{
			Id: id, Spec: spec, State: controlpb.TaskState_TASK_STATE_BOUND, Domain: domain,
			Epoch: f.record.Epoch, ChangedIndex: f.index,
		}
	}
}

func (f *fakeControl) inState(s controlpb.TaskState) []string {
	defer f.lock()()
	var ids []string
	for id, t := range f.tasks {
		if t.GetState() == s {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (f *fakeControl) active() string {
	defer f.lock()()
	return f.record.Active
}
