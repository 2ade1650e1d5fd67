// Package transport builds the HTTP clients and servers of all traffic between the
// system's own processes, of the workers' heartbeats and of the schedulers'
// commands to workers. The requests that a gateway forwards to workers are not part
// of it: package gateway counts their connections.
package transport

import (
	"cmp"
	"net"
	"net/http"
	"time"
)

const (
	// sendPingTimeout and pingTimeout bound the time for which a connection that was cut
	// silently holds up the calls to a peer. Their sum is below the scheduler lease of
	// 1.5 s, so that a renewal on a new connection still comes in time. sendPingTimeout is long
	// enough that busy connections, which receive frames all the time, send no pings.
	sendPingTimeout = 600 * time.Millisecond
	pingTimeout     = 500 * time.Millisecond
	// maxConcurrentStreams bounds the calls under way on one connection. It is well above the
	// long polls of one process, and a client whose connection is full opens another.
	maxConcurrentStreams = 1000

	dialTimeout           = time.Second
	idleConnectionTimeout = time.Minute
	readHeaderTimeout     = 10 * time.Second
	// Connections of HTTP/1.1 that stay open without a call under way.
	maxIdleConnections        = 4096
	maxIdleConnectionsPerPeer = 4
	defaultBufferSizeBytes    = 8 << 10
)

// URL returns the base URL of the peer at address, host:port. The scheme is the
// same with keys: the dialer of a client secures the connection.
func URL(address string) string { return "http://" + address }

// ClientOptions are the options of a client. The zero value is usable.
type ClientOptions struct {
	// Timeout bounds a whole call; 0 leaves the bound to the context of the call.
	Timeout time.Duration
	// SendPing is the silence of a connection after which it is checked, 0 is 600 ms.
	SendPing time.Duration
	// Keys secure the connections; nil stands for no encryption.
	Keys *Keys
	// Peers are the roles of which a peer must have one.
	Peers []Role
	// Connections bounds the connections to one peer; 0 is no bound. Calls beyond it
	// wait for a connection.
	Connections int
	// BufferedBytes is the size of each buffer of a connection, 0 is 8 KiB.
	BufferedBytes int
	// Wrap is called with each new connection, for example to count its bytes.
	Wrap func(net.Conn) net.Conn
}

// NewClient returns a client of the system's own processes. It speaks HTTP/2, so
// all calls to a peer share a connection and its header compression. Without keys
// it begins with HTTP/1.1, for peers of the released version 1.
func NewClient(options ClientOptions) *http.Client {
	http2Transport := newReloadableTransport(options.Keys, func() *http.Transport {
		t := newTransport(options, ProtocolHTTP2)
		t.Protocols.SetUnencryptedHTTP2(true)
		t.HTTP2 = &http.HTTP2Config{SendPingTimeout: cmp.Or(options.SendPing, sendPingTimeout), PingTimeout: pingTimeout}
		return t
	})
	if options.Keys != nil {
		return &http.Client{Transport: http2Transport, Timeout: options.Timeout}
	}
	return &http.Client{Transport: &http2Upgrader{http1: newHTTP1Transport(options), http2: http2Transport}, Timeout: options.Timeout}
}

// NewCommandClient returns a client of the commands to workers. It speaks HTTP/1.1,
// which is all that a worker has to serve.
func NewCommandClient(options ClientOptions) *http.Client {
	return &http.Client{Transport: newHTTP1Transport(options), Timeout: options.Timeout}
}

func newHTTP1Transport(options ClientOptions) http.RoundTripper {
	return newReloadableTransport(options.Keys, func() *http.Transport {
		t := newTransport(options, ProtocolHTTP1)
		t.Protocols.SetHTTP1(true)
		return t
	})
}

func newTransport(options ClientOptions, protocol string) *http.Transport {
	return &http.Transport{
		Protocols:           new(http.Protocols),
		DialContext:         dialer(options, protocol),
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnectionsPerPeer,
		IdleConnTimeout:     idleConnectionTimeout,
		MaxConnsPerHost:     options.Connections,
		ReadBufferSize:      cmp.Or(options.BufferedBytes, defaultBufferSizeBytes),
		WriteBufferSize:     cmp.Or(options.BufferedBytes, defaultBufferSizeBytes),
		// The bodies are short, and compression costs more processor than it saves bytes.
		DisableCompression: true,
	}
}

// NewServer returns a server of HTTP/1.1 and of HTTP/2 with prior knowledge, so
// callers, load balancers and the system's own processes can use one port.
func NewServer(handler http.Handler) *http.Server {
	server := &http.Server{
		Handler:           advertiseHTTP2(handler),
		Protocols:         new(http.Protocols),
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxConcurrentStreams},
		ReadHeaderTimeout: readHeaderTimeout,
	}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	return server
}
