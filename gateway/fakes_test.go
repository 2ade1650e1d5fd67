package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"
	"go.opentelemetry.io/otel/metric/noop"

	"geraniumwall/config"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/rpc/schedulerpb"
	"geraniumwall/workerapi"
)

// fault is what a fake does with one call.
type fault int

const (
	faultNone fault = iota
	// faultRefuse answers not_run without effect.
	faultRefuse
	// faultLoseCall answers an internal error without effect.
	faultLoseCall
	// faultLoseAnswer takes effect and answers an internal error.
	faultLoseAnswer
	// faultNoLeader answers as a replica without a leader.
	faultNoLeader
)

// fakeControl is a linearizable control service in memory.
type fakeControl struct {
	controlpb.Control
	mu         sync.Mutex
	records    map[string]*fakeRecord
	tasks      map[string]*controlpb.Task
	config     *controlpb.ConfigVersion
	batches    []int
	beginFault func() fault
	endFault   func() fault
	submit     func() fault
}

type fakeRecord struct {
	holder  string
	hash    []byte
	outcome *controlpb.RequestOutcome
}

func (c *fakeControl) apply(f *func() fault, effect func()) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	kind := faultNone
	if *f != nil {
		kind = (*f)()
	}
	if kind == faultNone || kind == faultLoseAnswer {
		effect()
	}
	switch kind {
	case faultNone:
		return nil
	case faultRefuse:
		return twirp.NewError(twirp.FailedPrecondition, "refused").WithMeta("outcome", "not_run")
	case faultNoLeader:
		return twirp.NewError(twirp.Unavailable, "no leader").WithMeta("outcome", "not_run")
	default:
		return twirp.NewError(twirp.Unavailable, "lost")
	}
}

func (c *fakeControl) BeginRequest(_ context.Context, q *controlpb.BeginRequestRequest) (*controlpb.BeginRequestResponse, error) {
	answer := &controlpb.BeginRequestResponse{}
	err := c.apply(&c.beginFault, func() { c.begin(q, answer) })
	return answer, err
}

func (c *fakeControl) begin(q *controlpb.BeginRequestRequest, answer *controlpb.BeginRequestResponse) {
	key := q.Caller + "\x00" + q.IdempotencyKey
	r := c.records[key]
	switch {
	case r == nil || (r.outcome != nil && r.outcome.Outcome == "not_run" && r.holder != q.Holder):
		c.records[key] = &fakeRecord{holder: q.Holder, hash: q.BodyHash}
		answer.State = controlpb.RequestState_REQUEST_STATE_STARTED
	case r.hash != nil && !bytes.Equal(r.hash, q.BodyHash):
		answer.State = controlpb.RequestState_REQUEST_STATE_KEY_CONFLICT
	case r.outcome != nil:
		answer.State, answer.Outcome = controlpb.RequestState_REQUEST_STATE_ENDED, r.outcome
	case r.holder == q.Holder:
		answer.State = controlpb.RequestState_REQUEST_STATE_STARTED
	default:
		answer.State, answer.RetryAfterMs = controlpb.RequestState_REQUEST_STATE_IN_PROGRESS, 100
	}
}

func (c *fakeControl) EndRequest(_ context.Context, q *controlpb.EndRequestRequest) (*controlpb.EndRequestResponse, error) {
	err := c.apply(&c.endFault, func() {
		key := q.Caller + "\x00" + q.IdempotencyKey
		r := c.records[key]
		if r == nil && q.Outcome.Outcome == "not_run" {
			c.records[key] = &fakeRecord{holder: q.Holder, outcome: q.Outcome}
			return
		}
		if r != nil && r.holder == q.Holder && r.outcome == nil {
			r.outcome = q.Outcome
		}
	})
	return &controlpb.EndRequestResponse{}, err
}

