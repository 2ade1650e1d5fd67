package gateway

import (
	"context"
	"io"
	"log/slog"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"geraniumwall/config"
	"geraniumwall/control/client"
	"geraniumwall/routing"
)

// tickInterval bounds how long an expired grant stays listed as free. Sending on
// it is prevented at once by the check of every ticket.
const tickInterval = 100 * time.Millisecond

// Messages of the owner.
type (
	grantsReceived struct {
		set routing.GrantSet
		// applied is closed when the grants are in force.
		applied chan struct{}
	}
	configReceived struct{ snapshot *client.Snapshot }
	tick           struct{}
)

// owner is the actor that owns the control state of the gateway: the grants and
// the configuration. It publishes them to the balancer and the service table.
type owner struct {
	gateway *Gateway
	system  *actor.ActorSystem
	pid     *actor.PID
	book    *routing.Book
}

func newOwner(g *Gateway) *owner {
	o := &owner{gateway: g, book: routing.NewBook()}
	quiet := func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }
	o.system = actor.NewActorSystem(actor.WithLoggerFactory(quiet))
	o.pid = o.system.Root.Spawn(actor.PropsFromFunc(o.receive))
	return o
}

func (o *owner) receive(ctx actor.Context) {
	defer endOnPanic()
	switch m := ctx.Message().(type) {
	case grantsReceived:
		if o.book.Receive(m.set) {
			o.publishGrants()
		}
		close(m.applied)
	case configReceived:
		o.publishConfig(m.snapshot)
	case tick:
		o.publishGrants()
	}
}

func (o *owner) publishGrants() {
	now := o.gateway.clock()
	o.book.Prune(now)
	usable := o.book.Usable(now)
	o.gateway.workers.limit(usable)
	o.gateway.balancer.apply(usable)
}

func (o *owner) publishConfig(s *client.Snapshot) {
	g := o.gateway
	g.balancer.configure(routingServices(s.Config), s.Config.Policy.RetryPercent)
	g.settings.Store(newServiceTable(s, g.metrics))
	g.log.Info().Uint64("version", s.Version).Msg("configuration in force")
	o.publishGrants()
}

func routingServices(c config.Config) []routing.ServiceConfig {
	list := make([]routing.ServiceConfig, 0, len(c.Services))
	for _, s := range c.Services {
		list = append(list, routing.ServiceConfig{Name: s.Name, MaxQueue: s.MaxQueue})
	}
	return list
}

func (o *owner) configChanged(s *client.Snapshot) { o.send(configReceived{snapshot: s}) }

// receiveGrants returns when the grants are in force.
func (o *owner) receiveGrants(ctx context.Context, set routing.GrantSet) {
	applied := make(chan struct{})
	o.send(grantsReceived{set: set, applied: applied})
	select {
	case <-applied:
	case <-ctx.Done():
	}
}

func (o *owner) send(message any) { o.system.Root.Send(o.pid, message) }

func (o *owner) runTicks(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.send(tick{})
		}
	}
}

func (o *owner) stop() {
	_ = o.system.Root.StopFuture(o.pid).Wait()
	o.system.Shutdown()
}
