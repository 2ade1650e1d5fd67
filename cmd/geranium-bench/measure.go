package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/subcommands"

	"geraniumwall/load"
)

// Bounds of the measurements.
const (
	measureRounds      = 3
	measureInFlight    = 128
	throughputSenders  = 64
	throughputDuration = 4 * time.Second
	allocationRequests = 2000
	readyTimeout       = 10 * time.Second
	readyPause         = 50 * time.Millisecond
	requestBody        = `{"echo":"0123456789abcdef"}`
)

// measureCommand is "geranium-bench measure".
type measureCommand struct {
	gateway  string
	metrics  string
	direct   string
	rate     float64
	duration time.Duration
	pids     string
}

// Name returns the name of the command.
func (*measureCommand) Name() string { return "measure" }

// Synopsis returns one line of help.
func (*measureCommand) Synopsis() string { return "measure a gateway against direct calls" }

// Usage returns the help.
func (*measureCommand) Usage() string {
	return "measure -gateway host:port -metrics host:port -direct host:port [-pids name=pid,...]\n"
}

// SetFlags declares the flags.
func (c *measureCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.gateway, "gateway", "127.0.0.1:7610", "address of the gateway")
	f.StringVar(&c.metrics, "metrics", "127.0.0.1:7611", "address of the gateway's metrics")
	f.StringVar(&c.direct, "direct", "127.0.0.1:7600", "address of the stand-in")
	f.Float64Var(&c.rate, "rate", 5000, "requests per second for the latency")
	f.DurationVar(&c.duration, "duration", 5*time.Second, "length of each latency run")
	f.StringVar(&c.pids, "pids", "", "processes whose idle memory is measured, name=pid,...")
}

// Execute measures and prints one JSON object a line.
func (c *measureCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *measureCommand) run(ctx context.Context) error {
	if err := c.waitReady(ctx); err != nil {
		return err
	}
	steps := []func(context.Context) ([]load.Measurement, error){
		c.idleMemory, c.allocations, c.latency, c.throughput,
	}
	for _, step := range steps {
		lines, err := step(ctx)
		if err != nil {
			return err
		}
		if err := load.WriteMeasurements(os.Stdout, lines...); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// waitReady waits until a request passes through the gateway.
func (c *measureCommand) waitReady(ctx context.Context) error {
	sender := c.throughGateway(1)
	for start := time.Now(); time.Since(start) < readyTimeout; time.Sleep(readyPause) {
		if sender.Send(ctx, load.Request{Kind: benchKind()}).Status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("gateway %s answered no request in %v; see its log", c.gateway, readyTimeout)
}

func benchKind() load.Kind {
	return load.Kind{Name: standInService, Weight: 1, Service: standInService, Body: requestBody}
}

func (c *measureCommand) throughGateway(connections int) load.Sender {
	return load.NewGatewaySender([]string{c.gateway}, fmt.Sprintf("bench-%d", time.Now().UnixNano()), connections)
}

func (c *measureCommand) directly(connections int) load.Sender {
	return &load.DirectSender{
		Target: c.direct, Session: standInSession,
		Client: &http.Client{Transport: load.NewTransport(connections)},
	}
}

// latency alternates direct and gateway runs and compares the medians of the
// rounds.
func (c *measureCommand) latency(ctx context.Context) ([]load.Measurement, error) {
	var direct, through samples
	for round := range measureRounds {
		if err := c.latencyRun(ctx, c.directly(measureInFlight), uint64(round), &direct); err != nil {
			return nil, err
		}
		if err := c.latencyRun(ctx, c.throughGateway(measureInFlight), uint64(round), &through); err != nil {
			return nil, err
		}
	}
	d50, d99 := median(direct.p50), median(direct.p99)
	g50, g99 := median(through.p50), median(through.p99)
	return []load.Measurement{
		{Name: "gateway_added_latency_p50", Value: g50 - d50, Unit: "ms", Baseline: d50, Ratio: g50 / d50, N: through.count},
		{Name: "gateway_added_latency_p99", Value: g99 - d99, Unit: "ms", Baseline: d99, Ratio: g99 / d99, N: through.count},
		{Name: "gateway_latency_errors", Value: float64(through.failed), Unit: "requests", N: through.count},
	}, nil
}

// samples holds the figures of several runs.
type samples struct {
	p50, p99 []float64
	count    int64
	failed   int64
}

func (c *measureCommand) latencyRun(ctx context.Context, s load.Sender, seed uint64, into *samples) error {
	report, err := load.Run(ctx, load.Options{
		Kinds: []load.Kind{benchKind()}, Rate: c.rate, Duration: c.duration, MaxInFlight: measureInFlight, Seed: seed,
	}, s)
	if err != nil {
		return err
	}
	for _, k := range report.Kinds {
		into.p50 = append(into.p50, k.P50MS)
		into.p99 = append(into.p99, k.P99MS)
		into.count += k.Count
		into.failed += k.Count - k.Outcomes["done"] - k.Outcomes["none"]
	}
	return ctx.Err()
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// throughput measures requests per second of senders that wait for each answer.
func (c *measureCommand) throughput(ctx context.Context) ([]load.Measurement, error) {
	direct, _ := closedLoop(ctx, c.directly(throughputSenders))
	before, err := c.metric(ctx, processorMetric)
	if err != nil {
		return nil, err
	}
	through, n := closedLoop(ctx, c.throughGateway(throughputSenders))
	after, err := c.metric(ctx, processorMetric)
	if err != nil {
		return nil, err
	}
	return []load.Measurement{
		{Name: "gateway_throughput", Value: through, Unit: "requests/s", Baseline: direct, Ratio: through / direct, N: n},
		{Name: "gateway_processor_time_per_request", Value: (after - before) / float64(n) * microsPerSecond, Unit: "us", N: n},
	}, ctx.Err()
}

func closedLoop(ctx context.Context, s load.Sender) (rate float64, n int64) {
	var answered, sequence atomic.Int64
	var senders sync.WaitGroup
	start := time.Now()
	for range throughputSenders {
		senders.Go(func() {
			for time.Since(start) < throughputDuration && ctx.Err() == nil {
				r := load.Request{Sequence: uint64(sequence.Add(1)), Kind: benchKind()}
				if s.Send(ctx, r).Status == http.StatusOK {
					answered.Add(1)
				}
			}
		})
	}
	senders.Wait()
	return float64(answered.Load()) / time.Since(start).Seconds(), answered.Load()
}
