// Package shares decides which queues hold less than their share of a fleet. It does no
// I/O and reads no clock: its inputs are the capacity and what each queue holds.
//
// The capacity is divided among the workspaces with work by weight, and the share of a
// workspace among its queues with work. A queue is measured by its dominant resource, the
// one of which it holds the largest part, so that a queue that fills the memory counts as
// much as one that fills the CPU. A queue without work has no share: the others borrow
// what it leaves idle. A borrower returns capacity as its tasks end, since queues below
// their share go first.
//
// The package handles the load of callers who together ask for more than the fleet has,
// one of which may ask for many times its share.
package shares

import "geraniumwall/jobs"

// Weights are the weights of workspaces and queues by name. Others have weight 1.
type Weights map[string]float64

func (w Weights) of(name string) float64 {
	if weight, ok := w[name]; ok && weight > 0 {
		return weight
	}
	return 1
}

// Queue is a queue with work: tasks that run or wait.
type Queue struct {
	Name, Workspace string
	// Used is what its tasks hold.
	Used jobs.Resources
}

// Ledger holds the shares of the queues that divide one capacity, and what they use.
type Ledger struct {
	capacity jobs.Resources
	queues   map[string]*account
}

type account struct {
	used  jobs.Resources
	share float64
}

// New returns the ledger of the given queues, all of which have work.
func New(capacity jobs.Resources, weights Weights, queues []Queue) *Ledger {
	l := &Ledger{capacity: capacity, queues: make(map[string]*account, len(queues))}
	workspaces, total := map[string]float64{}, 0.0
	for i := range queues {
		q := &queues[i]
		if _, known := workspaces[q.Workspace]; !known {
			total += weights.of(q.Workspace)
		}
		workspaces[q.Workspace] += weights.of(q.Name)
	}
	for i := range queues {
		q := &queues[i]
		ofWorkspace := weights.of(q.Name) / workspaces[q.Workspace]
		l.queues[q.Name] = &account{used: q.Used, share: ofWorkspace * weights.of(q.Workspace) / total}
	}
	return l
}

// Charge adds what a new task of a queue holds.
func (l *Ledger) Charge(queue string, held jobs.Resources) {
	if a := l.queues[queue]; a != nil {
		a.used = a.used.Add(held)
	}
}

// Queues returns the names of the queues.
func (l *Ledger) Queues() []string {
	names := make([]string, 0, len(l.queues))
	for name := range l.queues {
		names = append(names, name)
	}
	return names
}

// Share returns the share of a queue, as a part of the capacity. It is 0 for a queue
// without work.
func (l *Ledger) Share(queue string) float64 {
	if a := l.queues[queue]; a != nil {
		return a.share
	}
	return 0
}

// Used returns the part of the capacity that a queue holds of its dominant resource.
func (l *Ledger) Used(queue string) float64 {
	a := l.queues[queue]
	if a == nil {
		return 0
	}
	return max(part(a.used.MilliCPU, l.capacity.MilliCPU), part(a.used.MemoryMB, l.capacity.MemoryMB), part(a.used.GPUs, l.capacity.GPUs))
}

// part returns used / capacity, and 0 for a resource that the fleet does not have.
func part(used, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}

// Below reports whether a queue holds less than its share.
func (l *Ledger) Below(queue string) bool { return l.Used(queue) < l.Share(queue) }

// Above reports whether a queue holds more than its share: it has borrowed the rest.
func (l *Ledger) Above(queue string) bool { return l.Used(queue) > l.Share(queue) }
