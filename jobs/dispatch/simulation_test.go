package dispatch

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"geraniumwall/jobs"
	"geraniumwall/jobs/dispatch/locality"
)

// simulation simulates workers, a log and successive leaders in virtual time, and checks
// the invariants at each start on a worker.
type simulation struct {
	rng     *rand.Rand
	now     time.Duration
	events  events
	store   *jobs.Store
	leaders []*Dispatcher
	deposed map[*Dispatcher]bool
	workers []*simWorker
	// lateRate is the share of orders that are executed late and not answered, noAnswerRate
	// the share that are lost.
	lateRate, noAnswerRate float64
	// rejectRate is the share of the batches of commands that are not committed although
	// the leader stays in office.
	rejectRate float64
	// commitDelay is added to the time until a command is committed. committedUntil is when
	// the newest command is committed.
	commitDelay, committedUntil time.Duration
	// expireRate is the share of orders that expire on their way and are not sent.
	expireRate float64
	// holdDelay is added to the network delay of holds.
	holdDelay time.Duration
	// answerDelay is how long each answer takes in addition. One that takes longer than
	// simReplyTimeout counts as missing at first, and the answer to another order than a hold
	// is lost unless lateAnswers is set.
	answerDelay time.Duration
	lateAnswers bool
	// stops counts the stop orders that workers have executed.
	stops int
	// stopTime is how long a worker takes to stop a task.
	stopTime time.Duration
	// durationSpread is the largest share by which a run is shorter or longer than declared.
	durationSpread float64
	// maxDelay bounds the network delay of an order or a reply.
	maxDelay time.Duration
	// violations describes the invariants that were broken.
	violations []string
	starts     int
	// failedEnds counts the failed attempts of each task on workers.
	failedEnds map[jobs.TaskKey]int
	// stoppedEnds counts the attempts of each task that workers stopped.
	stoppedEnds map[jobs.TaskKey]int
	// registered holds the capacity of each worker that was not silent, by the log, when a
	// leader took over.
	registered map[*Dispatcher]map[jobs.Incarnation]jobs.Resources
	// maxHeartbeatDelay bounds the network delay of a heartbeat.
	maxHeartbeatDelay time.Duration
	// deadly are the tasks that crash each worker on which they start.
	deadly map[jobs.TaskKey]bool
	// crashesUnder counts the workers that crashed while a task ran there, and
	// startsAfterCrashes its starts after maxCrashesUnder of them. possibleCrashes also counts
	// those on which the task may have run as far as the log tells.
	crashesUnder       map[jobs.TaskKey]int
	startsAfterCrashes map[jobs.TaskKey]int
	possibleCrashes    map[jobs.TaskKey]int
	// stalledUntil is when the control thread of a leader runs again. Its events wait until then.
	stalledUntil map[*Dispatcher]time.Duration
	// maxCarrierWait bounds how long an order waits at a carrier that has found it to be in
	// time, and lostReplyRate is the share of the replies that carriers lose.
	maxCarrierWait time.Duration
	lostReplyRate  float64
	// carrierWait returns how long an order waits there, in place of a random time.
	carrierWait func(o Order) time.Duration
	// proposed are the commands of the current leader that are not committed yet. A takeover
	// commits some of them if inheritProposals is set.
	proposed         []*proposedBatch
	inheritProposals bool
	// boundToEnded counts the bindings to incarnations that had ended already.
	boundToEnded map[jobs.TaskKey]int
	// gangs are the attempts of gangs on workers.
	gangs map[gangAttempt]*simGang
	// begun are the jobs of which a worker has begun a task.
	begun map[string]bool
	// doneEnds are the successful ends on workers, by task.
	doneEnds map[jobs.TaskKey][]*doneEnd
	// evacuatedSince is when each evacuated domain was evacuated.
	evacuatedSince map[string]time.Duration
	// fairShares are the settings of the shares of queues.
	fairShares *FairShares
	// byAddress holds the workers by their first addresses, since a search through a large
	// fleet for each order takes long.
	byAddress map[string]*simWorker
	// options are those of the leaders.
	options Options
	// observe, if set, is called with each step of a task from the end of one attempt to the
	// next.
	observe func(step string, key jobs.TaskKey)
	// admission makes leaders refuse jobs.
	admission bool
	// entries, if set, limits the entries of the log.
	entries *simEntries
	// remoteSlowdown is the setting of the leaders, and placeRule replaces their decision about
	// preferred places.
	remoteSlowdown float64
	placeRule      func(locality.Input) locality.Decision
	// slowdown is the ratio of the duration of a run away from its data to that near them, 0
	// for 1. workFactor returns the ratio of the duration of a task to the declared one.
	slowdown   float64
	workFactor func(key jobs.TaskKey) float64
	// fails reports whether an attempt fails at its end.
	fails func(key jobs.TaskKey, attempt int) bool
}

// simEntries models the group commit of the leader: at most size commands share an entry, and
// an entry is proposed an interval after the one before.
type simEntries struct {
	size     int
	interval time.Duration
	queued   []Proposal
	// nextAt is when the next entry may be proposed.
	nextAt    time.Duration
	scheduled bool
}

