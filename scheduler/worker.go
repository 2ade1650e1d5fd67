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

// worker is what the scheduler knows of one worker.
type worker struct {
	// id is the key of the record, name what the worker calls itself; they differ
	// once a newer incarnation has taken the name.
	id          string
	name        string
	incarnation string
	address     string
	rack        string
	slots       int
	connections int
	services    []string
	// perSlot is the reservation that the configuration asks for each slot.
	perSlot  workerapi.Resources
	ledger   account
	session  session
	sequence uint64
	heard    time.Duration
	// live holds the tasks with a live attempt on this worker.
	live map[string]*task
	// strays are attempts that the worker reports and the scheduler did not expect.
	strays  map[string]*stray
	grants  map[gatewayKey]*grant
	leaving bool
	drained bool
	silent  bool
	// predecessor is the incarnation before, while it may still run tasks.
	predecessor *worker
	// known is what the engine was told last.
	known policy.Worker
}

// stray is a running attempt that is not the live attempt of a task.
type stray struct {
	ref   workerapi.TaskRef
	until time.Duration
	retry time.Duration
}

// Heartbeat takes in a heartbeat and renews the leases of the attempts that are
// to go on. It returns a *Refusal for an announcement that it cannot accept.
func (c *Core) Heartbeat(now time.Duration, hb *workerapi.Heartbeat) (workerapi.HeartbeatAnswer, error) {
	answer := workerapi.HeartbeatAnswer{Scheduler: c.settings.Identity, Version: c.version}
	w := c.workers[hb.Worker]
	if err := c.admissible(now, hb, w); err != nil {
		return workerapi.HeartbeatAnswer{}, err
	}
	if w == nil || w.incarnation != hb.Incarnation {
		w = c.register(now, hb, w)
	} else if hb.Sequence <= w.sequence {
		return answer, nil
	}
	c.refresh(now, w, hb)
	c.checkSession(now, w, hb)
	if !w.session.held && !c.authority.active() {
		answer.IntervalMS = standbyInterval.Milliseconds()
	}
	if w.session.held && !w.session.servicesOnly && c.authority.active() {
		// A heartbeat from before the attach may come after it.
		if !hb.WithoutTasks {
			c.observeTasks(now, w, hb.Tasks, &answer)
		}
		c.observeServices(now, w, hb)
	}
	return answer, nil
}

// admissible checks an announcement against the limits of a host, the domain and
// the worker that is known under its name.
func (c *Core) admissible(now time.Duration, hb *workerapi.Heartbeat, known *worker) error {
	if hb.Domain != c.settings.Domain {
		return &Refusal{
			Kind: RefusedDomain, Worker: hb.Worker,
			Text:   fmt.Sprintf("announces domain %q to a scheduler of %q", hb.Domain, c.settings.Domain),
			Remedy: "correct the domain or the scheduler addresses in the settings of the worker",
		}
	}
	if err := checkHeartbeat(hb); err != nil {
		return err
	}
	alive := known != nil && !known.isSilent(now)
	if alive && (known.incarnation != hb.Incarnation || known.address != hb.Address) {
		return &Refusal{
			Kind: RefusedDuplicate, Worker: hb.Worker,
			Text: fmt.Sprintf("is alive at %s as incarnation %q and was announced at %s as %q",
				known.address, known.incarnation, hb.Address, hb.Incarnation),
			Remedy: "give each worker its own name, or wait until the first has been silent for 5 seconds",
		}
	}
	if known == nil || known.incarnation != hb.Incarnation {
		return c.checkReserve(hb)
	}
	if known.ledger.capacity != hb.Capacity || known.slots != hb.Slots || known.connections != hb.Connections {
		return &Refusal{
			Kind: RefusedInvalid, Worker: hb.Worker,
			Text:   "changed its capacity, slots or connections while it runs",
			Remedy: "restart the worker to announce another size",
		}
	}
	return nil
}

func checkHeartbeat(hb *workerapi.Heartbeat) error {
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
		return invalid("has sequence 0", "count heartbeats from 1")
	case badResources(hb.Capacity):
		return invalid("has a capacity out of range", "send amounts of 0 to 2^40")
	case hb.Slots < 0 || hb.Slots > maxSlots || hb.Connections < 0 || hb.Connections > maxSlots*maxSlots:
		return invalid("has a number of slots or connections out of range", "send 0 to 4096 slots")
	case hb.Slots > hb.Connections:
		return invalid("offers more slots than connections", "allow at least one connection for each slot")
	}
	return checkTaskReports(hb, invalid)
}

