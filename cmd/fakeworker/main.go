// Command fakeworker runs a stand-in worker for tests and the demo.
package main

import (
	"context"

	"github.com/rs/zerolog"

	"geraniumwall/daemon"
	"geraniumwall/fakeworker"
)

func main() {
	settings := fakeworker.Defaults()
	daemon.Main("fakeworker", settings, func(ctx context.Context, log zerolog.Logger) error {
		worker, err := fakeworker.New(settings, log)
		if err != nil {
			return err
		}
		return worker.Run(ctx)
	})
}
