package routing

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const longGrant = time.Hour

func newGrant(worker, domain string, session uint64, slots int, expires time.Duration) Grant {
	return Grant{
		Worker: worker, Domain: domain, Session: session, Slots: slots, Connections: 64,
		Services: []string{"a", "b"}, Expires: expires,
	}
}

func newTestTable(grants ...Grant) *Table {
	t := NewTable("home", rand.NewPCG(7, 7))
	t.Configure([]ServiceConfig{{Name: "a", MaxQueue: 1000}, {Name: "b", MaxQueue: 1000}}, 10, 0)
	t.Apply(grants, 0)
	return t
}

func newGrants(domain string, n, slots int) []Grant {
	var grants []Grant
	for i := range n {
		grants = append(grants, newGrant(fmt.Sprint(domain, i), domain, 1, slots, longGrant))
	}
	return grants
}

func acquire(t *Table, service string, now, left time.Duration) Decision {
	return t.Acquire(Request{Service: service, Deadline: now + left}, now)
}

// serve runs n requests of one millisecond each, one after the other, and returns
// their number by worker.
func serve(t *Table, n int, now *time.Duration, result func(Ticket) Result) map[string]int {
	served := map[string]int{}
	for range n {
		d := acquire(t, "a", *now, time.Second)
		Expect(d.Kind).To(Equal(Admitted))
		served[d.Ticket.Worker]++
		*now += time.Millisecond
		t.Release(d.Ticket, result(d.Ticket), *now)
	}
	return served
}

func alwaysOK(Ticket) Result { return ResultOK }

