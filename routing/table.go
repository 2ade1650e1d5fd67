package routing

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Table holds the upstreams, their use and the queues of one gateway. It is not
// safe for concurrent use.
type Table struct {
	domain    string
	random    *rand.Rand
	services  map[string]*service
	order     []*service
	upstreams map[string]*upstream
	budget    *Budget
	// generation counts the configurations.
	generation int
}

// NewTable returns an empty table of a gateway in a domain. The source decides
// the random choices.
func NewTable(domain string, source rand.Source) *Table {
	return &Table{
		domain:    domain,
		random:    rand.New(source), //nolint:gosec // load spreading needs no secrecy
		services:  map[string]*service{},
		upstreams: map[string]*upstream{},
		budget:    NewBudget(0),
	}
}

// Configure replaces the services and the retry share. It returns the decisions
// on requests that wait for a service that no longer exists.
func (t *Table) Configure(services []ServiceConfig, retryPercent int, now time.Duration) []Wake {
	t.generation++
	t.budget.SetPercent(retryPercent)
	kept := map[string]*service{}
	t.order = t.order[:0]
	for _, c := range services {
		s := t.services[c.Name]
		if s == nil {
			s = &service{name: c.Name}
		}
		s.maxQueue = c.MaxQueue
		kept[c.Name] = s
		t.order = append(t.order, s)
	}
	var wakes []Wake
	for name, s := range t.services {
		if kept[name] == nil {
			s.removed = true
			wakes = append(wakes, shedAll(s, ShedNoService)...)
		}
	}
	t.services = kept
	for _, u := range t.upstreams {
		t.dropRemoved(u)
	}
	return append(wakes, t.dispatch(now)...)
}

func (t *Table) dropRemoved(u *upstream) {
	var lanes []*lane
	for _, l := range u.lanes {
		if l.service.removed {
			l.list(false)
			continue
		}
		lanes = append(lanes, l)
	}
	u.lanes = lanes
}

// Apply puts the complete set of usable grants in force and returns the decisions
// on queued requests that it permits.
func (t *Table) Apply(grants []Grant, now time.Duration) []Wake {
	listed := make(map[string]bool, len(grants))
	warm := t.hasWarm(now)
	for _, g := range grants {
		listed[g.Worker] = true
		t.applyGrant(g, warm, now)
	}
	for name, u := range t.upstreams {
		if !listed[name] {
			t.withdraw(u)
		}
		t.relist(u, now)
		if u.unlisted && !u.busy() {
			delete(t.upstreams, name)
		}
	}
	return t.dispatch(now)
}

func (t *Table) hasWarm(now time.Duration) bool {
	for _, u := range t.upstreams {
		if u.current.open(now) && u.share(now) == 1 {
			return true
		}
	}
	return false
}

func (t *Table) applyGrant(g Grant, warm bool, now time.Duration) {
	u := t.upstreams[g.Worker]
	switch {
	case u == nil:
		u = &upstream{name: g.Worker, joined: now, warming: warm}
		t.upstreams[g.Worker] = u
	case u.unlisted || !u.current.open(now):
		u.joined, u.warming = now, warm
	}
	if local := g.Domain == t.domain; local != u.local {
		u.unlistLanes()
		u.local = local
	}
	u.apply(g)
	t.applyServices(u, g.Services)
}

func (u *upstream) unlistLanes() {
	for _, l := range u.lanes {
		l.list(false)
	}
}

func (t *Table) applyServices(u *upstream, names []string) {
	if u.generation == t.generation && slices.Equal(u.services, names) {
		return
	}
	u.generation, u.services = t.generation, names
	old := map[string]*lane{}
	for _, l := range u.lanes {
		l.list(false)
		old[l.service.name] = l
	}
	u.lanes = nil
	for _, name := range names {
		s := t.services[name]
		if s == nil {
			continue
		}
		l := old[name]
		if l == nil {
			l = &lane{up: u, service: s, position: notListed}
		}
		u.lanes = append(u.lanes, l)
	}
}

func (t *Table) withdraw(u *upstream) {
	u.unlisted = true
	u.current.withdrawn = true
}

// relist brings the lists of free lanes up to date with the upstream.
func (t *Table) relist(u *upstream, now time.Duration) {
	free := u.free(now)
	for _, l := range u.lanes {
		l.list(free)
	}
}

