package transport

import (
	"container/list"
	"context"
	"fmt"
)

// maxLongPollShare is the part of a pool that long polls may use, so that other calls need
// not wait for their ends.
const maxLongPollShare = 0.75

// NoConnectionError says that no connection became free for a call in time, so that nothing
// of it was sent.
type NoConnectionError struct {
	Pool  string
	Limit int
	Cause error
}

// Error names the remedy.
func (e *NoConnectionError) Error() string {
	return fmt.Sprintf("all %d connections for %s are in use, nothing was sent: %v; raise the limit of open files or start more replicas",
		e.Limit, e.Pool, e.Cause)
}

// Unwrap returns the cause.
func (e *NoConnectionError) Unwrap() error { return e.Cause }

// slotRequest is a call that waits for a slot. granted is closed once it has one.
type slotRequest struct{ granted chan struct{} }

// Acquire waits until the pool has a connection for one more call, and returns a function
// that ends the call. Its error is a *NoConnectionError. Long polls leave a part of the
// pool to other calls.
func (p *Pool) Acquire(ctx context.Context, longPoll bool) (release func(), err error) {
	if p == nil {
		return func() {}, nil
	}
	release = func() { p.release(longPoll) }
	request, element := p.enqueue(longPoll)
	select {
	case <-request.granted:
		return release, nil
	default:
	}
	p.reportShortage("a call waits for a connection")
	select {
	case <-request.granted:
		return release, nil
	case <-ctx.Done():
		return nil, p.abandon(request, element, longPoll, ctx.Err())
	}
}

func queueIndex(longPoll bool) int {
	if longPoll {
		return 1
	}
	return 0
}

func (p *Pool) enqueue(longPoll bool) (*slotRequest, *list.Element) {
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	request := &slotRequest{make(chan struct{})}
	element := p.waiting[queueIndex(longPoll)].PushBack(request)
	p.grant()
	return request, element
}

// abandon ends the wait of a call.
func (p *Pool) abandon(request *slotRequest, element *list.Element, longPoll bool, cause error) error {
	p.budget.mu.Lock()
	select {
	case <-request.granted:
		p.budget.mu.Unlock()
		p.release(longPoll)
	default:
		p.waiting[queueIndex(longPoll)].Remove(element)
		p.budget.mu.Unlock()
	}
	return p.noConnection(cause)
}

func (p *Pool) release(longPoll bool) {
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	p.calls--
	if longPoll {
		p.longPolls--
	}
	p.budget.wake()
}

func (p *Pool) longPollLimit() int { return max(1, int(float64(p.limit())*maxLongPollShare)) }

// grant gives free slots to the calls that wait. budget.mu is held.
func (p *Pool) grant() {
	calls, polls := &p.waiting[0], &p.waiting[1]
	if calls.Len()+polls.Len() == 0 {
		return
	}
	for limit := p.limit(); calls.Len() > 0 && p.calls < limit; p.calls++ {
		close(calls.Remove(calls.Front()).(*slotRequest).granted)
	}
	for limit := p.longPollLimit(); polls.Len() > 0 && p.calls < p.limit() && p.longPolls < limit; p.calls++ {
		close(polls.Remove(polls.Front()).(*slotRequest).granted)
		p.longPolls++
	}
}

// LongPollShare returns the part of their time for which long polls should wait: 1 if none
// waits for a slot, else so little that those without one get it within half that time.
func (p *Pool) LongPollShare() float64 {
	if p == nil {
		return 1
	}
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	limit := p.longPollLimit()
	return float64(limit) / float64(limit+2*p.waiting[1].Len())
}
