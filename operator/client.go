// Package operator is the library behind the command geranium: a client of the
// operators' interface and the rendering of its answers.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"geraniumwall/operatorapi"
	"geraniumwall/workerapi"
)

const (
	callTimeout = 10 * time.Second
	// longestTaskPoll stays below the longest wait that a gateway accepts, 60 s.
	longestTaskPoll = 50 * time.Second
	// laterSubmitDeadline is the deadline at the gateways after one that refused a
	// submission: that one has waited for an election of the log already.
	laterSubmitDeadline = 500 * time.Millisecond
)

// Client calls the gateways. A call that fails is repeated on the next gateway;
// every call is idempotent, changes and tasks by their change id or key.
type Client struct {
	// Gateways are host:port addresses; one of a load balancer is enough.
	Gateways []string
	// Operator is recorded with every change.
	Operator string
	HTTP     *http.Client
}

// ErrNoGateway is returned when no gateway address is known.
var ErrNoGateway = errors.New("no gateway address; set -gateways or GERANIUM_GATEWAYS to host:port[,host:port]")

// ErrGatewayAddress is returned for a gateway address in another form.
var ErrGatewayAddress = errors.New("no gateway address; use the form host:port, as in the setting listen of a gateway")

// request is one call of the interface.
type request struct {
	method  string
	path    string
	query   url.Values
	headers map[string]string
	body    []byte
	timeout time.Duration
	// laterDeadline shortens the deadline at the gateways after a definite refusal;
	// 0 keeps it.
	laterDeadline time.Duration
}

// do sends the request to the gateways in turn and decodes the answer into out.
// A problem answer is returned as *operatorapi.Problem.
func (c *Client) do(ctx context.Context, r request, out any) error {
	if len(c.Gateways) == 0 {
		return ErrNoGateway
	}
	var last, unresolved error
	for _, gateway := range c.Gateways {
		if _, _, err := net.SplitHostPort(gateway); err != nil {
			return fmt.Errorf("%q: %w", gateway, ErrGatewayAddress)
		}
		last = c.send(ctx, gateway, r, out)
		if last == nil || !worthAnother(last) {
			return last
		}
		if r.method != http.MethodGet && mayHaveRun(last) {
			unresolved = last
		} else {
			r.shorten(last)
		}
	}
	if unresolved != nil {
		return &UnknownError{Err: unresolved}
	}
	return last
}

// shorten sets the later deadline after a gateway's refusal.
func (r *request) shorten(refusal error) {
	var p *operatorapi.Problem
	if r.laterDeadline > 0 && errors.As(refusal, &p) {
		r.headers = maps.Clone(r.headers)
		r.headers[workerapi.HeaderDeadline] = strconv.FormatInt(r.laterDeadline.Milliseconds(), 10)
	}
}

// UnknownError is a change that may have taken effect: a gateway may have carried
// it out without an answer, and no later gateway resolved it.
type UnknownError struct{ Err error }

// Error returns the first cause and says that the outcome is unknown.
func (e *UnknownError) Error() string { return "outcome unknown: " + e.Err.Error() }

// Unwrap returns the failure that left the outcome open.
func (e *UnknownError) Unwrap() error { return e.Err }

// mayHaveRun reports whether a failed call can have had an effect. Only a
// connection that was never made and an answer not_run exclude it.
func mayHaveRun(err error) bool {
	var p *operatorapi.Problem
	if errors.As(err, &p) {
		return p.Outcome != string(workerapi.OutcomeNotRun)
	}
	var op *net.OpError
	return !errors.As(err, &op) || op.Op != "dial"
}

func worthAnother(err error) bool {
	var p *operatorapi.Problem
	return !errors.As(err, &p) || p.Status >= http.StatusInternalServerError
}

func (c *Client) send(ctx context.Context, gateway string, r request, out any) error {
	timeout := callTimeout + r.timeout
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: gateway, Path: r.path, RawQuery: r.query.Encode()}
	httpRequest, err := http.NewRequestWithContext(bounded, r.method, target.String(), bytes.NewReader(r.body))
	if err != nil {
		return fmt.Errorf("gateway %s: %w", gateway, err)
	}
	httpRequest.Header.Set(operatorapi.HeaderOperator, c.Operator)
	httpRequest.Header.Set(workerapi.HeaderCaller, c.Operator)
	for name, value := range r.headers {
		httpRequest.Header.Set(name, value)
	}
	answer, err := c.HTTP.Do(httpRequest)
	if err != nil {
		return fmt.Errorf("gateway %s: %w; check that a gateway listens there, or try another one with -gateways", gateway, err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return fmt.Errorf("gateway %s: answer was cut off: %w; repeat the command", gateway, err)
	}
	return decode(answer, body, out)
}

func decode(answer *http.Response, body []byte, out any) error {
	if strings.HasPrefix(answer.Header.Get("Content-Type"), "application/problem+json") {
		p := &operatorapi.Problem{}
		if err := json.Unmarshal(body, p); err != nil {
			return fmt.Errorf("unreadable problem (status %d): %w", answer.StatusCode, err)
		}
		if p.Status == 0 {
			p.Status = answer.StatusCode
		}
		if answer.Request.Method == http.MethodGet && p.Outcome == string(workerapi.OutcomeUnknown) {
			// A read has no effect that could be unknown.
			p.Outcome = ""
		}
		return p
	}
	if raw, ok := out.(*json.RawMessage); ok {
		*raw = body
		return nil
	}
	if out == nil || len(body) == 0 {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("unreadable answer (status %d): %w; is the address a geranium gateway?", answer.StatusCode, err)
	}
	return nil
}

