package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"geraniumwall/routing"
	"geraniumwall/workerapi"
)

// maxAttempts bounds the attempts for one request.
const maxAttempts = 4

// call is one request of a caller to a service.
type call struct {
	envelope
	gateway *Gateway
	service *serviceEntry
	ctx     context.Context
	header  http.Header
	body    requestBody
	// reserved is the memory that is reserved for the body in bytes.
	reserved int64
	// ends is the deadline on the gateway's clock.
	ends time.Duration
	// whole says that the answer must be held in memory completely.
	whole bool
}

func (c *call) left() time.Duration { return c.ends - c.gateway.clock() }

// serveCall serves POST /v1/call/{service}.
func (g *Gateway) serveCall(w http.ResponseWriter, r *http.Request) {
	started := g.clock()
	table := g.settings.Load()
	service := table.services[r.PathValue("service")]
	if service == nil {
		g.unknownService(table).write(w)
		return
	}
	outcome := g.handleCall(w, r, service, started)
	service.metrics.ended(outcome, g.clock()-started)
}

func (g *Gateway) unknownService(table *serviceTable) *Problem {
	if table.version == 0 {
		return notRun(http.StatusServiceUnavailable, typeNotReady, "The gateway has no configuration yet",
			"retry later or through another gateway").after(defaultRetryAfter)
	}
	return notRun(http.StatusNotFound, typeUnknownService, "The service is not declared",
		"declare the service in the configuration or correct its name")
}

func (g *Gateway) handleCall(w http.ResponseWriter, r *http.Request, s *serviceEntry, started time.Duration) workerapi.Outcome {
	c, problem := g.newCall(w, r, s, started)
	if problem != nil {
		problem.write(w)
		return problem.Outcome
	}
	defer g.buffers.Release(c.reserved)
	ctx, cancel := c.context(r.Context())
	defer cancel()
	c.ctx = ctx
	g.balancer.count()
	if !s.Idempotent {
		return c.respond(w, c.runOnce())
	}
	return c.respond(w, c.exchange())
}

func (g *Gateway) newCall(w http.ResponseWriter, r *http.Request, s *serviceEntry, started time.Duration) (*call, *Problem) {
	e, problem := readEnvelope(r.Header, time.Duration(s.DeadlineMS)*time.Millisecond)
	if problem != nil {
		return nil, problem
	}
	w.Header()[workerapi.HeaderRequestID] = []string{e.requestID}
	c := &call{envelope: e, gateway: g, service: s, header: r.Header, ends: started + e.deadline, whole: !s.Idempotent}
	if !s.Idempotent && c.key == "" {
		p := invalid("the service is not idempotent: send a unique " + workerapi.HeaderIdempotent + " header")
		p.RequestID = c.requestID
		return nil, p
	}
	c.reserved = bufferSize(r, s.MaxBodyBytes, s.Idempotent)
	if !g.takeBuffer(c.reserved) {
		return nil, notRun(http.StatusServiceUnavailable, typeOverloaded, "The gateway holds too many bodies",
			"retry after the time in Retry-After").after(defaultRetryAfter)
	}
	c.body, problem = readBody(w, r, s.MaxBodyBytes, s.Idempotent, c.left())
	if problem != nil {
		g.buffers.Release(c.reserved)
		problem.RequestID = c.requestID
	}
	return c, problem
}

// context bounds the request by its deadline. A request to a non-idempotent
// service goes on when the caller has gone, since its outcome must be recorded.
func (c *call) context(parent context.Context) (context.Context, context.CancelFunc) {
	if !c.service.Idempotent {
		parent = context.WithoutCancel(parent)
	}
	return context.WithTimeout(parent, c.left())
}

// history is what earlier attempts of a call have left.
type history struct {
	attempts int
	avoid    []string
	// started is set when an upstream may have run the request.
	started bool
	// failed is the complete answer of a run that failed.
	failed *answer
}

// exchange sends the request until an attempt gives the answer or no further
// attempt is permitted.
func (c *call) exchange() *answer {
	h := &history{}
	for {
		ticket, err := c.acquire(h)
		if err != nil {
			return c.notAdmitted(err, h)
		}
		a, sent := c.hedged(ticket)
		if !sent {
			continue
		}
		h.attempts++
		h.avoid = append(h.avoid, ticket.Worker)
		if final := c.evaluate(a, h); final != nil {
			return final
		}
		c.service.metrics.retried()
	}
}

func (c *call) acquire(h *history) (routing.Ticket, error) {
	return c.gateway.balancer.acquire(c.ctx, routing.Request{
		Service: c.service.Name, Deadline: c.ends, Avoid: h.avoid, Tag: make(chan routing.Decision, 1),
	})
}

// evaluate returns the final answer after an attempt, or nil if another attempt is
// permitted.
func (c *call) evaluate(a *answer, h *history) *answer {
	if a.certain() && a.outcome == workerapi.OutcomeDone {
		return a
	}
	if a.outcome != workerapi.OutcomeNotRun {
		h.started = true
	}
	if a.outcome == workerapi.OutcomeFailed && a.certain() {
		h.failed = a
	}
	if c.mayRetry(a, h) {
		return nil
	}
	return c.settle(a, h)
}

// settle picks the answer when no further attempt follows: a complete answer of a
// failed run if there was one, and never not_run after an attempt that may have
// run.
func (c *call) settle(a *answer, h *history) *answer {
	if h.failed != nil {
		return h.failed
	}
	if h.started && a.outcome == workerapi.OutcomeNotRun {
		return problemAnswer(unknownOutcome(http.StatusGatewayTimeout, "resend the request; the service is idempotent"))
	}
	return a
}

func (c *call) mayRetry(a *answer, h *history) bool {
	if a.streaming() || h.attempts >= maxAttempts || !c.body.replayable() || c.ctx.Err() != nil {
		return false
	}
	if a.outcome != workerapi.OutcomeNotRun && !c.service.Idempotent {
		return false
	}
	return c.gateway.balancer.retry()
}

func (c *call) notAdmitted(err error, h *history) *answer {
	var shed *shedError
	if !errors.As(err, &shed) {
		panic("gateway: a request was neither admitted nor shed: " + err.Error())
	}
	c.service.metrics.wasShed(shed.reason)
	p := notRun(http.StatusServiceUnavailable, typeOverloaded, "No upstream has room for the request",
		"retry after the time in Retry-After or send a longer deadline").after(shed.retryAfter)
	return c.settle(problemAnswer(p), h)
}
