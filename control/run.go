package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"

	"geraniumwall/daemon"
	"geraniumwall/membership"
	"geraniumwall/membership/gossip"
	"geraniumwall/raft"
	"geraniumwall/replicate"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/rpc/protocol"
	"geraniumwall/transport"
)

const (
	// stopWithin bounds the wait for requests in progress on a planned stop.
	stopWithin = 10 * time.Second
	// minDrainTime is left for the drain if the transfer of leadership has taken all the
	// time.
	minDrainTime = 500 * time.Millisecond
	meterName    = "geraniumwall/control"
)

// internalPort serves gateways, schedulers and the other replicas.
var internalPort = transport.PortOptions{Purpose: "internal", Share: 0.25}

// Run runs a replica until ctx is over; it then hands leadership over, ends the
// requests in progress and stops.
func Run(ctx context.Context, s Settings, log zerolog.Logger) error {
	in := transport.NewIntake(s.Intake, s.MemoryMB, log)
	if _, err := daemon.ServeMetrics(in.On(ctx, transport.MetricsPort), s.MetricsListen, daemon.WithOTLP(s.OTLPEndpoint)); err != nil {
		return err
	}
	if err := in.Observe(otel.Meter(meterName)); err != nil {
		return err
	}
	keys, err := daemon.Keys(s.TLS, log)
	if err != nil {
		return err
	}
	handler := &daemon.SwitchHandler{}
	handler.Set(formingHandler(s))
	server, err := daemon.ListenSecure(in.On(ctx, internalPort), s.Listen, keys.Admit(admitted, handler), keys, transport.ClientsRequired)
	if err != nil {
		return err
	}
	server.Serve()
	log = log.With().Str("name", s.Name).Uint64("replica", s.ReplicaID).Logger()
	log.Info().Str("address", server.Address()).Msg("control replica is listening")
	warnOfLoss(s, log)
	store, stored, err := OpenStorage(s, func() error { return permitFirstStart(ctx, s, newStatusClient(keys), log) })
	if err != nil {
		return err
	}
	return errors.Join(runStored(ctx, s, log, keys, store, stored, handler, server), store.Close())
}

// warnOfLoss is repeated at each start, so that a test system is not taken for one
// that keeps its state.
func warnOfLoss(s Settings, log zerolog.Logger) {
	if len(s.Replicas) == 1 && s.initial() {
		log.Warn().Msg("single control replica: tasks, configuration and audit trail are lost with its disk, " +
			"and it starts empty without notice; list 3 or 5 replicas to keep them")
	}
}

func runStored(
	ctx context.Context, s Settings, log zerolog.Logger, keys *transport.Keys,
	store replicate.Storage, stored raft.Stored, handler *daemon.SwitchHandler, server *daemon.Server,
) error {
	failed := make(chan error, 1)
	replica, err := New(Options{
		Settings: s, Storage: store, Stored: stored, Log: log, Keys: keys,
		Seed:  rand.Uint64(), //nolint:gosec // election timeouts need no secrecy
		Meter: otel.Meter(meterName),
		Fatal: func(err error) { failed <- err },
	})
	if err != nil {
		return err
	}
	handler.Set(replica.Handler())
	members, err := gossip.Join(ctx, s.Membership, membership.Member{
		Name: s.Name, Kind: membership.KindControl, Domain: s.Domain, Address: server.Address(),
	}, log)
	if err != nil {
		replica.Stop()
		return err
	}
	defer members.Stop()
	log.Info().Uint64("term", stored.HardState.Term).Int("entries", len(stored.Entries)).Msg("control replica is running")
	select {
	case <-ctx.Done():
	case err := <-failed:
		return err
	case err := <-server.Failed():
		return fmt.Errorf("serve requests: %w", err)
	}
	shutDown(replica, server, log)
	return nil
}

func shutDown(replica *Server, server *daemon.Server, log zerolog.Logger) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), stopWithin)
	defer cancel()
	replica.Transfer(ctx)
	replica.EndPolls()
	report := server.Drain(daemon.DrainOptions{Within: max(minDrainTime, stopWithin-time.Since(start))})
	report.Record(log)
	replica.Stop()
}

// formingHandler answers before the replica has a log: Status says that the log is
// empty, and nothing else is served.
func formingHandler(s Settings) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(controlpb.ControlPathPrefix, controlpb.NewControlServer(forming{replica: s.ReplicaID}))
	return protocol.Handler(mux)
}
