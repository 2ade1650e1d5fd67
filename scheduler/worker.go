package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"geraniumwall/lease"
	"geraniumwall/policy"
	"geraniumwall/workerapi"
)

// worker is the state that the scheduler keeps of one worker.
type worker struct {
	// id is the key in Core.workers and name the configured name of the worker. They
	// differ once a newer incarnation has registered under the name.
	id          string
	name        string
	incarnation string
	address     string
	rack        string
	slots       int
	connections int
	services    []string
	// perSlot is the reservation per slot that the configuration requests.
	perSlot       workerapi.Resources
	allocation    allocation
	session       session
	sequence      uint64
	lastHeartbeat time.Duration
	// liveTasks are the tasks with a live attempt on this worker.
	liveTasks map[string]*task
	// orphans are running attempts that the scheduler did not expect on this worker.
	orphans map[string]*orphan
	grants  map[gatewayKey]*grant
	leaving bool
	drained bool
	silent  bool
	// predecessor is the previous incarnation while it may still run tasks.
	predecessor *worker
	// lastUpsert is the value last passed to Engine.UpsertWorker.
	lastUpsert policy.Worker
}

// orphan is a running attempt that is not the live attempt of its task.
type orphan struct {
	ref      workerapi.TaskRef
	leaseEnd time.Duration
	nextStop time.Duration
}

// Heartbeat processes a heartbeat and renews the leases of the attempts that may
// continue. It returns a *Refusal for a heartbeat that it cannot accept.
func (c *Core) Heartbeat(now time.Duration, hb *workerapi.Heartbeat) (workerapi.HeartbeatAnswer, error) {
	answer := workerapi.HeartbeatAnswer{Scheduler: c.settings.Identity, Version: c.version}
	w := c.workers[hb.Worker]
	if err := c.validateHeartbeat(now, hb, w); err != nil {
		return workerapi.HeartbeatAnswer{}, err
	}
	if w == nil || w.incarnation != hb.Incarnation {
		w = c.registerWorker(now, hb, w)
	} else if hb.Sequence <= w.sequence {
		return answer, nil
	}
	c.applyHeartbeat(now, w, hb)
	c.checkSession(now, w, hb)
	if !w.session.held && !c.authority.active() {
		answer.IntervalMS = standbyHeartbeatInterval.Milliseconds()
	}
	if w.session.held && !w.session.servicesOnly && c.authority.active() {
		// A heartbeat sent before the attach may arrive after it.
		if !hb.WithoutTasks {
			c.reconcileTasks(now, w, hb.Tasks, &answer)
		}
		c.forwardServiceReports(now, w, hb)
	}
	return answer, nil
}

// validateHeartbeat checks the fields of a heartbeat, its domain and whether it
// conflicts with the worker registered under the same name.
func (c *Core) validateHeartbeat(now time.Duration, hb *workerapi.Heartbeat, known *worker) error {
	if hb.Domain != c.settings.Domain {
		return &Refusal{
			Kind: RefusedDomain, Worker: hb.Worker,
			Text:   fmt.Sprintf("is in domain %q, but this scheduler serves domain %q", hb.Domain, c.settings.Domain),
			Remedy: "correct the domain or the scheduler addresses in the worker settings",
		}
	}
	if err := validateHeartbeatFields(hb); err != nil {
		return err
	}
	alive := known != nil && !known.isSilent(now)
	if alive && (known.incarnation != hb.Incarnation || known.address != hb.Address) {
		return &Refusal{
			Kind: RefusedDuplicate, Worker: hb.Worker,
			Text: fmt.Sprintf("is registered at %s with incarnation %q, but the heartbeat is from %s with incarnation %q",
				known.address, known.incarnation, hb.Address, hb.Incarnation),
			Remedy: "give each worker a unique name, or wait until the first has been silent for 5 seconds",
		}
	}
	if known == nil || known.incarnation != hb.Incarnation {
		return c.validateSlots(hb)
	}
	if known.allocation.capacity != hb.Capacity || known.slots != hb.Slots || known.connections != hb.Connections {
		return &Refusal{
			Kind: RefusedInvalid, Worker: hb.Worker,
			Text:   "changed its capacity, slots or connections while running",
			Remedy: "restart the worker to change them",
		}
	}
	return nil
}

