package transport

import (
	"cmp"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bodyFactor is the memory of a body that is read into a buffer that grows by copying.
	bodyFactor = 2
	// http2RequestCharge is what net/http holds for a request on an HTTP/2 connection beside
	// its head and body, and fieldCharge what a field of its head needs beside its bytes.
	http2RequestCharge = 12 << 10
	fieldCharge        = lineCharge
	// http2BodyCharge is the most that net/http holds for the first received bytes of a body on
	// an HTTP/2 connection, however few they are: the size of its chunks.
	http2BodyCharge = 16 << 10
)

// longPast is a deadline that has expired.
var longPast = time.Unix(1, 0)

// account is what a request with a body holds.
type account struct {
	port    *Port
	room    *room
	address string
	// connection is nil for a request of HTTP/2.
	connection *Connection
	control    *http.ResponseController
	started    time.Time
	// held was taken from the room; received counts the bytes of the body, and lastAt is the
	// time of the last of them, as a duration since processStart.
	held, received, lastAt atomic.Int64
	// waiting is set while the body waits for room, or to be processed.
	waiting atomic.Bool
	// streamed is set if the bytes are passed on and not kept.
	streamed atomic.Bool

	// why is the reason of a refusal. It is read without mu, so that port.mu is never held while
	// mu is waited for.
	why atomic.Int32
	mu  sync.Mutex
	// done is set once the body is read no more.
	done bool
}

// limitBodies returns middleware that limits the bodies of requests.
func (p *Port) limitBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 1 && r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		a := &account{port: p, room: p.roomOf(r), address: r.RemoteAddr, control: http.NewResponseController(w), started: time.Now()}
		a.lastAt.Store(int64(sinceStart()))
		if r.ProtoMajor == 1 {
			a.connection = connectionOf(r)
		}
		defer a.end()
		refusing := &refusingWriter{ResponseWriter: w, account: a, http1: r.ProtoMajor == 1}
		if limit := p.maxBody(); limit > 0 && r.ContentLength > limit {
			a.giveUp(reasonLarge)
		} else if r.ProtoMajor > 1 && !a.takeHead(r) {
			a.giveUp(reasonRoom)
		}
		if a.refused() != reasonNone {
			http.Error(refusing, (&refusal{a.refused()}).Error(), a.refused().status())
			return
		}
		if r.ContentLength != 0 {
			p.begin(a)
			a.connection.beginBody(a)
			if r.ContentLength < 0 || r.ContentLength > int64(p.ReceiveBuffer()) {
				a.connection.useLargeBuffer()
			}
			r.Body = &limitedBody{ReadCloser: r.Body, account: a}
		}
		next.ServeHTTP(refusing, r)
		refusing.stopReading()
	})
}

// roomOf returns the room that a request uses.
func (p *Port) roomOf(r *http.Request) *room {
	if p.relayed != nil && strings.HasPrefix(r.URL.Path, p.RelayedPrefix) {
		return p.relayed
	}
	return p.main
}

// takeHead takes room for a request of HTTP/2 and its head.
func (a *account) takeHead(r *http.Request) bool {
	n := int64(http2RequestCharge)
	if r.ContentLength < 0 {
		n += http2BodyCharge
	} else {
		n += min(r.ContentLength, http2BodyCharge)
	}
	for name, values := range r.Header {
		for _, value := range values {
			n += headFactor*int64(len(name)+len(value)) + fieldCharge
		}
	}
	if !a.room.take(n, 0) {
		return false
	}
	a.held.Add(n)
	return true
}

// giveUp makes the reads of the body fail.
func (a *account) giveUp(why reason) {
	if a.markRefused(why) {
		a.port.refuse(why, a.address)
	}
}

// markRefused ends the reads of a body that is still being read. mu is released before the
// refusal is logged, since the log line takes port.mu for the bodies in progress.
func (a *account) markRefused(why reason) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done || a.refused() != reasonNone {
		return false
	}
	a.why.Store(int32(why))
	_ = a.control.SetReadDeadline(longPast)
	return true
}

func (a *account) refused() reason { return reason(a.why.Load()) }

