package raft

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Defaults of Config.
const (
	DefaultElectionTimeout     = 500 * time.Millisecond
	DefaultHeartbeatInterval   = 100 * time.Millisecond
	DefaultMaxWriteTime        = time.Second
	DefaultMaxBatchBytes       = 256 << 10
	DefaultMaxInflightMessages = 32
	DefaultMaxInflightBytes    = 4 << 20
	DefaultMaxUncommittedBytes = 32 << 20
	DefaultSnapshotChunkBytes  = 256 << 10
	DefaultMaxSnapshotBytes    = 1 << 30
	DefaultRetainedEntries     = 4096
	DefaultPromotionLag        = 256
)

// Config is the configuration of a Node. A zero limit stands for its default.
type Config struct {
	// ID is this replica's id, not 0, never reused after the loss of a disk.
	ID uint64
	// Random varies the election timeouts. It must differ between replicas.
	Random *rand.Rand
	// ElectionTimeout is the shortest time without a leader before a replica
	// campaigns; the actual one is drawn from it up to twice its length.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between two heartbeats of a leader.
	HeartbeatInterval time.Duration
	// MaxWriteTime is the longest that a Write may take before this replica gives
	// up leadership: a leader with a stalled disk applies nothing, yet its
	// heartbeats would keep the others from replacing it.
	MaxWriteTime time.Duration
	// MaxBatchBytes bounds the entries in one message; one entry always fits.
	MaxBatchBytes int
	// MaxInflightMessages and MaxInflightBytes bound what is sent to a follower
	// ahead of its acknowledgements.
	MaxInflightMessages int
	MaxInflightBytes    int
	// MaxUncommittedBytes bounds the leader's uncommitted entries.
	MaxUncommittedBytes int
	// SnapshotChunkBytes is the size of the data in one snapshot message.
	SnapshotChunkBytes int
	// MaxSnapshotBytes bounds a snapshot that a replica accepts.
	MaxSnapshotBytes uint64
	// RetainedEntries are kept in memory below a snapshot for slow followers.
	RetainedEntries uint64
	// PromotionLag is the most entries that a learner may be behind when it is
	// promoted.
	PromotionLag uint64
	// LazyCommit saves the messages that only tell followers of a new commit index:
	// they learn of it with the next entries or heartbeat.
	LazyCommit bool
}

// Errors returned by Node. Each one names its remedy.
var (
	// ErrNotLeader: nothing was appended.
	ErrNotLeader = errors.New("raft: this replica is not the leader; send the request to the leader")
	// ErrTransferring: nothing was appended.
	ErrTransferring = errors.New("raft: leadership is being transferred; retry at the new leader")
	// ErrOverloaded: nothing was appended.
	ErrOverloaded = errors.New("raft: too many uncommitted bytes; retry after earlier proposals have committed")
	// ErrChangePending: nothing was appended.
	ErrChangePending = errors.New("raft: a membership change is in progress or the term's first entry is not committed yet; retry later")
	// ErrNotCaughtUp: nothing was appended.
	ErrNotCaughtUp = errors.New("raft: the learner is too far behind; retry when it has caught up")
	// ErrInvalidChange: nothing was appended.
	ErrInvalidChange = errors.New("raft: invalid membership change")
	// ErrInvalidTransfer: the target cannot become leader.
	ErrInvalidTransfer = errors.New("raft: leadership can be transferred only to another voting replica; choose one from the status")
	// ErrCompacted: the snapshot is older than the current one or not applied.
	ErrCompacted = errors.New("raft: snapshot index is not between the last snapshot and the last applied entry; take a new snapshot")
)

func orDefault[T int | uint64 | time.Duration](value *T, standard T) {
	if *value == 0 {
		*value = standard
	}
}

// withDefaults returns the configuration with defaults in place of zeros.
func (c Config) withDefaults() Config {
	orDefault(&c.ElectionTimeout, DefaultElectionTimeout)
	orDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	orDefault(&c.MaxWriteTime, DefaultMaxWriteTime)
	orDefault(&c.MaxBatchBytes, DefaultMaxBatchBytes)
	orDefault(&c.MaxInflightMessages, DefaultMaxInflightMessages)
	orDefault(&c.MaxInflightBytes, DefaultMaxInflightBytes)
	orDefault(&c.MaxUncommittedBytes, DefaultMaxUncommittedBytes)
	orDefault(&c.SnapshotChunkBytes, DefaultSnapshotChunkBytes)
	orDefault(&c.MaxSnapshotBytes, DefaultMaxSnapshotBytes)
	orDefault(&c.RetainedEntries, DefaultRetainedEntries)
	orDefault(&c.PromotionLag, DefaultPromotionLag)
	return c
}

func (c Config) check() error {
	if c.ID == 0 {
		return errors.New("raft: Config.ID is 0; give each replica its own positive id")
	}
	if c.Random == nil {
		return errors.New("raft: Config.Random is nil; pass a source seeded differently at each replica")
	}
	if c.ElectionTimeout < 2*c.HeartbeatInterval {
		return fmt.Errorf("raft: election timeout %v is shorter than two heartbeat intervals of %v; lengthen it", c.ElectionTimeout, c.HeartbeatInterval)
	}
	return nil
}
