package transport

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Observe creates the gauges of the budget.
func (b *Budget) Observe(meter metric.Meter) error {
	_, err := meter.Int64ObservableGauge("geranium.files.open", metric.WithUnit("{file}"),
		metric.WithDescription("Open files of the process, sockets included; -1 if not known."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(openFiles())
			return nil
		}))
	if err != nil {
		return fmt.Errorf("create the gauge of open files: %w", err)
	}
	_, err = meter.Int64ObservableGauge("geranium.files.limit", metric.WithUnit("{file}"),
		metric.WithDescription("Files that the process may open."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(b.maxFiles))
			return nil
		}))
	if err != nil {
		return fmt.Errorf("create the gauge of the limit of open files: %w", err)
	}
	if err := b.observePools(meter, "geranium.connections.open", "Open connections by purpose.",
		func(p *Pool) int { return p.open }); err != nil {
		return err
	}
	return b.observePools(meter, "geranium.connections.limit", "Connections that each purpose may have at present.", (*Pool).limit)
}

// observePools creates a gauge with one value for each pool.
func (b *Budget) observePools(meter metric.Meter, name, description string, value func(*Pool) int) error {
	observe := func(_ context.Context, o metric.Int64Observer) error {
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, p := range b.pools {
			o.Observe(int64(value(p)), metric.WithAttributes(attribute.String("purpose", p.name)))
		}
		return nil
	}
	_, err := meter.Int64ObservableGauge(name, metric.WithUnit("{connection}"), metric.WithDescription(description),
		metric.WithInt64Callback(observe))
	if err != nil {
		return fmt.Errorf("create the gauge %s: %w", name, err)
	}
	return nil
}
