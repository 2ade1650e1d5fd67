// Package relay forwards requests to the leader of the job replicas and tracks which
// replica leads.
package relay

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
	"slices"
	"sync"
	"time"

	"geraniumwall/transport"
)

// Paths and headers of the internal API.
const (
	// PathLeader returns a ClusterView.
	PathLeader = "/v1/leader"
	// HeaderNotLeader marks a response of a replica that is not the leader and has not
	// executed the request. Its value is the address of the leader, empty if unknown.
	HeaderNotLeader = "Geranium-Not-Leader"
)

const (
	// attemptTimeout limits one attempt, so that an unresponsive replica leaves time to
	// try another one.
	attemptTimeout = 1200 * time.Millisecond
	// leaderStaleAfter is the time since the last response of the leader after which the
	// leader is probed before a request is sent. A request that was not sent has
	// certainly not been executed.
	leaderStaleAfter = 700 * time.Millisecond
	// confirmTimeout limits that probe.
	confirmTimeout = 250 * time.Millisecond
	// retryInterval is the pause between attempts while no replica leads.
	retryInterval = 40 * time.Millisecond
	// askInterval is the time between two questions to one replica who leads. Each process asks
	// all replicas, however many requests wait.
	askInterval = 100 * time.Millisecond
	// viewTimeout limits a request for the view of a replica.
	viewTimeout      = 500 * time.Millisecond
	maxResponseBytes = 16 << 20
	// maxMembers bounds the members in a view.
	maxMembers = 64
	// maxAsked bounds the replicas that are asked at the same time who leads.
	maxAsked = 16
)

// ErrNotRun means that no replica has executed the request or will execute it later.
var ErrNotRun = errors.New("relay: no replica leads; nothing was done, send the request again later")

// ErrUnresolved means that a replica may have executed the request.
var ErrUnresolved = errors.New("relay: the leader did not answer; the request may have been carried out, send it again")

// ClusterView is the view that a replica has of the cluster.
type ClusterView struct {
	// Leader is the address of the leader, empty if unknown.
	Leader string `json:"leader"`
	// Members are the addresses of all replicas.
	Members []string `json:"members"`
	// IsLeader is set if the responding replica is the leader and can serve requests.
	IsLeader bool `json:"leads"`
	// Limits are the limits of the configuration for callers; nil if the replica doesn't lead.
	Limits *transport.Limits `json:"limits,omitempty"`
}

// Request is a request to forward to the leader.
type Request struct {
	Method string
	// Path is the path in the internal API, including the query.
	Path string
	// Host is the host in the request of the caller.
	Host   string
	Header http.Header
	Body   []byte
}

// Response is the response of the leader.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Relay forwards requests to the current leader. It is safe for concurrent use.
type Relay struct {
	client *http.Client
	mu     sync.Mutex
	leader string
	seeds  []string
	// members are the members that a leader has named last, named those that another replica
	// has named last.
	members, named []string
	// next is the place among the known replicas from which they are asked next.
	next int
	// asked is when each replica was last asked who leads. asking has those that have not
	// answered yet.
	asked  map[string]time.Time
	asking map[string]bool
	// found is closed once a leader is found, and then replaced.
	found chan struct{}
	// lastContact is the time of the last response of a leader.
	lastContact time.Time
	// limits are those that a leader has named last.
	limits transport.Limits
}

// Limits returns the limits for callers that a leader has named last.
func (r *Relay) Limits() transport.Limits {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limits
}

// New returns a relay that looks for the leader at the seeds. Its connections count in pool,
// which may be nil.
func New(seeds []string, pool *transport.Pool) *Relay {
	return &Relay{
		client: transport.NewClient(transport.ClientOptions{Pool: pool}), seeds: seeds,
		asked: map[string]time.Time{}, asking: map[string]bool{}, found: make(chan struct{}),
	}
}

// SetSeeds replaces the seeds.
func (r *Relay) SetSeeds(seeds []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seeds = seeds
}

// LastContact returns the time of the last response of a leader.
func (r *Relay) LastContact() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastContact
}

// presumedLeader returns the leader, empty if it is unknown.
func (r *Relay) presumedLeader() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader
}

// awaitLeader asks the known replicas who leads and waits for a leader, at most for
// retryInterval. Replicas that don't answer delay no others. It returns false if ctx is done.
func (r *Relay) awaitLeader(ctx context.Context) bool {
	r.mu.Lock()
	found := r.found
	known := r.known()
	r.next++
	r.mu.Unlock()
	for _, address := range known {
		r.ask(address)
	}
	t := time.NewTimer(retryInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-found:
	case <-t.C:
	}
	return ctx.Err() == nil
}

// known returns the addresses of all known replicas, each time from another one on. Members
// that a replica has named wrongly must not keep the others from being asked.
func (r *Relay) known() []string {
	var known []string
	for _, list := range [][]string{r.seeds, r.members, r.named} {
		for _, address := range list {
			if address != "" && !slices.Contains(known, address) {
				known = append(known, address)
			}
		}
	}
	if len(known) == 0 {
		return nil
	}
	first := r.next % len(known)
	return slices.Concat(known[first:], known[:first])
}

// ask asks a replica for its view, unless it was asked within askInterval or has not answered
// yet. It does not wait for the answer.
func (r *Relay) ask(address string) {
	if !r.startAsking(address) {
		return
	}
	go func() {
		defer r.endAsking(address)
		ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		defer cancel()
		view, err := r.FetchView(ctx, address)
		if err != nil {
			return
		}
		r.recordView(address, view)
		if !view.IsLeader && view.Leader != "" {
			r.ask(view.Leader)
		}
	}()
}

