package control

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"

	"geraniumwall/control/client"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/rpc/protocol"
	"geraniumwall/transport"
	"geraniumwall/workerapi"
)

const (
	formTimeout = time.Second
	formPause   = 200 * time.Millisecond
	formLogging = 5 * time.Second
)

// forming serves a replica that has no data directory yet.
type forming struct {
	unready
	replica uint64
}

// Status says that the replica's log is empty.
func (f forming) Status(context.Context, *controlpb.StatusRequest) (*controlpb.StatusResponse, error) {
	return &controlpb.StatusResponse{Replica: f.replica}, nil
}

// errDiskLost keeps a replica from voting twice in one term.
var errDiskLost = errors.New("the data directory is empty, but this replica has stored part of the log before; " +
	"remove it from the membership and start it again under an id that was never used")

// errRemoved keeps removed replicas from electing each other by the first membership, in
// which they are voters.
var errRemoved = errors.New("the data directory is empty, and this replica, one of the first by its settings, was removed from the membership; " +
	"start it under an id that was never used, with the replicas that run as replicas of its settings, and add it")

// finding is what another replica tells one that starts without data.
type finding int

const (
	// findingNone: no answer, or one that decides nothing.
	findingNone finding = iota
	// findingEmpty: the other replica's log is empty.
	findingEmpty
	// findingNew: the leader says that this replica never stored anything.
	findingNew
	// findingJoined: this replica's disk was lost.
	findingJoined
	// findingRemoved: the leader says that this replica, one of the first, is no member.
	findingRemoved
)

func newStatusClient(keys *transport.Keys) *http.Client {
	return transport.NewClient(transport.ClientOptions{
		Timeout: formTimeout, Keys: keys, Peers: []transport.Role{transport.RoleControl},
	})
}

// permitFirstStart waits until it is certain that no quorum of the replicas
// remembers this one: the leader says so, or so many others have an empty log
// that every quorum includes one of them.
func permitFirstStart(ctx context.Context, s Settings, httpClient *http.Client, log zerolog.Logger) error {
	needed := len(s.Replicas) - (len(s.Replicas)/2 + 1) + 1
	var logged time.Time
	for {
		empty := 0
		for _, other := range s.Replicas {
			switch ask := inquire(ctx, httpClient, s, other); {
			case other.ID == s.ReplicaID:
			case ask == findingJoined:
				return errDiskLost
			case ask == findingRemoved:
				return errRemoved
			case ask == findingNew:
				return nil
			case ask == findingEmpty:
				empty++
			}
		}
		// Empty logs say nothing of a replica that was added later: it is added by a
		// leader, which alone can tell its first start from the loss of its disk.
		if s.initial() && (empty >= needed || len(s.Replicas) == 1) {
			return nil
		}
		if time.Since(logged) >= formLogging {
			logged = time.Now()
			log.Info().Int("answered", empty).Int("needed", needed).Msg(waitingFor(s))
		}
		if err := sleep(ctx, formPause); err != nil {
			return fmt.Errorf("first start: %w", err)
		}
	}
}

func waitingFor(s Settings) string {
	if s.initial() {
		return "first start: waiting for the other replicas; start them"
	}
	return "first start: waiting for a leader; if the replicas of the settings have been replaced, " +
		"list there those that geranium status shows"
}

func inquire(ctx context.Context, c *http.Client, s Settings, other ReplicaAddress) finding {
	self := s.ReplicaID
	if other.ID == self {
		return findingNone
	}
	status, err := askStatus(ctx, c, other.Address)
	if err != nil {
		return findingNone
	}
	if status.GetReplica() == self {
		// The other replica named this one, which has just lost its log, as leader.
		return findingNone
	}
	for _, r := range status.GetReplicas() {
		// A replica that was added later is promoted only once it has stored the log,
		// which the leader may not have recorded yet.
		if r.GetId() == self && (r.GetJoined() || r.GetVoter() && !s.initial()) {
			return findingJoined
		}
		if r.GetId() == status.GetReplica() && r.GetMatchIndex() > 0 && status.GetLeader() != status.GetReplica() {
			return findingNone
		}
	}
	if status.GetLeader() == status.GetReplica() && status.GetLeader() != 0 {
		return findingOfLeader(s, status)
	}
	if status.GetReplica() != other.ID {
		return findingNone
	}
	return findingEmpty
}

// findingOfLeader trusts a leader that has applied an entry of its term and that a
// quorum has confirmed: one that is cut off may not know that this replica joined.
func findingOfLeader(s Settings, status *controlpb.StatusResponse) finding {
	leader := replicaIn(status, status.GetReplica())
	switch {
	case !status.GetConfirmed() || !leader.GetJoined():
		return findingNone
	case s.initial() && replicaIn(status, s.ReplicaID) == nil:
		return findingRemoved
	}
	return findingNew
}

func replicaIn(status *controlpb.StatusResponse, id uint64) *controlpb.ReplicaStatus {
	for _, r := range status.GetReplicas() {
		if r.GetId() == id {
			return r
		}
	}
	return nil
}

// askStatus asks a replica, or the leader that it names.
func askStatus(ctx context.Context, c *http.Client, address string) (*controlpb.StatusResponse, error) {
	status, err := controlpb.NewControlProtobufClient(transport.URL(address), c, protocol.Client()).Status(ctx, &controlpb.StatusRequest{})
	var te twirp.Error
	if errors.As(err, &te) && te.Meta(client.MetaLeader) != "" {
		leader := transport.URL(te.Meta(client.MetaLeader))
		return controlpb.NewControlProtobufClient(leader, c, protocol.Client()).Status(ctx, &controlpb.StatusRequest{})
	}
	return status, err
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

func unreadyError() error {
	return failure(twirp.Unavailable, kindNotReady, workerapi.OutcomeNotRun,
		"this replica has no log yet; send the request to another replica")
}
