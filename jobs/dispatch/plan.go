package dispatch

import (
	"math"
	"time"

	"geraniumwall/jobs"
)

const (
	// avoidDuration is how long a task avoids a worker on which it failed or from which it
	// was moved.
	avoidDuration = 10 * time.Second
	// reserveAfter is how long a long-running task waits before a worker is reserved for
	// it.
	reserveAfter = 1500 * time.Millisecond
	// workersPerReservation is the number of workers for each one that may be reserved for
	// long-running tasks.
	workersPerReservation = 50
	// workersPerOverdueStart is the number of workers for each overdue long-running task
	// that may start ahead of short tasks within a second.
	workersPerOverdueStart = 50
	// packingDelay is how long a job with serving tasks waits for others, so that they
	// are packed together.
	packingDelay = 250 * time.Millisecond
	// planDelayPerWorker times the number of workers is the minimum time between two
	// plans, since each plan examines all workers.
	planDelayPerWorker = 100 * time.Microsecond
	// maxPendingStarts bounds the unanswered starts of one worker.
	maxPendingStarts = 16
)

// planner holds the state that assigning waiting tasks to workers needs between plans.
type planner struct {
	// dirty is set when a task may have become startable.
	dirty bool
	// nextPlanAt is the earliest time of the next plan.
	nextPlanAt time.Duration
	// replanAt is when the next plan becomes due without an event.
	replanAt time.Duration
	// waiting holds the jobs that may have waiting tasks. A nil job has to be ranked anew.
	waiting map[string]*waitingJob
	avoided map[jobs.TaskKey]avoidance
	// similar holds the results of similarInterference in this plan.
	similar map[imagePair]bool
	// workersByID are the workers in the order of their ids, nil after a change.
	workersByID []*worker
	// leaseExpiredTasks are the long-running tasks that ended with the lease of a worker.
	// They were already down for a whole lease, so their restart does not wait for
	// reserveAfter.
	leaseExpiredTasks map[jobs.TaskKey]bool
	// lapses are the short tasks whose last attempt was given up with the lease of its worker.
	lapses map[jobs.TaskKey]lapse
	// nextDueAt is the Unix time of the next scheduled start in milliseconds, 0 for none.
	nextDueAt int64
	// nonServing is the number of usable workers without serving tasks, usable that of all
	// usable workers.
	nonServing int
	usable     int
	// cold is the number of usable workers that report themselves cold.
	cold int
	// isolationSince is the time since which each task that is to run alone waits.
	isolationSince map[jobs.TaskKey]time.Duration
	// isolated is the number of usable workers with a task that is to run alone.
	isolated int
	// blockedMilliCPU is the CPU request of the fillers that found no worker in the last
	// plan, in millicores.
	blockedMilliCPU int64
	// blockedSince is the time since which plans leave fillers without a worker, 0 for
	// none.
	blockedSince time.Duration
	// reservations is the number of workers that the plan has reserved for long-running
	// tasks.
	reservations int
	// consolidatedAt is when the serving tasks of a worker were last considered for moves.
	consolidatedAt time.Duration
	// overdueTokens is a token bucket: each overdue long-running task that starts ahead of
	// short tasks takes one token. It was last refilled at overdueRefilledAt.
	overdueTokens     float64
	overdueRefilledAt time.Duration
	// shortReserves is the capacity of each service that new long-running tasks leave free.
	shortReserves map[string]*shortReserve
	preemptor     preemptor
	// fair holds the shares of the queues in the latest plan.
	fair   *fairPlan
	places places
}

type avoidance struct {
	worker string
	until  time.Duration
}

func (p *planner) init(store *jobs.Store) {
	p.dirty = true
	p.waiting = map[string]*waitingJob{}
	p.similar = map[imagePair]bool{}
	p.avoided = map[jobs.TaskKey]avoidance{}
	p.leaseExpiredTasks = map[jobs.TaskKey]bool{}
	p.lapses = map[jobs.TaskKey]lapse{}
	p.shortReserves = map[string]*shortReserve{}
	p.preemptor.init()
	p.places.init()
	p.isolationSince = map[jobs.TaskKey]time.Duration{}
	for _, j := range store.Jobs() {
		p.waiting[j.ID] = nil
	}
	store.TakeChanged()
}

// avoid makes a task prefer other workers to the given one for avoidDuration.
func (d *Dispatcher) avoid(key jobs.TaskKey, worker string) {
	d.planner.avoided[key] = avoidance{worker: worker, until: d.now + avoidDuration}
}

