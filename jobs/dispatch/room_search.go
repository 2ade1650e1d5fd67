package dispatch

import (
	"cmp"
	"slices"
	"time"

	"geraniumwall/jobs"
)

const (
	// maxExaminedWorkers bounds the workers that one plan examines for each step.
	maxExaminedWorkers = 128
	// maxRoomSources bounds the attempts that make room for one task.
	maxRoomSources = 4
)

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
