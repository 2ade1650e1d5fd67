package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"geraniumwall/jobs"
)

const (
	// stopTime is how long a worker may take to stop a task. Work that ends sooner by itself
	// is not stopped.
	stopTime = 400 * time.Millisecond
	// restoreTime is how long a task takes to resume from a checkpoint.
	restoreTime = 600 * time.Millisecond
	// preemptedDelay is by how much a preemption delays a task, with the wait for room.
	preemptedDelay = stopTime + restoreTime + 500*time.Millisecond
	// maxLostWork is the work of a task without checkpoints that a preemption may discard.
	maxLostWork = 300 * time.Millisecond
	// preemptionCooldown is the minimum time between two preemptions of a task,
	// maxPreemptions the number of its preemptions by one leader.
	preemptionCooldown = 5 * time.Second
	maxPreemptions     = 2
	// preemptionsPerWorker times the number of workers bounds the preemptions in any interval of
	// preemptionWindow. minPreemptionBurst is the lower bound of that.
	preemptionsPerWorker = 0.2
	minPreemptionBurst   = 4
	preemptionWindow     = time.Second
	// claimTimeout is how long the room on a worker is kept for a task.
	claimTimeout = 1200 * time.Millisecond
	// maxPreemptingSteps bounds the steps for which one plan looks for room, and
	// maxExaminedWorkers the workers that it examines for each.
	maxPreemptingSteps = 4
	maxExaminedWorkers = 128
	// workersPerClaim is the number of workers for each claim. minClaimLimit is the lower bound
	// of the limit.
	workersPerClaim = 4
	minClaimLimit   = 64
	// maxRoomSources bounds the attempts that make room for one task.
	maxRoomSources = 4
)

// claim keeps room on a worker for a waiting task of a step until the attempts that occupy
// it have ended. Other tasks would take the room of each of them as it comes free, so that
// a larger task would never find enough.
type claim struct {
	// step is the key of the step, with index 0. The tasks of a step are alike.
	step jobs.TaskKey
	// request are the resources of a task of the step.
	request   jobs.Resources
	worker    *worker
	sources   []*attempt
	expiresAt time.Duration
}

// preemptor makes room for urgent short tasks.
type preemptor struct {
	claims []*claim
	// perStep is the number of claims of each step.
	perStep map[jobs.TaskKey]int
	// recent are the times of the preemptions in the last preemptionWindow, left is how many
	// more are allowed now.
	recent []time.Duration
	left   int
	// preempted are the preemptions of tasks whose jobs are active.
	preempted map[jobs.TaskKey]preemption
	// nextWorker is the index of the first candidate that the next search examines.
	nextWorker int
}

// preemption counts the preemptions of a task.
type preemption struct {
	count int
	at    time.Duration
}

// PreemptionCounts counts preempted tasks, and claims of room on workers by their result.
type PreemptionCounts struct {
	// Preempted is the number of tasks that were stopped for others.
	Preempted int
	// Claimed is the number of new claims, Used that of the claims whose task was bound,
	// Expired that of the claims whose room did not come free in time.
	Claimed, Used, Expired int
}

func (p *preemptor) init() {
	p.perStep, p.preempted = map[jobs.TaskKey]int{}, map[jobs.TaskKey]preemption{}
}

// prune drops the preemptions of tasks whose jobs have ended.
func (p *preemptor) prune(store *jobs.Store) {
	for key := range p.preempted {
		if j := store.Job(key.Job); j == nil || j.State.Ended() {
			delete(p.preempted, key)
		}
	}
}

// refill drops the preemptions that have left the window.
func (p *preemptor) refill(workers int, now time.Duration) {
	p.recent = slices.DeleteFunc(p.recent, func(at time.Duration) bool { return now-at >= preemptionWindow })
	p.left = max(0, max(minPreemptionBurst, int(preemptionsPerWorker*float64(workers)))-len(p.recent))
}

