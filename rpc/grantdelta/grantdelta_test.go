package grantdelta_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"geraniumwall/rpc/grantdelta"
	"geraniumwall/rpc/schedulerpb"
)

type exchange struct {
	sync   *schedulerpb.SyncGrantsRequest
	whole  *schedulerpb.SyncGrantsRequest
	answer *schedulerpb.SyncGrantsResponse
	// meant is the whole answer, nil if the answer has none.
	meant *schedulerpb.SyncGrantsResponse
}

// sides are a gateway and a scheduler that exchange syncs over a bad network.
type sides struct {
	*rapid.T
	runs     int
	holder   *grantdelta.Holder
	answerer *grantdelta.Answerer
	sequence uint64
	life     int
	now      time.Duration
	// past holds messages for doubling and reordering.
	past []exchange
}

func (s *sides) request() *schedulerpb.SyncGrantsRequest {
	s.sequence++
	m := &schedulerpb.SyncGrantsRequest{
		Gateway: "g", Incarnation: fmt.Sprint(s.life), Domain: "d", Sequence: s.sequence, ConfigVersion: s.sequence % 3,
		Draining: rapid.Bool().Draw(s.T, "draining"), Demands: []*schedulerpb.ServiceDemand{{Service: "a", Queued: 1}},
	}
	for i := range rapid.IntRange(0, 3).Draw(s.T, "holdings") {
		m.Holdings = append(m.Holdings, &schedulerpb.Holding{
			Worker: fmt.Sprint("w", i), Session: rapid.Uint64Range(1, 2).Draw(s.T, "session"),
			Slots: rapid.Int32Range(0, 1).Draw(s.T, "slots"),
		})
	}
	return m
}

func (s *sides) answer() *schedulerpb.SyncGrantsResponse {
	m := &schedulerpb.SyncGrantsResponse{Scheduler: "s", Epoch: 3, ConfigVersion: s.sequence % 3, Leaving: []string{"w9"}}
	for i := range rapid.IntRange(0, 3).Draw(s.T, "grants") {
		m.Grants = append(m.Grants, &schedulerpb.Grant{
			Worker: fmt.Sprint("w", i), Address: "a", Domain: "d", Session: rapid.Uint64Range(1, 2).Draw(s.T, "session"),
			Slots: rapid.Int32Range(1, 2).Draw(s.T, "slots"), Connections: 8, Services: []string{"a"}, DurationMs: 3000,
		})
	}
	return m
}

// serve is the scheduler's part; it checks that it restores what was meant.
func (s *sides) serve(short, meant *schedulerpb.SyncGrantsRequest) (sent, whole *schedulerpb.SyncGrantsResponse) {
	restored, held := s.answerer.Restore(overWire(s.T, short))
	if !held {
		return &schedulerpb.SyncGrantsResponse{SendWhole: true}, nil
	}
	compare(s.T, sorted(meant), sorted(restored))
	whole = s.answer()
	return overWire(s.T, s.answerer.Shorten(s.now, restored, whole)), whole
}

func (s *sides) take(e exchange) {
	restored, held := s.holder.Restore(e.whole, e.answer)
	if !held {
		return
	}
	if e.meant == nil {
		s.Fatal("an answer that asks for a whole sync was used")
	}
	compare(s.T, sortedAnswer(e.meant), sortedAnswer(restored))
}

func (s *sides) step() {
	s.now += time.Duration(rapid.IntRange(0, 4000).Draw(s.T, "ms")) * time.Millisecond
	whole := s.request()
	e := exchange{sync: s.holder.Shorten(whole), whole: whole}
	if len(s.past) > 0 && rapid.IntRange(0, 3).Draw(s.T, "old") == 0 {
		// An earlier sync arrives again and its answer goes nowhere, or its answer
		// arrives late or twice.
		old := s.past[rapid.IntRange(0, len(s.past)-1).Draw(s.T, "which")]
		if old.answer == nil || rapid.Bool().Draw(s.T, "old sync") {
			s.serve(old.sync, old.whole)
		} else {
			s.take(old)
		}
	}
	switch fault := rapid.IntRange(0, 9).Draw(s.T, "fault"); fault {
	case 0: // the sync is lost
	case 2: // the gateway has restarted
		s.life++
		s.holder, s.sequence, s.past = &grantdelta.Holder{}, 0, nil
		return
	case 3: // the scheduler has restarted
		s.runs++
		s.answerer = grantdelta.NewAnswerer(fmt.Sprint("s#", s.runs))
		fallthrough
	default:
		e.answer, e.meant = s.serve(e.sync, e.whole)
		if fault != 1 { // the answer is not late
			s.take(e)
		}
	}
	s.past = append(s.past, e)
}

// TestRestored guards against a gateway that uses a grant that the scheduler does
// not count, and a scheduler that counts other holdings than the gateway has: lost,
// doubled and late syncs, lost and doubled answers, restarts of both sides. What is
// restored must equal what was sent.
func TestRestored(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := &sides{T: r, holder: &grantdelta.Holder{}, answerer: grantdelta.NewAnswerer("s#0")}
		for range rapid.IntRange(1, 40).Draw(r, "syncs") {
			s.step()
		}
	})
}

// TestNothingChanged guards against an exchange that grows with the workers, also
// when the answer before was lost.
func TestNothingChanged(t *testing.T) {
	holder, answerer := &grantdelta.Holder{}, grantdelta.NewAnswerer("s#0")
	for sequence := range uint64(5) {
		whole := &schedulerpb.SyncGrantsRequest{Gateway: "g", Incarnation: "i", Sequence: sequence + 1}
		answer := &schedulerpb.SyncGrantsResponse{}
		for i := range 100 {
			whole.Holdings = append(whole.Holdings, &schedulerpb.Holding{Worker: fmt.Sprint("w", i), Session: 1})
			answer.Grants = append(answer.Grants, &schedulerpb.Grant{Worker: fmt.Sprint("w", i), Session: 1, Slots: 1})
		}
		short := holder.Shorten(whole)
		restored, held := answerer.Restore(short)
		if !held {
			t.Fatalf("sync %d must be sent again", sequence)
		}
		sent := answerer.Shorten(0, restored, answer)
		if sequence%2 == 0 {
			holder.Restore(whole, sent)
		}
		if size := proto.Size(short) + proto.Size(sent); sequence > 0 && size > 50 {
			t.Fatalf("unchanged exchange %d has %d bytes", sequence, size)
		}
	}
}

func overWire[M proto.Message](t *rapid.T, m M) M {
	document, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	read := m.ProtoReflect().New().Interface()
	if err := proto.Unmarshal(document, read); err != nil {
		t.Fatal(err)
	}
	return read.(M)
}

func compare(t *rapid.T, want, got proto.Message) {
	if !proto.Equal(want, got) {
		t.Fatalf("restored %v from %v", got, want)
	}
}

// sorted leaves out which answer the sync names, which only the short form has.
func sorted(m *schedulerpb.SyncGrantsRequest) *schedulerpb.SyncGrantsRequest {
	c := proto.CloneOf(m)
	c.HeldIncarnation, c.HeldNumber = "", 0
	slices.SortFunc(c.Holdings, func(a, b *schedulerpb.Holding) int {
		return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Session, b.Session))
	})
	return c
}

func sortedAnswer(m *schedulerpb.SyncGrantsResponse) *schedulerpb.SyncGrantsResponse {
	c := proto.CloneOf(m)
	slices.SortFunc(c.Grants, func(a, b *schedulerpb.Grant) int { return cmp.Compare(a.Worker, b.Worker) })
	return c
}
