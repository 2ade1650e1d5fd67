package transport

import (
	"net/netip"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
)

// bodyOn returns a connection of the port that reads a body.
func bodyOn(p *Port) *Connection {
	c, _ := p.Accept(netip.AddrPort{}, nil, false)
	c.beginBody(&account{port: p, room: p.main})
	return c
}

// receive lets the connection receive n bytes and returns a channel that is closed once they
// may be processed.
func receive(c *Connection, n int) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.BodyReceived(n)
	}()
	return done
}

func waitingForTurns(in *Intake) func() int {
	return func() int {
		in.turns.mu.Lock()
		defer in.turns.mu.Unlock()
		return len(in.turns.waiting)
	}
}

// Guards against an ordinary request that waits behind all clients that send large bodies:
// small bodies wait for nobody, and of the others the one that has sent least is the next.
func TestTurnsOfLargeBodies(t *testing.T) {
	g := NewWithT(t)
	in := NewIntake(IntakeSettings{}, 0, zerolog.Nop())
	p := in.Port(PortOptions{Purpose: "test", Share: smallShare})
	var busy []*Connection
	for range runtime.GOMAXPROCS(0) {
		c := bodyOn(p)
		g.Eventually(receive(c, freeBodyBytes+1)).Should(BeClosed())
		busy = append(busy, c)
	}
	g.Eventually(receive(bodyOn(p), freeBodyBytes)).Should(BeClosed(), "a small body")

	first, second := bodyOn(p), bodyOn(p)
	secondDone := receive(second, 9*freeBodyBytes)
	g.Eventually(waitingForTurns(in)).Should(Equal(1))
	firstDone := receive(first, 2*freeBodyBytes)
	g.Eventually(waitingForTurns(in)).Should(Equal(2))
	g.Expect(second.body.Load().idle()).To(BeZero(), "a body that waits has not stalled")

	busy[0].EndTurn()
	g.Eventually(firstDone).Should(BeClosed(), "the body that has sent least")
	g.Consistently(secondDone).WithTimeout(50 * time.Millisecond).ShouldNot(BeClosed())
	first.Close()
	g.Eventually(secondDone).Should(BeClosed(), "after a connection was closed")
}

// Guards against turns that are lost when a body ends: no large body would be read any more.
func TestTurnsAreGivenBack(t *testing.T) {
	g := NewWithT(t)
	in := NewIntake(IntakeSettings{}, 0, zerolog.Nop())
	p := in.Port(PortOptions{Purpose: "test", Share: smallShare})
	for _, end := range []func(*Connection){(*Connection).EndTurn, (*Connection).Close, (*Connection).endBody} {
		for range 2 * runtime.GOMAXPROCS(0) {
			c := bodyOn(p)
			g.Eventually(receive(c, 2*freeBodyBytes)).Should(BeClosed())
			end(c)
			end(c)
		}
	}
	g.Expect(in.turns.free).To(Equal(runtime.GOMAXPROCS(0)))

	var busy []*Connection
	for range runtime.GOMAXPROCS(0) {
		c := bodyOn(p)
		c.BodyReceived(2 * freeBodyBytes)
		busy = append(busy, c)
	}
	c := bodyOn(p)
	done := receive(c, 2*freeBodyBytes)
	g.Eventually(waitingForTurns(in)).Should(Equal(1))
	c.endBody()
	for _, other := range busy {
		other.EndTurn()
	}
	g.Eventually(done).Should(BeClosed(), "a body that ended while it waited")
	g.Expect(in.turns.free).To(Equal(runtime.GOMAXPROCS(0)))
}

// Guards against receive buffers that together exceed their share of the memory, or that are
// too small for a request to be read.
func TestReceiveBuffersFollowFromTheMemory(t *testing.T) {
	for _, c := range []struct {
		memoryMB, connections int64
		bytes                 int
	}{
		{184, 3690, 4092}, {72, 300, 5702}, {64, 3690, minReceiveBuffer}, {1024, 300, largeReceiveBuffer},
	} {
		NewWithT(t).Expect(receiveBufferFor(c.memoryMB<<20, c.connections)).To(Equal(c.bytes), "%+v", c)
	}
}
