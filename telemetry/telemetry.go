// Package telemetry exports the OpenTelemetry metrics of a process: in
// Prometheus form on a local port, and by OTLP over HTTP when an endpoint is set.
package telemetry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlpmetric/otlpmetrichttp"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"

	"geraniumwall/daemon"
)

const (
	pathMetrics     = "/metrics"
	shutdownTimeout = 2 * time.Second
)

// Options names the process and where its metrics go.
type Options struct {
	Process string
	Kind    string
	Domain  string
	// Listen is the address of the Prometheus endpoint; empty for none.
	Listen string
	// OTLPEndpoint is the URL of an OTLP collector; empty for none.
	OTLPEndpoint string
}

// Start installs the global meter provider and serves /metrics. The returned
// function flushes and stops both.
func Start(ctx context.Context, o Options) (func(), error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, fmt.Errorf("create the Prometheus exporter: %w", err)
	}
	options := []metric.Option{
		metric.WithReader(exporter),
		metric.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "geranium-"+o.Kind),
			attribute.String("service.instance.id", o.Process),
			attribute.String("geranium.domain", o.Domain),
		)),
	}
	if o.OTLPEndpoint != "" {
		push, err := otlpmetrichttp.New(ctx, otlpmetrichttp.WithEndpointURL(o.OTLPEndpoint))
		if err != nil {
			return nil, fmt.Errorf("create the OTLP exporter: %w; correct otlp_endpoint in the settings", err)
		}
		options = append(options, metric.WithReader(metric.NewPeriodicReader(push)))
	}
	provider := metric.NewMeterProvider(options...)
	otel.SetMeterProvider(provider)
	server, err := serve(ctx, o.Listen, registry)
	if err != nil {
		return nil, errors.Join(err, provider.Shutdown(ctx))
	}
	return func() { stop(provider, server) }, nil
}

func serve(ctx context.Context, listen string, registry *prometheus.Registry) (*daemon.Server, error) {
	if listen == "" {
		return nil, nil //nolint:nilnil // no address means no endpoint
	}
	mux := http.NewServeMux()
	mux.Handle(pathMetrics, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	server, err := daemon.Listen(ctx, listen, mux)
	if err != nil {
		return nil, err
	}
	server.Serve()
	return server, nil
}

func stop(provider *metric.MeterProvider, server *daemon.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server != nil {
		_ = server.Shutdown(ctx)
	}
	_ = provider.Shutdown(ctx)
}
