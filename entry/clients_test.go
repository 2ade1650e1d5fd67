package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	clientPause     = 300 * time.Millisecond
	byteInterval    = time.Millisecond
	responseTimeout = 10 * time.Second
)

// outcomes counts how the whole requests of the clients ended.
type outcomes struct {
	mu       sync.Mutex
	answered int
	refused  []string
	lost     []string
}

func (o *outcomes) add(response *http.Response, text []byte, err error, sentAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err != nil:
		o.lost = append(o.lost, fmt.Sprintf("%v after %v", err, time.Since(sentAt)))
	case response.StatusCode == http.StatusOK:
		o.answered++
	default:
		o.refused = append(o.refused, fmt.Sprintf("%s %s", response.Status, text))
	}
}

// client sends requests one after another until it can't connect. It keeps its
// connection unless a response says Connection: close, and then opens the next one at
// once.
type client struct {
	address  string
	slow     bool
	bodySize int
	random   *rand.Rand
	outcomes *outcomes
}

func (c *client) run() {
	conn, err := net.Dial("tcp", c.address)
	for err == nil {
		time.Sleep(time.Duration(c.random.Int64N(int64(clientPause))))
		if c.sendOne(conn) {
			conn.Close()
			conn, err = net.Dial("tcp", c.address)
		}
	}
}

// sendOne sends a request, waits for the response and reports whether the connection is
// to be closed. A request that could not be sent whole does not count.
func (c *client) sendOne(conn net.Conn) (closing bool) {
	body := strings.Repeat("b", c.bodySize)
	request := fmt.Sprintf("POST /queue/id HTTP/1.1\r\nHost: queue.example\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	if err := c.write(conn, request); err != nil {
		return true
	}
	sentAt := time.Now()
	conn.SetReadDeadline(sentAt.Add(responseTimeout))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	var text []byte
	if err == nil {
		text, err = io.ReadAll(response.Body)
	}
	c.outcomes.add(response, text, err, sentAt)
	return err != nil || response.Close
}

func (c *client) write(conn net.Conn, request string) error {
	if !c.slow {
		_, err := io.WriteString(conn, request)
		return err
	}
	for i := range len(request) {
		if _, err := io.WriteString(conn, request[i:i+1]); err != nil {
			return err
		}
		time.Sleep(byteInterval)
	}
	return nil
}

// startClients starts clients of all kinds. The returned group is done when all have
// ended.
func startClients(number int, address string, seed uint64, o *outcomes) *sync.WaitGroup {
	var group sync.WaitGroup
	for i := range number {
		c := &client{
			address: address, slow: i%5 == 0, bodySize: i % 3 * 100,
			random: rand.New(rand.NewPCG(seed, uint64(i))), outcomes: o,
		}
		group.Go(c.run)
	}
	return &group
}
