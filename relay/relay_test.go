package relay_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/relay"
	"geraniumwall/transport"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

// fakeReplica is an HTTP server in place of a job replica.
type fakeReplica struct {
	server *httptest.Server
	view   relay.ClusterView
	// rawView replaces view if it is set.
	rawView string
	serve   http.HandlerFunc
	// mu guards view and serve where they change while the relay asks.
	mu sync.Mutex
}

func (r *fakeReplica) address() string { return strings.TrimPrefix(r.server.URL, "http://") }

func newFakeReplica() *fakeReplica {
	r := &fakeReplica{}
	handler := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == relay.PathLeader {
			if r.rawView != "" {
				_, _ = io.WriteString(w, r.rawView)
				return
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			_ = json.NewEncoder(w).Encode(r.view)
			return
		}
		r.mu.Lock()
		serve, leader := r.serve, r.view.Leader
		r.mu.Unlock()
		if serve == nil {
			w.Header().Set(relay.HeaderNotLeader, leader)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		serve(w, q)
	})
	r.server = httptest.NewUnstartedServer(handler)
	r.server.Config = transport.NewServer(handler)
	r.server.Start()
	DeferCleanup(r.server.CloseClientConnections)
	return r
}

func withTimeout(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	DeferCleanup(cancel)
	return ctx
}

var request = relay.Request{Method: http.MethodPost, Path: "/v1/callers/p/1", Host: "h", Header: http.Header{}, Body: []byte("body")}

var _ = Describe("Relay", func() {
	// Guards against a request that is lost when another replica leads.
	It("follows leader hints to the leader", func() {
		leader, follower := newFakeReplica(), newFakeReplica()
		leader.view = relay.ClusterView{IsLeader: true, Leader: leader.address()}
		follower.view = relay.ClusterView{Leader: leader.address()}
		leader.serve = func(w http.ResponseWriter, q *http.Request) {
			body, _ := io.ReadAll(q.Body)
			w.Write([]byte(q.Host + " " + string(body)))
		}
		response, err := relay.New([]string{follower.address()}, nil).Send(withTimeout(2*time.Second), request)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(response.Body)).To(Equal("h body"))
	})

	// Guards against an error that says that nothing was done although the leader may
	// have executed the request.
	It("reports a request that a leader has received as unresolved", func() {
		leader := newFakeReplica()
		leader.view = relay.ClusterView{IsLeader: true, Leader: leader.address()}
		leader.serve = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
		_, err := relay.New([]string{leader.address()}, nil).Send(withTimeout(300*time.Millisecond), request)
		Expect(err).To(MatchError(relay.ErrUnresolved))
		Expect(err).NotTo(MatchError(relay.ErrNotRun))
	})

	// Guards against reporting a request as unresolved that was never sent.
	It("reports a request as not run while no replica leads or listens", func() {
		follower := newFakeReplica()
		_, err := relay.New([]string{follower.address()}, nil).Send(withTimeout(200*time.Millisecond), request)
		Expect(err).To(MatchError(relay.ErrNotRun))
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		closed := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		_, err = relay.New([]string{closed}, nil).Send(withTimeout(200*time.Millisecond), request)
		Expect(err).To(MatchError(relay.ErrNotRun))
	})

	// Guards against requests that are sent to a hung leader, whose connection accepts
	// them without a response. Such a leader is probed first.
	It("sends nothing to a leader that stopped responding", func() {
		silent := newFakeReplica()
		silent.view = relay.ClusterView{IsLeader: true, Leader: silent.address()}
		silent.serve = func(http.ResponseWriter, *http.Request) {}
		r := relay.New([]string{silent.address()}, nil)
		_, err := r.Send(withTimeout(time.Second), request)
		Expect(err).NotTo(HaveOccurred())
		received := make(chan struct{}, 10)
		hang := func(_ http.ResponseWriter, q *http.Request) {
			received <- struct{}{}
			<-q.Context().Done()
		}
		silent.serve = hang
		silent.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if q.URL.Path == relay.PathLeader {
				<-q.Context().Done()
				return
			}
			hang(w, q)
		})
		time.Sleep(800 * time.Millisecond)
		_, err = r.Send(withTimeout(700*time.Millisecond), request)
		Expect(err).To(MatchError(relay.ErrNotRun))
		Expect(received).To(BeEmpty())
	})
})
