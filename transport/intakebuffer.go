package transport

const (
	// unreadShare is the part of the memory that bytes may use which have arrived at any
	// connections and have not been read.
	unreadShare = 0.15
	// unreadFactor is how many bytes the kernel accepts for a byte of SO_RCVBUF: it doubles the
	// value and needs a part of that for its own structures.
	unreadFactor = 1.5
	// largeBufferPart is the part of a port's share of the memory that larger receive buffers
	// may use in addition, as a fraction 1/largeBufferPart.
	largeBufferPart = 6
	// Values of SO_RCVBUF in bytes. largeReceiveBuffer is for connections with large bodies.
	minReceiveBuffer   = 2 << 10
	largeReceiveBuffer = 32 << 10
	// listenBacklog is how many connections of a port may wait to be accepted.
	listenBacklog = 512
	// clientPorts is the number of ports of a process that many clients may reach.
	clientPorts = 2
)

// receiveBufferFor returns the value of SO_RCVBUF with which all connections together, those
// that wait to be accepted included, hold no more than their share of the memory.
func receiveBufferFor(memory, connections int64) int {
	each := unreadShare * float64(memory) / unreadFactor / float64(connections+clientPorts*listenBacklog)
	return int(min(max(each, minReceiveBuffer), largeReceiveBuffer))
}

// ReceiveBuffer returns the value of SO_RCVBUF of new connections in bytes.
func (p *Port) ReceiveBuffer() int { return p.intake.receiveBuffer }

// Backlog returns how many connections may wait to be accepted.
func (p *Port) Backlog() int { return listenBacklog }

// readBuffer is a connection whose receive buffer can be changed.
type readBuffer interface {
	SetReadBuffer(bytes int) error
}

// growBuffer gives the connection a large receive buffer if the port has room for one. The
// connection keeps it until it is closed, since a client may use a window that it was given
// once at any later time. mu is held.
func (c *Connection) growBuffer() {
	small := c.port.intake.receiveBuffer
	if c.closed || c.bufferCharge > 0 || small >= largeReceiveBuffer {
		return
	}
	charge := int64(unreadFactor * float64(largeReceiveBuffer-small))
	if room := c.port.largeBuffers; !room.takeUpTo(room.limit, charge) {
		return
	}
	c.bufferCharge = charge
	_ = c.buffer.SetReadBuffer(largeReceiveBuffer)
}

// useLargeBuffer is growBuffer for a request whose body may exceed the receive buffer.
func (c *Connection) useLargeBuffer() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.growBuffer()
}
