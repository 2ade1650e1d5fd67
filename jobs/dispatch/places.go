package dispatch

import (
	"fmt"
	"math"
	"time"

	"geraniumwall/jobs"
	"geraniumwall/jobs/dispatch/locality"
)

const (
	// minAttemptEnd is the earliest time at which the room of a running attempt can be used:
	// its end has to be reported and committed, and a plan has to follow.
	minAttemptEnd = 40 * time.Millisecond
	// overrunShare times the time that an attempt has run is its expected remaining time
	// once it is over its declared duration without a report of progress. Declared durations
	// are wrong by up to a half, so an attempt that runs over has a quarter left on average.
	overrunShare = 0.25
	// demandDecay is the time constant of the mean demand for a rack. It spans a burst of short
	// jobs and the idle time after it. firstDemand is assumed where nothing is measured yet, and
	// minDemand is the mean below which the demand is not measured any more.
	demandDecay = 10 * time.Second
	firstDemand = 0.25
	minDemand   = 0.01
	// maxDeclared bounds the declared durations that are used, so that they do not overflow
	// when they are multiplied.
	maxDeclared = 30 * 24 * time.Hour
)

// places holds the state of tasks that wait for a preferred place. It is empty while
// Options.RemoteSlowdown is not above 1.
type places struct {
	// candidates are the workers of the plan. racks are those by rack, nil until the plan
	// needs them.
	candidates []*candidate
	racks      map[rackKey][]*candidate
	// demands are the racks for which a task has considered to wait, while they are in use.
	demands map[rackKey]*rackDemand
	// deferred are the tasks that the last plan left waiting although other workers have room.
	deferred map[jobs.TaskKey]bool
	// waits are the waits that have begun, until their task is bound or its job has ended.
	waits  map[jobs.TaskKey]time.Duration
	counts PlaceWaitCounts
	// step is the step that was examined last in the plan.
	step placeStep
	// decide is locality.Decide. Tests replace it to compare other rules.
	decide func(locality.Input) locality.Decision
}

type rackKey struct{ service, rack string }

// rackDemand is the share of the CPU outside long-running tasks that tasks reserve in a rack:
// a decaying mean, by the last plan.
type rackDemand struct {
	mean     float64
	observed time.Duration
}

// placeStep is what the waits of the tasks of one step have in common.
type placeStep struct {
	key jobs.TaskKey
	// readyAt is the Unix time in milliseconds since which the tasks may run, endBy that
	// at which they have to end for the job to meet its objective.
	readyAt, endBy int64
	// expected counts the tasks of the step that are expected to start on each worker.
	expected map[*candidate]int
	// together is set if the tasks of a gang without data start in one rack.
	together bool
}

// PlaceWaitCounts counts waits for preferred places.
type PlaceWaitCounts struct {
	// Waiting is the number of tasks that wait now.
	Waiting int
	// Begun is the number of waits that have begun since the last status. Preferred,
	// Elsewhere and Abandoned describe those that have ended: at the preferred place, at
	// another one, and with the end of the job.
	Begun                           int
	Preferred, Elsewhere, Abandoned DelayStats
}

func (p *places) init() {
	p.demands = map[rackKey]*rackDemand{}
	p.deferred, p.waits = map[jobs.TaskKey]bool{}, map[jobs.TaskKey]time.Duration{}
	p.decide = locality.Decide
}

// mayWait reports whether a wait can be worthwhile, whatever the expected room is.
func (p *places) mayWait(in locality.Input) bool {
	return p.decide(in).Reason == locality.NoRoomExpected
}

// beginPlan forgets the decisions of the last plan.
func (p *places) beginPlan(candidates []*candidate, now time.Duration) {
	p.candidates, p.racks, p.step = candidates, nil, placeStep{}
	clear(p.deferred)
	for key, demand := range p.demands {
		share := usedShare(p.rack(key))
		demand.mean += (share - demand.mean) * (1 - math.Exp(-(now-demand.observed).Seconds()/demandDecay.Seconds()))
		demand.observed = now
		if demand.mean < minDemand {
			delete(p.demands, key)
		}
	}
}

// usedShare returns the share of the CPU outside long-running tasks that tasks reserve now.
func usedShare(rack []*candidate) float64 {
	free, whole := int64(0), int64(0)
	for _, c := range rack {
		free += max(0, c.free.MilliCPU)
		whole += max(0, c.freeAfterShort.MilliCPU)
	}
	return max(0, 1-float64(free)/float64(max(1, whole)))
}

