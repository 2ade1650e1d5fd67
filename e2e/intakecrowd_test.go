package e2e_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	crowdSize = 250
	// crowdBody is the declared length of most bodies: the limit of the deployments.
	crowdBody = 262_144
	// crowdMissing is what such a body lacks at its end.
	crowdMissing = 144
	// crowdWriteTimeout ends a client whose bytes nobody reads.
	crowdWriteTimeout = 10 * time.Second
	crowdPiece        = 1000
	crowdStreams      = 40
)

// crowd is a set of clients that keep to no limits. Their connections stay open until it is
// closed.
type crowd struct {
	address string
	// method, path, host and header are those of the requests.
	method, path, host, header string

	clients sync.WaitGroup
	mu      sync.Mutex
	closers []func()
}

// crowdForm is what each client of a crowd does. It returns once it has sent all that it can.
type crowdForm struct {
	name string
	size int
	play func(c *crowd)
}

func (c *crowd) head(more string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s%s\r\n", c.method, c.path, c.host, c.header, more)
}

func (c *crowd) onClose(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closers = append(c.closers, f)
}

func (c *crowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.closers {
		f()
	}
}

// dial opens a connection that drops what the server sends.
func (c *crowd) dial() net.Conn {
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return nil
	}
	c.onClose(func() { _ = conn.Close() })
	_ = conn.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	return conn
}

// write returns a form of HTTP/1.1 that sends the pieces one after the other.
func write(pieces func(c *crowd, send func(string) bool)) func(*crowd) {
	return func(c *crowd) {
		conn := c.dial()
		if conn == nil {
			return
		}
		pieces(c, func(piece string) bool {
			_, err := io.WriteString(conn, piece)
			return err == nil
		})
	}
}

// repeat sends a piece n times.
func repeat(send func(string) bool, n int, piece string) {
	for range n {
		if !send(piece) {
			return
		}
	}
}

