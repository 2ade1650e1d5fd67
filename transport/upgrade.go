package transport

import (
	"context"
	"errors"
	"net/http"
	"sync"
)

// headerHTTP2 in an HTTP/1.1 request asks whether the server accepts HTTP/2 with prior
// knowledge. A server that does sets the header in its response.
const headerHTTP2 = "Geranium-Http2"

// http2Upgrader sends requests to a peer over HTTP/1.1 until a response shows that the
// peer accepts HTTP/2, and over HTTP/2 from then on. The released version 1 does not
// accept HTTP/2, and HTTP/2 with prior knowledge has no negotiation. After an HTTP/2
// request that failed and was not canceled the peer is probed again, because it may have
// been replaced by one of version 1.
type http2Upgrader struct {
	http1, http2 http.RoundTripper
	// http2Peers is the set of the addresses of peers that accept HTTP/2.
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

// CloseIdleConnections closes the connections without requests in flight.
func (u *http2Upgrader) CloseIdleConnections() {
	for _, t := range []http.RoundTripper{u.http1, u.http2} {
		if c, ok := t.(interface{ CloseIdleConnections() }); ok {
			c.CloseIdleConnections()
		}
	}
}

// advertiseHTTP2 returns middleware that confirms HTTP/2 support to HTTP/1.1 requests
// with headerHTTP2.
func advertiseHTTP2(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 1 && r.Header.Get(headerHTTP2) != "" {
			w.Header().Set(headerHTTP2, "yes")
		}
		next.ServeHTTP(w, r)
	})
}
