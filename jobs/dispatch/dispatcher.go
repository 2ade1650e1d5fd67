// Package dispatch implements the scheduling core of the job leader: it binds tasks
// to workers, renews worker leases and tracks the attempts until they finish. It does
// no I/O: its inputs are events and the current time, its outputs are commands for the
// replicated log and orders to workers.
//
// Serving tasks are latency-critical and have a tail latency objective. Filler tasks
// are best-effort work that runs beside them on CPU time that is otherwise idle.
//
// A binding is committed to the log before the start is sent to the worker, and the
// outcome of an attempt is committed before the worker may discard it. An attempt is
// abandoned only once it cannot be running and can never start: the worker reports it
// as finished, no longer lists it under this leader's fencing token or has confirmed a
// stop, another incarnation has replaced the worker, or the worker's lease has expired
// even by the slowest clock that it may have.
package dispatch

import (
	"cmp"
	"slices"
	"time"

	"geraniumwall/jobs"
	"geraniumwall/policy/interference"
)

const (
	// slowestClockRate and fastestClockRate bound the rate of a worker's clock
	// relative to the leader's clock.
	slowestClockRate = 0.97
	fastestClockRate = 1.03
	// leaseMargin is the time after the end of a lease before it counts as expired.
	leaseMargin = 150 * time.Millisecond
	// restartClockRegression is how far a worker's clock must be behind its expected
	// reading to count as restarted. Smaller differences occur without a restart:
	// replies arrive out of order and readings are in whole milliseconds.
	restartClockRegression = 300 * time.Millisecond
	// clockMargin is how far a worker's clock may be ahead of its highest expected reading.
	clockMargin = 300 * time.Millisecond
	// holdWait is how long a worker may delay its reply to a hold until an attempt
	// finishes.
	holdWait = time.Second
	// holdWaitColocated replaces holdWait on workers that run fillers beside serving
	// tasks, whose latency must be reported more often.
	holdWaitColocated = 400 * time.Millisecond
	// holdDelay is the time between two holds, so that one reply carries several
	// finished attempts. holdDelayPerWorker lengthens it in proportion to the fleet on
	// workers that run no short task with a reservation: the next step of such a job
	// waits for the end of its slowest task.
	holdDelay          = 15 * time.Millisecond
	holdDelayPerWorker = 200 * time.Microsecond
	// holdRetryDelay is the delay after a hold that failed.
	holdRetryDelay    = 150 * time.Millisecond
	stopRetryInterval = 400 * time.Millisecond
	// maxAckPause is how late a hold may be and still acknowledge ends. After a longer pause
	// or a failed hold the worker may have restarted under its id and count its ends anew, so
	// that it would forget ends of the new incarnation.
	maxAckPause = 300 * time.Millisecond
	// unexpectedTimeout is how long an unexpected attempt that the worker lists as
	// finished still counts as running there.
	unexpectedTimeout = 5 * time.Second
	// sweepInterval is the time between two checks of a worker with tasks to stop, and of one
	// that drains. Other workers are checked after an event that may require a stop, and each
	// idleSweepInterval: a check of each task in every tick would be the largest cost of a
	// large fleet.
	sweepInterval     = 80 * time.Millisecond
	idleSweepInterval = 400 * time.Millisecond
	// maxMissedHeartbeats is the number of heartbeat intervals without a heartbeat after
	// which a worker gets no new tasks.
	maxMissedHeartbeats = 4
	// orderTravelTime is how long an order is on its way to a worker before it counts as not
	// answered.
	orderTravelTime = 700 * time.Millisecond
	// heartbeatRetryTime is how long a worker waits for the answer to a heartbeat before it
	// sends it to another replica.
	heartbeatRetryTime = time.Second
	// lookupTimeout is how long an attempt whose start was not answered is looked up in the
	// lists of its worker before it is stopped.
	lookupTimeout = 3 * time.Second
	// maxUnreportedHolds is the number of holds in a row without a report from their carrier
	// from which on the worker counts as unresponsive.
	maxUnreportedHolds = 2
	// drainMargin is how long before a draining worker shuts down its tasks must be
	// done.
	drainMargin = 700 * time.Millisecond
	// finishedListLimit is the number of finished attempts from which on the lists of a
	// reply may be incomplete.
	finishedListLimit = 500
	// unreadableEndsTimeout is how long a worker's list of ends may have rows that cannot be
	// read until its lease is renewed no more.
	unreadableEndsTimeout = 3 * time.Second
	// replanInterval is the longest time between two plans, since the passing of time
	// alone can make a worker usable again.
	replanInterval = 200 * time.Millisecond
	// effectCacheTTL bounds the age of cached predictions of the interference model.
	effectCacheTTL = 100 * time.Millisecond
)

