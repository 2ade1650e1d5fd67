package routing

import "time"

// starvedDuration is how long a service counts as starved after a request found no
// free slot in the local domain.
const starvedDuration = 2 * time.Second

// Demand is the load of a service in requests.
type Demand struct {
	Service     string
	Outstanding int
	Queued      int
}

// Holding is the number of slots granted and used in one worker session.
type Holding struct {
	Worker     string
	Session    uint64
	Slots      int
	SlotsInUse int
}

// Report is the state that a gateway reports to the schedulers of one domain.
type Report struct {
	Demands  []Demand
	Holdings []Holding
}

// Report returns the demand and the slots in use for the schedulers of a domain.
// Outstanding requests in other domains are omitted. Queued requests are reported to
// a remote domain only for services that found no free slot in the local one.
func (t *Table) Report(domain string, now time.Duration) Report {
	report := Report{}
	demands := map[*service]*Demand{}
	for _, s := range t.serviceOrder {
		d := &Demand{Service: s.name}
		if domain == t.domain || s.recentlyStarved(now) {
			d.Queued = s.waiting
		}
		demands[s] = d
	}
	for _, u := range t.upstreams {
		if u.domain != domain {
			continue
		}
		report.Holdings = append(report.Holdings, u.holdings(now)...)
		for _, e := range u.endpoints {
			demands[e.service].Outstanding += e.outstanding
		}
	}
	for _, s := range t.serviceOrder {
		report.Demands = append(report.Demands, *demands[s])
	}
	return report
}

func (s *service) recentlyStarved(now time.Duration) bool {
	return s.starved && now-s.starvedAt < starvedDuration
}

func (u *upstream) holdings(now time.Duration) []Holding {
	var holdings []Holding
	slots := u.current.slots
	if !u.current.usable(now) {
		slots = 0
	}
	holdings = append(holdings, Holding{
		Worker: u.name, Session: u.current.id, Slots: slots, SlotsInUse: u.current.outstanding,
	})
	for _, s := range u.draining {
		holdings = append(holdings, Holding{Worker: u.name, Session: s.id, SlotsInUse: s.outstanding})
	}
	return holdings
}

// Starved reports whether any service recently found no free slot in the local
// domain.
func (t *Table) Starved(now time.Duration) bool {
	for _, s := range t.serviceOrder {
		if s.recentlyStarved(now) {
			return true
		}
	}
	return false
}

// Uses reports whether requests are outstanding on upstreams in a domain.
func (t *Table) Uses(domain string) bool {
	for _, u := range t.upstreams {
		if u.domain == domain && u.hasOutstanding() {
			return true
		}
	}
	return false
}

// Statistics holds the metrics of one service.
type Statistics struct {
	Service     string
	Outstanding int
	Queued      int
	// Oldest is the time for which the oldest queued request has waited.
	Oldest time.Duration
}

// Statistics returns the metrics of every service.
func (t *Table) Statistics(now time.Duration) []Statistics {
	list := make([]Statistics, 0, len(t.serviceOrder))
	for _, s := range t.serviceOrder {
		statistics := Statistics{Service: s.name, Outstanding: s.outstanding, Queued: s.waiting}
		if head := s.head(); head != nil {
			statistics.Oldest = now - head.queuedAt
		}
		list = append(list, statistics)
	}
	return list
}

// Usable returns the number of upstreams with a valid grant and of their slots.
func (t *Table) Usable(now time.Duration) (upstreams, slots int) {
	for _, u := range t.upstreams {
		if u.current.usable(now) {
			upstreams++
			slots += u.current.slots
		}
	}
	return upstreams, slots
}

// GrantAge returns the time since the oldest valid grant was requested, or 0 if
// there is none.
func (t *Table) GrantAge(now time.Duration) time.Duration {
	var oldest time.Duration
	for _, u := range t.upstreams {
		if u.current.usable(now) {
			oldest = max(oldest, now-u.current.requestedAt)
		}
	}
	return oldest
}

// Outstanding returns the number of outstanding requests on all upstreams.
func (t *Table) Outstanding() int {
	total := 0
	for _, u := range t.upstreams {
		total += u.current.outstanding
		for _, s := range u.draining {
			total += s.outstanding
		}
	}
	return total
}