func (sim *simulation) observeStep(step string, key jobs.TaskKey) {
	if sim.observe != nil {
		sim.observe(step, key)
	}
}

// proposedBatch is a batch of commands that a leader has proposed together.
type proposedBatch struct {
	leader   *Dispatcher
	commands []Proposal
}

// doneEnd is a successful end on a worker.
type doneEnd struct {
	attempt int
	// leaseExpired is set once the lease of the worker has expired since, and acknowledged once
	// a leader has acknowledged the end before that.
	leaseExpired, acknowledged bool
	// startedAgain is set once a later start of the task was carried out.
	startedAgain bool
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events struct {
	list []event
	seq  int
}

func (e *events) Len() int { return len(e.list) }
func (e *events) Less(i, j int) bool {
	return e.list[i].at < e.list[j].at || e.list[i].at == e.list[j].at && e.list[i].seq < e.list[j].seq
}
func (e *events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *events) Push(x any)    { e.list = append(e.list, x.(event)) }
func (e *events) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.events.seq++
	heap.Push(&sim.events, event{sim.now + d, sim.events.seq, run})
}

func (sim *simulation) violation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.now)+fmt.Sprintf(format, args...))
}

const (
	testLease               = 4 * time.Second
	testHeartbeatInterval   = time.Second
	testPreviousLeaderLease = 400 * time.Millisecond
	testCapacityGrace       = 2 * time.Second
	testTick                = 20 * time.Millisecond
	// testTakeover is how long after its takeover a leader may rely on the capacity in the
	// log: the time that a restored worker has to report, and that an order travels.
	testTakeover = testHeartbeatInterval + 1500*time.Millisecond
	unixStart    = 1_700_000_000_000
	// testReplyTimeout is how long a leader waits for the reply of a carrier, besides the time
	// that a worker may wait itself.
	testReplyTimeout = 1500 * time.Millisecond
)

func (sim *simulation) unix() int64 { return unixStart + sim.now.Milliseconds() }

// startLeader starts a new leader with a replica of the state. Earlier ones stay active for
// a random time of at most testPreviousLeaderLease, and learn of no further commands.
func (sim *simulation) startLeader() *Dispatcher {
	sim.copyStore()
	sim.commitInherited()
	if sim.entries != nil {
		// The queue of the former leader ends with its term.
		sim.entries.queued = nil
	}
	for _, previous := range sim.leaders {
		sim.schedule(time.Duration(sim.rng.Int64N(int64(testPreviousLeaderLease))), func() { sim.depose(previous) })
	}
	options := sim.options
	options.FairShares, options.RemoteSlowdown, options.Admission = sim.fairShares, sim.remoteSlowdown, sim.admission
	d := New(options, sim.store, int64(len(sim.leaders)+1), sim.now, sim.unix())
	if sim.placeRule != nil {
		d.planner.places.decide = sim.placeRule
	}
	sim.leaders = append(sim.leaders, d)
	sim.registered[d] = map[jobs.Incarnation]jobs.Resources{}
	for _, w := range sim.store.Workers() {
		if !w.Silent {
			sim.registered[d][w.Incarnation] = w.Capacity
		}
	}
	sim.tick(d)
	return d
}

// copyStore replaces the store by a copy, as each replica has its own.
func (sim *simulation) copyStore() {
	data, err := sim.store.Snapshot()
	if err != nil {
		panic(err)
	}
	if sim.store, err = jobs.Restore(data); err != nil {
		panic(err)
	}
}

// commitInherited commits the first of the commands that the former leader has proposed, as
// far as the new one has them in its log.
func (sim *simulation) commitInherited() {
	if sim.inheritProposals && len(sim.proposed) > 0 {
		for _, batch := range sim.proposed[:sim.rng.IntN(len(sim.proposed)+1)] {
			for _, p := range batch.commands {
				sim.apply(p.Command)
			}
		}
	}
	sim.proposed = nil
}

func (sim *simulation) apply(c jobs.Command) jobs.Result {
	current := c.End != nil && sim.isCurrent(c.End)
	result := sim.store.Apply(c)
	switch {
	case c.Bind != nil && result.Applied:
		sim.observeStep("committed", c.Bind.Task)
	case current && result.Applied:
		sim.observeStep("ended", c.End.Task)
	}
	sim.checkStates(&c)
	if c.Bind != nil && result.Applied && !sim.isUp(c.Bind.On) {
		sim.boundToEnded[c.Bind.Task]++
	}
	return result
}

// checkStates checks that no job of a command is shown as running before a worker has begun one
// of its tasks.
func (sim *simulation) checkStates(c *jobs.Command) {
	ids := []string{c.Task().Job}
	if c.RecordStarts != nil {
		ids = c.RecordStarts.Jobs
	}
	for _, id := range ids {
		if j := sim.store.Job(id); j != nil && j.State == jobs.Running && !sim.begun[id] {
			sim.violation("job %s is shown as running, but no worker has begun it", id)
		}
	}
}

// isCurrent reports whether an end is that of the attempt to which its task is bound.
func (sim *simulation) isCurrent(c *jobs.End) bool {
	j := sim.store.Job(c.Task.Job)
	return j != nil && j.Task(c.Task).BoundTo != nil && j.Task(c.Task).Attempt == c.Attempt
}

