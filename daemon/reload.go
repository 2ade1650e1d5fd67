package daemon

import (
	"context"

	"github.com/rs/zerolog"

	"geraniumwall/settings"
)

// Reloads delivers the settings after each SIGHUP, also after one that arrived while the
// process started. A file with problems is logged and the former settings stay in force.
func Reloads[T any, S interface {
	*T
	settings.Checked
}](ctx context.Context, file string, log zerolog.Logger) <-chan S {
	requests := reloads.subscribe()
	loaded := make(chan S, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-requests:
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
