// Package lease holds the pure rules of the scheduler lease and the domain lease
// for both sides: what the control leader may grant and when it may appoint
// another scheduler, and when a scheduler may act. Times are monotonic and belong
// to one process; they are never compared with the times of another.
package lease

import "time"

// Durations of the leases, see docs/design.md 3.
const (
	SchedulerLease = 1500 * time.Millisecond
	DomainLease    = 60 * time.Second
	TaskLease      = 10 * time.Second
	// RenewEvery is the interval of renewals of the scheduler lease.
	RenewEvery = 300 * time.Millisecond
	// ClockRateErrorPercent bounds the difference of the rates of two clocks.
	ClockRateErrorPercent = 1
	// grantorMarginPercent covers a holder whose clock is slow and a grantor
	// whose clock is fast.
	grantorMarginPercent = 2 * ClockRateErrorPercent
)

// GrantorWait is the time on the grantor's clock after which a lease of duration
// d is certainly over for its holder.
func GrantorWait(d time.Duration) time.Duration {
	return d + d*grantorMarginPercent/100
}

// Grant is a lease as its grantor knows it. The zero value is over.
type Grant struct {
	given bool
	until time.Duration
}

// Renew extends the grant by a lease of duration d that is given now.
func (g *Grant) Renew(now, d time.Duration) {
	g.given = true
	g.until = max(g.until, now+GrantorWait(d))
}

// Over reports whether the holder's lease is certainly over.
func (g Grant) Over(now time.Duration) bool { return !g.given || now >= g.until }

// Until returns the time on the grantor's clock at which the grant is over.
func (g Grant) Until() time.Duration { return g.until }

// Holding is a lease as its holder knows it. The zero value is not held.
type Holding struct {
	held  bool
	until time.Duration
}

// Renewed records a lease of duration d that was requested at time sent.
func (h *Holding) Renewed(sent, d time.Duration) {
	if !h.held || sent+d > h.until {
		h.held, h.until = true, sent+d
	}
}

// Held reports whether the lease still holds.
func (h Holding) Held(now time.Duration) bool { return h.held && now < h.until }

// Rest returns the time for which the lease still holds, 0 if it does not.
func (h Holding) Rest(now time.Duration) time.Duration {
	if !h.Held(now) {
		return 0
	}
	return h.until - now
}