func (sim *simulation) isUp(on jobs.Incarnation) bool {
	return slices.ContainsFunc(sim.workers, func(t *simWorker) bool {
		return t.up && t.id == on.Worker && t.startedAtMS == on.StartedAtMS
	})
}

// onControl runs a function on the control thread of a leader, after those that wait there.
func (sim *simulation) onControl(d *Dispatcher, run func()) {
	if wait := sim.stalledUntil[d] - sim.now; wait > 0 {
		sim.schedule(wait, func() { sim.onControl(d, run) })
		return
	}
	run()
}

// stall keeps the control thread of the current leader from running for a time.
func (sim *simulation) stall(length time.Duration) {
	if d := sim.current(); sim.stalledUntil[d] <= sim.now {
		sim.stalledUntil[d] = sim.now + length
	}
}

func (sim *simulation) depose(d *Dispatcher) { sim.deposed[d] = true }

func (sim *simulation) current() *Dispatcher { return sim.leaders[len(sim.leaders)-1] }

func (sim *simulation) tick(d *Dispatcher) {
	if sim.deposed[d] {
		return
	}
	d.Advance(sim.now, sim.unix())
	sim.checkLoads(d)
	d.Tick()
	sim.carryOut(d)
	sim.schedule(testTick, func() { sim.onControl(d, func() { sim.tick(d) }) })
}

// carryOut sends the orders of a leader and proposes its commands. Only the commands of
// the newest leader are committed.
func (sim *simulation) carryOut(d *Dispatcher) {
	commands, orders, logEvents := d.TakeOutput()
	for i := range logEvents {
		if logEvents[i].Repair {
			sim.violation("the audit had to repair: %+v", logEvents[i])
		}
	}
	for i := range commands {
		if b := commands[i].Command.Bind; b != nil {
			sim.observeStep("bound", b.Task)
		}
	}
	if sim.entries == nil || d != sim.current() {
		sim.propose(d, commands)
	} else {
		sim.entries.queued = append(sim.entries.queued, commands...)
		sim.proposeEntries(d)
	}
	for _, o := range orders {
		if o.Start != nil {
			sim.observeStep("ordered", o.Start.Task)
		}
		sim.sendOrder(d, o)
	}
}

// propose proposes commands as one entry. Entries are committed in the order in which they
// were proposed.
func (sim *simulation) propose(d *Dispatcher, commands []Proposal) {
	if len(commands) == 0 {
		return
	}
	sim.committedUntil = max(sim.committedUntil, sim.now+5*time.Millisecond+sim.commitDelay)
	batch := &proposedBatch{d, commands}
	sim.proposed = append(sim.proposed, batch)
	sim.schedule(sim.committedUntil-sim.now, func() { sim.onControl(d, func() { sim.commit(batch) }) })
}

// proposeEntries proposes the queued commands of the newest leader in entries of limited size.
func (sim *simulation) proposeEntries(d *Dispatcher) {
	e := sim.entries
	if len(e.queued) == 0 || e.scheduled {
		return
	}
	if wait := e.nextAt - sim.now; wait > 0 {
		e.scheduled = true
		sim.schedule(wait, func() {
			e.scheduled = false
			if d == sim.current() {
				sim.proposeEntries(d)
			}
		})
		return
	}
	n := EntryLen(e.queued, e.size)
	e.nextAt = sim.now + e.interval
	sim.propose(d, e.queued[:n:n])
	e.queued = e.queued[n:]
	sim.proposeEntries(d)
}

func (sim *simulation) commit(batch *proposedBatch) {
	d := batch.leader
	sim.proposed = slices.DeleteFunc(sim.proposed, func(b *proposedBatch) bool { return b == batch })
	if sim.deposed[d] {
		return
	}
	d.Advance(sim.now, sim.unix())
	rejected := sim.rejectRate > 0 && sim.rng.Float64() < sim.rejectRate
	applied := !rejected && d == sim.current()
	results := make([]jobs.Result, len(batch.commands))
	for i := range batch.commands {
		if applied {
			results[i] = sim.apply(batch.commands[i].Command)
		}
	}
	for i, p := range batch.commands {
		p.OnResult(results[i], applied)
	}
	sim.carryOut(d)
}

func (sim *simulation) sendOrder(leader *Dispatcher, o Order) {
	sent := sim.now
	answer := func(r Reply) {
		sim.onControl(leader, func() { sim.handleReply(leader, o, r, sent) })
	}
	if sim.answerDelay > 0 {
		answer = sim.delayAnswer(o, answer)
	}
	if sim.maxCarrierWait == 0 && sim.lostReplyRate == 0 && sim.carrierWait == nil {
		sim.call(leader, o, answer)
		return
	}
	sim.sendByCarrier(leader, o, answer)
}

func (sim *simulation) handleReply(leader *Dispatcher, o Order, r Reply, sent time.Duration) {
	if sim.deposed[leader] {
		return
	}
	r.Order, r.SentAt, r.ReceivedAt = o, sent, sim.now
	if o.Start != nil {
		sim.observeStep("answered: "+fmt.Sprint(r.Status), o.Start.Task)
	}
	leader.Advance(sim.now, sim.unix())
	leader.HandleReply(r)
	sim.carryOut(leader)
}

