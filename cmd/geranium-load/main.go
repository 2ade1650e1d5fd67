// Command geranium-load sends an open-loop load to gateways and prints latencies
// and outcomes.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/google/uuid"

	"geraniumwall/load"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&runCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(int(subcommands.Execute(ctx)))
}

// runCommand is "geranium-load run".
type runCommand struct {
	gateways string
	mix      string
	service  string
	body     string
	rate     float64
	duration time.Duration
	inFlight int
	seed     uint64
	asJSON   bool
}

// Name returns the name of the command.
func (*runCommand) Name() string { return "run" }

// Synopsis returns one line of help.
func (*runCommand) Synopsis() string { return "send a load to gateways" }

// Usage returns the help.
func (*runCommand) Usage() string {
	return `run -gateways host:port,... [-service name | -mix file] [-rate n] [-duration d]
The mix file is a JSON list of {"name","weight","service"|"job","body","keyed","deadline_ms"}.
`
}

// SetFlags declares the flags.
func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.gateways, "gateways", "127.0.0.1:7000", "addresses of gateways, separated by commas")
	f.StringVar(&c.mix, "mix", "", "JSON file with kinds of requests")
	f.StringVar(&c.service, "service", "", "idempotent service to call when there is no mix")
	f.StringVar(&c.body, "body", "{}", "body of the requests when there is no mix")
	f.Float64Var(&c.rate, "rate", 100, "mean requests per second")
	f.DurationVar(&c.duration, "duration", 10*time.Second, "length of the run")
	f.IntVar(&c.inFlight, "in-flight", 256, "most requests without an answer")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the arrivals")
	f.BoolVar(&c.asJSON, "json", false, "print JSON")
}

// Execute runs the load.
func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *runCommand) run(ctx context.Context) error {
	kinds, err := c.kinds()
	if err != nil {
		return err
	}
	sender := load.NewGatewaySender(strings.Split(c.gateways, ","), uuid.NewString(), c.inFlight)
	report, err := load.Run(ctx, load.Options{
		Kinds: kinds, Rate: c.rate, Duration: c.duration, MaxInFlight: c.inFlight, Seed: c.seed,
	}, sender)
	if err != nil {
		return err
	}
	if c.asJSON {
		return json.NewEncoder(os.Stdout).Encode(report)
	}
	return report.WriteTable(os.Stdout)
}

func (c *runCommand) kinds() ([]load.Kind, error) {
	if c.mix == "" {
		return []load.Kind{{Name: c.service, Weight: 1, Service: c.service, Body: c.body}}, nil
	}
	document, err := os.ReadFile(c.mix)
	if err != nil {
		return nil, fmt.Errorf("read the mix: %w", err)
	}
	var kinds []load.Kind
	if err := json.Unmarshal(document, &kinds); err != nil {
		return nil, fmt.Errorf("read the mix %s: %w", c.mix, err)
	}
	return kinds, nil
}