// planClaims binds tasks to the room that was claimed for them. It keeps other tasks from
// the room of the claims whose task does not fit yet.
func (d *Dispatcher) planClaims(candidates []*candidate) {
	p := &d.planner.preemptor
	clear(p.perStep)
	if len(p.claims) == 0 {
		return
	}
	byWorker := make(map[*worker]*candidate, len(candidates))
	for _, c := range candidates {
		byWorker[c.worker] = c
	}
	p.claims = slices.DeleteFunc(p.claims, func(cl *claim) bool {
		if d.planClaim(cl, byWorker[cl.worker], p.perStep[cl.step]) {
			p.perStep[cl.step]++
			return false
		}
		for _, a := range cl.sources {
			a.yields = false
		}
		return true
	})
}

// planClaim binds a task to its claimed room, or keeps the room. It reports whether the
// claim stays. earlier is the number of earlier claims of the step that stay.
func (d *Dispatcher) planClaim(cl *claim, c *candidate, earlier int) bool {
	wj := d.planner.waiting[cl.step.Job]
	if c == nil || wj == nil || wj.service == "" || wj.tier == tierExpired {
		return false
	}
	step := wj.job.Step(cl.step)
	waiting, _ := d.waitingTasks(step, wj.job.StepTasks(cl.step.Occurrence, cl.step.Step))
	if len(waiting) <= earlier {
		return false
	}
	t := waiting[earlier]
	if d.eligible(wj, step, t, c, nil) {
		d.activity.preemptions.Used++
		d.bind(t, step, c, t.Attempt+1)
		return false
	}
	if d.now >= cl.expiresAt {
		d.activity.preemptions.Expired++
		return false
	}
	c.keepFor(cl)
	return true
}

// keepFor keeps the free capacity of the worker for a claim.
func (c *candidate) keepFor(cl *claim) {
	c.claimed = c.claimed.Add(cl.request)
	c.claims = append(c.claims, cl)
	c.free = c.free.Sub(minResources(cl.request, c.free))
	if c.room != nil {
		c.room.Claim(cl.request)
	}
}

// minResources returns the smaller of two amounts of each resource, but no negative one.
func minResources(a, b jobs.Resources) jobs.Resources {
	return jobs.Resources{
		MilliCPU: max(0, min(a.MilliCPU, b.MilliCPU)), MemoryMB: max(0, min(a.MemoryMB, b.MemoryMB)), GPUs: max(0, min(a.GPUs, b.GPUs)),
	}
}

// preemptFor claims room for the tasks of a short job that found none, if the job can still
// meet its objective. The room is that of work of a lower priority that ends soon, or that is
// stopped since it loses little.
func (d *Dispatcher) preemptFor(wj *waitingJob, search *roomSearch) {
	if wj.tier != tierOnTime || wj.class != classShort || wj.priority >= search.lowest {
		return
	}
	for o := range wj.job.Runs {
		if wj.job.Spec.Due(o) > d.unixMS {
			continue
		}
		for s := range wj.job.Spec.Steps {
			if search.steps >= maxPreemptingSteps {
				return
			}
			if wj.job.StepReady(o, s) {
				d.claimForStep(wj, o, s, search)
			}
		}
	}
}

// claimForStep claims room for the waiting tasks of a step that have no claim yet.
func (d *Dispatcher) claimForStep(wj *waitingJob, occurrence, s int, search *roomSearch) {
	step := &wj.job.Spec.Steps[s]
	if step.Gang || step.Filler || step.LongRunning || !d.meetsObjective(wj, step) {
		return
	}
	waiting, _ := d.waitingTasks(step, wj.job.StepTasks(occurrence, s))
	key := jobs.TaskKey{Job: wj.job.ID, Occurrence: occurrence, Step: s}
	missing := len(waiting) - d.planner.preemptor.perStep[key]
	if missing <= 0 {
		return
	}
	search.steps++
	search.begin(wj, step, waiting[0])
	for range missing {
		room := search.cheapest()
		if room == nil {
			return
		}
		d.claimRoom(key, step, room)
		search.update(room)
	}
}

// meetsObjective reports whether a job with a waiting step can still meet its objective if
// the room for it comes free after stopTime.
func (d *Dispatcher) meetsObjective(wj *waitingJob, step *jobs.Step) bool {
	remaining := max(wj.remaining, int64(minEstimateRatio*float64(step.EstimateMS)))
	return d.unixMS+stopTime.Milliseconds()+remaining <= wj.objectiveAt
}

