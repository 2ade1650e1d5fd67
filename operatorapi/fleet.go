package operatorapi

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"geraniumwall/control/client"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/rpc/schedulerpb"
)

const (
	schedulerTimeout = 2 * time.Second
	explainLimit     = 200
)

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	var result Status
	control, err := client.Call(ctx, s.control, "Status", 0, controlpb.Control.Status, &controlpb.StatusRequest{})
	if err != nil {
		control, err = client.Any(ctx, s.control, 0, controlpb.Control.Status, &controlpb.StatusRequest{})
	}
	if err == nil {
		result.Control = control
	}
	schedulers := s.schedulers()
	result.Schedulers = make([]SchedulerStatus, len(schedulers))
	each(ctx, schedulers, func(ctx context.Context, i int, one scheduler) {
		result.Schedulers[i] = one.status(ctx)
	})
	for _, m := range s.directory.Members() {
		result.Members = append(result.Members, MemberStatus{
			Name: m.Name, Kind: m.Kind, Domain: m.Domain, Address: m.Address, State: m.State.String(),
		})
	}
	writeJSON(w, http.StatusOK, result)
}

// each calls f for every scheduler at once and waits for all.
func each(ctx context.Context, schedulers []scheduler, f func(context.Context, int, scheduler)) {
	var all sync.WaitGroup
	for i, one := range schedulers {
		all.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, schedulerTimeout)
			defer cancel()
			f(bounded, i, one)
		})
	}
	all.Wait()
}

func (s scheduler) status(ctx context.Context) SchedulerStatus {
	result := SchedulerStatus{Scheduler: s.Name, Domain: s.Domain}
	answer, err := s.stub.Status(ctx, &schedulerpb.StatusRequest{})
	if err != nil {
		result.Error = err.Error()
		return result
	}
	result.Role, result.Epoch = answer.GetRole(), answer.GetEpoch()
	result.Waiting, result.Running = answer.GetWaiting(), answer.GetRunning()
	result.ConfigVersion = answer.GetConfigVersion()
	result.SchedulerLeaseMS, result.DomainLeaseMS = answer.GetSchedulerLeaseMs(), answer.GetDomainLeaseMs()
	for _, w := range answer.GetWorkers() {
		result.Workers = append(result.Workers, WorkerStatus{
			Worker: w.GetWorker(), Rack: w.GetRack(), State: w.GetState(),
			FreeCPUMillis: w.GetFreeCpuMillis(), FreeMemoryMB: w.GetFreeMemoryMb(), FreeAccelerators: w.GetFreeAccelerators(),
			Tasks: w.GetTasks(), Slots: w.GetSlots(), SlotsGranted: w.GetSlotsGranted(), HeartbeatAgeMS: w.GetHeartbeatAgeMs(),
			Reason: w.GetReason(),
		})
	}
	return result
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	subject := r.PathValue("subject")
	var mu sync.Mutex
	decisions := []Decision{}
	each(r.Context(), s.schedulers(), func(ctx context.Context, _ int, one scheduler) {
		answer, err := one.stub.Explain(ctx, &schedulerpb.ExplainRequest{Subject: subject, Limit: explainLimit})
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		for _, d := range answer.GetDecisions() {
			decisions = append(decisions, Decision{
				UnixMS: d.GetUnixMs(), Subject: d.GetSubject(), Kind: d.GetKind(),
				Reason: d.GetReason(), Worker: d.GetWorker(), Figures: d.GetFigures(),
			})
		}
	})
	sort.SliceStable(decisions, func(i, j int) bool { return decisions[i].UnixMS < decisions[j].UnixMS })
	writeJSON(w, http.StatusOK, decisions)
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	operator, err := operatorOf(r)
	if err != nil {
		writeProblem(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	request := &controlpb.DrainWorkerRequest{
		Worker: r.PathValue("worker"), Undo: r.URL.Query().Get("undo") == "true", Actor: operator,
	}
	// The drain of a worker that is gone can be undone.
	if !request.GetUndo() && !s.knows(ctx, request.GetWorker()) {
		writeProblem(w, &Problem{Status: http.StatusNotFound, Title: "no such worker",
			Detail: "no scheduler knows worker " + request.GetWorker() + "; see geranium status for the names", Outcome: "not_run"})
		return
	}
	if _, err := client.Call(ctx, s.control, "DrainWorker", 0, controlpb.Control.DrainWorker, request); err != nil {
		writeProblem(w, err)
		return
	}
	writeJSON(w, http.StatusOK, request)
}

// knows reports whether a scheduler knows a worker.
func (s *Server) knows(ctx context.Context, worker string) bool {
	var found atomic.Bool
	each(ctx, s.schedulers(), func(ctx context.Context, _ int, one scheduler) {
		answer, err := one.stub.Status(ctx, &schedulerpb.StatusRequest{})
		if err != nil {
			return
		}
		for _, w := range answer.GetWorkers() {
			if w.GetWorker() == worker {
				found.Store(true)
			}
		}
	})
	return found.Load()
}
