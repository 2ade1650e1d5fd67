package client

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/rpc/controlpb"
	"geraniumwall/transport"
	"geraniumwall/workerapi"
)

// TestSentOverHTTP2 guards against a definite refusal of a request that was sent on
// a connection that was open before.
func TestSentOverHTTP2(t *testing.T) {
	g := NewWithT(t)
	var calls atomic.Int64
	s := httptest.NewUnstartedServer(nil)
	s.Config = transport.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > 1 {
			<-r.Context().Done()
		}
	}))
	s.Start()
	t.Cleanup(s.Close)
	c := New([]string{strings.TrimPrefix(s.URL, "http://")}, transport.NewClient(transport.ClientOptions{}))
	status := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err := CallWithin(ctx, c, "Status", 100*time.Millisecond, controlpb.Control.Status, &controlpb.StatusRequest{})
		return err
	}
	g.Expect(status()).To(Succeed())
	var failed *Error
	g.Expect(errors.As(status(), &failed)).To(BeTrue())
	g.Expect(failed.Outcome).To(Equal(workerapi.OutcomeUnknown))
	g.Expect(calls.Load()).To(BeNumerically(">", 1))
}
