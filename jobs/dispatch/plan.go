package dispatch

import (
	"cmp"
	"slices"
	"time"

	"geraniumwall/jobs"
)

const (
	// lateFactor times the objective of a job is the time after which its end is
	// worth nothing more to its caller.
	lateFactor = 3
	// avoidFor is how long a task is kept from a worker on which it failed or stood
	// still.
	avoidFor = 10 * time.Second
	// reserveAfter is how long a lasting task waits before a worker is kept free for
	// it.
	reserveAfter = 1500 * time.Millisecond
	// roomsPerReserved bounds the workers that are kept free.
	roomsPerReserved = 50
	// gatherTime is how long jobs with serving tasks wait for others, with which they
	// are packed together.
	gatherTime = 250 * time.Millisecond
	// estimateTrust is the part of the declared time of a chain of steps that a job
	// takes at least. Declared times are rough.
	estimateTrust = 0.6
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
}

type avoidance struct {
	worker string
	until  time.Duration
}

// waitingJob is a job with its rank.
type waitingJob struct {
	job      *jobs.Job
	priority int
	service  string
	// objective and worthless are Unix times in milliseconds.
	objective int64
	worthless int64
	// left is the least time that the job still takes, in milliseconds.
	left int64
	tier tier
	// image and size order jobs with serving tasks, so that those that come at the
	// same time are packed well: the image, and the processor time of a task.
	image string
	size  int64
	// lasting jobs run until they are cancelled. Their tasks come first: short tasks
	// would take every gap before one is large enough.
	lasting bool
}

// tier is what a job can still be worth.
type tier int

const (
	tierInTime tier = iota
	tierLate
	tierWorthless
)

func (wj *waitingJob) tierAt(unix int64) tier {
	switch {
	case unix > wj.worthless:
		return tierWorthless
	case unix+wj.left > wj.objective && wj.worthless < never:
		return tierLate
	}
	return tierInTime
}

// never is a Unix time in milliseconds after all others.
const never = 1 << 62

func (p *planner) init(store *jobs.Store) {
	p.dirty = true
	p.waiting = map[string]*waitingJob{}
	p.avoided = map[jobs.TaskKey]avoidance{}
	for _, j := range store.Jobs() {
		p.waiting[j.ID] = nil
	}
	store.TakeChanged()
}

// avoid keeps a task from a worker for a while.
func (d *Dispatcher) avoid(key jobs.TaskKey, worker string) {
	d.planner.avoided[key] = avoidance{worker: worker, until: d.now + avoidFor}
}

