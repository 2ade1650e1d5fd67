package e2e_test

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// direction is one way of the connection between two failure domains. While it is
// cut, nothing passes and nobody is told, as in a silent network partition.
type direction struct {
	cut atomic.Bool
	// delay in nanoseconds and rate in bytes per second apply to each stream; a rate
	// of 0 is no limit.
	delay, rate atomic.Int64
}

// hold waits as long as the direction takes to carry n bytes.
func (d *direction) hold(n int) {
	wait := time.Duration(d.delay.Load())
	if rate := d.rate.Load(); rate > 0 {
		wait += time.Duration(int64(n) * int64(time.Second) / rate)
	}
	time.Sleep(wait)
}

// relay forwards TCP connections over a link.
type relay struct {
	listener net.Listener
	target   string
	// there leads to the target, back from it.
	there, back *direction
	mu          sync.Mutex
	conns       []net.Conn
}

func newRelay(listen, target string, there, back *direction) (*relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, target: target, there: there, back: back}
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
		if r.there.cut.Load() {
			continue
		}
		to, err := net.Dial("tcp", r.target)
		if err != nil {
			from.Close()
			continue
		}
		r.keep(to)
		go r.copy(from, to, r.there)
		go r.copy(to, from, r.back)
	}
}

// copy drops what arrives during a cut. A connection that lost bytes is closed
// when the next bytes arrive after the cut, so that no stream has a hole.
func (r *relay) copy(from, to net.Conn, d *direction) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		if d.cut.Load() {
			lost = true
			if err == nil {
				continue
			}
		}
		if err != nil || lost {
			return
		}
		d.hold(n)
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
	r.reset()
}

// reset closes all connections.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.Close()
	}
	r.conns = nil
}
