// Command geranium-entry takes in callers' requests for the job replicas.
package main

import (
	"context"
	"os"

	"github.com/rs/zerolog"

	"geraniumwall/daemon"
	_ "geraniumwall/daemon/ignorehup"
	"geraniumwall/entry"
	"geraniumwall/platform"
)

func main() {
	settings := &entry.Settings{}
	options := daemon.Options{Name: "geranium-entry", File: platform.SettingsFile(), Logs: os.Stdout}
	daemon.MainWith(options, settings, func(ctx context.Context, log zerolog.Logger, file string) error {
		reloads := daemon.Reloads[entry.Settings](ctx, file, log)
		return entry.Run(ctx, settings, reloads, platform.Deadline, log)
	})
}
