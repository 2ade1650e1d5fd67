package jobd

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"

	"geraniumwall/daemon"
	"geraniumwall/raft"
	"geraniumwall/transport"
	"geraniumwall/wal"
)

// errRetired ends the process after the replica was removed from the membership. The
// next start joins again.
var errRetired = errors.New("this replica was removed from the membership while it was offline; the next start deletes its data and joins under a new id")

// The shares of the memory of the host for requests in progress leave most of it to the
// state, the log and the connections. Requests of callers that entry processes relay use no
// room of the messages of the log.
var (
	internalPort = transport.PortOptions{Purpose: "internal", Share: 0.2, RelayedPrefix: PathCallers + "/"}
	controlPort  = transport.PortOptions{Purpose: "control", Share: 0.15, Clients: true}
)

// NewWorkerClient creates the client of workers, which takes its connections from pool.
type NewWorkerClient func(pool *transport.Pool) WorkerClient

// Adapter creates the HTTP handlers for a replica.
type Adapter func(*Server) Handlers

// Run runs a job replica until ctx is done. It then transfers leadership, waits for the
// requests in progress and stops.
func Run(ctx context.Context, s *Settings, newWorkers NewWorkerClient, adapter Adapter, log zerolog.Logger) error {
	in := transport.NewIntake(s.Intake, s.MemoryMB, log)
	if _, err := daemon.ServeMetrics(in.On(ctx, transport.MetricsPort), s.MetricsListen); err != nil {
		return err
	}
	if err := in.Observe(otel.Meter(meterName)); err != nil {
		return err
	}
	pools, err := newConnections(s, log)
	if err != nil {
		return err
	}
	peerHandler, controlHandler := &daemon.SwitchHandler{}, &daemon.SwitchHandler{}
	learned := make(chan string, learnedQueueLength)
	peerHandler.Set(startingPeerHandler(learned))
	controlHandler.Set(startingHandler)
	peers, err := daemon.Listen(in.On(transport.WithPool(ctx, pools.internal), internalPort), cmp.Or(s.PeerBind, s.PeerListen), peerHandler)
	if err != nil {
		return err
	}
	control, err := daemon.Listen(in.On(transport.WithPool(ctx, pools.control), controlPort), s.Listen, controlHandler)
	if err != nil {
		return err
	}
	peers.Serve()
	control.Serve()
	log.Info().Str("address", s.Listen).Str("peers", s.PeerListen).Msg("job replica started")
	identity, store, stored, err := openReplica(ctx, s, learned, log)
	if err != nil {
		return err
	}
	p := &process{settings: s, log: log, pools: pools, peers: peers, control: control, store: store, failed: make(chan error, 1)}
	return errors.Join(p.run(ctx, identity, stored, newWorkers(pools.workers), adapter, peerHandler, controlHandler), store.Close())
}

type process struct {
	settings *Settings
	log      zerolog.Logger
	pools    connections
	peers    *daemon.Server
	control  *daemon.Server
	store    *wal.Store
	failed   chan error
}

func (p *process) run(
	ctx context.Context, identity Identity, stored raft.Stored, workers WorkerClient, adapter Adapter,
	peerHandler, controlHandler *daemon.SwitchHandler,
) error {
	fail := func(err error) {
		select {
		case p.failed <- err:
		default:
		}
	}
	server, err := New(Options{
		Settings: p.settings, Identity: identity, Storage: p.store, Stored: stored, Workers: workers, Peers: p.pools.peers, Log: p.log,
		Fatal: fail, Removed: func(members map[uint64]string) { fail(p.markRetired(identity, members)) },
	})
	if err != nil {
		return err
	}
	handlers := adapter(server)
	peerHandler.Set(server.peerHandler(handlers))
	controlHandler.Set(server.controlHandler(handlers))
	p.log.Info().Uint64("replica", identity.ReplicaID).Uint64("term", stored.HardState.Term).
		Int("entries", len(stored.Entries)).Msg("job replica is running")
	select {
	case <-ctx.Done():
	case err := <-p.failed:
		return err
	case err := <-p.peers.Failed():
		return fmt.Errorf("serve the internal API: %w", err)
	case err := <-p.control.Failed():
		return fmt.Errorf("serve workers and operators: %w", err)
	}
	return p.shutDown(server)
}

// markRetired stores that the replica was removed, so that the next start joins under a
// new id and asks the last members that this one knows.
func (p *process) markRetired(identity Identity, members map[uint64]string) error {
	identity.Retired = true
	if len(members) > 0 {
		identity.Peers = members
	}
	return errors.Join(errRetired, identity.save(p.settings))
}

// exitReservePart is the part of the time for a shutdown that is left after the drain,
// as a fraction 1/exitReservePart.
const exitReservePart = 12

// shutDown transfers leadership, so that requests that are still forwarded to this replica
// are passed on to the new leader or answered as not run, and then drains.
func (p *process) shutDown(server *Server) error {
	p.log.Info().Msg("job replica is stopping")
	start, timeout := time.Now(), p.settings.shutdownTimeout()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	server.Leave(ctx)
	within := max(minDrainTime, timeout-timeout/exitReservePart-time.Since(start))
	report := daemon.DrainAll(daemon.DrainOptions{Within: within, Refusal: stoppingHandler}, p.control, p.peers)
	report.Record(p.log)
	server.Stop()
	return nil
}

// minDrainTime is left for the drain if the transfer has taken all the time.
const minDrainTime = 100 * time.Millisecond
