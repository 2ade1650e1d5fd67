package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"geraniumwall/transport"
)

// connKey identifies an open connection of a server.
type connKey struct{ remote, local netip.AddrPort }

func keyOf(c net.Conn) connKey { return connKey{addrPort(c.RemoteAddr()), addrPort(c.LocalAddr())} }

func addrPort(a net.Addr) netip.AddrPort {
	tcp, ok := a.(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return tcp.AddrPort()
}

// connections are the open connections of a server.
type connections struct {
	// answerTimeout is the time after which a connection is closed whose client takes nothing of
	// an answer.
	answerTimeout time.Duration

	mu   sync.Mutex
	open map[connKey]*conn
}

func newConnections(answerTimeout time.Duration) *connections {
	return &connections{answerTimeout: answerTimeout, open: map[connKey]*conn{}}
}

func (cs *connections) add(tcp *net.TCPConn, account *transport.Connection) *conn {
	c := &conn{TCPConn: tcp, owner: cs, key: keyOf(tcp), account: account, idleSince: time.Now()}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.open[c.key] = c
	return c
}

func (cs *connections) remove(c *conn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.open[c.key] == c {
		delete(cs.open, c.key)
	}
}

// of returns the connection that a server serves, nil if it is closed.
func (cs *connections) of(served net.Conn) *conn {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.open[keyOf(served)]
}

// connContext is a hook of http.Server.
type connContext = func(ctx context.Context, served net.Conn) context.Context

// withAccount returns the ConnContext hook of the server, which passes on what next adds.
func (cs *connections) withAccount(next connContext) connContext {
	return func(ctx context.Context, served net.Conn) context.Context {
		if c := cs.of(served); c != nil {
			ctx = transport.WithConnection(ctx, c.account)
		}
		if next != nil {
			ctx = next(ctx, served)
		}
		return ctx
	}
}

// stateChanged is the ConnState hook of the server.
func (cs *connections) stateChanged(served net.Conn, state http.ConnState) {
	if state != http.StateActive && state != http.StateIdle {
		return
	}
	c := cs.of(served)
	if c == nil {
		return
	}
	if state == http.StateIdle {
		c.finish()
		return
	}
	secure, ok := served.(*tls.Conn)
	c.serve(ok && secure.ConnectionState().NegotiatedProtocol == transport.ProtocolHTTP2)
}

// list returns the open connections.
func (cs *connections) list() []*conn {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	list := make([]*conn, 0, len(cs.open))
	for _, c := range cs.open {
		list = append(list, c)
	}
	return list
}

// http1 returns the open connections that don't use HTTP/2, and whether a request is
// being read on one of them.
func (cs *connections) http1(now time.Time) (open []*conn, reading bool) {
	for _, c := range cs.list() {
		if !c.isHTTP2() {
			open = append(open, c)
			reading = reading || c.reading(now)
		}
	}
	return open, reading
}

const (
	// idleSample bounds the connections among which the longest idle one is looked for, so
	// that many new connections cost little.
	idleSample = 64
	// minIdleTime is how long a connection is without a request before it may be closed to
	// make room for another one.
	minIdleTime = time.Second
)

// closeIdle closes a connection that has been without a request for long, and reports whether
// there was one.
func (cs *connections) closeIdle(now time.Time) bool {
	var longest *conn
	seen, most := 0, minIdleTime
	cs.mu.Lock()
	for _, c := range cs.open {
		if idle := c.idle(now); idle > most {
			longest, most = c, idle
		}
		if seen++; seen == idleSample {
			break
		}
	}
	cs.mu.Unlock()
	if longest != nil {
		longest.abandon()
	}
	return longest != nil
}

// closeLate closes the connections whose head takes longer than head and those that are idle
// for longer than idle. 0 stands for no limit.
func (cs *connections) closeLate(now time.Time, head, idle time.Duration) {
	for _, c := range cs.list() {
		c.endLate(now, head, idle)
	}
}

func (cs *connections) number() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.open)
}
