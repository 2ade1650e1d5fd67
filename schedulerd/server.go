// Package schedulerd runs the core of package scheduler as a server process: an HTTP
// API for workers, a Twirp service for gateways and the other scheduler of the domain,
// and a client of the control replicas. One actor owns the core; everything else
// sends it calls.
package schedulerd

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"

	"geraniumwall/control/client"
	"geraniumwall/daemon"
	"geraniumwall/membership"
	"geraniumwall/membership/gossip"
	"geraniumwall/policy"
	"geraniumwall/rpc/protocol"
	"geraniumwall/rpc/schedulerpb"
	"geraniumwall/scheduler"
	"geraniumwall/transport"
)

const (
	// settleTimeout bounds the wait at a planned stop until all starts are answered and
	// all task events are recorded.
	settleTimeout = 2 * time.Second
	// handoverTimeout bounds the wait at a planned stop for the other scheduler to
	// attach to the workers. No slots are granted after it.
	handoverTimeout            = 4 * time.Second
	drainTimeout               = 2 * time.Second
	shutdownPollInterval       = 50 * time.Millisecond
	maxRefusalsLoggedPerSecond = 5
)

// internalPort serves workers, gateways and the other scheduler.
var internalPort = transport.PortOptions{Purpose: "internal", Share: 0.25}

// Server is a scheduler process.
type Server struct {
	settings     *Settings
	log          zerolog.Logger
	coreActor    *coreActor
	core         *coreRef
	http         *daemon.Server
	control      *controlClient
	peer         *peerClient
	follower     *client.Follower
	workerClient *workerClient
	cancel       context.CancelFunc
	ctx          context.Context
}

// New returns a server that is bound to its address and serves once Run is called.
func New(settings *Settings, log zerolog.Logger, engine policy.Engine) (*Server, error) {
	m, err := newMetrics()
	if err != nil {
		return nil, err
	}
	keys, err := daemon.Keys(settings.TLS, log)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{settings: settings, log: log, ctx: ctx, cancel: cancel}
	mux := http.NewServeMux()
	handler := keys.Admit(accessRules, protocol.Handler(mux))
	in := transport.NewIntake(settings.Intake, settings.MemoryMB, log)
	if err := in.Observe(otel.Meter(meterName)); err != nil {
		cancel()
		return nil, err
	}
	s.http, err = daemon.ListenSecure(in.On(ctx, internalPort), settings.Listen, handler, keys, transport.ClientsRequired)
	if err != nil {
		cancel()
		return nil, err
	}
	s.assemble(mux, m, engine, keys)
	if err := registerGauges(s.core); err != nil {
		cancel()
		return nil, err
	}
	return s, nil
}

func (s *Server) assemble(mux *http.ServeMux, m *metrics, engine policy.Engine, keys *transport.Keys) {
	clk := clock{start: time.Now()}
	identity := s.settings.Name + "#" + uuid.NewString()[:8]
	core := scheduler.New(clk.now(), scheduler.Settings{
		Name: s.settings.Name, Identity: identity, Domain: s.settings.Domain,
	}, engine)
	s.workerClient = newWorkerClient(s.ctx, m, keys)
	s.coreActor = &coreActor{core: core, clock: clk, perform: s.perform, wake: make(chan struct{}, 1)}
	s.core = spawnCore(s.coreActor)
	s.workerClient.core = s.core
	httpClient := transport.NewClient(transport.ClientOptions{
		Keys: keys, Peers: []transport.Role{transport.RoleControl, transport.RoleScheduler},
	})
	replicas := client.New(s.settings.Control, httpClient)
	s.follower = client.NewFollower(replicas, client.Identity{
		Process: s.settings.Name, Kind: "scheduler", Domain: s.settings.Domain,
	}, s.configSources(httpClient)...)
	s.follower.OnChange(func(c *client.Snapshot) {
		s.core.send(func(now time.Duration, core *scheduler.Core) { core.SetConfig(now, c.Version, c.Config) })
	})
	s.peer = &peerClient{settings: s.settings, core: s.core, http: httpClient}
	s.control = &controlClient{
		ctx: s.ctx, settings: s.settings, address: s.http.Address(), client: replicas, follower: s.follower,
		core: s.core, log: s.log, metrics: m, peer: s.peer,
	}
	// A worker with wrong settings repeats its heartbeat, so the log line is sampled.
	refusals := s.log.Sample(&zerolog.BurstSampler{Burst: maxRefusalsLoggedPerSecond, Period: time.Second})
	(&workerHandler{core: s.core, metrics: m, log: refusals, deltas: newHeartbeatDecoder()}).register(mux)
	handler := schedulerpb.NewSchedulerServer(&service{
		settings: s.settings, core: s.core, follower: s.follower, metrics: m, deltas: newGrantCodec(identity),
	})
	mux.Handle(handler.PathPrefix(), handler)
}

