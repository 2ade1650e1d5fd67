package delivery

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"geraniumwall/jobs/dispatch"
	"geraniumwall/rpc/deliverypb"
	"geraniumwall/rpc/protocol"
	"geraniumwall/transport"
)

const (
	// batchDelay is how long orders and replies are buffered, to be sent in one message.
	batchDelay = 12 * time.Millisecond
	// messageTimeout limits a message to a carrier or to the leader.
	messageTimeout = 400 * time.Millisecond
	// replyTimeout limits the wait for a reply, in addition to the time that the worker
	// may wait itself. It covers the call to the worker and both messages.
	replyTimeout = 1500 * time.Millisecond
	// lateReplyWindow is how long a reply is still taken in after it was overdue.
	lateReplyWindow = 5 * time.Second
	// maxSendDelay limits the wait of an order for the leader's lease and for a carrier.
	maxSendDelay = 1500 * time.Millisecond
	// maxTickDelay is the time between two ticks from which on the control thread lags.
	// Replies then wait behind the tick, so that they are not overdue yet.
	maxTickDelay = 200 * time.Millisecond
	// carrierBackoff is how long a carrier gets no orders after a failure.
	carrierBackoff = 3 * time.Second
	// minLeaseLeft is the rest of the leader's lease from which on orders are sent. With
	// less they would often expire on their way, so they wait for the next renewal, for
	// maxRenewalWait at most: renewals that take long leave less each time.
	minLeaseLeft   = 150 * time.Millisecond
	maxRenewalWait = 200 * time.Millisecond
	// maxLateDuration is how long the orders of a carrier may keep arriving there after
	// they have expired until it counts as failed. Single ones are sent again: a pause of
	// the leader itself delays the orders of all carriers.
	maxLateDuration = 300 * time.Millisecond
)

// Sender is the leader side: it distributes orders over the carriers during one term.
// Its methods must be called on the control thread.
type Sender struct {
	term    uint64
	address string
	client  *http.Client
	post    func(func())
	now     func() time.Duration
	boot    func() time.Duration
	// leaseEnd returns the end of the leader's lease on the boot clock.
	leaseEnd func() time.Duration
	log      zerolog.Logger
	onReply  func(dispatch.Reply)

	carriers map[string]*carrier
	// available are the carriers that respond, sorted by address.
	available []Carrier
	// shares assigns the workers of a large fleet to carriers, nil without fixed shares.
	shares  *shares
	pending map[uint64]*pendingOrder
	// unreported are the orders whose reply was overdue, until their deadline.
	unreported map[uint64]*pendingOrder
	nextID     uint64
	tickedAt   time.Duration
	// closed is set once the term has ended.
	closed bool
}

// pendingOrder is an order that waits for its reply.
type pendingOrder struct {
	order   dispatch.Order
	domain  string
	carrier *carrier
	// queuedAt is when the leader decided the order.
	queuedAt time.Duration
	// deadline is the time of the reply at the latest once delivered is set, and before that
	// the time until which the order waits to be sent to its carrier.
	deadline  time.Duration
	delivered bool
	// deliveredAt is when it was last sent to its carrier.
	deliveredAt time.Duration
}

// replyWithin returns how long the reply may take once the order was sent to its carrier.
func (p *pendingOrder) replyWithin() time.Duration {
	if p.order.Hold != nil {
		return replyTimeout + p.order.Hold.MaxWait
	}
	return replyTimeout
}

// SenderOptions are the options of a Sender.
type SenderOptions struct {
	Term uint64
	// Address is the address to which carriers report replies.
	Address string
	Client  *http.Client
	// Post runs a function on the control thread. Now is a monotonic clock.
	Post func(func())
	Now  func() time.Duration
	// Boot is a monotonic clock that also advances while the machine is suspended.
	// LeaseEnd returns the end of the leader's lease on it. Orders are not sent later.
	Boot     func() time.Duration
	LeaseEnd func() time.Duration
	Log      zerolog.Logger
	// OnReply is called with each reply.
	OnReply func(dispatch.Reply)
}

// NewSender returns a sender without carriers.
func NewSender(o SenderOptions) *Sender {
	return &Sender{
		term: o.Term, address: o.Address, client: o.Client, post: o.Post, now: o.Now, boot: o.Boot, leaseEnd: o.LeaseEnd, log: o.Log, onReply: o.OnReply,
		carriers: map[string]*carrier{}, pending: map[uint64]*pendingOrder{}, unreported: map[uint64]*pendingOrder{},
	}
}

