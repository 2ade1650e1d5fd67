package jobd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"geraniumwall/raft"
	"geraniumwall/replicate"
)

const (
	pathJoin = "/v1/join"
	// commitWait is how long the leader waits for a change of the membership until it answers a
	// request to join. It is less than joinTimeout, so that the answer arrives.
	commitWait = 300 * time.Millisecond
	// commitPollInterval is the interval at which the leader looks whether it is committed.
	commitPollInterval = 10 * time.Millisecond
)

// joinResponse grants or redirects a request to join.
type joinResponse struct {
	ReplicaID uint64            `json:"replica_id"`
	Members   map[uint64]string `json:"members"`
	// Leader is the address to retry at if ReplicaID is 0.
	Leader string `json:"leader"`
	// Pending is set if this replica leads and the change is not committed yet.
	Pending bool `json:"pending"`
}

type joinRequest struct {
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// Nonce identifies repetitions of the same request.
	Nonce string `json:"nonce"`
	// FirstStart is set if the whole system starts for the first time.
	FirstStart bool `json:"first_start"`
}

var errJoinAddress = errors.New("the request to join names no address of host and port; correct the listen address of the replica")

// decodeJoin reads a request to join. A member whose address can't be dialled would stay in
// the membership without ever answering.
func decodeJoin(body io.Reader) (joinRequest, error) {
	var q joinRequest
	if err := json.NewDecoder(body).Decode(&q); err != nil {
		return q, fmt.Errorf("decode the request to join: %w", err)
	}
	return q, checkPeerAddress(q.Address)
}

// checkPeerAddress returns errJoinAddress unless the address can be dialled.
func checkPeerAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" || strings.ContainsFunc(address, func(r rune) bool { return r <= ' ' || r >= 0x7f || r == '/' }) {
		return errJoinAddress
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return errJoinAddress
	}
	return nil
}

// addReplica processes a request to join. It waits up to commitWait for the change of the
// membership to be committed; the joining replica retries from then on.
func (s *Server) addReplica(ctx context.Context, q joinRequest) (joinResponse, error) {
	deadline := time.Now().Add(commitWait)
	for {
		response, err := callManager(ctx, s, func(m *manager, done func(joinResponse, error)) {
			// The change for a request that was given up could replace a later one.
			if err := ctx.Err(); err != nil {
				done(joinResponse{}, err)
				return
			}
			response, reason := m.handleJoin(q)
			if response.Pending && !time.Now().Before(deadline) {
				m.log.Info().Err(reason).Str("address", q.Address).Msg("join request not granted yet")
			}
			done(response, nil)
		})
		if err != nil || !response.Pending || !time.Now().Before(deadline) {
			return response, err
		}
		select {
		case <-ctx.Done():
			return response, ctx.Err()
		case <-time.After(commitPollInterval):
		}
	}
}

// handleJoin processes a request to join. The id is granted once its membership change is
// committed. Until then the response is pending, and the error is the reason.
func (m *manager) handleJoin(q joinRequest) (joinResponse, error) {
	response := joinResponse{Members: m.memberAddresses(), Leader: m.replica.LeaderAddress()}
	id, err := m.replica.RequestJoin(replicate.JoinRequest{Nonce: q.Nonce, Address: q.Address, Domain: q.Domain, FirstStart: q.FirstStart})
	switch {
	case err == nil:
		response.ReplicaID = id
		response.Members[id] = q.Address
	case !errors.Is(err, raft.ErrNotLeader):
		response.Pending = true
	}
	return response, err
}

// memberAddresses returns the addresses of the members by id.
func (m *manager) memberAddresses() map[uint64]string {
	members := map[uint64]string{}
	for _, member := range m.replica.Status().Membership.Members {
		members[member.ID] = member.Address
	}
	return members
}
