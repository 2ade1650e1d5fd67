package delivery

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// carrierBackoff is how long a carrier gets no orders after a failure.
	carrierBackoff = 3 * time.Second
)

// Carrier is a replica that sends orders to workers for the leader.
type Carrier struct {
	Address string
	Domain  string
}

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
	pending   map[uint64]*pendingOrder
	nextID    uint64
}

type carrier struct {
	stub           deliverypb.Carrier
	queue          []*deliverypb.Order
	flushScheduled bool
	// leaseEnd is the end of the leader's lease as of the oldest order in the queue.
	leaseEnd time.Duration
	clock    carrierClock
	// failedAt is the time of the last failure, 0 for none.
	failedAt time.Duration
}

// pendingOrder is an order that waits for its reply.
type pendingOrder struct {
	order    dispatch.Order
	carrier  *carrier
	sentAt   time.Duration
	deadline time.Duration
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
		carriers: map[string]*carrier{}, pending: map[uint64]*pendingOrder{},
	}
}

// SetCarriers replaces the carriers. Those that failed recently stay unavailable.
func (s *Sender) SetCarriers(carriers []Carrier) {
	s.available = s.available[:0]
	now := s.now()
	for _, c := range carriers {
		if existing := s.carriers[c.Address]; existing == nil || existing.failedAt == 0 || now-existing.failedAt > carrierBackoff {
			s.available = append(s.available, c)
		}
	}
	slices.SortFunc(s.available, func(a, b Carrier) int { return cmp.Compare(a.Address, b.Address) })
}

// Send queues an order for a carrier, preferably one in the domain of the worker. It
// returns false if no carrier is available.
func (s *Sender) Send(o dispatch.Order, domain string) bool {
	address := s.selectCarrier(o.To.Worker, domain)
	if address == "" {
		return false
	}
	c := s.carriers[address]
	if c == nil {
		c = &carrier{stub: deliverypb.NewCarrierProtobufClient(transport.URL(address), s.client, protocol.Client())}
		s.carriers[address] = c
	}
	s.nextID++
	timeout := replyTimeout
	if o.Hold != nil {
		timeout += o.Hold.MaxWait
	}
	s.pending[s.nextID] = &pendingOrder{order: o, carrier: c, sentAt: s.now(), deadline: s.now() + timeout}
	if len(c.queue) == 0 {
		c.leaseEnd = s.leaseEnd()
	}
	c.queue = append(c.queue, encodeOrder(s.nextID, &o))
	if !c.flushScheduled {
		c.flushScheduled = true
		time.AfterFunc(batchDelay, func() { s.post(func() { s.flush(c) }) })
	}
	return true
}

// selectCarrier returns the address of the carrier for a worker. It uses rendezvous
// hashing, so that the orders of a worker keep the same carrier while it responds and
// few connections are opened.
func (s *Sender) selectCarrier(worker, domain string) string {
	best, bestWeight, bestSameDomain := "", uint64(0), false
	for _, c := range s.available {
		sameDomain := c.Domain == domain
		weight := xxhash.Sum64String(worker + "/" + c.Address)
		if best == "" || sameDomain && !bestSameDomain || sameDomain == bestSameDomain && weight > bestWeight {
			best, bestWeight, bestSameDomain = c.Address, weight, sameDomain
		}
	}
	return best
}

// flush sends the queued orders of a carrier with the time at which they expire there. It
// asks for the carrier's clock first if the last reading is too old.
func (s *Sender) flush(c *carrier) {
	now := s.boot()
	if !c.clock.fresh(now) {
		s.deliver(c, nil, func() { s.flush(c) })
		return
	}
	c.flushScheduled = false
	orders := c.queue
	c.queue = nil
	if c.leaseEnd <= now {
		s.completeAll(orders, dispatch.Expired, "the leader's lease has ended")
		return
	}
	s.deliver(c, orders, func() {})
}

// deliver sends orders to a carrier and records its clock, then calls done. Without
// orders it only reads the clock.
func (s *Sender) deliver(c *carrier, orders []*deliverypb.Order, done func()) {
	request := &deliverypb.DeliverRequest{
		Term: s.term, Leader: s.address, Orders: orders, Expires: c.clock.expiry(s.boot(), c.leaseEnd),
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
		defer cancel()
		response, err := c.stub.Deliver(ctx, request)
		s.post(func() {
			if err != nil {
				s.deliveryFailed(c, request, err)
				return
			}
			c.clock = carrierClock{reading: response.GetClock(), readAt: s.boot(), known: true}
			done()
		})
	}()
}

// deliveryFailed completes the orders of an unacknowledged message with the status
// Unknown, since they may still be executed until they expire. Without a reading of the
// clock the queued orders can't be sent either.
func (s *Sender) deliveryFailed(c *carrier, request *deliverypb.DeliverRequest, err error) {
	s.markUnavailable(c, err.Error())
	orders := request.GetOrders()
	if len(orders) == 0 {
		c.flushScheduled = false
		orders, c.queue = c.queue, nil
	}
	s.completeAll(orders, dispatch.Unknown, err.Error())
}

// completeAll completes orders with the same status.
func (s *Sender) completeAll(orders []*deliverypb.Order, status dispatch.ReplyStatus, reason string) {
	for _, o := range orders {
		s.complete(o.GetId(), dispatch.Reply{Status: status, Reason: reason})
	}
}

func (s *Sender) markUnavailable(c *carrier, reason string) {
	if c.failedAt == 0 || s.now()-c.failedAt > carrierBackoff {
		s.log.Warn().Str("reason", reason).Uint64("term", s.term).Msg("carrier failed; no new orders are sent through it until its backoff ends")
	}
	c.failedAt = max(1, s.now())
	for address, other := range s.carriers {
		if other == c {
			s.available = slices.DeleteFunc(s.available, func(u Carrier) bool { return u.Address == address })
		}
	}
}

// HandleReplies processes the replies that a carrier reports. A carrier that receives
// orders only after they have expired gets no more until its backoff ends: the leases of
// its workers would run out.
func (s *Sender) HandleReplies(replies []*deliverypb.Reply) {
	for _, p := range replies {
		r := decodeReply(p)
		if o := s.pending[p.GetId()]; o != nil && r.Status == dispatch.Expired {
			s.markUnavailable(o.carrier, r.Reason)
		}
		s.complete(p.GetId(), r)
	}
}

// complete passes the first reply to an order to OnReply. Later ones are ignored.
func (s *Sender) complete(id uint64, r dispatch.Reply) {
	o := s.pending[id]
	if o == nil {
		return
	}
	delete(s.pending, id)
	r.Order, r.SentAt, r.ReceivedAt = o.order, o.sentAt, s.now()
	s.onReply(r)
}

// Tick completes orders whose reply is overdue with the status Unknown.
func (s *Sender) Tick() {
	now := s.now()
	for id, o := range s.pending {
		if now < o.deadline {
			continue
		}
		s.markUnavailable(o.carrier, "a reply is overdue")
		s.complete(id, dispatch.Reply{Status: dispatch.Unknown, Reason: "the carrier of the order has not reported"})
	}
}
