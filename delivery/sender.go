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
	// gatherTime is how long orders and replies wait for others of the same message.
	gatherTime = 12 * time.Millisecond
	// deliverTimeout bounds a message to a carrier or to the leader.
	deliverTimeout = 400 * time.Millisecond
	// replyWithin bounds the wait for a reply besides the time that the worker may
	// wait. It covers the call to the worker and both messages.
	replyWithin = 1500 * time.Millisecond
	// avoidFor is how long a carrier that has failed gets no orders.
	avoidFor = 3 * time.Second
)

// Carrier is a replica that carries orders.
type Carrier struct {
	Address string
	Domain  string
}

// Sender spreads the orders of one leader. Its methods must be called on the
// control thread.
type Sender struct {
	term     uint64
	address  string
	client   *http.Client
	post     func(func())
	now      func() time.Duration
	log      zerolog.Logger
	answered func(dispatch.Reply)

	carriers map[string]*carrier
	// usable are the carriers that answer, by address.
	usable  []Carrier
	waiting map[uint64]*sent
	nextID  uint64
}

type carrier struct {
	stub    deliverypb.Carrier
	queue   []*deliverypb.Order
	pending bool
	// failedAt is when it has failed last, 0 for never.
	failedAt time.Duration
}

// sent is an order without a reply.
type sent struct {
	order dispatch.Order
	by    *carrier
	at    time.Duration
	until time.Duration
}

// SenderOptions are what a Sender is made of.
type SenderOptions struct {
	Term uint64
	// Address is where the leader takes in reports.
	Address string
	Client  *http.Client
	// Post runs a function on the control thread, Now is a monotonic clock.
	Post func(func())
	Now  func() time.Duration
	Log  zerolog.Logger
	// Answered is called with each reply.
	Answered func(dispatch.Reply)
}

// NewSender returns a sender without carriers.
func NewSender(o SenderOptions) *Sender {
	return &Sender{
		term: o.Term, address: o.Address, client: o.Client, post: o.Post, now: o.Now, log: o.Log, answered: o.Answered,
		carriers: map[string]*carrier{}, waiting: map[uint64]*sent{},
	}
}

// SetCarriers replaces the replicas that answer the leader.
func (s *Sender) SetCarriers(list []Carrier) {
	s.usable = s.usable[:0]
	now := s.now()
	for _, c := range list {
		if known := s.carriers[c.Address]; known == nil || known.failedAt == 0 || now-known.failedAt > avoidFor {
			s.usable = append(s.usable, c)
		}
	}
	slices.SortFunc(s.usable, func(a, b Carrier) int { return cmp.Compare(a.Address, b.Address) })
}

// Send gives an order to a carrier, in the worker's domain if there is one. It
// returns false if there is no carrier.
func (s *Sender) Send(o dispatch.Order, domain string) bool {
	address := s.choose(o.To.Worker, domain)
	if address == "" {
		return false
	}
	c := s.carriers[address]
	if c == nil {
		c = &carrier{stub: deliverypb.NewCarrierProtobufClient(transport.URL(address), s.client, protocol.Client())}
		s.carriers[address] = c
	}
	s.nextID++
	within := replyWithin
	if o.Hold != nil {
		within += o.Hold.Wait
	}
	s.waiting[s.nextID] = &sent{order: o, by: c, at: s.now(), until: s.now() + within}
	c.queue = append(c.queue, encodeOrder(s.nextID, &o))
	if !c.pending {
		c.pending = true
		time.AfterFunc(gatherTime, func() { s.post(func() { s.flush(c) }) })
	}
	return true
}

// choose keeps the orders of one worker with one carrier while it answers, so that
// few connections are opened.
func (s *Sender) choose(worker, domain string) string {
	best, bestWeight, bestNear := "", uint64(0), false
	for _, c := range s.usable {
		near := c.Domain == domain
		weight := xxhash.Sum64String(worker + "/" + c.Address)
		if best == "" || near && !bestNear || near == bestNear && weight > bestWeight {
			best, bestWeight, bestNear = c.Address, weight, near
		}
	}
	return best
}

// flush sends the queue of a carrier.
func (s *Sender) flush(c *carrier) {
	c.pending = false
	request := &deliverypb.DeliverRequest{Term: s.term, Leader: s.address, Orders: c.queue}
	c.queue = nil
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), deliverTimeout)
		defer cancel()
		if _, err := c.stub.Deliver(ctx, request); err != nil {
			s.post(func() { s.failed(c, request, err) })
		}
	}()
}

// failed answers the orders of a message that was not acknowledged: they may be
// carried out at any later time.
func (s *Sender) failed(c *carrier, request *deliverypb.DeliverRequest, err error) {
	s.avoid(c, err.Error())
	for _, o := range request.GetOrders() {
		s.settle(o.GetId(), dispatch.Reply{Verdict: dispatch.Unknown, Reason: err.Error()})
	}
}

func (s *Sender) avoid(c *carrier, why string) {
	if c.failedAt == 0 || s.now()-c.failedAt > avoidFor {
		s.log.Warn().Str("reason", why).Uint64("term", s.term).Msg("replica does not carry orders and is avoided")
	}
	c.failedAt = max(1, s.now())
	for address, known := range s.carriers {
		if known == c {
			s.usable = slices.DeleteFunc(s.usable, func(u Carrier) bool { return u.Address == address })
		}
	}
}

// Report takes in replies.
func (s *Sender) Report(replies []*deliverypb.Reply) {
	for _, p := range replies {
		s.settle(p.GetId(), decodeReply(p))
	}
}

// settle passes the reply to an order on, once.
func (s *Sender) settle(id uint64, r dispatch.Reply) {
	o := s.waiting[id]
	if o == nil {
		return
	}
	delete(s.waiting, id)
	r.Order, r.SentAt, r.ReceivedAt = o.order, o.at, s.now()
	s.answered(r)
}

// Tick gives up orders whose reply is overdue.
func (s *Sender) Tick() {
	now := s.now()
	for id, o := range s.waiting {
		if now < o.until {
			continue
		}
		s.avoid(o.by, "a reply is overdue")
		s.settle(id, dispatch.Reply{Verdict: dispatch.Unknown, Reason: "the replica that carries the order has not reported"})
	}
}