func checkTaskReports(hb *workerapi.Heartbeat, invalid func(text, remedy string) error) error {
	seen := make(map[string]bool, len(hb.Tasks))
	sum := workerapi.Resources{}
	for i := range hb.Tasks {
		r := &hb.Tasks[i]
		if r.ID == "" || seen[r.ID] || badResources(r.Resources) {
			return invalid(fmt.Sprintf("reports task %q twice, without a name or with a size out of range", r.ID),
				"report each task once with the size of its start command")
		}
		seen[r.ID] = true
		if r.Phase == workerapi.PhaseRunning {
			sum = sum.Plus(r.Resources)
		}
	}
	if !sum.Fits(hb.Capacity) {
		return invalid("reports running tasks above its capacity", "refuse starts that do not fit")
	}
	if !plausibleUse(hb.SlotsInUse, hb.Slots) {
		return invalid("reports more slots in use than it offers, or fewer than none", "refuse requests above the slots")
	}
	return nil
}

func plausibleUse(inUse map[uint64]int, slots int) bool {
	sum := 0
	for _, n := range inUse {
		if n < 0 || n > slots {
			return false
		}
		sum += n
	}
	return sum <= slots
}

func badResources(r workerapi.Resources) bool {
	limit := workerapi.Resources{CPUMillis: maxCapacity, MemoryMB: maxCapacity, Accelerators: maxCapacity}
	return r.Negative() || !r.Fits(limit)
}

// checkReserve refuses a new worker whose slots do not fit into its capacity.
func (c *Core) checkReserve(hb *workerapi.Heartbeat) error {
	fit := slotsThatFit(c.perSlot(hb.Services), hb.Capacity)
	if hb.Slots <= fit {
		return nil
	}
	return &Refusal{
		Kind: RefusedInvalid, Worker: hb.Worker,
		Text:   fmt.Sprintf("offers %d slots, and its capacity holds %d of its services", hb.Slots, fit),
		Remedy: "lower the slots in the settings of the worker or the size of the services in the configuration",
	}
}

// perSlot is the largest need of any of the services, since each slot may serve
// each of them.
func (c *Core) perSlot(services []string) workerapi.Resources {
	var most workerapi.Resources
	for _, name := range services {
		s, declared := c.config.FindService(name)
		if !declared {
			continue
		}
		most.CPUMillis = max(most.CPUMillis, s.PerSlot.CPUMillis)
		most.MemoryMB = max(most.MemoryMB, s.PerSlot.MemoryMB)
		most.Accelerators = max(most.Accelerators, s.PerSlot.Accelerators)
	}
	return most
}

// register adds a worker or a new incarnation. Attempts and grants of an earlier
// incarnation keep their entries until they are certainly over, since a silent
// process may still run.
func (c *Core) register(now time.Duration, hb *workerapi.Heartbeat, before *worker) *worker {
	w := &worker{
		id:          hb.Worker,
		name:        hb.Worker,
		incarnation: hb.Incarnation,
		slots:       hb.Slots,
		connections: hb.Connections,
		ledger:      newAccount(hb.Capacity),
		live:        map[string]*task{},
		strays:      map[string]*stray{},
		grants:      map[gatewayKey]*grant{},
		drained:     c.drained[hb.Worker],
	}
	if before != nil {
		c.retire(now, before)
		w.predecessor = before
	}
	c.putWorker(w)
	c.note(now, Decision{Subject: w.id, Kind: "registered", Reason: "first heartbeat of incarnation " + hb.Incarnation})
	return w
}

// retire detaches an earlier incarnation. While it may still run tasks its record
// lives on under a name of its own, and its successor gets no tasks, since both
// can be on one host.
func (c *Core) retire(now time.Duration, w *worker) {
	c.engine.RemoveWorker(now, w.id)
	c.dropWorker(w)
	w.silent, w.leaving = true, true
	w.session = session{}
	w.known = policy.Worker{}
	clear(w.grants)
	w.id += "/" + w.incarnation
	if len(w.live) > 0 || len(w.strays) > 0 {
		c.putWorker(w)
	}
}

func (c *Core) refresh(now time.Duration, w *worker, hb *workerapi.Heartbeat) {
	w.address, w.rack = hb.Address, hb.Rack
	w.sequence, w.heard = hb.Sequence, now
	if !slices.Equal(w.services, hb.Services) {
		w.services = hb.Services
		w.perSlot = c.perSlot(w.services)
	}
	c.stirred = c.stirred || w.leaving != hb.Draining
	w.leaving = hb.Draining
	w.silent = false
	c.adoptReserve(now, w)
}

// adoptReserve puts the reservation of the configuration in force as far as it
// fits beside the tasks.
func (c *Core) adoptReserve(now time.Duration, w *worker) {
	w.ledger.reserve(w.perSlot, w.slots, w.busySlots(now))
	c.tellEngine(now, w)
}

