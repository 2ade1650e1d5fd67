package jobd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"geraniumwall/jobs"
	"geraniumwall/jobs/dispatch"
	"geraniumwall/relay"
)

const (
	pathHeartbeats = "/v1/heartbeats"
	// heartbeatBatchDelay is how long a follower collects heartbeats for one message. It is
	// small against the heartbeat interval of a worker and its timeout.
	heartbeatBatchDelay = 25 * time.Millisecond
	// maxBatchHeartbeats limits the heartbeats in one message, maxHeartbeatsBytes its size: a
	// heartbeat has at most 64 KiB.
	maxBatchHeartbeats = 128
	maxHeartbeatsBytes = 8 << 20
	// batchRetryInterval is how long heartbeats are forwarded one by one after the leader has
	// answered that it knows no batches, as the previous version does.
	batchRetryInterval = 10 * time.Second
)

// heartbeatMessage is a heartbeat in a batch.
type heartbeatMessage struct {
	Worker      string         `json:"worker"`
	HostPort    string         `json:"addr"`
	Service     string         `json:"service"`
	Domain      string         `json:"domain,omitempty"`
	Draining    bool           `json:"draining,omitempty"`
	RemainingMS int64          `json:"remaining_ms,omitempty"`
	ColdLeftMS  int64          `json:"cold_left_ms,omitempty"`
	Capacity    jobs.Resources `json:"capacity"`
	Labels      []string       `json:"labels,omitempty"`
	ClockMS     int64          `json:"clock_ms,omitempty"`
	StartedAtMS int64          `json:"started_at_ms,omitempty"`
	Sequence    int64          `json:"sequence"`
}

type heartbeatsRequest struct {
	Heartbeats []heartbeatMessage `json:"heartbeats"`
}

// heartbeatsResponse tells for each heartbeat whether it was taken in.
type heartbeatsResponse struct {
	Accepted []bool `json:"accepted"`
}

func encodeHeartbeat(h *dispatch.Heartbeat) heartbeatMessage {
	return heartbeatMessage{
		Worker: h.Worker, HostPort: h.HostPort, Service: h.Service, Domain: h.Domain, Draining: h.Draining, RemainingMS: h.Remaining.Milliseconds(),
		ColdLeftMS: h.ColdLeft.Milliseconds(),
		Capacity:   h.Capacity, Labels: h.Labels, ClockMS: h.ClockMS, StartedAtMS: h.StartedAtMS, Sequence: h.Sequence,
	}
}

func (m *heartbeatMessage) decode() dispatch.Heartbeat {
	return dispatch.Heartbeat{
		Worker: m.Worker, HostPort: m.HostPort, Service: m.Service, Domain: m.Domain, Draining: m.Draining,
		Remaining: time.Duration(m.RemainingMS) * time.Millisecond, ColdLeft: time.Duration(m.ColdLeftMS) * time.Millisecond, Capacity: m.Capacity, Labels: m.Labels,
		ClockMS: m.ClockMS, StartedAtMS: m.StartedAtMS, Sequence: m.Sequence,
	}
}

// heartbeatBatcher passes the heartbeats that a follower receives on to the leader in batches.
// Each costs the control thread of the leader little more than its own work then. It is safe
// for concurrent use.
type heartbeatBatcher struct {
	relay *relay.Relay
	large *atomic.Bool
	log   zerolog.Logger
	// onBatch is called with the number of heartbeats and the outcome of each batch.
	onBatch func(heartbeats int, err error)

	mu        sync.Mutex
	queue     []*queuedHeartbeat
	scheduled bool
	// unsupportedUntil is the time until which the leader counts as knowing no batches.
	unsupportedUntil time.Time
}

type queuedHeartbeat struct {
	heartbeat dispatch.Heartbeat
	result    chan error
}

// enabled reports whether heartbeats are passed on in batches.
func (b *heartbeatBatcher) enabled() bool {
	if !b.large.Load() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !time.Now().Before(b.unsupportedUntil)
}

// pass passes a heartbeat on with the next batch and waits for its result. One of a worker that
// drains is sent alone, since its answer waits for the log.
func (b *heartbeatBatcher) pass(ctx context.Context, h dispatch.Heartbeat) error {
	q := &queuedHeartbeat{h, make(chan error, 1)}
	if h.Draining {
		go b.send([]*queuedHeartbeat{q})
	} else {
		b.enqueue(q)
	}
	select {
	case err := <-q.result:
		return err
	case <-ctx.Done():
		return errUnresolved
	}
}

