// Package grantdelta shortens grant syncs: a gateway names the last answer that it
// holds, and gateway and scheduler send only what has changed since. With 100
// workers a whole sync and its answer are about 10 KB, four times a second, which
// is above what a node may spend on control traffic.
//
// Invariant: a shortened message is restored only on exactly the answer that it was
// shortened with. Answers are numbered by the run of the scheduler that made them,
// so no two answers have the same number, and a doubled sync, a lost answer or a
// restart of either side leads to a whole sync instead of a wrong one.
package grantdelta

import (
	"slices"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"geraniumwall/rpc/schedulerpb"
)

type holdingKey struct {
	worker  string
	session uint64
}

// state is what both sides hold after an answer.
type state struct {
	number   uint64
	holdings map[holdingKey]*schedulerpb.Holding
	grants   map[string]*schedulerpb.Grant
}

func newState(number uint64, request *schedulerpb.SyncGrantsRequest, answer *schedulerpb.SyncGrantsResponse) *state {
	s := &state{
		number: number, holdings: holdingsOf(request),
		grants: make(map[string]*schedulerpb.Grant, len(answer.GetGrants())),
	}
	for _, g := range answer.GetGrants() {
		s.grants[g.GetWorker()] = g
	}
	return s
}

func holdingsOf(request *schedulerpb.SyncGrantsRequest) map[holdingKey]*schedulerpb.Holding {
	holdings := make(map[holdingKey]*schedulerpb.Holding, len(request.GetHoldings()))
	for _, h := range request.GetHoldings() {
		holdings[keyOf(h)] = h
	}
	return holdings
}

func keyOf(h *schedulerpb.Holding) holdingKey { return holdingKey{h.GetWorker(), h.GetSession()} }

func sameHolding(a, b *schedulerpb.Holding) bool {
	return a.GetSlots() == b.GetSlots() && a.GetSlotsInUse() == b.GetSlotsInUse()
}

func sameGrant(a, b *schedulerpb.Grant) bool {
	return a.GetSession() == b.GetSession() && a.GetSlots() == b.GetSlots() &&
		a.GetConnections() == b.GetConnections() && a.GetDurationMs() == b.GetDurationMs() &&
		a.GetAddress() == b.GetAddress() && a.GetDomain() == b.GetDomain() &&
		slices.Equal(a.GetServices(), b.GetServices())
}

// shallow returns a copy of a message whose fields can be replaced. What they refer
// to is shared with the original.
func shallow[M proto.Message](m M) M {
	from := m.ProtoReflect()
	to := from.New()
	from.Range(func(field protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		to.Set(field, v)
		return true
	})
	return to.Interface().(M)
}