// Options are the settings of a Dispatcher.
type Options struct {
	// WorkerLease is the duration of a worker's lease. It bounds how long the tasks of a
	// lost worker wait before they restart elsewhere.
	WorkerLease time.Duration
	// HeartbeatInterval is the interval between heartbeats.
	HeartbeatInterval time.Duration
	// CapacityGrace is how long, besides one heartbeat interval, a worker whose capacity has
	// shrunk may still get tasks beyond it. It bounds the age of a worker's report by which
	// new tasks start; with 0, maxMissedHeartbeats alone bounds it.
	CapacityGrace time.Duration
	// PreviousLeaderLease is how long the previous leader may have remained active after
	// this one took over.
	PreviousLeaderLease time.Duration
	// FairShares lets queues below their share of the fleet go first; nil ignores shares.
	FairShares *FairShares
	// WarmUp gives workers that report themselves cold load by degrees.
	WarmUp bool
	// RemoteSlowdown is the ratio of the duration of a task away from its data or its group to
	// that near them. Tasks wait for a preferred place if it is above 1.
	RemoteSlowdown float64
	// Admission makes Admit refuse jobs that can't end in time.
	Admission bool
}

// Dispatcher holds the dispatch state of one leader. It is not safe for concurrent use.
type Dispatcher struct {
	options     Options
	store       *jobs.Store
	fence       int64
	leaderSince time.Duration
	now         time.Duration
	unixMS      int64

	workers map[string]*worker
	// incarnations counts the incarnations of each worker id that this leader has seen.
	incarnations map[string]int64
	// orphans are attempts inherited from earlier leaders whose worker has not reported
	// to this leader yet.
	orphans map[jobs.TaskKey]*attempt
	// orphansOf are the keys of the orphans by the id of the worker that they were bound
	// to. It may name orphans that have ended.
	orphansOf map[string][]jobs.TaskKey
	// proposedBinds are the attempts whose binding is not committed yet.
	proposedBinds map[jobs.TaskKey]*attempt
	// proposedLateEnds are the tasks with a late end that is not committed yet: the end
	// of an attempt that had already been abandoned.
	proposedLateEnds map[jobs.TaskKey]bool
	// rejectedEnds propose the ends again that were not committed.
	rejectedEnds []func()
	firstStarts  firstStarts
	// nextAuditAt is the time of the next audit.
	nextAuditAt time.Duration
	planner     planner
	admission   *admissionState
	trace       trace
	// activity is what the next status reports besides the present state.
	activity activity
	// model estimates how much each filler image slows each serving image. effectCache
	// holds its predictions until effectCacheExpiry.
	model             *interference.Contention
	effectCache       map[imagePair]float64
	effectCacheExpiry time.Duration
	// fillerImages are the filler images that have run.
	fillerImages map[string]bool
	// recordedEffects are the effects last proposed for the log, effectsCheckedAt is the
	// time of the last check for changes.
	recordedEffects  map[imagePair]float64
	effectsCheckedAt time.Duration

	// listed are the attempts in the list that is being reconciled. The map is kept for the
	// next list.
	listed map[attemptKey]bool

	commands  []Proposal
	orders    []Order
	logEvents []LogEvent
}

// Proposal is a command for the replicated log. The caller must call OnResult with the
// result once the command is applied, or with ok false if it may not have been applied.
type Proposal struct {
	Command jobs.Command
	// Joined is set if the command belongs to the same decision as the one before it: both
	// must be in one entry of the log. OnResult is called after the whole entry is applied.
	Joined   bool
	OnResult func(result jobs.Result, ok bool)
}

// LogEvent is an event for the process log, for operators.
type LogEvent struct {
	Event   string
	Worker  string
	Task    jobs.TaskKey
	Attempt int
	Detail  string
	// ReportAge is the age of the worker's newest heartbeat.
	ReportAge time.Duration
	// Repair is set for a difference between the log and the dispatcher that an audit has
	// repaired.
	Repair bool
	// Trace is set for a failed check and for the decisions about its task.
	Trace bool
}

