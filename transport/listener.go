package transport

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// rotationTime is how long after a client had to wait for a connection responses ask
	// clients to close theirs, so that those who have one do not keep out the others.
	rotationTime = time.Second
	// minIdle is how long a connection carries nothing before it may be closed to make room.
	// A client that sends a request at that moment would lose it.
	minIdle = 5 * time.Second
	// roomCheckInterval is the interval of the search for idle connections to close.
	roomCheckInterval = 100 * time.Millisecond
)

// processStart is the origin of a clock that does not jump.
var processStart = time.Now()

func sinceStart() time.Duration { return time.Since(processStart) }

// poolKey is the context key of the *Pool for the connections that a server accepts.
type poolKey struct{}

// WithPool returns a context for LimitListener.
func WithPool(ctx context.Context, pool *Pool) context.Context {
	return context.WithValue(ctx, poolKey{}, pool)
}

// LimitListener limits the connections that a server accepts from a listener to the pool
// of ctx. A server with too many connections accepts no more, asks its clients to close
// theirs, and closes those that have been idle for long. Without a pool it returns
// listener.
func LimitListener(ctx context.Context, listener net.Listener, server *http.Server) net.Listener {
	pool, ok := ctx.Value(poolKey{}).(*Pool)
	if !ok || pool == nil {
		return listener
	}
	l := &limitedListener{Listener: listener, pool: pool, stopped: make(chan struct{})}
	server.Handler = l.track(server.Handler)
	return l
}

// limitedListener accepts the connections of a pool.
type limitedListener struct {
	net.Listener
	pool *Pool
	// accepted holds the open *acceptedConn by remote address.
	accepted sync.Map
	// fullAt is when the pool was last full, as a duration since processStart; 0 for never.
	fullAt   atomic.Int64
	stopped  chan struct{}
	stopOnce sync.Once
}

// Accept implements net.Listener. It waits while the pool is full.
func (l *limitedListener) Accept() (net.Conn, error) {
	for !l.stopping() && !l.pool.hasRoom() && !l.pool.reclaim() {
		l.fullAt.Store(int64(sinceStart()))
		l.pool.reportShortage("no more connections are accepted")
		l.closeLongestIdle()
		select {
		case <-l.pool.freed:
		case <-time.After(roomCheckInterval):
		case <-l.stopped:
			return nil, net.ErrClosed
		}
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		l.pool.reportFailure(err)
		return nil, err
	}
	l.pool.opened()
	c := &acceptedConn{Conn: conn, listener: l, key: conn.RemoteAddr().String()}
	c.touch()
	l.accepted.Store(c.key, c)
	return c, nil
}

// stopping reports whether all connections that Accept still returns are open already.
func (l *limitedListener) stopping() bool {
	s, ok := l.Listener.(interface{ Stopped() bool })
	return ok && s.Stopped()
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	l.stopOnce.Do(func() { close(l.stopped) })
	return l.Listener.Close()
}

// closeLongestIdle closes the connection that has carried nothing for the longest time, if
// that is at least minIdle.
func (l *limitedListener) closeLongestIdle() {
	var longest *acceptedConn
	since := sinceStart() - minIdle
	l.accepted.Range(func(_, value any) bool {
		c := value.(*acceptedConn)
		if used := time.Duration(c.usedAt.Load()); c.requests.Load() == 0 && used < since {
			longest, since = c, used
		}
		return true
	})
	if longest != nil {
		longest.closeIdle()
	}
}

// track returns middleware that knows which connections have requests in progress.
func (l *limitedListener) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if value, ok := l.accepted.Load(r.RemoteAddr); ok {
			c := value.(*acceptedConn)
			c.requests.Add(1)
			defer c.endRequest()
		}
		if r.ProtoMajor == 1 && l.crowded() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// crowded reports whether the pool was full until recently.
func (l *limitedListener) crowded() bool { return recently(&l.fullAt) }

// recently reports whether the time at, a duration since processStart or 0 for never, is less
// than rotationTime ago.
func recently(at *atomic.Int64) bool {
	t := time.Duration(at.Load())
	return t != 0 && sinceStart()-t < rotationTime
}

// acceptedConn is a connection that was accepted.
type acceptedConn struct {
	net.Conn
	listener *limitedListener
	key      string
	requests atomic.Int32
	// usedAt is the time of the last bytes from the client or the last response, as a
	// duration since processStart.
	usedAt    atomic.Int64
	closeOnce sync.Once
}

func (c *acceptedConn) touch() { c.usedAt.Store(int64(sinceStart())) }

func (c *acceptedConn) endRequest() {
	c.touch()
	c.requests.Add(-1)
}

// Read implements net.Conn.
func (c *acceptedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.touch()
	}
	return n, err
}

// idleCloser is a connection that can be closed without losing a request that has arrived.
type idleCloser interface{ CloseIdle() }

func (c *acceptedConn) closeIdle() {
	if conn, ok := c.Conn.(idleCloser); ok {
		conn.CloseIdle()
		return
	}
	_ = c.Close()
}

// CloseWrite closes the direction to the client. net/http uses it so that a client can
// still read the last response.
func (c *acceptedConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *acceptedConn) Close() error {
	c.closeOnce.Do(func() {
		c.listener.accepted.CompareAndDelete(c.key, c)
		c.listener.pool.closed()
	})
	return c.Conn.Close()
}
