package transport

import (
	"container/heap"
	"sync"
)

const (
	// freeBodyBytes is what a request may send without waiting for a turn, in bytes on the wire.
	freeBodyBytes = 8 << 10
	// pipelinedPerProcessor is how many pipelined requests are served at a time for each
	// processor. Most of them wait for a leader or an upstream.
	pipelinedPerProcessor = 4
)

// turns limits how many connections do a kind of work at a time. Of those that wait, the one that
// has caused least of that work so far is the next. Requests that need no turn so find an idle
// processor soon, however many clients cause such work. A process has two kinds:
//
//   - bytes of large bodies, from their arrival until they are parsed. Nothing waits for the
//     network, for room or for a leader during such a turn.
//   - pipelined requests, until they are answered.
type turns struct {
	mu      sync.Mutex
	free    int
	waiting turnQueue
}

// turnRequest is a connection that waits for a turn.
type turnRequest struct {
	// caused is how much of the work the connection has caused: bytes or requests.
	caused  int64
	granted chan struct{}
}

// take waits for a turn.
func (t *turns) take(caused int64) {
	t.mu.Lock()
	if t.free > 0 {
		t.free--
		t.mu.Unlock()
		return
	}
	r := &turnRequest{caused: caused, granted: make(chan struct{})}
	heap.Push(&t.waiting, r)
	t.mu.Unlock()
	<-r.granted
}

// giveBack ends a turn. The next one begins at once.
func (t *turns) giveBack() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) == 0 {
		t.free++
		return
	}
	close(heap.Pop(&t.waiting).(*turnRequest).granted)
}

// turnQueue implements heap.Interface: the connection that has caused least is the first.
type turnQueue []*turnRequest

func (q turnQueue) Len() int           { return len(q) }
func (q turnQueue) Less(i, j int) bool { return q[i].caused < q[j].caused }
func (q turnQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *turnQueue) Push(x any) { *q = append(*q, x.(*turnRequest)) }

// Pop implements heap.Interface.
func (q *turnQueue) Pop() any {
	last := len(*q) - 1
	r := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return r
}

// BodyReceived notes n bytes that have been read after the head. It waits for a turn if the
// request has sent much. A body doesn't count as stalled meanwhile.
func (c *Connection) BodyReceived(n int) {
	if c == nil {
		return
	}
	body := c.body.Load()
	if body == nil {
		return
	}
	received := c.bodyBytes.Add(int64(n))
	if received <= freeBodyBytes {
		return
	}
	body.beginWait()
	defer body.endWait()
	c.port.intake.turns.take(received)
	c.hasTurn.Store(true)
	if c.body.Load() != body {
		// The body ended while the bytes, which belong to a later request, waited.
		c.EndTurn()
	}
}

// EndTurn ends the turn of the connection if it has one: all that it has read is processed.
func (c *Connection) EndTurn() {
	if c != nil && c.hasTurn.Swap(false) {
		c.port.intake.turns.giveBack()
	}
}

// BeginRequest notes that a request begins; pipelined is set if it had arrived before the last
// one was answered. A connection on which most requests are pipelined waits for a turn, the one
// with the fewest first. The turn lasts until the request is answered. Ordinary clients wait for each answer and so find a
// process that is not busy.
func (c *Connection) BeginRequest(pipelined bool) {
	switch {
	case c == nil:
		return
	case pipelined:
		c.pipelined++
	case c.pipelined > 0:
		c.pipelined--
	}
	if c.pipelined > 0 {
		c.port.intake.pipelined.take(c.pipelined)
		c.hasPipelinedTurn.Store(true)
	}
}

// EndRequest ends the turn of a request that has been answered.
func (c *Connection) EndRequest() {
	if c != nil && c.hasPipelinedTurn.Swap(false) {
		c.port.intake.pipelined.giveBack()
	}
}

// beginBody notes that the body of a request is going to be read.
func (c *Connection) beginBody(a *account) {
	if c == nil {
		return
	}
	c.bodyBytes.Store(0)
	c.body.Store(a)
}

// endBody notes that the body is read no more.
func (c *Connection) endBody() {
	if c == nil {
		return
	}
	c.body.Store(nil)
	c.EndTurn()
}
