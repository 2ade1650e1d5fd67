package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"geraniumwall/routing"
	"geraniumwall/workerapi"
)

const (
	// storedLimit bounds the answers of non-idempotent services, which are stored
	// in the replicated log.
	storedLimit     = 1 << 20
	streamChunkSize = 32 << 10
)

// answer is what a caller gets: the complete answer of an upstream, the beginning
// of one whose rest is streamed, or a problem.
type answer struct {
	status  int
	header  http.Header
	outcome workerapi.Outcome
	body    []byte
	problem *Problem

	rest   io.ReadCloser
	length int64
	ticket routing.Ticket
}

func problemAnswer(p *Problem) *answer {
	return &answer{status: p.Status, outcome: p.Outcome, problem: p}
}

// certain reports whether an upstream gave the answer.
func (a *answer) certain() bool { return a.problem == nil }

// streaming reports whether a part of the answer is still on its way.
func (a *answer) streaming() bool { return a.rest != nil }

func outcomeOf(status int) workerapi.Outcome {
	if status >= http.StatusInternalServerError {
		return workerapi.OutcomeFailed
	}
	return workerapi.OutcomeDone
}

// readAnswer reads the answer up to the size that is held in memory.
func (c *call) readAnswer(ticket routing.Ticket, response *http.Response) *answer {
	limit := int64(bufferLimit)
	if c.whole {
		limit = storedLimit
	}
	body, err := readAll(io.LimitReader(response.Body, limit+1), response.ContentLength)
	if err != nil {
		response.Body.Close()
		return c.broken(ticket, "the answer of the upstream ended early")
	}
	a := &answer{
		status: response.StatusCode, header: response.Header, outcome: outcomeOf(response.StatusCode),
		body: body, length: response.ContentLength,
	}
	if int64(len(body)) <= limit {
		response.Body.Close()
		c.gateway.balancer.release(ticket, resultOf(a))
		return a
	}
	if c.whole {
		response.Body.Close()
		c.gateway.balancer.release(ticket, resultOf(a))
		return problemAnswer(oversizedAnswer())
	}
	a.rest, a.ticket = response.Body, ticket
	return a
}

func oversizedAnswer() *Problem {
	return &Problem{
		Type: typeUpstream, Title: "The answer is too large to be stored", Status: http.StatusBadGateway,
		Outcome: workerapi.OutcomeFailed,
		Detail:  "the request was run; let the service answer at most " + strconv.Itoa(storedLimit) + " bytes",
	}
}

func resultOf(a *answer) routing.Result {
	if a.outcome == workerapi.OutcomeFailed {
		return routing.ResultFailed
	}
	return routing.ResultOK
}

// respond writes the answer to the caller and returns its outcome.
func (c *call) respond(w http.ResponseWriter, a *answer) workerapi.Outcome {
	if a.problem != nil {
		a.problem.RequestID = c.requestID
		a.problem.write(w)
		return a.outcome
	}
	h := w.Header()
	copyHeaders(h, a.header)
	h[workerapi.HeaderOutcome] = []string{string(a.outcome)}
	if !a.streaming() {
		if a.status != http.StatusNoContent && a.status != http.StatusNotModified {
			h[headerContentLength] = []string{strconv.Itoa(len(a.body))}
		}
		w.WriteHeader(a.status)
		w.Write(a.body)
		return a.outcome
	}
	return c.stream(w, a)
}

// stream passes on the rest of an answer. If it ends early the connection of the
// caller is aborted, so that the caller cannot take it for complete.
func (c *call) stream(w http.ResponseWriter, a *answer) workerapi.Outcome {
	if a.length >= 0 {
		w.Header()[headerContentLength] = []string{strconv.FormatInt(a.length, 10)}
	}
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(c.left()))
	w.WriteHeader(a.status)
	err := c.copyRest(w, control, a)
	a.rest.Close()
	if err == nil {
		_ = control.SetWriteDeadline(time.Time{})
		c.gateway.balancer.release(a.ticket, resultOf(a))
		return a.outcome
	}
	result := routing.ResultAbandoned
	if errors.Is(err, errUpstreamEnded) {
		result = c.lostResult()
	}
	c.gateway.balancer.release(a.ticket, result)
	c.service.metrics.ended(workerapi.OutcomeUnknown, c.deadline-c.left())
	panic(http.ErrAbortHandler)
}

var errUpstreamEnded = errors.New("the answer of the upstream ended early")

func (c *call) copyRest(w io.Writer, control *http.ResponseController, a *answer) error {
	if _, err := w.Write(a.body); err != nil {
		return err
	}
	chunk := make([]byte, streamChunkSize)
	for {
		n, err := a.rest.Read(chunk)
		if n > 0 {
			if _, failed := w.Write(chunk[:n]); failed != nil {
				return failed
			}
			if a.length < 0 {
				_ = control.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errUpstreamEnded
		}
	}
}
