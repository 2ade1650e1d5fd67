// Package lease implements the rules of the scheduler lease and the domain lease
// for both sides: what the control leader may grant and when it may appoint
// another scheduler, and when a scheduler may act. It does no I/O. Times are
// monotonic times of the local process and are never compared with those of
// another process.
package lease

import "time"

// Durations of the leases; see section 3 of docs/design.md.
const (
	SchedulerLease = 1500 * time.Millisecond
	DomainLease    = 60 * time.Second
	TaskLease      = 10 * time.Second
	// RenewEvery is the interval of renewals of the scheduler lease.
	RenewEvery = 300 * time.Millisecond
	// ClockRateErrorPercent bounds the difference between the rates of two clocks.
	ClockRateErrorPercent = 1
	// clockMarginPercent covers a holder whose clock is slow and a grantor
	// whose clock is fast.
	clockMarginPercent = 2 * ClockRateErrorPercent
)

// GrantorWait returns the time on the grantor's clock after which a lease of
// duration d has certainly expired on the holder's clock.
func GrantorWait(d time.Duration) time.Duration {
	return d + d*clockMarginPercent/100
}

// GrantedLease is the grantor's view of a lease. The zero value has expired.
type GrantedLease struct {
	granted bool
	expiry  time.Duration
}

// Renew records that a lease of duration d is granted now.
func (g *GrantedLease) Renew(now, d time.Duration) {
	g.granted = true
	g.expiry = max(g.expiry, now+GrantorWait(d))
}

// Expired reports whether the lease has certainly expired for its holder.
func (g GrantedLease) Expired(now time.Duration) bool { return !g.granted || now >= g.expiry }

// Expiry returns the time on the grantor's clock from which Expired is true.
func (g GrantedLease) Expiry() time.Duration { return g.expiry }

// HeldLease is the holder's view of a lease. The zero value is not held.
type HeldLease struct {
	held   bool
	expiry time.Duration
}

// RecordRenewal records a lease of duration d that was requested at time sent. It
// is counted from the request, since the grantor may have granted it right then.
func (h *HeldLease) RecordRenewal(sent, d time.Duration) {
	if !h.held || sent+d > h.expiry {
		h.held, h.expiry = true, sent+d
	}
}

// Held reports whether the lease is valid at time now.
func (h HeldLease) Held(now time.Duration) bool { return h.held && now < h.expiry }

// Remaining returns how long the lease is still valid, or 0 if it is not held.
func (h HeldLease) Remaining(now time.Duration) time.Duration {
	if !h.Held(now) {
		return 0
	}
	return h.expiry - now
}