func validateHeartbeatFields(hb *workerapi.Heartbeat) error {
	invalid := func(text, remedy string) error {
		return &Refusal{Kind: RefusedInvalid, Worker: hb.Worker, Text: text, Remedy: remedy}
	}
	switch {
	case hb.Worker == "" || len(hb.Worker) > maxNameLen || strings.Contains(hb.Worker, "/"):
		return invalid("has no valid name", "use a name of 1 to 128 bytes without a slash")
	case hb.Incarnation == "" || len(hb.Incarnation) > maxNameLen:
		return invalid("has no valid incarnation", "send a new random incarnation at each start")
	case hb.Address == "":
		return invalid("has no address", "send the address at which the worker listens")
	case hb.Sequence == 0:
		return invalid("has sequence 0", "number heartbeats from 1")
	case resourcesOutOfRange(hb.Capacity):
		return invalid("has a capacity that is out of range", "send amounts of 0 to 2^40")
	case hb.Slots < 0 || hb.Slots > maxSlots || hb.Connections < 0 || hb.Connections > maxSlots*maxSlots:
		return invalid("has a number of slots or connections that is out of range", "send 0 to 4096 slots")
	case hb.Slots > hb.Connections:
		return invalid("offers more slots than connections", "allow at least one connection for each slot")
	}
	return validateTaskReports(hb, invalid)
}

func validateTaskReports(hb *workerapi.Heartbeat, invalid func(text, remedy string) error) error {
	seen := make(map[string]bool, len(hb.Tasks))
	sum := workerapi.Resources{}
	for i := range hb.Tasks {
		r := &hb.Tasks[i]
		if r.ID == "" || seen[r.ID] || resourcesOutOfRange(r.Resources) {
			return invalid(fmt.Sprintf("reports task %q more than once, without an ID or with resources out of range", r.ID),
				"report each task once with the resources of its start command")
		}
		seen[r.ID] = true
		if r.Phase == workerapi.PhaseRunning {
			sum = sum.Plus(r.Resources)
		}
	}
	if !sum.Fits(hb.Capacity) {
		return invalid("reports running tasks that exceed its capacity", "refuse starts that do not fit")
	}
	if !validSlotsInUse(hb.SlotsInUse, hb.Slots) {
		return invalid("reports a negative number of slots in use or more than it offers", "reject requests that exceed the slots")
	}
	return nil
}

func validSlotsInUse(inUse map[uint64]int, slots int) bool {
	sum := 0
	for _, n := range inUse {
		if n < 0 || n > slots {
			return false
		}
		sum += n
	}
	return sum <= slots
}

func resourcesOutOfRange(r workerapi.Resources) bool {
	limit := workerapi.Resources{CPUMillis: maxCapacity, MemoryMB: maxCapacity, Accelerators: maxCapacity}
	return r.Negative() || !r.Fits(limit)
}

// validateSlots refuses a new worker whose slots do not fit into its capacity.
func (c *Core) validateSlots(hb *workerapi.Heartbeat) error {
	maxFitting := slotsThatFit(c.perSlot(hb.Services), hb.Capacity)
	if hb.Slots <= maxFitting {
		return nil
	}
	return &Refusal{
		Kind: RefusedInvalid, Worker: hb.Worker,
		Text:   fmt.Sprintf("offers %d slots, but its capacity fits only %d slots of its services", hb.Slots, maxFitting),
		Remedy: "reduce the slots in the worker settings or the size of the services in the configuration",
	}
}