func (d *Dispatcher) forgetAvoided() {
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
	if p.nextDue != 0 && d.unix >= p.nextDue {
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
	full := fullness{}
	for _, wj := range d.ranked() {
		d.planJob(wj, rooms, &full)
	}
	switch {
	case d.planner.blocked == 0:
		d.planner.blockedSince = 0
	case d.planner.blockedSince == 0:
		d.planner.blockedSince = d.now
	}
}

// ranked returns the jobs that may have waiting tasks. Those that can still meet
// their objective come first, since under overload the order of objectives alone
// would make each job late in turn; those that are worth nothing more come last.
// Within these, priority and then the end of the objective decide.
func (d *Dispatcher) ranked() []*waitingJob {
	var list []*waitingJob
	for id, wj := range d.planner.waiting {
		j := d.store.Job(id)
		if j == nil || j.State.Ended() {
			delete(d.planner.waiting, id)
			continue
		}
		if wj == nil {
			wj = d.rank(j)
			d.planner.waiting[id] = wj
		}
		if wj.service != "" {
			wj.tier = wj.tierAt(d.unix)
			list = append(list, wj)
		}
	}
	slices.SortFunc(list, func(a, b *waitingJob) int {
		return cmp.Or(
			cmp.Compare(a.tier, b.tier),
			cmp.Compare(a.priority, b.priority),
			cmp.Compare(bit(!a.lasting), bit(!b.lasting)),
			cmp.Compare(a.image, b.image),
			cmp.Compare(b.size, a.size),
			cmp.Compare(a.objective, b.objective),
			cmp.Compare(a.job.ID, b.job.ID),
		)
	})
	return list
}

func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (d *Dispatcher) rank(j *jobs.Job) *waitingJob {
	q := d.store.Config().Queue(j.Queue)
	if q == nil {
		return &waitingJob{job: j}
	}
	from := j.AcceptedAt
	if due := j.Spec.Due(0); due > from {
		from = due
	}
	objective := int64(q.Stretch*float64(longestChain(&j.Spec))) + q.LatencyObjective
	worthless := from + lateFactor*objective
	if len(j.Spec.Steps) > 0 && j.Spec.Steps[0].LongRunning || j.Spec.Occurrences > 0 {
		worthless = never
	}
	left := int64(estimateTrust * float64(chainLeft(j)))
	wj := &waitingJob{job: j, priority: q.Priority, service: q.Service, objective: from + objective, worthless: worthless, left: left}
	wj.lasting = len(j.Spec.Steps) > 0 && j.Spec.Steps[0].LongRunning
	if len(j.Spec.Steps) > 0 && j.Spec.Steps[0].TailTarget > 0 {
		wj.image, wj.size = j.Spec.Steps[0].Image, j.Spec.Steps[0].Request.MilliCPU
	}
	return wj
}

// longestChain is the declared time of the longest chain of steps, in
// milliseconds.
func longestChain(s *jobs.Spec) int64 {
	return chain(s, func(step int) int64 { return s.Steps[step].Estimate })
}

// chainLeft is the declared time of the longest chain of steps of which no task
// has started, in milliseconds.
func chainLeft(j *jobs.Job) int64 {
	return chain(&j.Spec, func(step int) int64 {
		for o := range j.Runs {
			for _, t := range j.StepTasks(o, step) {
				if t.Attempt > 0 {
					return 0
				}
			}
		}
		return j.Spec.Steps[step].Estimate
	})
}

// chain is the longest sum of the times of steps that follow each other.
func chain(s *jobs.Spec, time func(step int) int64) int64 {
	ends := make([]int64, len(s.Steps))
	longest := int64(0)
	for i := range s.Steps {
		for _, earlier := range s.Steps[i].DependsOn {
			ends[i] = max(ends[i], ends[earlier])
		}
		ends[i] += time(i)
		longest = max(longest, ends[i])
	}
	return longest
}

// room is a worker with its free capacity during one plan.
type room struct {
	w      *worker
	free   jobs.Resources
	starts int
	// reserved rooms take only lasting tasks in this plan.
	reserved bool
	// serving counts the serving tasks there, and headroom holds for each of their
	// images the logarithm of the slowdown that it bears.
	serving  int
	headroom map[string]float64
	// idle is the processor time that fillers may use, in thousandths of a core.
	idle float64
}

func (d *Dispatcher) rooms() []*room {
	beatTimeout := missedBeats * d.options.Beat
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
		if due > d.unix {
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
	for i, t := range waiting {
		if full.covers(wj.service, step) {
			d.block(step, len(waiting)-i)
			return true
		}
		r := d.choose(wj, step, t, rooms, nil)
		if r == nil {
			d.block(step, len(waiting)-i)
			d.reserve(wj, step, t, rooms)
			if step.RequiredLabel == "" && step.MaxPerWorker == 0 && !d.avoids(t.Key) {
				full.refused = append(full.refused, newRefusal(wj.service, step))
			}
			return true
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
	if since := max(wj.job.AcceptedAt, t.EndedAt); !step.LongRunning || d.unix-since < reserveAfter.Milliseconds() {
		return
	}
	var best *room
	reserved := 0
	for _, r := range rooms {
		reserved += bit(r.reserved)
		if r.w.Service != wj.service || r.reserved || !r.w.hasLabel(step.RequiredLabel) || !step.Charge().Fits(r.w.Capacity) ||
			!d.apart(t, step, r, nil) {
			continue
		}
		if best == nil || r.share(step) > best.share(step) {
			best = r
		}
	}
	if best != nil && reserved <= len(rooms)/roomsPerReserved {
		best.reserved = true
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

func (d *Dispatcher) planned(t *jobs.Task) bool {
	_, planned := d.proposed[t.Key]
	return planned
}

func (d *Dispatcher) avoids(key jobs.TaskKey) bool {
	_, ok := d.planner.avoided[key]
	return ok
}

// choose returns the best worker for a task, or nil if none has room.
func (d *Dispatcher) choose(wj *waitingJob, step *jobs.Step, t *jobs.Task, rooms []*room, gang map[*room]int) *room {
	var best *room
	var bestScore float64
	for _, r := range rooms {
		if r.w.Service != wj.service || r.reserved && !step.LongRunning || r.starts >= startsPerWorker || !r.w.hasLabel(step.RequiredLabel) ||
			!step.Charge().Fits(r.free) || !d.apart(t, step, r, gang) {
			continue
		}
		if step.Filler && (r.crowded(step) || r.w.sharing.highSince != 0 || d.disturbs(step, r)) {
			continue
		}
		score := d.score(step, t, r)
		if best == nil || score > bestScore {
			best, bestScore = r, score
		}
	}
	return best
}

// apart reports whether the bound on tasks of a step on one worker permits one
// more.
func (d *Dispatcher) apart(t *jobs.Task, step *jobs.Step, r *room, gang map[*room]int) bool {
	if step.MaxPerWorker == 0 {
		return true
	}
	return gang[r]+countStep(r.w, t.Key) < step.MaxPerWorker
}

// countStep counts the tasks of a task's step on a worker.
func countStep(w *worker, key jobs.TaskKey) int {
	count := 0
	for other := range w.attempts {
		count += bit(stepOf(other) == stepOf(key))
	}
	for other := range w.strays {
		count += bit(stepOf(other.task) == stepOf(key))
	}
	return count
}

// bind writes the assignment of a task to the log and orders the start once it is
// there.
func (d *Dispatcher) bind(t *jobs.Task, step *jobs.Step, r *room, number int) {
	w := r.w
	r.free = r.free.Sub(step.Charge())
	r.starts++
	d.charge(r, step)
	a := &attempt{
		task: t.Key, number: number, on: w, charge: step.Charge(), step: step, phase: phaseProposed,
		boundAt: d.now, settledAt: d.now, progressAt: d.now, checkpoint: t.Checkpoint, pace: fullPace, wantPace: fullPace,
	}
	w.attempts[t.Key] = a
	d.proposed[t.Key] = a
	command := jobs.Bind{Task: t.Key, Attempt: number, On: w.incarnation(), At: d.unix}
	d.commands = append(d.commands, Proposal{jobs.Command{Bind: &command}, func(result jobs.Result, ok bool) {
		d.bound(a, result.Applied && ok, ok)
	}})
}

// bound orders the start of an attempt whose binding is in the log.
func (d *Dispatcher) bound(a *attempt, applied, known bool) {
	delete(d.proposed, a.task)
	if !known {
		return
	}
	if !applied {
		d.forget(a)
		d.planner.waiting[a.task.Job] = nil
		return
	}
	w := a.on
	if w.gone || w.suspect || !w.joined {
		d.note("start is not ordered", w, a, "the worker became unusable")
		a.enter(phaseVoid, d.now)
		d.end(a, jobs.OutcomeLost)
		return
	}
	if j := d.store.Job(a.task.Job); j == nil || j.State.Ended() {
		a.enter(phaseVoid, d.now)
		d.end(a, jobs.OutcomeLost)
		return
	}
	a.enter(phaseOrdered, d.now)
	a.startedAt = d.now
	deadline := w.deadline(d.now, d.options.Lease)
	w.leaseEnd = max(w.leaseEnd, deadline)
	d.note("task is started", w, a, "")
	d.order(w, Order{Start: &Start{a.task, a.number, d.store.Job(a.task.Job).Spec.Payload, deadline, a.checkpoint}})
}
