package transport

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
)

// ALPN protocol IDs.
const (
	ProtocolHTTP1 = "http/1.1"
	ProtocolHTTP2 = "h2"
)

// Handshake performs the client side of a TLS handshake on conn and verifies that the
// peer has one of the roles in peers, or any role if peers is empty. With nil keys it
// returns conn unchanged. On an error it closes conn and returns a net.OpError with Op
// "dial", like a failed dial, because no request has been sent.
func (k *Keys) Handshake(ctx context.Context, conn net.Conn, protocol string, peers []Role) (net.Conn, error) {
	if k == nil {
		return conn, nil
	}
	tlsConn := tls.Client(conn, &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{protocol},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.current.Load().certificate, nil
		},
		// Peers are verified by CA and role, not by address: addresses are discovered at
		// run time, and hosts are replaced daily.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection verifies the chain and the role
		VerifyConnection: func(s tls.ConnectionState) error {
			_, err := verify(s.PeerCertificates, k.current.Load().caPool, peers)
			return err
		},
	})
	handshakeCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	err := tlsConn.HandshakeContext(handshakeCtx)
	if err == nil && tlsConn.ConnectionState().NegotiatedProtocol != protocol {
		err = fmt.Errorf("the peer does not speak %s; correct the address", protocol)
	}
	if err != nil {
		_ = conn.Close()
		if ctx.Err() == nil {
			k.refusalLog.Warn().Stringer("peer", conn.RemoteAddr()).Err(err).Msg("TLS handshake with the peer failed")
		}
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: conn.RemoteAddr(), Err: err}
	}
	return tlsConn, nil
}

// serverConfig returns a TLS configuration that requires client certificates, or only
// requests them if optional is set.
func (k *Keys) serverConfig(optional bool) *tls.Config {
	config := &tls.Config{
		MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAnyClientCert,
		// A resumed session would still be accepted after its CA was removed from ca_file.
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &k.current.Load().certificate, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			if optional && len(s.PeerCertificates) == 0 {
				return nil
			}
			_, err := verify(s.PeerCertificates, k.current.Load().caPool, nil)
			return err
		},
	}
	if optional {
		config.ClientAuth = tls.RequestClientCert
	}
	return config
}

// reloadableTransport delegates to an http.Transport that is rebuilt when the keys
// change, so that new connections present the new certificate. Requests in flight
// finish on the connections of the previous transport.
type reloadableTransport struct {
	build   func() *http.Transport
	current atomic.Pointer[http.Transport]
}

func newReloadableTransport(keys *Keys, build func() *http.Transport) *reloadableTransport {
	t := &reloadableTransport{build: build}
	t.current.Store(build())
	keys.OnChange(func() { t.current.Swap(t.build()).CloseIdleConnections() })
	return t
}

// RoundTrip implements http.RoundTripper.
func (t *reloadableTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return t.current.Load().RoundTrip(r)
}

// CloseIdleConnections closes the connections without requests in flight.
func (t *reloadableTransport) CloseIdleConnections() { t.current.Load().CloseIdleConnections() }
