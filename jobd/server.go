package jobd

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"runtime/debug"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"

	"geraniumwall/delivery"
	"geraniumwall/jobs"
	"geraniumwall/raft"
	"geraniumwall/replicate"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/rpc/deliverypb"
	"geraniumwall/transport"
)

const (
	meterName = "geraniumwall/jobd"
	// tickInterval is the interval of periodic work.
	tickInterval = 20 * time.Millisecond
	// peerTimeout limits a call between replicas.
	peerTimeout = time.Second
	// transferTimeout limits the transfer of leadership during a graceful shutdown.
	transferTimeout      = 1500 * time.Millisecond
	transferPollInterval = 20 * time.Millisecond
	// lastMembersTimeout limits how long a removed replica waits for the members that it knows.
	lastMembersTimeout = 200 * time.Millisecond
)

// Server is a running job replica. It implements CallerService, WorkerService and
// OperatorService.
type Server struct {
	settings *Settings
	peers    *transport.Pool
	log      zerolog.Logger
	system   *actor.ActorSystem
	pid      *actor.PID
	urgent   urgentQueue
	manager  *manager
	receiver *delivery.Receiver
	batcher  heartbeatBatcher
	ticking  sync.WaitGroup
	stopping chan struct{}
	fatal    func(error)
}

var (
	_ CallerService   = (*Server)(nil)
	_ WorkerService   = (*Server)(nil)
	_ OperatorService = (*Server)(nil)
)

// Options are the options of a Server.
type Options struct {
	Settings *Settings
	Identity Identity
	Storage  replicate.Storage
	Stored   raft.Stored
	Workers  WorkerClient
	// Peers is the pool of the connections to other replicas; nil for no limit.
	Peers *transport.Pool
	Log   zerolog.Logger
	// Fatal is called with an error after which the process must exit.
	Fatal func(error)
	// Removed is called when this replica was removed from the membership, with the addresses
	// of the last members that it knows by id, nil if it knows none.
	Removed func(members map[uint64]string)
}

// New restores the stored state and starts the replica.
func New(o Options) (*Server, error) {
	s := &Server{
		settings: o.Settings, peers: o.Peers, log: o.Log, stopping: make(chan struct{}), fatal: o.Fatal,
	}
	metrics, err := NewMetrics(otel.Meter(meterName))
	if err != nil {
		return nil, err
	}
	start := time.Now()
	m := &manager{
		settings: o.Settings, log: o.Log, store: jobs.NewStore(), workers: o.Workers, post: s.post, metrics: metrics,
		now: func() time.Duration { return time.Since(start) },
	}
	s.manager = m
	s.batcher = heartbeatBatcher{large: &m.largeFleet, log: o.Log, onBatch: metrics.recordHeartbeatBatch}
	m.client = transport.NewClient(transport.ClientOptions{Pool: o.Peers})
	s.receiver = delivery.NewReceiver(o.Workers, m.client, bootClock, o.Log)
	discardLogs := func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }
	s.system = actor.NewActorSystem(actor.WithLoggerFactory(discardLogs))
	s.pid = s.system.Root.Spawn(actor.PropsFromFunc(s.receive))
	client := transport.NewClient(transport.ClientOptions{Timeout: peerTimeout, Pool: o.Peers})
	m.replica, err = replicate.New(replicate.Options{
		ID: o.Identity.ReplicaID, Stored: o.Stored, Storage: o.Storage, Machine: m, Log: o.Log,
		Transport: replicate.NewHTTPTransport(o.Identity.ReplicaID, o.Settings.PeerListen, client, nil, func() { o.Removed(s.lastMembers()) }),
		Seed:      rand.Uint64(), //nolint:gosec // election timeouts need no secrecy
		Post:      s.postUrgent, Fatal: o.Fatal, Now: m.now, Boot: bootClock, Peers: o.Identity.Peers,
		OnChange: metrics.recordMembershipChange,
	})
	if err != nil {
		return nil, err
	}
	s.ticking.Add(1)
	go s.tick()
	return s, nil
}

