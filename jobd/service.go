package jobd

import (
	"context"
	"errors"
	"fmt"
	"time"

	"geraniumwall/jobs"
	"geraniumwall/jobs/dispatch"
)

const (
	// resultTimeout limits the wait for the result of a request, including the commit of
	// its log entry.
	resultTimeout = 2500 * time.Millisecond
	// defaultBodyLimit, in bytes, applies if the configuration sets no limit.
	defaultBodyLimit = 1 << 20
	// maxTasksPerJob limits the tasks of one job, over all occurrences.
	maxTasksPerJob = 50_000
	// retryAfterElection is the usual duration of an election.
	retryAfterElection = time.Second
)

var errNotLeader = &Error{
	Kind: KindNotRun, RetryAfter: retryAfterElection,
	Text: "this replica does not lead and nothing was done; send the request to the leader",
}

var errNoConfig = &Error{
	Kind: KindNotRun, RetryAfter: retryAfterElection,
	Text: "there is no configuration yet and nothing was done; try again after it has been sent",
}

var errNoQueue = &Error{Kind: KindNoQueue, Text: "no queue has this host and path; compare with the configuration"}

var errNoJob = &Error{Kind: KindNoJob, Text: "the queue has no such job; check the id"}

var errUnresolved = &Error{
	Kind: KindUnresolved, Text: "the leader could not confirm the request, which may have been carried out; send it again",
}

// callManager runs f on the control thread and returns what f passes to done. f must
// call done once, possibly after it has returned.
func callManager[T any](ctx context.Context, s *Server, f func(m *manager, done func(T, error))) (T, error) {
	return callManagerBy(ctx, s, s.post, f)
}

// callManagerBy is callManager with the function that posts to the control thread.
func callManagerBy[T any](ctx context.Context, s *Server, post func(func()), f func(m *manager, done func(T, error))) (T, error) {
	type result struct {
		value T
		err   error
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, resultTimeout)
	defer cancel()
	results := make(chan result, 1)
	post(func() {
		f(s.manager, func(value T, err error) {
			select {
			case results <- result{value, err}:
			default:
			}
		})
	})
	select {
	case r := <-results:
		return r.value, r.err
	case <-timeoutCtx.Done():
		var zero T
		return zero, errUnresolved
	}
}

// checkLeader returns errNotLeader unless this replica is the leader and holds the
// lease.
func (m *manager) checkLeader() error {
	if m.dispatcher == nil || !m.replica.Leads() {
		return errNotLeader
	}
	return nil
}

// matchQueue returns the queue that a request addresses.
func (m *manager) matchQueue(host, path string) (*jobs.Queue, error) {
	if err := m.checkLeader(); err != nil {
		return nil, err
	}
	if m.store.Config() == nil {
		return nil, errNoConfig
	}
	q := m.store.Config().Match(host, path)
	if q == nil {
		return nil, errNoQueue
	}
	return q, nil
}

// BodyLimit implements CallerService.
func (s *Server) BodyLimit(ctx context.Context) (int64, error) {
	return callManager(ctx, s, func(m *manager, done func(int64, error)) {
		limit := int64(defaultBodyLimit)
		if c := m.store.Config(); c != nil && c.MaxBodyBytes > 0 {
			limit = c.MaxBodyBytes
		}
		done(limit, m.checkLeader())
	})
}

// Submit implements CallerService.
func (s *Server) Submit(ctx context.Context, host, path, id string, spec jobs.Spec) error {
	_, err := callManager(ctx, s, func(m *manager, done func(struct{}, error)) {
		finish := func(err error) { done(struct{}{}, err) }
		q, err := m.matchQueue(host, path)
		if err != nil {
			finish(err)
			return
		}
		if j := m.store.Job(id); j != nil && !j.Unsubmitted {
			m.log.Info().Str("job", id).Msg("job was already submitted")
			finish(nil)
			return
		}
		if err := validateSpec(&spec); err != nil {
			finish(err)
			return
		}
		if err := m.refuse(id, q, &spec); err != nil {
			finish(err)
			return
		}
		command := jobs.Submit{ID: id, Queue: q.Name, Spec: spec, At: time.Now().UnixMilli()}
		m.unsettled.add(id)
		m.propose(jobs.Command{Submit: &command}, func(r jobs.Result, ok bool) {
			m.unsettled.settle(id, ok)
			if !ok {
				finish(errUnresolved)
				return
			}
			m.log.Info().Str("job", id).Str("queue", command.Queue).Int64("config_version", m.store.Config().Version).
				Uint64("term", m.term).Bool("new", r.Applied).Msg("job accepted")
			finish(nil)
		})
	})
	return err
}

func invalidError(format string, args ...any) error {
	return &Error{Kind: KindInvalid, Text: fmt.Sprintf(format, args...)}
}

// validateSpec rejects specs that can never run.
func validateSpec(spec *jobs.Spec) error {
	if len(spec.Steps) == 0 {
		return invalidError("the job has no steps; give it at least one")
	}
	if spec.Occurrences < 0 || spec.Period < 0 || spec.FirstStart < 0 {
		return invalidError("the schedule has a negative number; use numbers from 0")
	}
	tasks := 0
	for i := range spec.Steps {
		if err := validateStep(&spec.Steps[i], i); err != nil {
			return err
		}
		tasks += spec.Steps[i].Count
	}
	if tasks > maxTasksPerJob/spec.OccurrenceCount() {
		return invalidError("the job has more than %d tasks; split it", maxTasksPerJob)
	}
	return nil
}

