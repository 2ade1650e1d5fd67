package gateway

import (
	"net/http"
	"sync"

	"geraniumwall/rpc/protocol"
	"geraniumwall/rpc/schedulerpb"
	"geraniumwall/transport"
)

// failuresBeforeSwitch is the number of failed calls in a row after which the
// other known address of a scheduler is tried.
const failuresBeforeSwitch = 2

// route is the way to one scheduler. The address of the settings and the one of
// the directory differ after the scheduler's host was replaced; the one that
// answers is kept.
type route struct {
	http *http.Client

	mu       sync.Mutex
	address  string
	other    string
	stub     schedulerpb.Scheduler
	failures int
}

func newRoute(address string, c *http.Client) *route {
	r := &route{http: c}
	r.use(address)
	return r
}

func (r *route) use(address string) {
	r.address = address
	r.stub = schedulerpb.NewSchedulerProtobufClient(transport.URL(address), r.http, protocol.Client())
	r.failures = 0
}

func (r *route) client() schedulerpb.Scheduler {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stub
}

// learn takes in the address of the directory; it is empty if there is none.
func (r *route) learn(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if address != "" && address != r.address {
		r.other = address
	}
}

// used takes in the result of a call.
func (r *route) used(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.failures = 0
		return
	}
	r.failures++
	if r.failures >= failuresBeforeSwitch && r.other != "" {
		previous := r.address
		r.use(r.other)
		r.other = previous
	}
}
