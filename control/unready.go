package control

import (
	"context"

	"geraniumwall/rpc/controlpb"
)

// unready refuses every method of Control.
type unready struct{}

// SubmitTasks is not served yet.
func (unready) SubmitTasks(context.Context, *controlpb.SubmitTasksRequest) (*controlpb.SubmitTasksResponse, error) {
	return nil, unreadyError()
}

// CancelTasks is not served yet.
func (unready) CancelTasks(context.Context, *controlpb.CancelTasksRequest) (*controlpb.CancelTasksResponse, error) {
	return nil, unreadyError()
}

// GetTask is not served yet.
func (unready) GetTask(context.Context, *controlpb.GetTaskRequest) (*controlpb.GetTaskResponse, error) {
	return nil, unreadyError()
}

// BeginRequest is not served yet.
func (unready) BeginRequest(context.Context, *controlpb.BeginRequestRequest) (*controlpb.BeginRequestResponse, error) {
	return nil, unreadyError()
}

// EndRequest is not served yet.
func (unready) EndRequest(context.Context, *controlpb.EndRequestRequest) (*controlpb.EndRequestResponse, error) {
	return nil, unreadyError()
}

// ApplyConfig is not served yet.
func (unready) ApplyConfig(context.Context, *controlpb.ApplyConfigRequest) (*controlpb.ApplyConfigResponse, error) {
	return nil, unreadyError()
}

// GetConfig is not served yet.
func (unready) GetConfig(context.Context, *controlpb.GetConfigRequest) (*controlpb.GetConfigResponse, error) {
	return nil, unreadyError()
}

// ListConfigs is not served yet.
func (unready) ListConfigs(context.Context, *controlpb.ListConfigsRequest) (*controlpb.ListConfigsResponse, error) {
	return nil, unreadyError()
}

// RenewLease is not served yet.
func (unready) RenewLease(context.Context, *controlpb.RenewLeaseRequest) (*controlpb.RenewLeaseResponse, error) {
	return nil, unreadyError()
}

// SyncTasks is not served yet.
func (unready) SyncTasks(context.Context, *controlpb.SyncTasksRequest) (*controlpb.SyncTasksResponse, error) {
	return nil, unreadyError()
}

// ReportTasks is not served yet.
func (unready) ReportTasks(context.Context, *controlpb.ReportTasksRequest) (*controlpb.ReportTasksResponse, error) {
	return nil, unreadyError()
}

// RecordAudit is not served yet.
func (unready) RecordAudit(context.Context, *controlpb.RecordAuditRequest) (*controlpb.RecordAuditResponse, error) {
	return nil, unreadyError()
}

// ListAudit is not served yet.
func (unready) ListAudit(context.Context, *controlpb.ListAuditRequest) (*controlpb.ListAuditResponse, error) {
	return nil, unreadyError()
}

// DrainWorker is not served yet.
func (unready) DrainWorker(context.Context, *controlpb.DrainWorkerRequest) (*controlpb.DrainWorkerResponse, error) {
	return nil, unreadyError()
}

// Status is not served yet.
func (unready) Status(context.Context, *controlpb.StatusRequest) (*controlpb.StatusResponse, error) {
	return nil, unreadyError()
}

// ChangeMembers is not served yet.
func (unready) ChangeMembers(context.Context, *controlpb.ChangeMembersRequest) (*controlpb.ChangeMembersResponse, error) {
	return nil, unreadyError()
}