// incarnationsPerTerm bounds the incarnations of one worker id during one leader term.
// Fencing tokens of later terms start above all tokens of earlier ones.
const incarnationsPerTerm = 1 << 20

// New returns the dispatcher of a new leader. The term must be higher than the term of
// every earlier leader. now and unix have the meaning that they have for Advance.
func New(options Options, store *jobs.Store, term int64, now time.Duration, unix int64) *Dispatcher {
	d := &Dispatcher{
		options: options, store: store, fence: term * incarnationsPerTerm, leaderSince: now, now: now, unixMS: unix,
		workers: map[string]*worker{}, incarnations: map[string]int64{}, orphans: map[jobs.TaskKey]*attempt{}, orphansOf: map[string][]jobs.TaskKey{},
		proposedBinds: map[jobs.TaskKey]*attempt{}, proposedLateEnds: map[jobs.TaskKey]bool{}, listed: map[attemptKey]bool{}, model: interference.NewContention(),
		effectCache: map[imagePair]float64{}, fillerImages: map[string]bool{}, firstStarts: newFirstStarts(),
	}
	d.planner.init(store)
	d.admission = d.newAdmission()
	d.loadEffects(store.Effects())
	store.BoundWorkers(func(worker jobs.Incarnation, tasks map[jobs.TaskKey]*jobs.Task) {
		for _, t := range tasks {
			d.orphans[t.Key] = d.newInheritedAttempt(t)
			d.orphansOf[worker.Worker] = append(d.orphansOf[worker.Worker], t.Key)
		}
	})
	d.inheritLapses()
	d.restoreWorkers()
	return d
}

func (d *Dispatcher) newInheritedAttempt(t *jobs.Task) *attempt {
	a := d.newAttempt(t, d.store.Job(t.Key.Job).Step(t.Key), t.Attempt, phaseInherited)
	a.appliedPace, a.inherited = unknownPace, true
	return a
}

func (d *Dispatcher) newAttempt(t *jobs.Task, step *jobs.Step, number int, p phase) *attempt {
	j := d.store.Job(t.Key.Job)
	queue := ""
	if j != nil {
		queue = j.Queue
	}
	return &attempt{
		task: t.Key, number: number, job: j, queue: queue, record: t, reserved: step.ReservedResources(), step: step, phase: p, checkpoint: t.Checkpoint,
		phaseSince: d.now, progressAt: d.now, startedAt: d.now, appliedPace: fullPace, targetPace: fullPace, suspicion: suspicion(t),
	}
}

// WorkerCount returns the number of workers that this leader knows.
func (d *Dispatcher) WorkerCount() int { return len(d.workers) }

// Advance sets the current time: now is monotonic, unix is the Unix time in
// milliseconds that schedules and log commands use.
func (d *Dispatcher) Advance(now time.Duration, unix int64) {
	d.now, d.unixMS = now, unix
	if now >= d.effectCacheExpiry {
		clear(d.effectCache)
		d.effectCacheExpiry = now + effectCacheTTL
	}
}

// TakeOutput returns and clears the commands, orders and log events. Their order is
// determined by the inputs alone.
func (d *Dispatcher) TakeOutput() ([]Proposal, []Order, []LogEvent) {
	c, o, e := d.commands, d.orders, d.logEvents
	d.commands, d.orders, d.logEvents = nil, nil, nil
	slices.SortStableFunc(c, func(a, b Proposal) int { return compareTasks(a.Command.Task(), b.Command.Task()) })
	if len(c) > MaxEntryCommands {
		d.sortRestarts(c)
	}
	d.joinGangs(c)
	slices.SortStableFunc(o, func(a, b Order) int {
		return cmp.Or(cmp.Compare(a.To.Worker, b.To.Worker), compareTasks(a.task(), b.task()))
	})
	return c, o, e
}

func compareTasks(a, b jobs.TaskKey) int {
	return cmp.Or(
		cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index),
	)
}

func (d *Dispatcher) enqueueOrder(w *worker, o Order) {
	o.To, o.Fence, o.target = w.address(), w.fence, w
	d.orders = append(d.orders, o)
}

func (d *Dispatcher) addLogEvent(event string, w *worker, a *attempt, detail string) {
	e := LogEvent{Event: event, Detail: detail}
	if w != nil {
		e.Worker, e.ReportAge = w.Worker, d.now-w.heartbeatAt
	}
	if a != nil {
		e.Task, e.Attempt = a.task, a.number
	}
	d.logEvents = append(d.logEvents, e)
}

