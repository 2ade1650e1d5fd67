// Command geranium-jobs runs a job replica.
package main

import (
	"context"
	"os"

	"github.com/rs/zerolog"

	"geraniumwall/daemon"
	_ "geraniumwall/daemon/ignorehup"
	"geraniumwall/jobd"
	"geraniumwall/platform"
)

func main() {
	settings := &jobd.Settings{}
	options := daemon.Options{Name: "geranium-jobs", File: platform.SettingsFile(), Logs: os.Stdout}
	daemon.MainWith(options, settings, func(ctx context.Context, log zerolog.Logger, file string) error {
		go logReloads(daemon.Reloads[jobd.Settings](ctx, file, log), log)
		return jobd.Run(ctx, settings, platform.NewWorkerClient, platform.Interfaces, log)
	})
}

// logReloads records changed settings. They take effect at the next start: a
// running replica knows the others from the log.
func logReloads(reloads <-chan *jobd.Settings, log zerolog.Logger) {
	for s := range reloads {
		log.Info().Strs("seeds", s.Seeds).Msg("settings reloaded; they take effect at the next start")
	}
}