func (b *heartbeatBatcher) enqueue(q *queuedHeartbeat) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(b.queue, q)
	if len(b.queue) >= maxBatchHeartbeats {
		go b.send(b.queue)
		b.queue = nil
		return
	}
	if !b.scheduled {
		b.scheduled = true
		time.AfterFunc(heartbeatBatchDelay, b.flush)
	}
}

func (b *heartbeatBatcher) flush() {
	b.mu.Lock()
	batch := b.queue
	b.queue, b.scheduled = nil, false
	b.mu.Unlock()
	if len(batch) > 0 {
		b.send(batch)
	}
}

// send sends a batch to the leader and reports the results.
func (b *heartbeatBatcher) send(batch []*queuedHeartbeat) {
	accepted, err := b.exchange(batch)
	b.onBatch(len(batch), err)
	if err != nil {
		b.log.Info().Err(err).Int("heartbeats", len(batch)).Msg("heartbeats could not be passed on to the leader")
	}
	for i, q := range batch {
		switch {
		case err != nil && !errors.Is(err, relay.ErrUnresolved):
			q.result <- errNotLeader
		case err != nil || !accepted[i]:
			q.result <- errUnresolved
		default:
			q.result <- nil
		}
	}
}

func (b *heartbeatBatcher) exchange(batch []*queuedHeartbeat) ([]bool, error) {
	var request heartbeatsRequest
	for _, q := range batch {
		request.Heartbeats = append(request.Heartbeats, encodeHeartbeat(&q.heartbeat))
	}
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	response, err := b.relay.Send(ctx, relay.Request{Method: http.MethodPost, Path: pathHeartbeats, Header: http.Header{"Content-Type": {"application/json"}}, Body: body})
	if err != nil {
		return nil, err
	}
	if response.Status != http.StatusOK {
		b.mu.Lock()
		b.unsupportedUntil = time.Now().Add(batchRetryInterval)
		b.mu.Unlock()
		return nil, fmt.Errorf("the leader answered %d; heartbeats are forwarded one by one for %v", response.Status, batchRetryInterval)
	}
	var result heartbeatsResponse
	if err := json.Unmarshal(response.Body, &result); err != nil {
		return nil, err
	}
	if len(result.Accepted) != len(batch) {
		return nil, fmt.Errorf("the leader answered %d of %d heartbeats", len(result.Accepted), len(batch))
	}
	return result.Accepted, nil
}

// serveHeartbeats takes in a batch of heartbeats on the leader.
func (s *Server) serveHeartbeats(w http.ResponseWriter, r *http.Request) {
	var request heartbeatsRequest
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxHeartbeatsBytes))
	if err == nil {
		err = json.Unmarshal(data, &request)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	response, err := callManager(r.Context(), s, func(m *manager, done func(heartbeatsResponse, error)) {
		m.takeHeartbeats(request.Heartbeats, done)
	})
	if err != nil {
		w.Header().Set(relay.HeaderNotLeader, "")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	s.writeJSON(w, response)
}

// takeHeartbeats handles a batch of heartbeats. done is called once the log records those of
// workers that drain.
func (m *manager) takeHeartbeats(messages []heartbeatMessage, done func(heartbeatsResponse, error)) {
	if err := m.checkLeader(); err != nil {
		done(heartbeatsResponse{}, err)
		return
	}
	m.dispatcher.Advance(m.now(), time.Now().UnixMilli())
	response, open := heartbeatsResponse{Accepted: make([]bool, len(messages))}, len(messages)
	if open == 0 {
		done(response, nil)
		return
	}
	for i := range messages {
		h := messages[i].decode()
		m.dispatcher.HandleHeartbeat(h)
		m.dispatcher.OnDrainRecorded(h.Worker, func(ok bool) {
			response.Accepted[i] = ok
			if open--; open == 0 {
				done(response, nil)
			}
		})
	}
	m.handleEvent()
}

// batchedWorkers is the WorkerService of a follower in a large fleet.
type batchedWorkers struct{ *Server }

// BatchedWorkers returns the service that passes heartbeats on to the leader in batches. Its
// answer names this replica for later ones, so that the heartbeats of a large fleet spread
// over the replicas and each worker keeps its connection.
func (s *Server) BatchedWorkers() WorkerService { return batchedWorkers{s} }

// Heartbeat implements WorkerService.
func (b batchedWorkers) Heartbeat(ctx context.Context, h dispatch.Heartbeat) (string, error) {
	if err := b.batcher.pass(ctx, h); err != nil {
		return "", err
	}
	return b.settings.Listen, nil
}
