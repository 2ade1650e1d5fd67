package daemon_test

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"geraniumwall/control"
	"geraniumwall/daemon"
	"geraniumwall/entry"
	"geraniumwall/gateway"
	"geraniumwall/jobd"
	"geraniumwall/policy/engine"
	"geraniumwall/schedulerd"
	"geraniumwall/transport"
)

const metricsPage = "../docs/metrics.md"

var update = flag.Bool("update", false, "write docs/metrics.md")

// recorder keeps one line for each instrument that a process makes.
type recorder struct {
	noop.Meter
	rows *[]string
}

func (r recorder) add(name, kind, unit, description string) {
	*r.rows = append(*r.rows, fmt.Sprintf("| `%s` | %s | %s | %s |", name, kind, unit, description))
}

func (r recorder) Int64Counter(name string, o ...metric.Int64CounterOption) (metric.Int64Counter, error) {
	c := metric.NewInt64CounterConfig(o...)
	r.add(name, "counter", c.Unit(), c.Description())
	return r.Meter.Int64Counter(name, o...)
}

func (r recorder) Float64Counter(name string, o ...metric.Float64CounterOption) (metric.Float64Counter, error) {
	c := metric.NewFloat64CounterConfig(o...)
	r.add(name, "counter", c.Unit(), c.Description())
	return r.Meter.Float64Counter(name, o...)
}

func (r recorder) Int64Histogram(name string, o ...metric.Int64HistogramOption) (metric.Int64Histogram, error) {
	c := metric.NewInt64HistogramConfig(o...)
	r.add(name, "histogram", c.Unit(), c.Description())
	return r.Meter.Int64Histogram(name, o...)
}

func (r recorder) Float64Histogram(name string, o ...metric.Float64HistogramOption) (metric.Float64Histogram, error) {
	c := metric.NewFloat64HistogramConfig(o...)
	r.add(name, "histogram", c.Unit(), c.Description())
	return r.Meter.Float64Histogram(name, o...)
}

func (r recorder) Int64ObservableGauge(name string, o ...metric.Int64ObservableGaugeOption) (metric.Int64ObservableGauge, error) {
	c := metric.NewInt64ObservableGaugeConfig(o...)
	r.add(name, "gauge", c.Unit(), c.Description())
	return r.Meter.Int64ObservableGauge(name, o...)
}

func (r recorder) Float64ObservableGauge(name string, o ...metric.Float64ObservableGaugeOption) (metric.Float64ObservableGauge, error) {
	c := metric.NewFloat64ObservableGaugeConfig(o...)
	r.add(name, "gauge", c.Unit(), c.Description())
	return r.Meter.Float64ObservableGauge(name, o...)
}

func (r recorder) Int64ObservableCounter(name string, o ...metric.Int64ObservableCounterOption) (metric.Int64ObservableCounter, error) {
	c := metric.NewInt64ObservableCounterConfig(o...)
	r.add(name, "counter", c.Unit(), c.Description())
	return r.Meter.Int64ObservableCounter(name, o...)
}

type recordingProvider struct {
	noop.MeterProvider
	recorder
}

func (p recordingProvider) Meter(string, ...metric.MeterOption) metric.Meter { return p.recorder }

// instruments returns the sorted rows of a process that make starts, with those that all
// processes share.
func instruments(make func(metric.Meter)) []string {
	r := recorder{rows: &[]string{}}
	make(r)
	_, err := daemon.NewDrainMetrics(r)
	Expect(err).NotTo(HaveOccurred())
	Expect(transport.NewIntake(transport.IntakeSettings{}, 0, zerolog.Nop()).Observe(r)).To(Succeed())
	slices.Sort(*r.rows)
	// A scheduler makes the instruments of its intake itself.
	return slices.Compact(*r.rows)
}

