package fairness

import (
	"time"

	"geraniumwall/config"
	"geraniumwall/workerapi"
)

// Times of aging and of the return of borrowed quota.
const (
	// agedAfter is the wait after which a task goes before normal work.
	agedAfter = 5 * time.Minute
	// overdueAfter is the wait after which a task may go before urgent work, so
	// that a steady stream of urgent work cannot hold it back for ever.
	overdueAfter = 30 * time.Minute
	// overtakeEvery rations the overdue tasks that go before urgent work: a long
	// list of them would delay it.
	overtakeEvery = 10 * time.Second
	// lendingStopsAfter is the wait of a task within its quota after which no
	// team may borrow.
	lendingStopsAfter = 2 * time.Second
)

// Ranks of waiting tasks, lowest first.
const (
	rankOverdue = iota - 1
	rankUrgent
	rankAged
	rankNormal
	rankBatch
)

// Overdue reports whether the task waited so long that it must start even where
// it costs something.
func (c *Candidate) Overdue(now time.Duration) bool { return now-c.Enqueued > overdueAfter }

// Candidate is the task to place next.
type Candidate struct {
	Item
	// Need is the size to reserve.
	Need workerapi.Resources
	// Share is the weighted dominant share of the team, Rank the effective class.
	Share    float64
	Rank     int
	Borrowed bool
}

// Round is one pass over the queue.
type Round struct {
	queue *Queue
	now   time.Duration
	// lending is false while a task within its quota waits for room.
	lending bool
	idle    workerapi.Resources
}

// Round starts a pass; blocks of earlier rounds are forgotten.
func (q *Queue) Round(now time.Duration) *Round {
	q.round++
	r := &Round{queue: q, now: now, lending: true, idle: q.idle()}
	for _, l := range q.lanes {
		l.need = q.sizer(l.job, l.size)
		waits := l.waitingForRoom >= 0 && now-l.waitingForRoom > lendingStopsAfter
		if waits && l.team.limited && l.team.within(l.class, l.need) {
			r.lending = false
		}
	}
	return r
}

// Pick returns the most important task that is admitted and not blocked.
func (r *Round) Pick() (Candidate, bool) {
	var best Candidate
	found := false
	for _, l := range r.queue.lanes {
		if l.blocked == r.queue.round {
			continue
		}
		c, admitted := r.candidate(l, l.head())
		if admitted && (!found || r.before(&c, &best)) {
			best = c
			found = true
		}
	}
	return best, found
}

func (r *Round) candidate(l *lane, item *Item) (Candidate, bool) {
	borrowed := !l.team.within(l.class, l.need)
	if borrowed && !r.mayBorrow(l) {
		return Candidate{}, false
	}
	c := Candidate{Item: *item, Need: l.need, Rank: r.rank(item), Borrowed: borrowed}
	if !r.queue.rules.NoFairness {
		c.Share = l.team.share(r.queue.total)
	}
	return c, true
}

// Find returns a waiting task if it is admitted.
func (r *Round) Find(id string) (Candidate, bool) {
	place := r.queue.places[id]
	if place == nil {
		return Candidate{}, false
	}
	item := place.Value.(*Item)
	return r.candidate(r.queue.byShape[shapeOf(item)], item)
}

// Like returns the first n waiting tasks of the shape of a candidate.
func (r *Round) Like(c Candidate, n int) []Candidate {
	var list []Candidate
	l := r.queue.byShape[shapeOf(&c.Item)]
	for place := l.items.Front(); place != nil && len(list) < n; place = place.Next() {
		if like, admitted := r.candidate(l, place.Value.(*Item)); admitted {
			list = append(list, like)
		}
	}
	return list
}

func (r *Round) mayBorrow(l *lane) bool {
	return l.team.borrows && r.lending && !r.queue.rules.NoBorrow && l.need.Fits(r.idle)
}

func (r *Round) rank(item *Item) int {
	waited := r.now - item.Enqueued
	switch {
	case item.Class == config.Urgent:
		return rankUrgent
	case !r.queue.rules.NoAging && waited > overdueAfter && r.now-r.queue.overtook >= overtakeEvery:
		return rankOverdue
	case !r.queue.rules.NoAging && waited > agedAfter:
		return rankAged
	case item.Class == config.Normal:
		return rankNormal
	default:
		return rankBatch
	}
}

// before orders by rank, tasks within quota first, then by share; overdue and aged
// tasks are ordered by their wait alone: their team may keep a large share.
func (r *Round) before(a, b *Candidate) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if a.Borrowed != b.Borrowed {
		return b.Borrowed
	}
	if a.Rank != rankOverdue && a.Rank != rankAged && a.Share != b.Share {
		return a.Share < b.Share
	}
	if a.Enqueued != b.Enqueued {
		return a.Enqueued < b.Enqueued
	}
	return a.ID < b.ID
}

// Take removes the picked task and charges its team.
func (r *Round) Take(c Candidate) {
	l := r.queue.byShape[shapeOf(&c.Item)]
	l.waitingForRoom = -1
	if c.Rank == rankOverdue {
		r.queue.overtook = r.now
	}
	r.queue.Charge(c.Team, c.Class, c.Need)
	if l.team.limited {
		r.idle = r.idle.Minus(c.Need)
	}
	r.queue.Remove(c.ID)
}

// Block passes over all tasks of the same shape for the rest of the round,
// because there is no room for them.
func (r *Round) Block(c Candidate) {
	l := r.queue.byShape[shapeOf(&c.Item)]
	l.blocked = r.queue.round
	if !c.Borrowed && l.waitingForRoom < 0 {
		l.waitingForRoom = r.now
	}
}

// Pass blocks tasks of the same shape that can never run; they don't wait for room.
func (r *Round) Pass(c Candidate) {
	r.queue.byShape[shapeOf(&c.Item)].blocked = r.queue.round
}
