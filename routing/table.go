package routing

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Table holds the upstreams of one gateway, their outstanding requests and the
// queues of the services. It is not safe for concurrent use.
type Table struct {
	domain       string
	random       *rand.Rand
	services     map[string]*service
	serviceOrder []*service
	upstreams    map[string]*upstream
	budget       *RetryBudget
	// configGeneration is incremented by each configuration.
	configGeneration int
}

// NewTable returns an empty table for a gateway in a domain. Random choices are
// drawn from source.
func NewTable(domain string, source rand.Source) *Table {
	return &Table{
		domain:    domain,
		random:    rand.New(source), //nolint:gosec // load spreading needs no secrecy
		services:  map[string]*service{},
		upstreams: map[string]*upstream{},
		budget:    NewRetryBudget(0),
	}
}

// Configure replaces the services and the share of requests that may be retried. It
// returns the decisions on queued requests, including those of removed services,
// which are shed.
func (t *Table) Configure(services []ServiceConfig, retryPercent int, now time.Duration) []Wake {
	t.configGeneration++
	t.budget.SetPercent(retryPercent)
	configured := map[string]*service{}
	t.serviceOrder = t.serviceOrder[:0]
	for _, c := range services {
		s := t.services[c.Name]
		if s == nil {
			s = &service{name: c.Name}
		}
		s.maxQueue = c.MaxQueue
		configured[c.Name] = s
		t.serviceOrder = append(t.serviceOrder, s)
	}
	var wakes []Wake
	for name, s := range t.services {
		if configured[name] == nil {
			s.removed = true
			wakes = append(wakes, shedAll(s, ShedNoService)...)
		}
	}
	t.services = configured
	for _, u := range t.upstreams {
		t.dropRemovedServices(u)
	}
	return append(wakes, t.dispatch(now)...)
}

// dropRemovedServices removes the endpoints of services that no longer exist.
func (t *Table) dropRemovedServices(u *upstream) {
	var remaining []*endpoint
	for _, e := range u.endpoints {
		if e.service.removed {
			e.setFree(false)
			continue
		}
		remaining = append(remaining, e)
	}
	u.endpoints = remaining
}

// Apply replaces the grants with the complete set of usable ones and returns the
// resulting decisions on queued requests.
func (t *Table) Apply(grants []Grant, now time.Duration) []Wake {
	granted := make(map[string]bool, len(grants))
	slowStart := t.hasFullShareUpstream(now)
	for _, g := range grants {
		granted[g.Worker] = true
		t.applyGrant(g, slowStart, now)
	}
	for name, u := range t.upstreams {
		if !granted[name] {
			t.withdraw(u)
		}
		t.updateFreeLists(u, now)
		if u.withoutGrant && !u.hasOutstanding() {
			delete(t.upstreams, name)
		}
	}
	return t.dispatch(now)
}

// hasFullShareUpstream reports whether an upstream with a valid grant gets its full
// share of load. New upstreams go through slow start only if there is one.
func (t *Table) hasFullShareUpstream(now time.Duration) bool {
	for _, u := range t.upstreams {
		if u.current.usable(now) && u.slowStartShare(now) == 1 {
			return true
		}
	}
	return false
}

func (t *Table) applyGrant(g Grant, slowStart bool, now time.Duration) {
	u := t.upstreams[g.Worker]
	switch {
	case u == nil:
		u = &upstream{name: g.Worker, slowStartBegan: now, inSlowStart: slowStart}
		t.upstreams[g.Worker] = u
	case u.withoutGrant || !u.current.usable(now):
		u.slowStartBegan, u.inSlowStart = now, slowStart
	}
	if local := g.Domain == t.domain; local != u.local {
		u.removeFromFreeLists()
		u.local = local
	}
	u.apply(g)
	t.applyServices(u, g.Services)
}

// removeFromFreeLists removes all endpoints of the upstream from the free lists.
func (u *upstream) removeFromFreeLists() {
	for _, e := range u.endpoints {
		e.setFree(false)
	}
}

// applyServices replaces the endpoints of an upstream if its services or the
// configuration changed. Endpoints that remain keep their state.
func (t *Table) applyServices(u *upstream, names []string) {
	if u.configGeneration == t.configGeneration && slices.Equal(u.services, names) {
		return
	}
	u.configGeneration, u.services = t.configGeneration, names
	old := map[string]*endpoint{}
	for _, e := range u.endpoints {
		e.setFree(false)
		old[e.service.name] = e
	}
	u.endpoints = nil
	for _, name := range names {
		s := t.services[name]
		if s == nil {
			continue
		}
		e := old[name]
		if e == nil {
			e = &endpoint{upstream: u, service: s, freeIndex: notFree}
		}
		u.endpoints = append(u.endpoints, e)
	}
}

// withdraw marks an upstream that is not in the current set of grants.
func (t *Table) withdraw(u *upstream) {
	u.withoutGrant = true
	u.current.withdrawn = true
}

