package engine

import "time"

// tokenBucket limits the rate of evictions. Its capacity is the tokens of one minute.
type tokenBucket struct {
	ratePerMinute float64
	available     float64
	refilledAt    time.Duration
}

// setRate changes the refill rate and the capacity. A bucket without a rate so far starts
// full.
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

// EvictionsLeft returns the number of evictions that the budget permits now. It is
// negative while urgent tasks have overdrawn the budget.
func (e *Engine) EvictionsLeft(now time.Duration) float64 {
	e.evictionBudget.refill(now)
	return e.evictionBudget.available
}

// take removes one token unless fewer than minRemaining would be left. A negative
// minRemaining permits an overdraft.
func (b *tokenBucket) take(now time.Duration, minRemaining float64) bool {
	b.refill(now)
	if b.available < 1+minRemaining {
		return false
	}
	b.available--
	return true
}
