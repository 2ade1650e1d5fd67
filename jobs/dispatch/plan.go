package dispatch

import (
	"cmp"
	"slices"
	"time"

	"geraniumwall/jobs"
)

const (
	// avoidFor is how long a task is kept from a worker on which it failed or stood
	// still.
	avoidFor = 10 * time.Second
	// reserveAfter is how long a lasting task waits before a worker is kept free for
	// it.
	reserveAfter = 1500 * time.Millisecond
	// roomsPerReserved bounds the workers that are kept free.
	roomsPerReserved = 50
	// roomsPerOverdue is the number of workers for each overdue lasting task that goes
	// before short ones in a second.
	roomsPerOverdue = 50
	// gatherTime is how long jobs with serving tasks wait for others, with which they
	// are packed together.
	gatherTime = 250 * time.Millisecond
	// planPause is the time between two plans for each worker, since a plan looks at
	// all of them.
	planPause = 100 * time.Microsecond
	// startsPerWorker bounds the starts that are on their way to one worker.
	startsPerWorker = 16
)

// planner decides which waiting task goes to which worker.
type planner struct {
	// dirty is set when a task may have become startable.
	dirty bool
	// nextPlan is the earliest time of the next plan.
	nextPlan time.Duration
	// replanAt is the time of the next plan without an event.
	replanAt time.Duration
	// waiting are the jobs that may have waiting tasks.
	waiting map[string]*waitingJob
	avoided map[jobs.TaskKey]avoidance
	// lost are the lasting tasks that ended with the lease of a worker. They have been
	// missed since long before their end is known.
	lost map[jobs.TaskKey]bool
	// nextDue is the Unix time of the next scheduled start, 0 for none.
	nextDue int64
	// empty counts the workers without serving tasks among all usable workers.
	empty   int
	workers int
	// blocked is the processor time of the fillers that found no worker in the last
	// plan, in thousandths of a core.
	blocked int64
	// blockedSince is since when some fillers have found no worker, 0 for none.
	blockedSince time.Duration
	// clearedAt is when a worker was last cleared of serving tasks.
	clearedAt time.Duration
	// overdue is the number of overdue lasting tasks that may go before short ones,
	// overdueAt is when it was last raised.
	overdue   float64
	overdueAt time.Duration
}

type avoidance struct {
	worker string
	until  time.Duration
}

func (p *planner) init(store *jobs.Store) {
	p.dirty = true
	p.waiting = map[string]*waitingJob{}
	p.avoided = map[jobs.TaskKey]avoidance{}
	p.lost = map[jobs.TaskKey]bool{}
	for _, j := range store.Jobs() {
		p.waiting[j.ID] = nil
	}
	store.TakeChanged()
}

// avoid keeps a task from a worker for a while.
func (d *Dispatcher) avoid(key jobs.TaskKey, worker string) {
	d.planner.avoided[key] = avoidance{worker: worker, until: d.now + avoidFor}
}

// prunePlannerState drops what the planner keeps of tasks beyond its use.
func (d *Dispatcher) prunePlannerState() {
	for key := range d.planner.lost {
		if j := d.store.Job(key.Job); j == nil || j.State.Ended() {
			delete(d.planner.lost, key)
		}
	}
	for key, a := range d.planner.avoided {
		if d.now >= a.until {
			delete(d.planner.avoided, key)
		}
	}
}

// refresh takes in the changes of the state.
func (d *Dispatcher) refresh() {
	p := &d.planner
	for id := range d.store.TakeChanged() {
		p.waiting[id] = nil
		p.dirty = true
	}
	if p.nextDue != 0 && d.unixMS >= p.nextDue {
		p.dirty = true
	}
}

// Plan binds waiting tasks to workers with room, in the order of rank.
func (d *Dispatcher) Plan() {
	d.refresh()
	if !d.planner.dirty || d.now < d.planner.nextPlan || d.store.Config() == nil {
		return
	}
	d.planner.nextPlan = d.now + planPause*time.Duration(len(d.workers))
	d.planner.dirty = false
	d.planner.nextDue = 0
	d.planner.blocked = 0
	rooms := d.rooms()
	if len(rooms) == 0 {
		return
	}
	d.raiseOverdue(len(rooms))
	ranked := d.ranked()
	d.planRestarts(ranked, rooms)
	full := fullness{}
	var overdue []*waitingJob
	for _, wj := range ranked {
		if wj.turn == turnOverdue && d.planner.overdue < 1 {
			overdue = append(overdue, wj)
			continue
		}
		d.planJob(wj, rooms, &full)
	}
	for _, wj := range overdue {
		d.planJob(wj, rooms, &full)
	}
	switch {
	case d.planner.blocked == 0:
		d.planner.blockedSince = 0
	case d.planner.blockedSince == 0:
		d.planner.blockedSince = d.now
	}
}

