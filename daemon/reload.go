package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"geraniumwall/settings"
)

// Reloads delivers the settings after each SIGHUP. A file with problems is logged
// and the former settings stay in force.
func Reloads[T any, S interface {
	*T
	settings.Checked
}](ctx context.Context, file string, log zerolog.Logger) <-chan S {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	loaded := make(chan S, 1)
	go func() {
		defer signal.Stop(signals)
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
			}
			s := S(new(T))
			if err := settings.Load(file, s); err != nil {
				log.Error().Err(err).Msg("changed settings are ignored")
				continue
			}
			select {
			case loaded <- s:
			case <-ctx.Done():
				return
			}
		}
	}()
	return loaded
}