// sendByCarrier lets an order wait at a carrier, which may lose the reply.
func (sim *simulation) sendByCarrier(leader *Dispatcher, o Order, answer func(Reply)) {
	limit := testReplyTimeout
	if o.Hold != nil {
		limit += o.Hold.MaxWait
	}
	unreported := false
	answered := false
	sim.schedule(limit, func() {
		if !answered {
			unreported = true
			answer(Reply{Status: Unknown, Unreported: true, Reason: "the carrier has not reported"})
		}
	})
	report := func(r Reply) {
		answered, r.Late = true, unreported
		answer(r)
	}
	if sim.rng.Float64() < sim.lostReplyRate {
		report = func(Reply) {}
	}
	wait := time.Duration(sim.rng.Int64N(int64(sim.maxCarrierWait) + 1))
	if sim.carrierWait != nil {
		wait = sim.carrierWait(o)
	}
	sim.schedule(wait, func() { sim.call(leader, o, report) })
}

// call sends an order to its worker.
func (sim *simulation) call(leader *Dispatcher, o Order, answer func(Reply)) {
	t := sim.workerAt(o.To.HostPort)
	wait := 700 * time.Millisecond
	if o.Hold != nil {
		wait += o.Hold.MaxWait
	}
	if sim.expires() {
		sim.schedule(sim.networkDelay(), func() { answer(Reply{Status: Expired}) })
		return
	}
	switch draw := sim.rng.Float64(); {
	case t == nil:
		sim.schedule(sim.networkDelay(), func() { answer(Reply{Status: Unreachable}) })
	case draw < sim.lateRate:
		sim.executeLate(leader, t, o)
		sim.schedule(wait, func() { answer(Reply{Status: Unknown}) })
	case t.refuses():
		sim.schedule(sim.networkDelay(), func() { answer(Reply{Status: Unreachable}) })
	case draw < sim.lateRate+sim.noAnswerRate || t.silent():
		sim.schedule(wait, func() { answer(Reply{Status: Unknown}) })
	default:
		incarnation, delay := t.startedAtMS, sim.networkDelay()
		if o.Hold != nil {
			delay += sim.holdDelay
		}
		sim.schedule(delay, func() {
			if t.startedAtMS != incarnation || !t.up || t.partitioned {
				sim.schedule(wait, func() { answer(Reply{Status: Unknown}) })
				return
			}
			sim.deliver(leader, t, o, answer)
		})
	}
}

// simReplyTimeout is how long the sender of an order waits for its answer, besides the time
// that the worker may wait.
const simReplyTimeout = 1500 * time.Millisecond

// delayAnswer returns a function that passes an answer on answerDelay later. The order
// counts as not answered once simReplyTimeout has passed.
func (sim *simulation) delayAnswer(o Order, answer func(Reply)) func(Reply) {
	timeout := simReplyTimeout
	if o.Hold != nil {
		timeout += o.Hold.MaxWait
	}
	answered := false
	sim.schedule(timeout, func() {
		if !answered {
			answered = true
			answer(Reply{Status: Unknown, Unreported: true})
		}
	})
	return func(r Reply) {
		sim.schedule(sim.answerDelay, func() {
			if !answered {
				answered = true
				answer(r)
			} else if sim.lateAnswers || o.Hold != nil {
				r.Late = true
				answer(r)
			}
		})
	}
}

// expires draws whether an order expires on its way.
func (sim *simulation) expires() bool {
	return sim.expireRate > 0 && sim.rng.Float64() < sim.expireRate
}

// executeLate makes a worker that has received an order execute it late. The order is lost
// if the worker restarts before.
func (sim *simulation) executeLate(leader *Dispatcher, t *simWorker, o Order) {
	sent, incarnation, up := sim.now, t.startedAtMS, t.up && !t.partitioned
	sim.schedule(2*time.Second+time.Duration(sim.rng.Int64N(int64(10*time.Second))), func() {
		if up && t.startedAtMS == incarnation {
			t.execute(leader, o, sent)
		}
	})
}

// deliver makes a worker answer an order. The reply to a hold is delayed while no attempt
// has finished.
func (sim *simulation) deliver(leader *Dispatcher, t *simWorker, o Order, answer func(Reply)) {
	if o.Hold != nil && len(t.finished) == 0 && o.Hold.MaxWait > 0 {
		sim.schedule(100*time.Millisecond, func() { sim.respond(leader, t, o, answer) })
		return
	}
	sim.respond(leader, t, o, answer)
}

func (sim *simulation) respond(leader *Dispatcher, t *simWorker, o Order, answer func(Reply)) {
	r := t.execute(leader, o, sim.now)
	if !t.up {
		r = Reply{Status: Unknown, Reason: "the connection was reset"}
	}
	sim.schedule(sim.networkDelay(), func() { answer(r) })
}

// networkDelay returns a random delay for one message.
func (sim *simulation) networkDelay() time.Duration {
	if sim.maxDelay == 0 {
		return time.Millisecond
	}
	return time.Millisecond + time.Duration(sim.rng.Int64N(int64(sim.maxDelay)))
}

