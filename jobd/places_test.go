package jobd

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"

	"geraniumwall/jobs/dispatch"
)

// Guards against counters of waits that mix up their outcomes or count a status twice.
func TestPlaceMetrics(t *testing.T) {
	g := NewWithT(t)
	reader := sdkmetric.NewManualReader()
	m, err := NewMetrics(sdkmetric.NewMeterProvider(sdkmetric.WithReader(reader)).Meter("test"))
	g.Expect(err).NotTo(HaveOccurred())
	for range 2 {
		m.places.record(&dispatch.PlaceWaitCounts{
			Waiting: 7, Begun: 4, Preferred: dispatch.DelayStats{Count: 2, Total: 1500 * time.Millisecond},
			Elsewhere: dispatch.DelayStats{Count: 1, Total: time.Second},
		})
	}
	values := valuesOf(t, reader)
	for name, want := range map[string]float64{
		"geranium.jobs.place_waits.begun ":                     8,
		"geranium.jobs.place_waits.ended outcome=preferred":    4,
		"geranium.jobs.place_waits.ended outcome=elsewhere":    2,
		"geranium.jobs.place_waits.ended outcome=abandoned":    0,
		"geranium.jobs.place_waits.duration outcome=preferred": 3,
		"geranium.jobs.place_waits.duration outcome=elsewhere": 2,
	} {
		g.Expect(values).To(HaveKeyWithValue(name, want))
	}
}
