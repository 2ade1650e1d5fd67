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
	reserved  workerapi.Resources
	startedAt time.Duration
	// cpuShare is the processor cpuShare, 1 when not throttled; changed is its time.
	cpuShare          float64
	cpuShareChangedAt time.Duration
	// modelWeight is the unthrottled modelWeight of the task in the interference model.
	modelWeight float64
	// peakUsage is the largest use seen while not throttled.
	peakUsage       workerapi.Resources
	sinceCheckpoint time.Duration
	usageMeasuredAt time.Duration
	borrowed        bool
	// evictionProposed is set once an eviction was proposed; leftAt is its time.
	evictionProposed   bool
	evictionProposedAt time.Duration
	planned            bool
}

// host is a worker with what runs on it.
type host struct {
	policy.Worker
	registered  bool
	indexEntry  *placement.Host
	modelWorker *interference.Worker
	tasks       map[string]*task
	// lastReactionAt is the time of the last reaction for one of its services.
	lastReactionAt time.Duration
	// breachedSince is the time since which a service is over its limit, or -1.
	breachedSince time.Duration
	// skipReaction is set while nothing calls for a reaction; any change ends it.
	skipReaction bool
	// throttledTasks is the number of its throttledTasks tasks.
	throttledTasks int
}

// Engine decides for one failure domain.
type Engine struct {
	rules              Rules
	config             config.Config
	jobs               map[string]config.Job
	targetP99          map[string]time.Duration
	antiAffinity       map[string]map[string]bool
	queue              *fairness.Queue
	index              *placement.Index
	chooser            placement.Chooser
	model              *interference.Model
	sizeEstimator      *sizing.Estimator
	health             *health.Tracker
	hosts              map[string]*host
	hostOrder          []*host
	tasks              map[string]*task
	waiting            map[string]policy.Task
	planned            []string
	holds              map[string]hold
	urgentReservations []urgentReservation
	failedSearches     map[searchKey]failedSearch
	blockedUrgent      map[string]fairness.Candidate
	blockedWithinQuota map[string]fairness.Candidate
	evictionBudget     tokenBucket
	lastForcedAt       time.Duration
	// preemptionScanStart is where the next search for tasks to evict starts in order.
	preemptionScanStart int
	lastJoinAt          time.Duration
	explainedAt         map[string]time.Duration
	unschedulable       map[string]unschedulableTask
	decisions           []policy.Decision
}

var _ policy.Engine = (*Engine)(nil)

// New returns an engine without workers. The seed decides between equal choices.
func New(seed uint64) *Engine { return NewWith(seed, Rules{}) }

// NewWith returns an engine with parts of its rules off.
func NewWith(seed uint64, rules Rules) *Engine {
	random := rand.New(rand.NewPCG(seed, seed))
	e := &Engine{
		rules:              rules,
		index:              placement.NewIndex(random),
		model:              interference.NewModel(rules.Model),
		sizeEstimator:      sizing.NewEstimator(!rules.NoLowering),
		health:             health.NewTracker(!rules.NoHealth),
		hosts:              map[string]*host{},
		tasks:              map[string]*task{},
		waiting:            map[string]policy.Task{},
		holds:              map[string]hold{},
		failedSearches:     map[searchKey]failedSearch{},
		blockedUrgent:      map[string]fairness.Candidate{},
		blockedWithinQuota: map[string]fairness.Candidate{},
		explainedAt:        map[string]time.Duration{},
		unschedulable:      map[string]unschedulableTask{},
		lastForcedAt:       -forcedPlacementInterval,
	}
	e.queue = fairness.NewQueue(rules.Fairness, e.correctedSize)
	e.chooser = placement.Chooser{Index: e.index, Rules: rules.Placement, Interference: e.predictInterference}
	e.SetConfig(0, config.Config{})
	return e
}

// correctedSize is what a task of a job needs.
func (e *Engine) correctedSize(job string, declared workerapi.Resources) workerapi.Resources {
	if e.rules.NoSizing {
		return declared
	}
	return e.sizeEstimator.Size(job, declared)
}

