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

func (r Rules) of(path string) []Role {
	if list, ok := r[path]; ok {
		return list
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if list, ok := r[path[:end+1]]; ok {
			return list
		}
	}
	return nil
}

// peerKey is the context key of the *connection of a request.
type peerKey struct{}

// connection remembers with which keys its client was last verified.
type connection struct {
	mu       sync.Mutex
	verified *material
	identity Identity
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
		who, err := k.identify(r)
		if err == nil && !holds(rules.of(r.URL.Path), who.Role) {
			err = fmt.Errorf("%s may not call %s; use a certificate with the role that the call needs", who, r.URL.Path)
		}
		if err != nil {
			k.refused.Warn().Str("peer", r.RemoteAddr).Err(err).Msg("request refused")
			refuse(w, err)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), identityKey{}, who)))
	})
}

type identityKey struct{}

// Peer returns the identity of the client of a request that Admit has passed on. It
// returns false where the process uses no keys.
func Peer(r *http.Request) (Identity, bool) {
	who, ok := r.Context().Value(identityKey{}).(Identity)
	return who, ok
}

func (k *Keys) identify(r *http.Request) (Identity, error) {
	if r.TLS == nil {
		return verify(nil, nil, nil)
	}
	now := k.current.Load()
	chain := r.TLS.PeerCertificates
	c, ok := r.Context().Value(peerKey{}).(*connection)
	if !ok {
		return verify(chain, now.pool, nil)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.verified == now && !expired(chain) {
		return c.identity, nil
	}
	who, err := verify(chain, now.pool, nil)
	if err != nil {
		return who, err
	}
	c.verified, c.identity = now, who
	return who, nil
}

func expired(chain []*x509.Certificate) bool { return time.Now().After(chain[0].NotAfter) }

func holds(list []Role, r Role) bool {
	for _, one := range list {
		if one == r {
			return true
		}
	}
	return false
}

// refuse answers in the form of RFC 9457 and of twirp, whose clients read code, msg
// and meta.
func refuse(w http.ResponseWriter, err error) {
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
	s := NewServer(handler)
	if k == nil {
		return s
	}
	s.TLSConfig = k.serverConfig(clients == ClientsOptional)
	s.Protocols = new(http.Protocols)
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetHTTP2(true)
	s.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, peerKey{}, &connection{})
	}
	// The server reports each failed handshake with the address and the cause.
	s.ErrorLog = log.New(refusals{k}, "", 0)
	return s
}

// refusals writes the lines of an HTTP server to the log, a few each second.
type refusals struct{ keys *Keys }

// Write implements io.Writer.
func (r refusals) Write(line []byte) (int, error) {
	r.keys.refused.Warn().Msg(strings.TrimSpace(string(line)))
	return len(line), nil
}
