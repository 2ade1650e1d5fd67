package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/google/subcommands"

	"geraniumwall/operator"
	"geraniumwall/operatorapi"
	"geraniumwall/workerapi"
)

// Exit codes beyond those of subcommands (0 success, 1 failure, 2 usage).
const (
	// exitConflict: another operator changed the configuration first.
	exitConflict subcommands.ExitStatus = 3
	// exitRefused: the input was refused and nothing was changed.
	exitRefused subcommands.ExitStatus = 4
	// exitUnknown: the outcome is not known; repeat with the same change id or key.
	exitUnknown subcommands.ExitStatus = 5
)

// app is what all commands share.
type app struct {
	client *operator.Client
	json   bool
	out    io.Writer
	err    io.Writer
}

// command is one subcommand. run returns an error that decides the exit code.
type command struct {
	app       *app
	name      string
	synopsis  string
	arguments string
	// details follow the synopsis in the help of the command.
	details string
	flags   func(*flag.FlagSet)
	run     func(context.Context, *flag.FlagSet) error
}

var _ subcommands.Command = (*command)(nil)

// Name returns the name of the subcommand.
func (c *command) Name() string { return c.name }

// Synopsis returns one line of help.
func (c *command) Synopsis() string { return c.synopsis }

// Usage returns the full help.
func (c *command) Usage() string {
	details := c.details
	if details != "" {
		details += "\n\n"
	}
	return fmt.Sprintf("geranium %s %s\n\n%s.\n\n%sFlags:\n", c.name, c.arguments, c.synopsis, details)
}

// SetFlags declares the flags of the subcommand.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.app.json, "json", c.app.json, "print JSON for programs")
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute runs the subcommand and maps its error to an exit code.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.checkArguments(f)
	if err == nil {
		err = c.run(ctx, f)
	}
	if err == nil {
		return subcommands.ExitSuccess
	}
	var usage *usageError
	if errors.As(err, &usage) {
		err = fmt.Errorf("%w; see geranium help %s", err, c.name)
	}
	_, _ = fmt.Fprintf(c.app.err, "geranium %s: %v\n", c.name, err)
	return exitCode(err)
}

// checkArguments refuses arguments that the subcommand would ignore.
func (c *command) checkArguments(f *flag.FlagSet) error {
	allowed := len(strings.Fields(c.arguments))
	if f.NArg() > allowed {
		return &usageError{fmt.Sprintf("unexpected argument %q; flags go before arguments", f.Arg(allowed))}
	}
	return nil
}

// usageError is a wrong call of a command.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }

// conflictError is a change that lost against another one.
type conflictError struct{ result operatorapi.ApplyResult }

func (e *conflictError) Error() string {
	text := fmt.Sprintf("conflict: version %d is in force", e.result.Version)
	for _, v := range e.result.SinceBase {
		text += fmt.Sprintf("\n  version %d by %s: %s", v.Version, v.Author, v.Comment)
	}
	return text + "\n" + e.result.Remedy
}

func exitCode(err error) subcommands.ExitStatus {
	var usage *usageError
	var conflict *conflictError
	var unknown *operator.UnknownError
	var problem *operatorapi.Problem
	switch {
	case errors.As(err, &unknown):
		return exitUnknown
	case errors.As(err, &usage), errors.Is(err, operator.ErrNoGateway), errors.Is(err, operator.ErrGatewayAddress):
		return subcommands.ExitUsageError
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &problem) && problem.Outcome == string(workerapi.OutcomeUnknown):
		return exitUnknown
	case errors.As(err, &problem) && problem.Status < http.StatusInternalServerError:
		return exitRefused
	}
	return subcommands.ExitFailure
}

// print writes value as JSON with -json, else by forPeople.
func (a *app) print(value any, forPeople func(io.Writer) error) error {
	if !a.json {
		return forPeople(a.out)
	}
	encoder := json.NewEncoder(a.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func (a *app) printf(format string, arguments ...any) error {
	_, err := fmt.Fprintf(a.out, format, arguments...)
	return err
}

// readInput reads a file, or standard input for "-".
func readInput(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	data, err := os.ReadFile(path) //nolint:gosec // the path is the operator's own argument
	if err != nil {
		return nil, fmt.Errorf("%w; correct the path, or give - for standard input", err)
	}
	return data, nil
}

// one returns the only argument of a command.
func one(f *flag.FlagSet, what string) (string, error) {
	if f.NArg() != 1 {
		return "", &usageError{fmt.Sprintf("give exactly one %s", what)}
	}
	return f.Arg(0), nil
}
