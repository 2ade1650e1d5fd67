package jobd

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumwall/jobd/evacuationapi"
	"geraniumwall/jobd/memberapi"
	"geraniumwall/relay"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/rpc/deliverypb"
	"geraniumwall/transport"
)

// Path prefixes of requests that other processes forward to the leader.
const (
	PathCallers = "/v1/callers"
	pathControl = "/v1/control"
)

const (
	// relayTimeout limits forwarding a request from a follower to the leader.
	relayTimeout    = 900 * time.Millisecond
	maxRelayedBytes = 16 << 20
	maxJoinBytes    = 16 << 10
	// maxLearnedStepBytes bounds the messages that a starting replica reads to learn their
	// sender. Heartbeats are far smaller.
	maxLearnedStepBytes = 1 << 20
	// learnedQueueLength bounds the addresses that wait until a joining replica takes them.
	learnedQueueLength = 16
)

// startingHandler serves all requests until the replica has opened its log.
var startingHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(relay.HeaderNotLeader, "")
	w.Header().Set("Retry-After", "1")
	http.Error(w, "this replica is starting; nothing was done, try another one", http.StatusServiceUnavailable)
})

// startingPeerHandler refuses all requests like startingHandler. Members that still know an
// earlier id of this replica send it messages of the log; it passes their addresses to learned.
func startingPeerHandler(learned chan<- string) http.Handler {
	stepPath := controlpb.ReplicaPathPrefix + "Step"
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.Path == stepPath {
			if address, found := senderAddress(http.MaxBytesReader(w, r.Body, maxLearnedStepBytes)); found {
				select {
				case learned <- address:
				default:
				}
			}
		}
		startingHandler(w, r)
	})
}

// senderAddress returns the address that a Step request names, if it can be dialled.
func senderAddress(body io.Reader) (string, bool) {
	data, err := io.ReadAll(body)
	if err != nil {
		return "", false
	}
	var q controlpb.StepRequest
	if err := proto.Unmarshal(data, &q); err != nil {
		return "", false
	}
	return q.GetAddress(), checkPeerAddress(q.GetAddress()) == nil
}

// stoppingHandler refuses requests that begin too late to be served before the end.
var stoppingHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(relay.HeaderNotLeader, "")
	w.Header().Set("Retry-After", "1")
	http.Error(w, "this replica is stopping; nothing was done, try another one", http.StatusServiceUnavailable)
})

// Handlers are the HTTP handlers that the platform adapter provides.
type Handlers struct {
	// Callers serves callers. Control serves workers and operators.
	Callers http.Handler
	Control http.Handler
	// Heartbeats serves the requests for which IsHeartbeat is true on a follower in a large
	// fleet.
	Heartbeats  http.Handler
	IsHeartbeat func(*http.Request) bool
}

// peerHandler serves the internal API.
func (s *Server) peerHandler(handlers Handlers) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(controlpb.ReplicaPathPrefix, controlpb.NewReplicaServer(s))
	mux.Handle(deliverypb.CarrierPathPrefix, deliverypb.NewCarrierServer(s.receiver))
	mux.Handle(deliverypb.LeaderPathPrefix, deliverypb.NewLeaderServer(s))
	mux.HandleFunc("GET "+relay.PathLeader, s.serveLeader)
	mux.HandleFunc("GET "+memberapi.Path, s.serveMembers)
	evacuations := s.evacuationHandler()
	mux.Handle(evacuationapi.Path, evacuations)
	mux.Handle(evacuationapi.Path+"/", evacuations)
	mux.HandleFunc("POST "+pathJoin, s.serveJoin)
	mux.Handle("POST "+pathHeartbeats, s.requireLeader(http.HandlerFunc(s.serveHeartbeats)))
	mux.Handle(PathCallers+"/", s.requireLeader(http.StripPrefix(PathCallers, handlers.Callers)))
	mux.Handle(pathControl+"/", s.requireLeader(http.StripPrefix(pathControl, handlers.Control)))
	return mux
}

// clusterView returns this replica's view of the cluster.
func (s *Server) clusterView(ctx context.Context) (relay.ClusterView, error) {
	return callManager(ctx, s, func(m *manager, done func(relay.ClusterView, error)) {
		v := relay.ClusterView{Leader: m.replica.LeaderAddress(), IsLeader: m.checkLeader() == nil}
		if c := m.store.Config(); v.IsLeader && c != nil {
			v.Limits = &transport.Limits{
				MaxHeaderBytes: c.MaxHeaderBytes, MaxBodyBytes: c.MaxBodyBytes, HeaderTimeoutMS: c.HeaderTimeoutMS, IdleTimeoutMS: c.IdleTimeoutMS,
			}
		}
		for _, member := range m.replica.Status().Membership.Members {
			v.Members = append(v.Members, member.Address)
		}
		done(v, nil)
	})
}

func (s *Server) serveLeader(w http.ResponseWriter, r *http.Request) {
	v, err := s.clusterView(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	s.writeJSON(w, v)
}

func (s *Server) serveJoin(w http.ResponseWriter, r *http.Request) {
	q, err := decodeJoin(io.LimitReader(r.Body, maxJoinBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	response, err := s.addReplica(r.Context(), q)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	s.writeJSON(w, response)
}

func (s *Server) writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		s.log.Debug().Err(err).Msg("response was not sent")
	}
}

// requireLeader passes forwarded requests to next if this replica is the leader. It
// responds with the address of the leader otherwise.
func (s *Server) requireLeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v, err := s.clusterView(r.Context())
		if err != nil || !v.IsLeader {
			w.Header().Set(relay.HeaderNotLeader, v.Leader)
			http.Error(w, errNotLeader.Text, http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// controlHandler serves workers and operators. The leader executes their requests;
// followers forward them to the leader.
func (s *Server) controlHandler(handlers Handlers) http.Handler {
	leaderRelay := relay.New(nil, s.peers)
	s.batcher.relay = leaderRelay
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v, err := s.clusterView(r.Context())
		if err == nil && v.IsLeader {
			handlers.Control.ServeHTTP(w, r)
			return
		}
		if err != nil || v.Leader == "" || v.Leader == s.settings.PeerListen {
			startingHandler.ServeHTTP(w, r)
			return
		}
		leaderRelay.SetSeeds([]string{v.Leader})
		if handlers.IsHeartbeat != nil && s.batcher.enabled() && handlers.IsHeartbeat(r) {
			handlers.Heartbeats.ServeHTTP(w, r)
			return
		}
		s.forward(w, r, leaderRelay)
	})
}

func (s *Server) forward(w http.ResponseWriter, r *http.Request, leaderRelay *relay.Relay) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRelayedBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), relayTimeout)
	defer cancel()
	q := relay.Request{Method: r.Method, Path: pathControl + r.URL.RequestURI(), Host: r.Host, Header: http.Header{}, Body: body}
	q.Header.Set("Content-Type", r.Header.Get("Content-Type"))
	response, err := leaderRelay.Send(ctx, q)
	if err != nil {
		status := http.StatusServiceUnavailable
		if errors.Is(err, relay.ErrUnresolved) {
			status = http.StatusGatewayTimeout
		} else {
			w.Header().Set("Retry-After", "1")
		}
		http.Error(w, strings.TrimSpace(err.Error()), status)
		return
	}
	response.Write(w)
}