// SetConfig puts a configuration in force.
func (e *Engine) SetConfig(now time.Duration, c config.Config) {
	c = c.WithDefaults()
	e.config = c
	e.jobs = map[string]config.Job{}
	for _, j := range c.Jobs {
		e.jobs[j.Name] = j
	}
	e.targetP99 = map[string]time.Duration{}
	for _, s := range c.Services {
		e.targetP99[s.Name] = time.Duration(s.TargetP99MS) * time.Millisecond
	}
	e.antiAffinity = map[string]map[string]bool{}
	for _, p := range c.Apart {
		if e.antiAffinity[p.Job] == nil {
			e.antiAffinity[p.Job] = map[string]bool{}
		}
		e.antiAffinity[p.Job][p.Service] = true
	}
	e.queue.SetTeams(c.Teams, len(c.Domains))
	e.evictionBudget.setRate(now, c.Policy.EvictionsPerMinute)
	e.index.Freed++
	e.requeueUnschedulable()
}

// UpsertWorker adds or changes a worker; tasks known to run on it are kept.
func (e *Engine) UpsertWorker(now time.Duration, w policy.Worker) {
	h := e.hosts[w.ID]
	if h == nil {
		h = &host{tasks: map[string]*task{}, breachedSince: -1}
		e.hosts[w.ID] = h
	}
	if h.registered && sameWorker(&h.Worker, &w) {
		return
	}
	w.Services = slices.Clone(w.Services)
	joined := !h.registered
	h.Worker = w
	h.registered = true
	h.indexEntry = e.index.Upsert(now, w)
	h.modelWorker = e.model.SetWorker(now, w.ID, w.Services)
	h.indexEntry.Owner = h
	e.health.Add(w.ID)
	e.index.SetLimit(h.indexEntry, e.health.Limit(w.ID))
	if joined {
		e.lastJoinAt = now
		e.requeueUnschedulable()
		e.hostOrder = append(e.hostOrder, h)
		for _, t := range sortedTasks(h.tasks) {
			e.allocate(now, h, t)
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
	if h == nil || !h.registered {
		return
	}
	h.registered = false
	h.indexEntry = nil
	h.modelWorker = nil
	e.index.Remove(now, id)
	e.model.RemoveWorker(id)
	e.hostOrder = slices.DeleteFunc(e.hostOrder, func(o *host) bool { return o == h })
	e.dropHolds(id)
	e.dropReservations(id)
	e.removeIfEmpty(h)
	e.queue.SetTotal(e.index.Total())
}

func (e *Engine) removeIfEmpty(h *host) {
	if !h.registered && len(h.tasks) == 0 {
		delete(e.hosts, h.ID)
		e.health.Forget(h.ID)
	}
}

// allocate takes up the capacity of a host that is present.
func (e *Engine) allocate(now time.Duration, h *host, t *task) {
	h.skipReaction = false
	if h.registered {
		e.index.Take(h.indexEntry, t.Job, t.reserved)
		t.modelWeight = taskWeight(t.Size, h.indexEntry)
		e.model.AddWeight(now, h.ID, t.Job, t.modelWeight*t.cpuShare)
	}
}

// deallocate gives the capacity back.
func (e *Engine) deallocate(now time.Duration, h *host, t *task) {
	h.skipReaction = false
	h.throttledTasks -= throttledCount(t.cpuShare)
	if h.registered {
		e.index.Give(h.indexEntry, t.Job, t.reserved)
		e.model.AddWeight(now, h.ID, t.Job, -t.modelWeight*t.cpuShare)
	}
}

// Decisions takes the decisions made since the last call.
func (e *Engine) Decisions() []policy.Decision {
	pending := e.decisions
	e.decisions = nil
	return pending
}

// Waiting is the number of waiting tasks.
func (e *Engine) Waiting() int { return len(e.waiting) }

// maxPendingDecisions bounds the decisions kept when nobody takes them.
const maxPendingDecisions = 10_000

func (e *Engine) recordDecision(d policy.Decision) {
	if len(e.decisions) >= maxPendingDecisions {
		e.decisions = slices.Delete(e.decisions, 0, maxPendingDecisions/2)
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