// perSlot returns the largest requirement of any of the services, because each slot
// may serve each of them.
func (c *Core) perSlot(services []string) workerapi.Resources {
	var largest workerapi.Resources
	for _, name := range services {
		s, declared := c.config.FindService(name)
		if !declared {
			continue
		}
		largest.CPUMillis = max(largest.CPUMillis, s.PerSlot.CPUMillis)
		largest.MemoryMB = max(largest.MemoryMB, s.PerSlot.MemoryMB)
		largest.Accelerators = max(largest.Accelerators, s.PerSlot.Accelerators)
	}
	return largest
}

// registerWorker adds a worker or a new incarnation of one. Attempts of a previous
// incarnation stay allocated until they are guaranteed to have ended, because a
// silent process may still be running.
func (c *Core) registerWorker(now time.Duration, hb *workerapi.Heartbeat, predecessor *worker) *worker {
	w := &worker{
		id:          hb.Worker,
		name:        hb.Worker,
		incarnation: hb.Incarnation,
		slots:       hb.Slots,
		connections: hb.Connections,
		allocation:  newAllocation(hb.Capacity),
		liveTasks:   map[string]*task{},
		orphans:     map[string]*orphan{},
		grants:      map[gatewayKey]*grant{},
		drained:     c.drained[hb.Worker],
	}
	if predecessor != nil {
		c.retireWorker(now, predecessor)
		w.predecessor = predecessor
	}
	c.addWorker(w)
	c.recordDecision(now, Decision{Subject: w.id, Kind: "registered", Reason: "first heartbeat of incarnation " + hb.Incarnation})
	return w
}

// retireWorker detaches a previous incarnation. While it may still run tasks, its
// record is kept under a key of its own and its successor gets no tasks, because
// both may be on the same host.
func (c *Core) retireWorker(now time.Duration, w *worker) {
	c.engine.RemoveWorker(now, w.id)
	c.removeWorker(w)
	w.silent, w.leaving = true, true
	w.session = session{}
	w.lastUpsert = policy.Worker{}
	clear(w.grants)
	w.id += "/" + w.incarnation
	if len(w.liveTasks) > 0 || len(w.orphans) > 0 {
		c.addWorker(w)
	}
}

func (c *Core) applyHeartbeat(now time.Duration, w *worker, hb *workerapi.Heartbeat) {
	w.address, w.rack = hb.Address, hb.Rack
	w.sequence, w.lastHeartbeat = hb.Sequence, now
	if !slices.Equal(w.services, hb.Services) {
		w.services = hb.Services
		w.perSlot = c.perSlot(w.services)
	}
	c.tickNeeded = c.tickNeeded || w.leaving != hb.Draining
	w.leaving = hb.Draining
	w.silent = false
	c.updateReservation(now, w)
}

// updateReservation applies the configured slot reservation as far as it fits next
// to the tasks.
func (c *Core) updateReservation(now time.Duration, w *worker) {
	w.allocation.reserveSlots(w.perSlot, w.slots, w.committedSlots(now))
	c.updateEngine(now, w)
}

// updateEngine passes the state of the worker to the engine if it has changed.
func (c *Core) updateEngine(now time.Duration, w *worker) {
	if c.workers[w.id] != w || w.retired() {
		return
	}
	reserved := w.allocation.reserved()
	if wanted := w.perSlot.Times(int64(w.slots)); reserved.Fits(wanted) {
		reserved = wanted
	}
	update := policy.Worker{
		ID: w.id, Domain: c.settings.Domain, Rack: w.rack,
		Capacity: w.allocation.capacity, Reserved: reserved, Services: w.services,
		Accepting: w.accepting(),
	}
	if equalWorkers(update, w.lastUpsert) {
		return
	}
	w.lastUpsert = update
	c.engine.UpsertWorker(now, update)
}

func equalWorkers(a, b policy.Worker) bool {
	return a.ID == b.ID && a.Rack == b.Rack && a.Capacity == b.Capacity && a.Reserved == b.Reserved &&
		a.Accepting == b.Accepting && slices.Equal(a.Services, b.Services)
}

