package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/routing"
	"geraniumwall/rpc/schedulerpb"
	"geraniumwall/workerapi"
)

// gate holds requests back until it is opened and counts those inside.
type gate struct {
	inside atomic.Int64
	open   chan struct{}
}

func newGate() *gate { return &gate{open: make(chan struct{})} }

func (g *gate) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	g.inside.Add(1)
	defer g.inside.Add(-1)
	select {
	case <-g.open:
	case <-r.Context().Done():
	}
	w.Write(body)
}

var _ = Describe("faults", func() {
	It("spends one refused request on a stale session and syncs at once", func() {
		u := newFakeUpstream("w1")
		r := newRig(u.grant(2, 3*time.Second))
		u.session.Store(2)
		r.scheduler.set(nil, u.grant(2, 3*time.Second))
		got := r.quote("x", workerapi.HeaderRequestID, "a")
		Expect(got.body).To(Equal("a x"))
		Expect(u.started.Load()).To(Equal(int64(1)))
	})

	It("sends nothing on grants that expired while the gateway was frozen", func() {
		u := newFakeUpstream("w1")
		r := newRig(u.grant(2, 3*time.Second))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		c := &call{
			gateway: r.Gateway, service: r.settings.Load().services["quote"], ctx: ctx,
			header: http.Header{}, ends: r.clock.now() + time.Minute,
		}
		ticket, err := c.acquire(&history{})
		Expect(err).NotTo(HaveOccurred())
		r.clock.jumped.Add(int64(4 * time.Second))
		_, sent := c.attempt(ticket)
		Expect(sent).To(BeFalse())
		Expect(u.started.Load()).To(BeZero())
	})

	It("counts a grant from the time at which the sync was sent", func() {
		u := newFakeUpstream("w1")
		r := newRig(u.grant(2, 3*time.Second))
		r.scheduler.mu.Lock()
		r.scheduler.onSync = func(*fakeScheduler) { r.clock.jumped.Add(int64(4 * time.Second)) }
		r.scheduler.mu.Unlock()
		r.synced()
		Expect(r.usable()).To(BeZero())
		Expect(r.quote("x", workerapi.HeaderDeadline, "100").outcome).To(Equal(workerapi.OutcomeNotRun))
		Expect(u.started.Load()).To(BeZero())
	})

	It("sheds when every grant has expired and the scheduler is silent", func() {
		u := newFakeUpstream("w1")
		r := newRig(u.grant(2, 3*time.Second))
		r.scheduler.set(nil)
		r.synced()
		r.clock.jumped.Add(int64(4 * time.Second))
		got := r.quote("x", workerapi.HeaderDeadline, "200")
		Expect(got.outcome).To(Equal(workerapi.OutcomeNotRun))
		Expect(u.started.Load()).To(BeZero())
	})

	It("lets two gateways with one key run it once", func() {
		control := newFakeControl()
		u := newFakeUpstream("w1")
		a := newRigWith(control, "a", u.grant(4, 3*time.Second))
		b := newRigWith(control, "b", u.grant(4, 3*time.Second))
		var all sync.WaitGroup
		var done [10][2]reply
		for key := range done {
			for i, r := range []*rig{a, b} {
				all.Go(func() {
					defer GinkgoRecover()
					done[key][i] = r.hold(fmt.Sprint("k", key), "x", workerapi.HeaderDeadline, "5000")
				})
			}
		}
		all.Wait()
		Expect(u.started.Load()).To(Equal(int64(len(done))))
		for _, pair := range done {
			Expect([]int{pair[0].status, pair[1].status}).To(ContainElement(http.StatusOK))
			if pair[0].status == pair[1].status {
				Expect(pair[0].body).To(Equal(pair[1].body))
			}
		}
	})

	It("sends nothing new to a leaving upstream and lets its requests finish", func() {
		u, other, g := newFakeUpstream("w1"), newFakeUpstream("w2"), newGate()
		u.behave(g.serve)
		r := newRig(u.grant(4, 3*time.Second))
		running := make(chan reply, 1)
		go func() { running <- r.quote("running") }()
		Eventually(g.inside.Load).Should(Equal(int64(1)))
		r.scheduler.set([]string{"w1"}, u.grant(4, 3*time.Second), other.grant(4, 3*time.Second))
		r.synced()
		for range 10 {
			Expect(r.quote("x").status).To(Equal(http.StatusOK))
		}
		Expect(u.started.Load()).To(Equal(int64(1)))
		close(g.open)
		Expect((<-running).body).To(Equal("running"))
	})

	It("sheds what cannot end in time and answers the rest", func() {
		u := newFakeUpstream("w1")
		u.behave(func(w http.ResponseWriter, _ *http.Request) { time.Sleep(50 * time.Millisecond) })
		r := newRig(u.grant(1, 3*time.Second))
		Expect(r.quote("x").status).To(Equal(http.StatusOK))
		var all sync.WaitGroup
		var done, shed atomic.Int64
		for range 40 {
			all.Go(func() {
				defer GinkgoRecover()
				got := r.quote("x", workerapi.HeaderDeadline, "400")
				switch got.outcome {
				case workerapi.OutcomeDone:
					done.Add(1)
				case workerapi.OutcomeNotRun:
					Expect(got.retryAfter).NotTo(BeEmpty())
					shed.Add(1)
				}
			})
		}
		all.Wait()
		Expect(shed.Load()).To(BeNumerically(">=", 30))
		Expect(done.Load()).To(BeNumerically(">=", 1))
		Expect(u.peak.Load()).To(Equal(int64(1)))
	})

	It("records the outcome of a hold whose caller has gone", func() {
		u, g := newFakeUpstream("w1"), newGate()
		u.behave(g.serve)
		r := newRig(u.grant(1, 3*time.Second))
		ctx, leave := context.WithCancel(context.Background())
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, r.url+"/v1/call/hold", strings.NewReader("x"))
		request.Header.Set(workerapi.HeaderIdempotent, "k")
		go http.DefaultClient.Do(request)
		Eventually(g.inside.Load).Should(Equal(int64(1)))
		leave()
		Expect(r.hold("k", "x").status).To(Equal(http.StatusConflict))
		close(g.open)
		Eventually(func() string { return r.control.recorded("anonymous", "k") }).Should(Equal("done"))
		Expect(r.hold("k", "x").body).To(Equal("x"))
		Expect(u.started.Load()).To(Equal(int64(1)))
	})

	It("frees the slot of an idempotent request whose caller has gone", func() {
		u, g := newFakeUpstream("w1"), newGate()
		u.behave(g.serve)
		r := newRig(u.grant(1, 3*time.Second))
		ctx, leave := context.WithCancel(context.Background())
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, r.url+"/v1/call/quote", nil)
		go http.DefaultClient.Do(request)
		Eventually(g.inside.Load).Should(Equal(int64(1)))
		leave()
		Eventually(r.outstanding).Should(BeZero())
	})

	It("finishes requests in progress before it stops and then returns its grants", func() {
		u, g := newFakeUpstream("w1"), newGate()
		u.behave(g.serve)
		r := newRig(u.grant(8, 3*time.Second))
		var all sync.WaitGroup
		for i := range 4 {
			all.Go(func() {
				defer GinkgoRecover()
				Expect(r.quote("x", workerapi.HeaderDeadline, "9000").status).To(Equal(http.StatusOK))
			})
			all.Go(func() {
				defer GinkgoRecover()
				Expect(r.hold(fmt.Sprint("k", i), "x", workerapi.HeaderDeadline, "9000").status).To(Equal(http.StatusOK))
			})
		}
		Eventually(g.inside.Load).Should(Equal(int64(8)))
		r.Drain()
		ready, err := http.Get(r.url + "/readyz")
		Expect(err).NotTo(HaveOccurred())
		Expect(ready.StatusCode).To(Equal(http.StatusServiceUnavailable))
		stopped := make(chan error, 1)
		go func() { stopped <- r.server.Config.Shutdown(context.Background()) }()
		Consistently(stopped).WithTimeout(100 * time.Millisecond).ShouldNot(Receive())
		close(g.open)
		Expect(<-stopped).To(Succeed())
		all.Wait()
		r.Stop(context.Background())
		Expect(r.scheduler.last().Draining).To(BeTrue())
		for _, h := range r.scheduler.last().Holdings {
			Expect(h.SlotsInUse).To(BeZero())
		}
	})

	It("asks other domains only while the own domain has no free slot", func() {
		far := newFakeUpstream("far")
		r := newRig()
		Expect(r.remote.syncs()).To(BeZero())
		grant := far.grant(2, 3*time.Second)
		grant.Domain = "thun-b"
		r.remote.set(nil, grant)
		Expect(r.quote("x").status).To(Equal(http.StatusOK))
		Expect(r.remote.last().Demands).To(ContainElement(HaveField("Service", Equal("quote"))))
		r.clock.jumped.Add(int64(3 * time.Second))
		r.synced()
		after := r.remote.syncs()
		Consistently(r.remote.syncs).WithTimeout(2 * syncInterval).Should(BeNumerically("<=", after+1))
	})

	It("reports the grants of each answer in the next sync", func() {
		u := newFakeUpstream("w1")
		r := newRig(u.grant(4, 3*time.Second))
		slots := int32(1)
		r.scheduler.mu.Lock()
		r.scheduler.onSync = func(s *fakeScheduler) {
			held, sequences := s.requests[len(s.requests)-1], len(s.requests)
			Expect(held.Sequence).To(Equal(uint64(sequences)))
			if slots > 1 {
				Expect(held.Holdings).To(ContainElement(HaveField("Slots", Equal(slots))))
			}
			slots = slots%4 + 2
			s.grants = []*schedulerpb.Grant{u.grant(slots, 3*time.Second)}
		}
		r.scheduler.mu.Unlock()
		for range 20 {
			r.links.all()[0].trigger()
			r.synced()
		}
		// Stopping the gateway cancels the sync in progress, whose number may then never arrive.
		r.scheduler.mu.Lock()
		r.scheduler.onSync = nil
		r.scheduler.mu.Unlock()
	})

	It("prefers the grant with the highest session", func() {
		old, fresh := newFakeUpstream("w1"), newFakeUpstream("w1")
		fresh.session.Store(2)
		r := newRig(old.grant(2, 3*time.Second))
		r.owner.receiveGrants(context.Background(), grantSet("other", r.clock.now(), &schedulerpb.SyncGrantsResponse{
			Grants: []*schedulerpb.Grant{fresh.grant(2, 3*time.Second)},
		}))
		session := func() (s uint64) {
			r.balancer.read(func(t *routing.Table, now time.Duration) {
				s = t.Report("bern-a", now).Holdings[0].Session
			})
			return s
		}
		Eventually(session).Should(Equal(uint64(2)))
		r.synced()
		Expect(session()).To(Equal(uint64(2)))
		Expect(r.quote("x").status).To(Equal(http.StatusOK))
		Expect(old.started.Load()).To(BeZero())
	})
})
