package schedulerd

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"geraniumwall/rpc/controlpb"
	"geraniumwall/scheduler"
	"geraniumwall/workerapi"
)

const meterName = "geraniumwall/scheduler"

// metrics holds the counters and histograms of the process.
type metrics struct {
	heartbeats metric.Int64Counter
	starts     metric.Int64Counter
	syncs      metric.Int64Counter
	grants     metric.Int64Histogram
	renewals   metric.Int64Counter
	events     metric.Int64Counter
	evictions  metric.Int64Counter
	decisions  metric.Int64Counter
}

func newMetrics() (*metrics, error) {
	m := &metrics{}
	meter := otel.Meter(meterName)
	var errs []error
	counter := func(name, description string) metric.Int64Counter {
		c, err := meter.Int64Counter(name, metric.WithDescription(description))
		errs = append(errs, err)
		return c
	}
	m.heartbeats = counter("scheduler.heartbeats", "Heartbeats received, by whether they were accepted")
	m.starts = counter("scheduler.starts", "Starts sent to workers, by outcome")
	m.syncs = counter("scheduler.grant_syncs", "Grant syncs answered")
	m.renewals = counter("scheduler.lease_renewals", "Lease requests to the control replicas, by result")
	m.events = counter("scheduler.task_events", "Task events sent to the control replicas, by kind and result")
	m.evictions = counter("scheduler.evictions", "Evictions recorded by the control replicas, by reason: "+
		"interference, drain, worker_lost, unknown_start, or worker if it stopped the task itself")
	m.decisions = counter("scheduler.decisions", "Decisions recorded in the audit trail, by kind")
	grants, err := meter.Int64Histogram("scheduler.grants_per_sync", metric.WithDescription("Grants in one answer to a gateway"))
	m.grants = grants
	if err := errors.Join(append(errs, err)...); err != nil {
		return nil, fmt.Errorf("create metrics: %w", err)
	}
	return m, nil
}

func okAttribute(ok bool) metric.AddOption {
	return metric.WithAttributes(attribute.Bool("ok", ok))
}

func (m *metrics) countHeartbeat(ctx context.Context, refusal error) {
	m.heartbeats.Add(ctx, 1, okAttribute(refusal == nil))
}

func (m *metrics) countStart(ctx context.Context, r scheduler.StartResult) {
	outcome := r.Answer.Outcome
	if r.Failed {
		outcome = workerapi.OutcomeUnknown
	}
	m.starts.Add(ctx, 1, metric.WithAttributes(attribute.String("outcome", string(outcome))))
}

func (m *metrics) recordSync(ctx context.Context, grants int) {
	m.syncs.Add(ctx, 1)
	m.grants.Record(ctx, int64(grants))
}

func (m *metrics) countRenewal(ctx context.Context, ok bool) { m.renewals.Add(ctx, 1, okAttribute(ok)) }

func (m *metrics) countReports(ctx context.Context, events []*controlpb.TaskEvent, ok bool) {
	for _, e := range events {
		kind := strings.ToLower(strings.TrimPrefix(e.GetKind().String(), "TASK_EVENT_KIND_"))
		m.events.Add(ctx, 1, okAttribute(ok), metric.WithAttributes(attribute.String("kind", kind)))
	}
}

// countEvictions counts the evictions among events that control has recorded.
func (m *metrics) countEvictions(ctx context.Context, events []scheduler.Report) {
	for _, e := range events {
		if e.Kind == scheduler.ReportEvicted {
			m.evictions.Add(ctx, 1, metric.WithAttributes(attribute.String("reason", string(e.Cause))))
		}
	}
}

func (m *metrics) countDecision(ctx context.Context, kind string) {
	m.decisions.Add(ctx, 1, metric.WithAttributes(attribute.String("kind", kind)))
}
