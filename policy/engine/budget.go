package engine

import "time"

// tokens is a token bucket for evictions.
type tokens struct {
	perMinute float64
	left      float64
	at        time.Duration
}

// setRate changes the rate; a new bucket starts full.
func (b *tokens) setRate(now time.Duration, perMinute int) {
	b.refill(now)
	rate := float64(perMinute)
	if b.perMinute == 0 {
		b.left = rate
	}
	b.perMinute = rate
	b.left = min(b.left, rate)
}

func (b *tokens) refill(now time.Duration) {
	if now <= b.at {
		return
	}
	b.left = min(b.perMinute, b.left+b.perMinute*(now-b.at).Minutes())
	b.at = now
}

// EvictionsLeft returns the number of evictions that the budget permits now.
func (e *Engine) EvictionsLeft(now time.Duration) float64 {
	e.tokens.refill(now)
	return e.tokens.left
}

// take uses one token unless that would leave less than keep.
func (b *tokens) take(now time.Duration, keep float64) bool {
	b.refill(now)
	if b.left < 1+keep {
		return false
	}
	b.left--
	return true
}
