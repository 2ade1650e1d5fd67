// Package scheduler is the pure core of the scheduler of one failure domain:
// the ledger of each worker, worker sessions, attempts of tasks, task leases and
// slot grants. It is told of events together with the monotonic time since the
// start of the process, and queues actions that the caller takes with
// TakeActions and carries out. It is not safe for concurrent use.
//
// The core asserts its invariants and panics when one is broken: the ledger of a
// worker never exceeds its capacity, a task never has two live attempts, and
// granted slots plus slots in use under older sessions never exceed the slots of
// a worker.
package scheduler

import (
	"time"

	"geraniumwall/config"
	"geraniumwall/policy"
)

// Settings identify a scheduler.
type Settings struct {
	// Name is the configured name; Identity adds the start of the process, so that
	// a worker distinguishes a restarted scheduler from the one before.
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
	// workerOrder caches the sorted keys of workers; nil after a change of the set.
	workerOrder []string
	// drained names the drained workers as of the log index drains.
	drained    map[string]bool
	drainIndex uint64
	tasks      map[string]*task
	// delayed are the tasks in phaseHeld.
	delayed map[string]*task
	// allocations counts the ledger entries of each task over all workers.
	allocations  map[string]int
	gateways     map[gatewayKey]*gateway
	plan         sharePlan
	reports      reportQueue
	decisions    decisionStore
	pendingStops []*task
	actions      []Action
	// lastAttempt numbers the lastAttempt of the current epoch.
	lastAttempt     uint64
	synced          bool
	stopping        bool
	nextReplan      time.Duration
	nextReaction    time.Duration
	nextGrantExpiry time.Duration
	// earliestLeaseEnd is not after the end of the lease of any live attempt.
	earliestLeaseEnd time.Duration
	// lastAvailable is when a worker was last seen that takes new work or soon will.
	lastAvailable time.Duration
	pendingStarts int
	// tickNeeded is set by an event that a tick must follow soon.
	tickNeeded bool
}

// New returns a core without a role. It must not be appointed before one
// scheduler lease has passed since now, because a grant that the process made
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

// SetConfig puts a configuration in force. Older versions are ignored.
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

// workerIDs returns the keys of the workers in order, so that equal events give
// equal actions. The caller must not change the slice.
func (c *Core) workerIDs() []string {
	if c.workerOrder == nil {
		c.workerOrder = sortedKeys(c.workers)
	}
	return c.workerOrder
}

// Tick advances everything that depends on the time alone. It is called at
// least every TickInterval, or every RestInterval while AtRest.
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

// Shutdown prepares a planned stop: the scheduler starts nothing more, and asks
// for no appointment. Its role and its leases stay until Resign.
func (c *Core) Shutdown() { c.stopping = true }

// Resign gives up the role of a scheduler that shuts down. Afterwards it grants
// nothing, renews nothing and its lease requests name no epoch.
func (c *Core) Resign(now time.Duration) {
	c.stopping = true
	c.stepDown(now, "planned stop")
	c.authority.resigned = true
}

// Version is the version of the configuration in force.
func (c *Core) Version() uint64 { return c.version }

// Settled reports whether no start is without an answer and no report without a
// record, so that the role can be given up without a loss.
func (c *Core) Settled() bool { return c.pendingStarts == 0 && len(c.reports.queue) == 0 }

// Detached reports whether no worker has a session of this scheduler.
func (c *Core) Detached() bool {
	for _, w := range c.workers {
		if w.session.held && !w.silent {
			return false
		}
	}
	return true
}