// Config returns a configuration version; 0 is the one in force.
func (c *Client) Config(ctx context.Context, version uint64) (operatorapi.Version, error) {
	var v operatorapi.Version
	query := url.Values{}
	if version > 0 {
		query.Set("version", strconv.FormatUint(version, 10))
	}
	err := c.do(ctx, request{method: http.MethodGet, path: operatorapi.Prefix + "config", query: query}, &v)
	return v, err
}

// Apply changes the configuration from version base. The change id makes a resend
// harmless, so an unknown outcome is followed by a resend to the next gateway.
func (c *Client) Apply(ctx context.Context, base uint64, change, comment string, document []byte) (operatorapi.ApplyResult, error) {
	var result operatorapi.ApplyResult
	query := url.Values{"base": {strconv.FormatUint(base, 10)}, "change": {change}, "comment": {comment}}
	err := c.do(ctx, request{method: http.MethodPut, path: operatorapi.Prefix + "config", query: query, body: document}, &result)
	return result, err
}

// History returns versions after a version, oldest first.
func (c *Client) History(ctx context.Context, after uint64, limit int) ([]operatorapi.Version, error) {
	var versions []operatorapi.Version
	err := c.do(ctx, request{method: http.MethodGet, path: operatorapi.Prefix + "history", query: pageQuery(after, limit)}, &versions)
	return versions, err
}

// Audit returns records after a sequence number, oldest first. Empty filters match all.
func (c *Client) Audit(ctx context.Context, after uint64, limit int, actor, action string) ([]operatorapi.AuditRecord, error) {
	var records []operatorapi.AuditRecord
	query := pageQuery(after, limit)
	query.Set("actor", actor)
	query.Set("action", action)
	err := c.do(ctx, request{method: http.MethodGet, path: operatorapi.Prefix + "audit", query: query}, &records)
	return records, err
}

func pageQuery(after uint64, limit int) url.Values {
	return url.Values{"after": {strconv.FormatUint(after, 10)}, "limit": {strconv.Itoa(limit)}}
}

// Status returns the state of the fleet.
func (c *Client) Status(ctx context.Context) (operatorapi.Status, error) {
	var status operatorapi.Status
	err := c.do(ctx, request{method: http.MethodGet, path: operatorapi.Prefix + "status"}, &status)
	return status, err
}

// Explain returns the decisions about a task, worker or service, oldest first.
func (c *Client) Explain(ctx context.Context, subject string) ([]operatorapi.Decision, error) {
	var decisions []operatorapi.Decision
	err := c.do(ctx, request{method: http.MethodGet, path: operatorapi.Prefix + "explain/" + subject}, &decisions)
	return decisions, err
}

// Drain stops new work on a worker and moves its tasks, or ends that.
func (c *Client) Drain(ctx context.Context, worker string, undo bool) error {
	query := url.Values{}
	if undo {
		query.Set("undo", "true")
	}
	err := c.do(ctx, request{method: http.MethodPost, path: operatorapi.Prefix + "drain/" + worker, query: query}, nil)
	return err
}

// ChangeReplica adds, promotes or removes a control replica and returns the members.
func (c *Client) ChangeReplica(
	ctx context.Context, change operatorapi.ReplicaChange, r operatorapi.Replica,
) ([]operatorapi.Replica, error) {
	var members []operatorapi.Replica
	query := url.Values{"id": {strconv.FormatUint(r.ID, 10)}, "address": {r.Address}, "domain": {r.Domain}}
	path := operatorapi.Prefix + "replica/" + string(change)
	err := c.do(ctx, request{method: http.MethodPost, path: path, query: query}, &members)
	return members, err
}

// Submit submits a task under an idempotency key and returns its id.
func (c *Client) Submit(ctx context.Context, key string, document []byte) (string, error) {
	var accepted struct {
		ID string `json:"id"`
	}
	err := c.do(ctx, request{
		method: http.MethodPost, path: "/v1/tasks", body: document, laterDeadline: laterSubmitDeadline,
		headers: map[string]string{workerapi.HeaderIdempotent: key, "Content-Type": "application/json"},
	}, &accepted)
	return accepted.ID, err
}

// Task returns a task as JSON; with wait it waits until the task has ended. A
// longer wait than one call may take is split into several calls.
func (c *Client) Task(ctx context.Context, id string, wait time.Duration) (json.RawMessage, error) {
	for {
		step := min(wait, longestTaskPoll)
		wait -= step
		task, err := c.pollTask(ctx, id, step)
		if err != nil || wait <= 0 || Ended(task) {
			return task, err
		}
	}
}

// Ended reports whether a task is in a final state.
func Ended(task json.RawMessage) bool {
	var view struct {
		State string `json:"state"`
	}
	if json.Unmarshal(task, &view) != nil {
		return false
	}
	return view.State != "pending" && view.State != "bound"
}

func (c *Client) pollTask(ctx context.Context, id string, wait time.Duration) (json.RawMessage, error) {
	var task json.RawMessage
	query := url.Values{}
	if wait > 0 {
		query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	}
	err := c.do(ctx, request{method: http.MethodGet, path: "/v1/tasks/" + id, query: query, timeout: wait}, &task)
	return task, err
}

// Cancel cancels a task.
func (c *Client) Cancel(ctx context.Context, id string) (json.RawMessage, error) {
	var task json.RawMessage
	err := c.do(ctx, request{method: http.MethodDelete, path: "/v1/tasks/" + id}, &task)
	return task, err
}
