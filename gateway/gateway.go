// Package gateway is the process library of an entry host. It accepts requests of
// callers over HTTP, routes them to workers on slot grants, and forwards tasks and
// non-idempotent requests' records to the control replicas.
package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"
	"golang.org/x/sync/semaphore"

	"geraniumwall/control/client"
	"geraniumwall/transport"
)

// Scheduler names one scheduler.
type Scheduler struct {
	Name    string
	Domain  string
	Address string
}

// Clock returns the time since the start of the process on a monotonic clock.
type Clock func() time.Duration

// NewClock returns a clock that starts now.
func NewClock() Clock {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// Options configures a gateway. Control, Schedulers, Clock, Log and Meter must be
// set.
type Options struct {
	Name   string
	Domain string
	// Incarnation differs between two starts of one gateway.
	Incarnation string
	Control     []string
	Schedulers  []Scheduler
	// Directory lists the schedulers that are members of the fleet now, those in
	// Schedulers included; nil if there is none.
	Directory func() []Scheduler
	// Replicas lists the addresses of the control replicas that are members now;
	// nil if there is no directory.
	Replicas func() []string
	Clock    Clock
	Log      zerolog.Logger
	Meter    metric.Meter
	// Seed seeds the random choices of routing.
	Seed uint64
	// Keys secure the connections to the other processes; nil for no encryption.
	Keys *transport.Keys
	// Operator serves /v1/operator/; nil leaves the path unserved.
	Operator http.Handler
}

// Gateway serves the requests of callers.
type Gateway struct {
	options   Options
	log       zerolog.Logger
	clock     Clock
	control   *client.Client
	follower  *client.Follower
	balancer  *balancer
	owner     *owner
	links     *linkSet
	workers   *workerTransport
	submitter *submitter
	metrics   *metrics
	settings  atomic.Pointer[serviceTable]
	buffers   *semaphore.Weighted
	holders   atomic.Uint64
	draining  atomic.Bool
	// drained is closed when the gateway begins to drain.
	drained chan struct{}
	// recording counts the records of outcomes that continue in the background.
	recording sync.WaitGroup
	stop      context.CancelFunc
	running   sync.WaitGroup
	stopOnce  sync.Once
}

// New returns a gateway that serves nothing until Start.
func New(o Options) (*Gateway, error) {
	m, err := newMetrics(o.Meter)
	if err != nil {
		return nil, err
	}
	g := &Gateway{options: o, log: o.Log, clock: o.Clock, metrics: m, drained: make(chan struct{})}
	internal := transport.NewClient(transport.ClientOptions{
		Keys: o.Keys, Peers: []transport.Role{transport.RoleControl, transport.RoleScheduler},
	})
	g.control = client.New(o.Control, internal)
	g.control.Discover(o.Replicas)
	g.follower = client.NewFollower(g.control, client.Identity{Process: o.Name, Kind: "gateway", Domain: o.Domain},
		g.domainSources(internal)...)
	g.balancer = newBalancer(o.Domain, rand.NewPCG(o.Seed, uint64(len(o.Name))), o.Clock, g.askOtherDomains)
	g.buffers = semaphore.NewWeighted(bufferedMost)
	g.workers = newWorkerTransport(o.Keys)
	g.submitter = newSubmitter(g.control, func() uint64 { return g.settings.Load().version })
	g.settings.Store(newServiceTable(nil, m))
	g.owner = newOwner(g)
	g.links = newLinkSet(g, internal)
	if err := m.observe(g); err != nil {
		return nil, fmt.Errorf("register metrics: %w", err)
	}
	return g, nil
}

// domainSources are the schedulers of the own domain, which a gateway can reach
// when its domain is cut off from the control replicas.
func (g *Gateway) domainSources(internal *http.Client) []client.Source {
	var sources []client.Source
	for _, s := range g.options.Schedulers {
		if s.Domain == g.options.Domain {
			sources = append(sources, client.SchedulerSource(s.Address, internal))
		}
	}
	return sources
}

// Start begins to follow the configuration and to sync grants, until Stop.
func (g *Gateway) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	g.stop = cancel
	g.follower.OnChange(g.owner.configChanged)
	g.spawn(func() { g.follower.Run(ctx) })
	g.spawn(func() { g.owner.runTicks(ctx) })
	g.submitter.start(g.spawn)
	g.links.start(ctx)
}

func (g *Gateway) spawn(f func()) {
	g.running.Go(f)
}

// Follower returns the follower of the configuration.
func (g *Gateway) Follower() *client.Follower { return g.follower }

// Control returns the client of the control replicas.
func (g *Gateway) Control() *client.Client { return g.control }

// Drain makes readyz report 503, so that the load balancer sends no more callers.
// Requests are still served, but no request waits any longer for the end of a task.
func (g *Gateway) Drain() {
	if g.draining.CompareAndSwap(false, true) {
		close(g.drained)
	}
}

// Stop returns the grants and ends all background work. Call it when no request is
// in progress; ctx bounds the wait for records of outcomes.
func (g *Gateway) Stop(ctx context.Context) {
	g.stopOnce.Do(func() { g.stopAll(ctx) })
}

func (g *Gateway) stopAll(ctx context.Context) {
	g.Drain()
	g.waitForRecords(ctx)
	g.submitter.stop()
	g.stop()
	g.running.Wait()
	g.returnGrants(ctx)
	g.owner.stop()
	g.workers.close()
}

// askOtherDomains wakes the links to schedulers that are not being asked.
func (g *Gateway) askOtherDomains() {
	for _, l := range g.links.all() {
		l.activate()
	}
}

func (g *Gateway) waitForRecords(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		g.recording.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		g.log.Warn().Msg("stopping while outcomes of requests are not recorded; they become unknown")
	}
}

// returnGrants tells every scheduler that no slot is in use any more.
func (g *Gateway) returnGrants(ctx context.Context) {
	var all sync.WaitGroup
	for _, l := range g.links.all() {
		all.Go(func() { l.returnGrants(ctx) })
	}
	all.Wait()
}
