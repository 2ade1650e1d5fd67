package control

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"geraniumwall/rpc/controlpb"
	"geraniumwall/state"
	"geraniumwall/state/statepb"
	"geraniumwall/transport"
)

// RenewLease renews the leases of the active scheduler and answers every other
// one with its role. It is answered after a heartbeat round that began after the
// renewal arrived, so no later leader can have appointed another scheduler.
func (s *Server) RenewLease(
	ctx context.Context, q *controlpb.RenewLeaseRequest,
) (*controlpb.RenewLeaseResponse, error) {
	if q.GetDomain() == "" || q.GetScheduler() == "" {
		return nil, invalid("domain or scheduler is missing; send both")
	}
	if err := transport.CheckName(ctx, q.GetScheduler()); err != nil {
		return nil, twirp.PermissionDenied.Error(err.Error())
	}
	return ask(ctx, s, func(run func(*replica, error)) any { return &renewal{run} },
		func(r *replica) (*controlpb.RenewLeaseResponse, error) {
			if r.lead == nil {
				return nil, errNotReady
			}
			d := r.machine.Domain(q.GetDomain())
			answer := r.lead.renew(r.now(), d, q)
			answer.ConfigVersion = r.machine.Config().GetVersion()
			if answer.Drains = r.machine.DrainsIndex(); answer.GetDrains() > q.GetKnownDrains() {
				answer.Drained, _ = r.machine.Drained()
			}
			return answer, nil
		})
}

// SyncTasks returns what changed in a domain after an index, and waits for a
// change if there is none.
func (s *Server) SyncTasks(
	ctx context.Context, q *controlpb.SyncTasksRequest,
) (*controlpb.SyncTasksResponse, error) {
	var changed chan struct{}
	answer, err := lookup(ctx, s, func(r *replica) (*controlpb.SyncTasksResponse, error) {
		if d := r.machine.Domain(q.GetDomain()); d.GetEpoch() != q.GetEpoch() {
			return nil, &state.Refusal{Kind: state.KindStaleEpoch, Text: "the domain has another epoch; renew the lease first"}
		}
		answer := syncAnswer(r, q)
		if len(answer.GetTasks()) == 0 && !answer.GetComplete() && q.GetWaitMs() > 0 {
			changed = make(chan struct{})
			r.feeds[q.GetDomain()] = append(r.feeds[q.GetDomain()], feedWaiter{q.GetAfterIndex(), changed})
		}
		return answer, nil
	})
	if err != nil || changed == nil {
		return answer, err
	}
	if !s.waitForChange(ctx, q, changed) {
		return answer, nil
	}
	return peek(ctx, s, func(r *replica) (*controlpb.SyncTasksResponse, error) { return syncAnswer(r, q), nil })
}

func syncAnswer(r *replica, q *controlpb.SyncTasksRequest) *controlpb.SyncTasksResponse {
	tasks, complete := r.machine.TasksAfter(q.GetDomain(), q.GetAfterIndex())
	return &controlpb.SyncTasksResponse{Tasks: tasks, Index: r.machine.Index(), Complete: complete}
}

func (s *Server) waitForChange(ctx context.Context, q *controlpb.SyncTasksRequest, changed chan struct{}) bool {
	timer := time.NewTimer(waitOf(q.GetWaitMs()))
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
	case <-ctx.Done():
	case <-s.stopping:
	}
	s.send(&local{func(r *replica) { r.forgetFeedWaiter(q.GetDomain(), changed) }})
	return false
}

func (r *replica) forgetFeedWaiter(domain string, changed chan struct{}) {
	var kept []feedWaiter
	for _, w := range r.feeds[domain] {
		if w.done != changed {
			kept = append(kept, w)
		}
	}
	r.feeds[domain] = kept
}

// DrainWorker drains a worker or ends that.
func (s *Server) DrainWorker(
	ctx context.Context, q *controlpb.DrainWorkerRequest,
) (*controlpb.DrainWorkerResponse, error) {
	if q.GetWorker() == "" || q.GetActor() == "" {
		return nil, invalid("worker or actor is missing; send both")
	}
	got, err := s.propose(ctx, &statepb.Command{
		Format: state.FormatDrains, Kind: &statepb.Command_DrainWorker{DrainWorker: q},
	})
	if err != nil {
		return nil, err
	}
	return got.(*controlpb.DrainWorkerResponse), nil
}

// ReportTasks records events of a domain's tasks by one log entry.
func (s *Server) ReportTasks(
	ctx context.Context, q *controlpb.ReportTasksRequest,
) (*controlpb.ReportTasksResponse, error) {
	if len(q.GetEvents()) > maxBatch {
		return nil, invalid("%d events in one request; send at most %d", len(q.GetEvents()), maxBatch)
	}
	got, err := s.propose(ctx, &statepb.Command{Kind: &statepb.Command_Report{Report: q}})
	if err != nil {
		return nil, err
	}
	return got.(*controlpb.ReportTasksResponse), nil
}