func (r *Relay) startAsking(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(r.asked, func(_ string, at time.Time) bool { return now.Sub(at) >= askInterval })
	if _, recent := r.asked[address]; recent || r.asking[address] || len(r.asking) >= maxAsked {
		return false
	}
	r.asked[address], r.asking[address] = now, true
	return true
}

func (r *Relay) endAsking(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.asking, address)
}

// setLeaderHint sets the presumed leader, empty if unknown. source is the replica that
// named it or did not respond. A hint does not replace a leader other than source.
func (r *Relay) setLeaderHint(source, leader string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case leader == source:
		r.leader = ""
	case r.leader == source || r.leader == "":
		r.leader = leader
	}
	if r.leader == "" {
		// The search for the next leader begins at once.
		clear(r.asked)
	}
}

func (r *Relay) recordLeader(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leader, r.lastContact = address, time.Now()
	close(r.found)
	r.found = make(chan struct{})
}

// Send forwards a request to the leader and returns its response. It retries until ctx
// is done. Errors wrap ErrNotRun or ErrUnresolved.
func (r *Relay) Send(ctx context.Context, q Request) (*Response, error) {
	failure := ErrNotRun
	var last error
	for {
		address := r.presumedLeader()
		if address == "" && !r.awaitLeader(ctx) {
			return nil, errors.Join(failure, last)
		}
		if address == "" {
			continue
		}
		if !r.confirmLeader(ctx, address) {
			if !sleep(ctx, retryInterval) {
				return nil, errors.Join(failure, last)
			}
			continue
		}
		response, err := r.sendTo(ctx, address, q)
		switch {
		case err == nil && !isNotLeader(response):
			r.recordLeader(address)
			return response, nil
		case err == nil:
			r.setLeaderHint(address, response.Header.Get(HeaderNotLeader))
		default:
			r.setLeaderHint(address, "")
			last = err
			if !notSent(err) {
				failure = ErrUnresolved
			}
		}
		if !sleep(ctx, retryInterval) {
			return nil, errors.Join(failure, last)
		}
	}
}

// confirmLeader reports whether the replica is the leader, according to a recent
// response or else to a probe.
func (r *Relay) confirmLeader(ctx context.Context, address string) bool {
	r.mu.Lock()
	fresh := r.leader == address && time.Since(r.lastContact) < leaderStaleAfter
	r.mu.Unlock()
	if fresh {
		return true
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	view, err := r.FetchView(timeoutCtx, address)
	if err != nil {
		r.setLeaderHint(address, "")
		return false
	}
	r.applyView(address, view)
	return view.IsLeader
}

// applyView updates the leader and the members from the view of the presumed leader.
func (r *Relay) applyView(address string, view ClusterView) {
	if !view.IsLeader {
		r.setLeaderHint(address, view.Leader)
	}
	r.recordView(address, view)
}

// recordView updates the leader, if the replica leads, and the members from its view.
func (r *Relay) recordView(address string, view ClusterView) {
	if view.IsLeader {
		r.recordLeader(address)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if view.IsLeader && view.Limits != nil && view.Limits.Valid() {
		r.limits = *view.Limits
	}
	if len(view.Members) == 0 || len(view.Members) > maxMembers {
		return
	}
	if view.IsLeader {
		r.members = view.Members
		return
	}
	r.named = view.Members
}

func isNotLeader(response *Response) bool {
	_, marked := response.Header[HeaderNotLeader]
	return marked
}

// notSent reports whether a failed call has certainly not reached the server.
func notSent(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return ctx.Err() == nil
	}
}

func (r *Relay) sendTo(ctx context.Context, address string, q Request) (*Response, error) {
	timeoutCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(timeoutCtx, q.Method, transport.URL(address)+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		return nil, fmt.Errorf("relay to %s: %w", address, err)
	}
	for name, values := range q.Header {
		request.Header[name] = values
	}
	request.Host = q.Host
	response, err := r.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("relay to %s: %w", address, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("relay to %s: %w", address, err)
	}
	return &Response{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// FetchView requests the view of a replica.
func (r *Relay) FetchView(ctx context.Context, address string) (ClusterView, error) {
	timeoutCtx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	response, err := r.sendTo(timeoutCtx, address, Request{Method: http.MethodGet, Path: PathLeader})
	if err != nil {
		return ClusterView{}, err
	}
	var view ClusterView
	if err := json.Unmarshal(response.Body, &view); err != nil {
		return ClusterView{}, fmt.Errorf("decode the view of %s: %w", address, err)
	}
	return view, nil
}

// Refresh updates the relay with the view of the leader, or of the other replicas if the
// leader is unknown.
func (r *Relay) Refresh(ctx context.Context) {
	address := r.presumedLeader()
	if address == "" {
		r.awaitLeader(ctx)
		return
	}
	view, err := r.FetchView(ctx, address)
	if err != nil {
		r.setLeaderHint(address, "")
		return
	}
	r.applyView(address, view)
}

// Write copies the response to w.
func (r *Response) Write(w http.ResponseWriter) {
	for _, name := range []string{"Content-Type", "Retry-After"} {
		if value := r.Header.Get(name); value != "" {
			w.Header().Set(name, value)
		}
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(r.Body)))
	w.WriteHeader(r.Status)
	w.Write(r.Body)
}
