package transport_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"geraniumwall/transport"
)

const (
	budgetFiles = 64
	// poolLimit is the limit of each of two pools that share budgetFiles equally.
	poolLimit   = 16
	shortWait   = 50 * time.Millisecond
	servedSoon  = 5 * time.Second
	budgetShare = 0.5
)

func newPools(t *testing.T) (first, second *transport.Pool) {
	t.Helper()
	b := transport.NewBudget(budgetFiles, zerolog.Nop())
	return b.Pool("first", budgetShare), b.Pool("second", budgetShare)
}

// acquire takes a slot and fails the test if there is none.
func acquire(t *testing.T, p *transport.Pool, longPoll bool) (release func()) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), shortWait)
	defer cancel()
	release, err := p.Acquire(ctx, longPoll)
	if err != nil {
		t.Fatal(err)
	}
	return release
}

// TestCallWithoutConnectionIsKnownAsNotSent guards against a call that waits for ever at the
// limit, or whose error does not tell that nothing was sent.
func TestCallWithoutConnectionIsKnownAsNotSent(t *testing.T) {
	g := NewWithT(t)
	pool, _ := newPools(t)
	var releases []func()
	for range poolLimit {
		releases = append(releases, acquire(t, pool, false))
	}
	ctx, cancel := context.WithTimeout(t.Context(), shortWait)
	defer cancel()
	_, err := pool.Acquire(ctx, false)
	var none *transport.NoConnectionError
	g.Expect(errors.As(err, &none)).To(BeTrue())
	g.Expect(none.Limit).To(Equal(poolLimit))
	g.Expect(transport.IsShortage(err)).To(BeTrue())
	time.AfterFunc(shortWait/5, releases[0])
	acquire(t, pool, false)
}

// TestLongPollsLeaveConnectionsToOtherCalls guards against starts that wait for the ends of
// long polls, and against polls that keep others from their turn.
func TestLongPollsLeaveConnectionsToOtherCalls(t *testing.T) {
	g := NewWithT(t)
	pool, _ := newPools(t)
	for range poolLimit * 3 / 4 {
		acquire(t, pool, true)
	}
	g.Expect(pool.LongPollShare()).To(Equal(1.0))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() {
		_, err := pool.Acquire(ctx, true)
		ended <- err
	}()
	g.Eventually(pool.LongPollShare).Should(BeNumerically("<", 1))
	acquire(t, pool, false)
	cancel()
	g.Expect(<-ended).To(MatchError(context.Canceled))
	g.Expect(pool.LongPollShare()).To(Equal(1.0))
}

// limitedServer serves handler with the connections of a pool.
func limitedServer(t *testing.T, pool *transport.Pool, handler http.HandlerFunc) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := transport.NewServer(handler)
	limited := transport.LimitListener(transport.WithPool(t.Context(), pool), listener, server)
	go func() { _ = server.Serve(limited) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// TestFullListenerStarvesNoOther guards against one listener that takes the connections of
// all others, and against requests that are cut off to make room.
func TestFullListenerStarvesNoOther(t *testing.T) {
	g := NewWithT(t)
	first, second := newPools(t)
	release := make(chan struct{})
	busy := limitedServer(t, first, func(http.ResponseWriter, *http.Request) { <-release })
	other := limitedServer(t, second, echoProtocol)
	answers := make(chan error, poolLimit)
	for range poolLimit {
		go func() {
			_, err := get(&http.Client{Transport: &http.Transport{}}, busy)
			answers <- err
		}()
	}
	g.Eventually(first.HasRoom).WithTimeout(servedSoon).Should(BeFalse())
	late := make(chan error, 1)
	go func() {
		_, err := get(&http.Client{Transport: &http.Transport{}, Timeout: servedSoon}, busy)
		late <- err
	}()
	g.Expect(get(&http.Client{Transport: &http.Transport{}, Timeout: time.Second}, other)).To(Equal("HTTP/1.1"))
	g.Consistently(late).WithTimeout(4 * shortWait).ShouldNot(Receive())
	close(release)
	for range poolLimit {
		g.Expect(<-answers).To(Succeed())
	}
	g.Eventually(late).WithTimeout(servedSoon).Should(Receive(BeNil()))
}

// TestFullListenerClosesIdleConnections guards against clients that keep connections which
// they do not use, so that others are never served.
func TestFullListenerClosesIdleConnections(t *testing.T) {
	g := NewWithT(t)
	pool, _ := newPools(t)
	address := limitedServer(t, pool, echoProtocol)
	for range poolLimit {
		conn, err := net.Dial("tcp", address)
		g.Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
	}
	g.Eventually(pool.HasRoom).WithTimeout(servedSoon).Should(BeFalse())
	response, err := (&http.Client{Transport: &http.Transport{}, Timeout: 3 * servedSoon}).Get(transport.URL(address))
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	g.Expect(io.ReadAll(response.Body)).To(BeEquivalentTo("HTTP/1.1"))
	g.Expect(response.Close).To(BeTrue(), "a client was not asked to close its connection")
}
