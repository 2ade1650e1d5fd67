package daemon_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/metric/noop"
)

func TestDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	// The default provider would make the instruments of earlier specs again in the first
	// provider that a later spec sets.
	otel.SetMeterProvider(noop.NewMeterProvider())
	RunSpecs(t, "daemon")
}
