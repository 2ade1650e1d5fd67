package jobd

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"geraniumwall/jobs"
	"geraniumwall/jobs/dispatch"
)

// Metrics are the instruments of a job replica.
type Metrics struct {
	orders   metric.Int64Counter
	ended    metric.Int64Counter
	repairs  metric.Int64Counter
	crashes  metric.Int64Counter
	duration metric.Float64Histogram
}

// NewMetrics creates the instruments.
func NewMetrics(meter metric.Meter) (*Metrics, error) {
	orders, err := meter.Int64Counter("geranium.jobs.orders", metric.WithUnit("{order}"),
		metric.WithDescription("Orders to workers by kind."))
	if err != nil {
		return nil, fmt.Errorf("create the order counter: %w", err)
	}
	ended, err := meter.Int64Counter("geranium.jobs.ended", metric.WithUnit("{job}"),
		metric.WithDescription("Jobs that have ended, by queue and state."))
	if err != nil {
		return nil, fmt.Errorf("create the job counter: %w", err)
	}
	repairs, err := meter.Int64Counter("geranium.jobs.repairs", metric.WithUnit("{repair}"),
		metric.WithDescription("Differences between the log and the dispatcher that an audit has repaired, by event."))
	if err != nil {
		return nil, fmt.Errorf("create the repair counter: %w", err)
	}
	crashes, err := meter.Int64Counter("geranium.jobs.crashes", metric.WithUnit("{attempt}"),
		metric.WithDescription("Attempts that ended with the crash of their worker, by queue."))
	if err != nil {
		return nil, fmt.Errorf("create the crash counter: %w", err)
	}
	took, err := meter.Float64Histogram("geranium.jobs.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from the acceptance of a job to its end."))
	if err != nil {
		return nil, fmt.Errorf("create the job duration histogram: %w", err)
	}
	return &Metrics{orders, ended, repairs, crashes, took}, nil
}

func orderKind(o *dispatch.Order) string {
	switch {
	case o.Start != nil:
		return "start"
	case o.Stop != nil:
		return "stop"
	case o.Pace != nil:
		return "pace"
	}
	return "hold"
}

func (m *Metrics) recordOrder(o *dispatch.Order) {
	m.orders.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", orderKind(o))))
}

func (m *Metrics) recordRepair(event string) {
	m.repairs.Add(context.Background(), 1, metric.WithAttributes(attribute.String("event", event)))
}

func (m *Metrics) recordCrash(j *jobs.Job) {
	m.crashes.Add(context.Background(), 1, metric.WithAttributes(attribute.String("queue", j.Queue)))
}

func (m *Metrics) recordJobEnded(j *jobs.Job) {
	labels := metric.WithAttributes(attribute.String("queue", j.Queue), attribute.String("state", string(j.State)))
	m.ended.Add(context.Background(), 1, labels)
	m.duration.Record(context.Background(), float64(j.EndedAt-j.AcceptedAt)/1000, labels)
}
