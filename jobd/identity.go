package jobd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"geraniumwall/raft"
	"geraniumwall/transport"
	"geraniumwall/wal"
)

const (
	pathJoin    = "/v1/join"
	joinTimeout = 500 * time.Millisecond
	joinPause   = 150 * time.Millisecond
)

// Identity is who a replica is. It is stored before the replica takes part, and an
// id is never used again after the loss of its data.
type Identity struct {
	ReplicaID uint64 `json:"replica_id"`
	// Founder is set for the replicas that founded the log.
	Founder bool `json:"founder"`
	// Peers are the addresses of the members by id when the replica joined.
	Peers map[uint64]string `json:"peers"`
	// Retired is set once the others have removed the replica. Its data is then
	// deleted, and it joins under a new id.
	Retired bool `json:"retired"`
}

// loadIdentity returns the stored identity, or an empty one.
func loadIdentity(s *Settings) (Identity, error) {
	data, err := os.ReadFile(s.identityFile())
	if errors.Is(err, os.ErrNotExist) {
		return Identity{}, nil
	}
	if err != nil {
		return Identity{}, fmt.Errorf("read the identity: %w", err)
	}
	var i Identity
	if err := json.Unmarshal(data, &i); err != nil {
		return Identity{}, fmt.Errorf("read the identity in %s: %w; delete the data directory to join anew", s.identityFile(), err)
	}
	return i, nil
}

// save makes the identity durable.
func (i Identity) save(s *Settings) error {
	data, err := json.Marshal(i)
	if err != nil {
		return fmt.Errorf("encode the identity: %w", err)
	}
	if err := os.MkdirAll(s.DataDir, 0o755); err != nil { //nolint:gosec // other users may read it
		return fmt.Errorf("make the data directory: %w", err)
	}
	temporary := s.identityFile() + ".new"
	if err := writeSynced(temporary, data); err != nil {
		return err
	}
	if err := os.Rename(temporary, s.identityFile()); err != nil {
		return fmt.Errorf("store the identity: %w", err)
	}
	return syncDir(s.DataDir)
}

