package control

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumwall/config"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/state"
	"geraniumwall/state/statepb"
)

const (
	// maxBatch bounds the tasks, ids, events or records of one request.
	maxBatch = 4096
	// maxPayload bounds the payload of a task in bytes.
	maxPayload = 1 << 20
	// maxWait bounds a long poll.
	maxWait = 30 * time.Second
)

// Kinds of errors of single tasks, besides those of package state.
const (
	kindInvalidTask = "invalid_task"
	kindUnknownJob  = "unknown_job"
)

// propose appends a command and waits until it is applied.
func (s *Server) propose(ctx context.Context, c *statepb.Command) (proto.Message, error) {
	c.UnixMs = time.Now().UnixMilli()
	data, err := state.Encode(c)
	if err != nil {
		return nil, invalid("%v; correct the request", err)
	}
	return s.await(ctx, func(done func(proto.Message, error)) { s.send(&propose{data, done}) })
}

// leads returns an error unless this replica leads and knows the newest
// configuration.
func (s *Server) leads() error {
	if v := s.view.Load(); !v.ready {
		return notLeader(v.leaderAddress)
	}
	return nil
}

// SubmitTasks accepts valid tasks by one log entry and reports the others.
func (s *Server) SubmitTasks(
	ctx context.Context, q *controlpb.SubmitTasksRequest,
) (*controlpb.SubmitTasksResponse, error) {
	if err := s.leads(); err != nil {
		return nil, err
	}
	if len(q.GetTasks()) > maxBatch {
		return nil, invalid("%d tasks in one request; send at most %d", len(q.GetTasks()), maxBatch)
	}
	answer := &controlpb.SubmitTasksResponse{Results: make([]*controlpb.SubmitResult, len(q.GetTasks()))}
	accepted := &controlpb.SubmitTasksRequest{}
	var places []int
	for i, spec := range q.GetTasks() {
		filled, problem := completeSpec(s.config.load().parsed, spec)
		if problem != nil {
			answer.Results[i] = problem
			continue
		}
		accepted.Tasks = append(accepted.Tasks, filled)
		places = append(places, i)
	}
	if len(places) == 0 {
		return answer, nil
	}
	got, err := s.propose(ctx, &statepb.Command{Kind: &statepb.Command_Submit{Submit: accepted}})
	if err != nil {
		return nil, err
	}
	for i, result := range got.(*controlpb.SubmitTasksResponse).GetResults() {
		answer.Results[places[i]] = result
	}
	return answer, nil
}

// completeSpec checks a task and fills in what the configuration says of its job.
func completeSpec(c *config.Config, spec *controlpb.TaskSpec) (*controlpb.TaskSpec, *controlpb.SubmitResult) {
	problem := func(kind, format string, args ...any) *controlpb.SubmitResult {
		return &controlpb.SubmitResult{ErrorKind: kind, Error: fmt.Sprintf(format, args...)}
	}
	if spec.GetCaller() == "" || spec.GetIdempotencyKey() == "" {
		return nil, problem(kindInvalidTask, "caller or idempotency key is missing; send both")
	}
	if len(spec.GetPayload()) > maxPayload {
		return nil, problem(kindInvalidTask, "payload has %d bytes; send at most %d", len(spec.GetPayload()), maxPayload)
	}
	filled := proto.Clone(spec).(*controlpb.TaskSpec)
	if filled.Resources == nil {
		filled.Resources = &controlpb.Resources{}
	}
	if negative(filled.GetResources()) {
		return nil, problem(kindInvalidTask, "a resource amount is negative; send amounts of at least 0")
	}
	if c != nil {
		job, declared := c.FindJob(spec.GetJob())
		if !declared {
			return nil, problem(kindUnknownJob, "job %q is not declared; apply a configuration that declares it", spec.GetJob())
		}
		fillFrom(filled, job)
	}
	if filled.GetPriority() == controlpb.Priority_PRIORITY_UNSPECIFIED {
		filled.Priority = controlpb.Priority_PRIORITY_BATCH
	}
	return filled, nil
}

