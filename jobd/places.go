package jobd

import (
	"context"
	"errors"
	"fmt"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"geraniumwall/jobs/dispatch"
)

// placeMetrics are the instruments of the waits for preferred places.
type placeMetrics struct {
	begun, ended metric.Int64Counter
	seconds      metric.Float64Counter
}

func newPlaceMetrics(meter metric.Meter) (placeMetrics, error) {
	begun, err1 := meter.Int64Counter("geranium.jobs.place_waits.begun", metric.WithUnit("{task}"),
		metric.WithDescription("Tasks that began to wait for a preferred place."))
	ended, err2 := meter.Int64Counter("geranium.jobs.place_waits.ended", metric.WithUnit("{task}"),
		metric.WithDescription("Waits for a preferred place that ended, by outcome: preferred, elsewhere or abandoned."))
	seconds, err3 := meter.Float64Counter("geranium.jobs.place_waits.duration", metric.WithUnit("s"),
		metric.WithDescription("Sum of the waits for a preferred place that ended, by outcome."))
	if err := errors.Join(err1, err2, err3); err != nil {
		return placeMetrics{}, fmt.Errorf("create the counters of waits for places: %w", err)
	}
	return placeMetrics{begun, ended, seconds}, nil
}

// record adds the waits since the last status.
func (m *placeMetrics) record(c *dispatch.PlaceWaitCounts) {
	ctx := context.Background()
	m.begun.Add(ctx, int64(c.Begun))
	for outcome, stats := range map[string]*dispatch.DelayStats{"preferred": &c.Preferred, "elsewhere": &c.Elsewhere, "abandoned": &c.Abandoned} {
		labels := metric.WithAttributes(attribute.String("outcome", outcome))
		m.ended.Add(ctx, int64(stats.Count), labels)
		m.seconds.Add(ctx, stats.Total.Seconds(), labels)
	}
}

func placeFields(c *dispatch.PlaceWaitCounts) *zerolog.Event {
	return zerolog.Dict().Int("waiting", c.Waiting).Int("begun", c.Begun).Dict("preferred", delayFields(&c.Preferred)).
		Dict("elsewhere", delayFields(&c.Elsewhere)).Dict("abandoned", delayFields(&c.Abandoned))
}
