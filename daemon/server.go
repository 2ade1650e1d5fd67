package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

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
	port := transport.PortOf(ctx)
	lc := net.ListenConfig{Control: receiveBuffer(port.ReceiveBuffer())}
	tcp, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w; choose a free address in the settings", address, err)
	}
	s := &Server{
		http: server, address: tcp.Addr(), conns: newConnections(port.AnswerTimeout()), requests: newRequests(), failed: make(chan error, 1), served: make(chan struct{}),
	}
	if err := limitBacklog(tcp.(*net.TCPListener), port.Backlog()); err != nil {
		return nil, fmt.Errorf("listen on %s: limit the connections that wait: %w", address, err)
	}
	s.bound = &listener{TCPListener: tcp.(*net.TCPListener), conns: s.conns, port: port}
	port.Configure(server)
	s.listener = transport.LimitListener(ctx, s.bound, server)
	server.Handler = s.requests.track(server.Handler)
	server.ConnState = s.conns.stateChanged
	server.ConnContext = s.conns.withAccount(server.ConnContext)
	return s, nil
}

// receiveBuffer returns a function that sets the receive buffer of a listening socket, which
// its connections inherit. It has to be set before a connection is made: clients then know the
// window from the start. A host that does not support it keeps its own size.
func receiveBuffer(bytes int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
		})
	}
}

// limitBacklog limits the connections that wait to be accepted: what they have sent is not
// read either.
func limitBacklog(l *net.TCPListener, connections int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), connections) })
	return errors.Join(err, listenErr)
}

// lateInterval is the interval of the search for connections that are late or idle.
const lateInterval = 500 * time.Millisecond

// closeLate puts the time limits of the port in force until the last connection is accepted.
func (s *Server) closeLate() {
	t := time.NewTicker(lateInterval)
	defer t.Stop()
	for {
		select {
		case <-s.served:
			return
		case now := <-t.C:
			head, idle := s.bound.port.HeaderTimeout(), s.bound.port.IdleTimeout()
			if head > 0 || idle > 0 {
				s.conns.closeLate(now, head, idle)
			}
		}
	}
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
	go s.closeLate()
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
