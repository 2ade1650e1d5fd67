package entry

import (
	"context"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Metrics are the instruments of an entry process.
type Metrics struct {
	requests metric.Int64Counter
	duration metric.Float64Histogram
}

// NewMetrics creates the instruments.
func NewMetrics(meter metric.Meter) (*Metrics, error) {
	requests, err := meter.Int64Counter("geranium.entry.requests", metric.WithUnit("{request}"),
		metric.WithDescription("Requests of callers by method and status."))
	if err != nil {
		return nil, fmt.Errorf("create the request counter: %w", err)
	}
	duration, err := meter.Float64Histogram("geranium.entry.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from the arrival of a request to its answer."))
	if err != nil {
		return nil, fmt.Errorf("create the request duration histogram: %w", err)
	}
	return &Metrics{requests, duration}, nil
}

func (m *Metrics) recordRequest(method string, status int, elapsed time.Duration) {
	attributes := metric.WithAttributes(attribute.String("method", method), attribute.Int("status", status))
	m.requests.Add(context.Background(), 1, attributes)
	m.duration.Record(context.Background(), elapsed.Seconds(), metric.WithAttributes(attribute.String("method", method)))
}
