package jobd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/rs/zerolog"

	"geraniumwall/raft"
	"geraniumwall/wal"
)

// Identity identifies a replica. It is stored before the replica participates in the
// log, and an id whose data is lost is never used again.
type Identity struct {
	ReplicaID uint64 `json:"replica_id"`
	// Founder is set for the replicas that bootstrapped the log.
	Founder bool `json:"founder"`
	// Peers are the addresses of the members by id at the time when the replica joined, or
	// was found to be removed.
	Peers map[uint64]string `json:"peers"`
	// Retired is set once the replica was removed from the membership. The next start
	// deletes its data and joins under a new id.
	Retired bool `json:"retired"`
}

// loadIdentity returns the stored identity, or the zero identity if there is none.
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
		return Identity{}, fmt.Errorf("decode the identity in %s: %w; delete the data directory to join as a new replica", s.identityFile(), err)
	}
	return i, nil
}

// save stores the identity durably.
func (i Identity) save(s *Settings) error {
	data, err := json.Marshal(i)
	if err != nil {
		return fmt.Errorf("encode the identity: %w", err)
	}
	if err := os.MkdirAll(s.DataDir, 0o755); err != nil { //nolint:gosec // other users may read it
		return fmt.Errorf("create the data directory: %w", err)
	}
	tempFile := s.identityFile() + ".new"
	if err := writeSynced(tempFile, data); err != nil {
		return err
	}
	if err := os.Rename(tempFile, s.identityFile()); err != nil {
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

// openReplica returns the identity of the replica and its log. A replica without data
// bootstraps the log if it is a seed and the system starts for the first time, and joins
// the existing members otherwise. From learned come addresses of further members to ask.
func openReplica(ctx context.Context, s *Settings, learned <-chan string, log zerolog.Logger) (Identity, *wal.Store, raft.Stored, error) {
	identity, err := loadIdentity(s)
	if err != nil {
		return identity, nil, raft.Stored{}, err
	}
	if identity.ReplicaID == 0 || identity.Retired {
		if identity, err = newIdentity(ctx, s, identity, learned, log); err != nil {
			return identity, nil, raft.Stored{}, err
		}
	}
	options := wal.Options{Dir: s.logDir(), ReplicaID: identity.ReplicaID}
	store, stored, err := wal.Open(options)
	if errors.Is(err, wal.ErrNoIdentity) {
		if err := wal.Create(options, initialState(identity)); err != nil {
			return identity, nil, raft.Stored{}, fmt.Errorf("create the log: %w", err)
		}
		store, stored, err = wal.Open(options)
	}
	if err != nil {
		return identity, nil, raft.Stored{}, fmt.Errorf("open the log: %w", err)
	}
	return identity, store, stored, nil
}

// initialState returns the empty log of a new replica. All founders start with the same
// membership.
func initialState(i Identity) raft.Stored {
	if !i.Founder {
		return raft.Stored{}
	}
	var members []raft.Member
	for id, address := range i.Peers {
		members = append(members, raft.Member{ID: id, Address: address})
	}
	return raft.Bootstrap(members)
}

// newIdentity bootstraps or joins the log. Data of a retired identity is deleted first, and its
// peers are asked besides the seeds.
// The identity is stored before the log is created, so that no log exists without one.
func newIdentity(ctx context.Context, s *Settings, former Identity, learned <-chan string, log zerolog.Logger) (Identity, error) {
	if err := os.RemoveAll(s.logDir()); err != nil {
		return Identity{}, fmt.Errorf("remove the data of a retired replica: %w", err)
	}
	seeds, err := PeerAddresses(s.Seeds, s.PeerListen)
	if err != nil {
		return Identity{}, err
	}
	var identity Identity
	if index := slices.Index(seeds, s.PeerListen); index >= 0 && s.FirstStart && !former.Retired {
		identity = Identity{ReplicaID: uint64(index) + 1, Founder: true, Peers: map[uint64]string{}} //nolint:gosec // small
		for i, address := range seeds {
			identity.Peers[uint64(i)+1] = address //nolint:gosec // small
		}
		log.Info().Uint64("replica", identity.ReplicaID).Strs("founders", seeds).Msg("bootstrapping the log")
	} else if identity, err = join(ctx, s, slices.AppendSeq(seeds, maps.Values(former.Peers)), s.FirstStart && !former.Retired, learned, log); err != nil {
		return identity, err
	}
	return identity, identity.save(s)
}
