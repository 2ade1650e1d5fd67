package fairness

import (
	"time"

	"geraniumwall/config"
	"geraniumwall/workerapi"
)

// Thresholds for aging and borrowing.
const (
	// agedAfter is the wait after which a task takes precedence over normal tasks.
	agedAfter = 5 * time.Minute
	// overdueAfter is the wait after which a task may take precedence over urgent
	// tasks, so that a steady stream of urgent work cannot starve it.
	overdueAfter = 30 * time.Minute
	// overtakeInterval is the minimum time between overdue tasks that take precedence
	// over urgent ones, so that a backlog of them doesn't delay urgent work.
	overtakeInterval = 10 * time.Second
	// borrowingStopsAfter is how long a task within its quota waits for capacity
	// before no team may borrow quota.
	borrowingStopsAfter = 2 * time.Second
)

// Ranks of waiting tasks; the lowest rank is admitted first.
const (
	rankOverdue = iota - 1
	rankUrgent
	rankAged
	rankNormal
	rankBatch
)

// Overdue reports whether the task has waited so long that it may start on a host
// where it pushes a service over its limit.
func (c *Candidate) Overdue(now time.Duration) bool { return now-c.Enqueued > overdueAfter }

// Candidate is the task to place next.
type Candidate struct {
	Item
	// Need is the size to reserve.
	Need workerapi.Resources
	// Share is the weighted dominant share of the team, Rank the priority class
	// after aging.
	Share    float64
	Rank     int
	Borrowed bool
}

// Round is one scheduling pass over the queue.
type Round struct {
	queue *Queue
	now   time.Duration
	// borrowingAllowed is false while a task within its quota waits for capacity.
	borrowingAllowed bool
	lendableQuota    workerapi.Resources
}

// Round starts a pass. Groups blocked in earlier rounds are eligible again.
func (q *Queue) Round(now time.Duration) *Round {
	q.currentRound++
	r := &Round{queue: q, now: now, borrowingAllowed: true, lendableQuota: q.lendableQuota()}
	for _, g := range q.groups {
		g.need = q.sizeOf(g.job, g.size)
		starved := g.blockedSince >= 0 && now-g.blockedSince > borrowingStopsAfter
		if starved && g.account.hasQuota && g.account.withinQuota(g.class, g.need) {
			r.borrowingAllowed = false
		}
	}
	return r
}

// Pick returns the first task in order that quota admits and that is not blocked.
func (r *Round) Pick() (Candidate, bool) {
	var best Candidate
	found := false
	for _, g := range r.queue.groups {
		if g.blockedRound == r.queue.currentRound {
			continue
		}
		c, admitted := r.admit(g, g.head())
		if admitted && (!found || r.less(&c, &best)) {
			best = c
			found = true
		}
	}
	return best, found
}

// admit returns the item as a candidate, and false if neither the quota of its team
// nor borrowed quota admits it.
func (r *Round) admit(g *taskGroup, item *Item) (Candidate, bool) {
	borrowed := !g.account.withinQuota(g.class, g.need)
	if borrowed && !r.mayBorrow(g) {
		return Candidate{}, false
	}
	c := Candidate{Item: *item, Need: g.need, Rank: r.rank(item), Borrowed: borrowed}
	if !r.queue.rules.NoFairness {
		c.Share = g.account.weightedShare(r.queue.capacity)
	}
	return c, true
}

// Find returns a waiting task if quota admits it.
func (r *Round) Find(id string) (Candidate, bool) {
	element := r.queue.elements[id]
	if element == nil {
		return Candidate{}, false
	}
	item := element.Value.(*Item)
	return r.admit(r.queue.groupsByKey[keyOf(item)], item)
}

// Like returns up to n admitted tasks from the group of a candidate, oldest first.
func (r *Round) Like(c Candidate, n int) []Candidate {
	var equivalent []Candidate
	g := r.queue.groupsByKey[keyOf(&c.Item)]
	for element := g.items.Front(); element != nil && len(equivalent) < n; element = element.Next() {
		if other, admitted := r.admit(g, element.Value.(*Item)); admitted {
			equivalent = append(equivalent, other)
		}
	}
	return equivalent
}

func (r *Round) mayBorrow(g *taskGroup) bool {
	return g.account.mayBorrow && r.borrowingAllowed && !r.queue.rules.NoBorrow && g.need.Fits(r.lendableQuota)
}

func (r *Round) rank(item *Item) int {
	waited := r.now - item.Enqueued
	switch {
	case item.Class == config.Urgent:
		return rankUrgent
	case !r.queue.rules.NoAging && waited > overdueAfter && r.now-r.queue.lastOvertake >= overtakeInterval:
		return rankOverdue
	case !r.queue.rules.NoAging && waited > agedAfter:
		return rankAged
	case item.Class == config.Normal:
		return rankNormal
	default:
		return rankBatch
	}
}

// less orders by rank, then tasks within quota before borrowing ones, then by
// share, enqueue time and ID. Overdue and aged tasks skip the comparison of
// shares, since their team's share may stay large for as long as they wait.
func (r *Round) less(a, b *Candidate) bool {
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

// Take removes a candidate from the queue and charges its team.
func (r *Round) Take(c Candidate) {
	g := r.queue.groupsByKey[keyOf(&c.Item)]
	g.blockedSince = -1
	if c.Rank == rankOverdue {
		r.queue.lastOvertake = r.now
	}
	r.queue.Charge(c.Team, c.Class, c.Need)
	if g.account.hasQuota {
		r.lendableQuota = r.lendableQuota.Minus(c.Need)
	}
	r.queue.Remove(c.ID)
}

// Block skips the group of a candidate for the rest of the round because no worker
// has capacity for it.
func (r *Round) Block(c Candidate) {
	g := r.queue.groupsByKey[keyOf(&c.Item)]
	g.blockedRound = r.queue.currentRound
	if !c.Borrowed && g.blockedSince < 0 {
		g.blockedSince = r.now
	}
}

// BlockUnschedulable skips the group of a candidate that can never run. Unlike
// Block, it doesn't count the group as waiting for capacity.
func (r *Round) BlockUnschedulable(c Candidate) {
	r.queue.groupsByKey[keyOf(&c.Item)].blockedRound = r.queue.currentRound
}
