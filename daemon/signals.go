package daemon

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

// signals receives the signals of the process. They are never given back: the default
// effect of each one ends the process, also during a graceful shutdown.
type signals struct {
	stops   chan os.Signal
	hangups chan os.Signal
}

// takeSignals takes over the signals. Those that arrive before watch is called are
// kept.
func takeSignals() *signals {
	s := &signals{stops: make(chan os.Signal, 1), hangups: make(chan os.Signal, 1)}
	signal.Notify(s.stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.hangups, syscall.SIGHUP)
	// Otherwise a write to a closed standard output or standard error ends the process.
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// stopRequest is the cause of the end of the context that watch returns.
type stopRequest struct {
	signal os.Signal
	at     time.Time
}

// String returns the name of the signal.
func (r *stopRequest) String() string { return signalName(r.signal) }

// Error implements error.
func (r *stopRequest) Error() string { return "stop requested by " + r.String() }

// watch returns a context that ends with the first SIGTERM or SIGINT. Until then each
// SIGHUP is passed on to the subscribers of reloads.
func (s *signals) watch(parent context.Context, log zerolog.Logger) context.Context {
	ctx, stop := context.WithCancelCause(parent)
	go func() {
		for {
			select {
			case received := <-s.stops:
				handleStop(ctx, stop, received, log)
			case <-s.hangups:
				handleHangup(ctx, log)
			}
		}
	}()
	return ctx
}

func handleStop(ctx context.Context, stop context.CancelCauseFunc, received os.Signal, log zerolog.Logger) {
	log = log.With().Str("signal", signalName(received)).Logger()
	if ctx.Err() != nil {
		log.Info().Msg("signal ignored: the process is stopping already")
		return
	}
	log.Info().Msg("stop requested")
	stop(&stopRequest{signal: received, at: time.Now()})
}

func handleHangup(ctx context.Context, log zerolog.Logger) {
	log = log.With().Str("signal", signalName(syscall.SIGHUP)).Logger()
	if ctx.Err() != nil {
		log.Info().Msg("signal ignored: the process is stopping")
		return
	}
	log.Info().Msg("reload requested")
	reloads.notify()
}

func signalName(s os.Signal) string {
	switch s {
	case syscall.SIGTERM:
		return "SIGTERM"
	case syscall.SIGINT:
		return "SIGINT"
	case syscall.SIGHUP:
		return "SIGHUP"
	default:
		return s.String()
	}
}

// reloads tells the parts of the process that read files when to read them again.
var reloads broadcast

// broadcast delivers notifications to all subscribers, also to those that subscribe
// later. Notifications that a subscriber has not received yet are merged.
type broadcast struct {
	mu          sync.Mutex
	notified    bool
	subscribers []chan struct{}
}

func (b *broadcast) subscribe() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := make(chan struct{}, 1)
	if b.notified {
		c <- struct{}{}
	}
	b.subscribers = append(b.subscribers, c)
	return c
}

func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notified = true
	for _, c := range b.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}
