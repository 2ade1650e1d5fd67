// Package firstfit implements a baseline policy.Engine: it places tasks in order of
// arrival, each on the first worker with enough free capacity, and doesn't control
// interference.
package firstfit

import (
	"time"

	"geraniumwall/config"
	"geraniumwall/policy"
	"geraniumwall/workerapi"
)

// worker is a worker and its unreserved capacity.
type worker struct {
	policy.Worker
	free workerapi.Resources
}

// Engine places each task on the first worker that fits.
type Engine struct {
	// workerOrder holds the worker IDs in order of their registration.
	workerOrder []string
	workers     map[string]*worker
	// queue holds task IDs in order of arrival. Tasks that are no longer in waiting
	// are dropped by Next.
	queue     []string
	waiting   map[string]policy.Task
	running   map[string]policy.Task
	workerOf  map[string]string
	decisions []policy.Decision
}

var _ policy.Engine = (*Engine)(nil)

// New returns an empty engine.
func New() *Engine {
	return &Engine{
		workers:  map[string]*worker{},
		waiting:  map[string]policy.Task{},
		running:  map[string]policy.Task{},
		workerOf: map[string]string{},
	}
}

// SetConfig does nothing, since first fit has no settings.
func (e *Engine) SetConfig(time.Duration, config.Config) {}

// UpsertWorker adds a worker or replaces its description.
func (e *Engine) UpsertWorker(_ time.Duration, w policy.Worker) {
	if _, known := e.workers[w.ID]; !known {
		e.workerOrder = append(e.workerOrder, w.ID)
	}
	free := w.Capacity.Minus(w.Reserved)
	for taskID, workerID := range e.workerOf {
		if workerID == w.ID {
			free = free.Minus(e.running[taskID].Size)
		}
	}
	e.workers[w.ID] = &worker{Worker: w, free: free}
}

// RemoveWorker removes a worker. Tasks that run on it stay recorded until they end.
func (e *Engine) RemoveWorker(_ time.Duration, id string) {
	delete(e.workers, id)
	for i, workerID := range e.workerOrder {
		if workerID == id {
			e.workerOrder = append(e.workerOrder[:i:i], e.workerOrder[i+1:]...)
			break
		}
	}
}

// Enqueue appends a task to the queue or replaces a waiting one.
func (e *Engine) Enqueue(_ time.Duration, t policy.Task) {
	if _, known := e.waiting[t.ID]; !known {
		e.queue = append(e.queue, t.ID)
	}
	e.waiting[t.ID] = t
}

// Dequeue removes a waiting task.
func (e *Engine) Dequeue(_ time.Duration, task string) { delete(e.waiting, task) }

// ProposeStarts proposes the first worker that fits for each task, in order of arrival.
func (e *Engine) ProposeStarts(now time.Duration, limit int) ([]policy.Placement, []policy.Unschedulable) {
	var placements []policy.Placement
	var unschedulable []policy.Unschedulable
	var remaining []string
	planned := map[string]workerapi.Resources{}
	for _, id := range e.queue {
		t, isWaiting := e.waiting[id]
		if !isWaiting {
			continue
		}
		workerID, possible := e.firstFit(t.Size, planned)
		switch {
		case !possible:
			unschedulable = append(unschedulable, policy.Unschedulable{Task: id, Reason: "no worker of the domain is large enough"})
			remaining = append(remaining, id)
		case workerID == "" || len(placements) >= limit:
			remaining = append(remaining, id)
		default:
			planned[workerID] = planned[workerID].Plus(t.Size)
			placements = append(placements, policy.Placement{Task: id, Worker: workerID, Decision: policy.Decision{
				At: now, Subject: id, Kind: "placed", Reason: "first worker with room", Worker: workerID,
			}})
			remaining = append(remaining, id)
		}
	}
	e.queue = remaining
	return placements, unschedulable
}

// firstFit returns the first worker with size free after the planned placements, or
// "", and whether size fits on any worker when empty.
func (e *Engine) firstFit(size workerapi.Resources, planned map[string]workerapi.Resources) (string, bool) {
	possible := len(e.workers) == 0
	for _, id := range e.workerOrder {
		w := e.workers[id]
		possible = possible || size.Fits(w.Capacity.Minus(w.Reserved))
		if w.Accepting && size.Fits(w.free.Minus(planned[id])) {
			return id, true
		}
	}
	return "", possible
}

// Started records that a task runs on a worker.
func (e *Engine) Started(_ time.Duration, t policy.Task, workerID string) {
	delete(e.waiting, t.ID)
	e.running[t.ID] = t
	e.workerOf[t.ID] = workerID
	if w := e.workers[workerID]; w != nil {
		w.free = w.free.Minus(t.Size)
	}
}

// Rejected leaves the task in the queue.
func (e *Engine) Rejected(time.Duration, string, string) {}

// Ended releases the capacity of a finished attempt.
func (e *Engine) Ended(_ time.Duration, task, workerID string, _ policy.Outcome) {
	t, known := e.running[task]
	if !known || e.workerOf[task] != workerID {
		return
	}
	if w := e.workers[workerID]; w != nil {
		w.free = w.free.Plus(t.Size)
	}
	delete(e.running, task)
	delete(e.workerOf, task)
}

// ReportService does nothing.
func (e *Engine) ReportService(time.Duration, string, workerapi.ServiceReport) {}

// ReportUsage does nothing.
func (e *Engine) ReportUsage(time.Duration, string, policy.Usage) {}

// ProposeReactions returns no reactions.
func (e *Engine) ProposeReactions(time.Duration) []policy.Reaction { return nil }

// TakeDecisions returns and clears the decisions made since the last call.
func (e *Engine) TakeDecisions() []policy.Decision {
	taken := e.decisions
	e.decisions = nil
	return taken
}

// Waiting returns the number of waiting tasks.
func (e *Engine) Waiting() int { return len(e.waiting) }
