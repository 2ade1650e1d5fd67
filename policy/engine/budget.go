package engine

import "time"

// tokenBucket is a token bucket for evictions.
type tokenBucket struct {
	ratePerMinute float64
	available     float64
	refilledAt    time.Duration
}

// setRate changes the rate; a new bucket starts full.
func (b *tokenBucket) setRate(now time.Duration, perMinute int) {
	b.refill(now)
	rate := float64(perMinute)
	if b.ratePerMinute == 0 {
		b.available = rate
	}
	b.ratePerMinute = rate
	b.available = min(b.available, rate)
}

func (b *tokenBucket) refill(now time.Duration) {
	if now <= b.refilledAt {
		return
	}
	b.available = min(b.ratePerMinute, b.available+b.ratePerMinute*(now-b.refilledAt).Minutes())
	b.refilledAt = now
}

// EvictionsLeft returns the number of evictions that the budget permits now.
func (e *Engine) EvictionsLeft(now time.Duration) float64 {
	e.evictionBudget.refill(now)
	return e.evictionBudget.available
}

// take uses one token unless that would leave less than keep.
func (b *tokenBucket) take(now time.Duration, minRemaining float64) bool {
	b.refill(now)
	if b.available < 1+minRemaining {
		return false
	}
	b.available--
	return true
}
