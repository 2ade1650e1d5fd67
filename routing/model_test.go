package routing

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model applies random events to a table and tracks what was granted and used. It
// guards against exceeded or expired grants, lost waiters and requests that are
// decided twice.
type model struct {
	t        *rapid.T
	table    *Table
	book     *Book
	now      time.Duration
	tickets  []Ticket
	waiting  map[*Waiter]bool
	sessions map[string]uint64
	// granted is the grant of each worker in the last call of Apply.
	granted map[string]Grant
	// outstanding counts requests by sessionKey.
	outstanding map[string]int
	exchanges   map[string]*syncExchange
	retries     []time.Duration
	requests    []time.Duration
}

var modelServices = []ServiceConfig{{Name: "a", MaxQueue: 3}, {Name: "b", MaxQueue: 2}}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, table: NewTable("home", rand.NewPCG(1, 2)), book: NewBook(),
		waiting: map[*Waiter]bool{}, sessions: map[string]uint64{}, granted: map[string]Grant{}, outstanding: map[string]int{},
		exchanges: map[string]*syncExchange{},
	}
	m.deliver(m.table.Configure(modelServices, 10, 0))
	return m
}

func sessionKey(worker string, session uint64) string { return fmt.Sprint(worker, "/", session) }

func (m *model) addTicket(ticket Ticket) {
	g := m.granted[ticket.Worker]
	key := sessionKey(ticket.Worker, ticket.Session)
	m.outstanding[key]++
	switch {
	case g.Session != ticket.Session:
		m.t.Fatalf("ticket is for session %d, but the grant is for session %d", ticket.Session, g.Session)
	case m.now >= g.Expires:
		m.t.Fatalf("ticket for a grant that expired at %v; now is %v", g.Expires, m.now)
	case m.outstanding[key] > g.limit():
		m.t.Fatalf("%d outstanding requests exceed the limit of %d for session %s", m.outstanding[key], g.limit(), key)
	}
	m.tickets = append(m.tickets, ticket)
}

func (m *model) deliver(wakes []Wake) {
	for _, w := range wakes {
		if !m.waiting[w.Waiter] {
			m.t.Fatalf("decision for a waiter that was already decided or never queued")
		}
		delete(m.waiting, w.Waiter)
		if w.Decision.Kind == Admitted {
			m.addTicket(w.Decision.Ticket)
		}
	}
}

func (m *model) acquire(t *rapid.T) {
	r := Request{
		Service:  rapid.SampledFrom([]string{"a", "b", "none"}).Draw(t, "service"),
		Deadline: m.now + time.Duration(rapid.IntRange(1, 2000).Draw(t, "deadline"))*time.Millisecond,
	}
	if rapid.Bool().Draw(t, "avoid") {
		r.Avoid = []string{"w1"}
	}
	m.table.Count(m.now)
	m.requests = append(m.requests, m.now)
	d := m.table.Acquire(r, m.now)
	switch d.Kind {
	case Admitted:
		m.addTicket(d.Ticket)
	case Queued:
		m.waiting[d.Waiter] = true
	}
}

func (m *model) release(t *rapid.T) {
	if len(m.tickets) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.tickets)-1).Draw(t, "ticket")
	ticket := m.tickets[i]
	m.tickets = append(m.tickets[:i], m.tickets[i+1:]...)
	m.outstanding[sessionKey(ticket.Worker, ticket.Session)]--
	result := rapid.SampledFrom([]Result{ResultOK, ResultFailed, ResultRefused, ResultAbandoned}).Draw(t, "result")
	m.deliver(m.table.Release(ticket, result, m.now))
}

func (m *model) cancel(*rapid.T) {
	for w := range m.waiting {
		if !m.table.Cancel(w) {
			m.t.Fatalf("a waiting request could not be cancelled")
		}
		delete(m.waiting, w)
		return
	}
}

