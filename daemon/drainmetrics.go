package daemon

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

const meterName = "geraniumwall/daemon"

// DrainMetrics are the instruments of drains.
type DrainMetrics struct {
	requests metric.Int64Counter
	duration metric.Float64Histogram
}

// NewDrainMetrics creates the instruments.
func NewDrainMetrics(meter metric.Meter) (*DrainMetrics, error) {
	requests, err := meter.Int64Counter("geranium.drain.requests", metric.WithUnit("{request}"),
		metric.WithDescription("Requests that ended while the process drained, by outcome: answered, refused or cut_off."))
	if err != nil {
		return nil, fmt.Errorf("create the drain counter: %w", err)
	}
	duration, err := meter.Float64Histogram("geranium.drain.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from the beginning of a drain to its end."))
	if err != nil {
		return nil, fmt.Errorf("create the drain duration histogram: %w", err)
	}
	return &DrainMetrics{requests, duration}, nil
}

func (m *DrainMetrics) record(r DrainReport) {
	for outcome, n := range map[string]int{"answered": r.Answered, "refused": r.Refused, "cut_off": len(r.CutOff)} {
		m.requests.Add(context.Background(), int64(n), metric.WithAttributes(attribute.String("outcome", outcome)))
	}
	m.duration.Record(context.Background(), r.Duration.Seconds())
}
