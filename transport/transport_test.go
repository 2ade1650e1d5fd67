package transport_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/transport"
)

func serve(t *testing.T, h http.HandlerFunc) *httptest.Server {
	s := httptest.NewUnstartedServer(nil)
	s.Config = transport.NewServer(h)
	s.Start()
	t.Cleanup(s.Close)
	return s
}

func protocolOf(w http.ResponseWriter, r *http.Request) { io.WriteString(w, r.Proto) }

func get(c *http.Client, address string) (string, error) {
	answer, err := c.Get(transport.URL(address))
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

// TestProtocols guards against internal calls that fall back to HTTP/1.1 and its
// headers, and against a port that no longer serves callers and load balancers.
func TestProtocols(t *testing.T) {
	g := NewWithT(t)
	address := serve(t, protocolOf).Listener.Addr().String()
	c := transport.NewClient(transport.ClientOptions{})
	g.Expect(get(c, address)).To(Equal("HTTP/1.1"), "the peer may be of version 1")
	g.Expect(get(c, address)).To(Equal("HTTP/2.0"))
	old := httptest.NewServer(http.HandlerFunc(protocolOf))
	defer old.Close()
	for range 2 {
		g.Expect(get(c, old.Listener.Addr().String())).To(Equal("HTTP/1.1"))
	}
	g.Expect(get(transport.NewCommandClient(transport.ClientOptions{}), address)).To(Equal("HTTP/1.1"))
	g.Expect(get(http.DefaultClient, address)).To(Equal("HTTP/1.1"))
}

// TestLongPolls guards against long polls that starve other calls to the peer.
func TestLongPolls(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	var waiting atomic.Int64
	server := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/poll" {
			waiting.Add(1)
			<-release
		}
	})
	address := server.Listener.Addr().String()
	c := transport.NewClient(transport.ClientOptions{Timeout: 20 * time.Second})
	const polls = 1500
	get(c, address)
	var all sync.WaitGroup
	for range polls {
		all.Go(func() { get(c, address+"/poll") })
	}
	g.Eventually(waiting.Load).WithTimeout(15 * time.Second).Should(Equal(int64(polls)))
	_, err := get(c, address)
	g.Expect(err).NotTo(HaveOccurred())
	close(release)
	all.Wait()
}

// cutConn drops what is written after the cut.
type cutConn struct {
	net.Conn
	cut *atomic.Bool
}

func (c cutConn) Write(p []byte) (int, error) {
	if c.cut.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// TestSilentCut guards against a connection that was cut silently and holds up the
// calls to the peer for longer than a scheduler lease.
func TestSilentCut(t *testing.T) {
	g := NewWithT(t)
	address := serve(t, protocolOf).Listener.Addr().String()
	var cut atomic.Bool
	c := transport.NewClient(transport.ClientOptions{Timeout: 200 * time.Millisecond, Wrap: func(c net.Conn) net.Conn {
		if cut.Load() {
			return c
		}
		return cutConn{c, &cut}
	}})
	g.Eventually(func() (string, error) { return get(c, address) }).Should(Equal("HTTP/2.0"))
	cut.Store(true)
	began := time.Now()
	g.Eventually(func() error { _, err := get(c, address); return err }).WithTimeout(3 * time.Second).Should(Succeed())
	g.Expect(time.Since(began)).To(BeNumerically("<", 1500*time.Millisecond))
}

// TestShutdown guards against a planned stop that interrupts a call in progress or
// that waits for idle connections.
func TestShutdown(t *testing.T) {
	g := NewWithT(t)
	entered := make(chan struct{})
	server := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(entered)
			time.Sleep(300 * time.Millisecond)
		}
	})
	address := server.Listener.Addr().String()
	g.Expect(get(transport.NewClient(transport.ClientOptions{}), address)).To(BeEmpty())
	answered := make(chan error, 1)
	go func() {
		_, err := get(transport.NewClient(transport.ClientOptions{}), address+"/slow")
		answered <- err
	}()
	<-entered
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	began := time.Now()
	g.Expect(server.Config.Shutdown(ctx)).To(Succeed())
	g.Expect(time.Since(began)).To(BeNumerically("<", 2500*time.Millisecond))
	g.Expect(<-answered).To(Succeed())
}