func (m *model) sync(t *rapid.T) {
	set := GrantSet{Scheduler: rapid.SampledFrom([]string{"s1", "s2"}).Draw(t, "scheduler"), Sent: m.now}
	for _, worker := range []string{"w1", "w2", "w3"} {
		m.sessions[worker] += uint64(rapid.IntRange(0, 1).Draw(t, "attach"))
		if rapid.IntRange(0, 4).Draw(t, "listed") == 0 {
			continue
		}
		set.Grants = append(set.Grants, Grant{
			Worker: worker, Domain: rapid.SampledFrom([]string{"home", "away"}).Draw(t, "domain"),
			Session: m.sessions[worker], Slots: rapid.IntRange(0, 3).Draw(t, "slots"), Connections: 2,
			Services: []string{"a", "b"}[:rapid.IntRange(1, 2).Draw(t, "services")],
			Sent:     m.now, Expires: m.now + 3*time.Second,
		})
	}
	if rapid.IntRange(0, 5).Draw(t, "leaves") == 0 {
		set.Leaving = []string{"w2"}
	}
	if received, ok := m.exchange(t, set); ok {
		m.book.Receive(received)
	}
	m.apply()
}

func (m *model) apply() {
	usable := m.book.Usable(m.now)
	m.granted = map[string]Grant{}
	for _, g := range usable {
		m.granted[g.Worker] = g
	}
	m.deliver(m.table.Apply(usable, m.now))
}

func (m *model) advance(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond
	if rapid.Bool().Draw(t, "tick") {
		m.apply()
	}
}

func (m *model) retry(*rapid.T) {
	if !m.table.Retry(m.now) {
		return
	}
	m.retries = append(m.retries, m.now)
	// The budget counts per bucket, so its window is up to one bucket shorter.
	recent := countAfter(m.retries, m.now-RetryBudgetWindow+budgetBucketLength)
	if recent > countAfter(m.requests, m.now-RetryBudgetWindow)/10+MinRetriesPerWindow {
		m.t.Fatalf("%d retries exceed the budget", recent)
	}
}

func (m *model) check(*rapid.T) {
	queued := 0
	for i, s := range m.table.Statistics(m.now) {
		queued += s.Queued
		if s.Queued > modelServices[i].MaxQueue {
			m.t.Fatalf("queue of service %s holds %d requests, more than the maximum", s.Service, s.Queued)
		}
	}
	if queued != len(m.waiting) || m.table.Outstanding() != len(m.tickets) {
		m.t.Fatalf("table has %d queued, %d outstanding; model has %d, %d",
			queued, m.table.Outstanding(), len(m.waiting), len(m.tickets))
	}
}

func countAfter(times []time.Duration, start time.Duration) (n int) {
	for _, at := range times {
		if at > start {
			n++
		}
	}
	return n
}

func runModel(t *rapid.T) {
	m := newModel(t)
	t.Repeat(map[string]func(*rapid.T){
		"acquire": m.acquire, "acquire again": m.acquire, "release": m.release, "cancel": m.cancel,
		"sync": m.sync, "pass": m.advance, "retry": m.retry, "": m.check,
	})
}

// TestRandomEvents checks the model over random sequences of events with a fixed
// seed.
func TestRandomEvents(t *testing.T) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, runModel)
}

// TestSoakRandomEvents repeats TestRandomEvents with new seeds for
// GERANIUM_SOAK_SECONDS.
func TestSoakRandomEvents(t *testing.T) {
	seconds, _ := strconv.Atoi(os.Getenv("GERANIUM_SOAK_SECONDS"))
	for seed, end := time.Now().UnixNano(), time.Now().Add(time.Duration(seconds)*time.Second); time.Now().Before(end); seed++ {
		if err := flag.Set("rapid.seed", strconv.FormatInt(seed, 10)); err != nil {
			t.Fatal(err)
		}
		t.Logf("seed %d", seed)
		rapid.Check(t, runModel)
	}
}
