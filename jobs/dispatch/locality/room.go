package locality

import (
	"cmp"
	"slices"
	"time"

	"geraniumwall/jobs"
)

// Worker is the expected free capacity of one worker over time.
type Worker struct {
	// free is the present free capacity without what is claimed. It is negative while claims
	// wait for room.
	free jobs.Resources
	// ends are the expected changes of the free capacity, the earliest first.
	ends []change
}

// change is a change of the free capacity at a time: an end adds to it, an expected start
// takes from it.
type change struct {
	at     time.Duration
	amount jobs.Resources
}

// NewWorker returns a worker with the given free capacity and no expected ends.
func NewWorker(free jobs.Resources) *Worker { return &Worker{free: free} }

// Clone returns a copy that changes independently.
func (w *Worker) Clone() *Worker { return &Worker{w.free, slices.Clone(w.ends)} }

// Claim takes capacity that is free now or as soon as it becomes free.
func (w *Worker) Claim(amount jobs.Resources) { w.free = w.free.Sub(amount) }

// AddEnd adds the expected end of a task that holds capacity.
func (w *Worker) AddEnd(at time.Duration, amount jobs.Resources) {
	c := change{at, amount}
	i, _ := slices.BinarySearchFunc(w.ends, c, func(a, b change) int { return cmp.Compare(a.at, b.at) })
	w.ends = slices.Insert(w.ends, i, c)
}

// RoomAt returns the earliest time from which on the worker has room for a request, as far
// as the expected changes show. Starts that are expected later keep their room.
func (w *Worker) RoomAt(request jobs.Resources) (time.Duration, bool) {
	free := w.free
	at, fits := time.Duration(0), request.FitsIn(free)
	for _, c := range w.ends {
		free = free.Add(c.amount)
		switch {
		case !request.FitsIn(free):
			fits = false
		case !fits:
			at, fits = c.at, true
		}
	}
	return at, fits
}

// Reserve takes capacity for a task that is expected to start at a time and to run for a
// duration.
func (w *Worker) Reserve(at, duration time.Duration, request jobs.Resources) {
	if at <= 0 {
		w.Claim(request)
	} else {
		w.AddEnd(at, jobs.Resources{}.Sub(request))
	}
	w.AddEnd(at+duration, request)
}

// Earliest returns the worker of a place that has room for a request first, and the time.
// The index is -1 if none is expected to have room. admits limits the workers; it is called
// only for those that would be better than the best one so far.
func Earliest(place []*Worker, request jobs.Resources, admits func(i int) bool) (int, time.Duration) {
	best, bestAt := -1, time.Duration(0)
	for i, w := range place {
		at, ok := w.RoomAt(request)
		if !ok || best >= 0 && at >= bestAt || !admits(i) {
			continue
		}
		best, bestAt = i, at
	}
	return best, bestAt
}
