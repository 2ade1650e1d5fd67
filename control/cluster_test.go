package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"

	"geraniumwall/control/client"
	"geraniumwall/raft"
	"geraniumwall/workerapi"
)

// memoryDisk is a disk that survives the restarts of a replica. A frozen one
// blocks writes; a crashed one drops them.
type memoryDisk struct {
	mu      sync.Mutex
	frozen  sync.RWMutex
	crashed atomic.Bool
	stored  raft.Stored
}

var errCrashed = errors.New("crashed")

// onlyCrashes ends the test process on every failure but the crash of a disk.
func onlyCrashes(err error) {
	if !errors.Is(err, errCrashed) {
		go func() { panic(err) }()
	}
}

func (d *memoryDisk) Save(w *raft.Write) error {
	d.frozen.RLock()
	defer d.frozen.RUnlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed.Load() {
		return errCrashed
	}
	if w.Snapshot != nil {
		d.stored.Snapshot, d.stored.Entries = *w.Snapshot, nil
	}
	d.stored.HardState = w.HardState
	if len(w.Entries) > 0 {
		keep := w.Entries[0].Index - d.stored.Snapshot.Index - 1
		d.stored.Entries = append(slices.Clone(d.stored.Entries[:keep]), w.Entries...)
	}
	return nil
}

func (d *memoryDisk) SaveSnapshot(s raft.Snapshot) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.Index > d.stored.Snapshot.Index && !d.crashed.Load() {
		d.stored.Entries = slices.Clone(d.stored.Entries[s.Index-d.stored.Snapshot.Index:])
		d.stored.Snapshot = s
	}
	return nil
}

func (d *memoryDisk) Close() error { return nil }

// cluster is a set of replicas in one process with a network that loses messages.
type cluster struct {
	mu      sync.Mutex
	random  *rand.Rand
	loss    float64
	cut     map[uint64]bool
	servers map[uint64]*Server
	disks   map[uint64]*memoryDisk
	members []raft.Member
}

// port is the transport of one replica.
type port struct {
	c  *cluster
	id uint64
}

func (p port) SetPeers(map[uint64]string) {}
func (p port) Close()                     {}

func (p port) Send(messages []raft.Message) {
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	for _, m := range messages {
		to := p.c.servers[m.To]
		if to == nil || p.c.cut[p.id] || p.c.cut[m.To] || p.c.random.Float64() < p.c.loss {
			continue
		}
		to.send(&received{[]raft.Message{m}})
	}
}

func newCluster(n uint64, loss float64) *cluster {
	return newClusterIn(loss, strings.Repeat("d", int(n)))
}

// newClusterIn starts a replica in each of the domains, which are single letters.
func newClusterIn(loss float64, domains string) *cluster {
	c := &cluster{
		random: rand.New(rand.NewPCG(1, 2)), loss: loss, cut: map[uint64]bool{},
		servers: map[uint64]*Server{}, disks: map[uint64]*memoryDisk{},
	}
	for i, domain := range domains {
		c.members = append(c.members, raft.Member{ID: uint64(i + 1), Address: string(rune('a' + i)), Domain: string(domain)})
	}
	for _, m := range c.members {
		c.disks[m.ID] = &memoryDisk{stored: raft.Bootstrap(c.members)}
		c.start(m.ID)
	}
	return c
}

func (c *cluster) start(id uint64) {
	disk := c.disks[id]
	disk.mu.Lock()
	disk.crashed.Store(false)
	stored := disk.stored
	stored.Entries = slices.Clone(stored.Entries)
	disk.mu.Unlock()
	s, err := New(Options{
		Settings: Settings{ReplicaID: id}, Storage: disk, Stored: stored, Log: zerolog.Nop(),
		Transport: port{c, id}, Fatal: onlyCrashes, Seed: 7,
	})
	Expect(err).NotTo(HaveOccurred())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers[id] = s
}

// crash ends a replica and loses the write in progress.
func (c *cluster) crash(id uint64) {
	c.disks[id].crashed.Store(true)
	c.mu.Lock()
	s := c.servers[id]
	delete(c.servers, id)
	c.mu.Unlock()
	s.Stop()
}

func (c *cluster) isolate(id uint64, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[id] = cut
}

func (c *cluster) stop() {
	for _, m := range c.members {
		if c.server(m.ID) != nil {
			c.crash(m.ID)
		}
	}
}

func (c *cluster) server(id uint64) *Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers[id]
}

// leader waits for a replica that leads and is ready.
func (c *cluster) leader() *Server {
	var found *Server
	Eventually(func() bool {
		for _, m := range c.members {
			if s := c.server(m.ID); s != nil && s.view.Load().ready {
				found = s
				return true
			}
		}
		return false
	}, "10s", "10ms").Should(BeTrue())
	return found
}

// outcomeOf returns the outcome that an error states.
func outcomeOf(err error) workerapi.Outcome {
	var te twirp.Error
	if errors.As(err, &te) {
		return workerapi.Outcome(te.Meta(client.MetaOutcome))
	}
	return ""
}

func within1s() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), time.Second)
}

// kindOf returns the kind that an error states.
func kindOf(err error) string {
	var te twirp.Error
	if errors.As(err, &te) {
		return te.Meta(client.MetaKind)
	}
	return ""
}
