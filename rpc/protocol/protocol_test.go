package protocol_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/twitchtv/twirp"

	"geraniumwall/rpc/controlpb"
	"geraniumwall/rpc/protocol"
)

type replica struct{ controlpb.Replica }

// Guards against a message of an unknown version that is carried out with the
// meaning of the known one, and against a refusal that leaves the outcome open.
func TestNewerMessagesAreRefused(t *testing.T) {
	Expect := NewWithT(t).Expect
	ran := 0
	handler := protocol.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran++ }))
	for version, path := range map[string]string{"2": "/twirp/a", "x": "/twirp/a", "": "/v2/attach", "1": "/v2/attach"} {
		request := httptest.NewRequest(http.MethodPost, path, nil)
		request.Header.Set(protocol.Header, version)
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, request)
		Expect(answer.Code).To(Equal(http.StatusPreconditionFailed))
		Expect(answer.Header().Get("Geranium-Outcome")).To(Equal("not_run"))
		Expect(answer.Body.String()).To(ContainSubstring("upgrade this process"))
	}
	Expect(ran).To(BeZero())
	for version, path := range map[string]string{"": "/v1/attach", "1": "/twirp/a"} {
		request := httptest.NewRequest(http.MethodPost, path, nil)
		request.Header.Set(protocol.Header, version)
		handler.ServeHTTP(httptest.NewRecorder(), request)
	}
	Expect(ran).To(Equal(2))
}

// Guards against twirp clients that send no version.
func TestClientsSendTheVersion(t *testing.T) {
	Expect := NewWithT(t).Expect
	var got string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Get(protocol.Header)
		r.Header.Set(protocol.Header, "2")
		protocol.Handler(controlpb.NewReplicaServer(replica{})).ServeHTTP(w, r)
	}))
	defer server.Close()
	_, err := controlpb.NewReplicaProtobufClient(server.URL, server.Client(), protocol.Client()).Step(t.Context(), &controlpb.StepRequest{})
	Expect(got).To(Equal("1"))
	var refusal twirp.Error
	Expect(errors.As(err, &refusal)).To(BeTrue())
	Expect(refusal.Meta("outcome")).To(Equal("not_run"))
}