func negative(r *controlpb.Resources) bool {
	return r.GetCpuMillis() < 0 || r.GetMemoryMb() < 0 || r.GetAccelerators() < 0
}

func fillFrom(spec *controlpb.TaskSpec, job config.Job) {
	if spec.GetTeam() == "" {
		spec.Team = job.Team
	}
	if spec.GetExpectedMs() == 0 {
		spec.ExpectedMs = job.ExpectedMS
	}
	if proto.Equal(spec.GetResources(), &controlpb.Resources{}) {
		spec.Resources = &controlpb.Resources{
			CpuMillis: job.Size.CPUMillis, MemoryMb: job.Size.MemoryMB, Accelerators: job.Size.Accelerators,
		}
	}
	if spec.GetPriority() == controlpb.Priority_PRIORITY_UNSPECIFIED {
		spec.Priority = map[config.Priority]controlpb.Priority{
			config.Urgent: controlpb.Priority_PRIORITY_URGENT,
			config.Normal: controlpb.Priority_PRIORITY_NORMAL,
			config.Batch:  controlpb.Priority_PRIORITY_BATCH,
		}[job.Priority]
	}
}

// CancelTasks cancels pending tasks and marks bound ones.
func (s *Server) CancelTasks(
	ctx context.Context, q *controlpb.CancelTasksRequest,
) (*controlpb.CancelTasksResponse, error) {
	if len(q.GetIds()) > maxBatch {
		return nil, invalid("%d ids in one request; send at most %d", len(q.GetIds()), maxBatch)
	}
	got, err := s.propose(ctx, &statepb.Command{Kind: &statepb.Command_Cancel{Cancel: q}})
	if err != nil {
		return nil, err
	}
	return got.(*controlpb.CancelTasksResponse), nil
}

// GetTask returns a task, after its end if the request asks to wait.
func (s *Server) GetTask(ctx context.Context, q *controlpb.GetTaskRequest) (*controlpb.GetTaskResponse, error) {
	var waiter chan *controlpb.Task
	t, err := lookup(ctx, s, func(r *replica) (*controlpb.Task, error) {
		t, found := r.machine.Task(q.GetId())
		if found && q.GetWaitMs() > 0 && !state.Ended(t) {
			waiter = make(chan *controlpb.Task, 1)
			r.ended[q.GetId()] = append(r.ended[q.GetId()], waiter)
		}
		return t, nil
	})
	if err != nil {
		return nil, err
	}
	if waiter != nil {
		t = s.waitForEnd(ctx, q, t, waiter)
	}
	return &controlpb.GetTaskResponse{Task: t, Found: t != nil}, nil
}

// waitForEnd returns the task as of its end, or as it was when the wait is over.
func (s *Server) waitForEnd(
	ctx context.Context, q *controlpb.GetTaskRequest, t *controlpb.Task, waiter chan *controlpb.Task,
) *controlpb.Task {
	timer := time.NewTimer(waitOf(q.GetWaitMs()))
	defer timer.Stop()
	select {
	case end := <-waiter:
		if end != nil {
			return end
		}
		return t
	case <-timer.C:
	case <-ctx.Done():
	case <-s.stopping:
	}
	s.send(&local{func(r *replica) { r.forgetWaiter(q.GetId(), waiter) }})
	return t
}

func (r *replica) forgetWaiter(id string, waiter chan *controlpb.Task) {
	var kept []chan *controlpb.Task
	for _, w := range r.ended[id] {
		if w != waiter {
			kept = append(kept, w)
		}
	}
	if len(kept) == 0 {
		delete(r.ended, id)
		return
	}
	r.ended[id] = kept
}

func waitOf(ms int64) time.Duration {
	return min(time.Duration(ms)*time.Millisecond, maxWait)
}
