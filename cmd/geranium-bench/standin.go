package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/google/subcommands"

	"geraniumwall/config"
	"geraniumwall/daemon"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/rpc/schedulerpb"
	"geraniumwall/workerapi"
)

// What the stand-in offers.
const (
	standInService     = "quote"
	standInDomain      = "bench-a"
	standInSession     = 1
	standInSlots       = 64
	standInConnections = 128
	standInGrantMS     = 3000
	// standInSchedulerName is the name of the scheduler in scripts/bench.sh.
	standInSchedulerName = "bench-s"
)

// standInCommand is "geranium-bench stand-in": a control replica, a scheduler and
// workers in one process, with nothing behind them.
type standInCommand struct {
	listen  string
	workers int
}

// Name returns the name of the command.
func (*standInCommand) Name() string { return "stand-in" }

// Synopsis returns one line of help.
func (*standInCommand) Synopsis() string { return "serve stand-ins for control, scheduler and workers" }

// Usage returns the help.
func (*standInCommand) Usage() string { return "stand-in -listen host:port -workers n\n" }

// SetFlags declares the flags.
func (c *standInCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:7600", "address of control, scheduler and workers")
	f.IntVar(&c.workers, "workers", 8, "number of workers, which share the address")
}

// Execute serves until the process is stopped.
func (c *standInCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *standInCommand) run(ctx context.Context) error {
	handler, err := standInHandler(c.listen, c.workers)
	if err != nil {
		return err
	}
	server, err := daemon.Listen(ctx, c.listen, handler)
	if err != nil {
		return err
	}
	server.Serve()
	select {
	case <-ctx.Done():
		return nil
	case err := <-server.Failed():
		return err
	}
}

// standInHandler serves control, scheduler and workers at one address.
func standInHandler(address string, workers int) (http.Handler, error) {
	content, err := config.Marshal(standInConfig())
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	control := controlpb.NewControlServer(&standInControl{content: content})
	scheduler := schedulerpb.NewSchedulerServer(&standInScheduler{address: address, workers: workers, content: content})
	mux.Handle(control.PathPrefix(), control)
	mux.Handle(scheduler.PathPrefix(), scheduler)
	mux.HandleFunc("POST "+workerapi.PathServe+"{service}", serveEcho)
	return mux, nil
}

// serveEcho answers with the body of the request.
func serveEcho(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header()["Content-Type"] = []string{"application/json"}
	w.Write(body)
}

func standInConfig() config.Config {
	return config.Config{
		Deployment: "bench", Domains: []string{standInDomain},
		Teams: []config.Team{{Name: "bench", Weight: 1}},
		Services: []config.Service{{
			Name: standInService, Team: "bench", Idempotent: true, TargetP99MS: 100, DeadlineMS: 10_000, MaxQueue: 4096,
		}},
	}
}

// standInControl serves one configuration.
type standInControl struct {
	controlpb.Control
	content []byte
}

// GetConfig returns the configuration, or waits if it is known.
func (c *standInControl) GetConfig(ctx context.Context, q *controlpb.GetConfigRequest) (*controlpb.GetConfigResponse, error) {
	if q.GetKnownVersion() > 0 {
		<-ctx.Done()
	}
	return &controlpb.GetConfigResponse{Config: &controlpb.ConfigVersion{Version: 1, Content: c.content}}, nil
}

// standInScheduler grants every slot of its workers to whoever asks.
type standInScheduler struct {
	schedulerpb.Scheduler
	address string
	workers int
	content []byte
}

// GetConfig returns the configuration.
func (s *standInScheduler) GetConfig(context.Context, *schedulerpb.GetConfigRequest) (*schedulerpb.GetConfigResponse, error) {
	return &schedulerpb.GetConfigResponse{Version: 1, Content: s.content}, nil
}

// SyncGrants returns the same grants each time.
func (s *standInScheduler) SyncGrants(context.Context, *schedulerpb.SyncGrantsRequest) (*schedulerpb.SyncGrantsResponse, error) {
	answer := &schedulerpb.SyncGrantsResponse{Scheduler: standInSchedulerName, Epoch: 1, ConfigVersion: 1}
	for i := range s.workers {
		answer.Grants = append(answer.Grants, &schedulerpb.Grant{
			Worker: fmt.Sprintf("worker-%d", i), Address: s.address, Domain: standInDomain, Session: standInSession,
			Slots: standInSlots, Connections: standInConnections, Services: []string{standInService},
			DurationMs: standInGrantMS,
		})
	}
	return answer, nil
}
