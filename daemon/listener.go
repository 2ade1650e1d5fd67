package daemon

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"geraniumwall/transport"
)

// listener accepts connections that a drain can end. After stop it still returns those
// that were waiting to be accepted, and then net.ErrClosed.
type listener struct {
	*net.TCPListener
	conns *connections
	// port limits the clients; nil for no limits.
	port *transport.Port

	mu      sync.Mutex
	stopped bool
	rest    []*conn
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	tcp, err := l.AcceptTCP()
	for ; err == nil; tcp, err = l.AcceptTCP() {
		if c := l.admit(tcp); c != nil {
			return c, nil
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopped {
		return nil, err
	}
	if len(l.rest) == 0 {
		return nil, net.ErrClosed
	}
	next := l.rest[0]
	l.rest = l.rest[1:]
	return next, nil
}

// admit returns the connection if the port has room for it, and closes it otherwise. The
// connection that has been idle for longest gives way to it.
func (l *listener) admit(tcp *net.TCPConn) *conn {
	makesRoom := l.port.Full() && l.conns.closeIdle(time.Now())
	account, answer := l.port.Accept(addrPort(tcp.RemoteAddr()), tcp, makesRoom)
	if answer != nil {
		_, _ = tcp.Write(answer)
		_ = tcp.Close()
		return nil
	}
	return l.conns.add(tcp, account)
}

// Stopped reports whether Accept returns only connections that are open already.
func (l *listener) Stopped() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopped
}

// stop accepts what is waiting and closes the socket.
func (l *listener) stop() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	raw, err := l.SyscallConn()
	if err != nil {
		return fmt.Errorf("stop accepting: %w", err)
	}
	var waiting []int
	err = raw.Control(func(fd uintptr) {
		waiting = acceptWaiting(int(fd))
		_ = syscall.Shutdown(int(fd), syscall.SHUT_RD)
	})
	for _, fd := range waiting {
		if tcp := tcpConn(fd); tcp != nil {
			if c := l.admit(tcp); c != nil {
				l.rest = append(l.rest, c)
			}
		}
	}
	if closeErr := l.Close(); err == nil {
		err = closeErr
	}
	return err
}

// acceptWaiting accepts the connections that wait at a listening socket.
func acceptWaiting(listening int) []int {
	var accepted []int
	for {
		fd, _, err := syscall.Accept4(listening, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		switch err {
		case nil:
			accepted = append(accepted, fd)
		case syscall.EINTR, syscall.ECONNABORTED:
		default:
			return accepted
		}
	}
}

// tcpConn returns the connection of a socket, nil if it has none.
func tcpConn(fd int) *net.TCPConn {
	file := os.NewFile(uintptr(fd), "accepted")
	defer func() { _ = file.Close() }()
	c, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	tcp, _ := c.(*net.TCPConn)
	return tcp
}
