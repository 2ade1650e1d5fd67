// Package relay carries requests to the leader of the job replicas and finds out
// which one leads.
package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"geraniumwall/transport"
)

// Paths and headers between the system's own processes.
const (
	// PathLeader answers with a View.
	PathLeader = "/v1/leader"
	// HeaderNotLeader marks an answer of a replica that does not lead and has done
	// nothing. Its value is the address of the leader, empty if unknown.
	HeaderNotLeader = "Geranium-Not-Leader"
)

const (
	// attemptTimeout bounds one attempt, so that a silent replica leaves time for
	// another one.
	attemptTimeout = 1200 * time.Millisecond
	// staleAfter is the age of the last answer of a leader from which on it is asked
	// before a request is sent: a request that was not sent has certainly not run.
	staleAfter = 700 * time.Millisecond
	// probeTimeout bounds that question.
	probeTimeout = 250 * time.Millisecond
	// retryPause is the pause between attempts while no replica leads.
	retryPause = 40 * time.Millisecond
	// askTimeout bounds a question for the leader.
	askTimeout = 500 * time.Millisecond
	maxAnswer  = 16 << 20
)

// ErrNotRun means that no replica has carried the request out, or ever will.
var ErrNotRun = errors.New("relay: no replica leads; nothing was done, send the request again later")

// ErrUnresolved means that a replica may have carried the request out.
var ErrUnresolved = errors.New("relay: the leader did not answer; the request may have been carried out, send it again")

// View is what a process knows of the replicas.
type View struct {
	// Leader is the address of the leader, empty if unknown.
	Leader string `json:"leader"`
	// Members are the addresses of all replicas.
	Members []string `json:"members"`
	// Leads is set if the answering replica leads and may answer for the system.
	Leads bool `json:"leads"`
}

// Request is a request to carry to the leader.
type Request struct {
	Method string
	// Path is the path between the system's own processes, with the query.
	Path string
	// Host is the host that the caller asked for.
	Host   string
	Header http.Header
	Body   []byte
}

// Answer is the leader's answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Relay is safe for concurrent use.
type Relay struct {
	client  *http.Client
	mu      sync.Mutex
	leader  string
	seeds   []string
	members []string
	next    int
	// contact is when a leader last answered.
	contact time.Time
}

// New returns a relay that begins with the seeds.
func New(seeds []string) *Relay {
	return &Relay{client: transport.NewClient(transport.ClientOptions{}), seeds: seeds}
}

// SetSeeds replaces the seeds.
func (r *Relay) SetSeeds(seeds []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seeds = seeds
}

// Contact returns when a leader last answered.
func (r *Relay) Contact() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.contact
}

// target returns the leader, or else one replica after the other.
func (r *Relay) target() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leader != "" {
		return r.leader
	}
	candidates := slices.Concat(r.members, r.seeds)
	if len(candidates) == 0 {
		return ""
	}
	r.next++
	return candidates[r.next%len(candidates)]
}

// suggest takes in that a replica leads, empty for unknown. former is the target
// that said so or failed.
func (r *Relay) suggest(former, leader string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case leader == former:
		r.leader = ""
	case r.leader == former || r.leader == "":
		r.leader = leader
	}
}

func (r *Relay) reached(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leader, r.contact = address, time.Now()
}

// Send carries a request to the leader and returns its answer. While none is known
// it tries again until ctx is over. Its errors wrap ErrNotRun or ErrUnresolved.
func (r *Relay) Send(ctx context.Context, q Request) (*Answer, error) {
	failure := ErrNotRun
	var last error
	for {
		address := r.target()
		if !r.confirm(ctx, address) {
			if !pause(ctx, retryPause) {
				return nil, errors.Join(failure, last)
			}
			continue
		}
		answer, err := r.attempt(ctx, address, q)
		switch {
		case err == nil && !isNotLeader(answer):
			r.reached(address)
			return answer, nil
		case err == nil:
			r.suggest(address, answer.Header.Get(HeaderNotLeader))
		default:
			r.suggest(address, "")
			last = err
			if !notSent(err) {
				failure = ErrUnresolved
			}
		}
		if !pause(ctx, retryPause) {
			return nil, errors.Join(failure, last)
		}
	}
}

// confirm reports whether the target leads, by a recent answer or by asking.
func (r *Relay) confirm(ctx context.Context, address string) bool {
	if address == "" {
		return false
	}
	r.mu.Lock()
	fresh := r.leader == address && time.Since(r.contact) < staleAfter
	r.mu.Unlock()
	if fresh {
		return true
	}
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	view, err := r.Ask(bounded, address)
	if err != nil {
		r.suggest(address, "")
		return false
	}
	r.takeIn(address, view)
	return view.Leads
}

// takeIn takes in what a replica knows.
func (r *Relay) takeIn(address string, view View) {
	if view.Leads {
		r.reached(address)
	} else {
		r.suggest(address, view.Leader)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(view.Members) > 0 {
		r.members = view.Members
	}
}

func isNotLeader(a *Answer) bool {
	_, marked := a.Header[HeaderNotLeader]
	return marked
}

// notSent reports whether a failed call certainly has not reached the server.
func notSent(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial"
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return ctx.Err() == nil
	}
}

func (r *Relay) attempt(ctx context.Context, address string, q Request) (*Answer, error) {
	bounded, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, q.Method, transport.URL(address)+q.Path, bytes.NewReader(q.Body))
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return nil, fmt.Errorf("relay to %s: %w", address, err)
	}
	return &Answer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// Ask asks a replica for its view.
func (r *Relay) Ask(ctx context.Context, address string) (View, error) {
	bounded, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := r.attempt(bounded, address, Request{Method: http.MethodGet, Path: PathLeader})
	if err != nil {
		return View{}, err
	}
	var view View
	if err := json.Unmarshal(answer.Body, &view); err != nil {
		return View{}, fmt.Errorf("view of %s: %w", address, err)
	}
	return view, nil
}

// Refresh asks the leader, or else another replica, for its view.
func (r *Relay) Refresh(ctx context.Context) {
	address := r.target()
	if address == "" {
		return
	}
	view, err := r.Ask(ctx, address)
	if err != nil {
		r.suggest(address, "")
		return
	}
	r.takeIn(address, view)
}

// Write passes an answer on.
func (a *Answer) Write(w http.ResponseWriter) {
	for _, name := range []string{"Content-Type", "Retry-After"} {
		if value := a.Header.Get(name); value != "" {
			w.Header().Set(name, value)
		}
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(a.Body)))
	w.WriteHeader(a.Status)
	w.Write(a.Body)
}
