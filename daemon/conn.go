package daemon

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// stallTimeout is the time without a further byte after which an incomplete request no
// longer keeps its connection open in a drain.
const stallTimeout = 5 * time.Second

// http2Prefix is how the preface of HTTP/2 begins. No method of HTTP/1 has this name.
const http2Prefix = "PRI"

// phase is what a connection does.
type phase int

const (
	// phaseWaiting: nothing of the next request has been read.
	phaseWaiting phase = iota
	// phaseReading: the header of a request has been read in part.
	phaseReading
	// phaseServing: a request is in progress.
	phaseServing
)

// longAgo is a deadline that has expired.
var longAgo = time.Unix(1, 0)

// conn is an accepted connection that can be closed between two requests without losing
// one that has arrived. net/http would close it without looking, and drops what it reads
// after that.
type conn struct {
	*net.TCPConn
	owner *connections
	key   connKey

	mu       sync.Mutex
	phase    phase
	prefix   []byte // the first bytes, up to the length of http2Prefix
	http2    bool
	lastByte time.Time
	// readAhead is set if bytes have been read since the last write. After a response they
	// belong to the next request: net/http reads on while a handler runs.
	readAhead bool
	// deadline is the read deadline that the server has set.
	deadline time.Time
	// ending is set once the connection is to be closed before its next request.
	ending bool
}

// Read implements net.Conn. A deadline that expires before a request is complete does
// not drop bytes that have arrived.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readExpired(p, err)
	}
	if n > 0 {
		c.received(p[:n])
	}
	return n, err
}

// readExpired reads what has arrived after the deadline has expired. Without any bytes it
// returns io.EOF if the connection is ending, and timeout otherwise.
func (c *conn) readExpired(p []byte, timeout error) (int, error) {
	c.mu.Lock()
	serving, ending := c.phase == phaseServing, c.ending
	c.mu.Unlock()
	if serving {
		return 0, timeout
	}
	n, err := c.readAvailable(p)
	switch {
	case n > 0:
		return n, nil
	case err == nil, ending:
		return 0, io.EOF
	}
	return 0, timeout
}

// readAvailable reads without waiting. It returns 0 and no error at the end of the stream.
func (c *conn) readAvailable(p []byte) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var readErr error
	err = raw.Control(func(fd uintptr) {
		for n, readErr = syscall.Read(int(fd), p); readErr == syscall.EINTR; {
			n, readErr = syscall.Read(int(fd), p)
		}
	})
	return max(n, 0), errors.Join(err, readErr)
}

// received notes that bytes have been read.
func (c *conn) received(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastByte, c.readAhead = time.Now(), true
	if missing := len(http2Prefix) - len(c.prefix); missing > 0 {
		c.prefix = append(c.prefix, p[:min(missing, len(p))]...)
		c.http2 = c.http2 || string(c.prefix) == http2Prefix
	}
	if c.phase == phaseWaiting {
		c.phase = phaseReading
	}
	c.keepOpen()
}

// keepOpen takes back the end of the connection, since a request has arrived. mu is held.
func (c *conn) keepOpen() {
	if c.ending {
		c.ending = false
		_ = c.TCPConn.SetReadDeadline(c.deadline)
	}
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.ending {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.owner.remove(c)
	return c.TCPConn.Close()
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.readAhead = false
	c.mu.Unlock()
	return c.TCPConn.Write(p)
}

// serve notes that a request is in progress.
func (c *conn) serve(http2 bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseServing
	c.http2 = c.http2 || http2
	c.keepOpen()
}

// finish notes that a request has been answered.
func (c *conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseWaiting
	if c.readAhead {
		c.phase = phaseReading
	}
}

// end lets the connection be closed if it waits for a request that has not arrived.
func (c *conn) end(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	stalled := c.phase == phaseReading && now.Sub(c.lastByte) > stallTimeout
	if c.http2 || c.ending || (c.phase != phaseWaiting && !stalled) {
		return
	}
	c.ending = true
	_ = c.TCPConn.SetReadDeadline(longAgo)
}

// CloseIdle closes the connection unless a request has arrived or is in progress.
func (c *conn) CloseIdle() { c.end(time.Now()) }

func (c *conn) isHTTP2() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.http2
}

// reading reports whether a request is being read.
func (c *conn) reading(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseReading && now.Sub(c.lastByte) <= stallTimeout
}
