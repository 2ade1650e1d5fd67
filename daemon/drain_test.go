package daemon_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"geraniumwall/daemon"
	"geraniumwall/transport"
)

const getRequest = "GET /r HTTP/1.1\r\nHost: h\r\n\r\n"

func listenFor(handler http.HandlerFunc) *daemon.Server {
	s, err := daemon.Listen(context.Background(), "127.0.0.1:0", handler)
	Expect(err).NotTo(HaveOccurred())
	return s
}

func serve(handler http.HandlerFunc) *daemon.Server {
	s := listenFor(handler)
	s.Serve()
	return s
}

func dial(s *daemon.Server) net.Conn {
	c, err := net.Dial("tcp", s.Address())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	return c
}

func write(c net.Conn, text string) {
	_, err := io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
}

func readResponse(c net.Conn) *http.Response {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	response.Body = io.NopCloser(bytes.NewReader(body))
	return response
}

func startDrain(s *daemon.Server, o daemon.DrainOptions) <-chan daemon.DrainReport {
	reports := make(chan daemon.DrainReport, 1)
	go func() { reports <- s.Drain(o) }()
	time.Sleep(50 * time.Millisecond)
	return reports
}

var _ = Describe("Drain", func() {
	echo := func(w http.ResponseWriter, r *http.Request) { io.Copy(w, r.Body) }

	It("ends at once without connections, and soon with one that is idle", func() {
		Expect(serve(echo).Drain(daemon.DrainOptions{}).Duration).To(BeNumerically("<", 200*time.Millisecond))
		s := serve(echo)
		c := dial(s)
		write(c, getRequest)
		Expect(readResponse(c).Close).To(BeFalse())
		Expect(s.Drain(daemon.DrainOptions{}).Duration).To(BeNumerically("<", time.Second))
		_, err := c.Read(make([]byte, 1))
		Expect(err).To(Equal(io.EOF))
	})

	It("answers requests of connections that wait to be accepted", func() {
		s := listenFor(echo)
		clients := []net.Conn{dial(s), dial(s)}
		for _, c := range clients {
			write(c, getRequest)
		}
		reports := startDrain(s, daemon.DrainOptions{})
		s.Serve()
		for _, c := range clients {
			Expect(readResponse(c).Close).To(BeTrue())
		}
		Expect((<-reports).Answered).To(Equal(2))
		Consistently(s.Failed()).ShouldNot(Receive())
	})

	It("answers requests that wait for a connection while the pool is full", func() {
		pool := transport.NewBudget(40, zerolog.Nop()).Pool("callers", 1)
		slow := func(http.ResponseWriter, *http.Request) { time.Sleep(100 * time.Millisecond) }
		s, err := daemon.Listen(transport.WithPool(context.Background(), pool), "127.0.0.1:0", http.HandlerFunc(slow))
		Expect(err).NotTo(HaveOccurred())
		s.Serve()
		var clients []net.Conn
		for range 70 {
			c := dial(s)
			write(c, getRequest)
			clients = append(clients, c)
		}
		time.Sleep(50 * time.Millisecond)
		reports := startDrain(s, daemon.DrainOptions{Within: 5 * time.Second})
		for _, c := range clients {
			Expect(readResponse(c).StatusCode).To(Equal(http.StatusOK))
		}
		Expect((<-reports).CutOff).To(BeEmpty())
	})

	// Guards against a panic that closes the connection of a whole request with no answer.
	It("answers a request whose handler panics", func() {
		s := serve(func(http.ResponseWriter, *http.Request) { panic("test") })
		c := dial(s)
		write(c, getRequest)
		response := readResponse(c)
		Expect(response.StatusCode).To(Equal(http.StatusGatewayTimeout))
		Expect(response.Close).To(BeTrue())
	})

	It("closes the connections of requests that began before it", func() {
		s := serve(func(http.ResponseWriter, *http.Request) { time.Sleep(200 * time.Millisecond) })
		c := dial(s)
		write(c, getRequest)
		time.Sleep(50 * time.Millisecond)
		reports := startDrain(s, daemon.DrainOptions{})
		Expect(readResponse(c).Close).To(BeTrue())
		Expect((<-reports).Answered).To(Equal(1))
	})

	It("waits for a slow header and a slow body", func() {
		s := serve(echo)
		c := dial(s)
		request := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
		write(c, request[:1])
		reports := startDrain(s, daemon.DrainOptions{})
		for _, b := range request[1:] {
			write(c, string(b))
			time.Sleep(15 * time.Millisecond)
		}
		body, err := io.ReadAll(readResponse(c).Body)
		Expect(string(body), err).To(Equal("abc"))
		Expect((<-reports).Answered).To(Equal(1))
	})

	It("refuses a request that begins late without running it", func() {
		var run atomic.Bool
		s := serve(func(http.ResponseWriter, *http.Request) { run.Store(true) })
		c := dial(s)
		write(c, getRequest[:1])
		reports := startDrain(s, daemon.DrainOptions{Within: 900 * time.Millisecond})
		time.Sleep(700 * time.Millisecond)
		write(c, getRequest[1:])
		response := readResponse(c)
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(response.Close).To(BeTrue())
		Expect((<-reports).Refused).To(Equal(1))
		Expect(run.Load()).To(BeFalse())
	})

	It("reports and logs a request that is in progress at the end", func() {
		release := make(chan struct{})
		DeferCleanup(func() { close(release) })
		s := serve(func(http.ResponseWriter, *http.Request) { <-release })
		write(dial(s), getRequest)
		time.Sleep(50 * time.Millisecond)
		report := s.Drain(daemon.DrainOptions{Within: 300 * time.Millisecond})
		Expect(report.Duration).To(BeNumerically("<", time.Second))
		Expect(report.CutOff).To(HaveLen(1))
		var lines bytes.Buffer
		report.Record(zerolog.New(&lines))
		Expect(lines.String()).To(And(ContainSubstring(`"method":"GET","path":"/r"`), ContainSubstring(`"cut_off":1`)))
	})

	It("loses no HTTP/2 stream", func() {
		s := serve(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(20 * time.Millisecond)
			io.Copy(w, r.Body)
		})
		client := transport.NewClient(transport.ClientOptions{})
		var answered atomic.Int64
		var lost sync.Map
		var senders sync.WaitGroup
		for range 20 {
			senders.Go(func() {
				for sendUntilRefused(client, s.Address(), &answered, &lost) {
				}
			})
		}
		Eventually(answered.Load).WithTimeout(10 * time.Second).Should(BeNumerically(">", 100))
		report := s.Drain(daemon.DrainOptions{Notice: 200 * time.Millisecond, Within: 5 * time.Second})
		senders.Wait()
		lost.Range(func(key, _ any) bool { Fail(fmt.Sprint("lost: ", key)); return false })
		Expect(report.Answered).To(BeNumerically(">", 0))
		Expect(report.CutOff).To(BeEmpty())
	})
})

// sendUntilRefused sends a request and reports whether the server still accepts
// connections. An error other than of connecting is a lost request.
func sendUntilRefused(client *http.Client, address string, answered *atomic.Int64, lost *sync.Map) bool {
	response, err := client.Post(transport.URL(address), "text/plain", strings.NewReader("body"))
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	if err == nil {
		answered.Add(1)
		return true
	}
	var opErr *net.OpError
	if !errors.As(err, &opErr) || opErr.Op != "dial" {
		lost.Store(err.Error(), true)
	}
	return false
}
