// Command geranium-gateway runs the gateway of an entry host.
package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"

	"geraniumwall/control/client"
	"geraniumwall/daemon"
	"geraniumwall/gateway"
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

func main() {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimitByte)
	s := defaultSettings()
	daemon.Main("geranium-gateway", s, func(ctx context.Context, log zerolog.Logger) error {
		return run(ctx, s, log)
	})
}

func run(ctx context.Context, s *settingsFile, log zerolog.Logger) error {
	_, err := daemon.ServeMetrics(ctx, s.MetricsListen, daemon.WithOTLP(s.OTLPEndpoint))
	if err != nil {
		return err
	}
	keys, err := daemon.Keys(s.TLS, log)
	if err != nil {
		return err
	}
	g, err := gateway.New(s.options(log, keys))
	if err != nil {
		return err
	}
	// Callers need no certificate, so it is demanded for the operators' paths only.
	server, err := daemon.ListenSecure(ctx, s.Listen, g.Handler(), keys, transport.ClientsOptional)
	if err != nil {
		return err
	}
	plain, err := s.listenPlain(ctx, g)
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
	return shutDown(g, server, plain, time.Duration(s.DrainMS)*time.Millisecond)
}

// shutDown lets the load balancer notice first, then waits for the requests in
// progress and returns the grants.
func shutDown(g *gateway.Gateway, server, plain *daemon.Server, notice time.Duration) error {
	g.Drain()
	time.Sleep(notice)
	ctx, cancel := context.WithTimeout(context.Background(), longestDrain)
	defer cancel()
	if err := errors.Join(server.Shutdown(ctx), plain.Shutdown(ctx)); err != nil {
		return fmt.Errorf("wait for requests in progress: %w", err)
	}
	bounded, release := context.WithTimeout(ctx, recordWait)
	defer release()
	g.Stop(bounded)
	return nil
}

// listenPlain binds the address for callers without TLS; it returns nil if none is
// set. Operators are refused there, since they cannot show a certificate.
func (s *settingsFile) listenPlain(ctx context.Context, g *gateway.Gateway) (*daemon.Server, error) {
	if s.PlainListen == "" {
		return nil, nil
	}
	return daemon.Listen(ctx, s.PlainListen, g.Handler())
}

func (s *settingsFile) options(log zerolog.Logger, keys *transport.Keys) gateway.Options {
	schedulers := make([]gateway.Scheduler, 0, len(s.Schedulers))
	listed := make([]operatorapi.Scheduler, 0, len(s.Schedulers))
	for _, peer := range s.Schedulers {
		schedulers = append(schedulers, gateway.Scheduler(peer))
		listed = append(listed, operatorapi.Scheduler(peer))
	}
	httpClient := transport.NewClient(transport.ClientOptions{
		Keys: keys, Peers: []transport.Role{transport.RoleControl, transport.RoleScheduler},
	})
	operators := transport.Rules{operatorapi.Prefix: {transport.RoleOperator}}
	return gateway.Options{
		Name: s.Name, Domain: s.Domain, Incarnation: uuid.NewString(),
		Control: s.Control, Schedulers: schedulers,
		Clock: gateway.NewClock(), Log: log, Meter: otel.Meter(gateway.MeterName),
		Operator: keys.Admit(operators, operatorapi.New(client.New(s.Control, httpClient), listed, httpClient)),
		Keys:     keys,
		Seed:     rand.Uint64(), //nolint:gosec // load spreading needs no secrecy
	}
}
