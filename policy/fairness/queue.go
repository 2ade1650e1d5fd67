package fairness

import (
	"container/list"
	"time"

	"geraniumwall/config"
	"geraniumwall/workerapi"
)

// Item is one waiting task.
type Item struct {
	ID       string
	Team     string
	Job      string
	Class    config.Priority
	Size     workerapi.Resources
	Enqueued time.Duration
}

// shape groups items that are interchangeable for admission and placement.
type shape struct {
	team  string
	job   string
	class config.Priority
	size  workerapi.Resources
}

// lane is the queue of one shape, oldest first.
type lane struct {
	shape
	team  *Team
	items *list.List
	// need is the size to reserve, corrected at the start of each round.
	need workerapi.Resources
	// blocked is the round in which the head could not be placed.
	blocked uint64
	// waitingForRoom is the time since which an admitted head found no room, or -1.
	waitingForRoom time.Duration
}

func (l *lane) head() *Item { return l.items.Front().Value.(*Item) }

// Rules switches parts of the order off, for measurements of what they earn.
type Rules struct {
	NoAging    bool
	NoFairness bool
	NoBorrow   bool
}

// Sizer corrects the declared size of the tasks of a job.
type Sizer func(job string, declared workerapi.Resources) workerapi.Resources

// Queue holds the waiting tasks of one failure domain.
type Queue struct {
	rules   Rules
	sizer   Sizer
	teams   map[string]*Team
	lanes   []*lane
	byShape map[shape]*lane
	places  map[string]*list.Element
	total   workerapi.Resources
	round   uint64
	// overtook is the time at which an overdue task last went before urgent work.
	overtook time.Duration
}

// NewQueue returns an empty queue.
func NewQueue(rules Rules, sizer Sizer) *Queue {
	return &Queue{
		rules:    rules,
		sizer:    sizer,
		teams:    map[string]*Team{},
		byShape:  map[shape]*lane{},
		places:   map[string]*list.Element{},
		overtook: -overtakeEvery,
	}
}

// SetTeams replaces quotas and weights; what teams use is kept.
func (q *Queue) SetTeams(teams []config.Team, domains int) {
	for _, t := range q.teams {
		t.limited, t.borrows, t.weight = false, false, 1
	}
	for _, c := range teams {
		t := q.team(c.Name)
		used, urgent := t.used, t.urgent
		*t = newTeam(c, domains)
		t.used, t.urgent = used, urgent
	}
}

// SetTotal sets the capacity that shares are measured against.
func (q *Queue) SetTotal(total workerapi.Resources) { q.total = total }

// team returns the account of a team; an undeclared team has weight 1 and no quota.
func (q *Queue) team(name string) *Team {
	t := q.teams[name]
	if t == nil {
		t = &Team{name: name, weight: 1}
		q.teams[name] = t
	}
	return t
}

// Len is the number of waiting items.
func (q *Queue) Len() int { return len(q.places) }

// Push adds an item in order of its time; an item that waits already is replaced.
func (q *Queue) Push(item Item) {
	q.Remove(item.ID)
	l := q.lane(item)
	after := l.items.Back()
	for after != nil && after.Value.(*Item).Enqueued > item.Enqueued {
		after = after.Prev()
	}
	if after == nil {
		q.places[item.ID] = l.items.PushFront(&item)
		return
	}
	q.places[item.ID] = l.items.InsertAfter(&item, after)
}

func (q *Queue) lane(item Item) *lane {
	s := shapeOf(&item)
	l := q.byShape[s]
	if l == nil {
		l = &lane{shape: s, team: q.team(item.Team), items: list.New(), waitingForRoom: -1}
		l.need = q.sizer(s.job, s.size)
		q.byShape[s] = l
		q.lanes = append(q.lanes, l)
	}
	return l
}

func shapeOf(item *Item) shape {
	return shape{team: item.Team, job: item.Job, class: item.Class, size: item.Size}
}

// Remove takes an item out and reports whether it waited.
func (q *Queue) Remove(id string) bool {
	place := q.places[id]
	if place == nil {
		return false
	}
	delete(q.places, id)
	l := q.byShape[shapeOf(place.Value.(*Item))]
	l.items.Remove(place)
	if l.items.Len() == 0 {
		q.drop(l)
	}
	return true
}

// drop forgets an empty lane; the order of lanes has no meaning.
func (q *Queue) drop(l *lane) {
	delete(q.byShape, l.shape)
	for i, other := range q.lanes {
		if other == l {
			last := len(q.lanes) - 1
			q.lanes[i] = q.lanes[last]
			q.lanes = q.lanes[:last]
			return
		}
	}
	panic("fairness: lane is not in the list of lanes")
}

// Charge adds a running task to the account of its team.
func (q *Queue) Charge(team string, class config.Priority, size workerapi.Resources) {
	q.team(team).charge(class, size)
}

// Release takes a task off the account of its team.
func (q *Queue) Release(team string, class config.Priority, size workerapi.Resources) {
	q.team(team).charge(class, workerapi.Resources{}.Minus(size))
}

// Possible reports whether the quota of the team can ever admit the size.
func (q *Queue) Possible(team string, size workerapi.Resources) bool {
	return q.team(team).possible(size)
}

// Quota is the quota of the team in the deployment.
func (q *Queue) Quota(team string) workerapi.Resources { return q.team(team).full }

// Borrows reports whether the team uses more than its quota.
func (q *Queue) Borrows(team string) bool {
	t := q.team(team)
	return t.limited && !t.used.Fits(t.quota)
}

// idle is the quota that no team uses, without what is lent already.
func (q *Queue) idle() workerapi.Resources {
	var idle, lent workerapi.Resources
	for _, t := range q.teams {
		if t.limited {
			idle = idle.Plus(positive(t.quota.Minus(t.used)))
			lent = lent.Plus(positive(t.used.Minus(t.quota)))
		}
	}
	return idle.Minus(lent)
}

func positive(r workerapi.Resources) workerapi.Resources {
	return workerapi.Resources{
		CPUMillis:    max(r.CPUMillis, 0),
		MemoryMB:     max(r.MemoryMB, 0),
		Accelerators: max(r.Accelerators, 0),
	}
}