// prunePlannerState drops expired avoidances, and the tasks of ended jobs from
// leaseExpiredTasks, lapses, isolationSince and the preemptor.
func (d *Dispatcher) prunePlannerState() {
	d.planner.preemptor.prune(d.store)
	d.prunePlaceWaits()
	for key := range d.planner.leaseExpiredTasks {
		if j := d.store.Job(key.Job); j == nil || j.State.Ended() {
			delete(d.planner.leaseExpiredTasks, key)
		}
	}
	for key := range d.planner.lapses {
		if j := d.store.Job(key.Job); j == nil || j.State.Ended() {
			delete(d.planner.lapses, key)
		}
	}
	for key := range d.planner.isolationSince {
		if j := d.store.Job(key.Job); j == nil || j.State.Ended() {
			delete(d.planner.isolationSince, key)
		}
	}
	for key, a := range d.planner.avoided {
		if d.now >= a.until {
			delete(d.planner.avoided, key)
		}
	}
}

// refreshWaiting marks changed jobs for ranking, and the plan as outdated after a change
// or when a scheduled start is due.
func (d *Dispatcher) refreshWaiting() {
	p := &d.planner
	for id := range d.store.TakeChanged() {
		p.waiting[id] = nil
		p.dirty = true
		d.sweepChangedJob(id)
	}
	if p.nextDueAt != 0 && d.unixMS >= p.nextDueAt {
		p.dirty = true
	}
}

// Plan binds waiting tasks to workers with enough free capacity, in order of rank.
func (d *Dispatcher) Plan() {
	d.refreshWaiting()
	if !d.planner.dirty || d.now < d.planner.nextPlanAt || d.store.Config() == nil {
		return
	}
	d.activity.plans++
	d.planner.nextPlanAt = d.now + planDelayPerWorker*time.Duration(len(d.workers))
	d.planner.dirty = false
	d.planner.nextDueAt = 0
	d.planner.blockedMilliCPU = 0
	d.planner.reservations = 0
	candidates := d.candidates()
	d.planner.places.beginPlan(candidates, d.now)
	if len(candidates) == 0 {
		return
	}
	d.refillOverdueTokens(len(candidates))
	ranked := d.rankedJobs()
	d.planSuspects(ranked, candidates)
	d.reserveForShort(ranked, candidates)
	noFit, search := unplaceable{}, newRoomSearch(d, candidates)
	d.planner.fair = d.newFairPlan(ranked, candidates)
	d.planRestarts(ranked, candidates, &noFit)
	d.planClaims(candidates)
	var overdue []*waitingJob
	for i, wj := range ranked {
		if i > 0 && startsGroup(ranked, i) {
			d.planBelowShare(ranked[i:], candidates, &noFit)
		}
		if wj.class == classOverdue && d.planner.overdueTokens < 1 {
			overdue = append(overdue, wj)
			continue
		}
		if !wj.planned {
			d.planJob(wj, candidates, &noFit)
		}
		d.preemptFor(wj, search)
	}
	for _, wj := range overdue {
		d.planJob(wj, candidates, &noFit)
	}
	switch {
	case d.planner.blockedMilliCPU == 0:
		d.planner.blockedSince = 0
	case d.planner.blockedSince == 0:
		d.planner.blockedSince = d.now
	}
}

// refillOverdueTokens lets overdue long-running tasks start ahead of short ones at a
// limited rate, so that short tasks get most of the capacity that comes free.
func (d *Dispatcher) refillOverdueTokens(workers int) {
	maxTokens := 1 + float64(workers)/workersPerOverdueStart
	d.planner.overdueTokens = min(maxTokens, d.planner.overdueTokens+maxTokens*(d.now-d.planner.overdueRefilledAt).Seconds())
	d.planner.overdueRefilledAt = d.now
}

// boolToInt returns 1 for true, to sort and count by.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// planJob binds the waiting tasks of a job that may start.
func (d *Dispatcher) planJob(wj *waitingJob, candidates []*candidate, noFit *unplaceable) {
	j := wj.job
	waiting := false
	for o := range j.Runs {
		due := j.Spec.Due(o)
		if wj.image != "" {
			due = max(due, j.AcceptedAt+packingDelay.Milliseconds())
		}
		if due > d.unixMS {
			waiting = true
			if d.planner.nextDueAt == 0 || due < d.planner.nextDueAt {
				d.planner.nextDueAt = due
			}
			continue
		}
		for s := range j.Spec.Steps {
			if j.StepReady(o, s) {
				waiting = d.planStep(wj, o, s, candidates, noFit) || waiting
			} else {
				waiting = true
			}
		}
	}
	if !waiting {
		// No task can wait until the job changes again.
		delete(d.planner.waiting, j.ID)
	}
}

