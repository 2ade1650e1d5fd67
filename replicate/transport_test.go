package replicate_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/raft"
	"geraniumwall/replicate"
	"geraniumwall/rpc/controlpb"
)

// stepRecorder records the Step requests that it receives.
type stepRecorder struct{ received chan *controlpb.StepRequest }

func (r stepRecorder) Step(_ context.Context, q *controlpb.StepRequest) (*controlpb.StepResponse, error) {
	r.received <- q
	return &controlpb.StepResponse{}, nil
}

var _ = Describe("HTTPTransport", func() {
	// Guards against a joining replica that gets messages and doesn't know whom to ask.
	It("names the address of the sender", func() {
		r := stepRecorder{make(chan *controlpb.StepRequest, 1)}
		server := httptest.NewServer(controlpb.NewReplicaServer(r))
		DeferCleanup(server.Close)
		t := replicate.NewHTTPTransport(1, "127.0.0.1:1", http.DefaultClient, nil, func() {})
		DeferCleanup(t.Close)
		t.SetPeers(map[uint64]string{2: strings.TrimPrefix(server.URL, "http://")})
		t.Send([]raft.Message{{From: 1, To: 2}})
		var q *controlpb.StepRequest
		Eventually(r.received).Should(Receive(&q))
		Expect(q.GetFrom()).To(Equal(uint64(1)))
		Expect(q.GetAddress()).To(Equal("127.0.0.1:1"))
	})
})
