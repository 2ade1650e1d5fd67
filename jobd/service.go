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
	// answerWithin bounds the wait for the log.
	answerWithin = 2500 * time.Millisecond
	// defaultBodyLimit holds while the configuration sets none, in bytes.
	defaultBodyLimit = 1 << 20
	// maxTasks bounds the tasks of one job.
	maxTasks = 50_000
	// retryAfter is the time of a usual change of the leader.
	retryAfter = time.Second
)

var errNotLeader = &Error{
	Kind: KindNotRun, RetryAfter: retryAfter,
	Text: "this replica does not lead and nothing was done; send the request to the leader",
}

var errNoConfig = &Error{
	Kind: KindNotRun, RetryAfter: retryAfter,
	Text: "there is no configuration yet and nothing was done; try again after it has been sent",
}

var errNoQueue = &Error{Kind: KindNoQueue, Text: "no queue has this host and path; compare with the configuration"}

var errNoJob = &Error{Kind: KindNoJob, Text: "the queue has no such job; check the id"}

var errUnresolved = &Error{
	Kind: KindUnresolved, Text: "the leader could not confirm the request, which may have been carried out; send it again",
}

// call runs f on the control thread. f answers by calling done once.
func call[T any](ctx context.Context, s *Server, f func(m *manager, done func(T, error))) (T, error) {
	type answer struct {
		value T
		err   error
	}
	bounded, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	answers := make(chan answer, 1)
	s.post(func() {
		f(s.manager, func(value T, err error) {
			select {
			case answers <- answer{value, err}:
			default:
			}
		})
	})
	select {
	case a := <-answers:
		return a.value, a.err
	case <-bounded.Done():
		var zero T
		return zero, errUnresolved
	}
}

// leads checks that this replica may answer for the whole system.
func (m *manager) leads() error {
	if m.dispatcher == nil || !m.replica.Leads() {
		return errNotLeader
	}
	return nil
}

