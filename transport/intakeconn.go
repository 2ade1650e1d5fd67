package transport

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
)

const (
	// headFactor and lineCharge are the memory of a head: its bytes are in a buffer and in the
	// parsed fields, and a short field has a map entry, a slice and strings besides.
	headFactor = 2
	lineCharge = 160
	// headSlack is what net/http reads beyond the limit of a head: its buffer.
	headSlack = 4 << 10
)

// Connection is the account of an accepted connection. A nil *Connection has no limits.
type Connection struct {
	port    *Port
	address netip.Addr
	buffer  readBuffer

	// body is the request of HTTP/1.1 whose body is read, nil for none, and bodyBytes counts
	// what was received of it. hasTurn is set while received bytes are processed.
	body      atomic.Pointer[account]
	bodyBytes atomic.Int64
	hasTurn   atomic.Bool
	// pipelined is how many more requests were pipelined than not; only the goroutine that serves
	// the connection uses it. hasPipelinedTurn is set while a request has a turn for that.
	pipelined        int64
	hasPipelinedTurn atomic.Bool

	mu sync.Mutex
	// head counts the bytes of the present head, held what was taken for it and charge what
	// was taken for the connection itself. bufferCharge was taken for a large receive buffer.
	head, held, charge, bufferCharge int64
	http2, closed                    bool
}

// Accept takes room for a connection. Without room it returns the answer to send before the
// connection is closed. replaces is set if another connection is about to be closed for it.
// buffer is the receive buffer of the connection.
func (p *Port) Accept(remote netip.AddrPort, buffer readBuffer, replaces bool) (c *Connection, answer []byte) {
	if p == nil {
		return nil, nil
	}
	address := remote.Addr().Unmap()
	if why := p.admit(address, replaces); why != reasonNone {
		p.refuse(why, address.String())
		return nil, why.rawAnswer()
	}
	return &Connection{port: p, address: address, buffer: buffer, charge: connectionCharge}, nil
}

// Full reports whether one more connection would be refused for the number of all.
func (p *Port) Full() bool {
	if p == nil {
		return false
	}
	p.intake.mu.Lock()
	defer p.intake.mu.Unlock()
	return p.full()
}

// full is Full with intake.mu held. Each port keeps a part of the connections for itself.
func (p *Port) full() bool {
	in := p.intake
	guaranteed := in.maxConnections / guaranteedConnections
	free := in.maxConnections
	for _, other := range in.ports {
		if other != p {
			free -= max(other.open, min(guaranteed, free))
		}
	}
	return p.open >= max(free, guaranteed, 1) || (in.connectionBytes+connectionCharge > in.connectionRoom && p.open >= guaranteed)
}

// rotateConnections returns middleware that closes connections with their responses while the
// port is crowded, so that the clients that have one don't keep out the others.
func (p *Port) rotateConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 1 && p.crowded() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// crowded reports whether a connection was refused recently for the number of all.
func (p *Port) crowded() bool { return recently(&p.fullAt) }

func (p *Port) admit(address netip.Addr, replaces bool) reason {
	in := p.intake
	in.mu.Lock()
	defer in.mu.Unlock()
	if !replaces && p.full() {
		p.fullAt.Store(int64(sinceStart()))
		return reasonConnections
	}
	if in.byAddress != nil && p.Clients {
		if in.byAddress[address] >= in.settings.MaxConnectionsPerAddress {
			return reasonAddress
		}
		in.byAddress[address]++
	}
	p.open++
	in.open++
	in.connectionBytes += connectionCharge
	return reasonNone
}

// Received takes room for bytes of a head that have been read. Without room it returns the
// answer to send before the connection is closed.
func (c *Connection) Received(p []byte) (answer []byte) {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.http2 || c.closed {
		return nil
	}
	c.head += int64(len(p))
	if c.head > c.port.maxHead()+headSlack {
		c.port.refuse(reasonHead, c.address.String())
		return reasonHead.rawAnswer()
	}
	n := headFactor*int64(len(p)) + lineCharge*int64(bytes.Count(p, []byte{'\n'}))
	fits := c.port.main.take(n, c.held)
	if !fits && c.port.abortStalled(1) {
		fits = c.port.main.take(n, c.held)
	}
	if !fits {
		c.port.refuse(reasonRoom, c.address.String())
		return reasonRoom.rawAnswer()
	}
	c.held += n
	return nil
}

// UseHTTP2 notes that the connection uses HTTP/2, whose heads are counted by request. It
// reports whether there is room for its buffers.
func (c *Connection) UseHTTP2() bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.http2 || c.closed {
		return true
	}
	c.http2 = true
	c.giveBack()
	c.growBuffer()
	in := c.port.intake
	in.mu.Lock()
	more := int64(http2ConnectionCharge - connectionCharge)
	fits := in.connectionBytes+more <= in.connectionRoom || !c.port.Clients
	if fits {
		in.connectionBytes += more
		c.charge += more
	}
	in.mu.Unlock()
	if !fits {
		c.port.refuse(reasonConnections, c.address.String())
	}
	return fits
}

// accountKey is the context key of the *Connection that a request came on.
type accountKey struct{}

// WithConnection returns a context for the requests of a connection.
func WithConnection(ctx context.Context, c *Connection) context.Context {
	return context.WithValue(ctx, accountKey{}, c)
}

// connectionOf returns the connection that a request came on, nil if it is not known.
func connectionOf(r *http.Request) *Connection {
	c, _ := r.Context().Value(accountKey{}).(*Connection)
	return c
}

// Finish gives back what the head of an answered request holds.
func (c *Connection) Finish() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.giveBack()
}

func (c *Connection) giveBack() {
	c.port.main.giveBack(c.held)
	c.held, c.head = 0, 0
}

// Close gives back all that the connection holds.
func (c *Connection) Close() {
	if c == nil {
		return
	}
	c.EndTurn()
	c.EndRequest()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	c.giveBack()
	c.port.largeBuffers.giveBack(c.bufferCharge)
	in := c.port.intake
	in.mu.Lock()
	defer in.mu.Unlock()
	c.port.open--
	in.open--
	in.connectionBytes -= c.charge
	if in.byAddress != nil && c.port.Clients {
		if in.byAddress[c.address]--; in.byAddress[c.address] == 0 {
			delete(in.byAddress, c.address)
		}
	}
}

// Late counts a head that takes too long and returns the answer to it.
func (c *Connection) Late() []byte {
	if c == nil {
		return nil
	}
	c.port.refuse(reasonHeadLate, c.address.String())
	return reasonHeadLate.rawAnswer()
}

// rawAnswer is the answer of HTTP/1.1 to a client whose request was not parsed.
func (r reason) rawAnswer() []byte {
	text := (&refusal{r}).Error() + "\n"
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nRetry-After: %s\r\nGeranium-Outcome: not_run\r\n"+
		"Connection: close\r\nContent-Length: %s\r\n\r\n%s", r.status(), http.StatusText(r.status()), refusedRetryAfter, strconv.Itoa(len(text)), text)
}

// refusedRetryAfter is in seconds.
const refusedRetryAfter = "1"
