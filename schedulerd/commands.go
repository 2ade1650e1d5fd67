package schedulerd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"geraniumwall/scheduler"
	"geraniumwall/transport"
	"geraniumwall/workerapi"
)

const (
	// commandTimeout bounds one command to a worker.
	commandTimeout = time.Second
	// maxResponseBytes bounds the response of a worker.
	maxResponseBytes = 16 << 20
	// Limits of concurrent commands. Starts and stops have separate limits, so that
	// neither can delay the other.
	maxConcurrentStarts    = 256
	maxConcurrentStops     = 64
	maxConcurrentAttaches  = 128
	maxConcurrentThrottles = 32
)

// workerClient sends commands to workers and passes the results to the core.
type workerClient struct {
	ctx           context.Context
	http          *http.Client
	core          *coreRef
	metrics       *metrics
	startLimit    chan struct{}
	stopLimit     chan struct{}
	attachLimit   chan struct{}
	throttleLimit chan struct{}
}

func newWorkerClient(ctx context.Context, m *metrics, keys *transport.Keys) *workerClient {
	options := transport.ClientOptions{Keys: keys, Peers: []transport.Role{transport.RoleWorker}}
	return &workerClient{
		ctx: ctx, http: transport.NewCommandClient(options), metrics: m,
		startLimit: make(chan struct{}, maxConcurrentStarts), stopLimit: make(chan struct{}, maxConcurrentStops),
		attachLimit: make(chan struct{}, maxConcurrentAttaches), throttleLimit: make(chan struct{}, maxConcurrentThrottles),
	}
}

// runLimited runs f on a new goroutine as soon as the limit permits.
func (c *workerClient) runLimited(limit chan struct{}, f func()) {
	go func() {
		limit <- struct{}{}
		defer func() { <-limit }()
		f()
	}()
}

func (c *workerClient) attach(a scheduler.SendAttach) {
	c.runLimited(c.attachLimit, func() {
		r := scheduler.AttachResult{Target: a.Target, Body: a.Body}
		r.Failed = c.post(a.Target, workerapi.PathAttach, a.Body, &r.Answer) != nil
		c.core.send(func(now time.Duration, core *scheduler.Core) { core.AttachAnswered(now, r) })
	})
}

func (c *workerClient) start(a scheduler.SendStart) {
	c.runLimited(c.startLimit, func() {
		r := scheduler.StartResult{Target: a.Target, Ref: workerapi.TaskRef{ID: a.Body.ID, Attempt: a.Body.Attempt}}
		r.Failed = c.post(a.Target, workerapi.PathStart, a.Body, &r.Answer) != nil
		c.metrics.countStart(c.ctx, r)
		c.core.send(func(now time.Duration, core *scheduler.Core) { core.StartAnswered(now, r) })
	})
}

func (c *workerClient) stop(a scheduler.SendStop) {
	c.runLimited(c.stopLimit, func() {
		r := scheduler.StopResult{Target: a.Target, Ref: workerapi.TaskRef{ID: a.Body.ID, Attempt: a.Body.Attempt}}
		r.Failed = c.post(a.Target, workerapi.PathStop, a.Body, &r.Answer) != nil
		c.core.send(func(now time.Duration, core *scheduler.Core) { core.StopAnswered(now, r) })
	})
}

func (c *workerClient) throttle(a scheduler.SendThrottle) {
	c.runLimited(c.throttleLimit, func() {
		var result workerapi.CommandAnswer
		_ = c.post(a.Target, workerapi.PathThrottle, a.Body, &result)
	})
}

// post sends a command and decodes the response into result. After an error it is
// unknown whether the worker carried out the command.
func (c *workerClient) post(t scheduler.Target, path string, body, result any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	ctx, cancel := context.WithTimeout(c.ctx, commandTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, transport.URL(t.Address)+path, bytes.NewReader(encoded))
	if err != nil {
		return fmt.Errorf("create request to worker %s: %w", t.Worker, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("%s to worker %s: %w", path, t.Worker, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s to worker %s: status %d", path, t.Worker, response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(result); err != nil {
		return fmt.Errorf("decode response of worker %s to %s: %w", t.Worker, path, err)
	}
	return nil
}