// tellEngine passes the worker on to the engine if something changed.
func (c *Core) tellEngine(now time.Duration, w *worker) {
	if c.workers[w.id] != w || w.retired() {
		return
	}
	reserved := w.ledger.reserved()
	if wanted := w.perSlot.Times(int64(w.slots)); reserved.Fits(wanted) {
		reserved = wanted
	}
	told := policy.Worker{
		ID: w.id, Domain: c.settings.Domain, Rack: w.rack,
		Capacity: w.ledger.capacity, Reserved: reserved, Services: w.services,
		Accepting: w.accepting(),
	}
	if sameWorker(told, w.known) {
		return
	}
	w.known = told
	c.engine.UpsertWorker(now, told)
}

func sameWorker(a, b policy.Worker) bool {
	return a.ID == b.ID && a.Rack == b.Rack && a.Capacity == b.Capacity && a.Reserved == b.Reserved &&
		a.Accepting == b.Accepting && slices.Equal(a.Services, b.Services)
}

// accepting reports whether the worker may get new tasks.
func (w *worker) accepting() bool {
	inherits := w.predecessor != nil && len(w.predecessor.live)+len(w.predecessor.strays) > 0
	return !w.silent && !w.leaving && !w.drained && !inherits && w.session.held && !w.session.servicesOnly
}

func (w *worker) isSilent(now time.Duration) bool { return w.silent || now-w.heard >= w.silenceLimit() }

func (w *worker) silentReason() string { return fmt.Sprintf("no heartbeat for %v", w.silenceLimit()) }

func (w *worker) silenceLimit() time.Duration {
	if w.session.held {
		return silentAfter
	}
	return unattachedSilentAfter
}

// retired reports whether a newer incarnation has taken the name of the worker.
func (w *worker) retired() bool { return w.id != w.name }

func (w *worker) target() Target {
	return Target{Worker: w.id, Incarnation: w.incarnation, Address: w.address}
}

// Withdraw takes in the departure of a worker. Once nothing runs it is forgotten.
func (c *Core) Withdraw(now time.Duration, m workerapi.Withdraw) error {
	w := c.workers[m.Worker]
	if w == nil || w.incarnation != m.Incarnation {
		return &Refusal{
			Kind: RefusedUnknown, Worker: m.Worker, Text: "is not known under this incarnation",
			Remedy: "nothing needs to be done, the worker has no work",
		}
	}
	w.leaving, c.stirred = true, true
	c.tellEngine(now, w)
	if m.Done {
		w.silent = true
		c.forgetIfIdle(now, w)
	}
	return nil
}

// checkWorkers marks silent workers, attaches to workers without a session and
// forgets those of which nothing can be alive.
func (c *Core) checkWorkers(now time.Duration) {
	for _, id := range c.workerIDs() {
		w := c.workers[id]
		if !w.silent && now-w.heard >= w.silenceLimit() {
			w.silent = true
			c.note(now, Decision{Subject: w.id, Kind: "silent", Reason: w.silentReason()})
		}
		c.tellEngine(now, w)
		c.moveAway(now, w)
		c.expireStrays(now, w)
		if w.silent {
			c.forgetIfIdle(now, w)
			continue
		}
		if !w.leaving && !w.drained {
			c.lastPresent = now
		}
		c.seekSession(now, w)
	}
}

func (c *Core) forgetIfIdle(now time.Duration, w *worker) {
	if len(w.live) > 0 || len(w.strays) > 0 || w.granted(now) > 0 {
		return
	}
	if !w.leaving && now-w.heard < lease.GrantorWait(lease.TaskLease) {
		return
	}
	c.engine.RemoveWorker(now, w.id)
	c.dropWorker(w)
	c.note(now, Decision{Subject: w.id, Kind: "forgotten", Reason: "silent, and nothing of it can be alive"})
}

// Drains is the log index of the drains in force.
func (c *Core) Drains() uint64 { return c.drains }

// SetDrained puts the drained workers as of a log index in force: they get no new
// work and their tasks are moved. Older sets are ignored.
func (c *Core) SetDrained(now time.Duration, index uint64, names []string) {
	if index <= c.drains {
		return
	}
	c.drains = index
	clear(c.drained)
	for _, name := range names {
		c.drained[name] = true
	}
	for _, id := range c.workerIDs() {
		w := c.workers[id]
		if drained := c.drained[w.name]; drained != w.drained {
			w.drained = drained
			c.tellEngine(now, w)
			kind := map[bool]string{true: "drain", false: "undrain"}[drained]
			c.note(now, Decision{Subject: id, Kind: kind, Reason: "requested by an operator"})
		}
	}
}

// sortedKeys is called on each tick for maps that are mostly empty, so it allocates
// nothing for those.
func sortedKeys[V any](m map[string]V) []string {
	if len(m) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(m))
}
