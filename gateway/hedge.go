package gateway

import (
	"context"
	"sync"
	"time"

	"geraniumwall/routing"
	"geraniumwall/workerapi"
)

// hedge is a second attempt for a request whose first attempt takes longer than
// the service usually does. It needs a free slot of another worker and a retry of
// the budget, and it never waits for either.
type hedge struct {
	call   *call
	first  routing.Ticket
	finish chan struct{}

	mu sync.Mutex
	// settled is set when the first attempt has ended; no second one begins then.
	settled bool
	// unwanted is set when the answer of the first attempt is used.
	unwanted     bool
	started      bool
	answer       *answer
	cancelFirst  context.CancelFunc
	cancelSecond context.CancelFunc
}

// hedged makes one attempt, with a second one if that takes long.
func (c *call) hedged(ticket routing.Ticket) (*answer, bool) {
	if ticket.HedgeAfter <= 0 || !c.service.Idempotent || c.body.stream != nil {
		return c.attempt(ticket)
	}
	first := *c
	var cancel context.CancelFunc
	// A streamed answer needs this context until the call ends; the context of the
	// call then ends it.
	first.ctx, cancel = context.WithCancel(c.ctx)
	h := &hedge{call: c, first: ticket, finish: make(chan struct{}), cancelFirst: cancel}
	timer := time.AfterFunc(ticket.HedgeAfter, h.start)
	a, sent := first.attempt(ticket)
	timer.Stop()
	return h.settle(a, sent)
}

// start makes the second attempt on a goroutine of its own.
func (h *hedge) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.settled {
		return
	}
	g := h.call.gateway
	ticket, free := g.balancer.tryAcquire(h.call.service.Name, h.first.Worker)
	if !free {
		return
	}
	if !g.balancer.retry() {
		g.balancer.release(ticket, routing.ResultAbandoned)
		return
	}
	h.started = true
	second := *h.call
	second.ctx, h.cancelSecond = context.WithCancel(h.call.ctx)
	h.call.service.metrics.retried()
	g.spawn(func() { h.run(&second, ticket) })
}

func (h *hedge) run(second *call, ticket routing.Ticket) {
	a, sent := second.attempt(ticket)
	h.mu.Lock()
	defer h.mu.Unlock()
	defer close(h.finish)
	if !sent {
		return
	}
	if h.unwanted {
		second.discard(a)
		return
	}
	h.answer = a
	if a.certain() {
		h.cancelFirst()
	}
}

// settle picks the answer: that of the first attempt if an upstream gave it,
// otherwise that of the second one.
func (h *hedge) settle(a *answer, sent bool) (*answer, bool) {
	if !h.close(a, sent) {
		return a, sent
	}
	<-h.finish
	h.mu.Lock()
	defer h.mu.Unlock()
	return combine(a, h.answer)
}

// close ends the race and reports whether the answer of the second attempt is
// needed.
func (h *hedge) close(a *answer, sent bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settled = true
	answered := sent && a.certain()
	if !answered || !a.streaming() {
		h.cancelFirst()
	}
	if !h.started || !answered {
		return h.started
	}
	h.unwanted = true
	h.cancelSecond()
	if h.answer != nil {
		h.call.discard(h.answer)
	}
	return false
}

// combine picks from two attempts of which the first gave no certain answer. The
// outcome is not_run only if neither can have run; nil is an attempt that sent
// nothing.
func combine(first, second *answer) (*answer, bool) {
	switch {
	case first == nil && second == nil:
		return nil, false
	case first == nil:
		return second, true
	case second == nil:
		return first, true
	case second.certain() || first.outcome == workerapi.OutcomeNotRun:
		return second, true
	default:
		return first, true
	}
}

// discard gives up an answer that is not used.
func (c *call) discard(a *answer) {
	if !a.streaming() {
		return
	}
	a.rest.Close()
	c.gateway.balancer.release(a.ticket, routing.ResultAbandoned)
}
