package routing

import (
	"cmp"
	"reflect"
	"slices"
	"time"

	"pgregory.net/rapid"

	"geraniumwall/rpc/grantdelta"
	"geraniumwall/rpc/schedulerpb"
)

// syncExchange holds both ends of the delta-encoded grant sync with one scheduler.
type syncExchange struct {
	holder   *grantdelta.Holder
	answerer *grantdelta.Answerer
	starts   int
}

// exchange passes a set of grants through the delta encoding of a sync and checks
// that it is unchanged, to guard against a book that differs from what the scheduler
// granted. It returns false if the response was lost or the sync must be repeated in
// full.
func (m *model) exchange(t *rapid.T, set GrantSet) (GrantSet, bool) {
	x := m.exchanges[set.Scheduler]
	if x == nil || rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
		starts := 1
		if x != nil {
			starts = x.starts + 1
		}
		x = &syncExchange{holder: &grantdelta.Holder{}, answerer: grantdelta.NewAnswerer(string(rune('a' + starts))), starts: starts}
		if old := m.exchanges[set.Scheduler]; old != nil {
			x.holder = old.holder
		}
		m.exchanges[set.Scheduler] = x
	}
	full := &schedulerpb.SyncGrantsRequest{Gateway: "g", Incarnation: "1"}
	for _, h := range m.table.Report("home", m.now).Holdings {
		full.Holdings = append(full.Holdings, &schedulerpb.Holding{Worker: h.Worker, Session: h.Session, Slots: int32(h.Slots)})
	}
	restored, known := x.answerer.Restore(x.holder.Shorten(full))
	if !known {
		x.holder.Restore(full, &schedulerpb.SyncGrantsResponse{SendWhole: true})
		return set, false
	}
	answer := x.answerer.Shorten(m.now, restored, toMessage(set))
	if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
		return set, false
	}
	got, ok := x.holder.Restore(full, answer)
	if !ok {
		t.Fatalf("the response to the last sync was rejected")
	}
	received := fromMessage(set, got)
	if !reflect.DeepEqual(set, received) {
		t.Fatalf("restored %+v from %+v", received, set)
	}
	return received, true
}

func toMessage(set GrantSet) *schedulerpb.SyncGrantsResponse {
	m := &schedulerpb.SyncGrantsResponse{Leaving: set.Leaving}
	for _, g := range set.Grants {
		m.Grants = append(m.Grants, &schedulerpb.Grant{
			Worker: g.Worker, Domain: g.Domain, Session: g.Session, Slots: int32(g.Slots),
			Connections: int32(g.Connections), Services: g.Services, DurationMs: (g.Expires - g.Sent).Milliseconds(),
		})
	}
	return m
}

func fromMessage(sent GrantSet, m *schedulerpb.SyncGrantsResponse) GrantSet {
	set := GrantSet{Scheduler: sent.Scheduler, Sent: sent.Sent, Leaving: m.Leaving}
	for _, g := range m.Grants {
		set.Grants = append(set.Grants, Grant{
			Worker: g.Worker, Domain: g.Domain, Session: g.Session, Slots: int(g.Slots), Connections: int(g.Connections),
			Services: g.Services, Sent: sent.Sent, Expires: sent.Sent + time.Duration(g.DurationMs)*time.Millisecond,
		})
	}
	slices.SortFunc(set.Grants, func(a, b Grant) int { return cmp.Compare(a.Worker, b.Worker) })
	return set
}
