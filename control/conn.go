package control

import (
	"context"
	"net"
	"net/http"

	"geraniumwall/transport"
)

// newHTTPClient returns a client that counts its traffic.
func newHTTPClient(m *metrics, keys *transport.Keys) *http.Client {
	return transport.NewClient(transport.ClientOptions{
		Keys: keys, Peers: []transport.Role{transport.RoleControl},
		Wrap: func(c net.Conn) net.Conn { return &countingConn{Conn: c, metrics: m} },
	})
}

// countingConn counts the bytes of one connection to another replica.
type countingConn struct {
	net.Conn
	metrics *metrics
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.metrics.peerBytes.Add(context.Background(), int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.metrics.peerBytes.Add(context.Background(), int64(n))
	return n, err
}
