package schedulerd

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"geraniumwall/scheduler"
)

// gaugeTimeout bounds the wait for the owner at one collection of the metrics.
const gaugeTimeout = time.Second

// gauge is one value that is read from the status.
type gauge struct {
	name        string
	unit        string
	description string
	value       func(scheduler.Status) float64
	instrument  metric.Float64ObservableGauge
}

func gauges() []*gauge {
	return []*gauge{
		{name: "scheduler.active", description: "1 on the active scheduler of the domain, else 0", value: func(s scheduler.Status) float64 {
			if s.Role == scheduler.RoleActive {
				return 1
			}
			return 0
		}},
		{name: "scheduler.epoch", description: "Epoch of the domain as this scheduler knows it", value: func(s scheduler.Status) float64 { return float64(s.Epoch) }},
		{name: "scheduler.config.version", description: "Configuration version in force", value: func(s scheduler.Status) float64 { return float64(s.Version) }},
		{name: "scheduler.tasks.waiting", description: "Tasks of the domain that wait for a worker", value: func(s scheduler.Status) float64 { return float64(s.Waiting) }},
		{name: "scheduler.tasks.running", description: "Tasks of the domain that run, start or stop", value: func(s scheduler.Status) float64 { return float64(s.Running) }},
		{name: "scheduler.queue.age", unit: "s", description: "Longest time that a task of the domain has waited", value: func(s scheduler.Status) float64 { return s.OldestWaiting.Seconds() }},
		{name: "scheduler.slots.granted", description: "Slots granted to gateways", value: slotsGranted},
	}
}

func slotsGranted(s scheduler.Status) float64 {
	total := 0
	for _, w := range s.Workers {
		total += w.SlotsGranted
	}
	return float64(total)
}

// observe registers the gauges that are read from the status of the core.
func observe(l *loop) error {
	meter := otel.Meter(meterName)
	list := gauges()
	instruments := make([]metric.Observable, 0, len(list)+1)
	var errs []error
	for _, g := range list {
		var err error
		g.instrument, err = meter.Float64ObservableGauge(g.name, metric.WithUnit(g.unit), metric.WithDescription(g.description))
		errs = append(errs, err)
		instruments = append(instruments, g.instrument)
	}
	workers, err := meter.Int64ObservableGauge("scheduler.workers", metric.WithDescription("Workers of the domain, by state"))
	errs = append(errs, err)
	instruments = append(instruments, workers)
	_, err = meter.RegisterCallback(func(ctx context.Context, o metric.Observer) error {
		status, err := l.status(ctx)
		if err != nil {
			return err
		}
		for _, g := range list {
			o.ObserveFloat64(g.instrument, g.value(status))
		}
		for state, n := range workersByState(status) {
			o.ObserveInt64(workers, n, metric.WithAttributes(attribute.String("state", state)))
		}
		return nil
	}, instruments...)
	if err := errors.Join(append(errs, err)...); err != nil {
		return fmt.Errorf("create gauges: %w", err)
	}
	return nil
}

// status reads the status of the core. The result is handed over through a
// channel, since the step may still run after a timeout.
func (l *loop) status(ctx context.Context) (scheduler.Status, error) {
	bounded, cancel := context.WithTimeout(ctx, gaugeTimeout)
	defer cancel()
	found := make(chan scheduler.Status, 1)
	l.send(func(now time.Duration, core *scheduler.Core) { found <- core.Status(now) })
	select {
	case s := <-found:
		return s, nil
	case <-bounded.Done():
		return scheduler.Status{}, errStopped
	}
}

func workersByState(s scheduler.Status) map[string]int64 {
	states := map[string]int64{}
	for _, w := range s.Workers {
		states[w.State]++
	}
	return states
}
