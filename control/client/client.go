// Package client calls the control replicas. It finds the leader, follows its
// changes and says of every failed call whether it may have had an effect.
package client

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/twitchtv/twirp"

	"geraniumwall/rpc/controlpb"
	"geraniumwall/rpc/protocol"
	"geraniumwall/transport"
	"geraniumwall/workerapi"
)

// Meta keys of the twirp errors of the control replicas.
const (
	MetaKind    = "kind"
	MetaLeader  = "leader"
	MetaOutcome = "outcome"
	// KindNotLeader marks an answer by a replica that is not the leader.
	KindNotLeader = "not_leader"
)

const (
	// attemptTimeout bounds one attempt, so that a silent replica costs little of
	// the deadline of the call.
	attemptTimeout = time.Second
	// retryPause separates rounds over all replicas while there is no leader.
	retryPause = 50 * time.Millisecond
	// noPatience leaves only the context to end a call.
	noPatience = time.Duration(math.MaxInt64)
)

// Error is a failed call. Outcome is not_run if no replica can have recorded
// anything, otherwise unknown.
type Error struct {
	Method  string
	Outcome workerapi.Outcome
	Err     error
}

// Error names the call, its outcome and the remedy.
func (e *Error) Error() string {
	remedy := "retry later"
	if e.Outcome == workerapi.OutcomeUnknown {
		remedy = "resend with the same key to learn the outcome"
	}
	return fmt.Sprintf("control %s: outcome %s: %v; %s", e.Method, e.Outcome, e.Err, remedy)
}

// Unwrap returns the error of the last attempt.
func (e *Error) Unwrap() error { return e.Err }

// Client is safe for concurrent use.
type Client struct {
	addresses []string
	http      *http.Client
	stubs     sync.Map     // address to controlpb.Control
	leader    atomic.Value // string: address of the last known leader
	next      atomic.Uint64
	discover  func() []string
}

// New returns a client of the replicas at the addresses, each host:port.
func New(addresses []string, httpClient *http.Client) *Client {
	c := &Client{addresses: addresses, http: httpClient}
	c.leader.Store("")
	return c
}

// Discover makes the client ask the addresses that f returns when none of its own
// answers. It is called before the first call.
func (c *Client) Discover(f func() []string) { c.discover = f }

// discovered returns one address that is not among the listed ones, a different
// one at each call, or nothing.
func (c *Client) discovered() string {
	if c.discover == nil {
		return ""
	}
	unlisted := slices.DeleteFunc(slices.Clone(c.discover()), func(a string) bool { return slices.Contains(c.addresses, a) })
	if len(unlisted) == 0 {
		return ""
	}
	return unlisted[int(c.next.Add(1))%len(unlisted)]
}

// stub returns the stub of a replica. The address may be one that another replica
// named as leader: a replica that was added later is in no settings.
func (c *Client) stub(address string) controlpb.Control {
	if known, ok := c.stubs.Load(address); ok {
		return known.(controlpb.Control)
	}
	made, _ := c.stubs.LoadOrStore(address, controlpb.NewControlProtobufClient(transport.URL(address), c.http, protocol.Client()))
	return made.(controlpb.Control)
}

// Call runs f against the leader and retries on other replicas until it succeeds,
// fails for a reason that is not about the replica, or ctx is over. Every method
// of Control is idempotent under its key, so a retry is safe. extra is added to
// the time of one attempt, for calls that wait on the server.
func Call[Q, R any](
	ctx context.Context, c *Client, method string, extra time.Duration,
	f func(controlpb.Control, context.Context, Q) (R, error), request Q,
) (R, error) {
	return call(ctx, c, method, extra, noPatience, f, request)
}

// CallWithin is Call that ends after patience as long as no replica can have
// recorded anything. Once one may have, it goes on until ctx is over, since only
// another answer can resolve the outcome. Every replica is asked at least once.
func CallWithin[Q, R any](
	ctx context.Context, c *Client, method string, patience time.Duration,
	f func(controlpb.Control, context.Context, Q) (R, error), request Q,
) (R, error) {
	return call(ctx, c, method, 0, patience, f, request)
}

