package transport

import (
	"context"
	"errors"
	"net/http"
	"sync"
)

// headerHTTP2 asks a server, in a request over HTTP/1.1, whether it accepts HTTP/2
// with prior knowledge. The answer repeats it.
const headerHTTP2 = "Geranium-Http2"

// learning sends the first request to a peer over HTTP/1.1 and the later ones over
// HTTP/2 if the peer accepts it. The released version 1 does not, and HTTP/2 with
// prior knowledge has no negotiation. After a failed call the peer may have been
// exchanged for one of that version, so it is asked again.
type learning struct {
	first, second http.RoundTripper
	// accepts holds the addresses of peers that accept HTTP/2.
	accepts sync.Map
}

// RoundTrip implements http.RoundTripper.
func (l *learning) RoundTrip(r *http.Request) (*http.Response, error) {
	if _, ok := l.accepts.Load(r.URL.Host); ok {
		answer, err := l.second.RoundTrip(r)
		if err != nil && !errors.Is(err, context.Canceled) {
			l.accepts.Delete(r.URL.Host)
		}
		return answer, err
	}
	asking := r.WithContext(r.Context())
	asking.Header = r.Header.Clone()
	asking.Header.Set(headerHTTP2, "?")
	answer, err := l.first.RoundTrip(asking)
	if err == nil && answer.Header.Get(headerHTTP2) != "" {
		l.accepts.Store(r.URL.Host, true)
	}
	return answer, err
}

// CloseIdleConnections closes the connections without a call under way.
func (l *learning) CloseIdleConnections() {
	for _, one := range []http.RoundTripper{l.first, l.second} {
		if c, ok := one.(interface{ CloseIdleConnections() }); ok {
			c.CloseIdleConnections()
		}
	}
}

// announce answers the question whether the server accepts HTTP/2.
func announce(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 1 && r.Header.Get(headerHTTP2) != "" {
			w.Header().Set(headerHTTP2, "yes")
		}
		next.ServeHTTP(w, r)
	})
}