func controlInstruments(m metric.Meter) {
	settings := control.Settings{
		Name: "c", Domain: "a", Listen: "127.0.0.1:0", DataDir: GinkgoT().TempDir(), ReplicaID: 1, SingleDomainOK: true, StateMayBeLost: true,
		Replicas: []control.ReplicaAddress{{ID: 1, Address: "127.0.0.1:1", Domain: "a"}},
	}
	store, stored, err := control.OpenStorage(settings, func() error { return nil })
	Expect(err).NotTo(HaveOccurred())
	defer store.Close()
	s, err := control.New(control.Options{Settings: settings, Storage: store, Stored: stored, Log: zerolog.Nop(), Meter: m})
	Expect(err).NotTo(HaveOccurred())
	s.Stop()
}

func schedulerInstruments(m metric.Meter) {
	before := otel.GetMeterProvider()
	defer otel.SetMeterProvider(before)
	otel.SetMeterProvider(recordingProvider{recorder: m.(recorder)})
	_, err := schedulerd.New(&schedulerd.Settings{
		Name: "s", Domain: "a", Listen: "127.0.0.1:0", Control: []string{"127.0.0.1:1"},
	}, zerolog.Nop(), engine.New(1))
	Expect(err).NotTo(HaveOccurred())
}

func gatewayInstruments(m metric.Meter) {
	_, err := gateway.New(gateway.Options{
		Name: "g", Domain: "a", Control: []string{"127.0.0.1:1"}, Clock: gateway.NewClock(), Log: zerolog.Nop(), Meter: m,
	})
	Expect(err).NotTo(HaveOccurred())
}

func jobInstruments(m metric.Meter) {
	_, err := jobd.NewMetrics(m)
	Expect(err).NotTo(HaveOccurred())
	Expect(transport.NewBudget(0, zerolog.Nop()).Observe(m)).To(Succeed())
}

func entryInstruments(m metric.Meter) {
	_, err := entry.NewMetrics(m)
	Expect(err).NotTo(HaveOccurred())
	Expect(transport.NewBudget(0, zerolog.Nop()).Observe(m)).To(Succeed())
}

func page() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\nThis page is generated: `go test ./daemon -update`. Each process serves its metrics on " +
		"`metrics_listen` under `/metrics` in the Prometheus text format, where a dot in a name becomes an underscore and " +
		"units and `_total` are appended, and pushes them to `otlp_endpoint` every 10 s and at its end if it is set.\n")
	for _, process := range []struct {
		name string
		make func(metric.Meter)
	}{
		{"geranium-control", controlInstruments},
		{"geranium-scheduler", schedulerInstruments},
		{"geranium-gateway", gatewayInstruments},
		{"geranium-jobs", jobInstruments},
		{"geranium-entry", entryInstruments},
	} {
		fmt.Fprintf(&b, "\n## %s\n\n| name | kind | unit | meaning |\n|---|---|---|---|\n%s\n",
			process.name, strings.Join(instruments(process.make), "\n"))
	}
	return b.String()
}

var _ = Describe("Metrics", func() {
	It("are described in docs/metrics.md", func() {
		want := page()
		Expect(want).NotTo(ContainSubstring("|  |\n"), "an instrument has no description")
		if *update {
			Expect(os.WriteFile(metricsPage, []byte(want), 0o600)).To(Succeed())
		}
		found, err := os.ReadFile(metricsPage)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(found)).To(Equal(want), "run go test ./daemon -update")
	})

	It("are pushed to an OTLP endpoint", func(ctx context.Context) {
		before := otel.GetMeterProvider()
		defer otel.SetMeterProvider(before)
		pushes := make(chan string, 1)
		collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			select {
			case pushes <- r.URL.Path:
			default:
			}
		}))
		defer collector.Close()
		server, err := daemon.ServeMetrics(ctx, "", daemon.WithOTLP(collector.URL+"/v1/metrics"))
		Expect(err).NotTo(HaveOccurred())
		Expect(server).To(BeNil())
		counter, err := otel.Meter("test").Int64Counter("pushed")
		Expect(err).NotTo(HaveOccurred())
		counter.Add(ctx, 1)
		Expect(otel.GetMeterProvider().(*sdk.MeterProvider).ForceFlush(ctx)).To(Succeed())
		Expect(pushes).To(Receive(Equal("/v1/metrics")))
	})
})