// recorded returns the recorded outcome of a key, or "" while there is none.
func (c *fakeControl) recorded(caller, key string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.records[caller+"\x00"+key]
	if r == nil || r.outcome == nil {
		return ""
	}
	return r.outcome.Outcome
}

func (c *fakeControl) GetConfig(ctx context.Context, q *controlpb.GetConfigRequest) (*controlpb.GetConfigResponse, error) {
	if q.KnownVersion >= c.config.Version {
		<-ctx.Done()
	}
	return &controlpb.GetConfigResponse{Config: c.config}, nil
}

func (c *fakeControl) SubmitTasks(_ context.Context, q *controlpb.SubmitTasksRequest) (*controlpb.SubmitTasksResponse, error) {
	answer := &controlpb.SubmitTasksResponse{}
	err := c.apply(&c.submit, func() {
		c.batches = append(c.batches, len(q.Tasks))
		for _, spec := range q.Tasks {
			id := "task-" + spec.IdempotencyKey
			_, existed := c.tasks[id]
			if !existed {
				c.tasks[id] = &controlpb.Task{Id: id, Spec: spec, State: controlpb.TaskState_TASK_STATE_PENDING}
			}
			answer.Results = append(answer.Results, &controlpb.SubmitResult{Id: id, Existed: existed})
		}
	})
	return answer, err
}

func (c *fakeControl) GetTask(_ context.Context, q *controlpb.GetTaskRequest) (*controlpb.GetTaskResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	task, found := c.tasks[q.Id]
	return &controlpb.GetTaskResponse{Task: task, Found: found}, nil
}

// fakeScheduler answers every sync with the grants that are set.
type fakeScheduler struct {
	schedulerpb.Scheduler
	name     string
	mu       sync.Mutex
	grants   []*schedulerpb.Grant
	leaving  []string
	requests []*schedulerpb.SyncGrantsRequest
	onSync   func(*fakeScheduler)
}

func (s *fakeScheduler) SyncGrants(_ context.Context, q *schedulerpb.SyncGrantsRequest) (*schedulerpb.SyncGrantsResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, q)
	if s.onSync != nil {
		s.onSync(s)
	}
	return &schedulerpb.SyncGrantsResponse{Scheduler: s.name, Grants: s.grants, Leaving: s.leaving}, nil
}

func (s *fakeScheduler) GetConfig(context.Context, *schedulerpb.GetConfigRequest) (*schedulerpb.GetConfigResponse, error) {
	return &schedulerpb.GetConfigResponse{}, nil
}

func (s *fakeScheduler) set(leaving []string, grants ...*schedulerpb.Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grants, s.leaving = grants, leaving
}

// syncs returns the number of answered syncs.
func (s *fakeScheduler) syncs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

func (s *fakeScheduler) last() *schedulerpb.SyncGrantsRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[len(s.requests)-1]
}

// fakeUpstream is a worker that records every start.
type fakeUpstream struct {
	*httptest.Server
	name    string
	session atomic.Uint64
	started atomic.Int64
	current atomic.Int64
	peak    atomic.Int64
	serve   atomic.Pointer[http.HandlerFunc]
}

func newFakeUpstream(name string) *fakeUpstream {
	u := &fakeUpstream{name: name}
	u.session.Store(1)
	u.behave(echo)
	u.Server = httptest.NewUnstartedServer(u)
	u.Config.ErrorLog = discardLog
	u.Start()
	DeferCleanup(u.Close)
	return u
}

func (u *fakeUpstream) behave(f http.HandlerFunc) { u.serve.Store(&f) }

// ServeHTTP refuses older sessions and counts every start.
func (u *fakeUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	session, _ := strconv.ParseUint(r.Header.Get(workerapi.HeaderSession), 10, 64)
	if session < u.session.Load() {
		refuse(w, r)
		return
	}
	now := u.current.Add(1)
	defer u.current.Add(-1)
	for peak := u.peak.Load(); now > peak && !u.peak.CompareAndSwap(peak, now); peak = u.peak.Load() {
	}
	u.started.Add(1)
	(*u.serve.Load())(w, r)
}

