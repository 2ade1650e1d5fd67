package grantdelta

import (
	"slices"

	"geraniumwall/rpc/schedulerpb"
)

// Holder is a gateway's side of the syncs with one scheduler. It is not safe for
// concurrent use.
type Holder struct {
	incarnation string
	// last is nil while the gateway holds no numbered answer.
	last *state
}

// Shorten returns the sync to send in place of the whole one.
func (h *Holder) Shorten(whole *schedulerpb.SyncGrantsRequest) *schedulerpb.SyncGrantsRequest {
	if h.last == nil {
		return whole
	}
	short := shallow(whole)
	short.HeldIncarnation, short.HeldNumber = h.incarnation, h.last.number
	short.Holdings = nil
	now := holdingsOf(whole)
	for _, holding := range whole.GetHoldings() {
		if before := h.last.holdings[keyOf(holding)]; before == nil || !sameHolding(before, holding) {
			short.Holdings = append(short.Holdings, holding)
		}
	}
	for key := range h.last.holdings {
		if now[key] == nil {
			short.Gone = append(short.Gone, &schedulerpb.Holding{Worker: key.worker, Session: key.session})
		}
	}
	return short
}

// Restore returns the whole answer to a whole sync that Shorten was given, or false
// if the next sync must be whole. The gateway must use a restored answer, since the
// next sync names it, and must pass no answer to an earlier sync than the last.
func (h *Holder) Restore(
	whole *schedulerpb.SyncGrantsRequest, answer *schedulerpb.SyncGrantsResponse,
) (*schedulerpb.SyncGrantsResponse, bool) {
	if answer.GetSendWhole() || answer.GetBase() != 0 && !h.holds(answer.GetIncarnation(), answer.GetBase()) {
		h.last = nil
		return nil, false
	}
	restored := answer
	if answer.GetBase() != 0 {
		restored = shallow(answer)
		restored.Base, restored.Gone = 0, nil
		restored.Grants = h.merge(answer)
	}
	h.last = nil
	if restored.GetNumber() != 0 {
		h.incarnation, h.last = restored.GetIncarnation(), newState(restored.GetNumber(), whole, restored)
	}
	return restored, true
}

func (h *Holder) holds(incarnation string, number uint64) bool {
	return h.last != nil && h.last.number == number && h.incarnation == incarnation
}

func (h *Holder) merge(answer *schedulerpb.SyncGrantsResponse) []*schedulerpb.Grant {
	replaced := make(map[string]bool, len(answer.GetGrants())+len(answer.GetGone()))
	for _, worker := range answer.GetGone() {
		replaced[worker] = true
	}
	for _, g := range answer.GetGrants() {
		replaced[g.GetWorker()] = true
	}
	merged := slices.Clone(answer.GetGrants())
	for worker, g := range h.last.grants {
		if !replaced[worker] {
			merged = append(merged, g)
		}
	}
	return merged
}
