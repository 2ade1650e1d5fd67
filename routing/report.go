package routing

import "time"

// starvedFor is how long a service counts as starved after a request found no
// free slot in the own domain.
const starvedFor = 2 * time.Second

// Demand is what a service needs.
type Demand struct {
	Service     string
	Outstanding int
	Queued      int
}

// Holding is the use of one worker session.
type Holding struct {
	Worker     string
	Session    uint64
	Slots      int
	SlotsInUse int
}

// Report is the state that a gateway tells the schedulers of one domain.
type Report struct {
	Demands  []Demand
	Holdings []Holding
}

// Report summarises demand and use towards the schedulers of a domain. Requests
// that are outstanding in other domains are left out; queued requests are
// reported to other domains only for services that found no free slot at home.
func (t *Table) Report(domain string, now time.Duration) Report {
	report := Report{}
	demands := map[*service]*Demand{}
	for _, s := range t.order {
		d := &Demand{Service: s.name}
		if domain == t.domain || s.isStarved(now) {
			d.Queued = s.waiting
		}
		demands[s] = d
	}
	for _, u := range t.upstreams {
		if u.domain != domain {
			continue
		}
		report.Holdings = append(report.Holdings, u.holdings(now)...)
		for _, l := range u.lanes {
			demands[l.service].Outstanding += l.outstanding
		}
	}
	for _, s := range t.order {
		report.Demands = append(report.Demands, *demands[s])
	}
	return report
}

func (s *service) isStarved(now time.Duration) bool {
	return s.starved && now-s.starvedAt < starvedFor
}

func (u *upstream) holdings(now time.Duration) []Holding {
	var list []Holding
	slots := u.current.slots
	if !u.current.open(now) {
		slots = 0
	}
	list = append(list, Holding{
		Worker: u.name, Session: u.current.number, Slots: slots, SlotsInUse: u.current.outstanding,
	})
	for _, s := range u.former {
		list = append(list, Holding{Worker: u.name, Session: s.number, SlotsInUse: s.outstanding})
	}
	return list
}

// Starved reports whether a service recently found no free slot in the own domain.
func (t *Table) Starved(now time.Duration) bool {
	for _, s := range t.order {
		if s.isStarved(now) {
			return true
		}
	}
	return false
}

// Uses reports whether requests are outstanding in a domain.
func (t *Table) Uses(domain string) bool {
	for _, u := range t.upstreams {
		if u.domain == domain && u.busy() {
			return true
		}
	}
	return false
}

// Statistics are figures for metrics.
type Statistics struct {
	Service     string
	Outstanding int
	Queued      int
	// Oldest is the time for which the oldest queued request has waited.
	Oldest time.Duration
}

// Statistics returns the figures of every service.
func (t *Table) Statistics(now time.Duration) []Statistics {
	list := make([]Statistics, 0, len(t.order))
	for _, s := range t.order {
		one := Statistics{Service: s.name, Outstanding: s.outstanding, Queued: s.waiting}
		if head := s.head(); head != nil {
			one.Oldest = now - head.queued
		}
		list = append(list, one)
	}
	return list
}

// Usable returns the number of upstreams and slots with a grant in force.
func (t *Table) Usable(now time.Duration) (upstreams, slots int) {
	for _, u := range t.upstreams {
		if u.current.open(now) {
			upstreams++
			slots += u.current.slots
		}
	}
	return upstreams, slots
}

// GrantAge returns the time since the oldest grant in force was asked for, 0 if
// there is none.
func (t *Table) GrantAge(now time.Duration) time.Duration {
	var oldest time.Duration
	for _, u := range t.upstreams {
		if u.current.open(now) {
			oldest = max(oldest, now-u.current.sent)
		}
	}
	return oldest
}

// Outstanding returns the number of requests on upstreams.
func (t *Table) Outstanding() int {
	total := 0
	for _, u := range t.upstreams {
		total += u.current.outstanding
		for _, s := range u.former {
			total += s.outstanding
		}
	}
	return total
}
