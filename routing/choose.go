package routing

import (
	"slices"
	"time"
)

const (
	// chooseAttempts is the number of random choices before a fallback is used.
	chooseAttempts = 4
	// maxLatencyFactor limits the effect of latency on the cost of an endpoint.
	maxLatencyFactor = 8
)

// chooseEndpoint returns an endpoint with a free slot, or nil. Upstreams in the
// local domain are preferred.
func (t *Table) chooseEndpoint(s *service, avoid []string, now time.Duration) *endpoint {
	if e := t.sampleEndpoint(s.localFree, avoid, now); e != nil {
		return e
	}
	return t.sampleEndpoint(s.remoteFree, avoid, now)
}

// sampleEndpoint returns the cheaper of two random endpoints. An endpoint in slow
// start is accepted with a probability equal to its slow-start share. If no choice is
// accepted, the last one rejected by slow start is used, or else firstFree.
func (t *Table) sampleEndpoint(endpoints []*endpoint, avoid []string, now time.Duration) *endpoint {
	if len(endpoints) == 0 {
		return nil
	}
	var fallback *endpoint
	for range chooseAttempts {
		e := t.cheaper(t.pickRandom(endpoints), t.pickRandom(endpoints), now)
		if !e.upstream.hasFreeSlot(now) || slices.Contains(avoid, e.upstream.name) {
			continue
		}
		fallback = e
		if t.random.Float64() < e.upstream.slowStartShare(now) {
			return e
		}
	}
	if fallback != nil {
		return fallback
	}
	return firstFree(endpoints, avoid, now)
}

// pickRandom returns one of the endpoints with equal probability.
func (t *Table) pickRandom(list []*endpoint) *endpoint { return list[t.random.IntN(len(list))] }

// firstFree returns the first endpoint that has a free slot and is not to be
// avoided. If there is none, it returns the last one with a free slot, or nil.
func firstFree(endpoints []*endpoint, avoid []string, now time.Duration) *endpoint {
	var avoided *endpoint
	for _, e := range endpoints {
		if !e.upstream.hasFreeSlot(now) {
			continue
		}
		if !slices.Contains(avoid, e.upstream.name) {
			return e
		}
		avoided = e
	}
	return avoided
}

func (t *Table) cheaper(a, b *endpoint, now time.Duration) *endpoint {
	if b.cost(now) < a.cost(now) {
		return b
	}
	return a
}

// cost returns the utilization of the upstream after one more request, relative to
// its slow-start share, times its latency relative to that of the service.
func (e *endpoint) cost(now time.Duration) float64 {
	use := float64(e.upstream.current.outstanding+1) / (float64(e.upstream.current.slots) * e.upstream.slowStartShare(now))
	return use * e.latencyFactor()
}

// latencyFactor returns the latency of the endpoint relative to that of the service,
// bounded by maxLatencyFactor and its inverse.
func (e *endpoint) latencyFactor() float64 {
	if e.latency.count == 0 || e.service.latency.value <= 0 {
		return 1
	}
	factor := e.latency.value / e.service.latency.value
	return min(maxLatencyFactor, max(1.0/maxLatencyFactor, factor))
}
