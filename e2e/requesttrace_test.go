package e2e_test

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"time"
)

// closeSlack is how long after a whole request its connection may still end without an
// answer: the server can have closed it before the request arrived.
const closeSlack = 200 * time.Millisecond

// requestTrace tells when a request was sent whole and how it failed.
type requestTrace struct {
	mu    sync.Mutex
	sent  time.Time
	after time.Duration
	err   error
}

// lostRequest is a request whose connection ended without an answer.
type lostRequest struct {
	after time.Duration
	err   error
}

func (t *requestTrace) context() context.Context {
	return httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.sent = time.Time{}
			if info.Err == nil {
				t.sent = time.Now()
			}
		},
	})
}

func (t *requestTrace) failed(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.err, t.after = err, time.Since(t.sent)
}

// lost returns the request if its connection was closed with no answer, later than
// closeSlack after it was sent whole, and nil otherwise.
func (t *requestTrace) lost() *lostRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	var failure net.Error
	timedOut := errors.As(t.err, &failure) && failure.Timeout()
	if t.err == nil || timedOut || t.sent.IsZero() || t.after < closeSlack {
		return nil
	}
	return &lostRequest{after: t.after, err: t.err}
}
