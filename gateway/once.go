package gateway

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"geraniumwall/control/client"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/workerapi"
)

const (
	// endReserve is kept of the deadline for the record of the outcome.
	endReserve = 100 * time.Millisecond
	// recordLongest bounds the attempts to record an outcome in the background.
	recordLongest = time.Minute
	recordPause   = 200 * time.Millisecond
)

// record is the identity of a request to a non-idempotent service towards the
// control replicas.
type record struct {
	caller string
	key    string
	hash   []byte
	holder string
}

// runOnce runs a request to a non-idempotent service at most once: it is recorded
// through the quorum before it is sent, and its outcome before it is answered.
func (c *call) runOnce() *answer {
	r := record{caller: c.caller, key: c.key, hash: c.hash(), holder: c.gateway.newHolder()}
	began, err := c.begin(r)
	if err != nil {
		return c.notRecorded(r, err)
	}
	switch began.GetState() {
	case controlpb.RequestState_REQUEST_STATE_STARTED:
		return c.runRecorded(r)
	case controlpb.RequestState_REQUEST_STATE_IN_PROGRESS:
		return problemAnswer(notRun(http.StatusConflict, typeInProgress, "The request is running",
			"resend with the same key after the time in Retry-After").after(milliseconds(began.GetRetryAfterMs())))
	case controlpb.RequestState_REQUEST_STATE_ENDED:
		return storedAnswer(began.GetOutcome())
	case controlpb.RequestState_REQUEST_STATE_KEY_CONFLICT:
		return problemAnswer(notRun(http.StatusUnprocessableEntity, typeKeyConflict,
			"The key was used for another request", "use a new key for a new request"))
	default:
		return problemAnswer(unknownOutcome(http.StatusGatewayTimeout, "the first request ended without a recorded outcome; "+c.remedy()))
	}
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func (g *Gateway) newHolder() string {
	return fmt.Sprintf("%s/%s/%d", g.options.Name, g.options.Incarnation, g.holders.Add(1))
}

// hash covers the service, so that one key cannot name two kinds of requests.
func (c *call) hash() []byte {
	h := sha256.New()
	h.Write([]byte(c.service.Name))
	h.Write([]byte{0})
	h.Write(c.body.data)
	return h.Sum(nil)
}

func (c *call) begin(r record) (*controlpb.BeginRequestResponse, error) {
	// A quarter of the time is left to answer the caller when the quorum is silent.
	ctx, cancel := context.WithTimeout(c.ctx, c.left()*3/4)
	defer cancel()
	return c.gateway.begin(ctx, r, c.left())
}

func (g *Gateway) begin(ctx context.Context, r record, left time.Duration) (*controlpb.BeginRequestResponse, error) {
	return client.Call(ctx, g.control, "BeginRequest", 0, controlpb.Control.BeginRequest,
		&controlpb.BeginRequestRequest{
			Caller: r.caller, IdempotencyKey: r.key, BodyHash: r.hash, Holder: r.holder,
			DeadlineMs: max(1, left.Milliseconds()),
		})
}

// notRecorded answers when it is not known that the request was recorded. Nothing
// was sent, so the outcome is not_run. If the record may exist, the gateway tries
// to end it, so that a resend need not wait for the deadline. The replicas keep
// the end even without a beginning, so a late beginning starts nothing.
func (c *call) notRecorded(r record, err error) *answer {
	var failed *client.Error
	if !errors.As(err, &failed) || failed.Outcome != workerapi.OutcomeNotRun {
		c.gateway.recordInBackground(r, notRunOutcome(), c.ends)
	}
	return problemAnswer(notRun(http.StatusServiceUnavailable, typeControl, "The request could not be recorded",
		"resend with the same key").after(defaultRetryAfter))
}

func notRunOutcome() *controlpb.RequestOutcome {
	return &controlpb.RequestOutcome{
		Outcome: string(workerapi.OutcomeNotRun), Status: http.StatusServiceUnavailable,
	}
}

func (c *call) runRecorded(r record) *answer {
	full := c.ends
	c.ends -= min(endReserve, c.left()/10)
	a := c.bounded()
	c.ends = full
	outcome := storedOutcome(a)
	if err := c.gateway.end(c.ctx, r, outcome); err != nil {
		c.gateway.recordInBackground(r, outcome, c.gateway.clock()+recordLongest)
	}
	return a
}

// bounded runs the exchange under the shortened deadline.
func (c *call) bounded() *answer {
	outer := c.ctx
	defer func() { c.ctx = outer }()
	ctx, cancel := context.WithTimeout(outer, c.left())
	defer cancel()
	c.ctx = ctx
	return c.exchange()
}

func (g *Gateway) end(ctx context.Context, r record, outcome *controlpb.RequestOutcome) error {
	_, err := client.Call(ctx, g.control, "EndRequest", 0, controlpb.Control.EndRequest,
		&controlpb.EndRequestRequest{Caller: r.caller, IdempotencyKey: r.key, Holder: r.holder, Outcome: outcome})
	return err
}

// recordInBackground records an outcome until the time ends or the record shows
// that it is not this holder's to end.
func (g *Gateway) recordInBackground(r record, outcome *controlpb.RequestOutcome, ends time.Duration) {
	g.recording.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), ends-g.clock())
		defer cancel()
		for ctx.Err() == nil {
			if err := g.end(ctx, r, outcome); err == nil || refusedRecord(err) {
				return
			}
			select {
			case <-ctx.Done():
			case <-time.After(recordPause):
			}
		}
	})
}

// refusedRecord reports whether the replicas answered definitely that the outcome
// cannot be recorded, so that repeating it is of no use.
func refusedRecord(err error) bool {
	var answer twirp.Error
	return errors.As(err, &answer) && answer.Code() == twirp.FailedPrecondition
}

// storedOutcome is the form in which an answer is recorded.
func storedOutcome(a *answer) *controlpb.RequestOutcome {
	o := &controlpb.RequestOutcome{Outcome: string(a.outcome), Status: int32(a.status)}
	if a.problem != nil {
		o.Body, o.ContentType = a.problem.encode(), contentTypeProblem
		return o
	}
	o.Body, o.ContentType = a.body, a.header.Get(headerContentType)
	return o
}

// storedAnswer is the answer to a resend after the outcome was recorded.
func storedAnswer(o *controlpb.RequestOutcome) *answer {
	outcome := workerapi.Outcome(o.GetOutcome())
	switch outcome {
	case workerapi.OutcomeDone, workerapi.OutcomeFailed:
		h := http.Header{}
		if o.GetContentType() != "" {
			h.Set(headerContentType, o.GetContentType())
		}
		return &answer{status: int(o.GetStatus()), header: h, outcome: outcome, body: o.GetBody()}
	case workerapi.OutcomeNotRun:
		return problemAnswer(notRun(http.StatusServiceUnavailable, typeOverloaded, "The request was not run",
			"resend with the same key").after(defaultRetryAfter))
	default:
		return problemAnswer(unknownOutcome(http.StatusGatewayTimeout,
			"it was recorded that the outcome is unknown; the request is never run again under this key"))
	}
}
