// Package baseline holds the simple engines that experiments compare with.
package baseline

import (
	"time"

	"geraniumwall/config"
	"geraniumwall/policy"
	"geraniumwall/policy/firstfit"
	"geraniumwall/workerapi"
)

// LeastLoaded starts tasks in order of arrival, each on the worker with the most
// free processors, without interference control.
type LeastLoaded struct {
	*firstfit.Engine
	workers map[string]policy.Worker
	free    map[string]workerapi.Resources
	order   []string
	queue   []policy.Task
	tasks   map[string]policy.Task
}

// NewLeastLoaded returns an empty engine.
func NewLeastLoaded() *LeastLoaded {
	return &LeastLoaded{
		Engine: firstfit.New(), workers: map[string]policy.Worker{},
		free: map[string]workerapi.Resources{}, tasks: map[string]policy.Task{},
	}
}

// UpsertWorker adds or changes a worker.
func (e *LeastLoaded) UpsertWorker(_ time.Duration, w policy.Worker) {
	if _, known := e.workers[w.ID]; !known {
		e.order = append(e.order, w.ID)
		e.free[w.ID] = w.Capacity.Minus(w.Reserved)
	}
	e.workers[w.ID] = w
}

// RemoveWorker stops the use of a worker until it is added again.
func (e *LeastLoaded) RemoveWorker(_ time.Duration, id string) {
	w := e.workers[id]
	w.Accepting = false
	e.workers[id] = w
}

// Enqueue appends a task.
func (e *LeastLoaded) Enqueue(_ time.Duration, t policy.Task) { e.queue = append(e.queue, t) }

// Dequeue removes a waiting task.
func (e *LeastLoaded) Dequeue(_ time.Duration, id string) {
	for i, t := range e.queue {
		if t.ID == id {
			e.queue = append(e.queue[:i:i], e.queue[i+1:]...)
			return
		}
	}
}

// ProposeStarts places the queue in order and passes over tasks without room.
func (e *LeastLoaded) ProposeStarts(time.Duration, int) ([]policy.Placement, []policy.Unschedulable) {
	var placements []policy.Placement
	kept := e.queue[:0:0]
	planned := map[string]workerapi.Resources{}
	// Room only shrinks during a call, so a size that found none is not tried again.
	noRoom := map[workerapi.Resources]bool{}
	for _, t := range e.queue {
		on := ""
		if !noRoom[t.Size] {
			on = e.roomiest(t.Size, planned)
		}
		if on == "" {
			noRoom[t.Size] = true
			kept = append(kept, t)
			continue
		}
		planned[on] = planned[on].Plus(t.Size)
		placements = append(placements, policy.Placement{Task: t.ID, Worker: on})
	}
	e.queue = kept
	return placements, nil
}

func (e *LeastLoaded) roomiest(size workerapi.Resources, planned map[string]workerapi.Resources) string {
	best := ""
	var most int64
	for _, id := range e.order {
		room := e.free[id].Minus(planned[id])
		if e.workers[id].Accepting && size.Fits(room) && (best == "" || room.CPUMillis > most) {
			best, most = id, room.CPUMillis
		}
	}
	return best
}

// Started takes up capacity.
func (e *LeastLoaded) Started(_ time.Duration, t policy.Task, on string) {
	e.tasks[t.ID] = t
	e.free[on] = e.free[on].Minus(t.Size)
}

// Rejected puts nothing back: the experiments reject only after a lost worker.
func (e *LeastLoaded) Rejected(time.Duration, string, string) {}

// Ended frees capacity.
func (e *LeastLoaded) Ended(_ time.Duration, id, on string, _ policy.Outcome) {
	if t, known := e.tasks[id]; known {
		e.free[on] = e.free[on].Plus(t.Size)
		delete(e.tasks, id)
	}
}

// Waiting is the number of waiting tasks.
func (e *LeastLoaded) Waiting() int { return len(e.queue) }

// Reactive is first fit that evicts the largest task of a worker whenever a
// report of one of its services is over the target.
type Reactive struct {
	*firstfit.Engine
	targets map[string]int64
	running map[string]map[string]policy.Task
	breach  []string
}

// NewReactive returns an empty engine.
func NewReactive() *Reactive {
	return &Reactive{Engine: firstfit.New(), targets: map[string]int64{}, running: map[string]map[string]policy.Task{}}
}

// SetConfig takes the targets of the services.
func (e *Reactive) SetConfig(_ time.Duration, c config.Config) {
	for _, s := range c.Services {
		e.targets[s.Name] = s.TargetP99MS * 1000
	}
}

// Started remembers the task.
func (e *Reactive) Started(now time.Duration, t policy.Task, on string) {
	if e.running[on] == nil {
		e.running[on] = map[string]policy.Task{}
	}
	e.running[on][t.ID] = t
	e.Engine.Started(now, t, on)
}

// Ended forgets the task.
func (e *Reactive) Ended(now time.Duration, id, on string, outcome policy.Outcome) {
	delete(e.running[on], id)
	e.Engine.Ended(now, id, on, outcome)
}

// ReportService notes a breach.
func (e *Reactive) ReportService(_ time.Duration, worker string, r workerapi.ServiceReport) {
	if r.P99US > e.targets[r.Service] {
		e.breach = append(e.breach, worker)
	}
}

// ProposeReactions evicts one task for each breach.
func (e *Reactive) ProposeReactions(time.Duration) []policy.Reaction {
	var out []policy.Reaction
	for _, worker := range e.breach {
		var largest policy.Task
		for _, t := range e.running[worker] {
			bigger := t.Size.CPUMillis > largest.Size.CPUMillis
			if bigger || (t.Size.CPUMillis == largest.Size.CPUMillis && t.ID < largest.ID) {
				largest = t
			}
		}
		if largest.ID != "" {
			out = append(out, policy.Reaction{Kind: policy.Evict, Task: largest.ID, Worker: worker})
		}
	}
	e.breach = nil
	return out
}
