package jobd

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"geraniumwall/relay"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/rpc/deliverypb"
)

// Paths of the requests that other processes carry to a replica.
const (
	PathCallers = "/v1/callers"
	pathControl = "/v1/control"
)

const (
	// relayWithin bounds how long a replica that does not lead carries a request.
	relayWithin = 900 * time.Millisecond
	maxRelayed  = 16 << 20
)

// starting answers while the replica has no log yet.
var starting = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(relay.HeaderNotLeader, "")
	w.Header().Set("Retry-After", "1")
	http.Error(w, "this replica is starting; nothing was done, try another one", http.StatusServiceUnavailable)
})

// Interfaces are the handlers of the platform's adapter.
type Interfaces struct {
	// Callers serves callers, Control workers and operators.
	Callers http.Handler
	Control http.Handler
}

// peerHandler serves the system's own processes.
func (s *Server) peerHandler(i Interfaces) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(controlpb.ReplicaPathPrefix, controlpb.NewReplicaServer(s))
	mux.Handle(deliverypb.CarrierPathPrefix, deliverypb.NewCarrierServer(s.receiver))
	mux.Handle(deliverypb.LeaderPathPrefix, deliverypb.NewLeaderServer(s))
	mux.HandleFunc("GET "+relay.PathLeader, s.serveLeader)
	mux.HandleFunc("POST "+pathJoin, s.serveJoin)
	mux.Handle(PathCallers+"/", s.asLeader(http.StripPrefix(PathCallers, i.Callers)))
	mux.Handle(pathControl+"/", s.asLeader(http.StripPrefix(pathControl, i.Control)))
	return mux
}

// view tells what this replica knows of the others.
func (s *Server) view(ctx context.Context) (relay.ClusterView, error) {
	return call(ctx, s, func(m *manager, done func(relay.ClusterView, error)) {
		v := relay.ClusterView{Leader: m.replica.LeaderAddress(), IsLeader: m.leads() == nil}
		for _, member := range m.replica.Status().Membership.Members {
			v.Members = append(v.Members, member.Address)
		}
		done(v, nil)
	})
}

func (s *Server) serveLeader(w http.ResponseWriter, r *http.Request) {
	v, err := s.view(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	s.writeJSON(w, v)
}

func (s *Server) serveJoin(w http.ResponseWriter, r *http.Request) {
	var q joinRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRelayed)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer, err := call(r.Context(), s, func(m *manager, done func(joinAnswer, error)) { done(m.admit(q), nil) })
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	s.writeJSON(w, answer)
}

func (s *Server) writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		s.log.Debug().Err(err).Msg("answer was not sent")
	}
}

// asLeader serves relayed requests if this replica leads, and names the leader
// otherwise.
func (s *Server) asLeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v, err := s.view(r.Context())
		if err != nil || !v.IsLeader {
			w.Header().Set(relay.HeaderNotLeader, v.Leader)
			http.Error(w, errNotLeader.Text, http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// controlHandler serves workers and operators: as the leader itself, else by
// carrying the request to the leader.
func (s *Server) controlHandler(i Interfaces) http.Handler {
	leader := relay.New(nil)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v, err := s.view(r.Context())
		if err == nil && v.IsLeader {
			i.Control.ServeHTTP(w, r)
			return
		}
		if err != nil || v.Leader == "" || v.Leader == s.settings.PeerListen {
			starting.ServeHTTP(w, r)
			return
		}
		leader.SetSeeds([]string{v.Leader})
		s.carry(w, r, leader)
	})
}

func (s *Server) carry(w http.ResponseWriter, r *http.Request, leader *relay.Relay) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRelayed))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), relayWithin)
	defer cancel()
	q := relay.Request{Method: r.Method, Path: pathControl + r.URL.RequestURI(), Host: r.Host, Header: http.Header{}, Body: body}
	q.Header.Set("Content-Type", r.Header.Get("Content-Type"))
	answer, err := leader.Send(ctx, q)
	if err != nil {
		status := http.StatusServiceUnavailable
		if errors.Is(err, relay.ErrUnresolved) {
			status = http.StatusGatewayTimeout
		}
		http.Error(w, strings.TrimSpace(err.Error()), status)
		return
	}
	answer.Write(w)
}
