package control

import (
	"time"

	"geraniumwall/rpc/controlpb"
	"geraniumwall/state/statepb"
)

const (
	// bindBatch bounds the bindings in one log entry.
	bindBatch = 512
	// bindScan bounds the pending tasks that are looked at in one round.
	bindScan = 4096
	// returnPause is the time for which a task is not bound again to a domain that
	// returned it.
	returnPause = 30 * time.Second
	// recentBinding is the time after which a domain's load report includes a
	// binding.
	recentBinding = time.Second
	// queuePerWorker is the number of tasks that may wait in a domain for each of
	// its workers, so that its scheduler has a choice.
	queuePerWorker = 4
	// loadFresh is the age up to which a load report is used.
	loadFresh = 3 * time.Second
)

// target is a domain that tasks can be bound to.
type target struct {
	domain  string
	epoch   uint64
	free    *controlpb.Resources
	largest *controlpb.Resources
	waiting int64
	workers int64
}

// recent is a binding that the domain's load reports don't include yet.
type recent struct {
	at     time.Duration
	domain string
	size   *controlpb.Resources
}

// binder chooses domains for pending tasks.
type binder struct {
	recent []recent
	// returns holds, for each task, when a domain returned it.
	returns map[string]map[string]time.Duration
}

func newBinder() *binder { return &binder{returns: map[string]map[string]time.Duration{}} }

func (b *binder) returned(now time.Duration, task, domain string) {
	if b.returns[task] == nil {
		b.returns[task] = map[string]time.Duration{}
	}
	b.returns[task][domain] = now
}

// plan returns bindings for the tasks that scan yields, in its order.
func (b *binder) plan(
	now time.Duration, scan func(func(*controlpb.Task) bool), targets []*target,
) []*statepb.Binding {
	b.forget(now)
	b.charge(targets)
	var bindings []*statepb.Binding
	scanned := 0
	scan(func(t *controlpb.Task) bool {
		scanned++
		if g := b.choose(t, targets); g != nil {
			bindings = append(bindings, &statepb.Binding{Task: t.GetId(), Domain: g.domain, IfEpoch: g.epoch})
			b.recent = append(b.recent, recent{now, g.domain, t.GetSpec().GetResources()})
			g.take(t.GetSpec().GetResources())
		}
		return len(bindings) < bindBatch && scanned < bindScan
	})
	return bindings
}

// forget drops what is too old to matter.
func (b *binder) forget(now time.Duration) {
	for len(b.recent) > 0 && now-b.recent[0].at > recentBinding {
		b.recent = b.recent[1:]
	}
	for task, domains := range b.returns {
		for domain, at := range domains {
			if now-at > returnPause {
				delete(domains, domain)
			}
		}
		if len(domains) == 0 {
			delete(b.returns, task)
		}
	}
}

// charge subtracts the bindings that the load reports don't include.
func (b *binder) charge(targets []*target) {
	for _, g := range targets {
		for _, r := range b.recent {
			if r.domain == g.domain {
				g.take(r.size)
			}
		}
	}
}

// choose returns the domain for a task, or nil to leave it pending: first one
// with room, the preferred one before the freest; then a short queue. An urgent
// task is bound at once, since only its domain's scheduler can evict for it.
func (b *binder) choose(t *controlpb.Task, targets []*target) *target {
	spec := t.GetSpec()
	urgent := spec.GetPriority() == controlpb.Priority_PRIORITY_URGENT
	var best *target
	var bestRank int
	for _, g := range targets {
		if _, returned := b.returns[t.GetId()][g.domain]; returned {
			continue
		}
		rank := g.rank(spec)
		if rank == rankFull && !urgent {
			continue
		}
		if best == nil || rank < bestRank || (rank == bestRank && g.better(best)) {
			best, bestRank = g, rank
		}
	}
	return best
}

// Ranks of a domain for a task, best first.
const (
	rankPreferred = iota
	rankRoom
	rankPreferredQueue
	rankQueue
	rankFull
)

func (g *target) rank(spec *controlpb.TaskSpec) int {
	preferred := spec.GetDomain() == g.domain
	switch {
	case preferred && g.fits(spec.GetResources()):
		return rankPreferred
	case g.fits(spec.GetResources()):
		return rankRoom
	case preferred && g.queues():
		return rankPreferredQueue
	case g.queues():
		return rankQueue
	}
	return rankFull
}

func (g *target) fits(size *controlpb.Resources) bool {
	return within(size, g.free) && within(size, g.largest)
}

func (g *target) queues() bool { return g.waiting < queuePerWorker*g.workers }

// better orders domains of one rank: more free processors, then fewer waiting.
func (g *target) better(o *target) bool {
	if g.free.GetCpuMillis() != o.free.GetCpuMillis() {
		return g.free.GetCpuMillis() > o.free.GetCpuMillis()
	}
	return g.waiting < o.waiting
}

// take accounts for a binding: of the free capacity if it fits, else in the queue.
func (g *target) take(size *controlpb.Resources) {
	if !g.fits(size) {
		g.waiting++
		return
	}
	g.free = &controlpb.Resources{
		CpuMillis:    g.free.GetCpuMillis() - size.GetCpuMillis(),
		MemoryMb:     g.free.GetMemoryMb() - size.GetMemoryMb(),
		Accelerators: g.free.GetAccelerators() - size.GetAccelerators(),
	}
}

func within(size, room *controlpb.Resources) bool {
	return size.GetCpuMillis() <= room.GetCpuMillis() &&
		size.GetMemoryMb() <= room.GetMemoryMb() &&
		size.GetAccelerators() <= room.GetAccelerators()
}
