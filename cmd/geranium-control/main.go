// Command geranium-control runs a control replica.
package main

import (
	"context"

	"github.com/rs/zerolog"

	"geraniumwall/control"
	"geraniumwall/daemon"
	_ "geraniumwall/daemon/ignorehup"
)

func main() {
	settings := &control.Settings{}
	daemon.Main("geranium-control", settings, func(ctx context.Context, log zerolog.Logger) error {
		return control.Run(ctx, *settings, log)
	})
}
