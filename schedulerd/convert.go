package schedulerd

import (
	"time"

	"geraniumwall/config"
	"geraniumwall/lease"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/rpc/schedulerpb"
	"geraniumwall/scheduler"
	"geraniumwall/workerapi"
)

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

var roles = map[controlpb.SchedulerRole]lease.Role{
	controlpb.SchedulerRole_SCHEDULER_ROLE_NONE:    lease.RoleNone,
	controlpb.SchedulerRole_SCHEDULER_ROLE_ACTIVE:  lease.RoleActive,
	controlpb.SchedulerRole_SCHEDULER_ROLE_STANDBY: lease.RoleStandby,
}

func leaseAnswer(r *controlpb.RenewLeaseResponse) lease.Answer {
	return lease.Answer{
		Role: roles[r.GetRole()], Epoch: r.GetEpoch(), Revision: r.GetRevision(),
		Active: r.GetActive(), Standby: r.GetStandby(),
		SchedulerLease: millis(r.GetSchedulerLeaseMs()), DomainLease: millis(r.GetDomainLeaseMs()),
	}
}

func loadMessage(l scheduler.Load) *controlpb.DomainLoad {
	return &controlpb.DomainLoad{
		Free: resourcesMessage(l.Free), LargestFree: resourcesMessage(l.LargestFree),
		Workers: int32(l.Workers), Waiting: int32(l.Waiting), Running: int32(l.Running), //nolint:gosec // counts
	}
}

func resourcesMessage(r workerapi.Resources) *controlpb.Resources {
	return &controlpb.Resources{CpuMillis: r.CPUMillis, MemoryMb: r.MemoryMB, Accelerators: r.Accelerators}
}

func attempt(a *controlpb.Attempt) workerapi.Attempt {
	return workerapi.Attempt{Epoch: a.GetEpoch(), Number: a.GetNumber()}
}

var priorities = map[controlpb.Priority]config.Priority{
	controlpb.Priority_PRIORITY_URGENT: config.Urgent,
	controlpb.Priority_PRIORITY_NORMAL: config.Normal,
	controlpb.Priority_PRIORITY_BATCH:  config.Batch,
}

func boundTask(t *controlpb.Task) scheduler.BoundTask {
	spec := t.GetSpec()
	resources := spec.GetResources()
	return scheduler.BoundTask{
		ID: t.GetId(), Team: spec.GetTeam(), Job: spec.GetJob(), Priority: priorities[spec.GetPriority()],
		Size: workerapi.Resources{
			CPUMillis: resources.GetCpuMillis(), MemoryMB: resources.GetMemoryMb(), Accelerators: resources.GetAccelerators(),
		},
		Expected: millis(spec.GetExpectedMs()), Payload: spec.GetPayload(),
		Domain: t.GetDomain(), Epoch: t.GetEpoch(), Bound: t.GetState() == controlpb.TaskState_TASK_STATE_BOUND,
		Attempt: attempt(t.GetAttempt()), Checkpoint: t.GetCheckpoint(),
		Evictions: int(t.GetEvictions()), Failures: int(t.GetFailures()), CancelRequested: t.GetCancelRequested(),
	}
}

var reportKinds = map[scheduler.ReportKind]controlpb.TaskEventKind{
	scheduler.ReportDone:          controlpb.TaskEventKind_TASK_EVENT_KIND_DONE,
	scheduler.ReportFailed:        controlpb.TaskEventKind_TASK_EVENT_KIND_FAILED,
	scheduler.ReportEvicted:       controlpb.TaskEventKind_TASK_EVENT_KIND_EVICTED,
	scheduler.ReportCancelled:     controlpb.TaskEventKind_TASK_EVENT_KIND_CANCELLED,
	scheduler.ReportReturned:      controlpb.TaskEventKind_TASK_EVENT_KIND_RETURNED,
	scheduler.ReportAttemptFailed: controlpb.TaskEventKind_TASK_EVENT_KIND_ATTEMPT_FAILED,
}

func taskEvent(r scheduler.Report) *controlpb.TaskEvent {
	return &controlpb.TaskEvent{
		Id: r.Task, Kind: reportKinds[r.Kind],
		Attempt: &controlpb.Attempt{Epoch: r.Attempt.Epoch, Number: r.Attempt.Number},
		Worker:  r.Worker, Checkpoint: r.Checkpoint, Result: r.Result, Reason: r.Reason,
	}
}

func grantSync(r *schedulerpb.SyncGrantsRequest) scheduler.GrantSync {
	s := scheduler.GrantSync{
		Gateway: r.GetGateway(), Domain: r.GetDomain(), Incarnation: r.GetIncarnation(),
		Sequence: r.GetSequence(), Draining: r.GetDraining(), Demand: map[string]int{},
	}
	for _, d := range r.GetDemands() {
		s.Demand[d.GetService()] += max(0, int(d.GetOutstanding())) + max(0, int(d.GetQueued()))
	}
	for _, h := range r.GetHoldings() {
		s.Holdings = append(s.Holdings, scheduler.Holding{
			Worker: h.GetWorker(), Session: h.GetSession(), Slots: int(h.GetSlots()), InUse: int(h.GetSlotsInUse()),
		})
	}
	return s
}

func grantMessage(domain string, g scheduler.Grant) *schedulerpb.Grant {
	return &schedulerpb.Grant{
		Worker: g.Worker, Address: g.Address, Domain: domain, Session: g.Session,
		Slots: int32(g.Slots), Connections: int32(g.Connections), //nolint:gosec // bounded by the slots of a worker
		Services: g.Services, DurationMs: g.Duration.Milliseconds(),
	}
}

func decisionMessage(c clock, d scheduler.Decision) *schedulerpb.Decision {
	figures := make(map[string]float64, len(d.Factors))
	for _, f := range d.Factors {
		figures[f.Name] = f.Value
	}
	return &schedulerpb.Decision{
		UnixMs: c.wall(d.At).UnixMilli(), Subject: d.Subject, Kind: d.Kind, Reason: d.Reason,
		Worker: d.Worker, Figures: figures,
	}
}

//nolint:gosec // counts of one worker
func workerStatusMessage(w scheduler.WorkerStatus) *schedulerpb.WorkerStatus {
	return &schedulerpb.WorkerStatus{
		Worker: w.Worker, Rack: w.Rack, State: w.State,
		FreeCpuMillis: w.Free.CPUMillis, FreeMemoryMb: w.Free.MemoryMB, FreeAccelerators: w.Free.Accelerators,
		Tasks: int32(w.Tasks), Slots: int32(w.Slots), SlotsGranted: int32(w.SlotsGranted),
		HeartbeatAgeMs: w.HeartbeatAge.Milliseconds(), Session: w.Session, Reason: w.Reason,
	}
}
