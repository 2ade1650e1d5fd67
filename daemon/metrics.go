package daemon

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/exporters/otlp/otlpmetric/otlpmetrichttp"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/sdk/metric"

	"geraniumwall/settings"
)

// PathMetrics is the path of the metrics server.
const PathMetrics = "/metrics"

// pushInterval is the time between two pushes to an OTLP endpoint.
const pushInterval = 10 * time.Second

// flushWithin bounds the last push, so that an endpoint that does not answer delays
// the end of the process only a little.
const flushWithin = 3 * time.Second

// MetricsOption changes how metrics leave the process.
type MetricsOption func(context.Context) ([]metric.Option, error)

// WithOTLP also pushes the metrics every 10 s to an OTLP endpoint, given as the
// URL of its metrics path. An empty endpoint pushes nothing. An endpoint that does
// not answer costs metrics only; the process goes on.
func WithOTLP(endpoint string) MetricsOption {
	return func(ctx context.Context) ([]metric.Option, error) {
		if endpoint == "" {
			return nil, nil
		}
		exporter, err := otlpmetrichttp.New(ctx, otlpmetrichttp.WithEndpointURL(endpoint))
		if err != nil {
			return nil, fmt.Errorf("push metrics to %s: %w; correct otlp_endpoint in the settings", endpoint, err)
		}
		reader := metric.NewPeriodicReader(exporter, metric.WithInterval(pushInterval))
		return []metric.Option{metric.WithReader(reader)}, nil
	}
}

// FlushMetrics pushes the metrics a last time. The instruments record nothing after
// it.
func FlushMetrics(ctx context.Context) error {
	provider, ok := otel.GetMeterProvider().(*metric.MeterProvider)
	if !ok {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, flushWithin)
	defer cancel()
	return provider.Shutdown(bounded)
}

// CheckOTLP reports a problem of the setting otlp_endpoint to c.
func CheckOTLP(c *settings.Checker, endpoint string) {
	if endpoint == "" {
		return
	}
	u, err := url.Parse(endpoint)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.Add("otlp_endpoint", fmt.Sprintf("%q is not a URL", endpoint), "use the form http://192.0.2.1:4318/v1/metrics or leave it empty")
	}
}

// ServeMetrics sets the global meter provider and serves its metrics on address in
// the Prometheus text format. An empty address serves none and returns no server.
// Call it before instruments are made.
func ServeMetrics(ctx context.Context, address string, options ...MetricsOption) (*Server, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, fmt.Errorf("start the metrics exporter: %w", err)
	}
	provided := []metric.Option{metric.WithReader(exporter)}
	for _, option := range options {
		more, err := option(ctx)
		if err != nil {
			return nil, err
		}
		provided = append(provided, more...)
	}
	otel.SetMeterProvider(metric.NewMeterProvider(provided...))
	if address == "" {
		return nil, nil
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+PathMetrics, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	server, err := Listen(ctx, address, mux)
	if err != nil {
		return nil, err
	}
	server.Serve()
	return server, nil
}
