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

// wire is the exchange of shortened syncs with one scheduler.
type wire struct {
	holder   *grantdelta.Holder
	answerer *grantdelta.Answerer
	runs     int
}

// exchange passes a set of grants through a shortened sync, to guard against a book
// that differs from what the scheduler granted. It returns false if the answer was
// lost or the sync must be repeated.
func (m *model) exchange(t *rapid.T, set GrantSet) (GrantSet, bool) {
	w := m.wires[set.Scheduler]
	if w == nil || rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
		runs := 1
		if w != nil {
			runs = w.runs + 1
		}
		w = &wire{holder: &grantdelta.Holder{}, answerer: grantdelta.NewAnswerer(string(rune('a' + runs))), runs: runs}
		if old := m.wires[set.Scheduler]; old != nil {
			w.holder = old.holder
		}
		m.wires[set.Scheduler] = w
	}
	whole := &schedulerpb.SyncGrantsRequest{Gateway: "g", Incarnation: "1"}
	for _, h := range m.table.Report("home", m.now).Holdings {
		whole.Holdings = append(whole.Holdings, &schedulerpb.Holding{Worker: h.Worker, Session: h.Session, Slots: int32(h.Slots)})
	}
	restored, held := w.answerer.Restore(w.holder.Shorten(whole))
	if !held {
		w.holder.Restore(whole, &schedulerpb.SyncGrantsResponse{SendWhole: true})
		return set, false
	}
	answer := w.answerer.Shorten(m.now, restored, message(set))
	if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
		return set, false
	}
	got, ok := w.holder.Restore(whole, answer)
	if !ok {
		t.Fatalf("an answer to the last sync was refused")
	}
	taken := fromMessage(set, got)
	if !reflect.DeepEqual(set, taken) {
		t.Fatalf("restored %+v from %+v", taken, set)
	}
	return taken, true
}

func message(set GrantSet) *schedulerpb.SyncGrantsResponse {
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