func writeSynced(path string, data []byte) (err error) {
	f, err := os.Create(path) //nolint:gosec // the path is from the settings
	if err != nil {
		return fmt.Errorf("store the identity: %w", err)
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	if _, err := f.Write(data); err != nil {
		return fmt.Errorf("store the identity: %w", err)
	}
	if err := f.Sync(); err != nil {
		return fmt.Errorf("store the identity: %w", err)
	}
	return nil
}

func syncDir(dir string) (err error) {
	d, err := os.Open(dir) //nolint:gosec // the path is from the settings
	if err != nil {
		return fmt.Errorf("sync the data directory: %w", err)
	}
	defer func() { err = errors.Join(err, d.Close()) }()
	if err := d.Sync(); err != nil {
		return fmt.Errorf("sync the data directory: %w", err)
	}
	return nil
}

// open returns the replica's identity and its log. A replica without data founds
// the log if it is a seed at the first start of the system, and joins otherwise.
func open(ctx context.Context, s *Settings, log zerolog.Logger) (Identity, *wal.Store, raft.Stored, error) {
	identity, err := loadIdentity(s)
	if err != nil {
		return identity, nil, raft.Stored{}, err
	}
	if identity.ReplicaID == 0 || identity.Retired {
		if identity, err = newIdentity(ctx, s, identity.Retired, log); err != nil {
			return identity, nil, raft.Stored{}, err
		}
	}
	options := wal.Options{Dir: s.logDir(), ReplicaID: identity.ReplicaID}
	store, stored, err := wal.Open(options)
	if errors.Is(err, wal.ErrNoIdentity) {
		if err := wal.Create(options, firstState(identity)); err != nil {
			return identity, nil, raft.Stored{}, fmt.Errorf("create the log: %w", err)
		}
		store, stored, err = wal.Open(options)
	}
	if err != nil {
		return identity, nil, raft.Stored{}, fmt.Errorf("open the log: %w", err)
	}
	return identity, store, stored, nil
}

// firstState is the empty log of a new replica. All founders begin with the same
// membership.
func firstState(i Identity) raft.Stored {
	if !i.Founder {
		return raft.Stored{}
	}
	var members []raft.Member
	for id, address := range i.Peers {
		members = append(members, raft.Member{ID: id, Address: address})
	}
	return raft.Bootstrap(members)
}

// newIdentity founds or joins. Data of a retired identity is deleted first. An
// identity is stored before the log, so a log without one never exists.
func newIdentity(ctx context.Context, s *Settings, retired bool, log zerolog.Logger) (Identity, error) {
	if err := os.RemoveAll(s.logDir()); err != nil {
		return Identity{}, fmt.Errorf("remove the data of a retired replica: %w", err)
	}
	seeds, err := PeerAddresses(s.Seeds, s.PeerListen)
	if err != nil {
		return Identity{}, err
	}
	var identity Identity
	if position := slices.Index(seeds, s.PeerListen); position >= 0 && s.FirstStart && !retired {
		identity = Identity{ReplicaID: uint64(position) + 1, Founder: true, Peers: map[uint64]string{}} //nolint:gosec // small
		for i, address := range seeds {
			identity.Peers[uint64(i)+1] = address //nolint:gosec // small
		}
		log.Info().Uint64("replica", identity.ReplicaID).Strs("founders", seeds).Msg("log is founded")
	} else if identity, err = join(ctx, s, seeds, log); err != nil {
		return identity, err
	}
	return identity, identity.save(s)
}

// joinAnswer admits a replica.
type joinAnswer struct {
	ReplicaID uint64            `json:"replica_id"`
	Members   map[uint64]string `json:"members"`
	// Leader is the address to ask instead if ReplicaID is 0.
	Leader string `json:"leader"`
}

type joinRequest struct {
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// Nonce makes a repeated request the same one.
	Nonce string `json:"nonce"`
}

// join asks the replicas for admission until the leader grants it.
func join(ctx context.Context, s *Settings, seeds []string, log zerolog.Logger) (Identity, error) {
	client := transport.NewClient(transport.ClientOptions{Timeout: joinTimeout})
	request := joinRequest{s.PeerListen, s.Domain, strconv.FormatInt(time.Now().UnixNano(), 36)}
	candidates := slices.DeleteFunc(slices.Clone(seeds), func(a string) bool { return a == s.PeerListen })
	log.Info().Strs("seeds", candidates).Msg("asking to join the log")
	for i := 0; ; i++ {
		if len(candidates) > 0 {
			answer, err := askToJoin(ctx, client, candidates[i%len(candidates)], request)
			switch {
			case err != nil:
				log.Debug().Err(err).Msg("replica did not admit")
			case answer.ReplicaID != 0:
				log.Info().Uint64("replica", answer.ReplicaID).Msg("joined the log")
				return Identity{ReplicaID: answer.ReplicaID, Peers: answer.Members}, nil
			case answer.Leader != "" && !slices.Contains(candidates, answer.Leader):
				candidates = append(candidates, answer.Leader)
			}
		}
		select {
		case <-ctx.Done():
			return Identity{}, fmt.Errorf("join the log: %w", ctx.Err())
		case <-time.After(joinPause):
		}
	}
}

func askToJoin(ctx context.Context, client *http.Client, address string, q joinRequest) (joinAnswer, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return joinAnswer{}, fmt.Errorf("encode the request to join: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, transport.URL(address)+pathJoin, bytes.NewReader(body))
	if err != nil {
		return joinAnswer{}, fmt.Errorf("ask %s to join: %w", address, err)
	}
	response, err := client.Do(request)
	if err != nil {
		return joinAnswer{}, fmt.Errorf("ask %s to join: %w", address, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return joinAnswer{}, fmt.Errorf("ask %s to join: %w", address, err)
	}
	var answer joinAnswer
	if err := json.Unmarshal(data, &answer); err != nil {
		return joinAnswer{}, fmt.Errorf("ask %s to join: %w", address, err)
	}
	return answer, nil
}

// admit serves a request to join.
func (m *manager) admit(q joinRequest) joinAnswer {
	members := map[uint64]string{}
	status := m.replica.Status()
	for _, member := range status.Membership.Members {
		members[member.ID] = member.Address
	}
	answer := joinAnswer{Members: members, Leader: m.replica.LeaderAddress()}
	if id := m.joins[q.Nonce]; id != 0 {
		// Before the change is committed another leader may give the id to another
		// replica.
		if _, member := status.Committed.Find(id); member {
			answer.ReplicaID = id
			answer.Members[id] = q.Address
		}
		if _, member := status.Membership.Find(id); member {
			return answer
		}
	}
	if m.dispatcher == nil {
		return answer
	}
	id, err := m.replica.Join(q.Address, q.Domain)
	if err != nil {
		m.log.Info().Err(err).Str("address", q.Address).Msg("replica is not admitted yet")
		return answer
	}
	m.joins[q.Nonce] = id
	return answer
}