// configSources returns the sources of the configuration besides the control replicas:
// the other scheduler of the domain, if any. Gateways send theirs with a grant sync.
func (s *Server) configSources(httpClient *http.Client) []client.Source {
	if s.settings.Peer == nil {
		return nil
	}
	return []client.Source{client.SchedulerSource(s.settings.Peer.Address, httpClient)}
}

// Address returns the bound address.
func (s *Server) Address() string { return s.http.Address() }

// perform carries out an action of the core. It runs on the core actor and must not
// block.
func (s *Server) perform(a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.SendAttach:
		s.workerClient.attach(a)
	case scheduler.SendStart:
		s.workerClient.start(a)
	case scheduler.SendStop:
		s.workerClient.stop(a)
	case scheduler.SendThrottle:
		s.workerClient.throttle(a)
	case scheduler.SendReports:
		s.control.report(a)
	case scheduler.SyncFromStart:
		s.log.Info().Uint64("epoch", a.Epoch).Msg("became the active scheduler")
		s.control.startSync(a.Epoch)
	case scheduler.StopSync:
		s.log.Info().Msg("no longer the active scheduler")
		s.control.stopSync()
	case scheduler.RecordAudit:
		s.control.audit(a)
	}
}

// Run serves until ctx is done and then hands over to the other scheduler.
func (s *Server) Run(ctx context.Context) error {
	defer s.cancel()
	renewalCtx, stopRenewals := context.WithCancel(s.ctx)
	defer stopRenewals()
	s.http.Serve()
	members, err := gossip.Join(ctx, s.settings.Membership, membership.Member{
		Name: s.settings.Name, Kind: membership.KindScheduler, Domain: s.settings.Domain, Address: s.Address(),
	}, s.log)
	if err != nil {
		return err
	}
	defer members.Stop()
	s.peer.members.Store(members)
	s.control.client.Discover(members.AddressesOf(membership.KindControl))
	go s.coreActor.runTicks(s.ctx, s.core)
	go s.follower.Run(s.ctx)
	go s.control.runRenewals(renewalCtx)
	go s.peer.runRenewals(renewalCtx)
	s.log.Info().Str("address", s.Address()).Str("domain", s.settings.Domain).Msg("scheduler started")
	select {
	case <-ctx.Done():
	case err := <-s.http.Failed():
		return fmt.Errorf("serve %s: %w", s.Address(), err)
	}
	// Without further renewals the leases expire as early as possible.
	stopRenewals()
	s.handOver()
	return nil
}

// handOver stops starting tasks, waits until all starts are answered and all task
// events are recorded, gives up the role, and keeps granting slots until the workers
// have attached to another scheduler.
func (s *Server) handOver() {
	s.core.send(func(_ time.Duration, core *scheduler.Core) { core.Shutdown() })
	s.waitUntil(settleTimeout, func(core *scheduler.Core) bool { return core.Settled() })
	s.core.send(func(now time.Duration, core *scheduler.Core) { core.Resign(now) })
	s.waitUntil(handoverTimeout, func(core *scheduler.Core) bool { return core.Detached() })
	report := s.http.Drain(daemon.DrainOptions{Within: drainTimeout})
	report.Record(s.log)
	s.cancel()
	s.core.stop()
}

// waitUntil polls the core until the condition holds or the timeout expires.
func (s *Server) waitUntil(timeout time.Duration, condition func(*scheduler.Core) bool) {
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	for ctx.Err() == nil {
		done := false
		err := s.core.call(ctx, func(_ time.Duration, core *scheduler.Core) { done = condition(core) })
		if err == nil && done {
			return
		}
		sleep(ctx, shutdownPollInterval)
	}
}