// Acquire admits, queues or sheds a request.
func (t *Table) Acquire(r Request, now time.Duration) Decision {
	s := t.services[r.Service]
	if s == nil {
		return Decision{Kind: Shed, Reason: ShedNoService}
	}
	if len(s.local) == 0 {
		s.starved, s.starvedAt = true, now
	}
	if s.head() == nil {
		if l := t.choose(s, r.Avoid, now); l != nil {
			return Decision{Kind: Admitted, Ticket: t.take(l, now)}
		}
	}
	if s.waiting >= s.maxQueue {
		return Decision{Kind: Shed, Reason: ShedQueueFull, RetryAfter: s.wait()}
	}
	if wait := s.wait(); now+wait+s.expected(r.Deadline-now) >= r.Deadline {
		return Decision{Kind: Shed, Reason: ShedDeadline, RetryAfter: wait}
	}
	t.catchUp(s)
	return Decision{Kind: Queued, Waiter: s.enqueue(r, now)}
}

// TryAcquire admits a request to an upstream other than avoid, or returns false if
// none has room now.
func (t *Table) TryAcquire(name, avoid string, now time.Duration) (Ticket, bool) {
	s := t.services[name]
	if s == nil || s.waiting > 0 {
		return Ticket{}, false
	}
	l := t.choose(s, []string{avoid}, now)
	if l == nil || l.up.name == avoid {
		return Ticket{}, false
	}
	return t.take(l, now), true
}

// catchUp keeps a service that was idle from claiming the slot time it did not
// use.
func (t *Table) catchUp(s *service) {
	if s.waiting > 0 {
		return
	}
	for _, other := range t.order {
		if other != s && other.waiting > 0 && other.used > s.used {
			s.used = other.used
			return
		}
	}
}

func (t *Table) take(l *lane, now time.Duration) Ticket {
	ticket := l.up.take(l, now)
	ticket.HedgeAfter = l.service.hedgeAfter(now)
	t.relist(l.up, now)
	return ticket
}

// Release ends the use of a ticket and returns decisions on queued requests.
func (t *Table) Release(ticket Ticket, result Result, now time.Duration) []Wake {
	u := ticket.lane.up
	u.release(ticket)
	t.learn(ticket, result, now)
	t.relist(u, now)
	return t.dispatch(now)
}

func (t *Table) learn(ticket Ticket, result Result, now time.Duration) {
	l := ticket.lane
	took := now - ticket.started
	l.service.used += took
	switch result {
	case ResultOK:
		l.up.health.record(false)
		t.learnLatency(l, took, now)
	case ResultFailed:
		t.learnFailure(l.up, now)
	case ResultRefused:
		ticket.session.refused = true
		ticket.session.refusedAt = now
	case ResultAbandoned:
		if usual := l.service.latency; usual.count > 0 && float64(took) > abandonedFactor*usual.value {
			l.latency.add(float64(took))
			t.learnFailure(l.up, now)
		}
	}
}

func (t *Table) learnFailure(u *upstream, now time.Duration) {
	if u.health.record(true) && t.mayEject(now) {
		u.health.eject(now)
		u.joined, u.warming = u.health.until, true
	}
}

func (t *Table) learnLatency(l *lane, took, now time.Duration) {
	s := l.service
	s.latency.add(float64(took))
	l.latency.add(float64(took))
	s.window.add(took, now)
	if s.latency.value > 0 {
		l.up.limiter.record(float64(took)/s.latency.value, float64(l.up.current.slots))
	}
}

// mayEject keeps at least half of the upstreams in use, so that a fault that all
// of them share ejects no more than half.
func (t *Table) mayEject(now time.Duration) bool {
	known, ejected := 0, 0
	for _, u := range t.upstreams {
		if u.unlisted {
			continue
		}
		known++
		if u.health.ejected(now) {
			ejected++
		}
	}
	return 2*(ejected+1) <= known
}

// Retry takes one retry from the budget.
func (t *Table) Retry(now time.Duration) bool { return t.budget.Retry(now) }

// Count counts a request from a caller for the retry budget.
func (t *Table) Count(now time.Duration) { t.budget.Request(now) }

// RetriesLeft returns what is left of the retry budget.
func (t *Table) RetriesLeft(now time.Duration) int { return t.budget.Left(now) }