// claimRoom claims room for a task of a step, and stops the attempts that have to make it.
func (d *Dispatcher) claimRoom(key jobs.TaskKey, step *jobs.Step, room *room) {
	p := &d.planner.preemptor
	c := room.on.candidate
	cl := &claim{step: key, request: step.ReservedResources(), worker: c.worker, expiresAt: d.now + claimTimeout}
	for _, s := range room.sources {
		s.attempt.yields = true
		cl.sources = append(cl.sources, s.attempt)
		if s.stop {
			d.preemptAttempt(c.worker, s.attempt, key)
		}
	}
	p.claims = append(p.claims, cl)
	p.perStep[key]++
	c.keepFor(cl)
	d.activity.preemptions.Claimed++
}

// preemptAttempt stops an attempt for a task of another step. The task is planned again
// from its checkpoint.
func (d *Dispatcher) preemptAttempt(w *worker, a *attempt, beneficiary jobs.TaskKey) {
	p := &d.planner.preemptor
	p.left--
	p.recent = append(p.recent, d.now)
	p.preempted[a.task] = preemption{p.preempted[a.task].count + 1, d.now}
	d.activity.preemptions.Preempted++
	d.addLogEvent("task preempted", w, a, fmt.Sprintf("for step %v, at %d%%, loses %v of work", beneficiary, a.percent, d.lostWork(a)))
	a.stopping = true
	a.nextStopAt = d.now + stopRetryInterval
	d.enqueueOrder(w, Order{Stop: &Stop{a.task, a.number}})
}

// lostWork returns the work that an attempt loses if it is stopped. A stop saves the work of
// a task with checkpoints.
func (d *Dispatcher) lostWork(a *attempt) time.Duration {
	if a.step.Checkpointed {
		return 0
	}
	return d.now - a.startedAt
}

// roomSearch finds room for tasks of short steps on workers.
type roomSearch struct {
	d          *Dispatcher
	candidates []*candidate
	// lowest is the lowest priority of a queue, which is the largest number.
	lowest     int
	priorities map[string]int
	// steps counts the steps for which room was searched.
	steps int
	// ranks holds the ranks of the jobs whose work was considered.
	ranks map[*jobs.Job]*waitingJob
	// wj, step and task describe the tasks for which room is searched.
	wj   *waitingJob
	step *jobs.Step
	task *jobs.Task
	// sources are the sources of room on the examined workers, for tasks of the service and
	// the priority that request this much or more.
	sources  []*workerSources
	service  string
	priority int
	request  jobs.Resources
	// rooms are the workers with room for one more task.
	rooms []*room
}

// workerSources are the attempts on a worker that can make room, those that cost least
// first.
type workerSources struct {
	candidate *candidate
	// free is the capacity that is free once the attempts that are being stopped or make room
	// have ended, without what is claimed. It is negative for a worker that is over its
	// capacity.
	free jobs.Resources
	list []roomSource
}

// room is room for one task on a worker, once the sources have ended.
type room struct {
	on      *workerSources
	sources []roomSource
	stops   int
	// cost is the CPU time in milliseconds of a millicore that is idle or lost.
	cost float64
}

// roomSource is an attempt whose end makes room. stop is set if it has to be stopped.
type roomSource struct {
	attempt *attempt
	stop    bool
	// idle is the time for which its CPU does nothing of use.
	idle time.Duration
}

// newRoomSearch returns the search of one plan.
func newRoomSearch(d *Dispatcher, candidates []*candidate) *roomSearch {
	d.planner.preemptor.refill(len(candidates), d.now)
	s := &roomSearch{d: d, candidates: candidates, priorities: map[string]int{}, ranks: map[*jobs.Job]*waitingJob{}}
	config := d.store.Config()
	for _, queues := range [][]jobs.Queue{config.Queues, config.Retired} {
		for i := range queues {
			s.priorities[queues[i].Name] = queues[i].Priority
			s.lowest = max(s.lowest, queues[i].Priority)
		}
	}
	return s
}

