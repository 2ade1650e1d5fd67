package gateway

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/workerapi"
)

var _ = Describe("hedging", func() {
	// warm teaches the gateway the usual latency of the service.
	warm := func(r *rig) {
		for i := range 30 {
			Expect(r.quote("x").status).To(Equal(http.StatusOK))
			Expect(r.hold(fmt.Sprint("warm", i), "x").status).To(Equal(http.StatusOK))
		}
		r.clock.jumped.Add(int64(2 * time.Second))
		r.synced()
		Expect(r.quote("x").status).To(Equal(http.StatusOK))
		Expect(r.hold("warm", "x").status).To(Equal(http.StatusOK))
	}

	It("answers from another worker when one is frozen", func() {
		a, b, g := newFakeUpstream("w1"), newFakeUpstream("w2"), newGate()
		r := newRig(a.grant(8, 3*time.Second), b.grant(8, 3*time.Second))
		warm(r)
		a.behave(g.serve)
		for range 10 {
			got := r.quote("x", workerapi.HeaderRequestID, "id")
			Expect(got.body).To(Equal("id x"))
		}
		Eventually(r.outstanding).Should(BeZero())
		close(g.open)
	})

	It("answers unknown when neither attempt is answered", func() {
		a, b := newFakeUpstream("w1"), newFakeUpstream("w2")
		r := newRig(a.grant(8, 3*time.Second), b.grant(8, 3*time.Second))
		warm(r)
		slow := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
		a.behave(slow)
		b.behave(slow)
		got := r.quote("", workerapi.HeaderDeadline, "800")
		Expect(got.outcome).To(Equal(workerapi.OutcomeUnknown))
		Eventually(r.outstanding).Should(BeZero())
	})

	It("never hedges a request to a non-idempotent service", func() {
		a, b := newFakeUpstream("w1"), newFakeUpstream("w2")
		r := newRig(a.grant(8, 3*time.Second), b.grant(8, 3*time.Second))
		warm(r)
		var started atomic.Int64
		slow := func(w http.ResponseWriter, _ *http.Request) {
			started.Add(1)
			time.Sleep(300 * time.Millisecond)
		}
		a.behave(slow)
		b.behave(slow)
		Expect(r.hold("k", "x").status).To(Equal(http.StatusOK))
		Expect(started.Load()).To(Equal(int64(1)))
	})
})
