package gateway

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"geraniumwall/routing"
	"geraniumwall/workerapi"
)

// MeterName is the name of the gateway's meter.
const MeterName = "geraniumwall/gateway"

// latencyBounds are the bucket bounds of the latency histogram in seconds.
var latencyBounds = []float64{
	0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30,
}

// metrics holds the instruments of the gateway.
type metrics struct {
	meter        metric.Meter
	latency      metric.Float64Histogram
	shed         metric.Int64Counter
	retries      metric.Int64Counter
	syncFailures metric.Int64Counter
}

func newMetrics(meter metric.Meter) (*metrics, error) {
	m := &metrics{meter: meter}
	var errs [4]error
	m.latency, errs[0] = meter.Float64Histogram("geranium.gateway.request.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from the arrival of a request to the end of its answer, by outcome"),
		metric.WithExplicitBucketBoundaries(latencyBounds...))
	m.shed, errs[1] = meter.Int64Counter("geranium.gateway.shed",
		metric.WithDescription("Requests that were not admitted, by reason"))
	m.retries, errs[2] = meter.Int64Counter("geranium.gateway.retries",
		metric.WithDescription("Attempts after the first one of a request"))
	m.syncFailures, errs[3] = meter.Int64Counter("geranium.gateway.sync.failures",
		metric.WithDescription("Grant syncs without an answer, by scheduler"))
	return m, errors.Join(errs[:]...)
}

// serviceMetrics holds the prepared attributes of one service.
type serviceMetrics struct {
	metrics *metrics
	service metric.MeasurementOption
	outcome map[workerapi.Outcome]metric.MeasurementOption
	reason  map[routing.ShedReason]metric.MeasurementOption
}

func (m *metrics) service(name string) *serviceMetrics {
	s := &serviceMetrics{
		metrics: m,
		outcome: map[workerapi.Outcome]metric.MeasurementOption{},
		reason:  map[routing.ShedReason]metric.MeasurementOption{},
	}
	service := attribute.String("service", name)
	s.service = metric.WithAttributeSet(attribute.NewSet(service))
	for _, o := range []workerapi.Outcome{
		workerapi.OutcomeDone, workerapi.OutcomeFailed, workerapi.OutcomeNotRun, workerapi.OutcomeUnknown,
	} {
		s.outcome[o] = metric.WithAttributeSet(attribute.NewSet(service, attribute.String("outcome", string(o))))
	}
	for _, r := range []routing.ShedReason{routing.ShedQueueFull, routing.ShedDeadline, routing.ShedNoService} {
		s.reason[r] = metric.WithAttributeSet(attribute.NewSet(service, attribute.String("reason", string(r))))
	}
	return s
}

func (s *serviceMetrics) ended(outcome workerapi.Outcome, took time.Duration) {
	s.metrics.latency.Record(context.Background(), took.Seconds(), s.outcome[outcome])
}

func (s *serviceMetrics) wasShed(reason routing.ShedReason) {
	s.metrics.shed.Add(context.Background(), 1, s.reason[reason])
}

func (s *serviceMetrics) retried() { s.metrics.retries.Add(context.Background(), 1, s.service) }

func (m *metrics) syncFailed(ctx context.Context, scheduler string) {
	m.syncFailures.Add(ctx, 1, metric.WithAttributes(attribute.String("scheduler", scheduler)))
}

// observe registers the gauges that are read from the state of the gateway.
func (m *metrics) observe(g *Gateway) error {
	var errs [8]error
	var outstanding, queued, budget, upstreams, slots, version metric.Int64ObservableGauge
	outstanding, errs[0] = m.meter.Int64ObservableGauge("geranium.gateway.outstanding",
		metric.WithDescription("Requests on upstreams"))
	queued, errs[1] = m.meter.Int64ObservableGauge("geranium.gateway.queued",
		metric.WithDescription("Requests that wait for a slot"))
	budget, errs[2] = m.meter.Int64ObservableGauge("geranium.gateway.retry.budget",
		metric.WithDescription("Retries that the budget permits"))
	upstreams, errs[3] = m.meter.Int64ObservableGauge("geranium.gateway.upstreams",
		metric.WithDescription("Upstreams with a grant in force"))
	slots, errs[4] = m.meter.Int64ObservableGauge("geranium.gateway.granted.slots",
		metric.WithDescription("Slots with a grant in force"))
	version, errs[5] = m.meter.Int64ObservableGauge("geranium.gateway.config.version",
		metric.WithDescription("Configuration version in force"))
	queueAge, err := m.meter.Float64ObservableGauge("geranium.gateway.queue.age", metric.WithUnit("s"),
		metric.WithDescription("Time for which the oldest queued request has waited, by service"))
	errs[6] = err
	grantAge, err := m.meter.Float64ObservableGauge("geranium.gateway.grant.age", metric.WithUnit("s"),
		metric.WithDescription("Time since the oldest grant in force was asked for; a grant ends after 3 s"))
	errs[7] = err
	if err := errors.Join(errs[:]...); err != nil {
		return err
	}
	_, err = m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		g.balancer.read(func(t *routing.Table, now time.Duration) {
			for _, s := range t.Statistics(now) {
				service := metric.WithAttributes(attribute.String("service", s.Service))
				o.ObserveInt64(outstanding, int64(s.Outstanding), service)
				o.ObserveInt64(queued, int64(s.Queued), service)
				o.ObserveFloat64(queueAge, s.Oldest.Seconds(), service)
			}
			usable, granted := t.Usable(now)
			o.ObserveInt64(upstreams, int64(usable))
			o.ObserveInt64(slots, int64(granted))
			o.ObserveFloat64(grantAge, t.GrantAge(now).Seconds())
			o.ObserveInt64(budget, int64(t.RetriesLeft(now)))
		})
		o.ObserveInt64(version, int64(g.settings.Load().version))
		return nil
	}, outstanding, queued, budget, upstreams, slots, version, queueAge, grantAge)
	return err
}
