// Package engine implements policy.Engine: fair admission, interference-aware
// placement, and throttling and eviction in response to interference. It is
// deterministic: the same events at the same times with the same seed give the same
// decisions.
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

// Rules disables individual parts of the policy for ablation experiments. The zero
// value enables everything.
type Rules struct {
	Fairness  fairness.Rules
	Placement placement.Rules
	Model     interference.Rules
	// NoReaction never throttles or evicts to protect a service.
	NoReaction bool
	// NoThrottle evicts without throttling first.
	NoThrottle bool
	// NoMove does not move throttled tasks. They are evicted only if their service does
	// not recover.
	NoMove bool
	// NoBudget lifts the eviction budget and the minimum run time before an eviction.
	NoBudget bool
	// NoLeastLoss ignores lost work in the choice of the neighbour to evict.
	NoLeastLoss bool
	// NoSlack reacts above the slowdown limit even if the service is far below its
	// latency target.
	NoSlack bool
	// NoHolds never holds a host until enough of its tasks have ended for a large task.
	NoHolds bool
	// NoPreemption never evicts for urgent tasks or to reclaim borrowed quota.
	NoPreemption bool
	// NoHeadroom reserves no capacity for urgent tasks.
	NoHeadroom bool
	// NoSizing reserves exactly the declared sizes. NoLowering reserves at least them.
	NoSizing   bool
	NoLowering bool
	// NoHealth never quarantines a worker.
	NoHealth bool
}

// task is a running task, or one whose proposed placement has not been answered yet.
type task struct {
	policy.Task
	worker string
	// reserved is the capacity charged to the team and allocated on the host.
	reserved  workerapi.Resources
	startedAt time.Duration
	// cpuShare is the fraction of full speed, 1 if not throttled. cpuShareChangedAt is the
	// time of the last change, 0 if there was none.
	cpuShare          float64
	cpuShareChangedAt time.Duration
	// modelWeight is the weight of the task in the interference model when not throttled.
	modelWeight float64
	// peakUsage is the highest measured usage. Processor usage counts only while the task
	// is not throttled.
	peakUsage workerapi.Resources
	// sinceCheckpoint is the run time since the last checkpoint at usageMeasuredAt.
	sinceCheckpoint time.Duration
	usageMeasuredAt time.Duration
	// borrowed is true if the task was placed on quota borrowed from other teams.
	borrowed bool
	// evictionProposedAt is the time of the last proposal to evict the task.
	evictionProposed   bool
	evictionProposedAt time.Duration
	// planned is true until the proposed placement is answered.
	planned bool
}

// host is a worker with the tasks that run or are planned on it.
type host struct {
	policy.Worker
	// registered is false once the worker was removed while tasks still count on it, and
	// for a worker that is known from its tasks alone. indexEntry and modelWorker are nil
	// then.
	registered  bool
	indexEntry  *placement.Host
	modelWorker *interference.Worker
	tasks       map[string]*task
	// lastReactionAt is the time of the last change of a share or eviction because of
	// interference. Preemption does not count.
	lastReactionAt time.Duration
	// breachedSince is the time since which a service has been over its limit, -1 if none
	// is.
	breachedSince time.Duration
	// skipReaction is set if no service was over its limit and no task throttled at the
	// last evaluation. A service report and a start or end of a task clear it.
	skipReaction bool
	// throttledTasks is the number of tasks with a reduced processor share.
	throttledTasks int
}

// Engine makes the scheduling decisions of one failure domain.
type Engine struct {
	rules  Rules
	config config.Config
	jobs   map[string]config.Job
	// targetP99 is the latency target by service.
	targetP99 map[string]time.Duration
	// antiAffinity holds, by job, the services that must not share a host with it.
	antiAffinity  map[string]map[string]bool
	queue         *fairness.Queue
	index         *placement.Index
	chooser       placement.Chooser
	model         *interference.Model
	sizeEstimator *sizing.Estimator
	health        *health.Tracker
	hosts         map[string]*host
	// hostOrder holds the registered hosts in the order of their registration.
	hostOrder []*host
	// tasks holds running and planned tasks by ID.
	tasks map[string]*task
	// waiting holds tasks that have not started by ID, planned ones included.
	waiting map[string]policy.Task
	// planned holds the IDs of the tasks whose proposed placement is not answered yet.
	planned []string
	// holds is keyed by the ID of the task that the host is held for.
	holds              map[string]hold
	urgentReservations []urgentReservation
	failedSearches     map[searchKey]failedSearch
	// blockedUrgent holds, by ID, the urgent tasks that found no room in the last round.
	blockedUrgent map[string]fairness.Candidate
	// blockedWithinQuota holds, by team, a task within its quota that found no room in
	// the last round.
	blockedWithinQuota map[string]fairness.Candidate
	evictionBudget     tokenBucket
	// lastForcedAt is the time of the last placement of an overdue task for which limits
	// of services were ignored.
	lastForcedAt time.Duration
	// preemptionScanStart is the position in hostOrder, modulo its length, at which the
	// next search for victims starts.
	preemptionScanStart int
	// lastJoinAt is the time at which a worker was last registered.
	lastJoinAt time.Duration
	// explainedAt is the time, by task, at which a lack of room was last explained.
	explainedAt   map[string]time.Duration
	unschedulable map[string]unschedulableTask
	// decisions are those made since the last call of TakeDecisions.
	decisions []policy.Decision
}

var _ policy.Engine = (*Engine)(nil)

// New returns an engine without workers. The seed breaks ties between equal choices.
func New(seed uint64) *Engine { return NewWith(seed, Rules{}) }

// NewWith returns an engine with parts of the policy disabled.
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

// correctedSize returns the size to reserve for a task of the job.
func (e *Engine) correctedSize(job string, declared workerapi.Resources) workerapi.Resources {
	if e.rules.NoSizing {
		return declared
	}
	return e.sizeEstimator.Size(job, declared)
}

// SetConfig applies a configuration.
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

// UpsertWorker adds or updates a worker. Tasks known to run on it are kept.
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

// RemoveWorker removes a worker. Its tasks stay charged to their teams until they have
// ended.
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

// allocate takes the capacity of the task and adds its weight to the interference model
// if the host is registered.
func (e *Engine) allocate(now time.Duration, h *host, t *task) {
	h.skipReaction = false
	if h.registered {
		e.index.Take(h.indexEntry, t.Job, t.reserved)
		t.modelWeight = taskWeight(t.Size, h.indexEntry)
		e.model.AddWeight(now, h.ID, t.Job, t.modelWeight*t.cpuShare)
	}
}

// deallocate reverses allocate.
func (e *Engine) deallocate(now time.Duration, h *host, t *task) {
	h.skipReaction = false
	h.throttledTasks -= throttledCount(t.cpuShare)
	if h.registered {
		e.index.Give(h.indexEntry, t.Job, t.reserved)
		e.model.AddWeight(now, h.ID, t.Job, -t.modelWeight*t.cpuShare)
	}
}

// TakeDecisions returns and clears the decisions made since the last call.
func (e *Engine) TakeDecisions() []policy.Decision {
	pending := e.decisions
	e.decisions = nil
	return pending
}

// Waiting returns the number of tasks that have not started, those included that are
// planned or can never run.
func (e *Engine) Waiting() int { return len(e.waiting) }

// maxPendingDecisions bounds the decisions kept between two calls of Decisions. The older
// half is dropped when it is reached.
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
