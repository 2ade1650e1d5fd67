package schedulerd

import (
	"sync"
	"time"

	"geraniumwall/rpc/grantdelta"
	"geraniumwall/rpc/schedulerpb"
	"geraniumwall/workerapi"
	"geraniumwall/workerapi/delta"
)

// decoderIdleTimeout is the time without a heartbeat after which the decoder state of
// a worker is dropped. The worker must then send a full heartbeat.
const decoderIdleTimeout = time.Minute

// heartbeatDecoder reconstructs full heartbeats from the delta-encoded heartbeats of
// all workers. Its state is kept per incarnation, so that two processes under the same
// worker name do not share it.
type heartbeatDecoder struct {
	mu        sync.Mutex
	decoders  map[decoderKey]*workerDecoder
	lastSweep time.Time
}

type decoderKey struct{ worker, incarnation string }

type workerDecoder struct {
	delta.Receiver
	lastUsed time.Time
}

func newHeartbeatDecoder() *heartbeatDecoder {
	return &heartbeatDecoder{decoders: map[decoderKey]*workerDecoder{}, lastSweep: time.Now()}
}

// decode returns the full heartbeat, or false if the worker must send one.
func (d *heartbeatDecoder) decode(hb *workerapi.Heartbeat) (*workerapi.Heartbeat, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.dropIdle(now)
	key := decoderKey{hb.Worker, hb.Incarnation}
	w := d.decoders[key]
	if w == nil {
		w = &workerDecoder{}
		d.decoders[key] = w
	}
	w.lastUsed = now
	return w.Restore(hb)
}

func (d *heartbeatDecoder) dropIdle(now time.Time) {
	if now.Sub(d.lastSweep) < decoderIdleTimeout {
		return
	}
	d.lastSweep = now
	for key, w := range d.decoders {
		if now.Sub(w.lastUsed) >= decoderIdleTimeout {
			delete(d.decoders, key)
		}
	}
}

// grantCodec decodes the delta-encoded grant syncs of all gateways and delta-encodes
// the responses to them.
type grantCodec struct {
	mu sync.Mutex
	*grantdelta.Answerer
}

func newGrantCodec(identity string) *grantCodec {
	return &grantCodec{Answerer: grantdelta.NewAnswerer(identity)}
}

// decode returns the full sync, or false if the gateway must send one.
func (c *grantCodec) decode(r *schedulerpb.SyncGrantsRequest) (*schedulerpb.SyncGrantsRequest, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Restore(r)
}

func (c *grantCodec) encode(
	now time.Duration, full *schedulerpb.SyncGrantsRequest, response *schedulerpb.SyncGrantsResponse,
) *schedulerpb.SyncGrantsResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Shorten(now, full, response)
}