// Close discards all orders that have not been sent. It must be called when the term ends:
// orders that wait for the lease would be sent if this replica led again.
func (s *Sender) Close() {
	s.closed = true
	clear(s.pending)
	clear(s.unreported)
}

// Pending returns the number of orders that wait to be sent to a carrier, and of those that
// a carrier has and that wait for their reply.
func (s *Sender) Pending() (queued, delivered int) {
	for _, p := range s.pending {
		if p.delivered {
			delivered++
		}
	}
	return len(s.pending) - delivered, delivered
}

// Available returns the number of carriers that respond.
func (s *Sender) Available() int { return len(s.available) }

// Send queues an order for a carrier, preferably one in the domain of the worker. It
// returns false if no carrier is available.
func (s *Sender) Send(o dispatch.Order, domain string) bool {
	return s.enqueue(&pendingOrder{order: o, domain: domain, queuedAt: s.now()})
}

// enqueue queues an order under a new id. It returns false if no carrier is available.
func (s *Sender) enqueue(p *pendingOrder) bool {
	address := s.selectCarrier(p.order.To.Worker, p.domain)
	if address == "" {
		return false
	}
	c := s.carriers[address]
	if c == nil {
		c = &carrier{stub: deliverypb.NewCarrierProtobufClient(transport.URL(address), s.client, protocol.Client())}
		s.carriers[address] = c
	}
	s.nextID++
	p.carrier, p.delivered, p.deadline = c, false, p.queuedAt+maxSendDelay
	s.pending[s.nextID] = p
	c.queue = append(c.queue, encodeOrder(s.nextID, &p.order))
	if !c.flushScheduled {
		s.scheduleFlush(c)
	}
	return true
}

func (s *Sender) scheduleFlush(c *carrier) {
	c.flushScheduled = true
	time.AfterFunc(batchDelay, func() { s.post(func() { s.flush(c) }) })
}

// flush sends the queued orders of a carrier with the time at which they expire there. It
// asks for the carrier's clock first if the last reading is too old, and waits for the
// leader's lease to be renewed if it is about to end: while it is renewed within the same
// term no other replica can have led, so the orders still hold.
func (s *Sender) flush(c *carrier) {
	if s.closed {
		return
	}
	now := s.boot()
	if !c.clock.fresh(now) {
		s.deliver(c, nil, 0, func() { s.flush(c) })
		return
	}
	c.flushScheduled = false
	c.queue = slices.DeleteFunc(c.queue, func(o *deliverypb.Order) bool { return s.pending[o.GetId()] == nil })
	if len(c.queue) == 0 {
		return
	}
	leaseEnd := s.leaseEnd()
	if s.mustPostpone(c, leaseEnd-now) {
		s.scheduleFlush(c)
		return
	}
	c.postponedAt = 0
	orders := c.queue
	c.queue = nil
	for _, o := range orders {
		p := s.pending[o.GetId()]
		p.delivered, p.deliveredAt, p.deadline = true, s.now(), s.now()+p.replyWithin()
	}
	s.deliver(c, orders, c.clock.expiry(now, leaseEnd), func() {})
}

// deliver sends orders to a carrier, which must send them before its clock shows expires,
// and records its clock, then calls done. Without orders it only reads the clock.
func (s *Sender) deliver(c *carrier, orders []*deliverypb.Order, expires int64, done func()) {
	request := &deliverypb.DeliverRequest{Term: s.term, Leader: s.address, Orders: orders, Expires: expires}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
		defer cancel()
		response, err := c.stub.Deliver(ctx, request)
		readAt := s.boot()
		s.post(func() {
			if err != nil {
				s.deliveryFailed(c, request, err)
				return
			}
			c.clock = carrierClock{reading: response.GetClock(), readAt: readAt, known: true}
			done()
		})
	}()
}

