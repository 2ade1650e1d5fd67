package scheduler

import (
	"time"

	"geraniumwall/policy"
	"geraniumwall/policy/firstfit"
)

// roundRobinEngine proposes a different worker for each start, so that attempts of a
// task do not meet on one worker, which would itself refuse the second.
type roundRobinEngine struct {
	*firstfit.Engine
	workers []string
	next    int
}

// newEngine creates the engine of each scheduler of a simulation.
var newEngine = func() policy.Engine { return newRoundRobinEngine() }

func newRoundRobinEngine() *roundRobinEngine { return &roundRobinEngine{Engine: firstfit.New()} }

func (e *roundRobinEngine) UpsertWorker(now time.Duration, w policy.Worker) {
	e.RemoveWorker(now, w.ID)
	if e.Engine.UpsertWorker(now, w); w.Accepting {
		e.workers = append(e.workers, w.ID)
	}
}

func (e *roundRobinEngine) RemoveWorker(now time.Duration, id string) {
	e.Engine.RemoveWorker(now, id)
	for i, known := range e.workers {
		if known == id {
			e.workers = append(e.workers[:i:i], e.workers[i+1:]...)
			return
		}
	}
}

func (e *roundRobinEngine) ProposeStarts(now time.Duration, limit int) ([]policy.Placement, []policy.Unschedulable) {
	plan, unschedulable := e.Engine.ProposeStarts(now, limit)
	for i := range plan {
		if len(e.workers) > 0 {
			e.next++
			plan[i].Worker = e.workers[e.next%len(e.workers)]
		}
	}
	return plan, unschedulable
}
