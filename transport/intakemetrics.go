package transport

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Observe creates the instruments of the intake.
func (in *Intake) Observe(meter metric.Meter) error {
	for _, gauge := range []struct {
		name, unit, description string
		value                   func(*Port) int64
	}{
		{"geranium.intake.used", "By", "Room that requests in progress hold, by purpose.", (*Port).used},
		{"geranium.intake.limit", "By", "Room for requests in progress, by purpose.", (*Port).limit},
		{"geranium.intake.connections", "{connection}", "Accepted connections, by purpose.", (*Port).connections},
		{"geranium.intake.bodies", "{request}", "Requests whose body is being read, by purpose.", (*Port).reading},
	} {
		_, err := meter.Int64ObservableGauge(gauge.name, metric.WithUnit(gauge.unit), metric.WithDescription(gauge.description),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				for _, p := range in.list() {
					o.Observe(gauge.value(p), metric.WithAttributes(attribute.String("purpose", p.Purpose)))
				}
				return nil
			}))
		if err != nil {
			return fmt.Errorf("create the gauge %s: %w", gauge.name, err)
		}
	}
	_, err := meter.Int64ObservableCounter("geranium.intake.refused", metric.WithUnit("{request}"),
		metric.WithDescription("Requests and connections that were refused or given up for the limits of clients, by reason."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for why := reasonNone + 1; why < reasons; why++ {
				o.Observe(in.refused[why].Load(), metric.WithAttributes(attribute.String("reason", reasonNames[why])))
			}
			return nil
		}))
	if err != nil {
		return fmt.Errorf("create the counter of refusals: %w", err)
	}
	return nil
}

func (in *Intake) list() []*Port {
	in.mu.Lock()
	defer in.mu.Unlock()
	return append([]*Port(nil), in.ports...)
}

func (p *Port) used() int64 {
	used := p.main.used.Load()
	if p.relayed != nil {
		used += p.relayed.used.Load()
	}
	return used
}

func (p *Port) limit() int64 {
	limit := p.main.limit
	if p.relayed != nil {
		limit += p.relayed.limit
	}
	return limit
}

func (p *Port) connections() int64 {
	p.intake.mu.Lock()
	defer p.intake.mu.Unlock()
	return p.open
}

func (p *Port) reading() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int64(len(p.bodies))
}