// deliveryFailed completes the orders of an unacknowledged message as not reported, since
// they may still be executed until they expire. If it only asked for the
// clock, the queued orders were not sent, and go to another carrier.
func (s *Sender) deliveryFailed(c *carrier, request *deliverypb.DeliverRequest, err error) {
	s.markUnavailable(c, err.Error())
	if len(request.GetOrders()) > 0 {
		for _, o := range request.GetOrders() {
			s.completeUnreported(o.GetId(), err.Error())
		}
		return
	}
	c.flushScheduled = false
	queue := c.queue
	c.queue = nil
	for _, o := range queue {
		if p := s.pending[o.GetId()]; p != nil && !s.resend(o.GetId(), p) {
			s.complete(o.GetId(), dispatch.Reply{Status: dispatch.Expired, Reason: err.Error()})
		}
	}
}

// HandleReplies processes the replies that a carrier reports. An order that reached the
// carrier after it had expired was not sent to its worker, so it is sent again.
func (s *Sender) HandleReplies(replies []ReportedReply) {
	for i := range replies {
		id, r := replies[i].id, &replies[i].reply
		o := s.pending[id]
		if o == nil {
			s.handleLate(id, r)
			continue
		}
		o.carrier.reportedAt = s.now()
		switch {
		case r.Status != dispatch.Expired:
			o.carrier.lateSince = 0
		case s.resendExpired(id, o, r.Reason):
			continue
		}
		s.complete(id, *r)
	}
}

// handleLate passes on the reply to an order that has counted as not reported.
func (s *Sender) handleLate(id uint64, r *dispatch.Reply) {
	o := s.unreported[id]
	if o == nil {
		return
	}
	delete(s.unreported, id)
	o.carrier.reportedAt = s.now()
	r.Late = true
	s.reply(o, *r)
}

// resendExpired sends an expired order again. A carrier that stays late while others are
// in time gets no more orders until its backoff ends: the leases of its workers would run
// out. It returns false if no carrier is available.
func (s *Sender) resendExpired(id uint64, o *pendingOrder, reason string) bool {
	c := o.carrier
	switch {
	case c.lateSince == 0:
		c.lateSince = s.now()
	case s.now()-c.lateSince > maxLateDuration && s.anyInTime():
		s.markUnavailable(c, reason)
	}
	return s.resend(id, o)
}

// resend queues an order that was not sent to its worker under a new id. It returns false
// if it has waited for maxSendDelay or no carrier is available.
func (s *Sender) resend(id uint64, o *pendingOrder) bool {
	if s.now() >= o.queuedAt+maxSendDelay || !s.enqueue(o) {
		return false
	}
	delete(s.pending, id)
	return true
}

// complete passes the first reply to an order to OnReply. Later ones are ignored.
func (s *Sender) complete(id uint64, r dispatch.Reply) {
	o := s.pending[id]
	if o == nil {
		return
	}
	delete(s.pending, id)
	s.reply(o, r)
}

// completeUnreported completes an order that its carrier has and to which it has not reported
// a reply. A reply that is reported later is passed on as a late one.
func (s *Sender) completeUnreported(id uint64, reason string) {
	o := s.pending[id]
	if o == nil {
		return
	}
	if o.order.Pace == nil {
		s.unreported[id] = o
		o.deadline = s.now() + lateReplyWindow
	}
	s.complete(id, dispatch.Reply{Status: dispatch.Unknown, Unreported: true, Reason: reason})
}

// reply passes a reply to OnReply.
func (s *Sender) reply(o *pendingOrder, r dispatch.Reply) {
	r.Order, r.SentAt, r.ReceivedAt = o.order, o.queuedAt, s.now()
	s.onReply(r)
}

// Tick completes orders whose reply is overdue: as not reported if their carrier has them,
// else with the status Expired, as they were not sent. A carrier that has reported nothing
// since it got the order counts as failed.
func (s *Sender) Tick() {
	now := s.now()
	if lag := now - s.tickedAt; s.tickedAt != 0 && lag > maxTickDelay {
		for _, o := range s.pending {
			o.deadline += lag
		}
	}
	s.tickedAt = now
	for id, o := range s.pending {
		switch {
		case now < o.deadline:
		case o.delivered:
			if o.carrier.reportedAt < o.deliveredAt {
				s.markUnavailable(o.carrier, "a reply is overdue")
			}
			s.completeUnreported(id, "the carrier of the order has not reported")
		default:
			s.complete(id, dispatch.Reply{Status: dispatch.Expired, Reason: "the leader's lease was not renewed in time"})
		}
	}
	maps.DeleteFunc(s.unreported, func(_ uint64, o *pendingOrder) bool { return now >= o.deadline })
}
