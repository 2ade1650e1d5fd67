package transport

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"
)

// room is a budget of bytes.
type room struct {
	limit int64
	used  atomic.Int64
	// waiters is the length of waiting, to be read without mu.
	waiters atomic.Int64

	mu sync.Mutex
	// waiting holds the *roomRequest that wait for bytes, the next one first.
	waiting list.List
}

// roomRequest waits for n bytes for a request that holds held already.
type roomRequest struct {
	n, held int64
	granted chan struct{}
}

// small reports whether a request may use the reserved part of a budget too.
func small(n, held int64) bool { return held+n <= smallCharge }

// take takes n bytes for a request that holds held already, and reports whether they fit.
func (r *room) take(n, held int64) bool {
	limit := r.limit
	if !small(n, held) {
		limit -= limit / reservedPart
	}
	return r.takeUpTo(limit, n)
}

// takeFirst is take for a request that has not waited. It takes nothing ahead of requests that
// wait, unless it is small.
func (r *room) takeFirst(n, held int64) bool {
	if r.waiters.Load() > 0 && !small(n, held) {
		return false
	}
	return r.take(n, held)
}

// takeUpTo takes n bytes if no more than limit are used then, and reports whether it has.
func (r *room) takeUpTo(limit, n int64) bool {
	for {
		used := r.used.Load()
		if used+n > limit {
			return false
		}
		if r.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// wait is take for a request that waits in a queue until there is room or the time is over.
// Small requests are ahead of all others.
func (r *room) wait(n, held int64, timeout time.Duration) bool {
	q := &roomRequest{n: n, held: held, granted: make(chan struct{})}
	e := r.enqueue(q)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-q.granted:
		return true
	case <-timer.C:
	}
	return !r.dequeue(e, q)
}

func (r *room) enqueue(q *roomRequest) *list.Element {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiters.Add(1)
	var e *list.Element
	if small(q.n, q.held) {
		e = r.waiting.PushFront(q)
	} else {
		e = r.waiting.PushBack(q)
	}
	// Room that came free before the request was in the queue is granted to nobody else.
	r.grant()
	return e
}

// dequeue removes a request from the queue. It returns false if the request has got its room.
func (r *room) dequeue(e *list.Element, q *roomRequest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-q.granted:
		return false
	default:
	}
	r.waiting.Remove(e)
	r.waiters.Add(-1)
	r.grant()
	return true
}

// grant gives room to the first requests of the queue while there is some. mu is held.
func (r *room) grant() {
	for e := r.waiting.Front(); e != nil; e = r.waiting.Front() {
		q := e.Value.(*roomRequest)
		if !r.take(q.n, q.held) {
			return
		}
		r.waiting.Remove(e)
		r.waiters.Add(-1)
		close(q.granted)
	}
}

// giveBack returns bytes to the room.
func (r *room) giveBack(n int64) {
	r.used.Add(-n)
	if r.waiters.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.grant()
}
