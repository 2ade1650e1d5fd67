// Package daemon holds what the mains of all daemons share: flags, settings,
// logs, signals, HTTP servers and metrics.
package daemon

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"io"
	stdlog "log"
	"os"
	"time"

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
	// Logs receives the log lines. A slow reader never blocks the daemon.
	Logs io.Writer
}

// MainWith is Main with options. run also receives the path of the settings file.
func MainWith(o Options, s settings.Checked, run func(context.Context, zerolog.Logger, string) error) {
	received := takeSignals()
	file := parseFlags(o, s)
	logs := newLogWriter(o.Logs)
	// A panic of run ends the process after this.
	defer logs.close(nil)
	log := newLogger(logs, o.Name)
	stdlog.SetFlags(0)
	stdlog.SetOutput(errorLog{log})
	ctx := received.watch(context.Background(), log)
	if err := load(ctx, file, s); err != nil {
		logs.close(lastLine(ctx, o.Name, err))
		exit(err, ExitUsage)
	}
	err := runUnlessStopped(ctx, log, file, run)
	if lost := FlushMetrics(context.Background()); lost != nil {
		log.Warn().Err(lost).Msg("the last metrics were not pushed")
	}
	logs.close(lastLine(ctx, o.Name, err))
	if err != nil {
		os.Exit(ExitFailure)
	}
	os.Exit(0)
}

// load loads the settings. It returns early, without an error, if the process is asked
// to stop.
func load(ctx context.Context, file string, s settings.Checked) error {
	loaded := make(chan error, 1)
	go func() { loaded <- settings.Load(file, s) }()
	select {
	case err := <-loaded:
		return err
	case <-ctx.Done():
		return nil
	}
}

func runUnlessStopped(
	ctx context.Context, log zerolog.Logger, file string, run func(context.Context, zerolog.Logger, string) error,
) error {
	select {
	case <-ctx.Done():
		return nil
	default:
		return run(ctx, log, file)
	}
}

// parseFlags returns the path of the settings file, or prints the defaults and ends the
// process if the flags ask for them.
func parseFlags(o Options, s settings.Checked) string {
	file := flag.String("settings", o.File, "path of the JSON settings file")
	defaults := flag.Bool("print-defaults", false, "print the default settings and exit")
	flag.Parse()
	if !*defaults {
		return *file
	}
	if err := settings.PrintDefaults(os.Stdout, s); err != nil {
		exit(err, ExitFailure)
	}
	os.Exit(0)
	return ""
}

func newLogger(logs io.Writer, name string) zerolog.Logger {
	return zerolog.New(logs).With().Timestamp().Str("process", name).Logger()
}

// lastLine returns the log line that says what ended the process.
func lastLine(ctx context.Context, name string, err error) []byte {
	var line bytes.Buffer
	log := newLogger(&line, name)
	event, message := log.Info(), "daemon stopped"
	if err != nil {
		event, message = log.Error().Err(err), "daemon failed"
	}
	var stop *stopRequest
	if errors.As(context.Cause(ctx), &stop) {
		event.Stringer("signal", stop).Dur("took", time.Since(stop.at))
	}
	event.Msg(message)
	return line.Bytes()
}

// exit prints err to standard error and ends the process.
func exit(err error, code int) {
	newLogWriter(os.Stderr).close([]byte(err.Error() + "\n"))
	os.Exit(code)
}

// Keys loads the keys of the settings, nil for nil settings, and keeps them current
// until the process ends.
func Keys(s *transport.Settings, log zerolog.Logger) (*transport.Keys, error) {
	keys, err := transport.LoadKeys(s, log)
	if err != nil {
		return nil, err
	}
	go keys.Watch(context.Background(), reloads.subscribe())
	return keys, nil
}
