// Package daemon holds what the mains of all daemons share: flags, settings,
// logs, signals, HTTP servers and metrics.
package daemon

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"geraniumwall/settings"
	"geraniumwall/transport"
)

// Exit codes of the daemons.
const (
	ExitFailure = 1
	ExitUsage   = 2
)

// Main parses the flags, loads the settings into s, which holds the defaults, and
// runs the daemon until SIGTERM or SIGINT. run must finish the work in progress
// before it returns. Main does not return.
func Main(name string, s settings.Checked, run func(context.Context, zerolog.Logger) error) {
	MainWith(Options{Name: name, Logs: os.Stderr}, s, func(ctx context.Context, log zerolog.Logger, _ string) error {
		return run(ctx, log)
	})
}

// Options are how a daemon starts.
type Options struct {
	Name string
	// File is the path of the settings file if the flag names none.
	File string
	// Logs receives the log lines.
	Logs io.Writer
}

// MainWith is Main with options. run also receives the path of the settings file.
func MainWith(o Options, s settings.Checked, run func(context.Context, zerolog.Logger, string) error) {
	file := flag.String("settings", o.File, "path of the JSON settings file")
	defaults := flag.Bool("print-defaults", false, "print the default settings and exit")
	flag.Parse()
	if *defaults {
		exitOn(settings.PrintDefaults(os.Stdout, s), ExitFailure)
		os.Exit(0)
	}
	exitOn(settings.Load(*file, s), ExitUsage)
	log := zerolog.New(o.Logs).With().Timestamp().Str("process", o.Name).Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := run(ctx, log, *file)
	if lost := FlushMetrics(context.Background()); lost != nil {
		log.Warn().Err(lost).Msg("the last metrics were not pushed")
	}
	if err != nil {
		log.Error().Err(err).Msg("daemon failed")
		os.Exit(ExitFailure)
	}
	log.Info().Msg("daemon stopped")
	os.Exit(0)
}

func exitOn(err error, code int) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(code)
	}
}

// Server is an HTTP server that is stopped gracefully.
type Server struct {
	http     *http.Server
	listener net.Listener
	failed   chan error
}

// Keys loads the keys of the settings, nil for nil settings, and keeps them current
// until the process ends.
func Keys(s *transport.Settings, log zerolog.Logger) (*transport.Keys, error) {
	keys, err := transport.LoadKeys(s, log)
	if err != nil {
		return nil, err
	}
	go keys.Watch(context.Background())
	return keys, nil
}

// Listen binds the address; Serve starts to accept.
func Listen(ctx context.Context, address string, handler http.Handler) (*Server, error) {
	return listen(ctx, address, transport.NewServer(handler))
}

// ListenSecure is Listen with keys; nil keys make it the same.
func ListenSecure(
	ctx context.Context, address string, handler http.Handler, keys *transport.Keys, clients transport.Clients,
) (*Server, error) {
	return listen(ctx, address, transport.NewSecureServer(handler, keys, clients))
}

func listen(ctx context.Context, address string, server *http.Server) (*Server, error) {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w; choose a free address in the settings", address, err)
	}
	listener = transport.LimitListener(ctx, listener, server)
	return &Server{http: server, listener: listener, failed: make(chan error, 1)}, nil
}

// Address returns the bound address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve accepts connections in the background. A nil *Server serves nothing and
// never fails.
func (s *Server) Serve() {
	if s == nil {
		return
	}
	go func() {
		if err := s.serve(); !errors.Is(err, http.ErrServerClosed) {
			s.failed <- err
		}
	}()
}

func (s *Server) serve() error {
	if s.http.TLSConfig != nil {
		return s.http.ServeTLS(s.listener, "", "")
	}
	return s.http.Serve(s.listener)
}

// Failed delivers the error of a server that stopped by itself.
func (s *Server) Failed() <-chan error {
	if s == nil {
		return nil
	}
	return s.failed
}

// Shutdown stops accepting and waits for requests in progress until ctx is over.
func (s *Server) Shutdown(ctx context.Context) error {
	if s == nil {
		return nil
	}
	return s.http.Shutdown(ctx)
}
