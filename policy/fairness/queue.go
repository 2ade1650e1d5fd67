package fairness

import (
	"container/list"
	"time"

	"geraniumwall/config"
	"geraniumwall/workerapi"
)

// Item is a waiting task.
type Item struct {
	ID       string
	Team     string
	Job      string
	Class    config.Priority
	Size     workerapi.Resources
	Enqueued time.Duration
}

// groupKey identifies items that are interchangeable for admission and placement.
type groupKey struct {
	team  string
	job   string
	class config.Priority
	size  workerapi.Resources
}

// taskGroup is the queue of the items with the same groupKey, oldest first.
type taskGroup struct {
	groupKey
	account *account
	items   *list.List
	// need is the size to reserve; it is updated at the start of each round.
	need workerapi.Resources
	// blockedRound is the last round in which the head could not be placed.
	blockedRound uint64
	// blockedSince is the time since which the head has been within quota but no
	// worker had capacity for it, or -1.
	blockedSince time.Duration
}

func (g *taskGroup) head() *Item { return g.items.Front().Value.(*Item) }

// Rules disables parts of the ordering for ablation experiments.
type Rules struct {
	NoAging    bool
	NoFairness bool
	NoBorrow   bool
}

// SizeFunc returns the size to reserve for a task of the job, given its declared
// size.
type SizeFunc func(job string, declared workerapi.Resources) workerapi.Resources

// Queue orders the waiting tasks of one failure domain.
type Queue struct {
	rules        Rules
	sizeOf       SizeFunc
	accounts     map[string]*account
	groups       []*taskGroup
	groupsByKey  map[groupKey]*taskGroup
	elements     map[string]*list.Element
	capacity     workerapi.Resources
	currentRound uint64
	// lastOvertake is the time at which an overdue task was last admitted ahead of
	// urgent tasks.
	lastOvertake time.Duration
}

// NewQueue returns an empty queue.
func NewQueue(rules Rules, sizeOf SizeFunc) *Queue {
	return &Queue{
		rules:        rules,
		sizeOf:       sizeOf,
		accounts:     map[string]*account{},
		groupsByKey:  map[groupKey]*taskGroup{},
		elements:     map[string]*list.Element{},
		lastOvertake: -overtakeInterval,
	}
}

// SetTeams replaces the quotas and weights of all teams and keeps their usage.
func (q *Queue) SetTeams(teams []config.Team, domains int) {
	for _, a := range q.accounts {
		a.hasQuota, a.mayBorrow, a.weight = false, false, 1
	}
	for _, c := range teams {
		a := q.account(c.Name)
		used, urgentUsed := a.used, a.urgentUsed
		*a = newAccount(c, domains)
		a.used, a.urgentUsed = used, urgentUsed
	}
}

// SetTotal sets the total capacity that shares are computed from.
func (q *Queue) SetTotal(capacity workerapi.Resources) { q.capacity = capacity }

// account returns the account of a team. A team that is not configured has weight
// 1 and no quota.
func (q *Queue) account(name string) *account {
	a := q.accounts[name]
	if a == nil {
		a = &account{name: name, weight: 1}
		q.accounts[name] = a
	}
	return a
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.elements) }

// Push inserts an item in order of its enqueue time and replaces an item with the
// same ID.
func (q *Queue) Push(item Item) {
	q.Remove(item.ID)
	g := q.groupFor(item)
	after := g.items.Back()
	for after != nil && after.Value.(*Item).Enqueued > item.Enqueued {
		after = after.Prev()
	}
	if after == nil {
		q.elements[item.ID] = g.items.PushFront(&item)
		return
	}
	q.elements[item.ID] = g.items.InsertAfter(&item, after)
}

func (q *Queue) groupFor(item Item) *taskGroup {
	key := keyOf(&item)
	g := q.groupsByKey[key]
	if g == nil {
		g = &taskGroup{groupKey: key, account: q.account(item.Team), items: list.New(), blockedSince: -1}
		g.need = q.sizeOf(key.job, key.size)
		q.groupsByKey[key] = g
		q.groups = append(q.groups, g)
	}
	return g
}

func keyOf(item *Item) groupKey {
	return groupKey{team: item.Team, job: item.Job, class: item.Class, size: item.Size}
}

// Remove removes an item and reports whether it was in the queue.
func (q *Queue) Remove(id string) bool {
	element := q.elements[id]
	if element == nil {
		return false
	}
	delete(q.elements, id)
	g := q.groupsByKey[keyOf(element.Value.(*Item))]
	g.items.Remove(element)
	if g.items.Len() == 0 {
		q.removeGroup(g)
	}
	return true
}

// removeGroup removes an empty group. The order of groups is not significant.
func (q *Queue) removeGroup(g *taskGroup) {
	delete(q.groupsByKey, g.groupKey)
	for i, other := range q.groups {
		if other == g {
			last := len(q.groups) - 1
			q.groups[i] = q.groups[last]
			q.groups = q.groups[:last]
			return
		}
	}
	panic("fairness: task group is not in the list of groups")
}

// Charge adds a running task to the usage of its team.
func (q *Queue) Charge(team string, class config.Priority, size workerapi.Resources) {
	q.account(team).charge(class, size)
}

// Release subtracts a task from the usage of its team.
func (q *Queue) Release(team string, class config.Priority, size workerapi.Resources) {
	q.account(team).charge(class, workerapi.Resources{}.Minus(size))
}

// Possible reports whether the quota of the team can ever admit a task of this
// size.
func (q *Queue) Possible(team string, size workerapi.Resources) bool {
	return q.account(team).canEverAdmit(size)
}

// Quota returns the quota of the team in the whole deployment.
func (q *Queue) Quota(team string) workerapi.Resources { return q.account(team).deploymentQuota }

// Borrows reports whether the team uses more than its domain quota.
func (q *Queue) Borrows(team string) bool {
	a := q.account(team)
	return a.hasQuota && !a.used.Fits(a.domainQuota)
}

// lendableQuota returns the unused quota of all teams minus what is already lent.
func (q *Queue) lendableQuota() workerapi.Resources {
	var idle, lent workerapi.Resources
	for _, a := range q.accounts {
		if a.hasQuota {
			idle = idle.Plus(clampToZero(a.domainQuota.Minus(a.used)))
			lent = lent.Plus(clampToZero(a.used.Minus(a.domainQuota)))
		}
	}
	return idle.Minus(lent)
}

// clampToZero replaces negative amounts with zero.
func clampToZero(r workerapi.Resources) workerapi.Resources {
	return workerapi.Resources{
		CPUMillis:    max(r.CPUMillis, 0),
		MemoryMB:     max(r.MemoryMB, 0),
		Accelerators: max(r.Accelerators, 0),
	}
}