func call[Q, R any](
	ctx context.Context, c *Client, method string, extra, patience time.Duration,
	f func(controlpb.Control, context.Context, Q) (R, error), request Q,
) (R, error) {
	var none R
	outcome := workerapi.OutcomeNotRun
	unlisted := ""
	began := time.Now()
	for attempt := 0; ; attempt++ {
		address := c.target()
		bounded, cancel := context.WithTimeout(ctx, attemptTimeout+extra)
		traced, t := trace(bounded)
		answer, err := f(c.stub(address), traced, request)
		cancel()
		if err == nil {
			c.leader.Store(address)
			return answer, nil
		}
		if mayHaveRun(err) && !t.neverSent() {
			outcome = workerapi.OutcomeUnknown
		}
		named, again := c.learn(address, err)
		if !again {
			return none, &Error{Method: method, Outcome: outcome, Err: err}
		}
		unlisted = cmp.Or(named, unlisted)
		if attempt%len(c.addresses) == len(c.addresses)-1 {
			unlisted = cmp.Or(unlisted, c.discovered())
			c.follow(&unlisted)
			if outcome == workerapi.OutcomeNotRun && time.Since(began) >= patience {
				return none, &Error{Method: method, Outcome: outcome, Err: err}
			}
			pause(ctx, retryPause)
		}
		if ctx.Err() != nil {
			return none, &Error{Method: method, Outcome: outcome, Err: err}
		}
	}
}

// Any runs f against each replica in turn until one answers. It is for calls
// that every replica serves.
func Any[Q, R any](
	ctx context.Context, c *Client, extra time.Duration,
	f func(controlpb.Control, context.Context, Q) (R, error), request Q,
) (R, error) {
	var none R
	var last error
	for attempt := range len(c.addresses) + 1 {
		address := c.addresses[int(c.next.Add(1))%len(c.addresses)]
		if attempt == len(c.addresses) {
			if address = c.discovered(); address == "" {
				break
			}
		}
		bounded, cancel := context.WithTimeout(ctx, attemptTimeout+extra)
		answer, err := f(c.stub(address), bounded, request)
		cancel()
		if err == nil {
			return answer, nil
		}
		last = err
	}
	return none, fmt.Errorf("no control replica answered: %w", last)
}

// target returns the last known leader, or the next replica if there is none; a
// failed attempt forgets the leader.
func (c *Client) target() string {
	if hint := c.leader.Load().(string); hint != "" {
		return hint
	}
	return c.addresses[int(c.next.Add(1))%len(c.addresses)]
}

// learn updates the leader after a failed attempt and reports whether another
// attempt can help. A named leader that is not among the addresses is returned.
func (c *Client) learn(address string, err error) (unlisted string, again bool) {
	c.forget(address)
	var te twirp.Error
	if !errors.As(err, &te) {
		return "", true
	}
	switch te.Code() {
	case twirp.Unavailable, twirp.DeadlineExceeded, twirp.Internal, twirp.Canceled, twirp.BadRoute, twirp.Unknown:
	default:
		return "", false
	}
	hint := te.Meta(MetaLeader)
	switch {
	case hint == address || !isAddress(hint):
		return "", true
	case slices.Contains(c.addresses, hint):
		c.leader.Store(hint)
		return "", true
	}
	return hint, true
}

// follow makes an unlisted replica the known leader after a round in which none
// of the listed ones led. The listed addresses come first, since they are how this
// process reaches the replicas.
func (c *Client) follow(unlisted *string) {
	if *unlisted != "" && c.leader.CompareAndSwap("", *unlisted) {
		*unlisted = ""
	}
}

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

func (c *Client) forget(address string) { c.leader.CompareAndSwap(address, "") }

// mayHaveRun reports whether a failed attempt can have had an effect.
func mayHaveRun(err error) bool {
	var te twirp.Error
	if errors.As(err, &te) && te.Meta(MetaOutcome) == string(workerapi.OutcomeNotRun) {
		return false
	}
	return !refusedConnection(err)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