// planStep binds the waiting tasks of a step. It reports whether some of them still wait.
func (d *Dispatcher) planStep(wj *waitingJob, occurrence, s int, candidates []*candidate, noFit *unplaceable) bool {
	step := &wj.job.Spec.Steps[s]
	tasks := wj.job.StepTasks(occurrence, s)
	waiting, held := d.waitingTasks(step, tasks)
	if len(waiting) == 0 {
		return held
	}
	if step.Gang {
		return d.planGang(wj, step, waiting, len(tasks), candidates)
	}
	var list shortlist
	for i, t := range waiting {
		request := newUnplaceableRequest(wj.service, step, t)
		request.besideIsolated = wj.besideIsolated
		if noFit.covers(request) {
			d.addBlocked(step, len(waiting)-i)
			return true
		}
		if d.planner.fair.usedUp(wj) {
			return true
		}
		c := d.chooseFromShortlist(wj, step, t, candidates, &list)
		if c == nil {
			d.addBlocked(step, len(waiting)-i)
			d.reserve(wj, step, t, candidates)
			if step.RequiredLabel == "" && step.MaxPerWorker == 0 && !d.hasAvoidance(t.Key) {
				noFit.add(request)
			}
			return true
		}
		if d.waitsForPlace(wj, step, t, c) {
			held = true
			continue
		}
		if wj.class == classOverdue {
			d.planner.overdueTokens = max(0, d.planner.overdueTokens-1)
		}
		d.bind(t, step, c, t.Attempt+1)
	}
	return held
}

// waitingTasks returns the tasks of a step that wait for a worker. held reports whether
// there are others: those that are to run alone, which planSuspects binds, those that wait
// for the list of the worker of an expired attempt, and those that wait for a preferred place.
func (d *Dispatcher) waitingTasks(step *jobs.Step, tasks []jobs.Task) (waiting []*jobs.Task, held bool) {
	for i := range tasks {
		t := &tasks[i]
		switch {
		case t.Done || t.BoundTo != nil || d.hasPendingRecord(t):
		case t.Crashes > 0 && mustIsolate(step, t):
			held = true
		case len(d.planner.lapses) > 0 && d.awaitsList(t.Key):
			held = true
		case d.planner.places.deferred[t.Key]:
			held = true
		default:
			waiting = append(waiting, t)
		}
	}
	return waiting, held
}

// addBlocked adds the CPU request of fillers that found no worker.
func (d *Dispatcher) addBlocked(step *jobs.Step, tasks int) {
	if step.Filler {
		d.planner.blockedMilliCPU += step.Request.MilliCPU * int64(tasks)
	}
}

// reserve reserves a worker for long-running tasks if the given one has waited for
// reserveAfter. It chooses the worker that can hold the largest share of the task now.
func (d *Dispatcher) reserve(wj *waitingJob, step *jobs.Step, t *jobs.Task, candidates []*candidate) {
	if since := max(wj.job.AcceptedAt, t.EndedAt); !step.LongRunning || d.unixMS-since < reserveAfter.Milliseconds() {
		return
	}
	if d.planner.reservations > len(candidates)/workersPerReservation {
		return
	}
	best := d.largestShare(wj, step, t, candidates, func(c *candidate) bool {
		return step.ReservedResources().FitsIn(c.worker.Capacity) && !c.keeps(step, t)
	})
	if best != nil {
		best.reserved = reservedForLongRunning
		d.planner.reservations++
	}
}

// largestShare returns the worker without a reservation that can hold the largest share of
// a task now, among those that admissible accepts, or nil. The limit of tasks for each
// worker is examined last, since it takes longest.
func (d *Dispatcher) largestShare(wj *waitingJob, step *jobs.Step, t *jobs.Task, candidates []*candidate, admissible func(*candidate) bool) *candidate {
	var best *candidate
	var bestRatio float64
	d.activity.examined += len(candidates)
	for _, c := range candidates {
		if c.reserved != notReserved || c.worker.Service != wj.service {
			continue
		}
		share := c.fitRatio(step)
		if best != nil && share <= bestRatio {
			continue
		}
		if admissible(c) && c.worker.hasLabel(step.RequiredLabel) && d.withinStepLimit(t, step, c, nil) {
			best, bestRatio = c, share
		}
	}
	return best
}

// fitRatio returns the ratio of free to requested capacity, for the scarcer of CPU and
// memory. It is negative for a worker that is over its capacity.
func (c *candidate) fitRatio(step *jobs.Step) float64 {
	request := step.ReservedResources()
	return min(ratio(c.free.MilliCPU, request.MilliCPU), ratio(c.free.MemoryMB, request.MemoryMB))
}

// ratio returns free / requested. A request for nothing is limited by a negative rest only.
func ratio(free, requested int64) float64 {
	if requested == 0 && free >= 0 {
		return math.Inf(1)
	}
	return float64(free) / float64(max(1, requested))
}

