package delivery

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"geraniumwall/jobs/dispatch"
	"geraniumwall/rpc/deliverypb"
	"geraniumwall/rpc/protocol"
	"geraniumwall/transport"
)

const (
	// reportRetryDelay is the delay after a report that failed. Repeating a report is safe,
	// since the leader processes each reply once.
	reportRetryDelay = 100 * time.Millisecond
	// maxReplyAge is the age from which on a reply is not reported any more. The leader
	// ignores replies that are older than that.
	maxReplyAge = lateReplyWindow
	// maxReportReplies limits the replies in one report, maxQueuedReplies those that wait for
	// a report to one leader.
	maxReportReplies = 1000
	maxQueuedReplies = 20_000
)

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

	mu       sync.Mutex
	outboxes map[destination]*outbox
}

type destination struct {
	term   uint64
	leader string
}

// outbox are the replies that wait for a report to one leader.
type outbox struct {
	replies []queuedReply
	// scheduled is set while a report is scheduled.
	scheduled bool
	// inFlight is the number of reports that are not answered yet.
	inFlight int
	// failing is set from a report that failed until one succeeds. Meanwhile replies wait for
	// reportRetryDelay.
	failing bool
}

type queuedReply struct {
	reply *deliverypb.Reply
	// at is when the reply arrived, by the boot clock.
	at time.Duration
}

var _ deliverypb.Carrier = (*Receiver)(nil)

// NewReceiver returns a receiver that calls workers with the given client. boot is a
// monotonic clock that also advances while the machine is suspended.
func NewReceiver(workers WorkerClient, client *http.Client, boot func() time.Duration, log zerolog.Logger) *Receiver {
	return &Receiver{workers: workers, client: client, boot: boot, log: log, outboxes: map[destination]*outbox{}}
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
			reply := r.call(o, q.GetExpires())
			r.enqueueReply(to, encodeReply(p.GetId(), &reply))
		}()
	}
	return &deliverypb.DeliverResponse{Clock: r.clock()}, nil
}

// clock returns the carrier's clock in milliseconds.
func (r *Receiver) clock() int64 { return r.boot().Milliseconds() }

// call sends an order to its worker, unless it has expired: after a pause of this process
// or of the leader another leader may be active.
func (r *Receiver) call(o dispatch.Order, expires int64) dispatch.Reply {
	if expires != 0 && r.clock() >= expires {
		return dispatch.Reply{Status: dispatch.Expired, Reason: "the order reached its carrier after the leader's lease"}
	}
	return r.workers.Do(context.Background(), o)
}

// enqueueReply queues a reply for the next report.
func (r *Receiver) enqueueReply(to destination, reply *deliverypb.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	box := r.outboxes[to]
	if box == nil {
		box = &outbox{}
		r.outboxes[to] = box
	}
	box.replies = append(box.replies, queuedReply{reply, r.boot()})
	r.schedule(to, box)
}

// schedule schedules the next report. It must be called with the lock held.
func (r *Receiver) schedule(to destination, box *outbox) {
	if box.scheduled || len(box.replies) == 0 {
		return
	}
	delay := batchDelay
	if box.failing {
		delay = reportRetryDelay
	}
	box.scheduled = true
	time.AfterFunc(delay, func() { r.report(to, box) })
}

// report reports the queued replies. Those of a report that fails are reported again with
// the next ones, until they are too old.
func (r *Receiver) report(to destination, box *outbox) {
	replies := r.take(to, box)
	if len(replies) == 0 {
		return
	}
	err := r.send(to, replies)
	r.mu.Lock()
	defer r.mu.Unlock()
	box.inFlight--
	box.failing = err != nil
	if err != nil {
		box.replies = append(replies, box.replies...)
		r.log.Info().Err(err).Str("leader", to.leader).Uint64("term", to.term).Int("replies", len(replies)).
			Int("queued", len(box.replies)).Msg("could not report replies to the leader; they are reported again")
	}
	r.schedule(to, box)
	r.discardEmpty(to, box)
}

// take removes the replies of the next report from an outbox.
func (r *Receiver) take(to destination, box *outbox) []queuedReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	box.scheduled = false
	if dropped := box.dropExcess(r.boot() - maxReplyAge); dropped > 0 {
		r.log.Warn().Str("leader", to.leader).Uint64("term", to.term).Int("replies", dropped).
			Msg("replies dropped; the leader could not be reached in time")
	}
	replies := box.takeFirst(maxReportReplies)
	if len(replies) > 0 {
		box.inFlight++
	}
	r.schedule(to, box)
	r.discardEmpty(to, box)
	return replies
}

// dropExcess drops the replies that arrived before a time, and the oldest ones beyond
// maxQueuedReplies. It returns their number.
func (b *outbox) dropExcess(oldest time.Duration) int {
	queued := len(b.replies)
	b.replies = slices.DeleteFunc(b.replies, func(q queuedReply) bool { return q.at < oldest })
	b.replies = b.replies[max(0, len(b.replies)-maxQueuedReplies):]
	return queued - len(b.replies)
}

// takeFirst removes and returns the first replies, at most limit.
func (b *outbox) takeFirst(limit int) []queuedReply {
	n := min(len(b.replies), limit)
	first := b.replies[:n:n]
	b.replies = b.replies[n:]
	return first
}

// discardEmpty removes an outbox that is not in use. It must be called with the lock held.
func (r *Receiver) discardEmpty(to destination, box *outbox) {
	if len(box.replies) == 0 && !box.scheduled && box.inFlight == 0 {
		delete(r.outboxes, to)
	}
}

// send reports replies to a leader.
func (r *Receiver) send(to destination, replies []queuedReply) error {
	request := &deliverypb.ReportRequest{Term: to.term, Replies: make([]*deliverypb.Reply, len(replies))}
	for i := range replies {
		request.Replies[i] = replies[i].reply
	}
	ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
	defer cancel()
	_, err := deliverypb.NewLeaderProtobufClient(transport.URL(to.leader), r.client, protocol.Client()).Report(ctx, request)
	return err
}