func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(workerapi.HeaderOutcome, string(workerapi.OutcomeNotRun))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// echo answers with the id of the request and its body.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %s", r.Header.Get(workerapi.HeaderRequestID), body)
}

func (u *fakeUpstream) grant(slots int32, duration time.Duration) *schedulerpb.Grant {
	return &schedulerpb.Grant{
		Worker: u.name, Address: strings.TrimPrefix(u.URL, "http://"), Domain: "bern-a", Session: u.session.Load(),
		Slots: slots, Connections: 64, Services: []string{"quote", "hold"}, DurationMs: duration.Milliseconds(),
	}
}

// fakeClock is a real clock that a test can move forward, like a process that was
// frozen.
type fakeClock struct {
	start  time.Time
	jumped atomic.Int64
}

func (c *fakeClock) now() time.Duration { return time.Since(c.start) + time.Duration(c.jumped.Load()) }

// rig is a gateway with fakes around it.
type rig struct {
	*Gateway
	control   *fakeControl
	scheduler *fakeScheduler
	remote    *fakeScheduler
	clock     *fakeClock
	url       string
	server    *httptest.Server
}

var testConfig = config.Config{
	Deployment: "test", Domains: []string{"bern-a", "thun-b"},
	Teams: []config.Team{{Name: "crew", Weight: 1}},
	Services: []config.Service{
		{Name: "quote", Team: "crew", Idempotent: true, TargetP99MS: 100, DeadlineMS: 1500, MaxQueue: 8},
		{Name: "hold", Team: "crew", TargetP99MS: 100, DeadlineMS: 1500, MaxQueue: 8},
	},
	Jobs: []config.Job{{
		Name: "cut", Team: "crew", Priority: config.Batch, ExpectedMS: 1000, Size: config.Resources{CPUMillis: 100},
	}},
}

func newFakeControl() *fakeControl {
	content, err := config.Marshal(testConfig)
	Expect(err).NotTo(HaveOccurred())
	return &fakeControl{
		records: map[string]*fakeRecord{}, tasks: map[string]*controlpb.Task{},
		config: &controlpb.ConfigVersion{Version: 1, Content: content},
	}
}

func newRig(grants ...*schedulerpb.Grant) *rig {
	return newRigWith(newFakeControl(), "gw", grants...)
}

func newRigWith(control *fakeControl, name string, grants ...*schedulerpb.Grant) *rig {
	r := &rig{
		control: control, scheduler: &fakeScheduler{name: "s1", grants: grants}, remote: &fakeScheduler{name: "s2"},
		clock: &fakeClock{start: time.Now()},
	}
	g, err := New(Options{
		Name: name, Domain: "bern-a", Incarnation: "1", Clock: r.clock.now, Log: zerolog.Nop(),
		Meter: noop.NewMeterProvider().Meter(MeterName), Seed: 1,
		Control: []string{serveOn(controlpb.NewControlServer(control))},
		Schedulers: []Scheduler{
			{Name: "s1", Domain: "bern-a", Address: serveOn(schedulerpb.NewSchedulerServer(r.scheduler))},
			{Name: "s2", Domain: "thun-b", Address: serveOn(schedulerpb.NewSchedulerServer(r.remote))},
		},
	})
	Expect(err).NotTo(HaveOccurred())
	r.Gateway = g
	g.Start()
	r.server = httptest.NewUnstartedServer(g.Handler())
	r.server.Config.ErrorLog = discardLog
	r.server.Start()
	r.url = r.server.URL
	DeferCleanup(func() {
		r.server.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		g.Stop(ctx)
	})
	Eventually(func() bool { return g.settings.Load().version == 1 && r.usable() == len(grants) }).
		WithTimeout(5 * time.Second).WithPolling(time.Millisecond).Should(BeTrue())
	return r
}
