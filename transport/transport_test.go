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

func startServer(t *testing.T, handler http.HandlerFunc) *httptest.Server {
	server := httptest.NewUnstartedServer(nil)
	server.Config = transport.NewServer(handler)
	server.Start()
	t.Cleanup(server.Close)
	return server
}

func echoProtocol(w http.ResponseWriter, r *http.Request) { io.WriteString(w, r.Proto) }

// get requests an address, with an optional path, and returns the body of the response.
func get(c *http.Client, address string) (string, error) {
	response, err := c.Get(transport.URL(address))
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// TestProtocolSelection guards against requests between processes that stay on HTTP/1.1
// with its uncompressed headers, and against a server that rejects the HTTP/1.1 of
// version 1, callers and load balancers.
func TestProtocolSelection(t *testing.T) {
	g := NewWithT(t)
	address := startServer(t, echoProtocol).Listener.Addr().String()
	c := transport.NewClient(transport.ClientOptions{})
	g.Expect(get(c, address)).To(Equal("HTTP/1.1"), "first request, the peer may be of version 1")
	g.Expect(get(c, address)).To(Equal("HTTP/2.0"))
	http1Server := httptest.NewServer(http.HandlerFunc(echoProtocol))
	defer http1Server.Close()
	for range 2 {
		g.Expect(get(c, http1Server.Listener.Addr().String())).To(Equal("HTTP/1.1"))
	}
	g.Expect(get(transport.NewCommandClient(transport.ClientOptions{}), address)).To(Equal("HTTP/1.1"))
	g.Expect(get(http.DefaultClient, address)).To(Equal("HTTP/1.1"))
}

// TestLongPolls guards against long polls that occupy all streams of a connection and
// so block other requests to the peer.
func TestLongPolls(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	var waiting atomic.Int64
	server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/poll" {
			waiting.Add(1)
			<-release
		}
	})
	address := server.Listener.Addr().String()
	c := transport.NewClient(transport.ClientOptions{Timeout: 20 * time.Second})
	const polls = 1500
	get(c, address)
	var calls sync.WaitGroup
	for range polls {
		calls.Go(func() { get(c, address+"/poll") })
	}
	g.Eventually(waiting.Load).WithTimeout(15 * time.Second).Should(Equal(int64(polls)))
	_, err := get(c, address)
	g.Expect(err).NotTo(HaveOccurred())
	close(release)
	calls.Wait()
}

// blackholeConn discards everything that is written while cut is set.
type blackholeConn struct {
	net.Conn
	cut *atomic.Bool
}

func (c blackholeConn) Write(p []byte) (int, error) {
	if c.cut.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// TestSilentConnectionLoss guards against a connection whose packets are silently dropped
// and that blocks the requests to its peer for longer than a scheduler lease.
func TestSilentConnectionLoss(t *testing.T) {
	g := NewWithT(t)
	address := startServer(t, echoProtocol).Listener.Addr().String()
	var cut atomic.Bool
	c := transport.NewClient(transport.ClientOptions{Timeout: 200 * time.Millisecond, Wrap: func(c net.Conn) net.Conn {
		if cut.Load() {
			return c
		}
		return blackholeConn{c, &cut}
	}})
	g.Eventually(func() (string, error) { return get(c, address) }).Should(Equal("HTTP/2.0"))
	cut.Store(true)
	start := time.Now()
	g.Eventually(func() error { _, err := get(c, address); return err }).WithTimeout(3 * time.Second).Should(Succeed())
	g.Expect(time.Since(start)).To(BeNumerically("<", 1500*time.Millisecond))
}

// TestShutdown guards against a graceful shutdown that interrupts a request in flight
// or waits for idle connections.
func TestShutdown(t *testing.T) {
	g := NewWithT(t)
	started := make(chan struct{})
	server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(started)
			time.Sleep(300 * time.Millisecond)
		}
	})
	address := server.Listener.Addr().String()
	g.Expect(get(transport.NewClient(transport.ClientOptions{}), address)).To(BeEmpty())
	result := make(chan error, 1)
	go func() {
		_, err := get(transport.NewClient(transport.ClientOptions{}), address+"/slow")
		result <- err
	}()
	<-started
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	start := time.Now()
	g.Expect(server.Config.Shutdown(ctx)).To(Succeed())
	g.Expect(time.Since(start)).To(BeNumerically("<", 2500*time.Millisecond))
	g.Expect(<-result).To(Succeed())
}