// raiseOverdue lets overdue lasting tasks go before short ones, at a rate that keeps
// most of the room that comes free for short ones.
func (d *Dispatcher) raiseOverdue(rooms int) {
	most := 1 + float64(rooms)/roomsPerOverdue
	d.planner.overdue = min(most, d.planner.overdue+most*(d.now-d.planner.overdueAt).Seconds())
	d.planner.overdueAt = d.now
}

// room is a worker with its free capacity during one plan.
type room struct {
	w    *worker
	free jobs.Resources
	// soon is what is free once all tasks that do not last have ended.
	soon   jobs.Resources
	starts int
	// reserved says who may take the room in this plan, reservedTask is the only one
	// if it is reservedForTask.
	reserved     reservation
	reservedTask jobs.TaskKey
	// serving counts the serving tasks there, and headroom holds for each of their
	// images the further slowdown that it bears.
	serving  int
	headroom map[string]float64
	// idle is the processor time that fillers may use, in thousandths of a core.
	idle float64
}

func (d *Dispatcher) rooms() []*room {
	beatTimeout := maxMissedHeartbeats * d.options.Beat
	var rooms []*room
	for _, w := range d.workers {
		if !w.usable(d.now, beatTimeout) {
			continue
		}
		rooms = append(rooms, d.room(w))
	}
	d.planner.empty, d.planner.workers = 0, len(rooms)
	for _, r := range rooms {
		d.planner.empty += bit(r.serving == 0)
	}
	slices.SortFunc(rooms, func(a, b *room) int { return cmp.Compare(a.w.Worker, b.w.Worker) })
	return rooms
}

// reservation says for whom a room is kept.
type reservation int

const (
	notReserved reservation = iota
	reservedForLasting
	reservedForTask
)

// open reports whether the reservation of a room permits a task.
func (r *room) open(step *jobs.Step, key jobs.TaskKey) bool {
	switch r.reserved {
	case reservedForLasting:
		return step.LongRunning
	case reservedForTask:
		return key == r.reservedTask
	case notReserved:
	}
	return true
}

// bit is 1 for true, to sort and count by.
func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}

// fullness remembers requests that no worker had room for, so that larger ones
// are not tried again in the same plan.
type fullness struct{ refused []refusal }

type refusal struct {
	service string
	// image is that of a filler, whose place depends on what it disturbs.
	image   string
	request jobs.Resources
}

func newRefusal(service string, step *jobs.Step) refusal {
	if step.Filler {
		return refusal{service, step.Image, step.Request}
	}
	return refusal{service: service, request: step.Request}
}

func (f *fullness) covers(service string, step *jobs.Step) bool {
	asked := newRefusal(service, step)
	return slices.ContainsFunc(f.refused, func(r refusal) bool {
		return r.service == asked.service && r.image == asked.image && r.request.Fits(asked.request)
	})
}

// planJob binds the waiting tasks of a job that may start.
func (d *Dispatcher) planJob(wj *waitingJob, rooms []*room, full *fullness) {
	j := wj.job
	waiting := false
	for o := range j.Runs {
		due := j.Spec.Due(o)
		if wj.image != "" {
			due = max(due, j.AcceptedAt+gatherTime.Milliseconds())
		}
		if due > d.unixMS {
			waiting = true
			if d.planner.nextDue == 0 || due < d.planner.nextDue {
				d.planner.nextDue = due
			}
			continue
		}
		for s := range j.Spec.Steps {
			if j.Ready(o, s) {
				waiting = d.planStep(wj, o, s, rooms, full) || waiting
			} else {
				waiting = true
			}
		}
	}
	if !waiting {
		// Nothing waits until the job changes again.
		delete(d.planner.waiting, j.ID)
	}
}

// planStep binds the waiting tasks of a step. It returns whether some still wait.
func (d *Dispatcher) planStep(wj *waitingJob, occurrence, s int, rooms []*room, full *fullness) bool {
	step := &wj.job.Spec.Steps[s]
	tasks := wj.job.StepTasks(occurrence, s)
	var waiting []*jobs.Task
	for i := range tasks {
		t := &tasks[i]
		if !t.Done && t.Bound == nil && !d.planned(t) {
			waiting = append(waiting, t)
		}
	}
	if len(waiting) == 0 {
		return false
	}
	if step.Gang {
		return d.planGang(wj, step, waiting, len(tasks), rooms)
	}
	var list shortlist
	for i, t := range waiting {
		if full.covers(wj.service, step) {
			d.block(step, len(waiting)-i)
			return true
		}
		r := d.chooseFor(wj, step, t, rooms, &list)
		if r == nil {
			d.block(step, len(waiting)-i)
			d.reserve(wj, step, t, rooms)
			if step.RequiredLabel == "" && step.MaxPerWorker == 0 && !d.avoids(t.Key) {
				full.refused = append(full.refused, newRefusal(wj.service, step))
			}
			return true
		}
		if wj.turn == turnOverdue {
			d.planner.overdue = max(0, d.planner.overdue-1)
		}
		d.bind(t, step, r, t.Attempt+1)
	}
	return false
}

