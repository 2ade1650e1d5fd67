// Package scheduler is the core of the scheduler of one failure domain, without
// I/O. It tracks the resources allocated on each worker, worker sessions, task
// attempts, task leases and slot grants. The caller passes in events with the
// monotonic time since the start of the process, and fetches the resulting actions
// with TakeActions and executes them. Core is not safe for concurrent use.
//
// The core asserts its invariants and panics on a violation: the allocations on a
// worker never exceed its capacity, a task never has two live attempts, and granted
// slots plus slots in use under older sessions never exceed the slots of a worker.
//
// "Control" in this package is the replicated control service that owns the task
// records and appoints the active scheduler of each domain.
package scheduler

import (
	"time"

	"geraniumwall/config"
	"geraniumwall/policy"
)

// Settings identifies a scheduler.
type Settings struct {
	// Name is the configured name. Identity also contains the start of the process,
	// so that workers can tell a restarted scheduler from its predecessor.
	Name     string
	Identity string
	Domain   string
}

// Core is the state of one scheduler.
type Core struct {
	settings  Settings
	engine    policy.Engine
	config    config.Config
	version   uint64
	authority authority
	workers   map[string]*worker
	// workerOrder caches the sorted keys of workers; nil after a worker was added or removed.
	workerOrder []string
	// drained is the set of drained workers as of log index drainIndex.
	drained    map[string]bool
	drainIndex uint64
	tasks      map[string]*task
	// delayed is the set of tasks in phaseDelayed.
	delayed map[string]*task
	// allocations counts the allocations of each task over all workers.
	allocations  map[string]int
	gateways     map[gatewayKey]*gateway
	plan         sharePlan
	reports      reportQueue
	decisions    decisionStore
	pendingStops []*task
	actions      []Action
	// lastAttempt is the highest attempt number used in the current epoch.
	lastAttempt     uint64
	synced          bool
	stopping        bool
	nextReplan      time.Duration
	nextReaction    time.Duration
	nextGrantExpiry time.Duration
	// earliestLeaseEnd is a lower bound of the lease ends of all live attempts.
	earliestLeaseEnd time.Duration
	// lastAvailable is the last time at which a worker accepted new tasks or was
	// about to.
	lastAvailable time.Duration
	pendingStarts int
	// tickNeeded is set by events that require a tick without the idle delay.
	tickNeeded bool
}

// New returns a core without a role. It must not be appointed before one
// scheduler lease has passed since now, because a lease that the process granted
// before a restart is not persisted.
func New(now time.Duration, settings Settings, engine policy.Engine) *Core {
	return &Core{
		settings:    settings,
		engine:      engine,
		authority:   newAuthority(now),
		workers:     map[string]*worker{},
		drained:     map[string]bool{},
		tasks:       map[string]*task{},
		delayed:     map[string]*task{},
		allocations: map[string]int{},
		gateways:    map[gatewayKey]*gateway{},
		reports:     newReportQueue(),
		decisions:   newDecisionStore(),
	}
}

// TakeActions returns the actions queued since the last call, oldest first.
func (c *Core) TakeActions() []Action {
	taken := c.actions
	c.actions = nil
	return taken
}

func (c *Core) queueAction(a Action) { c.actions = append(c.actions, a) }

// SetConfig applies a configuration. Older versions are ignored.
func (c *Core) SetConfig(now time.Duration, version uint64, cfg config.Config) {
	if version <= c.version {
		return
	}
	c.version, c.config = version, cfg
	c.engine.SetConfig(now, cfg)
	for _, id := range c.workerIDs() {
		w := c.workers[id]
		w.perSlot = c.perSlot(w.services)
		c.updateReservation(now, w)
	}
}

func (c *Core) addWorker(w *worker) {
	c.workers[w.id] = w
	c.workerOrder = nil
}

func (c *Core) removeWorker(w *worker) {
	delete(c.workers, w.id)
	c.workerOrder = nil
}

// workerIDs returns the sorted worker keys, so that equal events produce equal
// actions. The caller must not modify the slice.
func (c *Core) workerIDs() []string {
	if c.workerOrder == nil {
		c.workerOrder = sortedKeys(c.workers)
	}
	return c.workerOrder
}

// Tick performs all work that depends only on the time. It must be called at
// least every TickInterval, or every RestInterval while AtRest returns true.
func (c *Core) Tick(now time.Duration) {
	c.tickNeeded = false
	c.activateIfAppointed(now)
	c.checkWorkers(now)
	c.expireGrants(now)
	if c.authority.active() {
		c.expireAttempts(now)
		c.enqueueDelayed(now)
		c.applyReactions(now)
		c.placeTasks(now)
		c.returnWaitingTasks(now)
		c.sendStops(now)
	}
	c.flushReports(now)
	c.collectDecisions(now)
}

// Shutdown prepares a planned shutdown: the scheduler starts no more tasks and
// does not ask to be appointed. It keeps its role and its leases until Resign.
func (c *Core) Shutdown() { c.stopping = true }

// Resign gives up the role during a planned shutdown. Afterwards the scheduler
// grants nothing, renews nothing and sends no lease requests.
func (c *Core) Resign(now time.Duration) {
	c.stopping = true
	c.stepDown(now, "planned shutdown")
	c.authority.resigned = true
}

// Version returns the version of the configuration in force.
func (c *Core) Version() uint64 { return c.version }

// Settled reports whether every start has been answered and every report has been
// recorded by control, so that giving up the role loses nothing.
func (c *Core) Settled() bool { return c.pendingStarts == 0 && len(c.reports.queue) == 0 }

// Detached reports whether this scheduler holds no session of a worker that still
// sends heartbeats.
func (c *Core) Detached() bool {
	for _, w := range c.workers {
		if w.session.held && !w.silent {
			return false
		}
	}
	return true
}
