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

// Rules list the roles that an endpoint admits, by path. A path that ends in a
// slash stands for all below it; the longest one that fits counts. A path that is
// not listed admits nobody.
type Rules map[string][]Role

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

// connectionKey is the context key of the *connection of a request.
type connectionKey struct{}

// clientConnection remembers with which keys its client was last verified.
type clientConnection struct {
	mu           sync.Mutex
	verifiedWith *keyMaterial
	identity     Identity
}

// Admit returns a handler that serves only requests of clients whose certificate
// has a role that the rules admit. Nil keys admit everybody. A connection outlives
// its handshake, so the certificate is verified again once it has expired or the
// keys have changed.
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

type identityKey struct{}

// Peer returns the identity of the client of a request that Admit has passed on. It
// returns false where the process uses no keys.
func Peer(r *http.Request) (Identity, bool) {
	identity, ok := r.Context().Value(identityKey{}).(Identity)
	return identity, ok
}

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

// writeForbidden answers in the form of RFC 9457 and of twirp, whose clients read code, msg
// and meta.
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

// Clients says which certificates a server demands of its clients.
type Clients int

const (
	// ClientsRequired refuses clients without a certificate in the handshake.
	ClientsRequired Clients = iota
	// ClientsOptional also accepts clients without a certificate.
	ClientsOptional
)

// NewSecureServer is NewServer with keys; nil keys make it the same.
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
	// The server reports each failed handshake with the address and the cause.
	server.ErrorLog = log.New(serverErrorLog{k}, "", 0)
	return server
}

// serverErrorLog writes the lines of an HTTP server to the log, a few each second.
type serverErrorLog struct{ keys *Keys }

// Write implements io.Writer.
func (l serverErrorLog) Write(line []byte) (int, error) {
	l.keys.refusalLog.Warn().Msg(strings.TrimSpace(string(line)))
	return len(line), nil
}
