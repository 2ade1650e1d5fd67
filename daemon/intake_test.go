package daemon_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"geraniumwall/daemon"
	"geraniumwall/transport"
)

// roomBytes is the room of a port on a host of so little memory that the least one applies.
const roomBytes = 4 << 20

// limited returns a server of a small host that answers with the number of bytes of the body.
func limited(s transport.IntakeSettings) (*daemon.Server, *transport.Intake) {
	return limitedTo(s, transport.PortOptions{Purpose: "callers", Share: 0.01, Clients: true}, func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		fmt.Fprint(w, len(data))
	})
}

func limitedTo(s transport.IntakeSettings, o transport.PortOptions, handler http.HandlerFunc) (*daemon.Server, *transport.Intake) {
	in := transport.NewIntake(s, 64, zerolog.Nop())
	server, err := daemon.Listen(in.On(context.Background(), o), "127.0.0.1:0", handler)
	Expect(err).NotTo(HaveOccurred())
	server.Serve()
	return server, in
}

func postHead(length int, more string) string {
	return fmt.Sprintf("POST /r HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n", length, more)
}

// stalled opens connections whose bodies of the given length lack the last byte.
func stalled(s *daemon.Server, n, length int) {
	for range n {
		c := dial(s)
		_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
		_, _ = io.WriteString(c, postHead(length, "")+strings.Repeat("x", length-1))
	}
}

