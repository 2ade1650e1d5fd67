package control

import (
	"context"
	"net"
	"net/http"
	"time"
)

// newHTTPClient returns a client that counts its traffic.
func newHTTPClient(m *metrics) *http.Client {
	dialer := &net.Dialer{}
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     time.Minute,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c, metrics: m}, nil
		},
	}}
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
