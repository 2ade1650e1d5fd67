package routing

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const longGrant = time.Hour

func grantOf(worker, domain string, session uint64, slots int, expires time.Duration) Grant {
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

func workers(domain string, n, slots int) []Grant {
	var list []Grant
	for i := range n {
		list = append(list, grantOf(fmt.Sprint(domain, i), domain, 1, slots, longGrant))
	}
	return list
}

func ask(t *Table, service string, now, left time.Duration) Decision {
	return t.Acquire(Request{Service: service, Deadline: now + left}, now)
}

// serve runs n requests of one millisecond, one after the other, and counts them
// by worker.
func serve(t *Table, n int, now *time.Duration, result func(Ticket) Result) map[string]int {
	served := map[string]int{}
	for range n {
		d := ask(t, "a", *now, time.Second)
		Expect(d.Kind).To(Equal(Admitted))
		served[d.Ticket.Worker]++
		*now += time.Millisecond
		t.Release(d.Ticket, result(d.Ticket), *now)
	}
	return served
}

func ok(Ticket) Result { return ResultOK }

var _ = ginkgo.Describe("routing", func() {
	ginkgo.It("never falls back to an older session while the newer one is in force", func() {
		b := NewBook()
		b.Receive(GrantSet{Scheduler: "s1", Sent: 0, Grants: []Grant{grantOf("w", "home", 1, 1, 3*time.Second)}})
		b.Receive(GrantSet{Scheduler: "s2", Sent: 1, Grants: []Grant{grantOf("w", "home", 2, 1, 2*time.Second)}})
		b.Receive(GrantSet{Scheduler: "s2", Sent: 2})
		Expect(b.Usable(time.Second)).To(BeEmpty())
		Expect(b.Usable(2500 * time.Millisecond)).To(ConsistOf(HaveField("Session", uint64(1))))
		Expect(b.Receive(GrantSet{Scheduler: "s2", Sent: 1})).To(BeFalse())
	})

	ginkgo.It("prefers the own domain and goes elsewhere only when it is full", func() {
		t := newTestTable(append(workers("home", 2, 1), workers("away", 2, 1)...)...)
		var domains []string
		for range 4 {
			domains = append(domains, ask(t, "a", 0, time.Second).Ticket.Worker[:4])
		}
		Expect(domains).To(Equal([]string{"home", "home", "away", "away"}))
	})

	ginkgo.It("sends most requests to the faster of two kinds of workers", func() {
		t := newTestTable(workers("home", 10, 8)...)
		now := time.Duration(0)
		count := map[bool]int{}
		for range 2000 {
			d := ask(t, "a", now, time.Second)
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
		t := newTestTable(workers("home", 4, 8)...)
		now := time.Duration(0)
		serve(t, 200, &now, func(Ticket) Result { return ResultFailed })
		Expect(t.services["a"].local).To(HaveLen(2))
		served := serve(t, 100, &now, ok)
		Expect(served).To(HaveLen(2))
		now += ejectionLongest
		t.Apply(workers("home", 4, 8), now)
		Expect(serve(t, 100, &now, ok)).To(HaveLen(4))
	})

	ginkgo.It("ejects a frozen upstream, but not for the short deadlines of callers", func() {
		t := newTestTable(workers("home", 4, 8)...)
		now := time.Duration(0)
		serve(t, 50, &now, ok)
		serve(t, 200, &now, func(Ticket) Result { return ResultAbandoned })
		Expect(t.services["a"].local).To(HaveLen(4))
		for range 40 {
			d := ask(t, "a", now, time.Minute)
			if d.Ticket.Worker == "home0" {
				now += time.Second
				t.Release(d.Ticket, ResultAbandoned, now)
				continue
			}
			t.Release(d.Ticket, ResultOK, now+time.Millisecond)
		}
		Expect(t.upstreams["home0"].health.ejected(now) || t.upstreams["home0"].health.inARow > 0).To(BeTrue())
		Expect(t.upstreams["home1"].health.inARow).To(BeZero())
	})

	ginkgo.It("brings a domain that returns up slowly", func() {
		home, back := workers("home", 4, 8), workers("back", 4, 8)
		for i := range back {
			back[i].Domain = "home"
		}
		t := newTestTable(home...)
		now := 30 * time.Second
		t.Apply(append(home, back...), now)
		first := 0
		for worker, n := range serve(t, 400, &now, ok) {
			if worker[:4] == "back" {
				first += n
			}
		}
		Expect(first).To(BeNumerically("<", 400/4), "a returning domain gets its share at once")
		held := 0
		for range 64 {
			if d := ask(t, "a", now, time.Second); d.Kind == Admitted && d.Ticket.Worker[:4] == "back" {
				held++
			}
		}
		Expect(held).To(BeNumerically("<=", 4), "a worker in slow start gets more than one request at a time")
	})

	ginkgo.It("keeps retries within the budget after half of the upstreams are lost", func() {
		t := newTestTable(workers("home", 8, 8)...)
		now, retries := time.Duration(0), 0
		for range 1000 {
			t.Count(now)
			d := ask(t, "a", now, time.Second)
			for d.Ticket.Worker >= "home4" {
				t.Release(d.Ticket, ResultFailed, now)
				if !t.Retry(now) {
					break
				}
				retries++
				d = ask(t, "a", now, time.Second)
			}
			if d.Ticket.Worker < "home4" {
				t.Release(d.Ticket, ResultOK, now)
			}
			now += time.Millisecond
		}
		Expect(retries).To(BeNumerically("<=", 1000/10+BudgetFloor))
	})

	ginkgo.It("sheds at once what would wait beyond its deadline", func() {
		t := newTestTable(workers("home", 1, 1)...)
		now := time.Duration(0)
		d := ask(t, "a", now, time.Second)
		now += 100 * time.Millisecond
		t.Release(d.Ticket, ResultOK, now)
		Expect(ask(t, "a", now, time.Second).Kind).To(Equal(Admitted))
		Expect(ask(t, "a", now, 150*time.Millisecond).Kind).To(Equal(Shed))
		var last Decision
		for range 20 {
			last = ask(t, "a", now, time.Second)
		}
		Expect(last.Kind).To(Equal(Shed))
		Expect(last.RetryAfter).To(BeNumerically("~", time.Second, 200*time.Millisecond))
		Expect(t.services["a"].waiting).To(BeNumerically("~", 8, 2))
	})

	ginkgo.It("keeps no memory of cancelled requests behind an old one", func() {
		t := newTestTable(workers("home", 1, 1)...)
		ask(t, "a", 0, time.Hour)
		old := ask(t, "a", 0, time.Hour)
		for range 1000 {
			Expect(t.Cancel(ask(t, "a", 0, time.Hour).Waiter)).To(BeTrue())
		}
		Expect(len(t.services["a"].queue)).To(BeNumerically("<=", 2+queueSlack))
		Expect(t.services["a"].head()).To(Equal(old.Waiter))
	})

	ginkgo.It("shares slots between two services by slot time", func() {
		t := newTestTable(workers("home", 1, 2)...)
		running := []Ticket{ask(t, "a", 0, time.Hour).Ticket, ask(t, "a", 0, time.Hour).Ticket}
		for range 600 {
			ask(t, "a", 0, time.Hour)
			ask(t, "b", 0, time.Hour)
		}
		now, used := time.Duration(0), map[string]time.Duration{}
		for range 400 {
			ticket := running[0]
			took := time.Millisecond
			if ticket.lane.service.name == "b" {
				took = 4 * time.Millisecond
			}
			now += took
			used[ticket.lane.service.name] += took
			ticket.started = now - took
			for _, w := range t.Release(ticket, ResultOK, now) {
				running = append(running, w.Decision.Ticket)
			}
			running = running[1:]
		}
		Expect(used["a"].Seconds()).To(BeNumerically("~", used["b"].Seconds(), 0.2*used["b"].Seconds()))
	})

	ginkgo.It("lowers the concurrency on an upstream that slows down, and raises it again", func() {
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

	ginkgo.It("reports quantiles within a quarter octave", func() {
		var c counts
		for us := 1; us <= 1000; us++ {
			c.add(time.Duration(us) * time.Microsecond)
		}
		Expect(c.quantile(0.5)).To(BeNumerically("~", 500*time.Microsecond, 125*time.Microsecond))
		Expect(c.quantile(0.99)).To(BeNumerically("~", 990*time.Microsecond, 250*time.Microsecond))
		c.add(time.Hour)
	})
})
