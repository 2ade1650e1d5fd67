package daemon

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"geraniumwall/transport"
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
	// account counts what the connection holds; nil for no limits.
	account *transport.Connection

	mu       sync.Mutex
	phase    phase
	prefix   []byte // the first bytes, up to the length of http2Prefix
	http2    bool
	lastByte time.Time
	// headAt is when the first byte of the present head was read.
	headAt time.Time
	// idleSince is when the connection was accepted or its last request answered.
	idleSince time.Time
	// active is set while a request is in progress, also with HTTP/2.
	active bool
	// readAhead is set if bytes have been read since the last write. After a response they
	// belong to the next request: net/http reads on while a handler runs.
	readAhead bool
	// early is set if bytes of the present request were read before the last one was answered.
	early bool
	// deadline is the read deadline that the server has set.
	deadline time.Time
	// writeDeadline is the write deadline that the server has set.
	writeDeadline time.Time
	// ending is set once the connection is to be closed before its next request.
	ending bool
}

// Read implements net.Conn. A deadline that expires before a request is complete does
// not drop bytes that have arrived.
func (c *conn) Read(p []byte) (int, error) {
	c.account.EndTurn()
	n, err := c.TCPConn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readExpired(p, err)
	}
	if n > 0 && !c.received(p[:n]) {
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errRefused}
	}
	return n, err
}

// errRefused ends a connection whose client was refused before its request was parsed.
var errRefused = errors.New("the client keeps to no limits")

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

// received notes that bytes have been read. It returns false, and closes the connection, if
// there is no room for them.
func (c *conn) received(p []byte) bool {
	head := c.note(p)
	switch {
	case c.isHTTP2():
		if c.account.UseHTTP2() {
			return true
		}
	case !head:
		c.account.BodyReceived(len(p))
		return true
	default:
		answer := c.account.Received(p)
		if answer == nil {
			return true
		}
		if c.plain() {
			_, _ = c.TCPConn.Write(answer)
		}
	}
	_ = c.Close()
	return false
}

// plain reports whether the client sends HTTP without TLS.
func (c *conn) plain() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.prefix) > 0 && c.prefix[0] != tlsHandshake
}

// tlsHandshake is the first byte of a connection with TLS.
const tlsHandshake = 22

// note notes bytes that have been read and reports whether they belong to a head.
func (c *conn) note(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastByte, c.readAhead = time.Now(), true
	if missing := len(http2Prefix) - len(c.prefix); missing > 0 {
		c.prefix = append(c.prefix, p[:min(missing, len(p))]...)
		c.http2 = c.http2 || string(c.prefix) == http2Prefix
	}
	if c.phase == phaseWaiting {
		c.phase = phaseReading
		c.headAt = c.lastByte
	}
	c.keepOpen()
	return c.phase == phaseReading
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

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return c.TCPConn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.owner.remove(c)
	c.account.Close()
	return c.TCPConn.Close()
}

// maxWrite is how many bytes a client has to take within the timeout of an answer.
const maxWrite = 64 << 10

// Write implements net.Conn. It fails if the client takes nothing for too long.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		piece := p[written:min(len(p), written+maxWrite)]
		c.beginWrite()
		n, err := c.TCPConn.Write(piece)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// beginWrite sets the deadline of a write: that of the server, or the timeout of the port if it
// is earlier.
func (c *conn) beginWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAhead = false
	deadline := time.Now().Add(c.owner.answerTimeout)
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(deadline) {
		deadline = c.writeDeadline
	}
	_ = c.TCPConn.SetWriteDeadline(deadline)
}

// serve notes that a request is in progress. It waits if the client keeps sending requests
// without waiting for the answers.
func (c *conn) serve(http2 bool) {
	pipelined := c.beginRequest(http2)
	if !c.isHTTP2() {
		c.account.BeginRequest(pipelined)
	}
}

// beginRequest notes that a request is in progress and reports whether it is pipelined: its
// first bytes were read before the last request was answered.
func (c *conn) beginRequest(http2 bool) (pipelined bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pipelined = c.early || c.phase == phaseWaiting
	c.phase, c.active = phaseServing, true
	c.http2 = c.http2 || http2
	c.keepOpen()
	return pipelined
}

// finish notes that a request has been answered.
func (c *conn) finish() {
	c.account.Finish()
	c.account.EndRequest()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.active = phaseWaiting, false
	c.idleSince = time.Now()
	c.early = c.readAhead
	if c.early {
		c.phase, c.headAt = phaseReading, c.idleSince
	}
}

// idle returns how long the connection has been without a request.
func (c *conn) idle(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active || c.ending || (c.phase != phaseWaiting && !c.http2) {
		return 0
	}
	return min(now.Sub(c.idleSince), now.Sub(c.lastByte))
}

// abandon closes an idle connection to make room.
func (c *conn) abandon() {
	if c.isHTTP2() {
		_ = c.Close()
		return
	}
	c.end(time.Now())
}

// endLate closes the connection if its head is late or it has been idle for too long.
func (c *conn) endLate(now time.Time, head, idle time.Duration) {
	c.mu.Lock()
	late := head > 0 && c.phase == phaseReading && !c.http2 && now.Sub(c.headAt) > head
	c.mu.Unlock()
	switch {
	case late:
		if answer := c.account.Late(); c.plain() {
			_, _ = c.TCPConn.Write(answer)
		}
		_ = c.Close()
	case idle > 0 && c.idle(now) > idle:
		// An HTTP/2 connection can't be closed without the risk of losing a request.
		c.end(now)
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
