// Package dispatch is the part of a job leader that binds tasks to workers, holds
// their leases and follows their ends. It is a pure core: events and the time go
// in, commands for the log and orders to workers come out.
//
// A task is bound in the log before its start is ordered, and its end is in the
// log before the worker may forget it. An attempt is given up only when it
// certainly runs no more and never will: the worker lists its end, lists it no
// longer under this leader's fence, has answered a stop, has been replaced by
// another life, or its lease is over by the slowest clock that it may have.
package dispatch

import (
	"cmp"
	"slices"
	"time"

	"geraniumwall/jobs"
	"geraniumwall/policy/interference"
)

const (
	// slowestClockRate and fastestClockRate bound the drift of a worker's clock
	// against this one's.
	slowestClockRate = 0.97
	fastestClockRate = 1.03
	leaseMargin      = 150 * time.Millisecond
	// restartClockRegression is how far a worker's clock must be behind to show that it began
	// anew. Answers overtake each other and readings are whole milliseconds.
	restartClockRegression = 300 * time.Millisecond
	// holdWait is how long a worker may wait for an end before it answers.
	holdWait = time.Second
	// holdWaitColocated is the wait where fillers run beside serving tasks, whose
	// latency must be read more often.
	holdWaitColocated = 400 * time.Millisecond
	// holdDelay between two holds lets ends gather, and holdPausePerWorker lengthens
	// it in large fleets.
	holdDelay          = 15 * time.Millisecond
	holdDelayPerWorker = 200 * time.Microsecond
	// holdRetryDelay is the pause after a hold that was not answered.
	holdRetryDelay    = 150 * time.Millisecond
	stopRetryInterval = 400 * time.Millisecond
	unexpectedTimeout = 5 * time.Second
	// sweepInterval is the time between two looks at a worker for tasks to stop. A look
	// at each task in every tick would be the largest cost of a large fleet.
	sweepInterval = 80 * time.Millisecond
	// maxMissedHeartbeats is the number of heartbeat intervals without a heartbeat after
	// which a worker gets no new tasks.
	maxMissedHeartbeats = 4
	// drainMargin is the time before a draining worker's end that its tasks need
	// to be done.
	drainMargin       = 700 * time.Millisecond
	finishedListLimit = 500
	// replanInterval is the time between two plans without an event: workers become
	// usable again by time alone.
	replanInterval = 200 * time.Millisecond
	// effectCacheTTL bounds the age of what the model is taken to say.
	effectCacheTTL = 100 * time.Millisecond
)

// Options are the settings of a Dispatcher.
type Options struct {
	// Lease is the lease of a worker; it bounds how long a lost worker's tasks wait.
	Lease time.Duration
	// Beat is the interval of heartbeats.
	Beat time.Duration
	// Authority is how long an earlier leader may have acted after this one began.
	Authority time.Duration
}

// Dispatcher is the dispatch state of one leader. It is not safe for concurrent use.
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
	// orphans are inherited attempts on workers that this leader does not know.
	orphans map[jobs.TaskKey]*attempt
	// proposedBinds are the bindings that are being written to the log.
	proposedBinds map[jobs.TaskKey]*attempt
	// proposedLateEnds are the tasks with an end of a given-up attempt that is being written
	// to the log.
	proposedLateEnds map[jobs.TaskKey]bool
	planner          planner
	// model learns which filler images slow which serving images down. effects keeps
	// its newest answers until effectsUntil.
	model             *interference.Contention
	effectCache       map[imagePair]float64
	effectCacheExpiry time.Duration
	// fillerImages are the filler images that have run.
	fillerImages map[string]bool
	// recordedEffects are the effects in the log, recordedAt is when they were proposed.
	recordedEffects   map[imagePair]float64
	effectsRecordedAt time.Duration

	commands []Proposal
	orders   []Order
	notes    []Note
}

// Proposal is a command for the log. Settled must be called with its result once
// it is applied, or with ok false if it may not have been.
type Proposal struct {
	Command jobs.Command
	Settled func(result jobs.Result, ok bool)
}

// Note is a decision for the log of the process.
type Note struct {
	Event   string
	Worker  string
	Task    jobs.TaskKey
	Attempt int
	Detail  string
	// ReportAge is the age of the worker's newest heartbeat.
	ReportAge time.Duration
}

