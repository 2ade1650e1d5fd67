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
	// maxAnswerBytes bounds the answer of a worker.
	maxAnswerBytes = 16 << 20
	// Commands under way at once. Starts and stops have limits of their own, so that
	// neither can hold up the other.
	startsAtOnce   = 256
	stopsAtOnce    = 64
	attachesAtOnce = 128
	othersAtOnce   = 32
)

// commander sends commands to workers and returns their results to the owner.
type commander struct {
	ctx      context.Context
	http     *http.Client
	loop     *loop
	metrics  *metrics
	starts   chan struct{}
	stops    chan struct{}
	attaches chan struct{}
	others   chan struct{}
}

func newCommander(ctx context.Context, m *metrics, keys *transport.Keys) *commander {
	workers := transport.ClientOptions{Keys: keys, Peers: []transport.Role{transport.RoleWorker}}
	return &commander{
		ctx: ctx, http: transport.NewCommandClient(workers), metrics: m,
		starts: make(chan struct{}, startsAtOnce), stops: make(chan struct{}, stopsAtOnce),
		attaches: make(chan struct{}, attachesAtOnce), others: make(chan struct{}, othersAtOnce),
	}
}

// within runs f in the background once the limit permits it.
func (c *commander) within(limit chan struct{}, f func()) {
	go func() {
		limit <- struct{}{}
		defer func() { <-limit }()
		f()
	}()
}

func (c *commander) attach(a scheduler.SendAttach) {
	c.within(c.attaches, func() {
		r := scheduler.AttachResult{Target: a.Target, Body: a.Body}
		r.Failed = c.post(a.Target, workerapi.PathAttach, a.Body, &r.Answer) != nil
		c.loop.send(func(now time.Duration, core *scheduler.Core) { core.AttachAnswered(now, r) })
	})
}

func (c *commander) start(a scheduler.SendStart) {
	c.within(c.starts, func() {
		r := scheduler.StartResult{Target: a.Target, Ref: workerapi.TaskRef{ID: a.Body.ID, Attempt: a.Body.Attempt}}
		r.Failed = c.post(a.Target, workerapi.PathStart, a.Body, &r.Answer) != nil
		c.metrics.start(c.ctx, r)
		c.loop.send(func(now time.Duration, core *scheduler.Core) { core.StartAnswered(now, r) })
	})
}

func (c *commander) stop(a scheduler.SendStop) {
	c.within(c.stops, func() {
		r := scheduler.StopResult{Target: a.Target, Ref: workerapi.TaskRef{ID: a.Body.ID, Attempt: a.Body.Attempt}}
		r.Failed = c.post(a.Target, workerapi.PathStop, a.Body, &r.Answer) != nil
		c.loop.send(func(now time.Duration, core *scheduler.Core) { core.StopAnswered(now, r) })
	})
}

func (c *commander) throttle(a scheduler.SendThrottle) {
	c.within(c.others, func() {
		var answer workerapi.CommandAnswer
		_ = c.post(a.Target, workerapi.PathThrottle, a.Body, &answer)
	})
}

// post sends a command and decodes the answer. An error means that the outcome is
// unknown.
func (c *commander) post(t scheduler.Target, path string, body, answer any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	ctx, cancel := context.WithTimeout(c.ctx, commandTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, transport.URL(t.Address)+path, bytes.NewReader(encoded))
	if err != nil {
		return fmt.Errorf("request to worker %s: %w", t.Worker, err)
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
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(answer); err != nil {
		return fmt.Errorf("answer of worker %s to %s: %w", t.Worker, path, err)
	}
	return nil
}
