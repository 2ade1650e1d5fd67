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

// http2Upgrader sends the first request to a peer over HTTP/1.1 and the later ones over
// HTTP/2 if the peer accepts it. The released version 1 does not, and HTTP/2 with
// prior knowledge has no negotiation. After a failed call the peer may have been
// exchanged for one of that version, so it is asked again.
type http2Upgrader struct {
	http1, http2 http.RoundTripper
	// http2Peers holds the addresses of peers that accept HTTP/2.
	http2Peers sync.Map
}

// RoundTrip implements http.RoundTripper.
func (u *http2Upgrader) RoundTrip(r *http.Request) (*http.Response, error) {
	if _, ok := u.http2Peers.Load(r.URL.Host); ok {
		response, err := u.http2.RoundTrip(r)
		if err != nil && !errors.Is(err, context.Canceled) {
			u.http2Peers.Delete(r.URL.Host)
		}
		return response, err
	}
	probe := r.WithContext(r.Context())
	probe.Header = r.Header.Clone()
	probe.Header.Set(headerHTTP2, "?")
	response, err := u.http1.RoundTrip(probe)
	if err == nil && response.Header.Get(headerHTTP2) != "" {
		u.http2Peers.Store(r.URL.Host, true)
	}
	return response, err
}

// CloseIdleConnections closes the connections without a call under way.
func (u *http2Upgrader) CloseIdleConnections() {
	for _, t := range []http.RoundTripper{u.http1, u.http2} {
		if c, ok := t.(interface{ CloseIdleConnections() }); ok {
			c.CloseIdleConnections()
		}
	}
}

// advertiseHTTP2 answers the question whether the server accepts HTTP/2.
func advertiseHTTP2(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 1 && r.Header.Get(headerHTTP2) != "" {
			w.Header().Set(headerHTTP2, "yes")
		}
		next.ServeHTTP(w, r)
	})
}
