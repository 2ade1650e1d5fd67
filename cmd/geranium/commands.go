package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"runtime/debug"
	"time"

	"github.com/google/subcommands"
	"github.com/google/uuid"

	"geraniumwall/config"
	"geraniumwall/operator"
)

const (
	defaultTaskWait = 5 * time.Minute
	defaultPage     = 100
	topInterval     = time.Second
	clearScreen     = "\x1b[2J\x1b[H"
)

type group struct {
	name     string
	commands []subcommands.Command
}

func (a *app) commands() []group {
	return []group{
		{"configuration", a.configCommands()},
		{"work", a.workCommands()},
		{"fleet", a.fleetCommands()},
		{"keys", a.keyCommands()},
	}
}

func (a *app) configCommands() []subcommands.Command {
	var applying, rolling applyFlags
	var after uint64
	var limit int
	return []subcommands.Command{
		&command{app: a, name: "check", arguments: "FILE", synopsis: "check a configuration and list all problems", run: a.check},
		&command{app: a, name: "diff", arguments: "FILE", synopsis: "show what a configuration would change, and the effect", run: a.diff},
		&command{
			app: a, name: "apply", arguments: "FILE", synopsis: "put a configuration in force everywhere", flags: applying.set,
			run: func(ctx context.Context, f *flag.FlagSet) error { return a.apply(ctx, f, &applying) },
		},
		&command{app: a, name: "show", arguments: "[VERSION]", synopsis: "print the configuration in force or an older version", run: a.show},
		&command{
			app: a, name: "history", synopsis: "list the configuration versions", flags: pageFlags(&after, &limit),
			run: func(ctx context.Context, _ *flag.FlagSet) error {
				versions, err := a.client.History(ctx, after, limit)
				if err != nil {
					return err
				}
				return a.print(versions, func(w io.Writer) error { return operator.WriteHistory(w, versions) })
			},
		},
		&command{
			app: a, name: "rollback", arguments: "VERSION", synopsis: "apply an older version's content as a new version", flags: rolling.set,
			run: func(ctx context.Context, f *flag.FlagSet) error { return a.rollback(ctx, f, &rolling) },
		},
		&command{app: a, name: "schema", synopsis: "print the JSON Schema of a configuration", run: a.schema},
	}
}

func (a *app) schema(context.Context, *flag.FlagSet) error {
	document, err := config.Schema()
	if err != nil {
		return err
	}
	_, err = a.out.Write(document)
	return err
}

func pageFlags(after *uint64, limit *int) func(*flag.FlagSet) {
	return func(f *flag.FlagSet) {
		f.Uint64Var(after, "after", 0, "list entries after this number")
		f.IntVar(limit, "limit", defaultPage, "number of entries")
	}
}

func (a *app) workCommands() []subcommands.Command {
	var key string
	wait := defaultTaskWait
	return []subcommands.Command{
		&command{
			app: a, name: "submit", arguments: "FILE", synopsis: "submit a task from a JSON file (- for standard input)",
			flags: func(f *flag.FlagSet) { f.StringVar(&key, "key", "", "idempotency key; repeat it to resend") },
			run:   func(ctx context.Context, f *flag.FlagSet) error { return a.submit(ctx, f, key) },
		},
		&command{
			app: a, name: "wait", arguments: "TASK", synopsis: "wait until a task has ended and print it",
			flags: func(f *flag.FlagSet) { f.DurationVar(&wait, "timeout", defaultTaskWait, "how long to wait") },
			run: func(ctx context.Context, f *flag.FlagSet) error {
				return a.wait(ctx, f, wait)
			},
		},
		&command{
			app: a, name: "cancel", arguments: "TASK", synopsis: "cancel a task",
			run: func(ctx context.Context, f *flag.FlagSet) error {
				return a.task(ctx, f, func(id string) ([]byte, error) { return a.client.Cancel(ctx, id) })
			},
		},
	}
}

func (a *app) submit(ctx context.Context, f *flag.FlagSet, key string) error {
	path, err := one(f, "file")
	if err != nil {
		return err
	}
	document, err := readInput(path)
	if err != nil {
		return fmt.Errorf("read the task: %w", err)
	}
	if key == "" {
		key = uuid.NewString()
	}
	id, err := a.client.Submit(ctx, key, document)
	if err != nil {
		return fmt.Errorf("%w; resend with -key %s", err, key)
	}
	return a.print(map[string]string{"id": id}, func(w io.Writer) error {
		_, err := fmt.Fprintln(w, id)
		return err
	})
}

// wait prints the task, and fails if it has not ended in time.
func (a *app) wait(ctx context.Context, f *flag.FlagSet, timeout time.Duration) error {
	var last []byte
	err := a.task(ctx, f, func(id string) ([]byte, error) {
		task, err := a.client.Task(ctx, id, timeout)
		last = task
		return task, err
	})
	if err == nil && !operator.Ended(last) {
		return fmt.Errorf("task %s has not ended after %v; see geranium explain %s", f.Arg(0), timeout, f.Arg(0))
	}
	return err
}

func (a *app) task(_ context.Context, f *flag.FlagSet, call func(string) ([]byte, error)) error {
	id, err := one(f, "task id")
	if err != nil {
		return err
	}
	document, err := call(id)
	if err != nil {
		return err
	}
	return a.printf("%s", document)
}

