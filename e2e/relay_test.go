package e2e_test

import (
	"net"
	"sync"
	"sync/atomic"
)

// link is the connection between two failure domains. While it is cut, nothing
// passes and nobody is told, as in a silent network partition.
type link struct{ cut atomic.Bool }

// relay forwards TCP connections over a link.
type relay struct {
	listener net.Listener
	target   string
	link     *link
	mu       sync.Mutex
	conns    []net.Conn
}

func newRelay(listen, target string, l *link) (*relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, target: target, link: l}
	go r.accept()
	return r, nil
}

func (r *relay) accept() {
	for {
		from, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.keep(from)
		if r.link.cut.Load() {
			continue
		}
		to, err := net.Dial("tcp", r.target)
		if err != nil {
			from.Close()
			continue
		}
		r.keep(to)
		go r.copy(from, to)
		go r.copy(to, from)
	}
}

// copy drops what arrives during a cut. A connection that lost bytes is closed
// when the next bytes arrive after the cut, so that no stream has a hole.
func (r *relay) copy(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		if r.link.cut.Load() {
			lost = true
			if err == nil {
				continue
			}
		}
		if err != nil || lost {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (r *relay) keep(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, c)
}

func (r *relay) close() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.Close()
	}
}