func validateStep(step *jobs.Step, number int) error {
	if step.Count <= 0 || step.Count > maxTasksPerJob {
		return invalidError("step %d has %d tasks; use 1 to %d", number, step.Count, maxTasksPerJob)
	}
	if step.Request.MilliCPU < 0 || step.Request.MemoryMB < 0 || step.Request.GPUs < 0 || step.EstimateMS < 0 ||
		step.MaxPerWorker < 0 || step.LatencyTargetMS < 0 {
		return invalidError("step %d has a negative number; use numbers from 0", number)
	}
	for _, dependency := range step.DependsOn {
		if dependency < 0 || dependency >= number {
			return invalidError("step %d depends on step %d; name earlier steps only", number, dependency)
		}
	}
	return nil
}

// JobState implements CallerService.
func (s *Server) JobState(ctx context.Context, host, path, id string) (jobs.State, error) {
	return callManager(ctx, s, func(m *manager, done func(jobs.State, error)) {
		if _, err := m.matchQueue(host, path); err != nil && !errors.Is(err, errNoQueue) {
			done("", err)
			return
		}
		j := m.store.Job(id)
		if j == nil || j.Unsubmitted {
			done("", errNoJob)
			return
		}
		done(j.State, nil)
	})
}

// Cancel implements CallerService.
func (s *Server) Cancel(ctx context.Context, host, path, id string) error {
	_, err := callManager(ctx, s, func(m *manager, done func(struct{}, error)) {
		finish := func(err error) { done(struct{}{}, err) }
		if _, err := m.matchQueue(host, path); err != nil && !errors.Is(err, errNoQueue) {
			finish(err)
			return
		}
		m.propose(jobs.Command{Cancel: &jobs.Cancel{ID: id, At: time.Now().UnixMilli()}}, func(r jobs.Result, ok bool) {
			if !ok {
				finish(errUnresolved)
				return
			}
			m.log.Info().Str("job", id).Bool("known", r.Known).Msg("job cancelled")
			if !r.Known {
				finish(errNoJob)
				return
			}
			finish(nil)
		})
	})
	return err
}

// Pending implements CallerService.
func (s *Server) Pending(ctx context.Context, host, path string) (int, error) {
	return callManager(ctx, s, func(m *manager, done func(int, error)) {
		q, err := m.matchQueue(host, path)
		if err != nil {
			done(0, err)
			return
		}
		done(m.store.Pending(q.Name), nil)
	})
}

// unresolvedUnless returns errUnresolved unless a command was committed.
func unresolvedUnless(ok bool) error {
	if ok {
		return nil
	}
	return errUnresolved
}

// Heartbeat implements WorkerService. A worker that drains gets its answer once the log
// records it.
func (s *Server) Heartbeat(ctx context.Context, h dispatch.Heartbeat) (string, error) {
	return callManager(ctx, s, func(m *manager, done func(string, error)) {
		if err := m.checkLeader(); err != nil {
			done("", err)
			return
		}
		m.dispatcher.Advance(m.now(), time.Now().UnixMilli())
		m.dispatcher.HandleHeartbeat(h)
		m.dispatcher.OnDrainRecorded(h.Worker, func(ok bool) { done(m.settings.Listen, unresolvedUnless(ok)) })
		m.handleEvent()
	})
}

// Deregister implements WorkerService.
func (s *Server) Deregister(ctx context.Context, id string) error {
	_, err := callManager(ctx, s, func(m *manager, done func(struct{}, error)) {
		if err := m.checkLeader(); err != nil {
			done(struct{}{}, err)
			return
		}
		m.dispatcher.Advance(m.now(), time.Now().UnixMilli())
		m.dispatcher.Deregister(id, func(ok bool) { done(struct{}{}, unresolvedUnless(ok)) })
		m.handleEvent()
	})
	return err
}

// MalformedHeartbeat implements WorkerService.
func (s *Server) MalformedHeartbeat(id string, err error) {
	s.log.Warn().Str("worker", id).Err(err).Msg("malformed heartbeat ignored")
}

// Configure implements OperatorService.
func (s *Server) Configure(ctx context.Context, c jobs.Config) error {
	_, err := callManager(ctx, s, func(m *manager, done func(struct{}, error)) {
		finish := func(err error) { done(struct{}{}, err) }
		if err := m.checkLeader(); err != nil {
			finish(err)
			return
		}
		m.propose(jobs.Command{Configure: &jobs.Configure{Config: c}}, func(r jobs.Result, ok bool) {
			if !ok {
				finish(errUnresolved)
				return
			}
			m.log.Info().Int64("version", c.Version).Bool("in_force", r.Applied).Msg("configuration acknowledged")
			finish(nil)
		})
	})
	return err
}

// Configuration implements OperatorService. The read is linearizable: a majority of the
// replicas confirms that it returns the latest state.
func (s *Server) Configuration(ctx context.Context) ([]byte, error) {
	return callManager(ctx, s, func(m *manager, done func([]byte, error)) {
		if err := m.checkLeader(); err != nil {
			done(nil, err)
			return
		}
		m.replica.Read(func(err error) {
			switch {
			case err != nil:
				done(nil, errNotLeader)
			case m.store.Config() == nil:
				done(nil, errNoConfig)
			default:
				done(m.store.Config().Document, nil)
			}
		})
	})
}
