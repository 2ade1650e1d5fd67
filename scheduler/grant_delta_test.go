package scheduler

import (
	"time"

	"geraniumwall/rpc/grantdelta"
	"geraniumwall/rpc/schedulerpb"
)

// The simulation sends grant syncs as deltas, so that the random runs also guard
// against slots granted twice because both sides restored different sets.

func (g *simGateway) grantHolder(scheduler string) *grantdelta.Holder {
	if g.grantHolders[scheduler] == nil {
		g.grantHolders[scheduler] = &grantdelta.Holder{}
	}
	return g.grantHolders[scheduler]
}

func encodeSync(s GrantSync) *schedulerpb.SyncGrantsRequest {
	m := &schedulerpb.SyncGrantsRequest{
		Gateway: s.Gateway, Domain: s.Domain, Incarnation: s.Incarnation, Sequence: s.Sequence,
	}
	for service, n := range s.Demand {
		m.Demands = append(m.Demands, &schedulerpb.ServiceDemand{Service: service, Outstanding: int32(n)})
	}
	for _, h := range s.Holdings {
		m.Holdings = append(m.Holdings, &schedulerpb.Holding{
			Worker: h.Worker, Session: h.Session, Slots: int32(h.Slots), SlotsInUse: int32(h.InUse),
		})
	}
	return m
}

// answerSync answers a delta-encoded sync; nil represents an error.
func (s *simScheduler) answerSync(short *schedulerpb.SyncGrantsRequest) *schedulerpb.SyncGrantsResponse {
	whole, held := s.answerer.Restore(short)
	if !held {
		return &schedulerpb.SyncGrantsResponse{SendWhole: true}
	}
	sync := GrantSync{
		Gateway: whole.Gateway, Domain: whole.Domain, Incarnation: whole.Incarnation, Sequence: whole.Sequence,
		Demand: map[string]int{},
	}
	for _, d := range whole.Demands {
		sync.Demand[d.Service] = int(d.Outstanding)
	}
	for _, h := range whole.Holdings {
		sync.Holdings = append(sync.Holdings, Holding{
			Worker: h.Worker, Session: h.Session, Slots: int(h.Slots), InUse: int(h.SlotsInUse),
		})
	}
	answer, err := s.core.SyncGrants(s.now(), sync)
	if err != nil {
		return nil
	}
	m := &schedulerpb.SyncGrantsResponse{Epoch: answer.Epoch, Leaving: answer.Leaving}
	for _, g := range answer.Grants {
		m.Grants = append(m.Grants, &schedulerpb.Grant{
			Worker: g.Worker, Address: g.Address, Session: g.Session, Slots: int32(g.Slots),
			Connections: int32(g.Connections), Services: g.Services, DurationMs: g.Duration.Milliseconds(),
		})
	}
	return s.answerer.Shorten(s.now(), whole, m)
}

func decodeGrants(m *schedulerpb.SyncGrantsResponse) []Grant {
	var grants []Grant
	for _, g := range m.GetGrants() {
		grants = append(grants, Grant{
			Worker: g.Worker, Address: g.Address, Session: g.Session, Slots: int(g.Slots),
			Connections: int(g.Connections), Services: g.Services, Duration: time.Duration(g.DurationMs) * time.Millisecond,
		})
	}
	return grants
}
