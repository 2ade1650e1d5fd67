// Package transport provides the HTTP clients and servers for traffic between the
// processes of the system, including the heartbeats of workers and the commands of
// schedulers to workers. It also loads and reloads their TLS keys and authorizes
// requests by the role in the client's certificate. Package gateway has its own
// transport for the requests that it forwards to workers, because it counts and limits
// their connections.
package transport

import (
	"cmp"
	"net"
	"net/http"
	"time"
)

const (
	// A connection that was lost silently blocks the requests to its peer for at most
	// sendPingTimeout + pingTimeout. The sum is below the scheduler lease of 1.5 s, so that
	// the lease can still be renewed on a new connection. sendPingTimeout is long enough
	// that busy connections, which receive frames continuously, send no pings.
	sendPingTimeout = 600 * time.Millisecond
	pingTimeout     = 500 * time.Millisecond
	// maxConcurrentStreams limits the requests in flight on one HTTP/2 connection. It is
	// well above the number of long polls of one process; a client whose connection is
	// full opens another one.
	maxConcurrentStreams = 1000

	dialTimeout           = time.Second
	idleConnectionTimeout = time.Minute
	readHeaderTimeout     = 10 * time.Second
	// Limits of the HTTP/1.1 connections that are kept open without requests in flight.
	maxIdleConnections        = 4096
	maxIdleConnectionsPerPeer = 4
	defaultBufferSizeBytes    = 8 << 10
)

// URL returns the base URL of the peer at address, which has the form host:port. The
// scheme is http also with keys, because the client's dialer performs the TLS handshake.
func URL(address string) string { return "http://" + address }

// ClientOptions configures a client. The zero value is usable.
type ClientOptions struct {
	// Timeout limits a whole request, including the response body. 0 means that only
	// the context of the request limits it.
	Timeout time.Duration
	// SendPing is the time without received frames after which an HTTP/2 connection is
	// checked with a ping. 0 means 600 ms.
	SendPing time.Duration
	// Keys enables TLS; nil means plaintext connections.
	Keys *Keys
	// Peers lists the accepted roles of a peer; empty accepts every role. It has no effect
	// without Keys.
	Peers []Role
	// Connections limits the connections to one peer; 0 means no limit. Requests beyond
	// the limit wait for a connection.
	Connections int
	// BufferedBytes is the size of the read buffer and of the write buffer of each
	// connection. 0 means 8 KiB.
	BufferedBytes int
	// IdleTimeout is how long a connection without a request is kept open. 0 means 1 min.
	IdleTimeout time.Duration
	// Pool, if set, counts the connections and is asked for room before one is opened.
	Pool *Pool
	// Wrap, if set, replaces each new connection, for example by one that counts bytes.
	Wrap func(net.Conn) net.Conn
}

// NewClient returns a client for requests to other processes of the system. It uses
// HTTP/2, so that all requests to a peer share a connection and its header compression.
// Without keys it starts with HTTP/1.1, for peers of the released version 1.
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

// NewCommandClient returns a client for commands to workers. It uses HTTP/1.1, the only
// protocol that a worker has to support.
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
		IdleConnTimeout:     cmp.Or(options.IdleTimeout, idleConnectionTimeout),
		MaxConnsPerHost:     options.Connections,
		ReadBufferSize:      cmp.Or(options.BufferedBytes, defaultBufferSizeBytes),
		WriteBufferSize:     cmp.Or(options.BufferedBytes, defaultBufferSizeBytes),
		// Bodies are short: compression would cost more CPU time than the saved bytes are
		// worth.
		DisableCompression: true,
	}
}

// NewServer returns a server for HTTP/1.1 and for HTTP/2 with prior knowledge, so that
// callers, load balancers and the processes of the system can use the same port.
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
