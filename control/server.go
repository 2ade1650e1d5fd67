// Package control is the process library of a control replica. One actor owns the
// replicated log's node and the state machine; disk writes and sends run outside
// of it, and request handlers talk to it by messages.
package control

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"google.golang.org/protobuf/proto"

	"geraniumwall/raft"
	"geraniumwall/replicate"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/rpc/protocol"
	"geraniumwall/state"
	"geraniumwall/transport"
)

const (
	// tickEvery is half a heartbeat interval of the log.
	tickEvery = raft.DefaultHeartbeatInterval / 2
	// answerWithin bounds the wait of a request for the log.
	answerWithin = 5 * time.Second
	// transferWithin bounds the handover of leadership on a planned stop.
	transferWithin = 2 * time.Second
	transferPoll   = 10 * time.Millisecond
)

// Retention says how long records are kept after their end.
type Retention struct {
	Tasks    time.Duration
	Requests time.Duration
	// MaxTasks bounds the ended tasks that are kept; the oldest go first.
	MaxTasks int
}

// DefaultRetention keeps a night's results for the morning. The bound on the count
// keeps memory and snapshots small when tasks end at the peak rate for long.
var DefaultRetention = Retention{Tasks: 24 * time.Hour, Requests: time.Hour, MaxTasks: 250_000}

// Options are what a replica is made of.
type Options struct {
	Settings Settings
	Storage  replicate.Storage
	Stored   raft.Stored
	Log      zerolog.Logger
	// Keys secure the connections to other replicas; nil for no encryption.
	Keys *transport.Keys
	// Transport sends to other replicas; nil stands for HTTP.
	Transport replicate.Transport
	// Fatal is called with a failure after which the process must end; nil stands
	// for a panic that ends it.
	Fatal     func(error)
	Retention Retention
	// Now is a monotonic clock; nil stands for the time since New.
	Now func() time.Duration
	// Seed varies the election timeouts and must differ between replicas.
	Seed  uint64
	Meter metric.Meter
	// SnapshotEntries is the number of entries after which a snapshot is taken;
	// 0 stands for DefaultSnapshotEntries.
	SnapshotEntries int
}

func (o *Options) setDefaults() {
	if o.Fatal == nil {
		// The actor library recovers a panic of the actor's own goroutine.
		o.Fatal = func(err error) { go func() { panic(err) }() }
	}
	if o.Retention == (Retention{}) {
		o.Retention = DefaultRetention
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = DefaultSnapshotEntries
	}
	if o.Now == nil {
		start := time.Now()
		o.Now = func() time.Duration { return time.Since(start) }
	}
	if o.Meter == nil {
		o.Meter = noop.NewMeterProvider().Meter("control")
	}
}

// Server is a running control replica. It implements the twirp services Control
// and Replica.
type Server struct {
	options   Options
	system    *actor.ActorSystem
	pid       *actor.PID
	disk      *replicate.DiskQueue
	view      atomic.Pointer[view]
	config    *configCell
	processes *processTable
	metrics   *metrics
	stopping  chan struct{}
	stopOnce  sync.Once
	ticker    sync.WaitGroup
	dead      atomic.Bool
}

var (
	_ controlpb.Control = (*Server)(nil)
	_ controlpb.Replica = (*Server)(nil)
)

// New restores the stored state and starts the replica.
func New(options Options) (*Server, error) {
	options.setDefaults()
	s := &Server{
		options: options, config: newConfigCell(), processes: newProcessTable(), stopping: make(chan struct{}),
	}
	m, err := newMetrics(options.Meter, s)
	if err != nil {
		return nil, err
	}
	s.metrics = m
	if s.options.Transport == nil {
		s.options.Transport = replicate.NewHTTPTransport(options.Settings.ReplicaID, "", newHTTPClient(m, options.Keys), s.reports,
			func() { s.send(&removal{}) })
	}
	r, err := s.newReplica()
	if err != nil {
		return nil, err
	}
	s.view.Store(&view{})
	s.start(r)
	if err := observeState(options.Meter, s); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Server) newReplica() (*replica, error) {
	o := s.options
	seed := o.Settings.ReplicaID
	node, err := raft.New(raft.Config{ID: seed, Random: rand.New(rand.NewPCG(o.Seed, seed))}, o.Stored)
	if err != nil {
		return nil, fmt.Errorf("start the log: %w", err)
	}
	machine := state.New()
	if o.Stored.Snapshot.Index > 0 {
		if machine, err = state.Restore(o.Stored.Snapshot.Data); err != nil {
			return nil, fmt.Errorf("restore the state: %w", err)
		}
	}
	return &replica{
		options: o, log: o.Log, node: node, machine: machine, now: o.Now,
		self: s.send, net: o.Transport, view: &s.view, config: s.config, metrics: s.metrics,
		proposals: map[uint64][]proposal{}, reads: map[uint64]func(*replica, error){},
		ended: map[string][]chan *controlpb.Task{}, feeds: map[string][]feedWaiter{},
	}, nil
}

