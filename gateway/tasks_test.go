package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/workerapi"
)

var _ = Describe("tasks", func() {
	submit := func(r *rig, key, body string, headers ...string) reply {
		return r.post("/v1/tasks", body, append(headers, workerapi.HeaderIdempotent, key)...)
	}

	It("submits a task once for a key and batches concurrent submissions", func() {
		r := newRig()
		var all sync.WaitGroup
		for i := range 200 {
			all.Go(func() {
				defer GinkgoRecover()
				got := submit(r, fmt.Sprint("k", i), `{"job":"cut","payload":{"run_ms":1}}`)
				Expect(got.status).To(Equal(http.StatusAccepted))
				Expect(got.body).To(MatchJSON(fmt.Sprintf(`{"id":"task-k%d"}`, i)))
			})
		}
		all.Wait()
		Expect(submit(r, "k1", `{"job":"cut"}`).body).To(MatchJSON(`{"id":"task-k1"}`))
		Expect(r.control.tasks).To(HaveLen(200))
		Expect(len(r.control.batches)).To(BeNumerically("<", 200))
		spec := r.control.tasks["task-k1"].Spec
		Expect(spec.Team).To(Equal("crew"))
		Expect(spec.ExpectedMs).To(Equal(int64(1000)))
	})

	It("tells a definite refusal from an unknown outcome", func() {
		r := newRig()
		for f, want := range map[fault]workerapi.Outcome{
			faultRefuse: workerapi.OutcomeNotRun, faultLoseCall: workerapi.OutcomeUnknown,
			faultLoseAnswer: workerapi.OutcomeUnknown,
		} {
			r.control.mu.Lock()
			r.control.submit = always(f)
			r.control.mu.Unlock()
			Expect(submit(r, "k", `{"job":"cut"}`, workerapi.HeaderDeadline, "300").outcome).To(Equal(want))
		}
	})

	// Guards against an unknown outcome at the caller's deadline while no replica
	// leads, also for those who wait behind the batches in progress.
	It("refuses submissions soon and definitely without a quorum", func() {
		r := newRig()
		r.control.mu.Lock()
		r.control.submit = always(faultNoLeader)
		r.control.mu.Unlock()
		began := time.Now()
		var all sync.WaitGroup
		for i := range 20 {
			all.Go(func() {
				defer GinkgoRecover()
				time.Sleep(time.Duration(i) * 20 * time.Millisecond)
				got := submit(r, fmt.Sprint("k", i), `{"job":"cut"}`)
				Expect(got.status).To(Equal(http.StatusServiceUnavailable))
				Expect(got.outcome).To(Equal(workerapi.OutcomeNotRun))
			})
		}
		all.Wait()
		Expect(time.Since(began)).To(BeNumerically("<", 3500*time.Millisecond))
		got := submit(r, "k", `{"job":"cut"}`, workerapi.HeaderDeadline, "300")
		Expect(got.outcome).To(Equal(workerapi.OutcomeNotRun))
	})

	It("rejects invalid submissions before they are sent", func() {
		r := newRig()
		for _, body := range []string{
			``, `{`, `{"job":"cut"} x`, `{"job":"other"}`, `{"job":"cut","extra":1}`,
			`{"job":"cut","priority":"highest"}`, `{"job":"cut","resources":{"cpu_millis":-1}}`,
			`{"job":"cut","domain":"elsewhere"}`, `{"job":"cut","team":"other"}`,
		} {
			got := submit(r, "k", body)
			Expect(got.status).To(Equal(http.StatusBadRequest), body)
			Expect(got.outcome).To(Equal(workerapi.OutcomeNotRun))
		}
		Expect(r.post("/v1/tasks", `{"job":"cut"}`).status).To(Equal(http.StatusBadRequest))
		Expect(r.control.batches).To(BeEmpty())
	})

	It("answers 404 for ids that cannot exist", func() {
		r := newRig()
		for _, id := range []string{"none", "%ff", "%00"} {
			response, err := http.Get(r.url + "/v1/tasks/" + id)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusNotFound), id)
		}
	})

	It("submits a list under positions of one key", func() {
		r := newRig()
		got := r.post("/v1/tasks:batch", `[{"job":"cut"},{"job":"other"}]`, workerapi.HeaderIdempotent, "k")
		Expect(got.status).To(Equal(http.StatusAccepted))
		Expect(got.outcome).To(Equal(workerapi.OutcomeFailed))
		Expect(got.body).To(ContainSubstring(`{"id":"task-k/0"}`))
		Expect(got.body).To(ContainSubstring(typeInvalid))
	})
})
