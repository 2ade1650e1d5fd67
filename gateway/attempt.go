package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/url"

	"geraniumwall/routing"
	"geraniumwall/workerapi"
)

// attempt sends the request once. It returns false if the ticket had become
// invalid before anything was sent.
func (c *call) attempt(ticket routing.Ticket) (*answer, bool) {
	g := c.gateway
	request := c.workerRequest(&ticket)
	// The check comes last: after a long pause of the process the grant is over.
	if !g.balancer.valid(&ticket) {
		g.balancer.release(ticket, routing.ResultAbandoned)
		return nil, false
	}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	request = request.WithContext(httptrace.WithClientTrace(c.ctx, trace))
	response, err := g.workers.roundTrip(request)
	if err != nil {
		return c.lost(ticket, connected), true
	}
	return c.received(ticket, response), true
}

func (c *call) workerRequest(ticket *routing.Ticket) *http.Request {
	return &http.Request{
		Method: http.MethodPost,
		URL: &url.URL{
			Scheme: "http", Host: ticket.Address, Path: workerapi.PathServe + c.service.Name,
		},
		Host:          ticket.Address,
		Header:        c.workerHeaders(ticket.Session, c.left()),
		Body:          c.body.open(),
		ContentLength: c.body.length,
		Proto:         "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}

// lost classifies an attempt without an answer. Only an attempt that never got a
// connection proves that the request was not run.
func (c *call) lost(ticket routing.Ticket, connected bool) *answer {
	c.gateway.balancer.release(ticket, c.lostResult())
	if !connected {
		return problemAnswer(notRun(http.StatusServiceUnavailable, typeUpstream, "The upstream could not be reached",
			"retry later").after(defaultRetryAfter))
	}
	if c.ctx.Err() != nil {
		return problemAnswer(unknownOutcome(http.StatusGatewayTimeout,
			"the deadline passed while the request was running; "+c.remedy()))
	}
	return problemAnswer(unknownOutcome(http.StatusGatewayTimeout,
		"the connection to the upstream was lost; "+c.remedy()))
}

// lostResult returns the result of a lost attempt: it does not count against the upstream when the
// gateway or the caller gave up.
func (c *call) lostResult() routing.Result {
	if c.ctx.Err() != nil {
		return routing.ResultAbandoned
	}
	return routing.ResultFailed
}

func (c *call) remedy() string {
	if c.service.Idempotent {
		return "resend the request; the service is idempotent"
	}
	return "find out what the service did; the request is never run again under this key"
}

// received classifies the answer of an upstream.
func (c *call) received(ticket routing.Ticket, response *http.Response) *answer {
	if response.Header.Get(workerapi.HeaderOutcome) == string(workerapi.OutcomeNotRun) {
		response.Body.Close()
		c.gateway.refused(ticket)
		return problemAnswer(notRun(http.StatusServiceUnavailable, typeOverloaded, "The upstream refused the request",
			"retry later").after(defaultRetryAfter))
	}
	if response.StatusCode < http.StatusOK {
		response.Body.Close()
		return c.broken(ticket, fmt.Sprintf("the upstream answered status %d", response.StatusCode))
	}
	if echoed := response.Header.Get(workerapi.HeaderRequestID); echoed != "" && echoed != c.requestID {
		response.Body.Close()
		return c.broken(ticket, fmt.Sprintf("the upstream answered request %q", echoed))
	}
	return c.readAnswer(ticket, response)
}

// refused syncs grants at once, since the refusal shows that a session is stale.
func (g *Gateway) refused(ticket routing.Ticket) {
	g.balancer.release(ticket, routing.ResultRefused)
	for _, l := range g.links.all() {
		l.trigger()
	}
}

// broken is an answer that must not be passed on.
func (c *call) broken(ticket routing.Ticket, what string) *answer {
	c.gateway.balancer.release(ticket, c.lostResult())
	return problemAnswer(unknownOutcome(http.StatusBadGateway, what+"; "+c.remedy()))
}