// accepting reports whether new tasks may be placed on the worker.
func (w *worker) accepting() bool {
	predecessorRuns := w.predecessor != nil && len(w.predecessor.liveTasks)+len(w.predecessor.orphans) > 0
	return !w.silent && !w.leaving && !w.drained && !predecessorRuns && w.session.held && !w.session.servicesOnly
}

func (w *worker) isSilent(now time.Duration) bool {
	return w.silent || now-w.lastHeartbeat >= w.timeout()
}

func (w *worker) silentReason() string { return fmt.Sprintf("no heartbeat for %v", w.timeout()) }

func (w *worker) timeout() time.Duration {
	if w.session.held {
		return heartbeatTimeout
	}
	return unattachedHeartbeatTimeout
}

// retired reports whether a newer incarnation has registered under the worker's name.
func (w *worker) retired() bool { return w.id != w.name }

func (w *worker) target() Target {
	return Target{Worker: w.id, Incarnation: w.incarnation, Address: w.address}
}

// Withdraw processes the announced departure of a worker. The worker is removed
// once it has no more live attempts and grants.
func (c *Core) Withdraw(now time.Duration, m workerapi.Withdraw) error {
	w := c.workers[m.Worker]
	if w == nil || w.incarnation != m.Incarnation {
		return &Refusal{
			Kind: RefusedUnknown, Worker: m.Worker, Text: "is not registered with this incarnation",
			Remedy: "no action is needed, the worker has no tasks",
		}
	}
	w.leaving, c.tickNeeded = true, true
	c.updateEngine(now, w)
	if m.Done {
		w.silent = true
		c.removeIfIdle(now, w)
	}
	return nil
}

// checkWorkers marks silent workers, requests missing sessions and removes workers
// whose attempts and grants are guaranteed to have ended.
func (c *Core) checkWorkers(now time.Duration) {
	for _, id := range c.workerIDs() {
		w := c.workers[id]
		if !w.silent && now-w.lastHeartbeat >= w.timeout() {
			w.silent = true
			c.recordDecision(now, Decision{Subject: w.id, Kind: "silent", Reason: w.silentReason()})
		}
		c.updateEngine(now, w)
		c.drainTasks(now, w)
		c.expireOrphans(now, w)
		if w.silent {
			c.removeIfIdle(now, w)
			continue
		}
		if !w.leaving && !w.drained {
			c.lastAvailable = now
		}
		c.requestSession(now, w)
	}
}

func (c *Core) removeIfIdle(now time.Duration, w *worker) {
	if len(w.liveTasks) > 0 || len(w.orphans) > 0 || w.grantedSlots(now) > 0 {
		return
	}
	if !w.leaving && now-w.lastHeartbeat < lease.GrantorWait(lease.TaskLease) {
		return
	}
	c.engine.RemoveWorker(now, w.id)
	c.removeWorker(w)
	c.recordDecision(now, Decision{Subject: w.id, Kind: "forgotten", Reason: "silent, with no live attempt or valid slot grant"})
}

// Drains returns the log index of the set of drained workers in force.
func (c *Core) Drains() uint64 { return c.drainIndex }

// SetDrained applies the set of drained workers as of a log index. Drained workers
// get no new tasks and their tasks are moved. Older sets are ignored.
func (c *Core) SetDrained(now time.Duration, index uint64, names []string) {
	if index <= c.drainIndex {
		return
	}
	c.drainIndex = index
	clear(c.drained)
	for _, name := range names {
		c.drained[name] = true
	}
	for _, id := range c.workerIDs() {
		w := c.workers[id]
		if drained := c.drained[w.name]; drained != w.drained {
			w.drained = drained
			c.updateEngine(now, w)
			kind := map[bool]string{true: "drain", false: "undrain"}[drained]
			c.recordDecision(now, Decision{Subject: id, Kind: kind, Reason: "requested by an operator"})
		}
	}
}

// sortedKeys returns the sorted keys of m. It is called on each tick for maps that
// are mostly empty, so it does not allocate for an empty map.
func sortedKeys[V any](m map[string]V) []string {
	if len(m) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(m))
}
