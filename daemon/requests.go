package daemon

import (
	"log"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// RequestInProgress is a request that a handler has not answered yet.
type RequestInProgress struct {
	Method string
	Path   string
	Remote string
	Start  time.Time
}

// requests tracks the requests in progress of a server and, in a drain, closes
// connections with the response and refuses requests that begin too late.
type requests struct {
	closing atomic.Bool
	// refusal responds in place of the handler once it is set.
	refusal atomic.Pointer[http.Handler]

	mu       sync.Mutex
	open     map[*RequestInProgress]struct{}
	last     time.Time // when the last request began
	answered int
	refused  int
}

func newRequests() *requests { return &requests{open: map[*RequestInProgress]struct{}{}} }

// track returns middleware that passes requests on to next.
func (rs *requests) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := &RequestInProgress{Method: r.Method, Path: r.URL.Path, Remote: r.RemoteAddr, Start: time.Now()}
		refusal := rs.refusal.Load()
		rs.begin(q)
		defer rs.end(q, refusal != nil)
		closer := &closingWriter{ResponseWriter: w, closing: &rs.closing}
		defer answerPanic(closer, r)
		if refusal != nil {
			(*refusal).ServeHTTP(closer, r)
		} else {
			next.ServeHTTP(closer, r)
		}
		closer.prepare()
	})
}

// answerPanic answers a request whose handler has panicked: net/http would close the
// connection without an answer.
func answerPanic(w *closingWriter, r *http.Request) {
	p := recover()
	if p == nil {
		return
	}
	if p == http.ErrAbortHandler || w.prepared { //nolint:errorlint // net/http compares it in the same way
		panic(p)
	}
	log.Printf("panic while serving %s %s: %v\n%s", r.Method, r.URL.Path, p, debug.Stack())
	w.Header().Set("Connection", "close")
	http.Error(w, "the request failed inside the process; it may have been carried out", http.StatusGatewayTimeout)
}

func (rs *requests) begin(q *RequestInProgress) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.open[q] = struct{}{}
	rs.last = q.Start
}

func (rs *requests) end(q *RequestInProgress, refused bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	delete(rs.open, q)
	if refused {
		rs.refused++
	} else {
		rs.answered++
	}
}

// beginDrain makes each response from now on close its connection and starts to count.
func (rs *requests) beginDrain() {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.answered, rs.refused = 0, 0
	rs.closing.Store(true)
}

// refuse lets refusal respond to the requests that begin from now on.
func (rs *requests) refuse(refusal http.Handler) { rs.refusal.Store(&refusal) }

// lastBegin returns when the last request began.
func (rs *requests) lastBegin() time.Time {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.last
}

func (rs *requests) inProgress() int {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return len(rs.open)
}

// counts returns the requests that have ended since beginDrain and those in progress,
// the longest first.
func (rs *requests) counts() (answered, refused int, open []RequestInProgress) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for q := range rs.open {
		open = append(open, *q)
	}
	slices.SortFunc(open, func(a, b RequestInProgress) int { return a.Start.Compare(b.Start) })
	return rs.answered, rs.refused, open
}

// closingWriter sets Connection: close on a response whose header is written in a drain,
// also if the request began before it.
type closingWriter struct {
	http.ResponseWriter
	closing  *atomic.Bool
	prepared bool
}

// Unwrap serves http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *closingWriter) prepare() {
	if w.prepared {
		return
	}
	w.prepared = true
	if w.closing.Load() {
		w.Header().Set("Connection", "close")
	}
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.prepare()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(p []byte) (int, error) {
	w.prepare()
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *closingWriter) Flush() {
	w.prepare()
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}