// complete notes that the body was read whole or is read no more.
func (a *account) complete() {
	a.connection.endBody()
	a.port.mu.Lock()
	delete(a.port.bodies, a)
	a.port.mu.Unlock()
	a.mu.Lock()
	a.done = true
	a.mu.Unlock()
}

// end gives back all that the request holds.
func (a *account) end() {
	a.complete()
	a.room.giveBack(a.held.Swap(0))
}

// takeBody takes room for n bytes of the body and waits a little for it.
func (a *account) takeBody(n int64) reason {
	n *= bodyFactor
	if a.streamed.Load() {
		a.room.giveBack(a.held.Swap(0))
	}
	if !a.room.takeFirst(n, a.held.Load()) && !a.waitForRoom(n) {
		a.giveUp(reasonRoom)
		return cmp.Or(a.refused(), reasonRoom)
	}
	a.held.Add(n)
	return reasonNone
}

// waitForRoom waits a little for n bytes. The body doesn't count as stalled meanwhile.
func (a *account) waitForRoom(n int64) bool {
	a.port.abortStalled(1)
	a.beginWait()
	defer a.endWait()
	return a.room.wait(n, a.held.Load(), roomTimeout)
}

// beginWait notes that the body waits for this process.
func (a *account) beginWait() { a.waiting.Store(true) }

// endWait notes that the body waits for its client again.
func (a *account) endWait() {
	a.lastAt.Store(int64(sinceStart()))
	a.waiting.Store(false)
}

// limitedBody is the body of a request. It takes room before it reads.
type limitedBody struct {
	io.ReadCloser
	account *account
}

// maxBodyRead bounds the room that one read takes before the bytes have arrived.
const maxBodyRead = 8 << 10

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	a := b.account
	why := a.refused()
	if why == reasonNone {
		p = p[:min(len(p), maxBodyRead)]
		why = a.takeBody(int64(len(p)))
	}
	if why != reasonNone {
		return 0, &refusal{why}
	}
	n, err := b.ReadCloser.Read(p)
	a.connection.EndTurn()
	a.untake(int64(len(p) - n))
	if n > 0 {
		a.lastAt.Store(int64(sinceStart()))
	}
	received := a.received.Add(int64(n))
	if limit := a.port.maxBody(); limit > 0 && received > limit {
		a.giveUp(reasonLarge)
	}
	if why := a.refused(); why != reasonNone {
		return 0, &refusal{why}
	}
	if err != nil {
		a.complete()
	}
	return n, err
}

func (a *account) untake(n int64) {
	a.held.Add(-n * bodyFactor)
	a.room.giveBack(n * bodyFactor)
}

// PassOn notes that the bytes of a request's body are passed on as they arrive and not kept.
func PassOn(body io.Reader) {
	if b, ok := body.(*limitedBody); ok {
		b.account.streamed.Store(true)
	}
}

// refusingWriter answers a request whose body was given up with the status of the reason.
type refusingWriter struct {
	http.ResponseWriter
	account *account
	http1   bool
}

// Unwrap serves http.ResponseController.
func (w *refusingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter. An answer to a body that is passed on stands:
// the request may have been carried out.
func (w *refusingWriter) WriteHeader(status int) {
	why := w.account.refused()
	if why != reasonNone && status >= http.StatusBadRequest && !w.account.streamed.Load() {
		status = why.status()
		w.Header().Set("Retry-After", refusedRetryAfter)
		w.Header().Set("Geranium-Outcome", "not_run")
		if w.http1 {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Flush implements http.Flusher.
func (w *refusingWriter) Flush() { _ = http.NewResponseController(w.ResponseWriter).Flush() }

// stopReading bounds the time that net/http spends on the rest of a body that the handler
// has not read: none if it was given up.
func (w *refusingWriter) stopReading() {
	a := w.account
	a.mu.Lock()
	why, done := a.refused(), a.done
	a.mu.Unlock()
	switch {
	case !w.http1:
	case why != reasonNone:
		_ = a.control.SetReadDeadline(longPast)
	case !done:
		_ = a.control.SetReadDeadline(time.Now().Add(a.port.intake.settings.bodyIdleTimeout()))
	}
}
