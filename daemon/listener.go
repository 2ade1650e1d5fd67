package daemon

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
)

// listener accepts connections that a drain can end. After stop it still returns those
// that were waiting to be accepted, and then net.ErrClosed.
type listener struct {
	*net.TCPListener
	conns *connections

	mu      sync.Mutex
	stopped bool
	rest    []*conn
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	tcp, err := l.AcceptTCP()
	if err == nil {
		return l.conns.add(tcp), nil
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
			l.rest = append(l.rest, l.conns.add(tcp))
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
