// Package engine implements policy.Engine: fair admission, placement that
// foresees interference, and reactions to it. It is deterministic: the same
// events at the same times with the same seed give the same decisions.
package engine

import (
	"math/rand/v2"
	"slices"
	"time"

	"geraniumwall/config"
	"geraniumwall/policy"
	"geraniumwall/policy/fairness"
	"geraniumwall/policy/health"
	"geraniumwall/policy/interference"
	"geraniumwall/policy/placement"
	"geraniumwall/policy/sizing"
	"geraniumwall/workerapi"
)

// Rules switches parts of the decisions off, for measurements of what they earn.
// The zero value has everything on.
type Rules struct {
	Fairness  fairness.Rules
	Placement placement.Rules
	Model     interference.Rules
	// NoReaction never throttles or evicts for a service.
	NoReaction bool
	NoThrottle bool
	// NoMove leaves a throttled task where it is as long as its service recovers.
	NoMove bool
	// NoBudget evicts without limits on number and minimum run.
	NoBudget bool
	// NoLeastLoss chooses the neighbour to evict without regard to lost work.
	NoLeastLoss bool
	// NoSlack reacts to a slowdown even if the service is far below its target.
	NoSlack      bool
	NoHolds      bool
	NoPreemption bool
	// NoHeadroom keeps nothing back for urgent tasks.
	NoHeadroom bool
	// NoSizing reserves the declared sizes, NoLowering never less.
	NoSizing   bool
	NoLowering bool
	NoHealth   bool
}

// task is a running task, or a planned one until Started.
type task struct {
	policy.Task
	worker string
	// reserved is charged to the team and to the host.
	reserved workerapi.Resources
	started  time.Duration
	// share is the processor share, 1 when not throttled; changed is its time.
	share   float64
	changed time.Duration
	// weight is the unthrottled weight of the task in the interference model.
	weight float64
	// peak is the largest use seen while not throttled.
	peak            workerapi.Resources
	sinceCheckpoint time.Duration
	usageAt         time.Duration
	borrowed        bool
	// leaving is set once an eviction was proposed; leftAt is its time.
	leaving bool
	leftAt  time.Duration
	planned bool
}

// host is a worker with what runs on it.
type host struct {
	policy.Worker
	present bool
	placed  *placement.Host
	model   *interference.Worker
	tasks   map[string]*task
	// reacted is the time of the last reaction for one of its services.
	reacted time.Duration
	// breachedSince is the time since which a service is over its limit, or -1.
	breachedSince time.Duration
	// quiet is set while nothing calls for a reaction; any change ends it.
	quiet bool
	// throttled is the number of its throttled tasks.
	throttled int
}

// Engine decides for one failure domain.
type Engine struct {
	rules        Rules
	config       config.Config
	jobs         map[string]config.Job
	targets      map[string]time.Duration
	apart        map[string]map[string]bool
	queue        *fairness.Queue
	index        *placement.Index
	chooser      placement.Chooser
	model        *interference.Model
	sizes        *sizing.Estimator
	health       *health.Tracker
	hosts        map[string]*host
	order        []*host
	tasks        map[string]*task
	waiting      map[string]policy.Task
	planned      []string
	holds        map[string]hold
	reservations []reservation
	fails        map[failKey]failMark
	urgent       map[string]fairness.Candidate
	owners       map[string]fairness.Candidate
	tokens       tokens
	insisted     time.Duration
	// scanFrom is where the next search for tasks to evict starts in order.
	scanFrom  int
	grown     time.Duration
	reported  map[string]time.Duration
	parked    map[string]parked
	decisions []policy.Decision
}

var _ policy.Engine = (*Engine)(nil)

// New returns an engine without workers. The seed decides between equal choices.
func New(seed uint64) *Engine { return NewWith(seed, Rules{}) }

// NewWith returns an engine with parts of its rules off.
func NewWith(seed uint64, rules Rules) *Engine {
	random := rand.New(rand.NewPCG(seed, seed))
	e := &Engine{
		rules:    rules,
		index:    placement.NewIndex(random),
		model:    interference.NewModel(rules.Model),
		sizes:    sizing.NewEstimator(!rules.NoLowering),
		health:   health.NewTracker(!rules.NoHealth),
		hosts:    map[string]*host{},
		tasks:    map[string]*task{},
		waiting:  map[string]policy.Task{},
		holds:    map[string]hold{},
		fails:    map[failKey]failMark{},
		urgent:   map[string]fairness.Candidate{},
		owners:   map[string]fairness.Candidate{},
		reported: map[string]time.Duration{},
		parked:   map[string]parked{},
		insisted: -insistEvery,
	}
	e.queue = fairness.NewQueue(rules.Fairness, e.size)
	e.chooser = placement.Chooser{Index: e.index, Rules: rules.Placement, Interference: e.foresee}
	e.SetConfig(0, config.Config{})
	return e
}

