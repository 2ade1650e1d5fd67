package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"geraniumwall/routing"
)

const (
	dialTimeout = time.Second
	// idlePerWorker bounds idle connections to one worker.
	idlePerWorker    = 8
	idleConnTimeout  = 60 * time.Second
	internalIdle     = 16
	maxHeaderBytes   = 64 << 10
	transportBufSize = 8 << 10
)

// newInternalClient returns the HTTP client for control replicas and schedulers.
func newInternalClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: internalIdle,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}}
}

// workerTransport holds the connections to workers. It never has more open to one
// worker than its grant permits.
type workerTransport struct {
	http   *http.Transport
	dialer net.Dialer

	mu      sync.Mutex
	workers map[string]*connectionCount
}

// connectionCount is the use of one worker address.
type connectionCount struct {
	open    int
	granted int
	// changed is closed and replaced when a connection may be opened.
	changed chan struct{}
}

func newWorkerTransport() *workerTransport {
	t := &workerTransport{
		dialer:  net.Dialer{Timeout: dialTimeout},
		workers: map[string]*connectionCount{},
	}
	t.http = &http.Transport{
		DialContext:            t.dial,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    idlePerWorker,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         transportBufSize,
		WriteBufferSize:        transportBufSize,
		DisableCompression:     true,
	}
	return t
}

// limit puts the granted numbers of connections in force.
func (t *workerTransport) limit(grants []routing.Grant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	granted := make(map[string]int, len(grants))
	for _, g := range grants {
		granted[g.Address] += g.Connections
	}
	for address, n := range granted {
		t.count(address).set(n)
	}
	for address, c := range t.workers {
		if granted[address] > 0 {
			continue
		}
		c.set(0)
		if c.open == 0 {
			delete(t.workers, address)
		}
	}
}

func (t *workerTransport) count(address string) *connectionCount {
	c := t.workers[address]
	if c == nil {
		c = &connectionCount{changed: make(chan struct{})}
		t.workers[address] = c
	}
	return c
}

func (c *connectionCount) set(granted int) {
	if granted > c.granted {
		c.signal()
	}
	c.granted = granted
}

func (c *connectionCount) signal() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// dial opens a connection once the grant has room for it.
func (t *workerTransport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := t.reserve(ctx, address); err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	conn, err := t.dialer.DialContext(ctx, network, address)
	if err != nil {
		t.giveBack(address)
		return nil, err
	}
	return &countedConn{Conn: conn, closed: func() { t.giveBack(address) }}, nil
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
	c := t.count(address)
	if c.open < c.granted {
		c.open++
		return nil
	}
	return c.changed
}

func (t *workerTransport) giveBack(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.count(address)
	c.open--
	c.signal()
	if c.open == 0 && c.granted == 0 {
		delete(t.workers, address)
	}
}

func (t *workerTransport) close() { t.http.CloseIdleConnections() }

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
