package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"sync"
	"time"

	"geraniumwall/routing"
)

// balancer shares the routing core between the goroutines of requests. Each
// method holds the lock for one step of the core.
type balancer struct {
	mu    sync.Mutex
	table *routing.Table
	clock Clock
	// starved is called when a request found no free slot.
	starved func()
}

func newBalancer(domain string, source rand.Source, clock Clock, starved func()) *balancer {
	return &balancer{table: routing.NewTable(domain, source), clock: clock, starved: starved}
}

// shedError says that a request was not admitted.
type shedError struct {
	reason     routing.ShedReason
	retryAfter time.Duration
}

func (e *shedError) Error() string { return "not admitted: " + string(e.reason) }

// acquire waits for a slot until the request could not end in time or ctx is over.
func (b *balancer) acquire(ctx context.Context, r routing.Request) (routing.Ticket, error) {
	d := b.step(func(t *routing.Table, now time.Duration) routing.Decision { return t.Acquire(r, now) })
	if d.Kind == routing.Admitted {
		return d.Ticket, nil
	}
	b.starved()
	if d.Kind == routing.Shed {
		return verdict(d)
	}
	return b.wait(ctx, d.Waiter, r.Tag.(chan routing.Decision))
}

// tryAcquire takes a slot of a worker other than avoid if one is free now.
func (b *balancer) tryAcquire(service, avoid string) (routing.Ticket, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer endOnPanic()
	return b.table.TryAcquire(service, avoid, b.clock())
}

func (b *balancer) wait(ctx context.Context, w *routing.Waiter, decided chan routing.Decision) (routing.Ticket, error) {
	timer := time.NewTimer(w.Latest() - b.clock())
	defer timer.Stop()
	select {
	case d := <-decided:
		return verdict(d)
	case <-timer.C:
	case <-ctx.Done():
	}
	if b.cancel(w) {
		return routing.Ticket{}, &shedError{reason: routing.ShedDeadline, retryAfter: time.Second}
	}
	return verdict(<-decided)
}

func verdict(d routing.Decision) (routing.Ticket, error) {
	if d.Kind == routing.Shed {
		return routing.Ticket{}, &shedError{reason: d.Reason, retryAfter: d.RetryAfter}
	}
	return d.Ticket, nil
}

func (b *balancer) step(f func(*routing.Table, time.Duration) routing.Decision) routing.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer endOnPanic()
	return f(b.table, b.clock())
}

func (b *balancer) cancel(w *routing.Waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.Cancel(w)
}

func (b *balancer) release(t routing.Ticket, result routing.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer endOnPanic()
	deliver(b.table.Release(t, result, b.clock()))
}

// valid reports whether a request may still be sent on the ticket.
func (b *balancer) valid(t *routing.Ticket) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return t.Valid(b.clock())
}

func (b *balancer) apply(grants []routing.Grant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer endOnPanic()
	deliver(b.table.Apply(grants, b.clock()))
}

func (b *balancer) configure(services []routing.ServiceConfig, retryPercent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	defer endOnPanic()
	deliver(b.table.Configure(services, retryPercent, b.clock()))
}

func (b *balancer) count() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table.Count(b.clock())
}

func (b *balancer) retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.Retry(b.clock())
}

// read runs f on the table for reports and metrics.
func (b *balancer) read(f func(*routing.Table, time.Duration)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(b.table, b.clock())
}

// deliver hands decisions to the waiting goroutines. Every waiter has a channel
// with room for its only decision, so this never blocks.
func deliver(wakes []routing.Wake) {
	for _, w := range wakes {
		w.Waiter.Tag.(chan routing.Decision) <- w.Decision
	}
}

// endOnPanic ends the process on a broken invariant. HTTP handlers and actors
// recover panics, which would let the process continue in a wrong state.
func endOnPanic() {
	reason := recover()
	if reason == nil {
		return
	}
	text := fmt.Sprintf("%v\n%s", reason, debug.Stack())
	go func() { panic(text) }()
	select {}
}
