package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"geraniumwall/raft"
)

// metrics are the instruments of a replica.
type metrics struct {
	proposals metric.Float64Histogram
}

func newMetrics(meter metric.Meter, s *Server) (*metrics, error) {
	proposals, err := meter.Float64Histogram("control.proposal.duration",
		metric.WithUnit("s"), metric.WithDescription("Time from a request to its application by the log."))
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	gauges := map[string]func(*view) int64{
		"control.applied.index": func(v *view) int64 { return int64(v.applied) },
		"control.commit.index":  func(v *view) int64 { return int64(v.status.Commit) },
		"control.term":          func(v *view) int64 { return int64(v.status.Term) },
		"control.leader":        func(v *view) int64 { return boolGauge(v.status.Role == raft.RoleLeader) },
	}
	for name, value := range gauges {
		_, err := meter.Int64ObservableGauge(name, metric.WithInt64Callback(
			func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(value(s.view.Load()))
				return nil
			}))
		if err != nil {
			return nil, fmt.Errorf("metrics: %w", err)
		}
	}
	return &metrics{proposals: proposals}, nil
}

func boolGauge(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// proposal records the time and the fate of a proposal.
func (m *metrics) proposal(d time.Duration, err error) {
	fate := "applied"
	switch {
	case errors.Is(err, errUnresolved):
		fate = "unknown"
	case err != nil:
		fate = "refused"
	}
	m.proposals.Record(context.Background(), d.Seconds(), metric.WithAttributes(attribute.String("fate", fate)))
}
