package delivery

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"geraniumwall/jobs"
	"geraniumwall/jobs/dispatch"
	"geraniumwall/rpc/deliverypb"
)

// FuzzMessages guards against a panic on orders and replies of another replica: all kinds
// with missing or odd fields, through the sender into the dispatcher of the leader.
func FuzzMessages(f *testing.F) {
	key := jobs.TaskKey{Job: "a", Index: 1}
	orders := &deliverypb.DeliverRequest{Orders: []*deliverypb.Order{
		{}, nil, {Kind: &deliverypb.Order_Stop{}}, {Kind: &deliverypb.Order_Start{}}, {Kind: &deliverypb.Order_Hold{}}, {Kind: &deliverypb.Order_Pace{}},
		encodeOrder(1, &dispatch.Order{Start: &dispatch.Start{Task: key, Attempt: 1}}),
		encodeOrder(2, &dispatch.Order{Hold: &dispatch.Hold{MaxWait: time.Second}}),
		{Kind: &deliverypb.Order_Hold{Hold: &deliverypb.Hold{Wait: 1<<63 - 1, Deadline: -1 << 63}}},
	}}
	replies := &deliverypb.ReportRequest{Replies: []*deliverypb.Reply{
		nil, {Id: 1, Running: []*deliverypb.Running{nil, {}}, Finished: []*deliverypb.Finished{nil, {}}},
		{Id: 2, Verdict: -7, Clock: 1<<63 - 1, Born: -1 << 63, Malformed: -1},
		encodeReply(3, &dispatch.Reply{Status: dispatch.Accepted, ClockMS: 5, Running: []dispatch.RunningTask{{Task: key, Attempt: 1, Usage: 1e300}}}),
	}}
	add := func(m proto.Message) {
		if data, err := proto.Marshal(m); err == nil {
			f.Add(data)
		}
	}
	for _, o := range orders.GetOrders() {
		add(&deliverypb.DeliverRequest{Orders: []*deliverypb.Order{o}})
	}
	for _, r := range replies.GetReplies() {
		add(&deliverypb.ReportRequest{Replies: []*deliverypb.Reply{r}})
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var request deliverypb.DeliverRequest
		if proto.Unmarshal(data, &request) == nil {
			for _, o := range request.GetOrders() {
				decodeOrder(o)
			}
		}
		var report deliverypb.ReportRequest
		if proto.Unmarshal(data, &report) == nil {
			for _, r := range report.GetReplies() {
				handleOdd(r)
			}
		}
	})
}

// handleOdd reports a reply to each of the first orders of a leader.
func handleOdd(p *deliverypb.Reply) {
	store := jobs.NewStore()
	d := dispatch.New(dispatch.Options{WorkerLease: time.Second, HeartbeatInterval: time.Second}, store, 1, time.Hour, 1_700_000_000_000)
	d.HandleHeartbeat(dispatch.Heartbeat{Worker: "w", HostPort: "w:1", Service: "s", ClockMS: 1, StartedAtMS: 1, Sequence: 1})
	_, orders, _ := d.TakeOutput()
	s := NewSender(SenderOptions{Now: func() time.Duration { return time.Hour }, OnReply: d.HandleReply, Log: zerolog.Nop()})
	for i, o := range orders {
		s.pending[uint64(i)] = &pendingOrder{order: o, carrier: &carrier{}, queuedAt: time.Hour}
		p := proto.CloneOf(p)
		if p == nil {
			p = &deliverypb.Reply{}
		}
		p.Id = uint64(i)
		s.HandleReplies(DecodeReplies([]*deliverypb.Reply{p, nil}))
	}
	d.Tick()
}