var crowdForms = []crowdForm{
	{"bodies that stop short", crowdSize, write(func(c *crowd, send func(string) bool) {
		send(c.head(fmt.Sprintf("Content-Length: %d\r\n", crowdBody)) + strings.Repeat("x", crowdBody-crowdMissing))
	})},
	{"bodies that stop short, piece by piece", crowdSize, write(func(c *crowd, send func(string) bool) {
		send(c.head(fmt.Sprintf("Content-Length: %d\r\n", crowdBody)))
		repeat(send, (crowdBody-crowdMissing)/crowdPiece, strings.Repeat("x", crowdPiece))
	})},
	{"large bodies that stop short", crowdSize / 4, write(func(c *crowd, send func(string) bool) {
		send(c.head("Content-Length: 4000000\r\n"))
		repeat(send, 3999, strings.Repeat("x", crowdPiece))
	})},
	{"one large chunk", crowdSize, write(func(c *crowd, send func(string) bool) {
		send(c.head("Transfer-Encoding: chunked\r\n") + fmt.Sprintf("%x\r\n", crowdBody) + strings.Repeat("x", crowdBody-crowdMissing))
	})},
	{"very small chunks", crowdSize, write(func(c *crowd, send func(string) bool) {
		send(c.head("Transfer-Encoding: chunked\r\n"))
		repeat(send, 40, strings.Repeat("1\r\nx\r\n", 1000))
	})},
	{"bodies announced over the limit", crowdSize, write(func(c *crowd, send func(string) bool) {
		send(c.head("Content-Length: 1000000000\r\n"))
		repeat(send, 100, strings.Repeat("x", 100_000))
	})},
	{"bodies over the limit that are just sent", crowdSize, write(func(c *crowd, send func(string) bool) {
		send(c.head("Transfer-Encoding: chunked\r\n"))
		repeat(send, 40, fmt.Sprintf("%x\r\n%s\r\n", crowdBody, strings.Repeat("x", crowdBody)))
	})},
	{"bodies that do not wait for 100 Continue", crowdSize, write(func(c *crowd, send func(string) bool) {
		send(c.head(fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n", crowdBody)) + strings.Repeat("x", crowdBody-crowdMissing))
	})},
	{"heads over the limit", crowdSize, write(func(c *crowd, send func(string) bool) {
		send(c.head("X-Long: " + strings.Repeat("x", 900_000) + "\r\n"))
	})},
	{"heads without end", crowdSize, write(func(c *crowd, send func(string) bool) {
		send(strings.TrimSuffix(c.head(""), "\r\n"))
		for i := range 100_000 {
			if !send(fmt.Sprintf("X-%d: y\r\n", i)) {
				return
			}
		}
	})},
	{"heads just under the limit without end", crowdSize, write(func(c *crowd, send func(string) bool) {
		var head bytes.Buffer
		head.WriteString(strings.TrimSuffix(c.head(""), "\r\n"))
		for i := 0; head.Len() < 16_000; i++ {
			fmt.Fprintf(&head, "%x:y\r\n", i)
		}
		send(head.String())
	})},
	{"empty lines without end", crowdSize, write(func(_ *crowd, send func(string) bool) {
		repeat(send, 1000, strings.Repeat("\r\n", 500))
	})},
	{"connections that send nothing", 600, write(func(*crowd, func(string) bool) {})},
	{"requests in a row that nobody waits for", crowdSize, write(func(c *crowd, send func(string) bool) {
		repeat(send, 200, c.head("Content-Length: 1000\r\n")+strings.Repeat("x", 1000))
	})},
	{"HTTP/2: many streams with bodies that stop short", crowdSize / 10, func(c *crowd) { c.openStreams() }},
	{"HTTP/2: header blocks without end", crowdSize, write(func(_ *crowd, send func(string) bool) {
		send(http2Preface + http2Frame(frameHeaders, 1, headerBlock(0, 100)))
		for i := range 300 {
			if !send(http2Frame(frameContinuation, 1, headerBlock(100*i, 100))) {
				return
			}
		}
	})},
	{"HTTP/2: connections that send nothing more", 600, write(func(_ *crowd, send func(string) bool) { send(http2Preface) })},
}

// openStreams opens requests on one HTTP/2 connection whose bodies stop short.
func (c *crowd) openStreams() {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols, MaxConnsPerHost: 1}
	var streams sync.WaitGroup
	for range crowdStreams {
		body, end := io.Pipe()
		request, err := http.NewRequest(c.method, "http://"+c.address+c.path, body)
		if err != nil {
			continue
		}
		request.Host, request.ContentLength = c.host, crowdBody
		for line := range strings.SplitSeq(strings.TrimSpace(c.header), "\r\n") {
			if name, value, found := strings.Cut(line, ": "); found {
				request.Header.Set(name, value)
			}
		}
		c.onClose(func() { _ = end.Close() })
		streams.Go(func() {
			stop := time.AfterFunc(crowdWriteTimeout, func() { _ = body.CloseWithError(io.ErrClosedPipe) })
			defer stop.Stop()
			_, _ = end.Write(bytes.Repeat([]byte("x"), crowdBody-crowdMissing))
		})
		c.clients.Go(func() {
			response, err := transport.RoundTrip(request)
			_ = body.CloseWithError(io.ErrClosedPipe)
			if err == nil {
				_ = response.Body.Close()
			}
		})
	}
	streams.Wait()
	c.onClose(transport.CloseIdleConnections)
}

// Frames of HTTP/2, RFC 9113.
const (
	http2Preface      = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + "\x00\x00\x00\x04\x00\x00\x00\x00\x00"
	frameHeaders      = 1
	frameContinuation = 9
)

// http2Frame returns a frame without flags, so that a header block goes on.
func http2Frame(kind byte, stream uint32, payload string) string {
	header := []byte{byte(len(payload) >> 16), byte(len(payload) >> 8), byte(len(payload)), kind, 0}
	return string(binary.BigEndian.AppendUint32(header, stream)) + payload
}

// headerBlock returns n literal fields in HPACK, RFC 7541.
func headerBlock(first, n int) string {
	var block strings.Builder
	for i := range n {
		name := fmt.Sprintf("x-%d", first+i)
		value := strings.Repeat("y", 60)
		block.WriteString("\x00" + string(rune(len(name))) + name + string(rune(len(value))) + value)
	}
	return block.String()
}

// play lets all clients of a form send what they can.
func (c *crowd) play(form crowdForm) {
	var sending sync.WaitGroup
	for range form.size {
		sending.Go(func() { form.play(c) })
	}
	sending.Wait()
}
