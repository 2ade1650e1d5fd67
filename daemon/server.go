package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"

	"geraniumwall/transport"
)

// Server is an HTTP server that is stopped with Drain.
type Server struct {
	http     *http.Server
	address  net.Addr
	bound    *listener
	listener net.Listener
	conns    *connections
	requests *requests
	draining atomic.Bool
	failed   chan error
	// started is set by Serve, and served closed once it has accepted the last connection.
	started atomic.Bool
	served  chan struct{}
}

// Listen binds the address; Serve starts to accept.
func Listen(ctx context.Context, address string, handler http.Handler) (*Server, error) {
	return listen(ctx, address, transport.NewServer(handler))
}

// ListenSecure is Listen with keys; nil keys make it the same.
func ListenSecure(
	ctx context.Context, address string, handler http.Handler, keys *transport.Keys, clients transport.Clients,
) (*Server, error) {
	return listen(ctx, address, transport.NewSecureServer(handler, keys, clients))
}

func listen(ctx context.Context, address string, server *http.Server) (*Server, error) {
	var lc net.ListenConfig
	tcp, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w; choose a free address in the settings", address, err)
	}
	s := &Server{
		http: server, address: tcp.Addr(), conns: newConnections(), requests: newRequests(), failed: make(chan error, 1), served: make(chan struct{}),
	}
	s.bound = &listener{TCPListener: tcp.(*net.TCPListener), conns: s.conns}
	s.listener = transport.LimitListener(ctx, s.bound, server)
	server.Handler = s.requests.track(server.Handler)
	server.ConnState = s.conns.stateChanged
	return s, nil
}

// Address returns the bound address.
func (s *Server) Address() string { return s.address.String() }

// Serve accepts connections in the background. A nil *Server serves nothing and
// never fails.
func (s *Server) Serve() {
	if s == nil {
		return
	}
	s.started.Store(true)
	go func() {
		defer close(s.served)
		if err := s.serve(); !s.draining.Load() {
			s.failed <- err
		}
	}()
}

func (s *Server) serve() error {
	if s.http.TLSConfig != nil {
		return s.http.ServeTLS(s.listener, "", "")
	}
	return s.http.Serve(s.listener)
}

// Failed delivers the error of a server that stopped by itself.
func (s *Server) Failed() <-chan error {
	if s == nil {
		return nil
	}
	return s.failed
}

// accepting reports whether the server may still accept a connection.
func (s *Server) accepting() bool {
	select {
	case <-s.served:
		return false
	default:
		return s.started.Load()
	}
}
