package relay_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
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

// replica is a stand-in for a job replica.
type replica struct {
	server *httptest.Server
	view   relay.View
	serve  http.HandlerFunc
}

func (r *replica) address() string { return strings.TrimPrefix(r.server.URL, "http://") }

func newReplica() *replica {
	r := &replica{}
	handler := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == relay.PathLeader {
			_ = json.NewEncoder(w).Encode(r.view)
			return
		}
		if r.serve == nil {
			w.Header().Set(relay.HeaderNotLeader, r.view.Leader)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		r.serve(w, q)
	})
	r.server = httptest.NewUnstartedServer(handler)
	r.server.Config = transport.NewServer(handler)
	r.server.Start()
	DeferCleanup(r.server.CloseClientConnections)
	return r
}

func within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	DeferCleanup(cancel)
	return ctx
}

var request = relay.Request{Method: http.MethodPost, Path: "/v1/callers/p/1", Host: "h", Header: http.Header{}, Body: []byte("body")}

var _ = Describe("Relay", func() {
	// Guards against a request that is lost when another replica leads.
	It("follows the replicas to the leader", func() {
		leader, follower := newReplica(), newReplica()
		leader.view = relay.View{Leads: true, Leader: leader.address()}
		follower.view = relay.View{Leader: leader.address()}
		leader.serve = func(w http.ResponseWriter, q *http.Request) {
			body, _ := io.ReadAll(q.Body)
			w.Write([]byte(q.Host + " " + string(body)))
		}
		answer, err := relay.New([]string{follower.address()}).Send(within(2*time.Second), request)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer.Body)).To(Equal("h body"))
	})

	// Guards against a refusal that says that nothing was done while a leader may
	// have done it.
	It("does not call a request not run that a leader has received", func() {
		leader := newReplica()
		leader.view = relay.View{Leads: true, Leader: leader.address()}
		leader.serve = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
		_, err := relay.New([]string{leader.address()}).Send(within(300*time.Millisecond), request)
		Expect(err).To(MatchError(relay.ErrUnresolved))
		Expect(err).NotTo(MatchError(relay.ErrNotRun))
	})

	// Guards against callers who are told to wait for a request that was never sent.
	It("says that a request was not run while no replica leads or is there", func() {
		follower := newReplica()
		_, err := relay.New([]string{follower.address()}).Send(within(200*time.Millisecond), request)
		Expect(err).To(MatchError(relay.ErrNotRun))
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		gone := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		_, err = relay.New([]string{gone}).Send(within(200*time.Millisecond), request)
		Expect(err).To(MatchError(relay.ErrNotRun))
	})

	// Guards against a silent leader whose connection takes requests that never get
	// an answer: it is asked before they are sent.
	It("sends nothing to a leader that has fallen silent", func() {
		silent := newReplica()
		silent.view = relay.View{Leads: true, Leader: silent.address()}
		silent.serve = func(http.ResponseWriter, *http.Request) {}
		r := relay.New([]string{silent.address()})
		_, err := r.Send(within(time.Second), request)
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
		_, err = r.Send(within(700*time.Millisecond), request)
		Expect(err).To(MatchError(relay.ErrNotRun))
		Expect(received).To(BeEmpty())
	})
})