// begin starts the search for room for the waiting tasks of a step, of which t is the first.
func (s *roomSearch) begin(wj *waitingJob, step *jobs.Step, t *jobs.Task) {
	s.wj, s.step, s.task = wj, step, t
	s.examine()
	s.rooms = s.rooms[:0]
	for _, w := range s.sources {
		if r := s.roomOn(w); r != nil {
			s.rooms = append(s.rooms, r)
		}
	}
}

// examine lists the sources of room on workers, unless they are listed already.
func (s *roomSearch) examine() {
	request := s.step.ReservedResources()
	if s.sources != nil && s.service == s.wj.service && s.priority == s.wj.priority && s.request.FitsIn(request) {
		return
	}
	s.service, s.priority, s.request = s.wj.service, s.wj.priority, request
	s.sources = s.sources[:0]
	p, count := &s.d.planner.preemptor, len(s.candidates)
	first := p.nextWorker
	for i := range count {
		c := s.candidates[(first+i)%count]
		if c.worker.Service != s.service || !request.FitsIn(c.freeAfterShort) {
			continue
		}
		w := &workerSources{candidate: c}
		s.list(w)
		s.sources = append(s.sources, w)
		if len(s.sources) == maxExaminedWorkers {
			p.nextWorker = (first + i + 1) % count
			return
		}
	}
}

// list lists the sources of room on a worker.
func (s *roomSearch) list(w *workerSources) {
	c := w.candidate
	w.free = c.worker.Capacity.Sub(c.claimed)
	w.list = w.list[:0]
	for _, u := range c.worker.unexpected {
		w.free = w.free.Sub(u.reserved)
	}
	for _, a := range c.worker.attempts {
		if a.stopping || a.yields {
			continue
		}
		w.free = w.free.Sub(a.reserved)
		if source, ok := s.source(a); ok {
			w.list = append(w.list, source)
		}
	}
	slices.SortFunc(w.list, func(a, b roomSource) int {
		return cmp.Or(cmp.Compare(a.idle, b.idle), compareTasks(a.attempt.task, b.attempt.task))
	})
}

// cheapest returns the room that costs least and that the preemptions left allow, or nil.
func (s *roomSearch) cheapest() *room {
	var best *room
	p := &s.d.planner.preemptor
	if len(p.claims) >= max(minClaimLimit, len(s.candidates)/workersPerClaim) {
		return nil
	}
	for _, r := range s.rooms {
		if r.stops <= p.left && (best == nil || r.cost < best.cost) {
			best = r
		}
	}
	return best
}

// update finds further room on the worker of a room that was claimed.
func (s *roomSearch) update(claimed *room) {
	s.list(claimed.on)
	i := slices.Index(s.rooms, claimed)
	if next := s.roomOn(claimed.on); next != nil {
		s.rooms[i] = next
		return
	}
	s.rooms = slices.Delete(s.rooms, i, i+1)
}

// roomOn returns the cheapest room for a task on a worker, or nil.
func (s *roomSearch) roomOn(w *workerSources) *room {
	if !s.admits(w.candidate) {
		return nil
	}
	lacking := s.step.ReservedResources().Sub(w.free)
	var chosen []roomSource
	for _, source := range w.list {
		if lacking.FitsIn(jobs.Resources{}) {
			break
		}
		if contributes(source.attempt.reserved, lacking) {
			lacking = lacking.Sub(source.attempt.reserved)
			chosen = append(chosen, source)
		}
	}
	if !lacking.FitsIn(jobs.Resources{}) {
		return nil
	}
	return newRoom(w, dropUnneeded(chosen, lacking))
}

// dropUnneeded drops the sources without which the room is large enough, the most costly
// first. lacking is negative by what they leave over.
func dropUnneeded(sources []roomSource, lacking jobs.Resources) []roomSource {
	for i := len(sources) - 1; i >= 0; i-- {
		if without := lacking.Add(sources[i].attempt.reserved); without.FitsIn(jobs.Resources{}) {
			lacking = without
			sources = slices.Delete(sources, i, i+1)
		}
	}
	return sources
}