// workerAt returns the worker at an address, or nil if nothing listens there.
func (sim *simulation) workerAt(address string) *simWorker {
	if t := sim.byAddress[address]; t != nil && t.address == address {
		return t
	}
	for _, t := range sim.workers {
		if t.address == address {
			return t
		}
	}
	return nil
}

func (sim *simulation) runUntil(until time.Duration) {
	for sim.events.Len() > 0 && sim.now < until && len(sim.violations) == 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
}

// simWorker is a worker process and its later incarnations at the same address.
type simWorker struct {
	sim     *simulation
	address string
	id      string
	keepID  bool
	domain  string
	// coldUntil is until when the worker reports itself cold.
	coldUntil   time.Duration
	startedAtMS int64
	bootedAt    time.Duration
	clockRate   float64
	up          bool
	partitioned bool
	draining    bool
	sequence    int64
	fence       int64
	lease       int64
	capacity    jobs.Resources
	// capacities are the changes of the capacity, those of the present incarnation from the
	// index firstCapacity on. nextCapacity returns the capacity of the next incarnation; nil
	// keeps the present one.
	capacities    []capacityChange
	firstCapacity int
	nextCapacity  func() jobs.Resources
	running       map[jobs.TaskKey]*simRun
	// refusedUpTo is the highest attempt of each task whose start the worker refuses.
	refusedUpTo map[jobs.TaskKey]int
	finished    []FinishedTask
	endCount    int64
	failTasks   bool
	hung        bool
	// ordersBlocked drops all orders to the worker, while its heartbeats still arrive.
	ordersBlocked bool
	// refusesConnections makes the address of the worker refuse connections while it is
	// down. Otherwise nothing answers there.
	refusesConnections bool
	// heartbeatsBlocked drops the heartbeats of the worker, while orders still arrive.
	heartbeatsBlocked bool
	// tail is the usage that all tasks report.
	tail float64
	// usage returns the usage that a task reports, in place of tail.
	usage func(key jobs.TaskKey) float64
	// garbleLists changes the lists in a reply on their way to the leader.
	garbleLists func(r *Reply)
	// rack is the rack that the worker reports, empty for none.
	rack string
}

// capacityChange is a capacity and the time from which on it is in force.
type capacityChange struct {
	at       time.Duration
	capacity jobs.Resources
}

// setCapacity changes the capacity of a running worker.
func (t *simWorker) setCapacity(capacity jobs.Resources) {
	t.capacity = capacity
	t.capacities = append(t.capacities, capacityChange{t.sim.now, capacity})
}

// capacitySince returns the largest capacity that was in force since a time, by the changes
// from an index on.
func (t *simWorker) capacitySince(since time.Duration, first int) jobs.Resources {
	largest := t.capacity
	for i := first; i+1 < len(t.capacities); i++ {
		if t.capacities[i+1].at > since {
			largest = maxResources(largest, t.capacities[i].capacity)
		}
	}
	return largest
}

func maxResources(a, b jobs.Resources) jobs.Resources {
	return jobs.Resources{MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMB: max(a.MemoryMB, b.MemoryMB), GPUs: max(a.GPUs, b.GPUs)}
}

type simRun struct {
	attempt   int
	reserved  jobs.Resources
	startedAt time.Duration
	duration  time.Duration
	percent   int
	paused    bool
	// checkpointed is set for a run that saves its work when it is stopped. saved is the work
	// of earlier runs, stopping is set while the run is being stopped.
	checkpointed bool
	saved        time.Duration
	stopping     bool
	// gang is the gang of the run, nil for a run of its own.
	gang *simGang
}

// simRestoreTime is how long a run takes to resume from a checkpoint.
const simRestoreTime = 100 * time.Millisecond

// resume sets the work that a run still has to do by its checkpoint.
func (r *simRun) resume(step *jobs.Step, checkpoint string, factor float64) {
	r.checkpointed = step.Checkpointed
	r.duration = time.Duration(factor * float64(step.EstimateMS) * float64(time.Millisecond))
	if saved, err := time.ParseDuration(checkpoint); err == nil {
		r.saved = min(saved, r.duration)
		r.duration += simRestoreTime
	}
}

// durationFactor draws the ratio of the duration of a run to the declared one.
func (sim *simulation) durationFactor() float64 {
	if sim.durationSpread == 0 {
		return 1
	}
	return 1 + sim.durationSpread*(2*sim.rng.Float64()-1)
}

// checkpoint returns the checkpoint of a run that is stopped at a time, empty for none.
func (r *simRun) checkpoint(now time.Duration) string {
	if !r.checkpointed {
		return ""
	}
	worked := now - r.startedAt
	if r.saved > 0 {
		worked = max(0, worked-simRestoreTime)
	}
	return (r.saved + worked).String()
}

// progress returns the progress of a run in percent. It does not advance while the worker
// hangs.
func (t *simWorker) progress(r *simRun) int {
	if r.duration == 0 {
		return 100
	}
	if !t.hung {
		r.percent = min(99, int(100*(r.saved+t.sim.now-r.startedAt)/r.duration))
	}
	return r.percent
}