// fitGang returns a worker for each task of a gang, or nil if some of them find none.
func (d *Dispatcher) fitGang(wj *waitingJob, step *jobs.Step, waiting []*jobs.Task, candidates []*candidate) []*candidate {
	taken := map[*candidate]int{}
	defer func() {
		for c, tasks := range taken {
			for range tasks {
				c.free = c.free.Add(step.ReservedResources())
			}
		}
	}()
	var chosen []*candidate
	for _, t := range waiting {
		c := d.choose(wj, step, t, candidates, taken)
		if c == nil {
			return nil
		}
		c.free = c.free.Sub(step.ReservedResources())
		taken[c]++
		chosen = append(chosen, c)
	}
	return chosen
}

// hasPendingRecord reports whether a binding or a late end of the task is not committed
// yet.
func (d *Dispatcher) hasPendingRecord(t *jobs.Task) bool {
	return d.proposedBinds[t.Key] != nil || d.proposedLateEnds[t.Key]
}

func (d *Dispatcher) hasAvoidance(key jobs.TaskKey) bool {
	_, ok := d.planner.avoided[key]
	return ok
}

// bind proposes the binding of a task to a worker. The start is sent once the binding is
// committed.
func (d *Dispatcher) bind(t *jobs.Task, step *jobs.Step, c *candidate, number int) {
	w := c.worker
	c.free = c.free.Sub(step.ReservedResources())
	c.pendingStarts++
	c.tasks++
	d.addTask(c, step)
	delete(d.planner.leaseExpiredTasks, t.Key)
	delete(d.planner.lapses, t.Key)
	delete(d.planner.isolationSince, t.Key)
	d.recordPlace(t, step, c)
	a := d.newAttempt(t, step, number, phaseProposed)
	if a.suspicion > 0 {
		d.addSuspect(c, a)
	}
	w.addAttempt(a)
	d.planner.fair.charge(a)
	d.proposedBinds[t.Key] = a
	d.recordBinding(t, step)
	d.countStart(t, step)
	command := jobs.Bind{Task: t.Key, Attempt: number, On: w.incarnation(), At: d.unixMS}
	d.propose(jobs.Command{Bind: &command}, func(result jobs.Result, ok bool) {
		d.handleBound(a, result.Applied, ok)
	})
}

// handleBound sends the start of an attempt whose binding is committed. After any other
// result the task is planned anew.
func (d *Dispatcher) handleBound(a *attempt, applied, known bool) {
	delete(d.proposedBinds, a.task)
	if !known || !applied {
		d.dropAttempt(a)
		d.planner.waiting[a.task.Job] = nil
		return
	}
	w := a.worker
	if reason := d.startBlocker(a); reason != "" {
		d.activity.evacuatedStarts += boolToInt(reason == reasonEvacuated)
		d.addLogEvent("start cancelled", w, a, reason)
		a.setPhase(phaseVoid, d.now)
		a.over = certainty{basis: basisStartNotSent}
		d.endAttempt(a, jobs.OutcomeLost)
		return
	}
	d.activity.commit.add(d.now - a.phaseSince)
	a.setPhase(phaseOrdered, d.now)
	a.startedAt = d.now
	deadline := w.leaseDeadline(d.now, d.options.WorkerLease)
	w.leaseEnd = max(w.leaseEnd, deadline)
	d.addLogEvent("starting task", w, a, "")
	if a.number > 1 {
		d.traceAttempt(attemptStarted, a, "", certainty{basis: basisPreviousEnded})
	}
	d.enqueueOrder(w, Order{Start: &Start{a.task, a.number, d.store.Job(a.task.Job).Spec.Payload, deadline, a.checkpoint}})
}

// startBlocker returns why a bound attempt must not start any more, or "".
func (d *Dispatcher) startBlocker(a *attempt) string {
	j := d.store.Job(a.task.Job)
	switch {
	case a.worker.terminated || a.worker.unresponsive || !a.worker.fenceConfirmed:
		return "the worker became unusable"
	case !a.worker.reportIsFresh(d.now):
		return "the worker's report is too old"
	case a.superseded:
		return "an earlier attempt succeeded"
	case j == nil || j.State.Ended():
		return "the job has ended"
	case d.evacuationPrevents(j, a):
		return reasonEvacuated
	case !a.worker.holdsAll():
		return "the capacity of the worker shrank"
	case a.step.Gang && !d.gangBound(j, a):
		return "another member of the gang is not bound with it"
	case a.step.Gang && !d.gangFits(j, a):
		return "the capacity of the worker of another gang member shrank"
	}
	return ""
}
