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

var _ = Describe("calls", func() {
	It("gives every caller the answer to its own request", func() {
		a, b := newFakeUpstream("w1"), newFakeUpstream("w2")
		r := newRig(a.grant(4, 3*time.Second), b.grant(4, 3*time.Second))
		var all sync.WaitGroup
		for i := range 40 {
			all.Go(func() {
				defer GinkgoRecover()
				id := fmt.Sprintf("id-%d", i)
				got := r.quote("body-"+id, workerapi.HeaderRequestID, id, workerapi.HeaderDeadline, "10000")
				if got.status == http.StatusServiceUnavailable {
					return
				}
				Expect(got.body).To(Equal(id + " body-" + id))
				Expect(got.requestID).To(Equal(id))
				Expect(got.outcome).To(Equal(workerapi.OutcomeDone))
			})
		}
		all.Wait()
		Expect(a.peak.Load()).To(BeNumerically("<=", 4))
		Expect(b.peak.Load()).To(BeNumerically("<=", 4))
		Eventually(r.outstanding).Should(BeZero())
	})

	It("never gives a late answer to the next caller", func() {
		u := newFakeUpstream("w1")
		grant := u.grant(1, 3*time.Second)
		grant.Connections = 1
		r := newRig(grant)
		u.behave(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("X-Late") != "" {
				// Answers although the gateway has given up.
				time.Sleep(150 * time.Millisecond)
			}
			echo(w, r)
		})
		for i := range 4 {
			late := r.quote("late", "X-Late", "1", workerapi.HeaderDeadline, "100")
			Expect(late.outcome).NotTo(Equal(workerapi.OutcomeDone))
			id := fmt.Sprint("id-", i)
			got := r.quote("next", workerapi.HeaderRequestID, id, workerapi.HeaderDeadline, "5000")
			Expect(got.body).To(Equal(id + " next"))
		}
	})

	It("runs a hold once and answers a resend from the record", func() {
		u := newFakeUpstream("w1")
		r := newRig(u.grant(4, 3*time.Second))
		first := r.hold("k1", "x", workerapi.HeaderRequestID, "one")
		Expect(first).To(Equal(reply{status: 200, outcome: "done", body: "one x", requestID: "one"}))
		again := r.hold("k1", "x", workerapi.HeaderRequestID, "two")
		Expect(again.body).To(Equal("one x"))
		Expect(u.started.Load()).To(Equal(int64(1)))
		Expect(r.hold("k1", "other").status).To(Equal(http.StatusUnprocessableEntity))
		Expect(r.post("/v1/call/hold", "x").status).To(Equal(http.StatusBadRequest))
	})

	// Guards against schedulers without a configuration in a domain that reaches no
	// control replica, after both restarted.
	It("sends the configuration to a scheduler of its domain that stays behind", func() {
		r := newRig()
		content := func(s *fakeScheduler) func() []byte {
			return func() []byte {
				if s.syncs() == 0 {
					return nil
				}
				return s.last().GetConfig()
			}
		}
		Eventually(content(r.scheduler)).WithTimeout(5 * time.Second).Should(Equal(r.control.config.GetContent()))
		Expect(content(r.remote)()).To(BeEmpty())
	})
})
