package jobs

import (
	"cmp"
	"slices"
)

// Worker is the registration of a worker. It lets a new leader use the worker without
// waiting for its next heartbeat.
type Worker struct {
	Incarnation
	HostPort string    `json:"addr"`
	Service  string    `json:"service"`
	Domain   string    `json:"domain,omitempty"`
	Capacity Resources `json:"capacity"`
	Labels   []string  `json:"labels,omitempty"`
	// Draining is set for a worker that is about to shut down. DrainEndsAt is the Unix time
	// in milliseconds until which it works at least.
	Draining    bool  `json:"draining,omitempty"`
	DrainEndsAt int64 `json:"drain_ends_at,omitempty"`
	// Silent is set for a worker whose last report is too old for new tasks.
	Silent bool `json:"silent,omitempty"`
	// Sequence is the number of the heartbeat that showed this state. An older one that
	// arrives at a later leader must not replace it.
	Sequence int64 `json:"seq,omitempty"`
	// ClockMS is a reading of the worker's clock that is not older than the heartbeat, 0 if
	// unknown. Earlier versions do not record it.
	ClockMS int64 `json:"clock,omitempty"`
}

// Same reports whether both registrations describe the same worker in the same state, by
// whichever heartbeat.
func (w *Worker) Same(o *Worker) bool {
	return w.Incarnation == o.Incarnation && w.HostPort == o.HostPort && w.Service == o.Service && w.Domain == o.Domain &&
		w.Capacity == o.Capacity && w.Draining == o.Draining && w.Silent == o.Silent && slices.Equal(w.Labels, o.Labels)
}

// RegisterWorker records a worker or its new state.
type RegisterWorker struct {
	Worker Worker `json:"w"`
	At     int64  `json:"at,omitempty"`
}

// RemoveWorker deletes the registration of a worker that has left or is lost. A later
// incarnation under the same id stays registered.
type RemoveWorker struct {
	Worker Incarnation `json:"w"`
}

func (s *Store) registerWorker(c *RegisterWorker) Result {
	if current := s.workers[c.Worker.Worker]; current != nil && current.StartedAtMS > c.Worker.StartedAtMS {
		return Result{}
	}
	w := c.Worker
	s.workers[w.Worker] = &w
	return Result{Applied: true}
}

func (s *Store) removeWorker(c *RemoveWorker) Result {
	current := s.workers[c.Worker.Worker]
	if current == nil || current.StartedAtMS > c.Worker.StartedAtMS {
		return Result{}
	}
	delete(s.workers, c.Worker.Worker)
	return Result{Applied: true}
}

// Worker returns the registration of a worker id, or nil. The result must not be modified.
func (s *Store) Worker(id string) *Worker { return s.workers[id] }

// WorkersByDomain returns the number of registered workers in each failure domain.
func (s *Store) WorkersByDomain() map[string]int {
	counts := map[string]int{}
	for _, w := range s.workers {
		counts[w.Domain]++
	}
	return counts
}

// Workers returns the registered workers, sorted by id. The result must not be modified.
func (s *Store) Workers() []*Worker {
	list := make([]*Worker, 0, len(s.workers))
	for _, w := range s.workers {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *Worker) int { return cmp.Compare(a.Worker, b.Worker) })
	return list
}

// WorkerCount returns the number of registered workers.
func (s *Store) WorkerCount() int { return len(s.workers) }
