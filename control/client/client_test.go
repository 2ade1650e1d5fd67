package client

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/twitchtv/twirp"

	"geraniumwall/rpc/controlpb"
	"geraniumwall/workerapi"
)

// replica answers Status as the leader, or names the leader.
type replica struct {
	controlpb.Control
	leader string
	calls  int
}

func (r *replica) Status(context.Context, *controlpb.StatusRequest) (*controlpb.StatusResponse, error) {
	r.calls++
	if r.leader != "" {
		return nil, twirp.NewError(twirp.Unavailable, "not the leader").WithMeta(MetaLeader, r.leader)
	}
	return &controlpb.StatusResponse{Replica: 4}, nil
}

func serve(t *testing.T, r *replica) string { return serveControl(t, r) }

func serveControl(t *testing.T, r controlpb.Control) string {
	server := httptest.NewServer(controlpb.NewControlServer(r))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestAddedReplica guards against a service that stays away after a repair: the
// replica that replaced a lost one becomes leader, and no settings name it.
func TestAddedReplica(t *testing.T) {
	g := NewWithT(t)
	added := &replica{}
	follower := &replica{leader: serve(t, added)}
	c := New([]string{serve(t, follower), "127.0.0.1:1"}, http.DefaultClient)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	asked := 0
	for i := range 3 {
		answer, err := Call(ctx, c, "Status", 0, controlpb.Control.Status, &controlpb.StatusRequest{})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.GetReplica()).To(BeEquivalentTo(4))
		if i == 0 {
			asked = follower.calls
		}
	}
	g.Expect(added.calls).To(Equal(3))
	g.Expect(follower.calls).To(Equal(asked), "the leader is remembered")
}

// TestNeverSent guards against an unknown outcome where nothing was sent: the dial
// to a replica behind a silent cut lasts as long as the attempt.
func TestNeverSent(t *testing.T) {
	g := NewWithT(t)
	silent := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c := New([]string{"127.0.0.1:1"}, &http.Client{Transport: &http.Transport{DialContext: silent}})
	_, err := CallWithin(t.Context(), c, "Status", 0, controlpb.Control.Status, &controlpb.StatusRequest{})
	var failed *Error
	g.Expect(errors.As(err, &failed)).To(BeTrue())
	g.Expect(failed.Outcome).To(Equal(workerapi.OutcomeNotRun))
}

// TestPatience guards against a definite refusal while a replica that was asked and
// did not answer may have recorded the request.
func TestPatience(t *testing.T) {
	g := NewWithT(t)
	unsure := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(unsure.Close)
	c := New([]string{strings.TrimPrefix(unsure.URL, "http://"), "127.0.0.1:1"}, http.DefaultClient)
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	_, err := CallWithin(ctx, c, "Status", 100*time.Millisecond, controlpb.Control.Status, &controlpb.StatusRequest{})
	var failed *Error
	g.Expect(errors.As(err, &failed)).To(BeTrue())
	g.Expect(failed.Outcome).To(Equal(workerapi.OutcomeUnknown))
	g.Expect(ctx.Err()).To(HaveOccurred(), "it tries to resolve the outcome until the deadline")
}

// TestSentOverEachProtocol guards against a definite refusal of a request that was
// sent over HTTP/2, which reports its connections in another place.
func TestSentOverEachProtocol(t *testing.T) {
	for _, second := range []bool{false, true} {
		g := NewWithT(t)
		var reached atomic.Int64
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.ProtoMajor == 2 {
				reached.Add(1)
			}
			panic(http.ErrAbortHandler)
		}))
		server.Config.Protocols = &http.Protocols{}
		server.Config.Protocols.SetHTTP1(!second)
		server.Config.Protocols.SetUnencryptedHTTP2(second)
		server.Start()
		t.Cleanup(server.Close)
		protocols := &http.Protocols{}
		protocols.SetHTTP1(!second)
		protocols.SetUnencryptedHTTP2(second)
		c := New([]string{strings.TrimPrefix(server.URL, "http://")}, &http.Client{Transport: &http.Transport{Protocols: protocols}})
		for range 2 {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			_, err := CallWithin(ctx, c, "Status", 0, controlpb.Control.Status, &controlpb.StatusRequest{})
			cancel()
			var failed *Error
			g.Expect(errors.As(err, &failed)).To(BeTrue())
			g.Expect(failed.Outcome).To(Equal(workerapi.OutcomeUnknown), "HTTP/2: %v", second)
		}
		g.Expect(reached.Load() > 0).To(Equal(second))
	}
}