// incarnationsPerTerm bounds the lives of a worker id in the term of a leader.
const incarnationsPerTerm = 1 << 20

// New starts the dispatch of a leader. Its term must be higher than that of every
// earlier one.
func New(options Options, store *jobs.Store, term int64, now time.Duration) *Dispatcher {
	d := &Dispatcher{
		options: options, store: store, fence: term * incarnationsPerTerm, leaderSince: now, now: now,
		workers: map[string]*worker{}, incarnations: map[string]int64{}, orphans: map[jobs.TaskKey]*attempt{},
		proposedBinds: map[jobs.TaskKey]*attempt{}, proposedLateEnds: map[jobs.TaskKey]bool{}, model: interference.NewContention(),
		effectCache: map[imagePair]float64{}, fillerImages: map[string]bool{},
	}
	d.planner.init(store)
	d.loadEffects(store.Effects())
	store.BoundWorkers(func(_ jobs.Incarnation, tasks map[jobs.TaskKey]*jobs.Task) {
		for _, t := range tasks {
			d.orphans[t.Key] = d.newInheritedAttempt(t)
		}
	})
	return d
}

func (d *Dispatcher) newInheritedAttempt(t *jobs.Task) *attempt {
	a := d.newAttempt(t, d.store.Job(t.Key.Job).Step(t.Key), t.Attempt, phaseInherited)
	a.appliedPace = unknownPace
	return a
}

func (d *Dispatcher) newAttempt(t *jobs.Task, step *jobs.Step, number int, p phase) *attempt {
	return &attempt{
		task: t.Key, number: number, charge: step.Charge(), step: step, phase: p, checkpoint: t.Checkpoint,
		phaseSince: d.now, progressAt: d.now, startedAt: d.now, appliedPace: fullPace, targetPace: fullPace,
	}
}

// Workers counts the workers that this leader knows.
func (d *Dispatcher) Workers() int { return len(d.workers) }

// Advance sets the time: a monotonic one, and the Unix time in milliseconds for
// schedules and records.
func (d *Dispatcher) Advance(now time.Duration, unix int64) {
	d.now, d.unixMS = now, unix
	if now >= d.effectCacheExpiry {
		clear(d.effectCache)
		d.effectCacheExpiry = now + effectCacheTTL
	}
}