// start spawns the actor, the disk writer and the ticker.
func (s *Server) start(r *replica) {
	quiet := func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }
	s.system = actor.NewActorSystem(actor.WithLoggerFactory(quiet))
	// The first messages of the disk writer follow those of the actor, which
	// exists by then.
	s.disk = replicate.NewDiskQueue(s.options.Storage, func(w *raft.Write) { s.send(&written{w}) }, s.fail)
	r.disk = s.disk
	r.options.Fatal = s.fail
	s.pid = s.system.Root.Spawn(actor.PropsFromFunc(func(c actor.Context) { s.receive(r, c.Message()) }))
	s.ticker.Add(1)
	go s.tick()
}

// receive guards the actor: after a violated invariant it does nothing more.
func (s *Server) receive(r *replica, message any) {
	defer func() {
		if p := recover(); p != nil {
			s.fail(fmt.Errorf("%v\n%s", p, debug.Stack()))
		}
	}()
	if !s.dead.Load() {
		r.receive(message)
	}
}

// fail ends the replica.
func (s *Server) fail(err error) {
	if s.dead.CompareAndSwap(false, true) {
		s.options.Fatal(err)
	}
}

func (s *Server) send(message any) { s.system.Root.Send(s.pid, message) }

func (s *Server) tick() {
	defer s.ticker.Done()
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-s.stopping:
			return
		case <-t.C:
			s.send(&tick{})
		}
	}
}

func (s *Server) reports() []*controlpb.ProcessStatus { return s.processes.list(s.options.Now()) }

// Handler serves both twirp services.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(controlpb.ControlPathPrefix, controlpb.NewControlServer(s))
	mux.Handle(controlpb.ReplicaPathPrefix, controlpb.NewReplicaServer(s))
	return protocol.Handler(mux)
}

// Transfer hands leadership over, if this replica has it, and returns when
// another replica leads, or after a bounded time.
func (s *Server) Transfer(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, transferWithin)
	defer cancel()
	if s.view.Load().status.Role != raft.RoleLeader {
		return
	}
	t := time.NewTicker(transferPoll)
	defer t.Stop()
	for bounded.Err() == nil {
		v := s.view.Load()
		if v.status.Role != raft.RoleLeader && v.status.Leader != 0 {
			return
		}
		// A transfer to a replica that has just gone is given up after an election timeout.
		s.send(&transfer{})
		select {
		case <-bounded.Done():
		case <-t.C:
		}
	}
}

// EndPolls answers the long polls, so that the HTTP server can stop.
func (s *Server) EndPolls() { s.stopOnce.Do(func() { close(s.stopping) }) }

// Stop ends the replica after EndPolls and the end of its HTTP server. It does
// not close the storage.
func (s *Server) Stop() {
	s.EndPolls()
	s.ticker.Wait()
	_ = s.system.Root.StopFuture(s.pid).Wait()
	s.dead.Store(true)
	s.disk.Close()
	s.options.Transport.Close()
	s.system.Shutdown()
}

// result is the fate of a proposal.
type result struct {
	answer proto.Message
	err    error
}

// await waits for the fate of a proposal. If the wait ends first its outcome is
// unknown, unless the actor was never asked.
func (s *Server) await(ctx context.Context, request func(done func(proto.Message, error))) (proto.Message, error) {
	begin := time.Now()
	reply := make(chan result, 1)
	request(func(answer proto.Message, err error) { reply <- result{answer, err} })
	bounded, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	select {
	case got := <-reply:
		s.metrics.proposal(time.Since(begin), got.err)
		return got.answer, publicError(got.err, s.view.Load().leaderAddress)
	case <-bounded.Done():
		s.metrics.proposal(time.Since(begin), errUnresolved)
		return nil, publicError(errUnresolved, "")
	}
}

// lookup runs a linearizable read in the actor.
func lookup[T any](ctx context.Context, s *Server, f func(*replica) (T, error)) (T, error) {
	return ask(ctx, s, func(run func(*replica, error)) any { return &read{run} }, f)
}

// peek runs a read of the applied state in the actor.
func peek[T any](ctx context.Context, s *Server, f func(*replica) (T, error)) (T, error) {
	return ask(ctx, s, func(run func(*replica, error)) any {
		return &local{func(r *replica) { run(r, nil) }}
	}, f)
}

func ask[T any](
	ctx context.Context, s *Server, message func(run func(*replica, error)) any, f func(*replica) (T, error),
) (T, error) {
	type found struct {
		value T
		err   error
	}
	reply := make(chan found, 1)
	s.send(message(func(r *replica, err error) {
		var got found
		if got.err = err; err == nil {
			got.value, got.err = f(r)
		}
		reply <- got
	}))
	bounded, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	select {
	case got := <-reply:
		return got.value, publicError(got.err, s.view.Load().leaderAddress)
	case <-bounded.Done():
		var none T
		return none, failureOfRead()
	}
}
