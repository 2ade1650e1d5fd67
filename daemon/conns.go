package daemon

import (
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
	mu   sync.Mutex
	open map[connKey]*conn
}

func newConnections() *connections { return &connections{open: map[connKey]*conn{}} }

func (cs *connections) add(tcp *net.TCPConn) *conn {
	c := &conn{TCPConn: tcp, owner: cs, key: keyOf(tcp)}
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

// stateChanged is the ConnState hook of the server.
func (cs *connections) stateChanged(served net.Conn, state http.ConnState) {
	if state != http.StateActive && state != http.StateIdle {
		return
	}
	cs.mu.Lock()
	c := cs.open[keyOf(served)]
	cs.mu.Unlock()
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

func (cs *connections) number() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.open)
}
