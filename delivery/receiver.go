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

// maxReportAttempts limits the attempts to report the same replies. Repeating a report
// is safe, since the leader processes each reply once.
const maxReportAttempts = 2

// WorkerClient sends orders to workers.
type WorkerClient interface {
	Do(ctx context.Context, o dispatch.Order) dispatch.Reply
}

// Receiver is the carrier side: it sends orders of the leader to workers and reports the
// replies. It is safe for concurrent use.
type Receiver struct {
	workers WorkerClient
	client  *http.Client
	boot    func() time.Duration
	log     zerolog.Logger

	mu      sync.Mutex
	replies map[destination][]*deliverypb.Reply
}

type destination struct {
	term   uint64
	leader string
}

var _ deliverypb.Carrier = (*Receiver)(nil)

// NewReceiver returns a receiver that calls workers with the given client. boot is a
// monotonic clock that also advances while the machine is suspended.
func NewReceiver(workers WorkerClient, client *http.Client, boot func() time.Duration, log zerolog.Logger) *Receiver {
	return &Receiver{workers: workers, client: client, boot: boot, log: log, replies: map[destination][]*deliverypb.Reply{}}
}

// Deliver implements deliverypb.Carrier.
func (r *Receiver) Deliver(_ context.Context, q *deliverypb.DeliverRequest) (*deliverypb.DeliverResponse, error) {
	to := destination{q.GetTerm(), q.GetLeader()}
	for _, p := range q.GetOrders() {
		o, known := decodeOrder(p)
		if !known {
			r.log.Warn().Uint64("order", p.GetId()).Msg("order of unknown kind dropped; run the same version on all replicas")
			continue
		}
		go func() {
			reply := r.send(o, q.GetExpires())
			r.enqueueReply(to, encodeReply(p.GetId(), &reply))
		}()
	}
	return &deliverypb.DeliverResponse{Clock: r.clock()}, nil
}

// clock returns the carrier's clock in milliseconds.
func (r *Receiver) clock() int64 { return r.boot().Milliseconds() }

// send sends an order to its worker, unless it has expired: after a pause of this process
// or of the leader another leader may be active.
func (r *Receiver) send(o dispatch.Order, expires int64) dispatch.Reply {
	if expires != 0 && r.clock() >= expires {
		return dispatch.Reply{Status: dispatch.Expired, Reason: "the order reached its carrier after the leader's lease"}
	}
	return r.workers.Do(context.Background(), o)
}

// enqueueReply queues a reply for the next report.
func (r *Receiver) enqueueReply(to destination, reply *deliverypb.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replies[to] = append(r.replies[to], reply)
	if len(r.replies[to]) == 1 {
		time.AfterFunc(batchDelay, func() { r.report(to) })
	}
}

func (r *Receiver) report(to destination) {
	r.mu.Lock()
	request := &deliverypb.ReportRequest{Term: to.term, Replies: r.replies[to]}
	delete(r.replies, to)
	r.mu.Unlock()
	stub := deliverypb.NewLeaderProtobufClient(transport.URL(to.leader), r.client, protocol.Client())
	var err error
	for range maxReportAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
		_, err = stub.Report(ctx, request)
		cancel()
		if err == nil {
			return
		}
	}
	r.log.Info().Err(err).Str("leader", to.leader).Uint64("term", to.term).Int("replies", len(request.GetReplies())).
		Msg("could not report replies to the leader")
}
