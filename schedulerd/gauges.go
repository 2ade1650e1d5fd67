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

// gaugeTimeout bounds the wait for the core actor in one collection of the metrics.
const gaugeTimeout = time.Second

// gauge is a gauge whose value is read from the status of the core.
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
		{name: "scheduler.task_lease.age", unit: "s", description: "Longest time since the lease of a running task was renewed", value: func(s scheduler.Status) float64 { return s.TaskLeaseAge.Seconds() }},
		{name: "scheduler.eviction.budget", description: "Evictions that the budget permits now", value: func(s scheduler.Status) float64 { return s.EvictionsLeft }},
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

// gaugeVecs returns the gauges with one value per value of an attribute.
func gaugeVecs() []*gaugeVec {
	return []*gaugeVec{
		{
			name: "scheduler.workers", attribute: "state", description: "Workers of the domain, by state",
			values: workersByState,
		},
		{
			name: "scheduler.queue.age", attribute: "class", unit: "s",
			description: "Longest time that a task of the domain has waited, by class",
			values: func(s scheduler.Status) map[string]float64 {
				ages := map[string]float64{}
				for class, age := range s.OldestWaiting {
					ages[string(class)] = age.Seconds()
				}
				return ages
			},
		},
		{
			name: "scheduler.lease.remaining", attribute: "lease", unit: "s",
			description: "What is left of the scheduler lease and the domain lease; 0 for one that is not held",
			values: func(s scheduler.Status) map[string]float64 {
				return map[string]float64{"scheduler": s.SchedulerLease.Seconds(), "domain": s.DomainLease.Seconds()}
			},
		},
	}
}

// gaugeVec is a gauge with one value per value of an attribute.
type gaugeVec struct {
	name        string
	unit        string
	attribute   string
	description string
	values      func(scheduler.Status) map[string]float64
	instrument  metric.Float64ObservableGauge
}

func (g *gaugeVec) observe(o metric.Observer, s scheduler.Status) {
	for attributeValue, value := range g.values(s) {
		o.ObserveFloat64(g.instrument, value, metric.WithAttributes(attribute.String(g.attribute, attributeValue)))
	}
}

// registerGauges registers the gauges that are read from the status of the core.
func registerGauges(core *coreRef) error {
	meter := otel.Meter(meterName)
	scalars, vecs := gauges(), gaugeVecs()
	instruments := make([]metric.Observable, 0, len(scalars)+len(vecs))
	var errs []error
	for _, g := range scalars {
		var err error
		g.instrument, err = meter.Float64ObservableGauge(g.name, metric.WithUnit(g.unit), metric.WithDescription(g.description))
		errs = append(errs, err)
		instruments = append(instruments, g.instrument)
	}
	for _, g := range vecs {
		var err error
		g.instrument, err = meter.Float64ObservableGauge(g.name, metric.WithUnit(g.unit), metric.WithDescription(g.description))
		errs = append(errs, err)
		instruments = append(instruments, g.instrument)
	}
	_, err := meter.RegisterCallback(func(ctx context.Context, o metric.Observer) error {
		status, err := core.status(ctx)
		if err != nil {
			// An error would drop the final push, which follows the stop of the actor.
			return nil //nolint:nilerr // this collection skips the gauges
		}
		for _, g := range scalars {
			o.ObserveFloat64(g.instrument, g.value(status))
		}
		for _, g := range vecs {
			g.observe(o, status)
		}
		return nil
	}, instruments...)
	if err := errors.Join(append(errs, err)...); err != nil {
		return fmt.Errorf("create gauges: %w", err)
	}
	return nil
}

// status returns the status of the core. The call sends it over a channel instead of
// setting a variable, because it may still run after the timeout.
func (r *coreRef) status(ctx context.Context) (scheduler.Status, error) {
	statusCtx, cancel := context.WithTimeout(ctx, gaugeTimeout)
	defer cancel()
	result := make(chan scheduler.Status, 1)
	r.send(func(now time.Duration, core *scheduler.Core) { result <- core.Status(now) })
	select {
	case s := <-result:
		return s, nil
	case <-statusCtx.Done():
		return scheduler.Status{}, errUnavailable
	}
}

func workersByState(s scheduler.Status) map[string]float64 {
	states := map[string]float64{}
	for _, w := range s.Workers {
		states[w.State]++
	}
	return states
}
