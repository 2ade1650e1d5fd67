package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"geraniumwall/config"
	"geraniumwall/operator"
	"geraniumwall/operatorapi"
)

const (
	progressInterval = 200 * time.Millisecond
	defaultForceWait = 10 * time.Second
)

// readDocument reads and checks a configuration file; "-" is standard input.
func readDocument(path string) ([]byte, config.Config, error) {
	document, err := readInput(path)
	if err != nil {
		return nil, config.Config{}, fmt.Errorf("read the configuration: %w", err)
	}
	parsed, err := config.Parse(document)
	if err != nil {
		return nil, config.Config{}, refused(err)
	}
	canonical, err := config.Marshal(parsed)
	return canonical, parsed, err
}

// refused turns the problems of a document into an error with the exit code of
// refused input.
func refused(err error) error {
	var check *config.CheckError
	if !errors.As(err, &check) {
		return err
	}
	return &operatorapi.Problem{
		Status: http.StatusUnprocessableEntity, Title: "configuration refused", Detail: check.Error(), Outcome: "not_run",
	}
}

func (a *app) check(_ context.Context, f *flag.FlagSet) error {
	path, err := one(f, "file")
	if err != nil {
		return err
	}
	_, parsed, err := readDocument(path)
	if err != nil {
		return err
	}
	result := struct {
		Deployment string `json:"deployment"`
		Domains    int    `json:"domains"`
		Teams      int    `json:"teams"`
		Services   int    `json:"services"`
		Jobs       int    `json:"jobs"`
	}{parsed.Deployment, len(parsed.Domains), len(parsed.Teams), len(parsed.Services), len(parsed.Jobs)}
	return a.print(result, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s: %d domains, %d teams, %d services, %d jobs: no problems\n",
			result.Deployment, result.Domains, result.Teams, result.Services, result.Jobs)
		return err
	})
}

// inForce returns the configuration in force; version 0 has an empty one.
func (a *app) inForce(ctx context.Context) (uint64, config.Config, error) {
	v, err := a.client.Config(ctx, 0)
	if err != nil || v.Version == 0 {
		return 0, config.Config{}, err
	}
	parsed, err := config.Parse(v.Content)
	return v.Version, parsed, err
}

func (a *app) diff(ctx context.Context, f *flag.FlagSet) error {
	path, err := one(f, "file")
	if err != nil {
		return err
	}
	_, after, err := readDocument(path)
	if err != nil {
		return err
	}
	_, before, err := a.inForce(ctx)
	if err != nil {
		return err
	}
	changes := operator.Diff(before, after)
	status, err := a.client.Status(ctx)
	if err != nil {
		_, _ = fmt.Fprintf(a.err, "geranium diff: no status, running work is not known: %v\n", err)
	}
	operator.RunningWorkOf(status).Annotate(changes, before, after)
	return a.print(changes, func(w io.Writer) error { return operator.WriteDiff(w, changes) })
}

// applyFlags are the flags of apply and rollback.
type applyFlags struct {
	base    int64
	change  string
	comment string
	wait    time.Duration
}

func (o *applyFlags) set(f *flag.FlagSet) {
	f.Int64Var(&o.base, "base", -1, "version the change was made from; default is the version in force")
	f.StringVar(&o.change, "change", "", "change id; repeat it to resend a change whose answer was lost")
	f.StringVar(&o.comment, "comment", "", "reason, kept in the history")
	f.DurationVar(&o.wait, "wait", defaultForceWait, "how long to wait until it is in force everywhere; 0 for not at all")
}

func (a *app) apply(ctx context.Context, f *flag.FlagSet, o *applyFlags) error {
	path, err := one(f, "file")
	if err != nil {
		return err
	}
	document, _, err := readDocument(path)
	if err != nil {
		return err
	}
	return a.applyDocument(ctx, document, o)
}

func (a *app) applyDocument(ctx context.Context, document []byte, o *applyFlags) error {
	if o.change == "" {
		o.change = uuid.NewString()
	}
	base, err := a.baseVersion(ctx, o)
	if err != nil {
		return err
	}
	result, err := a.client.Apply(ctx, base, o.change, o.comment, document)
	if err != nil {
		return fmt.Errorf("%w; resend with -change %s -base %d", err, o.change, base)
	}
	if !result.Accepted {
		return &conflictError{result}
	}
	if err := a.print(result, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "accepted as version %d\n", result.Version)
		return err
	}); err != nil || o.wait == 0 {
		return err
	}
	return a.waitInForce(ctx, result.Version, o.wait)
}

func (a *app) baseVersion(ctx context.Context, o *applyFlags) (uint64, error) {
	if o.base >= 0 {
		return uint64(o.base), nil
	}
	current, _, err := a.inForce(ctx)
	return current, err
}

// waitInForce shows the progress for each domain until every known process has
// the version in force.
func (a *app) waitInForce(ctx context.Context, version uint64, wait time.Duration) error {
	deadline := time.Now().Add(wait)
	for {
		status, err := a.client.Status(ctx)
		behind := operator.Behind(status, version)
		if err == nil && status.Control != nil && len(behind) == 0 {
			_, err := fmt.Fprintf(a.err, "version %d is in force everywhere\n", version)
			return err
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("version %d is accepted but not yet in force on %v; they catch up on contact, see geranium status", version, behind)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(progressInterval):
		}
	}
}

func (a *app) show(ctx context.Context, f *flag.FlagSet) error {
	version := uint64(0)
	if f.NArg() == 1 {
		var err error
		if version, err = strconv.ParseUint(f.Arg(0), 10, 64); err != nil {
			return &usageError{"give a version number from geranium history"}
		}
	}
	v, err := a.client.Config(ctx, version)
	if err != nil {
		return err
	}
	_, err = a.out.Write(v.Content)
	return err
}

func (a *app) rollback(ctx context.Context, f *flag.FlagSet, o *applyFlags) error {
	text, err := one(f, "version")
	if err != nil {
		return err
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil || version == 0 {
		return &usageError{"give a version number from geranium history"}
	}
	v, err := a.client.Config(ctx, version)
	if err != nil {
		return err
	}
	if o.comment == "" {
		o.comment = fmt.Sprintf("rollback to version %d", version)
	}
	return a.applyDocument(ctx, v.Content, o)
}
