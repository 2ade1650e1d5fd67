package transport

import (
	"context"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Rules maps the paths of an endpoint to the roles that may call them. A key that
// ends in a slash matches every path below it, and the longest matching key applies.
// No role may call a path that matches no key.
type Rules map[string][]Role

// rolesFor returns the roles that may call path, nil if none may.
func (r Rules) rolesFor(path string) []Role {
	if roles, ok := r[path]; ok {
		return roles
	}
	for slash := strings.LastIndexByte(path, '/'); slash >= 0; slash = strings.LastIndexByte(path[:slash], '/') {
		if roles, ok := r[path[:slash+1]]; ok {
			return roles
		}
	}
	return nil
}

// connectionKey is the context key of the *clientConnection that a request came on.
type connectionKey struct{}

// clientConnection caches the result of the last verification of its client.
type clientConnection struct {
	mu           sync.Mutex
	verifiedWith *keyMaterial // nil before the first verification
	identity     Identity
}

// Admit returns middleware that passes a request to next only if the rules allow the
// role in the client's certificate to call the path. Nil keys allow every request.
// Connections stay open after a certificate expires or a CA is removed, so a request
// verifies the certificate again if it has expired or the keys have changed since the
// last verification.
func (k *Keys) Admit(rules Rules, next http.Handler) http.Handler {
	if k == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		identity, err := k.authenticate(r)
		if err == nil && !hasRole(rules.rolesFor(r.URL.Path), identity.Role) {
			err = fmt.Errorf("%s may not call %s; use a certificate with the role that the call needs", identity, r.URL.Path)
		}
		if err != nil {
			k.refusalLog.Warn().Str("peer", r.RemoteAddr).Err(err).Msg("request refused")
			writeForbidden(w, err)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), identityKey{}, identity)))
	})
}

// identityKey is the context key of the Identity of the client of a request.
type identityKey struct{}

// Peer returns the identity of the client of a request that was authorized by Admit.
// It returns false if the process uses no keys.
func Peer(r *http.Request) (Identity, bool) {
	identity, ok := r.Context().Value(identityKey{}).(Identity)
	return identity, ok
}

// authenticate returns the identity in the client's certificate. The result is cached
// on the connection while the keys are unchanged and the certificate has not expired.
func (k *Keys) authenticate(r *http.Request) (Identity, error) {
	if r.TLS == nil {
		return verify(nil, nil, nil)
	}
	current := k.current.Load()
	chain := r.TLS.PeerCertificates
	conn, ok := r.Context().Value(connectionKey{}).(*clientConnection)
	if !ok {
		return verify(chain, current.caPool, nil)
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.verifiedWith == current && !expired(chain) {
		return conn.identity, nil
	}
	identity, err := verify(chain, current.caPool, nil)
	if err != nil {
		return identity, err
	}
	conn.verifiedWith, conn.identity = current, identity
	return identity, nil
}

func expired(chain []*x509.Certificate) bool { return time.Now().After(chain[0].NotAfter) }

func hasRole(allowed []Role, role Role) bool {
	for _, a := range allowed {
		if a == role {
			return true
		}
	}
	return false
}

// writeForbidden writes a 403 response that is both an RFC 9457 problem document and a
// Twirp error, whose clients read code, msg and meta.
func writeForbidden(w http.ResponseWriter, err error) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set("Geranium-Outcome", "not_run")
	w.WriteHeader(http.StatusForbidden)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"type": "geraniumwall:forbidden", "title": "Certificate refused", "status": http.StatusForbidden,
		"detail": err.Error(), "outcome": "not_run",
		"code": "permission_denied", "msg": err.Error(), "meta": map[string]string{"outcome": "not_run"},
	})
}

// Clients selects whether a server requires client certificates.
type Clients int

const (
	// ClientsRequired fails the TLS handshake of clients without a certificate.
	ClientsRequired Clients = iota
	// ClientsOptional accepts clients without a certificate; a certificate that a
	// client presents is still verified.
	ClientsOptional
)

// NewSecureServer returns a server like NewServer that is configured for TLS. With nil
// keys it returns the same plaintext server as NewServer.
func NewSecureServer(handler http.Handler, k *Keys, clients Clients) *http.Server {
	server := NewServer(handler)
	if k == nil {
		return server
	}
	server.TLSConfig = k.serverConfig(clients == ClientsOptional)
	server.Protocols = new(http.Protocols)
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetHTTP2(true)
	server.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, &clientConnection{})
	}
	// net/http logs each failed handshake with the client's address and the cause.
	server.ErrorLog = log.New(serverErrorLog{k}, "", 0)
	return server
}

// serverErrorLog writes the error log of an http.Server to the rate-limited log of the
// keys.
type serverErrorLog struct{ keys *Keys }

// Write implements io.Writer.
func (l serverErrorLog) Write(line []byte) (int, error) {
	l.keys.refusalLog.Warn().Msg(strings.TrimSpace(string(line)))
	return len(line), nil
}
