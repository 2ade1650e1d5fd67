package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"geraniumwall/workerapi"
)

const senderTimeout = time.Minute

// NewTransport returns an HTTP transport that keeps up to connections open to each
// target.
func NewTransport(connections int) *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: connections,
		DisableCompression:  true,
	}
}

// GatewaySender sends requests to a list of gateways in turn.
type GatewaySender struct {
	// Targets are addresses, host:port.
	Targets []string
	Client  *http.Client
	// RunID makes request ids and idempotency keys differ between runs.
	RunID string
}

// NewGatewaySender returns a sender with its own connections.
func NewGatewaySender(targets []string, runID string, connections int) *GatewaySender {
	return &GatewaySender{
		Targets: targets, RunID: runID,
		Client: &http.Client{Transport: NewTransport(connections), Timeout: senderTimeout},
	}
}

// taskBody is the JSON body of a submission.
type taskBody struct {
	Job     string          `json:"job"`
	Payload json.RawMessage `json:"payload,omitempty"`
}

// Send sends one request and reads the complete answer.
func (s *GatewaySender) Send(ctx context.Context, r Request) Result {
	target := s.Targets[r.Sequence%uint64(len(s.Targets))]
	path, body := "/v1/call/"+r.Kind.Service, []byte(r.Kind.Body)
	if r.Kind.Job != "" {
		path, body = "/v1/tasks", r.Kind.taskBody()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+path, bytes.NewReader(body))
	if err != nil {
		return Result{Outcome: OutcomeError}
	}
	id := fmt.Sprintf("%s-%d", s.RunID, r.Sequence)
	request.Header.Set(workerapi.HeaderRequestID, id)
	if r.Kind.Keyed || r.Kind.Job != "" {
		request.Header.Set(workerapi.HeaderIdempotent, id)
	}
	if r.Kind.DeadlineMS > 0 {
		request.Header.Set(workerapi.HeaderDeadline, strconv.FormatInt(r.Kind.DeadlineMS, 10))
	}
	return receive(s.Client, request)
}

func (k Kind) taskBody() []byte {
	body, err := json.Marshal(taskBody{Job: k.Job, Payload: json.RawMessage(k.Body)})
	if err != nil {
		// The body is not JSON; the gateway will say so.
		return []byte(k.Body)
	}
	return body
}

// DirectSender sends requests straight to one worker, as the baseline of a
// gateway.
type DirectSender struct {
	Target  string
	Session uint64
	Client  *http.Client
}

// Send sends one request and reads the complete answer.
func (s *DirectSender) Send(ctx context.Context, r Request) Result {
	url := "http://" + s.Target + workerapi.PathServe + r.Kind.Service
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(r.Kind.Body))
	if err != nil {
		return Result{Outcome: OutcomeError}
	}
	request.Header.Set(workerapi.HeaderSession, strconv.FormatUint(s.Session, 10))
	return receive(s.Client, request)
}

func receive(c *http.Client, request *http.Request) Result {
	response, err := c.Do(request)
	if err != nil {
		return Result{Outcome: OutcomeError}
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return Result{Outcome: OutcomeError, Status: response.StatusCode}
	}
	outcome := response.Header.Get(workerapi.HeaderOutcome)
	if outcome == "" {
		outcome = "none"
	}
	return Result{Outcome: outcome, Status: response.StatusCode}
}