// updateFreeLists adds the endpoints of an upstream to the free lists or removes
// them, depending on whether the upstream has a free slot.
func (t *Table) updateFreeLists(u *upstream, now time.Duration) {
	free := u.hasFreeSlot(now)
	for _, e := range u.endpoints {
		e.setFree(free)
	}
}

// Acquire admits, queues or sheds a request.
func (t *Table) Acquire(r Request, now time.Duration) Decision {
	s := t.services[r.Service]
	if s == nil {
		return Decision{Kind: Shed, Reason: ShedNoService}
	}
	if len(s.localFree) == 0 {
		s.starved, s.starvedAt = true, now
	}
	if s.head() == nil {
		if e := t.chooseEndpoint(s, r.Avoid, now); e != nil {
			return Decision{Kind: Admitted, Ticket: t.take(e, now)}
		}
	}
	if s.waiting >= s.maxQueue {
		return Decision{Kind: Shed, Reason: ShedQueueFull, RetryAfter: s.estimatedWait()}
	}
	if wait := s.estimatedWait(); now+wait+s.expectedRunTime(r.Deadline-now) >= r.Deadline {
		return Decision{Kind: Shed, Reason: ShedDeadline, RetryAfter: wait}
	}
	t.discardIdleTime(s)
	return Decision{Kind: Queued, Waiter: s.enqueue(r, now)}
}

// TryAcquire admits a request to an upstream other than avoid. It returns false if
// none has a free slot or requests of the service are queued.
func (t *Table) TryAcquire(name, avoid string, now time.Duration) (Ticket, bool) {
	s := t.services[name]
	if s == nil || s.waiting > 0 {
		return Ticket{}, false
	}
	e := t.chooseEndpoint(s, []string{avoid}, now)
	if e == nil || e.upstream.name == avoid {
		return Ticket{}, false
	}
	return t.take(e, now), true
}

// discardIdleTime raises the slot time of a service without queued requests to that
// of a service with queued ones, so that a service gets no credit for the time in
// which it was idle.
func (t *Table) discardIdleTime(s *service) {
	if s.waiting > 0 {
		return
	}
	for _, other := range t.serviceOrder {
		if other != s && other.waiting > 0 && other.slotTime > s.slotTime {
			s.slotTime = other.slotTime
			return
		}
	}
}

func (t *Table) take(e *endpoint, now time.Duration) Ticket {
	ticket := e.upstream.take(e, now)
	ticket.HedgeAfter = e.service.hedgeAfter(now)
	t.updateFreeLists(e.upstream, now)
	return ticket
}

// Release returns a ticket with the result of its attempt, and returns the resulting
// decisions on queued requests.
func (t *Table) Release(ticket Ticket, result Result, now time.Duration) []Wake {
	u := ticket.endpoint.upstream
	u.release(ticket)
	t.recordResult(ticket, result, now)
	t.updateFreeLists(u, now)
	return t.dispatch(now)
}

func (t *Table) recordResult(ticket Ticket, result Result, now time.Duration) {
	e := ticket.endpoint
	elapsed := now - ticket.started
	e.service.slotTime += elapsed
	switch result {
	case ResultOK:
		e.upstream.outliers.record(false)
		t.recordLatency(e, elapsed, now)
	case ResultFailed:
		t.recordFailure(e.upstream, now)
	case ResultRefused:
		ticket.session.refused = true
		ticket.session.refusedAt = now
	case ResultAbandoned:
		if average := e.service.latency; average.count > 0 && float64(elapsed) > abandonedFactor*average.value {
			e.latency.add(float64(elapsed))
			t.recordFailure(e.upstream, now)
		}
	}
}

func (t *Table) recordFailure(u *upstream, now time.Duration) {
	if u.outliers.record(true) && t.mayEject(now) {
		u.outliers.eject(now)
		u.slowStartBegan, u.inSlowStart = u.outliers.ejectedUntil, true
	}
}

func (t *Table) recordLatency(e *endpoint, elapsed, now time.Duration) {
	s := e.service
	s.latency.add(float64(elapsed))
	e.latency.add(float64(elapsed))
	s.recentLatency.add(elapsed, now)
	if s.latency.value > 0 {
		e.upstream.limiter.record(float64(elapsed)/s.latency.value, float64(e.upstream.current.slots))
	}
}

// mayEject reports whether another upstream may be ejected. At least half of the
// upstreams stay in use, in case a fault is common to all of them.
func (t *Table) mayEject(now time.Duration) bool {
	granted, ejected := 0, 0
	for _, u := range t.upstreams {
		if u.withoutGrant {
			continue
		}
		granted++
		if u.outliers.ejected(now) {
			ejected++
		}
	}
	return 2*(ejected+1) <= granted
}

// Retry takes one retry from the budget, or returns false if it is exhausted.
func (t *Table) Retry(now time.Duration) bool { return t.budget.TryRetry(now) }

// Count counts a request of a caller for the retry budget.
func (t *Table) Count(now time.Duration) { t.budget.RecordRequest(now) }

// RetriesLeft returns the number of retries that the budget still permits.
func (t *Table) RetriesLeft(now time.Duration) int { return t.budget.Remaining(now) }