func (sim *simulation) addWorker(capacity jobs.Resources, keepsID bool) *simWorker {
	t := &simWorker{sim: sim, address: fmt.Sprintf("w%d:1", len(sim.workers)), capacity: capacity, keepID: keepsID}
	sim.workers = append(sim.workers, t)
	sim.byAddress[t.address] = t
	t.boot()
	sim.schedule(time.Duration(sim.rng.Int64N(int64(sim.options.HeartbeatInterval))), t.sendHeartbeat)
	return t
}

// boot starts a new incarnation.
func (t *simWorker) boot() {
	t.startedAtMS = t.sim.unix()
	if t.id == "" || !t.keepID {
		t.id = fmt.Sprintf("%s@%d", t.address, t.startedAtMS)
	}
	t.bootedAt, t.clockRate, t.up = t.sim.now, 0.98+0.04*t.sim.rng.Float64(), true
	t.fence, t.lease, t.endCount, t.sequence, t.draining = 0, 0, 0, 0, false
	if t.nextCapacity != nil {
		t.capacity = t.nextCapacity()
	}
	t.firstCapacity = len(t.capacities)
	t.setCapacity(t.capacity)
	t.running, t.refusedUpTo, t.finished = map[jobs.TaskKey]*simRun{}, map[jobs.TaskKey]int{}, nil
}

func (t *simWorker) clock() int64 {
	return 1000 + int64(float64((t.sim.now-t.bootedAt).Milliseconds())*t.clockRate)
}

func (t *simWorker) sendHeartbeat() {
	t.sim.schedule(t.sim.options.HeartbeatInterval, t.sendHeartbeat)
	t.report()
}

// heartbeat returns a new heartbeat.
func (t *simWorker) heartbeat() Heartbeat {
	t.sequence++
	var labels []string
	if t.rack != "" {
		labels = []string{"general", t.rack}
	}
	return Heartbeat{
		Worker: t.id, HostPort: t.address, Service: "s", Domain: t.domain, Capacity: t.capacity, ClockMS: t.clock(), StartedAtMS: t.startedAtMS,
		Sequence: t.sequence, Draining: t.draining, Remaining: 3 * time.Second, ColdLeft: max(0, t.coldUntil-t.sim.now),
		Labels: labels,
	}
}

// report sends one heartbeat.
func (t *simWorker) report() {
	if !t.up || t.partitioned || t.heartbeatsBlocked {
		return
	}
	h := t.heartbeat()
	delay := time.Millisecond
	if t.sim.maxHeartbeatDelay > 0 {
		delay += time.Duration(t.sim.rng.Int64N(int64(t.sim.maxHeartbeatDelay)))
	}
	t.sim.schedule(delay, func() { t.sim.deliverHeartbeat(t.sim.current(), h) })
}

// deliverHeartbeat passes a heartbeat to a leader, or to a later one if that has been replaced
// before it gets to it.
func (sim *simulation) deliverHeartbeat(d *Dispatcher, h Heartbeat) {
	sim.onControl(d, func() {
		if sim.current() != d {
			sim.deliverHeartbeat(sim.current(), h)
			return
		}
		d.Advance(sim.now, sim.unix())
		d.HandleHeartbeat(h)
		sim.carryOut(d)
	})
}

// refuses reports whether the address of the worker refuses connections, and silent
// whether orders to it get no answer.
func (t *simWorker) refuses() bool { return t.refusesConnections && !t.up && !t.partitioned }
func (t *simWorker) silent() bool  { return t.partitioned || t.ordersBlocked || !t.up }

func (t *simWorker) crash(downtime time.Duration) {
	if !t.up {
		return
	}
	t.countCrash()
	t.up = false
	lost := t.running
	t.running = map[jobs.TaskKey]*simRun{}
	for _, key := range slices.SortedFunc(maps.Keys(lost), compareTasks) {
		if run := lost[key]; run.gang != nil {
			run.gang.leaveGang(run)
		}
	}
	t.sim.schedule(downtime, t.boot)
}

// execute executes an order like a real worker. sentAt is when a late order was sent, and
// the present time for any other one.
func (t *simWorker) execute(leader *Dispatcher, o Order, sentAt time.Duration) Reply {
	t.expire()
	switch {
	case !t.up:
		return Reply{Status: Unknown}
	case o.To.Worker != t.id:
		return Reply{Status: WrongWorker}
	case o.Fence < t.fence:
		return Reply{Status: Refused, Reason: "fence", ClockMS: t.clock()}
	}
	t.fence = o.Fence
	r := Reply{Status: Accepted, ClockMS: t.clock()}
	switch {
	case o.Start != nil:
		r.Status, r.Reason = t.startTask(leader, &o, sentAt)
	case o.Stop != nil:
		t.sim.stops++
		t.refusedUpTo[o.Stop.Task] = max(t.refusedUpTo[o.Stop.Task], o.Stop.Attempt)
		if run := t.running[o.Stop.Task]; run != nil && run.attempt <= o.Stop.Attempt {
			t.stop(o.Stop.Task, run)
		}
	case o.Pace != nil:
		if run := t.running[o.Pace.Task]; run != nil && run.attempt == o.Pace.Attempt {
			run.paused = o.Pace.Percent == 0
		}
	case o.Hold != nil:
		t.renew(o.Hold.Deadline)
		t.listAttempts(&r, o.Hold.AckThrough)
		r.StartedAtMS = t.startedAtMS
	}
	return r
}