var _ = ginkgo.Describe("routing", func() {
	ginkgo.It("doesn't fall back to an older session while the grant of a newer one is valid", func() {
		b := NewBook()
		b.Receive(GrantSet{Scheduler: "s1", Sent: 0, Grants: []Grant{newGrant("w", "home", 1, 1, 3*time.Second)}})
		b.Receive(GrantSet{Scheduler: "s2", Sent: 1, Grants: []Grant{newGrant("w", "home", 2, 1, 2*time.Second)}})
		b.Receive(GrantSet{Scheduler: "s2", Sent: 2})
		Expect(b.Usable(time.Second)).To(BeEmpty())
		Expect(b.Usable(2500 * time.Millisecond)).To(ConsistOf(HaveField("Session", uint64(1))))
		Expect(b.Receive(GrantSet{Scheduler: "s2", Sent: 1})).To(BeFalse())
	})

	ginkgo.It("uses other domains only when the local one is full", func() {
		t := newTestTable(append(newGrants("home", 2, 1), newGrants("away", 2, 1)...)...)
		var domains []string
		for range 4 {
			domains = append(domains, acquire(t, "a", 0, time.Second).Ticket.Worker[:4])
		}
		Expect(domains).To(Equal([]string{"home", "home", "away", "away"}))
	})

	ginkgo.It("sends most requests to the faster workers", func() {
		t := newTestTable(newGrants("home", 10, 8)...)
		now := time.Duration(0)
		count := map[bool]int{}
		for range 2000 {
			d := acquire(t, "a", now, time.Second)
			slow := d.Ticket.Worker < "home5"
			count[slow]++
			took := time.Millisecond
			if slow {
				took = 4 * time.Millisecond
			}
			now += took
			t.Release(d.Ticket, ResultOK, now)
		}
		Expect(count[false]).To(BeNumerically(">", 2*count[true]))
	})

	ginkgo.It("ejects failing upstreams, but never more than half", func() {
		t := newTestTable(newGrants("home", 4, 8)...)
		now := time.Duration(0)
		serve(t, 200, &now, func(Ticket) Result { return ResultFailed })
		Expect(t.services["a"].localFree).To(HaveLen(2))
		served := serve(t, 100, &now, alwaysOK)
		Expect(served).To(HaveLen(2))
		now += maxEjectionTime
		t.Apply(newGrants("home", 4, 8), now)
		Expect(serve(t, 100, &now, alwaysOK)).To(HaveLen(4))
	})

	ginkgo.It("ejects an unresponsive upstream, but not because of short caller deadlines", func() {
		t := newTestTable(newGrants("home", 4, 8)...)
		now := time.Duration(0)
		serve(t, 50, &now, alwaysOK)
		serve(t, 200, &now, func(Ticket) Result { return ResultAbandoned })
		Expect(t.services["a"].localFree).To(HaveLen(4))
		for range 40 {
			d := acquire(t, "a", now, time.Minute)
			if d.Ticket.Worker == "home0" {
				now += time.Second
				t.Release(d.Ticket, ResultAbandoned, now)
				continue
			}
			t.Release(d.Ticket, ResultOK, now+time.Millisecond)
		}
		Expect(t.upstreams["home0"].outliers.ejected(now) || t.upstreams["home0"].outliers.consecutiveFailures > 0).To(BeTrue())
		Expect(t.upstreams["home1"].outliers.consecutiveFailures).To(BeZero())
	})

	ginkgo.It("slow-starts the workers of a domain that returns", func() {
		home, back := newGrants("home", 4, 8), newGrants("back", 4, 8)
		for i := range back {
			back[i].Domain = "home"
		}
		t := newTestTable(home...)
		now := 30 * time.Second
		t.Apply(append(home, back...), now)
		first := 0
		for worker, n := range serve(t, 400, &now, alwaysOK) {
			if worker[:4] == "back" {
				first += n
			}
		}
		Expect(first).To(BeNumerically("<", 400/4), "a returning domain must not get its full share at once")
		held := 0
		for range 64 {
			if d := acquire(t, "a", now, time.Second); d.Kind == Admitted && d.Ticket.Worker[:4] == "back" {
				held++
			}
		}
		Expect(held).To(BeNumerically("<=", 4), "a worker in slow start must not get more than one request at a time")
	})

	ginkgo.It("keeps retries within the budget after half of the upstreams are lost", func() {
		t := newTestTable(newGrants("home", 8, 8)...)
		now, retries := time.Duration(0), 0
		for range 1000 {
			t.Count(now)
			d := acquire(t, "a", now, time.Second)
			for d.Ticket.Worker >= "home4" {
				t.Release(d.Ticket, ResultFailed, now)
				if !t.Retry(now) {
					break
				}
				retries++
				d = acquire(t, "a", now, time.Second)
			}
			if d.Ticket.Worker < "home4" {
				t.Release(d.Ticket, ResultOK, now)
			}
			now += time.Millisecond
		}
		Expect(retries).To(BeNumerically("<=", 1000/10+MinRetriesPerWindow))
	})

	ginkgo.It("sheds a request immediately if it would wait beyond its deadline", func() {
		t := newTestTable(newGrants("home", 1, 1)...)
		now := time.Duration(0)
		d := acquire(t, "a", now, time.Second)
		now += 100 * time.Millisecond
		t.Release(d.Ticket, ResultOK, now)
		Expect(acquire(t, "a", now, time.Second).Kind).To(Equal(Admitted))
		Expect(acquire(t, "a", now, 150*time.Millisecond).Kind).To(Equal(Shed))
		var last Decision
		for range 20 {
			last = acquire(t, "a", now, time.Second)
		}
		Expect(last.Kind).To(Equal(Shed))
		Expect(last.RetryAfter).To(BeNumerically("~", time.Second, 200*time.Millisecond))
		Expect(t.services["a"].waiting).To(BeNumerically("~", 8, 2))
	})

	ginkgo.It("frees cancelled requests queued behind an old one", func() {
		t := newTestTable(newGrants("home", 1, 1)...)
		acquire(t, "a", 0, time.Hour)
		old := acquire(t, "a", 0, time.Hour)
		for range 1000 {
			Expect(t.Cancel(acquire(t, "a", 0, time.Hour).Waiter)).To(BeTrue())
		}
		Expect(len(t.services["a"].queue)).To(BeNumerically("<=", 2+compactionSlack))
		Expect(t.services["a"].head()).To(Equal(old.Waiter))
	})

	ginkgo.It("divides slot time equally between two services", func() {
		t := newTestTable(newGrants("home", 1, 2)...)
		running := []Ticket{acquire(t, "a", 0, time.Hour).Ticket, acquire(t, "a", 0, time.Hour).Ticket}
		for range 600 {
			acquire(t, "a", 0, time.Hour)
			acquire(t, "b", 0, time.Hour)
		}
		now, used := time.Duration(0), map[string]time.Duration{}
		for range 400 {
			ticket := running[0]
			took := time.Millisecond
			if ticket.endpoint.service.name == "b" {
				took = 4 * time.Millisecond
			}
			now += took
			used[ticket.endpoint.service.name] += took
			ticket.started = now - took
			for _, w := range t.Release(ticket, ResultOK, now) {
				running = append(running, w.Decision.Ticket)
			}
			running = running[1:]
		}
		Expect(used["a"].Seconds()).To(BeNumerically("~", used["b"].Seconds(), 0.2*used["b"].Seconds()))
	})

	ginkgo.It("lowers the concurrency limit of an upstream that slows down, and raises it again", func() {
		var l limiter
		for range 500 {
			l.record(5, 8)
		}
		Expect(l.limit(8)).To(BeNumerically("<=", 5))
		for range 1000 {
			l.record(1, 8)
		}
		Expect(l.limit(8)).To(BeNumerically(">", 7))
	})

	ginkgo.It("computes quantiles to within one histogram bucket", func() {
		var c histogram
		for us := 1; us <= 1000; us++ {
			c.add(time.Duration(us) * time.Microsecond)
		}
		Expect(c.quantile(0.5)).To(BeNumerically("~", 500*time.Microsecond, 125*time.Microsecond))
		Expect(c.quantile(0.99)).To(BeNumerically("~", 990*time.Microsecond, 250*time.Microsecond))
		c.add(time.Hour)
	})
})
