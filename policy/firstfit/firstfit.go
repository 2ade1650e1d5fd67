// Package firstfit is the baseline of the decisions: tasks in order of arrival,
// each on the first worker with room, without interference control.
package firstfit

import (
	"time"

	"geraniumwall/config"
	"geraniumwall/policy"
	"geraniumwall/workerapi"
)

type worker struct {
	policy.Worker
	free workerapi.Resources
}

// Engine is a first-fit engine.
type Engine struct {
	order     []string
	workers   map[string]*worker
	queue     []string
	tasks     map[string]policy.Task
	running   map[string]policy.Task
	placedOn  map[string]string
	decisions []policy.Decision
}

var _ policy.Engine = (*Engine)(nil)

// New returns an empty engine.
func New() *Engine {
	return &Engine{
		workers:  map[string]*worker{},
		tasks:    map[string]policy.Task{},
		running:  map[string]policy.Task{},
		placedOn: map[string]string{},
	}
}

// SetConfig does nothing: first fit has no settings.
func (e *Engine) SetConfig(time.Duration, config.Config) {}

// UpsertWorker adds or changes a worker.
func (e *Engine) UpsertWorker(_ time.Duration, w policy.Worker) {
	if _, known := e.workers[w.ID]; !known {
		e.order = append(e.order, w.ID)
	}
	free := w.Capacity.Minus(w.Reserved)
	for id, on := range e.placedOn {
		if on == w.ID {
			free = free.Minus(e.running[id].Size)
		}
	}
	e.workers[w.ID] = &worker{Worker: w, free: free}
}

// RemoveWorker forgets a worker and what runs on it.
func (e *Engine) RemoveWorker(_ time.Duration, id string) {
	delete(e.workers, id)
	for i, name := range e.order {
		if name == id {
			e.order = append(e.order[:i:i], e.order[i+1:]...)
			break
		}
	}
}

// Enqueue appends a task to the queue.
func (e *Engine) Enqueue(_ time.Duration, t policy.Task) {
	if _, known := e.tasks[t.ID]; !known {
		e.queue = append(e.queue, t.ID)
	}
	e.tasks[t.ID] = t
}

// Dequeue removes a waiting task.
func (e *Engine) Dequeue(_ time.Duration, task string) { delete(e.tasks, task) }

// Next proposes the first worker with room for each task in order of arrival.
func (e *Engine) Next(now time.Duration, limit int) ([]policy.Placement, []policy.Impossible) {
	var placements []policy.Placement
	var impossible []policy.Impossible
	var kept []string
	planned := map[string]workerapi.Resources{}
	for _, id := range e.queue {
		t, waiting := e.tasks[id]
		if !waiting {
			continue
		}
		on, fits := e.find(t.Size, planned)
		switch {
		case !fits:
			impossible = append(impossible, policy.Impossible{Task: id, Reason: "no worker of the domain is large enough"})
			kept = append(kept, id)
		case on == "" || len(placements) >= limit:
			kept = append(kept, id)
		default:
			planned[on] = planned[on].Plus(t.Size)
			placements = append(placements, policy.Placement{Task: id, Worker: on, Decision: policy.Decision{
				At: now, Subject: id, Kind: "placed", Reason: "first worker with room", Worker: on,
			}})
			kept = append(kept, id)
		}
	}
	e.queue = kept
	return placements, impossible
}

// find returns a worker with room, and whether any worker could ever hold size.
func (e *Engine) find(size workerapi.Resources, planned map[string]workerapi.Resources) (string, bool) {
	possible := len(e.workers) == 0
	for _, id := range e.order {
		w := e.workers[id]
		possible = possible || size.Fits(w.Capacity.Minus(w.Reserved))
		if w.Accepting && size.Fits(w.free.Minus(planned[id])) {
			return id, true
		}
	}
	return "", possible
}

// Started moves a task from the queue to its worker.
func (e *Engine) Started(_ time.Duration, t policy.Task, on string) {
	delete(e.tasks, t.ID)
	e.running[t.ID] = t
	e.placedOn[t.ID] = on
	if w := e.workers[on]; w != nil {
		w.free = w.free.Minus(t.Size)
	}
}

// Refused leaves the task in the queue.
func (e *Engine) Refused(time.Duration, string, string) {}

// Ended frees the capacity of an attempt.
func (e *Engine) Ended(_ time.Duration, task, on string, _ policy.EndKind) {
	t, known := e.running[task]
	if !known || e.placedOn[task] != on {
		return
	}
	if w := e.workers[on]; w != nil {
		w.free = w.free.Plus(t.Size)
	}
	delete(e.running, task)
	delete(e.placedOn, task)
}

// ReportService is ignored.
func (e *Engine) ReportService(time.Duration, string, workerapi.ServiceReport) {}

// ReportUsage is ignored.
func (e *Engine) ReportUsage(time.Duration, string, policy.Usage) {}

// React never reacts.
func (e *Engine) React(time.Duration) []policy.Reaction { return nil }

// Decisions takes the decisions made since the last call.
func (e *Engine) Decisions() []policy.Decision {
	taken := e.decisions
	e.decisions = nil
	return taken
}

// Waiting is the number of waiting tasks.
func (e *Engine) Waiting() int { return len(e.tasks) }