// queue returns the queue of a request.
func (m *manager) queue(host, path string) (*jobs.Queue, error) {
	if err := m.leads(); err != nil {
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
	return call(ctx, s, func(m *manager, done func(int64, error)) {
		limit := int64(defaultBodyLimit)
		if c := m.store.Config(); c != nil && c.MaxBodyBytes > 0 {
			limit = c.MaxBodyBytes
		}
		done(limit, m.leads())
	})
}

// Submit implements CallerService.
func (s *Server) Submit(ctx context.Context, host, path, id string, spec jobs.Spec) error {
	_, err := call(ctx, s, func(m *manager, done func(struct{}, error)) {
		done0 := func(err error) { done(struct{}{}, err) }
		q, err := m.queue(host, path)
		if err != nil {
			done0(err)
			return
		}
		if j := m.store.Job(id); j != nil && !j.Unsubmitted {
			m.log.Info().Str("job", id).Msg("job was submitted before")
			done0(nil)
			return
		}
		if err := checkSpec(&spec); err != nil {
			done0(err)
			return
		}
		command := jobs.Submit{ID: id, Queue: q.Name, Spec: spec, At: time.Now().UnixMilli()}
		m.propose(jobs.Command{Submit: &command}, func(r jobs.Result, ok bool) {
			if !ok {
				done0(errUnresolved)
				return
			}
			m.log.Info().Str("job", id).Str("queue", command.Queue).Int64("config_version", m.store.Config().Version).
				Uint64("term", m.term).Bool("new", r.Applied).Msg("job accepted")
			done0(nil)
		})
	})
	return err
}

func invalid(format string, args ...any) error {
	return &Error{Kind: KindInvalid, Text: fmt.Sprintf(format, args...)}
}

// checkSpec refuses what can never run.
func checkSpec(spec *jobs.Spec) error {
	if len(spec.Steps) == 0 {
		return invalid("the job has no steps; give it at least one")
	}
	if spec.Occurrences < 0 || spec.Period < 0 || spec.FirstStart < 0 {
		return invalid("the schedule has a negative number; use numbers from 0")
	}
	tasks := 0
	for i := range spec.Steps {
		if err := checkStep(&spec.Steps[i], i); err != nil {
			return err
		}
		tasks += spec.Steps[i].Count
	}
	if tasks > maxTasks/spec.Runs() {
		return invalid("the job has more than %d tasks; split it", maxTasks)
	}
	return nil
}

func checkStep(step *jobs.Step, number int) error {
	if step.Count <= 0 || step.Count > maxTasks {
		return invalid("step %d has %d tasks; use 1 to %d", number, step.Count, maxTasks)
	}
	if step.Request.MilliCPU < 0 || step.Request.MemoryMB < 0 || step.Request.GPUs < 0 || step.Estimate < 0 ||
		step.MaxPerWorker < 0 || step.TailTarget < 0 {
		return invalid("step %d has a negative number; use numbers from 0", number)
	}
	for _, earlier := range step.DependsOn {
		if earlier < 0 || earlier >= number {
			return invalid("step %d depends on step %d; name earlier steps only", number, earlier)
		}
	}
	return nil
}

// JobState implements CallerService.
func (s *Server) JobState(ctx context.Context, host, path, id string) (jobs.State, error) {
	return call(ctx, s, func(m *manager, done func(jobs.State, error)) {
		if _, err := m.queue(host, path); err != nil && !errors.Is(err, errNoQueue) {
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
	_, err := call(ctx, s, func(m *manager, done func(struct{}, error)) {
		done0 := func(err error) { done(struct{}{}, err) }
		if _, err := m.queue(host, path); err != nil && !errors.Is(err, errNoQueue) {
			done0(err)
			return
		}
		m.propose(jobs.Command{Cancel: &jobs.Cancel{ID: id, At: time.Now().UnixMilli()}}, func(r jobs.Result, ok bool) {
			if !ok {
				done0(errUnresolved)
				return
			}
			m.log.Info().Str("job", id).Bool("known", r.Known).Msg("job cancelled")
			if !r.Known {
				done0(errNoJob)
				return
			}
			done0(nil)
		})
	})
	return err
}

// Pending implements CallerService.
func (s *Server) Pending(ctx context.Context, host, path string) (int, error) {
	return call(ctx, s, func(m *manager, done func(int, error)) {
		q, err := m.queue(host, path)
		if err != nil {
			done(0, err)
			return
		}
		done(m.store.Pending(q.Name), nil)
	})
}

// Heartbeat implements WorkerService.
func (s *Server) Heartbeat(ctx context.Context, h dispatch.Heartbeat) (string, error) {
	return call(ctx, s, func(m *manager, done func(string, error)) {
		if err := m.leads(); err != nil {
			done("", err)
			return
		}
		m.dispatcher.Advance(m.now(), time.Now().UnixMilli())
		m.dispatcher.Heartbeat(h)
		done(m.settings.Listen, nil)
		m.react()
	})
}

// Deregister implements WorkerService.
func (s *Server) Deregister(ctx context.Context, id string) error {
	_, err := call(ctx, s, func(m *manager, done func(struct{}, error)) {
		if err := m.leads(); err != nil {
			done(struct{}{}, err)
			return
		}
		m.dispatcher.Advance(m.now(), time.Now().UnixMilli())
		m.dispatcher.Leave(id)
		done(struct{}{}, nil)
		m.react()
	})
	return err
}

// MalformedHeartbeat implements WorkerService.
func (s *Server) MalformedHeartbeat(id string, err error) {
	s.log.Warn().Str("worker", id).Err(err).Msg("heartbeat cannot be read and is ignored")
}

// Configure implements OperatorService.
func (s *Server) Configure(ctx context.Context, c jobs.Config) error {
	_, err := call(ctx, s, func(m *manager, done func(struct{}, error)) {
		done0 := func(err error) { done(struct{}{}, err) }
		if err := m.leads(); err != nil {
			done0(err)
			return
		}
		m.propose(jobs.Command{Configure: &jobs.Configure{Config: c}}, func(r jobs.Result, ok bool) {
			if !ok {
				done0(errUnresolved)
				return
			}
			m.log.Info().Int64("version", c.Version).Bool("in_force", r.Applied).Msg("configuration acknowledged")
			done0(nil)
		})
	})
	return err
}

// Configuration implements OperatorService. It answers only what a majority of
// the replicas confirms to be the newest.
func (s *Server) Configuration(ctx context.Context) ([]byte, error) {
	return call(ctx, s, func(m *manager, done func([]byte, error)) {
		if err := m.leads(); err != nil {
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