// demand returns the mean demand for a rack. It is measured from the first call on, and anew
// by each leader.
func (p *places) demand(key rackKey, now time.Duration) float64 {
	demand := p.demands[key]
	if demand == nil {
		demand = &rackDemand{mean: firstDemand, observed: now}
		p.demands[key] = demand
	}
	return demand.mean
}

func (p *places) takeCounts() PlaceWaitCounts {
	counts := p.counts
	p.counts = PlaceWaitCounts{}
	counts.Waiting = len(p.deferred)
	return counts
}

// rack returns the workers of a service in a rack.
func (p *places) rack(key rackKey) []*candidate {
	p.index()
	return p.racks[key]
}

// index groups the workers by rack, once in a plan.
func (p *places) index() {
	if p.racks != nil {
		return
	}
	p.racks = map[rackKey][]*candidate{}
	for _, c := range p.candidates {
		if rack := c.worker.rack(); rack != "" {
			key := rackKey{c.worker.Service, rack}
			p.racks[key] = append(p.racks[key], c)
		}
	}
}

// mayWaitForPlace reports whether the tasks of a step can wait for a place. The end of a
// long-running task is not known, and the room for a filler depends on the load of the
// serving tasks beside it.
func (d *Dispatcher) mayWaitForPlace(step *jobs.Step) bool {
	return d.options.RemoteSlowdown > 1 && !step.LongRunning && !step.Filler && step.EstimateMS > 0
}

// waitsForPlace reports whether a task waits for a worker in the rack of its data instead of
// starting on the given one.
func (d *Dispatcher) waitsForPlace(wj *waitingJob, step *jobs.Step, t *jobs.Task, c *candidate) bool {
	if step.DataRack == "" || !d.mayWaitForPlace(step) || c.worker.rack() == step.DataRack {
		return false
	}
	s := d.placeStepOf(wj, t)
	in := d.placeInput(s, step, t)
	if !d.planner.places.mayWait(in) {
		return false
	}
	key := rackKey{wj.service, step.DataRack}
	in.Demand = d.planner.places.demand(key, d.now)
	rack := d.planner.places.rack(key)
	i, at := locality.Earliest(d.expectedRoom(rack), step.ReservedResources(), func(i int) bool {
		return d.placeAdmits(wj, step, t, rack[i], s.expected)
	})
	if i < 0 {
		return false
	}
	in.Room, in.RoomExpected = at, true
	if !d.planner.places.decide(in).Wait {
		return false
	}
	rack[i].room.Reserve(at, in.Duration, step.ReservedResources())
	s.expected[rack[i]]++
	d.deferTask(t, step.DataRack, in)
	return true
}

// placeInput returns the inputs of the decision about a task, without those about the room.
func (d *Dispatcher) placeInput(s *placeStep, step *jobs.Step, t *jobs.Task) locality.Input {
	return locality.Input{
		Duration: declaredDuration(step),
		Slowdown: d.options.RemoteSlowdown,
		Waited:   time.Duration(d.unixMS-max(s.readyAt, t.EndedAt)) * time.Millisecond,
		Deadline: time.Duration(s.endBy-d.unixMS) * time.Millisecond,
	}
}

// deferTask leaves a task waiting until the next plan.
func (d *Dispatcher) deferTask(t *jobs.Task, place string, in locality.Input) {
	p := &d.planner.places
	p.deferred[t.Key] = true
	if _, known := p.waits[t.Key]; known {
		return
	}
	p.waits[t.Key] = d.now
	p.counts.Begun++
	d.addLogEvent("waiting for a preferred place", nil, &attempt{task: t.Key, number: t.Attempt + 1}, fmt.Sprintf("rack %s, %v", place, in))
}

// recordPlace updates the expected room of a worker that gets a task, and ends the wait of
// the task.
func (d *Dispatcher) recordPlace(t *jobs.Task, step *jobs.Step, c *candidate) {
	if c.room != nil {
		c.room.Reserve(0, d.attemptDuration(step, c.worker), step.ReservedResources())
	}
	p := &d.planner.places
	since, waited := p.waits[t.Key]
	if !waited {
		return
	}
	delete(p.waits, t.Key)
	delete(p.deferred, t.Key)
	stats := &p.counts.Elsewhere
	if step.DataRack == c.worker.rack() || step.DataRack == "" && p.step.together {
		stats = &p.counts.Preferred
	}
	stats.add(d.now - since)
}

// prunePlaceWaits ends the waits of jobs that have ended.
func (d *Dispatcher) prunePlaceWaits() {
	p := &d.planner.places
	for key, since := range p.waits {
		if j := d.store.Job(key.Job); j == nil || j.State.Ended() {
			delete(p.waits, key)
			delete(p.deferred, key)
			p.counts.Abandoned.add(d.now - since)
		}
	}
}