// block counts the processor time of fillers that find no worker.
func (d *Dispatcher) block(step *jobs.Step, tasks int) {
	if step.Filler {
		d.planner.blocked += step.Request.MilliCPU * int64(tasks)
	}
}

// reserve keeps the worker with the most room free of other tasks for a lasting
// task that has waited for long.
func (d *Dispatcher) reserve(wj *waitingJob, step *jobs.Step, t *jobs.Task, rooms []*room) {
	if since := max(wj.job.AcceptedAt, t.EndedAt); !step.LongRunning || d.unixMS-since < reserveAfter.Milliseconds() {
		return
	}
	var best *room
	reserved := 0
	for _, r := range rooms {
		reserved += bit(r.reserved == reservedForLasting)
		if r.w.Service != wj.service || r.reserved != notReserved || !r.w.hasLabel(step.RequiredLabel) || !step.Charge().Fits(r.w.Capacity) ||
			!d.apart(t, step, r, nil) {
			continue
		}
		if best == nil || r.share(step) > best.share(step) {
			best = r
		}
	}
	if best != nil && reserved <= len(rooms)/roomsPerReserved {
		best.reserved = reservedForLasting
	}
}

// share is the part of a request for which there is room.
func (r *room) share(step *jobs.Step) float64 {
	request := step.Charge()
	return min(float64(r.free.MilliCPU)/float64(max(1, request.MilliCPU)), float64(r.free.MemoryMB)/float64(max(1, request.MemoryMB)))
}

// planGang binds all tasks of a gang or none.
func (d *Dispatcher) planGang(wj *waitingJob, step *jobs.Step, waiting []*jobs.Task, size int, rooms []*room) bool {
	if len(waiting) < size {
		return true
	}
	number := 0
	for _, t := range waiting {
		number = max(number, t.Attempt+1)
		if t.Attempt != waiting[0].Attempt {
			return true
		}
	}
	taken := map[*room]int{}
	var chosen []*room
	for _, t := range waiting {
		r := d.choose(wj, step, t, rooms, taken)
		if r == nil {
			for r, n := range taken {
				for range n {
					r.free = r.free.Add(step.Charge())
				}
			}
			return true
		}
		r.free = r.free.Sub(step.Charge())
		taken[r]++
		chosen = append(chosen, r)
	}
	for i, t := range waiting {
		chosen[i].free = chosen[i].free.Add(step.Charge())
		d.bind(t, step, chosen[i], number)
	}
	return false
}

// planned reports whether a task is being bound, or waits for the record of an end.
func (d *Dispatcher) planned(t *jobs.Task) bool {
	return d.proposedBinds[t.Key] != nil || d.proposedLateEnds[t.Key]
}

func (d *Dispatcher) avoids(key jobs.TaskKey) bool {
	_, ok := d.planner.avoided[key]
	return ok
}

// bind writes the assignment of a task to the log and orders the start once it is
// there.
func (d *Dispatcher) bind(t *jobs.Task, step *jobs.Step, r *room, number int) {
	w := r.w
	r.free = r.free.Sub(step.Charge())
	r.starts++
	d.charge(r, step)
	delete(d.planner.lost, t.Key)
	a := d.newAttempt(t, step, number, phaseProposed)
	a.worker = w
	w.attempts[t.Key] = a
	d.proposedBinds[t.Key] = a
	command := jobs.Bind{Task: t.Key, Attempt: number, On: w.incarnation(), At: d.unixMS}
	d.commands = append(d.commands, Proposal{jobs.Command{Bind: &command}, func(result jobs.Result, ok bool) {
		d.bound(a, result.Applied, ok)
	}})
}

// bound orders the start of an attempt whose binding is in the log.
func (d *Dispatcher) bound(a *attempt, applied, known bool) {
	delete(d.proposedBinds, a.task)
	if !known {
		return
	}
	if !applied {
		d.dropAttempt(a)
		d.planner.waiting[a.task.Job] = nil
		return
	}
	w := a.worker
	if why := d.startObstacle(a); why != "" {
		d.addNote("start is not ordered", w, a, why)
		a.setPhase(phaseVoid, d.now)
		d.endAttempt(a, jobs.OutcomeLost)
		return
	}
	a.setPhase(phaseOrdered, d.now)
	a.startedAt = d.now
	deadline := w.leaseDeadline(d.now, d.options.Lease)
	w.leaseEnd = max(w.leaseEnd, deadline)
	d.addNote("task is started", w, a, "")
	d.enqueueOrder(w, Order{Start: &Start{a.task, a.number, d.store.Job(a.task.Job).Spec.Payload, deadline, a.checkpoint}})
}

// startObstacle names what has made the start of a bound attempt useless.
func (d *Dispatcher) startObstacle(a *attempt) string {
	j := d.store.Job(a.task.Job)
	switch {
	case a.worker.terminated || a.worker.unresponsive || !a.worker.fenceConfirmed:
		return "the worker became unusable"
	case a.superseded:
		return "an earlier attempt is done"
	case j == nil || j.State.Ended():
		return "the job has ended"
	}
	return ""
}
