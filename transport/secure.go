package transport

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
)

// Protocols that are negotiated in the handshake.
const (
	ProtocolHTTP1 = "http/1.1"
	ProtocolHTTP2 = "h2"
)

// Handshake secures a connection to a peer that must have one of the roles. It
// returns the connection itself if the keys are nil. It closes the connection on an
// error. The failure counts as one of the dial, since nothing was sent.
func (k *Keys) Handshake(ctx context.Context, conn net.Conn, protocol string, peers []Role) (net.Conn, error) {
	if k == nil {
		return conn, nil
	}
	tlsConn := tls.Client(conn, &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{protocol},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.current.Load().certificate, nil
		},
		// Peers are verified by CA and role and not by address: addresses are learned
		// at run time, and hosts are replaced daily.
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
			k.refusalLog.Warn().Stringer("peer", conn.RemoteAddr()).Err(err).Msg("no connection to the peer")
		}
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: conn.RemoteAddr(), Err: err}
	}
	return tlsConn, nil
}

// serverConfig requires certificates of clients, or accepts clients without one.
func (k *Keys) serverConfig(optional bool) *tls.Config {
	config := &tls.Config{
		MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAnyClientCert,
		// A resumed session would keep a CA in force that has been removed.
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

// reloadableTransport sends requests through a transport that is replaced when the keys
// change, so that new connections present the new certificate. Calls under way
// finish on the connections of the former one.
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

// CloseIdleConnections closes the connections without a call under way.
func (t *reloadableTransport) CloseIdleConnections() { t.current.Load().CloseIdleConnections() }
