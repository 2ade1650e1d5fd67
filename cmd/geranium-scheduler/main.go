// Command geranium-scheduler runs one of the two schedulers of a failure domain.
package main

import (
	"context"
	"math/rand/v2"

	"github.com/rs/zerolog"

	"geraniumwall/daemon"
	_ "geraniumwall/daemon/ignorehup"
	"geraniumwall/policy/engine"
	"geraniumwall/schedulerd"
	"geraniumwall/transport"
)

func main() {
	settings := schedulerd.Defaults()
	daemon.Main("geranium-scheduler", settings, func(ctx context.Context, log zerolog.Logger) error {
		in := transport.NewIntake(settings.Intake, settings.MemoryMB, log)
		if _, err := daemon.ServeMetrics(in.On(ctx, transport.MetricsPort), settings.MetricsListen, daemon.WithOTLP(settings.OTLPEndpoint)); err != nil {
			return err
		}
		server, err := schedulerd.New(settings, log, engine.New(rand.Uint64())) //nolint:gosec // spreading needs no secrecy
		if err != nil {
			return err
		}
		return server.Run(ctx)
	})
}