// receive runs posted functions on the control thread, the urgent ones first.
func (s *Server) receive(c actor.Context) {
	f, ok := c.Message().(func())
	if !ok {
		return
	}
	for urgent := s.urgent.pop(); urgent != nil; urgent = s.urgent.pop() {
		s.run(urgent)
	}
	s.run(f)
}

// run runs a posted function. A panic, which means a violated invariant, is reported as
// fatal.
func (s *Server) run(f func()) {
	begin := time.Now()
	defer func() {
		s.manager.status.recordWork(time.Since(begin))
		if p := recover(); p != nil {
			s.fatal(fmt.Errorf("%v\n%s", p, debug.Stack()))
		}
	}()
	f()
}

// post runs f on the control thread.
func (s *Server) post(f func()) { s.system.Root.Send(s.pid, f) }

func (s *Server) tick() {
	defer s.ticking.Done()
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-s.stopping:
			return
		case at := <-t.C:
			s.post(func() {
				s.manager.status.recordTick(time.Since(at))
				s.manager.tick()
			})
		}
	}
}

// lastMembers returns the addresses of the members by id, nil if no membership is known.
func (s *Server) lastMembers() map[uint64]string {
	ctx, cancel := context.WithTimeout(context.Background(), lastMembersTimeout)
	defer cancel()
	members, err := callManagerBy(ctx, s, s.postUrgent, func(m *manager, done func(map[uint64]string, error)) {
		done(m.memberAddresses(), nil)
	})
	if err != nil || len(members) == 0 {
		return nil
	}
	return members
}

// Step implements controlpb.Replica: it receives Raft messages from other replicas.
func (s *Server) Step(_ context.Context, q *controlpb.StepRequest) (*controlpb.StepResponse, error) {
	messages := make([]raft.Message, 0, len(q.GetMessages()))
	for _, data := range q.GetMessages() {
		m, err := raft.DecodeMessage(data)
		if err != nil {
			s.log.Warn().Err(err).Uint64("from", q.GetFrom()).Msg("malformed message from a replica dropped")
			continue
		}
		messages = append(messages, m)
	}
	removed, err := callManagerBy(context.Background(), s, s.postUrgent, func(m *manager, done func(bool, error)) {
		if m.replica.Status().Committed.Removed(q.GetFrom()) {
			done(true, nil)
			return
		}
		done(false, nil)
		m.replica.Step(messages)
		m.handleEvent()
	})
	if err != nil {
		return nil, err
	}
	return &controlpb.StepResponse{Removed: removed}, nil
}

// Report implements deliverypb.Leader: it receives the replies that carriers report.
func (s *Server) Report(_ context.Context, q *deliverypb.ReportRequest) (*deliverypb.ReportResponse, error) {
	replies := delivery.DecodeReplies(q.GetReplies())
	s.post(func() {
		if m := s.manager; m.sender != nil && m.term == q.GetTerm() {
			m.sender.HandleReplies(replies)
			m.handleEvent()
		}
	})
	return &deliverypb.ReportResponse{}, nil
}

// Leave announces that the replica stops and transfers leadership if it is the leader. It
// returns once another replica leads, or after transferTimeout.
func (s *Server) Leave(ctx context.Context) {
	transferCtx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	s.post(func() { s.manager.replica.Leave() })
	for transferCtx.Err() == nil {
		leads, err := callManager(transferCtx, s, func(m *manager, done func(bool, error)) {
			status := m.replica.Status()
			done(status.Role == raft.RoleLeader || status.Leader == 0, nil)
		})
		if err == nil && !leads {
			return
		}
		time.Sleep(transferPollInterval)
	}
}

// Stop stops the replica. It does not close the storage.
func (s *Server) Stop() {
	close(s.stopping)
	s.ticking.Wait()
	if err := s.system.Root.StopFuture(s.pid).Wait(); err != nil {
		s.log.Warn().Err(err).Msg("control thread did not stop in time")
	}
	s.manager.replica.Close()
	s.system.Shutdown()
}
