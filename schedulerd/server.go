// Package schedulerd runs the core of package scheduler as a process: HTTP for
// workers, twirp for gateways and the other scheduler, and the calls to the
// control replicas. One actor owns the core; everything else sends it steps.
package schedulerd

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

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
	// settleTime bounds the wait for answers and reports at a planned stop.
	settleTime = 2 * time.Second
	// handOverTime bounds the wait for the other scheduler to attach to the workers;
	// grants are over after it.
	handOverTime  = 4 * time.Second
	shutdownTime  = 2 * time.Second
	shutdownCheck = 50 * time.Millisecond
	// refusalsLogged bounds the refused heartbeats in the log for each second.
	refusalsLogged = 5
)

// Server is a scheduler process.
type Server struct {
	settings  *Settings
	log       zerolog.Logger
	owner     *owner
	loop      *loop
	http      *daemon.Server
	control   *controlLink
	peer      *peerLink
	follower  *client.Follower
	commander *commander
	cancel    context.CancelFunc
	ctx       context.Context
}

// New binds the address of the settings. Run starts to serve.
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
	handler := keys.Admit(admitted, protocol.Handler(mux))
	s.http, err = daemon.ListenSecure(ctx, settings.Listen, handler, keys, transport.ClientsRequired)
	if err != nil {
		cancel()
		return nil, err
	}
	s.assemble(mux, m, engine, keys)
	if err := observe(s.loop); err != nil {
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
	s.commander = newCommander(s.ctx, m, keys)
	s.owner = &owner{core: core, clock: clk, perform: s.perform, roused: make(chan struct{}, 1)}
	s.loop = newLoop(s.owner)
	s.commander.loop = s.loop
	httpClient := transport.NewClient(transport.ClientOptions{
		Keys: keys, Peers: []transport.Role{transport.RoleControl, transport.RoleScheduler},
	})
	replicas := client.New(s.settings.Control, httpClient)
	s.follower = client.NewFollower(replicas, client.Identity{
		Process: s.settings.Name, Kind: "scheduler", Domain: s.settings.Domain,
	}, s.domainSources(httpClient)...)
	s.follower.OnChange(func(c *client.Snapshot) {
		s.loop.send(func(now time.Duration, core *scheduler.Core) { core.SetConfig(now, c.Version, c.Config) })
	})
	s.peer = &peerLink{settings: s.settings, loop: s.loop, http: httpClient}
	s.control = &controlLink{
		ctx: s.ctx, settings: s.settings, address: s.http.Address(), client: replicas, follower: s.follower,
		loop: s.loop, log: s.log, metrics: m, peer: s.peer,
	}
	// A worker with wrong settings repeats its heartbeat; a few lines a second do.
	refusals := s.log.Sample(&zerolog.BurstSampler{Burst: refusalsLogged, Period: time.Second})
	(&workerHandler{loop: s.loop, metrics: m, log: refusals, receivers: newReceivers()}).register(mux)
	handler := schedulerpb.NewSchedulerServer(&service{
		settings: s.settings, loop: s.loop, follower: s.follower, metrics: m, answers: newAnswers(identity),
	})
	mux.Handle(handler.PathPrefix(), handler)
}

// domainSources is the other scheduler of the domain. Gateways offer theirs with a
// sync.
func (s *Server) domainSources(httpClient *http.Client) []client.Source {
	if s.settings.Peer == nil {
		return nil
	}
	return []client.Source{client.SchedulerSource(s.settings.Peer.Address, httpClient)}
}

// Address is the bound address.
func (s *Server) Address() string { return s.http.Address() }

// perform carries out an action of the core. It must not wait.
func (s *Server) perform(a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.SendAttach:
		s.commander.attach(a)
	case scheduler.SendStart:
		s.commander.start(a)
	case scheduler.SendStop:
		s.commander.stop(a)
	case scheduler.SendThrottle:
		s.commander.throttle(a)
	case scheduler.SendReports:
		s.control.report(a)
	case scheduler.SyncFromStart:
		s.log.Info().Uint64("epoch", a.Epoch).Msg("active")
		s.control.startSync(a.Epoch)
	case scheduler.StopSync:
		s.log.Info().Msg("no longer active")
		s.control.stopSync()
	case scheduler.RecordAudit:
		s.control.audit(a)
	}
}

// Run serves until ctx is over and then hands over to the other scheduler.
func (s *Server) Run(ctx context.Context) error {
	defer s.cancel()
	renewals, endRenewals := context.WithCancel(s.ctx)
	defer endRenewals()
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
	go s.owner.tickEvery(s.ctx, s.loop)
	go s.follower.Run(s.ctx)
	go s.control.renewEvery(renewals)
	go s.peer.renewEvery(renewals)
	s.log.Info().Str("address", s.Address()).Str("domain", s.settings.Domain).Msg("scheduler started")
	select {
	case <-ctx.Done():
	case err := <-s.http.Failed():
		return fmt.Errorf("serve %s: %w", s.Address(), err)
	}
	// No further renewal: the leases run out as early as possible.
	endRenewals()
	return s.handOver()
}

// handOver stops starting, waits until nothing is under way, gives up the role
// and goes on granting slots until the workers have another scheduler.
func (s *Server) handOver() error {
	s.loop.send(func(_ time.Duration, core *scheduler.Core) { core.Shutdown() })
	s.await(settleTime, func(core *scheduler.Core) bool { return core.Settled() })
	s.loop.send(func(now time.Duration, core *scheduler.Core) { core.Resign(now) })
	s.await(handOverTime, func(core *scheduler.Core) bool { return core.Detached() })
	ctx, cancel := context.WithTimeout(s.ctx, shutdownTime)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down: %w", err)
	}
	s.cancel()
	s.loop.stop()
	return nil
}

func (s *Server) await(limit time.Duration, reached func(*scheduler.Core) bool) {
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	for ctx.Err() == nil {
		over := false
		err := s.loop.do(ctx, func(_ time.Duration, core *scheduler.Core) { over = reached(core) })
		if err == nil && over {
			return
		}
		wait(ctx, shutdownCheck)
	}
}