// Tick runs the periodic work: expired leases, holds, stops, records and plans.
func (d *Dispatcher) Tick() {
	for id, w := range d.workers {
		d.tickWorker(w)
		if w.terminated && len(w.attempts) == 0 {
			delete(d.workers, id)
			d.planner.workersByID = nil
			d.removeRegistration(w, func(bool) {})
		}
	}
	d.retryRejectedEnds()
	d.expireOrphans()
	d.recordStarts()
	d.recordEffects()
	d.audit()
	if d.now >= d.planner.replanAt {
		d.planner.dirty = true
		d.planner.replanAt = d.now + replanInterval
		d.prunePlannerState()
	}
	d.Plan()
	d.observeAdmission()
	d.consolidate()
}

func (d *Dispatcher) tickWorker(w *worker) {
	if w.terminated {
		return
	}
	if (w.unresponsive || w.endsStayUnreadable(d.now)) && d.leaseExpired(w) {
		d.expireLease(w)
	}
	if !w.holdInFlight && d.now >= w.nextHoldAt && (len(w.attempts) > 0 || len(w.unexpected) > 0 || !w.fenceConfirmed) {
		d.sendHold(w)
	}
	if d.now >= w.nextSweepAt {
		stopping := d.stopUnneeded(w)
		d.stopUnexpected(w)
		w.nextSweepAt = d.now + idleSweepInterval
		if stopping || w.Draining || len(w.unexpected) > 0 {
			w.nextSweepAt = d.now + sweepInterval
		}
		d.registerSilent(w)
	}
}

// stopUnneeded stops attempts whose job or task has ended, whose start was not answered and
// which their worker does not list, which are being moved, or which cannot finish before a
// draining worker shuts down. It reports whether any attempt is being stopped.
func (d *Dispatcher) stopUnneeded(w *worker) (stopping bool) {
	for _, a := range w.attempts {
		stopping = stopping || a.stopping
		if a.endProposed || a.phase == phaseProposed || a.phase == phaseVoid || d.now < a.nextStopAt {
			continue
		}
		if !a.stopping && !d.mustStop(w, a) {
			continue
		}
		a.stopping, stopping = true, true
		a.nextStopAt = d.now + stopRetryInterval
		d.enqueueOrder(w, Order{Stop: &Stop{a.task, a.number}})
	}
	return stopping
}

// requestStop stops an attempt with the next sweep of its worker, in the next tick.
func (d *Dispatcher) requestStop(a *attempt) {
	a.stopping = true
	a.worker.nextSweepAt = d.now
}

// sweepChangedJob checks the workers of a changed job for tasks that must stop.
func (d *Dispatcher) sweepChangedJob(id string) {
	j := d.store.Job(id)
	if j == nil {
		return
	}
	j.Tasks(func(t *jobs.Task) {
		if t.BoundTo == nil || !t.Done && !j.State.Ended() {
			return
		}
		if w := d.workers[t.BoundTo.Worker]; w != nil {
			w.nextSweepAt = d.now
		}
	})
}

// mustStop reports whether an attempt on a worker has to be stopped.
func (d *Dispatcher) mustStop(w *worker, a *attempt) bool {
	if a.job.State.Ended() || a.record.Done {
		return a.phase != phaseOrdered
	}
	if a.phase == phaseUncertain {
		return !d.mustLookUp(a)
	}
	if !w.Draining || a.phase != phaseStarted {
		return false
	}
	left := w.Remaining - (d.now - w.heartbeatAt) - drainMargin
	return a.step.LongRunning || a.remaining(d.now) > left
}

// mustLookUp reports whether the next list of the worker decides about an attempt whose
// start was not answered: most such starts were executed.
func (d *Dispatcher) mustLookUp(a *attempt) bool {
	return a.phase == phaseUncertain && !a.unlisted && !a.stopping && d.now-a.phaseSince < lookupTimeout
}

func (d *Dispatcher) stopUnexpected(w *worker) {
	for key, u := range w.unexpected {
		if d.now >= u.nextStopAt && w.fenceConfirmed {
			u.nextStopAt = d.now + stopRetryInterval
			d.enqueueOrder(w, Order{Stop: &Stop{key.task, key.attempt}})
		}
	}
}
