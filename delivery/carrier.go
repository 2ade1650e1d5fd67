package delivery

import (
	"cmp"
	"slices"
	"time"

	"geraniumwall/rpc/deliverypb"
)

// Carrier is a replica that sends orders to workers for the leader.
type Carrier struct {
	Address string
	Domain  string
}

type carrier struct {
	stub           deliverypb.Carrier
	queue          []*deliverypb.Order
	flushScheduled bool
	clock          carrierClock
	// failedAt is the time of the last failure, 0 for none.
	failedAt time.Duration
	// reportedAt is when the carrier last reported a reply, 0 if it has not.
	reportedAt time.Duration
	// postponedAt is when its orders first waited for a renewal of the lease, 0 if they do
	// not.
	postponedAt time.Duration
	// lateSince is when the carrier first reported an expired order after the last one
	// that was in time, 0 for none.
	lateSince time.Duration
}

// SetCarriers replaces the carriers. Those that failed recently stay unavailable.
func (s *Sender) SetCarriers(carriers []Carrier) {
	s.available = s.available[:0]
	now := s.now()
	if s.shares != nil {
		s.shares.setMembers(carriers, now)
	}
	for _, c := range carriers {
		if existing := s.carriers[c.Address]; existing == nil || existing.failedAt == 0 || now-existing.failedAt > carrierBackoff {
			s.available = append(s.available, c)
		}
	}
	slices.SortFunc(s.available, func(a, b Carrier) int { return cmp.Compare(a.Address, b.Address) })
}

// selectCarrier returns the address of the carrier for a worker, "" if none responds. With
// fixed shares that is the one to which the worker is assigned while it responds. It uses
// rendezvous hashing, so that the orders of a worker keep the same carrier while it responds
// and few connections are opened.
func (s *Sender) selectCarrier(worker, domain string) string {
	if s.shares != nil {
		if address := s.shares.carrierOf(worker, domain, s.now()); contains(s.available, address) {
			return address
		}
	}
	return rendezvous(s.available, worker, domain, anyCarrier)
}

// mustPostpone reports whether the orders of a carrier have to wait for the renewal of a
// lease with the given time left.
func (s *Sender) mustPostpone(c *carrier, left time.Duration) bool {
	if left >= minLeaseLeft {
		return false
	}
	if c.postponedAt == 0 {
		c.postponedAt = s.now()
	}
	return left <= 0 || s.now()-c.postponedAt < maxRenewalWait
}

// anyInTime reports whether an available carrier receives orders in time. If none does,
// the leader itself is late.
func (s *Sender) anyInTime() bool {
	return slices.ContainsFunc(s.available, func(a Carrier) bool {
		c := s.carriers[a.Address]
		return c == nil || c.lateSince == 0
	})
}

func (s *Sender) markUnavailable(c *carrier, reason string) {
	if c.failedAt == 0 || s.now()-c.failedAt > carrierBackoff {
		s.log.Warn().Str("reason", reason).Uint64("term", s.term).Msg("carrier failed; no new orders are sent through it until its backoff ends")
	}
	c.failedAt, c.lateSince = max(1, s.now()), 0
	for address, other := range s.carriers {
		if other == c {
			s.available = slices.DeleteFunc(s.available, func(u Carrier) bool { return u.Address == address })
		}
	}
}