func newRoom(w *workerSources, sources []roomSource) *room {
	if len(sources) > maxRoomSources {
		return nil
	}
	r := &room{on: w, sources: sources}
	for _, s := range sources {
		r.stops += boolToInt(s.stop)
		r.cost += float64(s.idle.Milliseconds()) * float64(s.attempt.reserved.MilliCPU)
	}
	return r
}

// contributes reports whether an amount reduces what is lacking.
func contributes(amount, lacking jobs.Resources) bool {
	return lacking.MilliCPU > 0 && amount.MilliCPU > 0 || lacking.MemoryMB > 0 && amount.MemoryMB > 0 || lacking.GPUs > 0 && amount.GPUs > 0
}

// admits reports whether a worker may run the tasks, without regard to its free capacity.
func (s *roomSearch) admits(c *candidate) bool {
	return (!c.isolated || s.wj.besideIsolated) && c.admits(s.step, s.task.Key) &&
		c.pendingStarts < maxPendingStarts && c.worker.hasLabel(s.step.RequiredLabel) &&
		s.d.planner.avoided[s.task.Key].worker != c.worker.Worker && s.withinStepLimit(c)
}

// withinStepLimit reports whether a worker may run one more task of the step under
// MaxPerWorker, beside those for which it has claims.
func (s *roomSearch) withinStepLimit(c *candidate) bool {
	if s.step.MaxPerWorker == 0 {
		return true
	}
	claimed := 0
	for _, cl := range c.claims {
		claimed += boolToInt(cl.step == stepKey(s.task.Key))
	}
	return s.d.withinStepLimit(s.task, s.step, c, map[*candidate]int{c: claimed})
}

// source returns how an attempt can make room. ok is false if it can't, or must not.
func (s *roomSearch) source(a *attempt) (source roomSource, ok bool) {
	if a.phase != phaseStarted || a.inherited || a.endProposed || a.suspicion > 0 ||
		a.step.LongRunning || a.step.Gang || a.step.MaxUnavailable > 0 || s.priorities[a.job.Queue] <= s.wj.priority {
		return roomSource{}, false
	}
	left := a.expectedRemaining(s.d.now)
	if left <= stopTime {
		return roomSource{attempt: a, idle: left}, true
	}
	if !s.mayPreempt(a, left) {
		return roomSource{}, false
	}
	return roomSource{attempt: a, stop: true, idle: stopTime + restoreTime + s.d.lostWork(a)}, true
}

// mayPreempt reports whether an attempt that would take some more time may be stopped.
func (s *roomSearch) mayPreempt(a *attempt, left time.Duration) bool {
	earlier, known := s.d.planner.preemptor.preempted[a.task]
	if known && (earlier.count >= maxPreemptions || s.d.now-earlier.at < preemptionCooldown) {
		return false
	}
	return s.d.lostWork(a) <= maxLostWork && s.keepsValue(a, left)
}

// keepsValue reports whether the job of an attempt meets its objective after a preemption if
// it would without one, and whether its result keeps its value.
func (s *roomSearch) keepsValue(a *attempt, left time.Duration) bool {
	rank := s.ranks[a.job]
	if rank == nil {
		rank = s.d.rankJob(a.job)
		s.ranks[a.job] = rank
	}
	end := s.d.unixMS + left.Milliseconds() + rank.remaining
	delayed := end + preemptedDelay.Milliseconds()
	switch {
	case end <= rank.objectiveAt:
		return delayed <= rank.objectiveAt
	case end <= rank.expiresAt:
		return delayed <= rank.expiresAt
	}
	return true
}

// expectedRemaining estimates the time until the attempt ends from its progress at the time
// of the last change, or from the declared duration.
func (a *attempt) expectedRemaining(now time.Duration) time.Duration {
	declared := time.Duration(a.step.EstimateMS) * time.Millisecond
	worked := a.progressAt - a.startedAt
	switch {
	case a.percent <= 0 || a.percent > 100:
		return max(0, declared-(now-a.startedAt))
	case a.record.Checkpoint != "":
		// The progress includes that of earlier attempts.
		return max(0, declared*time.Duration(100-a.percent)/100-(now-a.progressAt))
	}
	return max(0, worked*time.Duration(100)/time.Duration(a.percent)-(now-a.startedAt))
}
