// Command geranium-gateway runs the gateway of an entry host.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"

	"geraniumwall/control/client"
	"geraniumwall/daemon"
	_ "geraniumwall/daemon/ignorehup"
	"geraniumwall/gateway"
	"geraniumwall/membership"
	"geraniumwall/membership/gossip"
	"geraniumwall/operatorapi"
	"geraniumwall/transport"
)

const (
	// longestDrain exceeds the longest deadline of a request.
	longestDrain = 61 * time.Minute
	// recordWait bounds the wait for records of outcomes at the end.
	recordWait = 10 * time.Second
	// The live heap is a few megabytes, so the default of 100 percent would collect
	// garbage dozens of times a second under load. The soft limit takes over when
	// queued bodies fill the heap.
	gcPercent       = 400
	memoryLimitByte = 256 << 20
)

// callersMemoryShare is the part of the memory of the host for requests in progress on one of
// the two ports for callers.
const callersMemoryShare = 0.2

func callersPort(purpose string) transport.PortOptions {
	return transport.PortOptions{Purpose: purpose, Share: callersMemoryShare, Clients: true}
}

func main() {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimitByte)
	s := defaultSettings()
	daemon.Main("geranium-gateway", s, func(ctx context.Context, log zerolog.Logger) error {
		return run(ctx, s, log)
	})
}

func run(ctx context.Context, s *settingsFile, log zerolog.Logger) error {
	in := transport.NewIntake(s.Intake, s.MemoryMB, log)
	_, err := daemon.ServeMetrics(in.On(ctx, transport.MetricsPort), s.MetricsListen, daemon.WithOTLP(s.OTLPEndpoint))
	if err != nil {
		return err
	}
	if err := in.Observe(otel.Meter(gateway.MeterName)); err != nil {
		return err
	}
	keys, err := daemon.Keys(s.TLS, log)
	if err != nil {
		return err
	}
	members, err := gossip.Join(ctx, s.Membership, membership.Member{
		Name: s.Name, Kind: membership.KindGateway, Domain: s.Domain, Address: s.Listen,
	}, log)
	if err != nil {
		return err
	}
	defer members.Stop()
	g, err := gateway.New(s.options(members, log, keys))
	if err != nil {
		return err
	}
	// Callers need no certificate, so it is demanded for the operators' paths only.
	server, err := daemon.ListenSecure(in.On(ctx, callersPort("callers")), s.Listen, g.Handler(), keys, transport.ClientsOptional)
	if err != nil {
		return err
	}
	plain, err := s.listenPlain(in.On(ctx, callersPort("plain_callers")), g)
	if err != nil {
		return err
	}
	g.Start()
	server.Serve()
	plain.Serve()
	log.Info().Str("address", server.Address()).Str("metrics", s.MetricsListen).Msg("gateway is serving")
	select {
	case <-ctx.Done():
	case err := <-server.Failed():
		return fmt.Errorf("serve callers: %w", err)
	case err := <-plain.Failed():
		return fmt.Errorf("serve callers without tls: %w", err)
	}
	shutDown(g, time.Duration(s.DrainMS)*time.Millisecond, log, server, plain)
	return nil
}

// shutDown lets the load balancer notice first, then waits for the requests in
// progress and returns the grants.
func shutDown(g *gateway.Gateway, notice time.Duration, log zerolog.Logger, servers ...*daemon.Server) {
	g.Drain()
	report := daemon.DrainAll(daemon.DrainOptions{Notice: notice, Within: notice + longestDrain}, servers...)
	report.Record(log)
	ctx, cancel := context.WithTimeout(context.Background(), recordWait)
	defer cancel()
	g.Stop(ctx)
}

// listenPlain binds the address for callers without TLS; it returns nil if none is
// set. Operators are refused there, since they cannot show a certificate.
func (s *settingsFile) listenPlain(ctx context.Context, g *gateway.Gateway) (*daemon.Server, error) {
	if s.PlainListen == "" {
		return nil, nil
	}
	return daemon.Listen(ctx, s.PlainListen, g.Handler())
}

func (s *settingsFile) options(members *gossip.Gossip, log zerolog.Logger, keys *transport.Keys) gateway.Options {
	httpClient := transport.NewClient(transport.ClientOptions{
		Keys: keys, Peers: []transport.Role{transport.RoleControl, transport.RoleScheduler},
	})
	operators := transport.Rules{operatorapi.Prefix: {transport.RoleOperator}}
	replicas := client.New(s.Control, httpClient)
	replicas.Discover(members.AddressesOf(membership.KindControl))
	return gateway.Options{
		Name: s.Name, Domain: s.Domain, Incarnation: uuid.NewString(),
		Control: s.Control, Schedulers: s.listed(),
		Directory: func() []gateway.Scheduler { return schedulersOf(members) },
		Replicas:  members.AddressesOf(membership.KindControl),
		Clock:     gateway.NewClock(), Log: log, Meter: otel.Meter(gateway.MeterName),
		Operator: keys.Admit(operators, operatorapi.New(replicas, s.directory(members), httpClient)),
		Keys:     keys,
		Seed:     rand.Uint64(), //nolint:gosec // load spreading needs no secrecy
	}
}

func (s *settingsFile) listed() []gateway.Scheduler {
	list := make([]gateway.Scheduler, 0, len(s.Schedulers))
	for _, one := range s.Schedulers {
		list = append(list, gateway.Scheduler(one))
	}
	return list
}

func schedulersOf(members *gossip.Gossip) []gateway.Scheduler {
	var list []gateway.Scheduler
	for _, m := range members.OfKind(membership.KindScheduler) {
		list = append(list, gateway.Scheduler{Name: m.Name, Domain: m.Domain, Address: m.Address})
	}
	return list
}

// directory returns what the operators' interface knows of the fleet: the members,
// and the schedulers of the settings that are not members.
func (s *settingsFile) directory(members *gossip.Gossip) operatorapi.Directory {
	return operatorapi.Directory{
		Schedulers: func() []operatorapi.Scheduler {
			var list []operatorapi.Scheduler
			known := map[string]bool{}
			for _, one := range append(schedulersOf(members), s.listed()...) {
				if !known[one.Name] {
					list = append(list, operatorapi.Scheduler(one))
				}
				known[one.Name] = true
			}
			return list
		},
		Members: members.Members,
	}
}
