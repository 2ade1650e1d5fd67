package schedulerd

import (
	"sync"
	"time"

	"geraniumwall/rpc/grantdelta"
	"geraniumwall/rpc/schedulerpb"
	"geraniumwall/workerapi"
	"geraniumwall/workerapi/delta"
)

// receiverKept is the silence after which the state of a worker's heartbeats is
// dropped; the worker then sends a whole one.
const receiverKept = time.Minute

// receivers restores the shortened heartbeats of all workers. A duplicate under
// the name of another worker has a state of its own.
type receivers struct {
	mu      sync.Mutex
	workers map[receiverKey]*receiver
	swept   time.Time
}

type receiverKey struct{ worker, incarnation string }

type receiver struct {
	delta.Receiver
	used time.Time
}

func newReceivers() *receivers {
	return &receivers{workers: map[receiverKey]*receiver{}, swept: time.Now()}
}

// restore returns the whole heartbeat, or false if the worker must send one.
func (r *receivers) restore(hb *workerapi.Heartbeat) (*workerapi.Heartbeat, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.sweep(now)
	key := receiverKey{hb.Worker, hb.Incarnation}
	w := r.workers[key]
	if w == nil {
		w = &receiver{}
		r.workers[key] = w
	}
	w.used = now
	return w.Restore(hb)
}

func (r *receivers) sweep(now time.Time) {
	if now.Sub(r.swept) < receiverKept {
		return
	}
	r.swept = now
	for key, w := range r.workers {
		if now.Sub(w.used) >= receiverKept {
			delete(r.workers, key)
		}
	}
}

// answers restores the shortened grant syncs of all gateways and shortens the
// answers to them.
type answers struct {
	mu sync.Mutex
	*grantdelta.Answerer
}

func newAnswers(identity string) *answers {
	return &answers{Answerer: grantdelta.NewAnswerer(identity)}
}

func (a *answers) restore(r *schedulerpb.SyncGrantsRequest) (*schedulerpb.SyncGrantsRequest, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Restore(r)
}

func (a *answers) shorten(
	now time.Duration, whole *schedulerpb.SyncGrantsRequest, answer *schedulerpb.SyncGrantsResponse,
) *schedulerpb.SyncGrantsResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Shorten(now, whole, answer)
}
