package routing

import (
	"slices"
	"time"
)

const (
	// chooseAttempts bounds the draws that slow start may turn down.
	chooseAttempts = 4
	// latencyFactorLimit bounds the influence of latency on the choice.
	latencyFactorLimit = 8
)

// choose returns a lane with room for a request, or nil. Upstreams of the own
// domain come first.
func (t *Table) choose(s *service, avoid []string, now time.Duration) *lane {
	if l := t.draw(s.local, avoid, now); l != nil {
		return l
	}
	return t.draw(s.remote, avoid, now)
}

// draw picks the better of two random lanes. A worker in slow start is turned
// down with the share that it does not get yet.
func (t *Table) draw(list []*lane, avoid []string, now time.Duration) *lane {
	if len(list) == 0 {
		return nil
	}
	var fallback *lane
	for range chooseAttempts {
		l := t.better(t.pick(list), t.pick(list), now)
		if !l.up.free(now) || slices.Contains(avoid, l.up.name) {
			continue
		}
		fallback = l
		if t.random.Float64() < l.up.share(now) {
			return l
		}
	}
	if fallback != nil {
		return fallback
	}
	return scan(list, avoid, now)
}

func (t *Table) pick(list []*lane) *lane { return list[t.random.IntN(len(list))] }

// scan is the last resort when the random draws found no lane: the first that is
// free and not to be avoided, or else the first that is free.
func scan(list []*lane, avoid []string, now time.Duration) *lane {
	var avoided *lane
	for _, l := range list {
		if !l.up.free(now) {
			continue
		}
		if !slices.Contains(avoid, l.up.name) {
			return l
		}
		avoided = l
	}
	return avoided
}

func (t *Table) better(a, b *lane, now time.Duration) *lane {
	if b.cost(now) < a.cost(now) {
		return b
	}
	return a
}

// cost is the use of the worker after one more request, relative to its share,
// times its latency relative to the service's.
func (l *lane) cost(now time.Duration) float64 {
	use := float64(l.up.current.outstanding+1) / (float64(l.up.current.slots) * l.up.share(now))
	return use * l.latencyFactor()
}

func (l *lane) latencyFactor() float64 {
	if l.latency.count == 0 || l.service.latency.value <= 0 {
		return 1
	}
	factor := l.latency.value / l.service.latency.value
	return min(latencyFactorLimit, max(1.0/latencyFactorLimit, factor))
}
