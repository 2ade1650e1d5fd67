package gateway

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/workerapi"
)

// unsized hides the length of a body, so that it is sent in chunks.
type unsized struct{ io.Reader }

var _ = Describe("bodies", func() {
	It("passes large bodies on completely in both directions", func() {
		u := newFakeUpstream("w1")
		u.behave(echo)
		r := newRig(u.grant(2, 3*time.Second))
		body := strings.Repeat("0123456789abcdef", 50_000)
		for _, headers := range [][]string{{}, {workerapi.HeaderIdempotent, "key"}} {
			got := r.post("/v1/call/quote", body, append(headers, workerapi.HeaderRequestID, "id")...)
			Expect(got.err).NotTo(HaveOccurred())
			Expect(sha256.Sum256([]byte(got.body))).To(Equal(sha256.Sum256([]byte("id " + body))))
		}
		chunked := send(r.url+"/v1/call/quote", unsized{strings.NewReader(body)})
		Expect(chunked.body).To(HaveSuffix(body))
		Expect(r.hold("k", body).body).To(HaveSuffix(body))
		Eventually(r.outstanding).Should(BeZero())
	})

	It("refuses oversized bodies before anything is sent", func() {
		u := newFakeUpstream("w1")
		r := newRig(u.grant(2, 3*time.Second))
		body := strings.Repeat("x", 1<<20+1)
		for _, got := range []reply{
			r.quote(body), r.hold("k", body), send(r.url+"/v1/call/quote", unsized{strings.NewReader(body)}),
		} {
			Expect(got.status).To(Equal(http.StatusRequestEntityTooLarge))
			Expect(got.outcome).To(Equal(workerapi.OutcomeNotRun))
		}
		Expect(u.started.Load()).To(BeZero())
	})

	It("refuses bodies while too much memory is in use, and gives the memory back", func() {
		u := newFakeUpstream("w1")
		r := newRig(u.grant(2, 3*time.Second))
		Expect(r.buffers.TryAcquire(bufferedMost - 10)).To(BeTrue())
		Expect(r.quote(strings.Repeat("x", 100)).outcome).To(Equal(workerapi.OutcomeNotRun))
		Expect(r.quote("small").status).To(Equal(http.StatusOK))
		r.buffers.Release(bufferedMost - 10)
		Expect(r.quote(strings.Repeat("x", 100)).status).To(Equal(http.StatusOK))
		Eventually(func() bool { return r.buffers.TryAcquire(bufferedMost) }).Should(BeTrue())
	})

	It("keeps its own headers and those of one connection to itself", func() {
		u := newFakeUpstream("w1")
		u.behave(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Geranium-Session", "9")
			w.Header().Set("X-Answer", "kept")
			fmt.Fprint(w, r.Header.Get("X-Kept"), "|", r.Header.Get("X-Dropped"), "|",
				r.Header.Get(workerapi.HeaderIdempotent), "|", r.Header.Get("Geranium-Operator"))
		})
		r := newRig(u.grant(2, 3*time.Second))
		request, _ := http.NewRequest(http.MethodPost, r.url+"/v1/call/quote", nil)
		for name, value := range map[string]string{
			"X-Kept": "1", "X-Dropped": "2", "Connection": "X-Dropped", "Geranium-Operator": "me", workerapi.HeaderIdempotent: "k",
		} {
			request.Header.Set(name, value)
		}
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		body, _ := io.ReadAll(response.Body)
		Expect(string(body)).To(Equal("1||k|"))
		Expect(response.Header.Get("X-Answer")).To(Equal("kept"))
		Expect(response.Header.Get(workerapi.HeaderSession)).To(BeEmpty())
	})

	It("opens no more connections to a worker than granted", func() {
		u, g := newFakeUpstream("w1"), newGate()
		u.behave(g.serve)
		grant := u.grant(8, 3*time.Second)
		grant.Connections = 2
		r := newRig(grant)
		for range 6 {
			go r.quote("x")
		}
		Eventually(g.inside.Load).Should(Equal(int64(2)))
		close(g.open)
		Eventually(r.outstanding).Should(BeZero())
		Expect(u.peak.Load()).To(Equal(int64(2)))
		open := func() int {
			r.workers.mu.Lock()
			defer r.workers.mu.Unlock()
			return r.workers.worker(grant.Address).open
		}
		Expect(open()).To(BeNumerically("<=", 2))
		smaller := u.grant(1, 3*time.Second)
		smaller.Connections = 1
		r.scheduler.set(nil, smaller)
		Eventually(open).Should(BeNumerically("<=", 1))
		r.scheduler.set(nil)
		Eventually(open).Should(BeZero())
	})
})
