package replicate

import (
	"context"
	"net/http"
	"sync"
	"time"

	"geraniumwall/raft"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/rpc/protocol"
	"geraniumwall/transport"
)

const (
	// peerQueueLength bounds the messages queued for one peer. Further messages are
	// dropped, which raft tolerates.
	peerQueueLength = 1024
	// stepTimeout bounds one call. After a silent partition heals, the call that is
	// stuck in it delays further messages by at most this long, which is less than an
	// election timeout.
	stepTimeout = 400 * time.Millisecond
	// maxStepMessages is the largest number of messages in one call.
	maxStepMessages = 128
	// processReportInterval is the interval at which a replica reports to its peers
	// which processes follow the configuration through it.
	processReportInterval = time.Second
)

// Transport sends raft messages to other replicas. Messages may be lost.
type Transport interface {
	Send(messages []raft.Message)
	// SetPeers replaces the addresses of the replicas, by id.
	SetPeers(addresses map[uint64]string)
	Close()
}

// HTTPTransport sends messages by the Step RPC. It runs one goroutine per peer, so
// that an unresponsive peer does not delay the others.
type HTTPTransport struct {
	selfID    uint64
	address   string
	client    *http.Client
	processes func() []*controlpb.ProcessStatus
	// onRemoved is called when a peer responds that this replica was removed.
	onRemoved func()
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	mu        sync.Mutex
	peers     map[uint64]*peer
}

type peer struct {
	address string
	queue   chan raft.Message
	cancel  context.CancelFunc
	// lastReported is when the process statuses were last sent.
	lastReported time.Time
}

// NewHTTPTransport returns the transport of the replica selfID. Peers that join learn the
// address from its messages; it is empty if it takes no requests to join. The result of
// processes is reported to each peer at most once a second; nil reports nothing.
func NewHTTPTransport(
	selfID uint64, address string, client *http.Client, processes func() []*controlpb.ProcessStatus, onRemoved func(),
) *HTTPTransport {
	ctx, cancel := context.WithCancel(context.Background())
	return &HTTPTransport{
		selfID: selfID, address: address, client: client, processes: processes, onRemoved: onRemoved, ctx: ctx, cancel: cancel,
		peers: map[uint64]*peer{},
	}
}

// Send queues the messages. It drops messages to unknown peers and to peers whose
// queue is full.
func (t *HTTPTransport) Send(messages []raft.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range messages {
		p := t.peers[m.To]
		if p == nil {
			continue
		}
		select {
		case p.queue <- m:
		default:
		}
	}
}

// SetPeers stops the goroutines of peers that were removed or have a new address,
// and starts one for each new address.
func (t *HTTPTransport) SetPeers(addresses map[uint64]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, p := range t.peers {
		if addresses[id] != p.address {
			p.cancel()
			delete(t.peers, id)
		}
	}
	for id, address := range addresses {
		if id == t.selfID || t.peers[id] != nil || t.ctx.Err() != nil {
			continue
		}
		ctx, cancel := context.WithCancel(t.ctx)
		p := &peer{address: address, queue: make(chan raft.Message, peerQueueLength), cancel: cancel}
		t.peers[id] = p
		t.wg.Add(1)
		go t.runPeer(ctx, p)
	}
}

// Close cancels the calls in progress and waits for the goroutines to exit.
func (t *HTTPTransport) Close() {
	t.cancel()
	t.wg.Wait()
}

func (t *HTTPTransport) runPeer(ctx context.Context, p *peer) {
	defer t.wg.Done()
	stub := controlpb.NewReplicaProtobufClient(transport.URL(p.address), t.client, protocol.Client())
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-p.queue:
			t.sendBatch(ctx, stub, p, first)
		}
	}
}

// sendBatch sends a message together with those queued after it in one call. Errors
// are ignored, since raft resends what is not acknowledged.
func (t *HTTPTransport) sendBatch(ctx context.Context, stub controlpb.Replica, p *peer, first raft.Message) {
	request := &controlpb.StepRequest{From: t.selfID, Address: t.address, Messages: [][]byte{raft.EncodeMessage(first)}}
	for len(request.Messages) < maxStepMessages {
		select {
		case m := <-p.queue:
			request.Messages = append(request.Messages, raft.EncodeMessage(m))
			continue
		default:
		}
		break
	}
	if t.processes != nil && time.Since(p.lastReported) >= processReportInterval {
		p.lastReported = time.Now()
		request.Processes = t.processes()
	}
	callCtx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	response, err := stub.Step(callCtx, request)
	if err == nil && response.GetRemoved() {
		t.onRemoved()
	}
}
