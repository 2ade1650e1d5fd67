package e2e_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"geraniumwall/workerapi"
)

// callResult is what a caller saw of one request.
type callResult struct {
	kind    string
	key     string
	outcome workerapi.Outcome
	status  int
	latency time.Duration
	body    []byte
}

// driver sends requests and tasks to the gateways of a fleet in turn and resends
// under the same key what was not answered, as a caller would.
type driver struct {
	gateways []string
	http     *http.Client
	next     atomic.Uint64
	// out is a gateway that the load balancer has taken out.
	out   atomic.Value
	mu    sync.Mutex
	calls []callResult
	tasks map[string]string // key to task id
}

func newDriver(gateways []string) *driver {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	return &driver{gateways: gateways, http: &http.Client{Transport: transport, Timeout: 40 * time.Second}, tasks: map[string]string{}}
}

func (d *driver) gateway() string {
	for {
		next := d.gateways[int(d.next.Add(1))%len(d.gateways)]
		if next != d.out.Load() {
			return next
		}
	}
}

// call sends one request and records what came back. A lost connection is the
// outcome unknown.
func (d *driver) call(ctx context.Context, service, key, body string) callResult {
	result := callResult{kind: service, key: key, outcome: workerapi.OutcomeUnknown}
	began := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+d.gateway()+"/v1/call/"+service, bytes.NewReader([]byte(body)))
	if err != nil {
		return result
	}
	request.Header.Set(workerapi.HeaderCaller, "e2e")
	if key != "" {
		request.Header.Set(workerapi.HeaderIdempotent, key)
	}
	answer, err := d.http.Do(request)
	if err == nil {
		defer answer.Body.Close()
		result.status = answer.StatusCode
		result.body, err = io.ReadAll(answer.Body)
		if err == nil {
			result.outcome = workerapi.Outcome(answer.Header.Get(workerapi.HeaderOutcome))
		}
	}
	result.latency = time.Since(began)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls = append(d.calls, result)
	return result
}

// every calls f at a fixed rate, whether earlier calls have ended or not, and
// waits for all of them.
func every(ctx context.Context, interval time.Duration, count int, f func(i int)) {
	var all sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := 0; i < count && ctx.Err() == nil; i++ {
		all.Go(func() { f(i) })
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	all.Wait()
}

type taskDocument struct {
	Team    string          `json:"team"`
	Job     string          `json:"job"`
	Payload json.RawMessage `json:"payload,omitempty"`
}

// submit submits a task and resends it under the same key until it is accepted
// or ctx is over.
func (d *driver) submit(ctx context.Context, key string, task taskDocument) (string, error) {
	document, err := json.Marshal(task)
	if err != nil {
		return "", err
	}
	for {
		id, err := d.trySubmit(ctx, key, document)
		if err == nil {
			d.mu.Lock()
			d.tasks[key] = id
			d.mu.Unlock()
			return id, nil
		}
		select {
		case <-ctx.Done():
			return "", err
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (d *driver) trySubmit(ctx context.Context, key string, document []byte) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.gateway()+"/v1/tasks", bytes.NewReader(document))
	if err != nil {
		return "", err
	}
	request.Header.Set(workerapi.HeaderCaller, "e2e")
	request.Header.Set(workerapi.HeaderIdempotent, key)
	request.Header.Set("Content-Type", "application/json")
	answer, err := d.http.Do(request)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return "", err
	}
	if answer.StatusCode != http.StatusAccepted && answer.StatusCode != http.StatusOK {
		return "", fmt.Errorf("submit %s: status %d: %s", key, answer.StatusCode, body)
	}
	var accepted struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(body, &accepted); err != nil || accepted.ID == "" {
		return "", fmt.Errorf("submit %s: no task id in %s", key, body)
	}
	return accepted.ID, nil
}

// taskView is what GET /v1/tasks/{id} answers.
type taskView struct {
	ID        string `json:"id"`
	State     string `json:"state"`
	Evictions int    `json:"evictions"`
	Reason    string `json:"reason"`
}

// await returns the task once it has ended, or its last state when ctx is over.
func (d *driver) await(ctx context.Context, id string) (taskView, error) {
	var last taskView
	for ctx.Err() == nil {
		view, err := d.get(ctx, id)
		if err == nil {
			last = view
			switch view.State {
			case "done", "failed", "cancelled", "rejected":
				return view, nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return last, fmt.Errorf("task %s has not ended, last state %q: %w", id, last.State, ctx.Err())
}

func (d *driver) get(ctx context.Context, id string) (taskView, error) {
	var view taskView
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.gateway()+"/v1/tasks/"+id+"?wait_ms=1000", nil)
	if err != nil {
		return view, err
	}
	answer, err := d.http.Do(request)
	if err != nil {
		return view, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return view, fmt.Errorf("get task %s: status %d", id, answer.StatusCode)
	}
	return view, json.NewDecoder(answer.Body).Decode(&view)
}
