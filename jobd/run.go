package jobd

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"geraniumwall/daemon"
	"geraniumwall/raft"
	"geraniumwall/wal"
)

// errRetired ends a process whose replica was removed; the next start joins anew.
var errRetired = errors.New("this replica was removed from the log while it was away; its data is deleted and it joins again under a new id")

// Adapter makes the handlers of the interfaces for a replica.
type Adapter func(*Server) Interfaces

// Run runs a job replica until ctx is over; it then hands leadership over, ends
// the requests in progress and stops.
func Run(ctx context.Context, s *Settings, workers Workers, adapter Adapter, log zerolog.Logger) error {
	if _, err := daemon.ServeMetrics(ctx, s.MetricsListen); err != nil {
		return err
	}
	peerHandler, controlHandler := &daemon.SwitchHandler{}, &daemon.SwitchHandler{}
	peerHandler.Set(starting)
	controlHandler.Set(starting)
	peers, err := daemon.Listen(ctx, cmp.Or(s.PeerBind, s.PeerListen), peerHandler)
	if err != nil {
		return err
	}
	public, err := daemon.Listen(ctx, s.Listen, controlHandler)
	if err != nil {
		return err
	}
	peers.Serve()
	public.Serve()
	log.Info().Str("address", s.Listen).Str("peers", s.PeerListen).Msg("job replica started")
	identity, store, stored, err := open(ctx, s, log)
	if err != nil {
		return err
	}
	p := &process{settings: s, log: log, peers: peers, public: public, store: store, failed: make(chan error, 1)}
	return errors.Join(p.run(ctx, identity, stored, workers, adapter, peerHandler, controlHandler), store.Close())
}

type process struct {
	settings *Settings
	log      zerolog.Logger
	peers    *daemon.Server
	public   *daemon.Server
	store    *wal.Store
	failed   chan error
}

func (p *process) run(
	ctx context.Context, identity Identity, stored raft.Stored, workers Workers, adapter Adapter,
	peerHandler, controlHandler *daemon.SwitchHandler,
) error {
	fail := func(err error) {
		select {
		case p.failed <- err:
		default:
		}
	}
	server, err := New(Options{
		Settings: p.settings, Identity: identity, Storage: p.store, Stored: stored, Workers: workers, Log: p.log,
		Fatal: fail, Removed: func() { fail(p.retire(identity)) },
	})
	if err != nil {
		return err
	}
	interfaces := adapter(server)
	peerHandler.Set(server.peerHandler(interfaces))
	controlHandler.Set(server.controlHandler(interfaces))
	p.log.Info().Uint64("replica", identity.ReplicaID).Uint64("term", stored.HardState.Term).
		Int("entries", len(stored.Entries)).Msg("job replica is running")
	select {
	case <-ctx.Done():
	case err := <-p.failed:
		return err
	case err := <-p.peers.Failed():
		return fmt.Errorf("serve the system's own processes: %w", err)
	case err := <-p.public.Failed():
		return fmt.Errorf("serve workers and operators: %w", err)
	}
	return p.shutDown(server)
}

// retire marks the identity as removed, so that the next start joins anew.
func (p *process) retire(identity Identity) error {
	identity.Retired = true
	return errors.Join(errRetired, identity.save(p.settings))
}

func (p *process) shutDown(server *Server) error {
	p.log.Info().Msg("job replica stops")
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.stopWithin())
	defer cancel()
	server.Transfer(ctx)
	err := shutDownAll(ctx, p.public, p.peers)
	server.Stop()
	if err != nil {
		return fmt.Errorf("wait for requests in progress: %w", err)
	}
	return nil
}

// serveEnd is how long the requests in progress may take at a planned stop.
const serveEnd = 1500 * time.Millisecond

func shutDownAll(ctx context.Context, servers ...*daemon.Server) error {
	bounded, cancel := context.WithTimeout(ctx, serveEnd)
	defer cancel()
	var problems []error
	for _, s := range servers {
		if err := s.Shutdown(bounded); err != nil && !errors.Is(err, http.ErrServerClosed) {
			problems = append(problems, err)
		}
	}
	return errors.Join(problems...)
}
