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
	// peerQueue bounds the messages that wait for one peer; more are dropped,
	// which the log tolerates.
	peerQueue = 1024
	// stepTimeout bounds one call, so that a silent partition delays messages
	// after its end by less than an election timeout.
	stepTimeout = 400 * time.Millisecond
	// stepBatch bounds the messages in one call.
	stepBatch = 128
	// reportEvery is the interval at which a replica tells the others which
	// processes follow the configuration at it.
	reportEvery = time.Second
)

// Transport sends log messages to other replicas. Messages may be lost.
type Transport interface {
	Send(messages []raft.Message)
	// SetPeers replaces the addresses of the replicas.
	SetPeers(addresses map[uint64]string)
	Close()
}

// HTTPTransport has one goroutine for each peer, so that a silent peer delays no
// other.
type HTTPTransport struct {
	self      uint64
	client    *http.Client
	processes func() []*controlpb.ProcessStatus
	// removed is called when a peer says that this replica was removed.
	removed func()
	ctx     context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup
	mu      sync.Mutex
	peers   map[uint64]*peer
}

type peer struct {
	address string
	queue   chan raft.Message
	cancel  context.CancelFunc
	// reported is when the processes were last sent.
	reported time.Time
}

// NewHTTPTransport returns a transport of the replica self. The processes are
// reported to the peers once a second; nil reports none.
func NewHTTPTransport(
	self uint64, client *http.Client, processes func() []*controlpb.ProcessStatus, removed func(),
) *HTTPTransport {
	ctx, cancel := context.WithCancel(context.Background())
	return &HTTPTransport{
		self: self, client: client, processes: processes, removed: removed, ctx: ctx, cancel: cancel, peers: map[uint64]*peer{},
	}
}

// Send queues the messages and drops those to a peer whose queue is full.
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

// SetPeers starts and stops the goroutines of the peers.
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
		if id == t.self || t.peers[id] != nil || t.ctx.Err() != nil {
			continue
		}
		ctx, cancel := context.WithCancel(t.ctx)
		p := &peer{address: address, queue: make(chan raft.Message, peerQueue), cancel: cancel}
		t.peers[id] = p
		t.group.Add(1)
		go t.run(ctx, p)
	}
}

// Close stops sending and waits for the calls in progress.
func (t *HTTPTransport) Close() {
	t.cancel()
	t.group.Wait()
}

func (t *HTTPTransport) run(ctx context.Context, p *peer) {
	defer t.group.Done()
	stub := controlpb.NewReplicaProtobufClient(transport.URL(p.address), t.client, protocol.Client())
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-p.queue:
			t.step(ctx, stub, p, first)
		}
	}
}

// step sends one message with those that wait behind it. Errors are dropped: the
// log sends again what is not acknowledged.
func (t *HTTPTransport) step(ctx context.Context, stub controlpb.Replica, p *peer, first raft.Message) {
	request := &controlpb.StepRequest{From: t.self, Messages: [][]byte{raft.EncodeMessage(first)}}
	for len(request.Messages) < stepBatch {
		select {
		case m := <-p.queue:
			request.Messages = append(request.Messages, raft.EncodeMessage(m))
			continue
		default:
		}
		break
	}
	if t.processes != nil && time.Since(p.reported) >= reportEvery {
		p.reported = time.Now()
		request.Processes = t.processes()
	}
	bounded, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	answer, err := stub.Step(bounded, request)
	if err == nil && answer.GetRemoved() {
		t.removed()
	}
}