// Take returns the commands, orders and notes that have come up, in an order that
// depends on nothing but the events.
func (d *Dispatcher) Take() ([]Proposal, []Order, []Note) {
	c, o, n := d.commands, d.orders, d.notes
	d.commands, d.orders, d.notes = nil, nil, nil
	slices.SortStableFunc(c, func(a, b Proposal) int { return compareTasks(a.Command.Task(), b.Command.Task()) })
	slices.SortStableFunc(o, func(a, b Order) int {
		return cmp.Or(cmp.Compare(a.To.Worker, b.To.Worker), compareTasks(a.task(), b.task()))
	})
	return c, o, n
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

func (d *Dispatcher) addNote(event string, w *worker, a *attempt, detail string) {
	n := Note{Event: event, Detail: detail}
	if w != nil {
		n.Worker, n.ReportAge = w.Worker, d.now-w.heartbeatAt
	}
	if a != nil {
		n.Task, n.Attempt = a.task, a.number
	}
	d.notes = append(d.notes, n)
}

// Heartbeat takes in a worker's report. Late reports of the same life are dropped.
func (d *Dispatcher) Heartbeat(h Heartbeat) {
	w := d.workers[h.Worker]
	switch {
	case w == nil || h.Born > w.Born:
		w = d.newIncarnation(w, h)
	case h.Born < w.Born || h.Sequence < w.Sequence:
		return
	default:
		if h.Draining && !w.Draining {
			d.addNote("worker drains", w, nil, h.Remaining.String())
		}
		w.Heartbeat, w.heartbeatAt = h, d.now
		w.updateClock(h.Clock, d.now)
	}
	w.deregistered = false
	d.pollUnconfirmed(w)
}

// newIncarnation takes in a life of a worker that is new to this leader. What was bound
// to an earlier life under the same id has ended with it. Starts that were not
// answered may still arrive, until the new life has seen its higher fence.
func (d *Dispatcher) newIncarnation(old *worker, h Heartbeat) *worker {
	d.incarnations[h.Worker]++
	w := newWorker(h, d.fence+d.incarnations[h.Worker], d.now)
	// An earlier leader may have granted a lease until its authority ended.
	w.leaseEnd = w.clock + (d.options.Authority + d.options.Lease).Milliseconds()
	d.workers[h.Worker] = w
	d.addNote("worker registered", w, nil, h.HostPort)
	if old != nil {
		old.terminated = true
		for _, a := range old.attempts {
			d.moveToIncarnation(a, w)
		}
	}
	for key, a := range d.orphans {
		if t := d.currentTask(a); t != nil && t.Bound.Worker == h.Worker {
			delete(d.orphans, key)
			a.worker = w
			w.attempts[key] = a
		}
	}
	return w
}

// moveToIncarnation keeps an attempt of a life that has ended until the new life
// lists what runs there under its fence.
func (d *Dispatcher) moveToIncarnation(a *attempt, w *worker) {
	a.worker = w
	w.attempts[a.task] = a
	if a.phase != phaseProposed {
		a.setPhase(phaseInherited, d.now)
	}
}

// pollUnconfirmed asks a worker that has not answered this leader yet what runs there.
func (d *Dispatcher) pollUnconfirmed(w *worker) {
	if !w.fenceConfirmed && !w.holdInFlight && d.now >= w.nextHoldAt {
		d.sendHold(w)
	}
}

// Leave takes in that a worker has deregistered. It gets no new tasks; that its
// tasks have ended shows by their leases or by what answers at its address.
func (d *Dispatcher) Leave(id string) {
	if w := d.workers[id]; w != nil {
		w.deregistered = true
		d.addNote("worker left", w, nil, "")
	}
}

func (d *Dispatcher) sendHold(w *worker) {
	h := &Hold{LastSeen: w.lastAcked, Wait: d.holdWaitFor(w)}
	if w.fenceConfirmed && !w.unresponsive {
		h.Deadline = w.leaseDeadline(d.now, d.options.Lease)
		w.leaseEnd = max(w.leaseEnd, h.Deadline)
	}
	w.holdInFlight = true
	d.enqueueOrder(w, Order{Hold: h})
}

func (d *Dispatcher) holdWaitFor(w *worker) time.Duration {
	if !w.fenceConfirmed || w.unresponsive {
		return 0
	}
	serving, fillers := false, false
	for _, a := range w.attempts {
		serving = serving || a.step.TailTarget > 0
		fillers = fillers || a.step.Filler
	}
	if serving && fillers {
		return holdWaitColocated
	}
	return holdWait
}

// Tick does what has become due.
func (d *Dispatcher) Tick() {
	for id, w := range d.workers {
		d.tickWorker(w)
		if w.terminated && len(w.attempts) == 0 {
			delete(d.workers, id)
		}
	}
	d.expireOrphans()
	d.recordEffects()
	if d.now >= d.planner.replanAt {
		d.planner.dirty = true
		d.planner.replanAt = d.now + replanInterval
		d.prunePlannerState()
	}
	d.Plan()
	d.consolidate()
}

func (d *Dispatcher) tickWorker(w *worker) {
	if w.terminated {
		return
	}
	if w.unresponsive && w.leaseExpired(d.now) {
		d.expireLease(w)
	}
	if !w.holdInFlight && d.now >= w.nextHoldAt && (len(w.attempts) > 0 || len(w.unexpected) > 0 || !w.fenceConfirmed) {
		d.sendHold(w)
	}
	if d.now >= w.nextSweepAt {
		w.nextSweepAt = d.now + sweepInterval
		d.stopUnneeded(w)
		d.stopUnexpected(w)
	}
}

// stopUnneeded orders the stop of attempts whose job has ended, whose start is
// uncertain, or which cannot be done before a draining worker ends.
func (d *Dispatcher) stopUnneeded(w *worker) {
	for _, a := range w.attempts {
		if a.endProposed || a.phase == phaseProposed || a.phase == phaseVoid || d.now < a.nextStopAt {
			continue
		}
		if !a.stopping && !d.mustStop(w, a) {
			continue
		}
		a.stopping = true
		a.nextStopAt = d.now + stopRetryInterval
		d.enqueueOrder(w, Order{Stop: &Stop{a.task, a.number}})
	}
}

func (d *Dispatcher) mustStop(w *worker, a *attempt) bool {
	if j := d.store.Job(a.task.Job); j == nil || j.State.Ended() || j.Task(a.task).Done {
		return a.phase != phaseOrdered
	}
	if a.phase == phaseUncertain {
		return true
	}
	if !w.Draining || a.phase != phaseStarted {
		return false
	}
	left := w.Remaining - (d.now - w.heartbeatAt) - drainMargin
	return a.step.LongRunning || a.remaining(d.now) > left
}

func (d *Dispatcher) stopUnexpected(w *worker) {
	for key, u := range w.unexpected {
		if d.now >= u.nextStopAt && w.fenceConfirmed {
			u.nextStopAt = d.now + stopRetryInterval
			d.enqueueOrder(w, Order{Stop: &Stop{key.task, key.attempt}})
		}
	}
}

// expireLease gives up the attempts of a silent worker whose lease is over.
func (d *Dispatcher) expireLease(w *worker) {
	if len(w.attempts) > 0 {
		d.addNote("lease over", w, nil, "")
	}
	for _, a := range w.attempts {
		if a.phase != phaseProposed {
			d.endAttempt(a, jobs.OutcomeLapsed)
		}
	}
	if len(w.attempts) == 0 && d.now-w.heartbeatAt > d.options.Lease {
		w.terminated = true
	}
}

// expireOrphans gives up what earlier leaders bound to workers that have not
// reported to this one, when the last lease that one of them may have granted is
// over by the slowest clock.
func (d *Dispatcher) expireOrphans() {
	wait := time.Duration(float64(d.options.Authority+d.options.Lease)/slowestClockRate) + leaseMargin
	if len(d.orphans) == 0 || d.now-d.leaderSince < wait {
		return
	}
	for key, a := range d.orphans {
		if d.currentTask(a) == nil {
			delete(d.orphans, key)
			continue
		}
		d.endAttempt(a, jobs.OutcomeLapsed)
	}
}

// currentTask returns the state of an attempt's currentTask while the attempt is current.
func (d *Dispatcher) currentTask(a *attempt) *jobs.Task {
	j := d.store.Job(a.task.Job)
	if j == nil {
		return nil
	}
	t := j.Task(a.task)
	if t == nil || t.Bound == nil || t.Attempt != a.number {
		return nil
	}
	return t
}

// endAttempt writes the endAttempt of an attempt to the log.
func (d *Dispatcher) endAttempt(a *attempt, outcome jobs.Outcome) {
	d.proposeEnd(a, outcome, "", func() {})
}

func (d *Dispatcher) proposeEnd(a *attempt, outcome jobs.Outcome, checkpoint string, onRecorded func()) {
	if a.endProposed {
		return
	}
	a.endProposed = true
	if a.worker != nil && a.step.Filler {
		a.worker.colocation.fillersChangedAt = d.now
	}
	if a.step.LongRunning && outcome == jobs.OutcomeLapsed {
		d.planner.lapsed[a.task] = true
	}
	if checkpoint == "" && outcome != jobs.OutcomeDone {
		checkpoint = a.checkpoint
	}
	command := jobs.End{Task: a.task, Attempt: a.number, Outcome: outcome, Checkpoint: checkpoint, At: d.unixMS}
	d.commands = append(d.commands, Proposal{jobs.Command{End: &command}, func(_ jobs.Result, ok bool) {
		a.endProposed = false
		if !ok {
			return
		}
		d.dropAttempt(a)
		onRecorded()
	}})
}

// dropAttempt drops an attempt whose end is in the log.
func (d *Dispatcher) dropAttempt(a *attempt) {
	if a.worker != nil && a.worker.attempts[a.task] == a {
		delete(a.worker.attempts, a.task)
	}
	if d.orphans[a.task] == a {
		delete(d.orphans, a.task)
	}
	d.planner.dirty = true
}
