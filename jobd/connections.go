package jobd

import (
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"

	"geraniumwall/transport"
)

// Guaranteed shares of the connections of a replica. A leader needs most of the rest for the
// heartbeats of workers, a carrier for its calls to them.
const (
	workerShare   = 0.25
	controlShare  = 0.25
	internalShare = 0.15
	peerShare     = 0.05
)

// connections are the pools of a replica by purpose.
type connections struct {
	// workers are the calls to workers, peers those to other replicas.
	workers, peers *transport.Pool
	// control are accepted from workers and operators, internal from entry processes and
	// other replicas.
	control, internal *transport.Pool
}

func newConnections(s *Settings, log zerolog.Logger) (connections, error) {
	budget := transport.NewCount(s.MaxOpenFiles, log)
	c := connections{
		workers: budget.Pool("workers", workerShare), peers: budget.Pool("peers", peerShare),
		control: budget.Pool("control", controlShare), internal: budget.Pool("internal", internalShare),
	}
	return c, budget.Observe(otel.Meter(meterName))
}