// refusedWith returns the status of a refusal and checks what it needs.
func refusedWith(c net.Conn) int {
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	response := readResponse(c)
	Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
	Expect(response.Close).To(BeTrue())
	Expect(response.Header.Get("Geranium-Outcome")).To(Equal("not_run"))
	_, err := bufio.NewReader(c).ReadByte()
	Expect(errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
	return response.StatusCode
}

func servesSmall(s *daemon.Server) {
	c := dial(s)
	write(c, postHead(1000, "")+strings.Repeat("x", 1000))
	Expect(readResponse(c).StatusCode).To(Equal(http.StatusOK))
}

var _ = Describe("Intake", func() {
	// Guards against limits that a client inside the limits of the deployments meets.
	It("serves the largest requests, also byte by byte, on connections that stay open", func() {
		s, in := limited(transport.IntakeSettings{MaxHeaderBytes: 16_384, HeaderTimeoutMS: 3000})
		in.SetLimits(transport.Limits{MaxHeaderBytes: 16_384, MaxBodyBytes: 262_144, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15_000})
		c := dial(s)
		for range 3 {
			head := postHead(262_144, "X-Long: "+strings.Repeat("x", 16_384-76)+"\r\n")
			Expect(len(head)).To(BeNumerically("~", 16_384, 20))
			for i := range len(head) {
				write(c, head[i:i+1])
			}
			for range 2144 {
				write(c, "x")
			}
			write(c, strings.Repeat("x", 260_000))
			Expect(readResponse(c).StatusCode).To(Equal(http.StatusOK))
		}
	})

	// Guards against requests over a limit that are read.
	It("refuses heads and bodies over their limits", func() {
		s, in := limited(transport.IntakeSettings{MaxBodyBytes: 1 << 20})
		c := dial(s)
		write(c, postHead(1<<20+1, ""))
		Expect(refusedWith(c)).To(Equal(http.StatusRequestEntityTooLarge))
		in.SetLimits(transport.Limits{MaxHeaderBytes: 2000, MaxBodyBytes: 1000})
		c = dial(s)
		write(c, postHead(1001, ""))
		Expect(refusedWith(c)).To(Equal(http.StatusRequestEntityTooLarge))
		c = dial(s)
		write(c, "POST /r HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n"+strings.Repeat("x", 1001))
		Expect(refusedWith(c)).To(Equal(http.StatusRequestEntityTooLarge))
		c = dial(s)
		write(c, "GET /r HTTP/1.1\r\nX-Long: "+strings.Repeat("x", 7000))
		Expect(refusedWith(c)).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		servesSmall(s)
	})

	// Guards against clients that hold a request open without sending it.
	It("gives up heads, bodies and connections that are late", func() {
		s, in := limited(transport.IntakeSettings{BodyIdleTimeoutMS: 300})
		in.SetLimits(transport.Limits{HeaderTimeoutMS: 300, IdleTimeoutMS: 300})
		head, body, idle := dial(s), dial(s), dial(s)
		write(head, "GET /r HT")
		write(body, postHead(100, "")+"x")
		Expect(refusedWith(body)).To(Equal(http.StatusRequestTimeout))
		Expect(refusedWith(head)).To(Equal(http.StatusRequestTimeout))
		_ = idle.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err := idle.Read(make([]byte, 1))
		Expect(err).To(Equal(io.EOF))
	})

	// Guards against a body that is sent too slowly but never stops.
	It("gives up a body below the least rate", func() {
		s, _ := limited(transport.IntakeSettings{BodyIdleTimeoutMS: 400, MinBodyRate: 1000})
		c := dial(s)
		write(c, postHead(10_000, ""))
		refused := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			refused <- refusedWith(c)
		}()
		for range 100 {
			if _, err := io.WriteString(c, "x"); err != nil {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		Eventually(refused).WithTimeout(20 * time.Second).Should(Receive(Equal(http.StatusRequestTimeout)))
	})

	// Guards against stalled bodies that use all the room: small requests have room of their
	// own, and large ones get that of the stalled.
	It("serves others beside bodies that stop short", func() {
		s, _ := limited(transport.IntakeSettings{})
		stalled(s, 3*roomBytes/(2*200_000), 200_000)
		servesSmall(s)
		for range 4 {
			c := dial(s)
			write(c, postHead(262_144, "")+strings.Repeat("x", 262_144))
			_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
			if readResponse(c).StatusCode == http.StatusOK {
				return
			}
		}
		Fail("no large request was served")
	})

	// Guards against room that isn't given back by a handler that panics or a client that leaves.
	It("gives room back on every way out", func() {
		s, _ := limitedTo(transport.IntakeSettings{}, transport.PortOptions{Purpose: "callers", Share: 0.01, Clients: true},
			func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				panic(http.ErrAbortHandler)
			})
		for range 4 * roomBytes / (2 * 262_144) {
			c := dial(s)
			write(c, postHead(262_144, "")+strings.Repeat("x", 262_144))
			_, err := c.Read(make([]byte, 1))
			Expect(err).To(HaveOccurred(), "an answer is a refusal for lack of room")
		}
		s, _ = limited(transport.IntakeSettings{})
		for range 4 * roomBytes / (2 * 200_000) {
			c, err := net.Dial("tcp", s.Address())
			Expect(err).NotTo(HaveOccurred())
			write(c, postHead(200_000, "")+strings.Repeat("x", 199_999))
			Expect(c.Close()).To(Succeed())
			time.Sleep(time.Millisecond)
		}
		Eventually(func() int {
			c := dial(s)
			write(c, postHead(262_144, "")+strings.Repeat("x", 262_144))
			return readResponse(c).StatusCode
		}).WithTimeout(10 * time.Second).Should(Equal(http.StatusOK))
	})

	// Guards against relayed requests that use the room of messages between replicas.
	It("keeps the room of relayed requests apart", func() {
		release := make(chan struct{})
		s, _ := limitedTo(transport.IntakeSettings{}, transport.PortOptions{Purpose: "internal", Share: 0.01, RelayedPrefix: "/relayed/"},
			func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.ReadAll(r.Body); err != nil {
					http.Error(w, err.Error(), http.StatusBadRequest)
				}
				if r.URL.Path != "/r" {
					<-release
				}
			})
		defer close(release)
		for range 10 {
			c := dial(s)
			write(c, strings.Replace(postHead(200_000, ""), "/r", "/relayed/r", 1)+strings.Repeat("x", 200_000))
		}
		time.Sleep(200 * time.Millisecond)
		for range 10 {
			c := dial(s)
			write(c, postHead(200_000, "")+strings.Repeat("x", 200_000))
			Expect(readResponse(c).StatusCode).To(Equal(http.StatusOK))
		}
	})

	// Guards against one address, or all of them, that use up the descriptors.
	It("refuses connections over their limits", func() {
		s, _ := limited(transport.IntakeSettings{MaxConnections: 40, MaxConnectionsPerAddress: 3})
		first, err := net.Dial("tcp", s.Address())
		Expect(err).NotTo(HaveOccurred())
		dial(s)
		dial(s)
		Expect(refusedWith(dial(s))).To(Equal(http.StatusTooManyRequests))
		Expect(first.Close()).To(Succeed())
		Eventually(func() int {
			c := dial(s)
			_, _ = io.WriteString(c, getRequest)
			return readResponse(c).StatusCode
		}).Should(Equal(http.StatusOK))
		s, _ = limited(transport.IntakeSettings{MaxConnections: 3})
		for range 3 {
			dial(s)
		}
		Expect(refusedWith(dial(s))).To(Equal(http.StatusServiceUnavailable))
		time.Sleep(1100 * time.Millisecond)
		servesSmall(s)
	})

	// Guards against clients that keep all connections busy with requests whose answers they
	// don't wait for: nobody else is let in.
	It("lets others in beside requests in a row that nobody waits for", func() {
		s, _ := limited(transport.IntakeSettings{MaxConnections: 20})
		for range 20 {
			c := dial(s)
			go func() { _, _ = io.Copy(io.Discard, c) }()
			go func() {
				for err := error(nil); err == nil; {
					_, err = io.WriteString(c, strings.Repeat(getRequest, 50))
				}
			}()
		}
		Eventually(func() int {
			c := dial(s)
			_, _ = io.WriteString(c, getRequest)
			return readResponse(c).StatusCode
		}).WithTimeout(20 * time.Second).Should(Equal(http.StatusOK))
	})

	// Guards against clients that hold connections and handlers by not reading their answers.
	It("closes connections whose answers are not read", func() {
		const answerBytes = 16 << 20
		s, _ := limitedTo(transport.IntakeSettings{MaxConnections: 3, BodyIdleTimeoutMS: 300},
			transport.PortOptions{Purpose: "callers", Share: 0.01, Clients: true},
			func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/large" {
					_, _ = w.Write(make([]byte, answerBytes))
				}
			})
		for range 3 {
			write(dial(s), "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
		}
		Eventually(func() int {
			c := dial(s)
			_, _ = io.WriteString(c, getRequest)
			return readResponse(c).StatusCode
		}).WithTimeout(20 * time.Second).Should(Equal(http.StatusOK))
	})

	// Guards against requests in a row that nobody waits for and that take all the time of a
	// process: few of them are served at a time.
	It("serves few pipelined requests at a time", func() {
		const clients = 200
		padding := strings.Repeat("x", 900)
		var serving, most atomic.Int64
		var served [clients]atomic.Int64
		s, _ := limitedTo(transport.IntakeSettings{}, transport.PortOptions{Purpose: "callers", Share: 0.01, Clients: true},
			func(_ http.ResponseWriter, r *http.Request) {
				client, err := strconv.Atoi(r.Header.Get("Client"))
				if err != nil || served[client].Add(1) < 50 {
					return
				}
				now := serving.Add(1)
				defer serving.Add(-1)
				for most.Load() < now && !most.CompareAndSwap(most.Load(), now) {
				}
				time.Sleep(5 * time.Millisecond)
			})
		for i := range clients {
			c := dial(s)
			go func() { _, _ = io.Copy(io.Discard, c) }()
			go func() {
				_, _ = io.WriteString(c, strings.Repeat(fmt.Sprintf("GET /r HTTP/1.1\r\nHost: h\r\nClient: %d\r\nX-Long: %s\r\n\r\n", i, padding), 200))
			}()
		}
		Eventually(func() bool {
			done := 0
			for i := range served {
				if served[i].Load() >= 100 {
					done++
				}
			}
			return done == clients
		}).WithTimeout(60 * time.Second).Should(BeTrue())
		Expect(most.Load()).To(BeNumerically("<=", 4*runtime.GOMAXPROCS(0)))
		servesSmall(s)
	})
})