func (a *app) fleetCommands() []subcommands.Command {
	var workers, undo bool
	var auditing auditFlags
	var changing replicaFlags
	return []subcommands.Command{
		&command{
			app: a, name: "status", synopsis: "show replicas, domains, schedulers and leases",
			flags: func(f *flag.FlagSet) { f.BoolVar(&workers, "workers", false, "list the workers too") },
			run:   func(ctx context.Context, _ *flag.FlagSet) error { return a.status(ctx, workers) },
		},
		&command{app: a, name: "top", synopsis: "show the status and refresh it every second", run: a.top},
		&command{app: a, name: "explain", arguments: "SUBJECT", synopsis: "show the decisions about a task, worker or service",
			details: operator.ExplainKept, run: a.explain},
		&command{
			app: a, name: "drain", arguments: "WORKER", synopsis: "stop new work on a worker and move its tasks",
			flags: func(f *flag.FlagSet) { f.BoolVar(&undo, "undo", false, "let the worker take work again") },
			run:   func(ctx context.Context, f *flag.FlagSet) error { return a.drain(ctx, f, undo) },
		},
		&command{
			app: a, name: "audit", synopsis: "list who changed what, and the automatic decisions", flags: auditing.set,
			run: func(ctx context.Context, _ *flag.FlagSet) error { return a.audit(ctx, &auditing) },
		},
		&command{
			app: a, name: "replica", arguments: "add|promote|remove ID", synopsis: "change the membership of the control replicas",
			flags: changing.set,
			run:   func(ctx context.Context, f *flag.FlagSet) error { return a.replica(ctx, f, &changing) },
		},
		&command{
			app: a, name: "job-members", arguments: "ADDRESS", run: a.jobMembers,
			synopsis: "show the members of the job replicas as the one with this peer address knows them",
		},
		&command{
			app: a, name: "evacuate", arguments: "ADDRESS DOMAIN", synopsis: "start no more tasks of the job replicas in a failure domain",
			run: func(ctx context.Context, f *flag.FlagSet) error { return a.evacuate(ctx, f, true) },
		},
		&command{
			app: a, name: "end-evacuation", arguments: "ADDRESS DOMAIN", synopsis: "revoke the evacuation of a failure domain",
			run: func(ctx context.Context, f *flag.FlagSet) error { return a.evacuate(ctx, f, false) },
		},
		&command{
			app: a, name: "evacuations", arguments: "ADDRESS", run: a.evacuations,
			synopsis: "show the evacuated failure domains, and who ordered and revoked evacuations",
		},
		&command{app: a, name: "completion", synopsis: "print the completion script for bash", run: a.completion},
		&command{app: a, name: "version", synopsis: "print the version of this program", run: a.version},
	}
}

func (a *app) status(ctx context.Context, workers bool) error {
	status, err := a.client.Status(ctx)
	if err != nil {
		return err
	}
	return a.print(status, func(w io.Writer) error { return operator.WriteStatus(w, status, workers) })
}

func (a *app) top(ctx context.Context, _ *flag.FlagSet) error {
	for ctx.Err() == nil {
		status, err := a.client.Status(ctx)
		if err != nil {
			return err
		}
		err = a.print(status, func(w io.Writer) error {
			if _, err := io.WriteString(w, clearScreen); err != nil {
				return err
			}
			return operator.WriteStatus(w, status, true)
		})
		if err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(topInterval):
		}
	}
	return nil
}

func (a *app) explain(ctx context.Context, f *flag.FlagSet) error {
	subject, err := one(f, "task, worker or service")
	if err != nil {
		return err
	}
	decisions, err := a.client.Explain(ctx, subject)
	if err != nil {
		return err
	}
	return a.print(decisions, func(w io.Writer) error {
		if len(decisions) == 0 {
			_, err := fmt.Fprintf(w, "no decision about %s is kept. %s See geranium audit for older evictions.\n", subject, operator.ExplainKept)
			return err
		}
		return operator.WriteDecisions(w, decisions)
	})
}

func (a *app) jobMembers(ctx context.Context, f *flag.FlagSet) error {
	address, err := one(f, "peer address of a job replica")
	if err != nil {
		return err
	}
	members, err := operator.JobMembers(ctx, address)
	if err != nil {
		return err
	}
	return a.print(members, func(w io.Writer) error { return operator.WriteJobMembers(w, members) })
}

func (a *app) evacuate(ctx context.Context, f *flag.FlagSet, evacuated bool) error {
	if f.NArg() != 2 {
		return &usageError{"give the peer address of a job replica and one failure domain"}
	}
	order, err := operator.Evacuate(ctx, f.Arg(0), f.Arg(1), a.client.Operator, evacuated)
	if err != nil {
		return err
	}
	return a.print(order, func(w io.Writer) error {
		state := "accepting work"
		if order.Evacuated {
			state = "evacuated"
		}
		_, err := fmt.Fprintf(w, "%s: %s\n", order.Domain, state)
		return err
	})
}

func (a *app) evacuations(ctx context.Context, f *flag.FlagSet) error {
	address, err := one(f, "peer address of a job replica")
	if err != nil {
		return err
	}
	shown, err := operator.Evacuations(ctx, address)
	if err != nil {
		return err
	}
	return a.print(shown, func(w io.Writer) error { return operator.WriteEvacuations(w, shown) })
}

func (a *app) drain(ctx context.Context, f *flag.FlagSet, undo bool) error {
	worker, err := one(f, "worker")
	if err != nil {
		return err
	}
	if err := a.client.Drain(ctx, worker, undo); err != nil {
		return err
	}
	state := "draining"
	if undo {
		state = "accepting work"
	}
	result := map[string]string{"worker": worker, "state": state}
	return a.print(result, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s: %s\n", worker, state)
		return err
	})
}

func (a *app) version(context.Context, *flag.FlagSet) error {
	revision := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		revision = info.Main.Version
	}
	result := struct {
		Revision string `json:"revision"`
		Format   int    `json:"configuration_format"`
	}{revision, config.Format}
	return a.print(result, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "geranium %s, configuration format %d\n", revision, config.Format)
		return err
	})
}
