package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric/noop"

	"geraniumwall/control/client"
	"geraniumwall/routing"
)

// BenchmarkCall measures one call through the handler to a worker on loopback; the
// caller's side of HTTP is left out.
func BenchmarkCall(b *testing.B) {
	gomega.RegisterTestingT(b)
	worker := httptest.NewServer(http.HandlerFunc(echo))
	defer worker.Close()
	g, err := New(Options{
		Name: "gw", Domain: "bern-a", Clock: NewClock(), Log: zerolog.Nop(),
		Meter: noop.NewMeterProvider().Meter(MeterName), Control: []string{"127.0.0.1:1"},
	})
	if err != nil {
		b.Fatal(err)
	}
	c := testConfig.WithDefaults()
	g.settings.Store(newServiceTable(&client.Snapshot{Version: 1, Config: c}, g.metrics))
	g.balancer.configure(routingServices(c), 10)
	grants := []routing.Grant{{
		Worker: "w", Address: strings.TrimPrefix(worker.URL, "http://"), Domain: "bern-a", Session: 1,
		Slots: 64, Connections: 64, Services: []string{"quote"}, Expires: time.Hour,
	}}
	g.workers.limit(grants)
	g.balancer.apply(grants)
	handler := g.Handler()
	b.ReportAllocs()
	for b.Loop() {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/v1/call/quote", strings.NewReader(`{"echo":"x"}`))
		handler.ServeHTTP(w, r)
		if w.Code != http.StatusOK {
			b.Fatal(w.Code, w.Body.String())
		}
	}
}
