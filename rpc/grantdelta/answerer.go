package grantdelta

import (
	"maps"
	"slices"
	"time"

	"geraniumwall/rpc/schedulerpb"
)

const (
	// maxAnswers bounds the answers kept for a gateway that takes none of them.
	maxAnswers = 4
	// kept is the silence after which the answers to a gateway are dropped.
	kept = 10 * time.Second
)

// Answerer is a scheduler's side of the syncs with all gateways. It is not safe
// for concurrent use.
type Answerer struct {
	incarnation string
	number      uint64
	gateways    map[gatewayKey]*gateway
	swept       time.Duration
}

type gatewayKey struct{ name, incarnation string }

type gateway struct {
	heard time.Duration
	// answers are those that the gateway may hold, oldest first.
	answers []*state
}

// NewAnswerer returns the side of one run of a scheduler. No two runs may have the
// same incarnation.
func NewAnswerer(incarnation string) *Answerer {
	return &Answerer{incarnation: incarnation, gateways: map[gatewayKey]*gateway{}}
}

// Restore returns the whole sync, or false if the gateway must send one.
func (a *Answerer) Restore(short *schedulerpb.SyncGrantsRequest) (*schedulerpb.SyncGrantsRequest, bool) {
	if short.GetHeldNumber() == 0 {
		return short, true
	}
	held := a.held(short)
	if held == nil {
		return nil, false
	}
	holdings := maps.Clone(held.holdings)
	for _, h := range short.GetGone() {
		delete(holdings, keyOf(h))
	}
	for _, h := range short.GetHoldings() {
		holdings[keyOf(h)] = h
	}
	whole := shallow(short)
	whole.Gone, whole.Holdings = nil, slices.Collect(maps.Values(holdings))
	return whole, true
}

// Shorten numbers the answer to a sync that Restore returned, and returns what to
// send in its place.
func (a *Answerer) Shorten(
	now time.Duration, whole *schedulerpb.SyncGrantsRequest, answer *schedulerpb.SyncGrantsResponse,
) *schedulerpb.SyncGrantsResponse {
	a.sweep(now)
	a.number++
	answer.Incarnation, answer.Number = a.incarnation, a.number
	short := answer
	if held := a.held(whole); held != nil {
		short = held.changes(answer)
	}
	a.record(now, whole, answer)
	return short
}

// held is the answer that a sync names.
func (a *Answerer) held(sync *schedulerpb.SyncGrantsRequest) *state {
	g := a.gateways[gatewayKey{sync.GetGateway(), sync.GetIncarnation()}]
	if g == nil || sync.GetHeldNumber() == 0 || sync.GetHeldIncarnation() != a.incarnation {
		return nil
	}
	for _, s := range g.answers {
		if s.number == sync.GetHeldNumber() {
			return s
		}
	}
	return nil
}

func (s *state) changes(answer *schedulerpb.SyncGrantsResponse) *schedulerpb.SyncGrantsResponse {
	short := shallow(answer)
	short.Base, short.Grants = s.number, nil
	still := make(map[string]bool, len(answer.GetGrants()))
	for _, g := range answer.GetGrants() {
		still[g.GetWorker()] = true
		if before := s.grants[g.GetWorker()]; before == nil || !sameGrant(before, g) {
			short.Grants = append(short.Grants, g)
		}
	}
	for worker := range s.grants {
		if !still[worker] {
			short.Gone = append(short.Gone, worker)
		}
	}
	return short
}

// record keeps the answer. A gateway goes on from the answer that it names or from
// a newer one, so older ones are dropped.
func (a *Answerer) record(
	now time.Duration, whole *schedulerpb.SyncGrantsRequest, answer *schedulerpb.SyncGrantsResponse,
) {
	key := gatewayKey{whole.GetGateway(), whole.GetIncarnation()}
	g := a.gateways[key]
	if g == nil {
		g = &gateway{}
		a.gateways[key] = g
	}
	g.heard = now
	if whole.GetHeldIncarnation() == a.incarnation {
		g.answers = slices.DeleteFunc(g.answers, func(s *state) bool { return s.number < whole.GetHeldNumber() })
	}
	g.answers = append(g.answers, newState(answer.GetNumber(), whole, answer))
	if excess := len(g.answers) - maxAnswers; excess > 0 {
		g.answers = slices.Delete(g.answers, 0, excess)
	}
}

func (a *Answerer) sweep(now time.Duration) {
	if now-a.swept < kept {
		return
	}
	a.swept = now
	maps.DeleteFunc(a.gateways, func(_ gatewayKey, g *gateway) bool { return now-g.heard >= kept })
}
