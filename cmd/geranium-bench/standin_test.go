package main

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric/noop"

	"geraniumwall/gateway"
	"geraniumwall/transport"
)

// TestStandIn guards against stand-ins that fall behind the protocol, so that the
// benchmark of the gateway measures nothing.
func TestStandIn(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	handler, err := standInHandler(address, 2)
	g.Expect(err).NotTo(HaveOccurred())
	server := transport.NewServer(handler)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	gw, err := gateway.New(gateway.Options{
		Name: "gw", Domain: standInDomain, Incarnation: "1", Control: []string{address},
		Schedulers: []gateway.Scheduler{{Name: standInSchedulerName, Domain: standInDomain, Address: address}},
		Clock:      gateway.NewClock(), Log: zerolog.Nop(), Meter: noop.NewMeterProvider().Meter(gateway.MeterName),
	})
	g.Expect(err).NotTo(HaveOccurred())
	gw.Start()
	t.Cleanup(func() { gw.Stop(t.Context()) })
	g.Eventually(func() int {
		answer := httptest.NewRecorder()
		gw.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/v1/call/"+standInService, strings.NewReader("{}")))
		return answer.Code
	}).WithTimeout(10 * time.Second).Should(Equal(http.StatusOK))
}