func (t *simWorker) renew(deadline int64) {
	if deadline > 0 {
		t.lease = max(t.lease, min(deadline, t.clock()+t.sim.options.WorkerLease.Milliseconds()))
	}
}

func (t *simWorker) listAttempts(r *Reply, ackThrough int64) {
	for len(t.finished) > 0 && t.finished[0].Number <= ackThrough {
		f := t.finished[0]
		t.checkAcknowledged(&f)
		t.sim.acknowledge(f)
		t.finished = t.finished[1:]
	}
	r.Finished = append(r.Finished, t.finished...)
	for key, run := range t.running {
		listed := RunningTask{Task: key, Attempt: run.attempt, Percent: t.progress(run), Usage: t.tail}
		if t.usage != nil {
			listed.Usage = t.usage(key)
		}
		r.Running = append(r.Running, listed)
	}
	if t.garbleLists != nil {
		t.garbleLists(r)
	}
}

func (t *simWorker) startTask(leader *Dispatcher, o *Order, sentAt time.Duration) (ReplyStatus, string) {
	s := o.Start
	if run := t.running[s.Task]; run != nil && run.attempt == s.Attempt {
		return Accepted, ""
	}
	if s.Deadline <= t.clock() {
		return Refused, "late"
	}
	if s.Attempt <= t.refusedUpTo[s.Task] {
		return Refused, "old"
	}
	t.renew(s.Deadline)
	step := t.sim.store.Job(s.Task.Job).Step(s.Task)
	t.sim.checkStart(t, s, step)
	t.sim.checkEvacuation(t, s, sentAt)
	t.sim.checkCapacity(leader, t, o, step, sentAt)
	t.sim.noteStart(s)
	run := &simRun{attempt: s.Attempt, reserved: step.ReservedResources(), startedAt: t.sim.now}
	t.running[s.Task] = run
	t.sim.observeStep("at work", s.Task)
	if !step.LongRunning {
		run.resume(step, s.Checkpoint, t.sim.durationFactor()*t.placeFactor(s.Task, step))
	}
	switch {
	case step.Gang:
		t.joinGang(s.Task, run, step)
	case !step.LongRunning:
		t.sim.schedule(run.duration-run.saved, func() { t.complete(s.Task, run) })
	}
	if t.sim.deadly[s.Task] {
		t.crashUnder(s.Task, run)
	}
	return Accepted, ""
}

// placeFactor returns the ratio of the duration of a task on this worker to the declared one.
func (t *simWorker) placeFactor(key jobs.TaskKey, step *jobs.Step) float64 {
	factor := 1.0
	if t.sim.workFactor != nil {
		factor = t.sim.workFactor(key)
	}
	if t.sim.slowdown > 0 && step.DataRack != "" && step.DataRack != t.rack {
		factor *= t.sim.slowdown
	}
	return factor
}

// complete ends a run when its work is done, or later if the worker hangs.
func (t *simWorker) complete(key jobs.TaskKey, run *simRun) {
	switch {
	case !t.up || t.running[key] != run:
	case t.hung:
		t.sim.schedule(100*time.Millisecond, func() { t.complete(key, run) })
	default:
		t.end(key, t.outcomeOf(key, run))
	}
}

// outcomeOf returns how a run ends whose work is done.
func (t *simWorker) outcomeOf(key jobs.TaskKey, run *simRun) jobs.Outcome {
	if t.failTasks || t.sim.fails != nil && t.sim.fails(key, run.attempt) {
		return jobs.OutcomeFailed
	}
	return jobs.OutcomeDone
}

func (t *simWorker) end(key jobs.TaskKey, outcome jobs.Outcome) {
	run := t.running[key]
	delete(t.running, key)
	t.refusedUpTo[key] = max(t.refusedUpTo[key], run.attempt)
	t.endCount++
	t.sim.failedEnds[key] += boolToInt(outcome == jobs.OutcomeFailed)
	f := FinishedTask{Number: t.endCount, Task: key, Attempt: run.attempt, Outcome: outcome}
	if outcome == jobs.OutcomeStopped {
		f.Checkpoint = run.checkpoint(t.sim.now)
		t.sim.stoppedEnds[key]++
	}
	t.finished = append(t.finished, f)
	if run.gang != nil {
		run.gang.leaveGang(run)
	}
	if outcome == jobs.OutcomeDone {
		t.sim.doneEnds[key] = append(t.sim.doneEnds[key], &doneEnd{attempt: run.attempt})
	}
}

// stop ends a run after stopTime.
func (t *simWorker) stop(key jobs.TaskKey, run *simRun) {
	if t.sim.stopTime == 0 {
		t.end(key, jobs.OutcomeStopped)
		return
	}
	if run.stopping {
		return
	}
	run.stopping = true
	t.sim.schedule(t.sim.stopTime, func() {
		if t.up && t.running[key] == run {
			t.end(key, jobs.OutcomeStopped)
		}
	})
}

// expire ends all runs once the lease has expired.
func (t *simWorker) expire() {
	if t.lease >= t.clock() {
		return
	}
	for key := range t.running {
		t.end(key, jobs.OutcomeLeaseExpired)
	}
	for i := range t.finished {
		if e := t.sim.doneEnd(&t.finished[i]); e != nil {
			e.leaseExpired = true
		}
	}
}