// placeStepOf returns what the waits of the tasks of a task's step have in common. All of it
// comes from the log, so that a wait goes on under a new leader.
func (d *Dispatcher) placeStepOf(wj *waitingJob, t *jobs.Task) *placeStep {
	s := &d.planner.places.step
	if key := stepKey(t.Key); s.key != key {
		j := wj.job
		due := j.Spec.Due(key.Occurrence)
		*s = placeStep{key: key, readyAt: max(j.AcceptedAt, due), endBy: wj.objectiveAt, expected: map[*candidate]int{}}
		s.endBy += int64(key.Occurrence)*j.Spec.Period - longestPathAfter(&j.Spec, key.Step)
		for _, dependency := range j.Spec.Steps[key.Step].DependsOn {
			tasks := j.StepTasks(key.Occurrence, dependency)
			for i := range tasks {
				s.readyAt = max(s.readyAt, tasks[i].EndedAt)
			}
		}
	}
	return s
}

// longestPathAfter returns the declared duration of the longest chain of steps that depend
// on a step, in milliseconds.
func longestPathAfter(spec *jobs.Spec, step int) int64 {
	after := make([]int64, len(spec.Steps))
	for i := len(spec.Steps) - 1; i > step; i-- {
		for _, earlier := range spec.Steps[i].DependsOn {
			after[earlier] = max(after[earlier], after[i]+spec.Steps[i].EstimateMS)
		}
	}
	return after[step]
}

// placeAdmits reports whether a worker would accept a task once it has room.
func (d *Dispatcher) placeAdmits(wj *waitingJob, step *jobs.Step, t *jobs.Task, c *candidate, expected map[*candidate]int) bool {
	return (!c.isolated || wj.besideIsolated) && c.admits(step, t.Key) && !c.keeps(step, t) &&
		c.worker.hasLabel(step.RequiredLabel) && d.withinStepLimit(t, step, c, expected)
}

// expectedRoom returns the expected free capacity of the workers of a rack over time.
func (d *Dispatcher) expectedRoom(rack []*candidate) []*locality.Worker {
	rooms := make([]*locality.Worker, len(rack))
	for i, c := range rack {
		if c.room == nil {
			c.room = d.newRoom(c)
		}
		rooms[i] = c.room
	}
	return rooms
}

// newRoom returns the expected free capacity of a worker, from the attempts that run there
// and the claims of others.
func (d *Dispatcher) newRoom(c *candidate) *locality.Worker {
	w := c.worker
	free := w.Capacity.Sub(c.claimed)
	for _, u := range w.unexpected {
		free = free.Sub(u.reserved)
	}
	for _, a := range w.attempts {
		free = free.Sub(a.reserved)
	}
	room := locality.NewWorker(free)
	for _, a := range w.attempts {
		if a.step.LongRunning && !a.stopping {
			continue
		}
		room.AddEnd(max(minAttemptEnd, d.expectedEnd(a)), a.reserved)
	}
	return room
}

// expectedEnd returns the expected time until the end of an attempt. The time for which it
// has run comes from the log, since this leader may have inherited it.
func (d *Dispatcher) expectedEnd(a *attempt) time.Duration {
	if a.stopping {
		return stopTime
	}
	elapsed := max(d.now-a.startedAt, time.Duration(d.unixMS-a.record.BoundAt)*time.Millisecond)
	if a.startPending() {
		elapsed = 0
	}
	duration := d.attemptDuration(a.step, a.worker)
	if a.percent > 0 && a.percent <= 100 {
		stale := d.now - a.progressAt
		whole := duration
		if a.checkpoint == "" && elapsed > stale {
			whole = time.Duration(float64(elapsed-stale) * 100 / float64(a.percent))
		}
		if left := time.Duration(float64(whole)*float64(100-a.percent)/100) - stale; left > 0 {
			return left
		}
		return time.Duration(overrunShare * float64(stale))
	}
	if duration > elapsed {
		return duration - elapsed
	}
	return time.Duration(overrunShare * float64(elapsed))
}

// declaredDuration returns the declared duration of a task.
func declaredDuration(step *jobs.Step) time.Duration {
	return min(maxDeclared, time.Duration(step.EstimateMS)*time.Millisecond)
}

// attemptDuration returns the declared duration of a task on a worker.
func (d *Dispatcher) attemptDuration(step *jobs.Step, w *worker) time.Duration {
	duration := declaredDuration(step)
	if step.DataRack != "" && w.rack() != step.DataRack {
		return time.Duration(float64(duration) * d.options.RemoteSlowdown)
	}
	return duration
}
