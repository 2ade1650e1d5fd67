package daemon

import (
	"io"
	"net"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// connPair returns an accepted connection and its client.
func connPair() (*conn, net.Conn) {
	bound, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	l := &listener{TCPListener: bound, conns: newConnections(time.Minute)}
	defer l.Close()
	client, err := net.Dial("tcp", bound.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	accepted, err := l.Accept()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(client.Close)
	DeferCleanup(accepted.Close)
	return accepted.(*conn), client
}

// send writes text and waits until it has arrived.
func send(client net.Conn, text string) {
	_, err := io.WriteString(client, text)
	Expect(err).NotTo(HaveOccurred())
	time.Sleep(20 * time.Millisecond)
}

var _ = Describe("conn", func() {
	It("reads a request that arrived before it was ended, and waits for its rest", func() {
		c, client := connPair()
		send(client, "GET")
		c.end(time.Now())
		p := make([]byte, 16)
		n, err := c.Read(p)
		Expect(string(p[:n]), err).To(Equal("GET"))
		time.AfterFunc(20*time.Millisecond, func() { io.WriteString(client, " /") })
		n, err = c.Read(p)
		Expect(string(p[:n]), err).To(Equal(" /"))
	})

	It("does not end a request whose first byte was read while the one before was answered", func() {
		c, client := connPair()
		c.serve(false)
		_, err := c.Write([]byte("response"))
		Expect(err).NotTo(HaveOccurred())
		send(client, "GET")
		_, err = c.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		c.finish()
		c.end(time.Now())
		Expect(c.ending).To(BeFalse())
	})

	It("ends a read that waits for a request", func() {
		c, _ := connPair()
		time.AfterFunc(20*time.Millisecond, func() { c.end(time.Now()) })
		_, err := c.Read(make([]byte, 1))
		Expect(err).To(Equal(io.EOF))
		Expect(c.SetReadDeadline(time.Time{})).To(Succeed())
		_, err = c.Read(make([]byte, 1))
		Expect(err).To(Equal(io.EOF))
	})

	It("reads a request that arrived before the deadline, though the process was late", func() {
		c, client := connPair()
		Expect(c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))).To(Succeed())
		send(client, "GET / HTTP/1.1\r\n\r\n")
		time.Sleep(50 * time.Millisecond)
		p := make([]byte, 64)
		n, err := c.Read(p)
		Expect(string(p[:n]), err).To(Equal("GET / HTTP/1.1\r\n\r\n"))
		_, err = c.Read(p)
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	})

	It("does not end an incomplete request before it has stalled", func() {
		c, client := connPair()
		send(client, "G")
		p := make([]byte, 16)
		_, err := c.Read(p)
		Expect(err).NotTo(HaveOccurred())
		c.end(time.Now())
		Expect(c.ending).To(BeFalse())
		c.end(time.Now().Add(2 * stallTimeout))
		_, err = c.Read(p)
		Expect(err).To(Equal(io.EOF))
	})
})