// size is what a task of a job needs.
func (e *Engine) size(job string, declared workerapi.Resources) workerapi.Resources {
	if e.rules.NoSizing {
		return declared
	}
	return e.sizes.Size(job, declared)
}

// SetConfig puts a configuration in force.
func (e *Engine) SetConfig(now time.Duration, c config.Config) {
	c = c.WithDefaults()
	e.config = c
	e.jobs = map[string]config.Job{}
	for _, j := range c.Jobs {
		e.jobs[j.Name] = j
	}
	e.targets = map[string]time.Duration{}
	for _, s := range c.Services {
		e.targets[s.Name] = time.Duration(s.TargetP99MS) * time.Millisecond
	}
	e.apart = map[string]map[string]bool{}
	for _, p := range c.Apart {
		if e.apart[p.Job] == nil {
			e.apart[p.Job] = map[string]bool{}
		}
		e.apart[p.Job][p.Service] = true
	}
	e.queue.SetTeams(c.Teams, len(c.Domains))
	e.tokens.setRate(now, c.Policy.EvictionsPerMinute)
	e.index.Freed++
	e.unpark()
}

// UpsertWorker adds or changes a worker; tasks known to run on it are kept.
func (e *Engine) UpsertWorker(now time.Duration, w policy.Worker) {
	h := e.hosts[w.ID]
	if h == nil {
		h = &host{tasks: map[string]*task{}, breachedSince: -1}
		e.hosts[w.ID] = h
	}
	if h.present && sameWorker(&h.Worker, &w) {
		return
	}
	w.Services = slices.Clone(w.Services)
	returned := !h.present
	h.Worker = w
	h.present = true
	h.placed = e.index.Upsert(now, w)
	h.model = e.model.SetWorker(now, w.ID, w.Services)
	h.placed.Owner = h
	e.health.Add(w.ID)
	e.index.SetLimit(h.placed, e.health.Limit(w.ID))
	if returned {
		e.grown = now
		e.unpark()
		e.order = append(e.order, h)
		for _, t := range sortedTasks(h.tasks) {
			e.occupy(now, h, t)
		}
	}
	e.queue.SetTotal(e.index.Total())
}

func sameWorker(a, b *policy.Worker) bool {
	return a.Domain == b.Domain && a.Rack == b.Rack && a.Capacity == b.Capacity &&
		a.Reserved == b.Reserved && a.Accepting == b.Accepting && slices.Equal(a.Services, b.Services)
}

// RemoveWorker forgets a worker. Its tasks stay charged until they have ended.
func (e *Engine) RemoveWorker(now time.Duration, id string) {
	h := e.hosts[id]
	if h == nil || !h.present {
		return
	}
	h.present = false
	h.placed = nil
	h.model = nil
	e.index.Remove(now, id)
	e.model.Forget(id)
	e.order = slices.DeleteFunc(e.order, func(o *host) bool { return o == h })
	e.dropHolds(id)
	e.dropReservations(id)
	e.forgetIfEmpty(h)
	e.queue.SetTotal(e.index.Total())
}

func (e *Engine) forgetIfEmpty(h *host) {
	if !h.present && len(h.tasks) == 0 {
		delete(e.hosts, h.ID)
		e.health.Forget(h.ID)
	}
}

// occupy takes up the capacity of a host that is present.
func (e *Engine) occupy(now time.Duration, h *host, t *task) {
	h.quiet = false
	if h.present {
		e.index.Take(h.placed, t.Job, t.reserved)
		t.weight = weigh(t.Size, h.placed)
		e.model.Change(now, h.ID, t.Job, t.weight*t.share)
	}
}

// vacate gives the capacity back.
func (e *Engine) vacate(now time.Duration, h *host, t *task) {
	h.quiet = false
	h.throttled -= throttledCount(t.share)
	if h.present {
		e.index.Give(h.placed, t.Job, t.reserved)
		e.model.Change(now, h.ID, t.Job, -t.weight*t.share)
	}
}

// Decisions takes the decisions made since the last call.
func (e *Engine) Decisions() []policy.Decision {
	taken := e.decisions
	e.decisions = nil
	return taken
}

// Waiting is the number of waiting tasks.
func (e *Engine) Waiting() int { return len(e.waiting) }

// maxDecisions bounds the decisions kept when nobody takes them.
const maxDecisions = 10_000

func (e *Engine) explain(d policy.Decision) {
	if len(e.decisions) >= maxDecisions {
		e.decisions = slices.Delete(e.decisions, 0, maxDecisions/2)
	}
	e.decisions = append(e.decisions, d)
}

func sortedTasks(tasks map[string]*task) []*task {
	list := make([]*task, 0, len(tasks))
	for _, t := range tasks {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *task) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list
}
