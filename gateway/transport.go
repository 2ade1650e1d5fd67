package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"geraniumwall/routing"
	"geraniumwall/transport"
)

const (
	dialTimeout      = time.Second
	idlePerWorker    = 1024
	idleConnTimeout  = 60 * time.Second
	maxHeaderBytes   = 64 << 10
	transportBufSize = 8 << 10
)

// workerTransport holds the connections to workers. It never has more open to one
// worker than its grant permits.
type workerTransport struct {
	dialer net.Dialer
	keys   *transport.Keys

	mu      sync.Mutex
	workers map[string]*workerConnections
}

// workerConnections are the connections to one worker address.
type workerConnections struct {
	http    *http.Transport
	open    int
	granted int
	// changed is closed and replaced when a connection may be opened.
	changed chan struct{}
}

func newWorkerTransport(keys *transport.Keys) *workerTransport {
	t := &workerTransport{
		dialer:  net.Dialer{Timeout: dialTimeout},
		keys:    keys,
		workers: map[string]*workerConnections{},
	}
	keys.OnChange(t.renew)
	return t
}

// renew makes new connections present the new certificate. Requests in progress
// finish on the connections of the former transports, which close after them.
func (t *workerTransport) renew() {
	for _, former := range t.exchange() {
		former.CloseIdleConnections()
	}
}

// exchange returns the former transports. The caller closes their connections,
// since the end of a connection takes the lock.
func (t *workerTransport) exchange() (former []*http.Transport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.workers {
		former = append(former, c.http)
		c.http = t.newTransport()
	}
	return former
}

// newTransport returns the HTTP transport of one worker. All connections may stay
// idle, or every burst would open connections and close them again.
func (t *workerTransport) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            t.dial,
		MaxIdleConnsPerHost:    idlePerWorker,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         transportBufSize,
		WriteBufferSize:        transportBufSize,
		DisableCompression:     true,
	}
}

// roundTrip sends a request to the worker at its URL.
func (t *workerTransport) roundTrip(r *http.Request) (*http.Response, error) {
	t.mu.Lock()
	via := t.worker(r.URL.Host).http
	t.mu.Unlock()
	return via.RoundTrip(r)
}

// limit puts the granted numbers of connections in force. A worker with more open
// than granted loses its idle connections; those in use are closed by a later call,
// once they are idle.
func (t *workerTransport) limit(grants []routing.Grant) {
	for _, exceeded := range t.setLimits(grants) {
		exceeded.CloseIdleConnections()
	}
}

// setLimits returns the transports of workers with more connections than granted.
func (t *workerTransport) setLimits(grants []routing.Grant) (exceeded []*http.Transport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	granted := make(map[string]int, len(grants))
	for _, g := range grants {
		granted[g.Address] += g.Connections
	}
	for address, n := range granted {
		t.worker(address).set(n)
	}
	for address, c := range t.workers {
		if c.open > granted[address] {
			exceeded = append(exceeded, c.http)
		}
		if granted[address] > 0 {
			continue
		}
		c.set(0)
		if c.open == 0 {
			delete(t.workers, address)
		}
	}
	return exceeded
}

func (t *workerTransport) worker(address string) *workerConnections {
	c := t.workers[address]
	if c == nil {
		c = &workerConnections{http: t.newTransport(), changed: make(chan struct{})}
		t.workers[address] = c
	}
	return c
}

func (c *workerConnections) set(granted int) {
	if granted > c.granted {
		c.signal()
	}
	c.granted = granted
}

func (c *workerConnections) signal() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// dial opens a connection once the grant has room for it.
func (t *workerTransport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := t.reserve(ctx, address); err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	conn, err := t.connect(ctx, network, address)
	if err != nil {
		t.unreserve(address)
		return nil, err
	}
	return &countedConn{Conn: conn, closed: func() { t.unreserve(address) }}, nil
}

func (t *workerTransport) connect(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := t.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return t.keys.Handshake(ctx, conn, transport.ProtocolHTTP1, []transport.Role{transport.RoleWorker})
}

func (t *workerTransport) reserve(ctx context.Context, address string) error {
	// The dial of a request that took another connection goes on without it, so the
	// wait needs a bound of its own.
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	for {
		changed := t.tryReserve(address)
		if changed == nil {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tryReserve counts a connection and returns nil, or returns a channel that is
// closed when another try makes sense.
func (t *workerTransport) tryReserve(address string) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.worker(address)
	if c.open < c.granted {
		c.open++
		return nil
	}
	return c.changed
}

func (t *workerTransport) unreserve(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.worker(address)
	c.open--
	c.signal()
}

// close closes all idle connections.
func (t *workerTransport) close() { t.limit(nil) }

// countedConn gives its reservation back when it is closed.
type countedConn struct {
	net.Conn
	once   sync.Once
	closed func()
}

// Close closes the connection.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.closed)
	return err
}
