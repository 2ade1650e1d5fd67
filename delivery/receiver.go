package delivery

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"geraniumwall/jobs/dispatch"
	"geraniumwall/rpc/deliverypb"
	"geraniumwall/rpc/protocol"
	"geraniumwall/transport"
)

// reportTries bounds the messages with the same replies: the leader takes each once.
const reportTries = 2

// Workers carries out orders.
type Workers interface {
	Do(ctx context.Context, o dispatch.Order) dispatch.Reply
}

// Receiver carries orders of the leader to workers. It is safe for concurrent use.
type Receiver struct {
	workers Workers
	client  *http.Client
	log     zerolog.Logger

	mu      sync.Mutex
	replies map[destination][]*deliverypb.Reply
}

type destination struct {
	term   uint64
	leader string
}

var _ deliverypb.Carrier = (*Receiver)(nil)

// NewReceiver returns a receiver that calls the workers.
func NewReceiver(workers Workers, client *http.Client, log zerolog.Logger) *Receiver {
	return &Receiver{workers: workers, client: client, log: log, replies: map[destination][]*deliverypb.Reply{}}
}

// Deliver implements the service Carrier.
func (r *Receiver) Deliver(_ context.Context, q *deliverypb.DeliverRequest) (*deliverypb.DeliverResponse, error) {
	to := destination{q.GetTerm(), q.GetLeader()}
	for _, p := range q.GetOrders() {
		o, known := decodeOrder(p)
		if !known {
			r.log.Warn().Uint64("order", p.GetId()).Msg("order of an unknown kind is dropped; run all replicas in one version")
			continue
		}
		go func() {
			reply := r.workers.Do(context.Background(), o)
			r.gather(to, encodeReply(p.GetId(), &reply))
		}()
	}
	return &deliverypb.DeliverResponse{}, nil
}

// gather queues a reply for the next report.
func (r *Receiver) gather(to destination, reply *deliverypb.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replies[to] = append(r.replies[to], reply)
	if len(r.replies[to]) == 1 {
		time.AfterFunc(gatherTime, func() { r.report(to) })
	}
}

func (r *Receiver) report(to destination) {
	r.mu.Lock()
	request := &deliverypb.ReportRequest{Term: to.term, Replies: r.replies[to]}
	delete(r.replies, to)
	r.mu.Unlock()
	stub := deliverypb.NewLeaderProtobufClient(transport.URL(to.leader), r.client, protocol.Client())
	var err error
	for range reportTries {
		ctx, cancel := context.WithTimeout(context.Background(), deliverTimeout)
		_, err = stub.Report(ctx, request)
		cancel()
		if err == nil {
			return
		}
	}
	r.log.Info().Err(err).Str("leader", to.leader).Uint64("term", to.term).Int("replies", len(request.GetReplies())).
		Msg("replies are not reported")
}