// doneEnd returns the record of a successful end, or nil.
func (sim *simulation) doneEnd(f *FinishedTask) *doneEnd {
	for _, e := range sim.doneEnds[f.Task] {
		if e.attempt == f.Attempt {
			return e
		}
	}
	return nil
}

// acknowledge checks that a task was not started again after an end that is acknowledged now,
// unless the lease of its worker has expired since.
func (sim *simulation) acknowledge(f FinishedTask) {
	e := sim.doneEnd(&f)
	if e == nil || e.leaseExpired {
		return
	}
	e.acknowledged = true
	if e.startedAgain {
		sim.violation("the end of attempt %d of %v is acknowledged after a later start", f.Attempt, f.Task)
	}
}

// noteStart records the start of a task, and checks that it does not come after an acknowledged
// end.
func (sim *simulation) noteStart(s *Start) {
	sim.begun[s.Task.Job] = true
	for _, e := range sim.doneEnds[s.Task] {
		e.startedAgain = true
		if e.acknowledged {
			sim.violation("attempt %d of %v starts after the end of attempt %d was acknowledged", s.Attempt, s.Task, e.attempt)
		}
	}
}

// evacuate commits an order about a domain, and plans it for each leader by the log alone.
func (sim *simulation) evacuate(domain string, evacuated bool) {
	if !evacuated {
		sim.store.Apply(jobs.Command{EndEvacuation: &jobs.EndEvacuation{Domain: domain, At: sim.unix()}})
		delete(sim.evacuatedSince, domain)
		return
	}
	sim.store.Apply(jobs.Command{Evacuate: &jobs.Evacuate{Domain: domain, At: sim.unix()}})
	if _, repeated := sim.evacuatedSince[domain]; !repeated {
		sim.evacuatedSince[domain] = sim.now
	}
}

// checkEvacuation checks that no start is sent to a worker of an evacuated domain later than
// maxEvacuationDelay after the order. An order is sent to its worker before the worker
// executes it, which may be late.
func (sim *simulation) checkEvacuation(t *simWorker, s *Start, sentAt time.Duration) {
	if since, evacuated := sim.evacuatedSince[t.domain]; evacuated && sentAt-since > maxEvacuationDelay {
		sim.violation("%v starts in %q, which is evacuated since %v, sent at %v", s.Task, t.domain, since, sentAt)
	}
}

// checkStart checks the invariants when a worker starts a task.
func (sim *simulation) checkStart(t *simWorker, s *Start, step *jobs.Step) {
	sim.starts++
	if sim.crashesUnder[s.Task] >= maxCrashesUnder {
		sim.startsAfterCrashes[s.Task]++
	}
	if n := sim.startsAfterCrashes[s.Task]; n > maxStartsAfterCrashes {
		sim.violation("%v is started %d times after %d workers have crashed under it (attempt %d)", s.Task, n, maxCrashesUnder, s.Attempt)
	}
	j := sim.store.Job(s.Task.Job)
	if j.Task(s.Task).Done {
		sim.violation("%v starts after it is done", s.Task)
	}
	if !j.StepReady(s.Task.Occurrence, s.Task.Step) {
		sim.violation("%v starts before the steps that it depends on are done", s.Task)
	}
	ofStep := 1
	for key := range t.running {
		ofStep += boolToInt(stepKey(key) == stepKey(s.Task))
	}
	if step.MaxPerWorker > 0 && ofStep > step.MaxPerWorker {
		sim.violation("%s runs %d tasks of the step of %v", t.id, ofStep, s.Task)
	}
	for _, other := range sim.workers {
		other.expire()
		if run := other.running[s.Task]; run != nil && other.up {
			sim.violation("attempt %d of %v starts on %s while attempt %d runs on %s", s.Attempt, s.Task, t.id, run.attempt, other.id)
		}
	}
}

// checkCapacity checks that a start leaves a worker within its capacity. A smaller capacity
// binds testCapacityGrace plus one heartbeat interval after the decrease, for a late order
// counted until it was sent. A leader that has just taken over knows the capacity in the
// log, and an order for the former incarnation was sent before the leader could know of the
// restart.
func (sim *simulation) checkCapacity(leader *Dispatcher, t *simWorker, o *Order, step *jobs.Step, sentAt time.Duration) {
	used := step.ReservedResources()
	for _, run := range t.running {
		used = used.Add(run.reserved)
	}
	first := t.firstCapacity
	if o.target.StartedAtMS < t.startedAtMS {
		first = 0
	}
	capacity := t.capacitySince(sentAt-sim.options.CapacityGrace-sim.options.HeartbeatInterval, first)
	if sentAt-leader.leaderSince < testTakeover {
		incarnation := jobs.Incarnation{Worker: t.id, StartedAtMS: o.target.StartedAtMS}
		capacity = maxResources(capacity, sim.registered[leader][incarnation])
	}
	if !used.FitsIn(capacity) {
		sim.violation("%s uses %v of %v with %v, its capacities are %v", t.id, used, capacity, o.Start.Task, t.capacities)
	}
}
