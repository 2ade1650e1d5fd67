package delivery

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// shareSlack times the mean number of workers for each carrier is the most that one gets.
	// Without a limit the only carrier of a domain would call all workers of the domain.
	shareSlack = 1.25
	// shareStep is the step by which that number changes.
	shareStep = 16
	// memberRetention is how long a carrier that does not respond keeps its share. Others
	// substitute for it meanwhile, so that a short pause moves no worker for good.
	memberRetention = 10 * time.Second
	// shareRetention is how long the share of a worker is kept without an order to it.
	shareRetention = time.Minute
	pruneInterval  = 10 * time.Second
)

// shares assigns each worker to one carrier, so that a carrier keeps connections to a bounded
// part of the fleet only. The assignment depends on the carriers and the workers alone, so a
// new leader arrives at nearly the same one, and the loss of a carrier moves few workers
// besides its own.
type shares struct {
	members []Carrier
	// seenAt is when each member was last known to respond.
	seenAt      map[string]time.Duration
	byWorker    map[string]*share
	load        map[string]int
	nextPruneAt time.Duration
}

// share is the assignment of a worker.
type share struct {
	carrier, domain string
	usedAt          time.Duration
}

func newShares() *shares {
	return &shares{seenAt: map[string]time.Duration{}, byWorker: map[string]*share{}, load: map[string]int{}}
}

// SetFixedShares sets whether each carrier calls a fixed share of the workers, as in a large
// fleet. Otherwise the orders to a worker go to any carrier that responds.
func (s *Sender) SetFixedShares(fixed bool) {
	switch {
	case !fixed:
		s.shares = nil
	case s.shares == nil:
		s.shares = newShares()
	}
}

// LargestShare returns the largest number of workers that are assigned to one carrier, 0
// without fixed shares.
func (s *Sender) LargestShare() int {
	largest := 0
	if s.shares != nil {
		for _, n := range s.shares.load {
			largest = max(largest, n)
		}
	}
	return largest
}

// setMembers updates the carriers that have a share, and adapts the shares after a
// change.
func (h *shares) setMembers(carriers []Carrier, now time.Duration) {
	for _, c := range carriers {
		h.seenAt[c.Address] = now
	}
	members := slices.Clone(carriers)
	for _, m := range h.members {
		listed := slices.ContainsFunc(carriers, func(c Carrier) bool { return c.Address == m.Address })
		if !listed && now-h.seenAt[m.Address] < memberRetention {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b Carrier) int { return cmp.Compare(a.Address, b.Address) })
	changed := !slices.Equal(members, h.members)
	if changed || now >= h.nextPruneAt {
		h.nextPruneAt = now + pruneInterval
		h.prune(now)
	}
	if changed {
		former := h.members
		h.members = members
		h.reassign(former)
	}
}

// prune forgets the workers that get no more orders, and the carriers that are gone.
func (h *shares) prune(now time.Duration) {
	for worker, s := range h.byWorker {
		if now-s.usedAt >= shareRetention {
			h.load[s.carrier]--
			delete(h.byWorker, worker)
		}
	}
	for address, at := range h.seenAt {
		if now-at >= memberRetention {
			delete(h.seenAt, address)
		}
	}
}

// reassign assigns the workers of lost carriers anew, and those for which a new one ranks first.
// It visits the workers in the order of their ids.
func (h *shares) reassign(former []Carrier) {
	workers := slices.Sorted(maps.Keys(h.byWorker))
	clear(h.load)
	for _, worker := range workers {
		s := h.byWorker[worker]
		if first := rendezvous(h.members, worker, s.domain, anyCarrier); !contains(former, first) {
			s.carrier = first
		}
		if !contains(h.members, s.carrier) || h.load[s.carrier] >= h.limit() {
			s.carrier = ""
			continue
		}
		h.load[s.carrier]++
	}
	for _, worker := range workers {
		if s := h.byWorker[worker]; s.carrier == "" && len(h.members) > 0 {
			s.carrier = h.choose(worker, s.domain)
			h.load[s.carrier]++
		}
	}
}

func anyCarrier(Carrier) bool { return true }

// contains reports whether a list that is sorted by address has a carrier.
func contains(carriers []Carrier, address string) bool {
	_, found := slices.BinarySearchFunc(carriers, address, func(c Carrier, address string) int { return cmp.Compare(c.Address, address) })
	return found
}

// limit returns the most workers that a carrier may get. It changes in steps: with each change
// workers move between carriers that have reached it.
func (h *shares) limit() int {
	most := int(shareSlack * float64(len(h.byWorker)) / float64(len(h.members)))
	return (most/shareStep + 1) * shareStep
}

// choose returns the carrier with room that ranks first for a worker.
func (h *shares) choose(worker, domain string) string {
	limit := h.limit()
	return rendezvous(h.members, worker, domain, func(c Carrier) bool { return h.load[c.Address] < limit })
}

// carrierOf returns the carrier to which a worker is assigned, "" if there is none.
func (h *shares) carrierOf(worker, domain string, now time.Duration) string {
	s := h.byWorker[worker]
	if len(h.members) == 0 {
		return ""
	}
	if s == nil {
		s = &share{domain: domain}
		h.byWorker[worker] = s
		s.carrier = h.choose(worker, domain)
		h.load[s.carrier]++
	}
	s.usedAt = now
	return s.carrier
}

// rendezvous returns the address of the carrier that ranks first for a worker among those that
// are admitted, first those in its domain, "" for none.
func rendezvous(carriers []Carrier, worker, domain string, admitted func(Carrier) bool) string {
	best, bestWeight, bestSameDomain := "", uint64(0), false
	for _, c := range carriers {
		if !admitted(c) {
			continue
		}
		sameDomain := c.Domain == domain
		weight := xxhash.Sum64String(worker + "/" + c.Address)
		if best == "" || sameDomain && !bestSameDomain || sameDomain == bestSameDomain && weight > bestWeight {
			best, bestWeight, bestSameDomain = c.Address, weight, sameDomain
		}
	}
	return best
}
