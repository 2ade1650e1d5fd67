package dispatch

import (
	"slices"
	"time"

	"geraniumwall/jobs"
)

const (
	// claimTimeout is how long the room on a worker is kept for a task.
	claimTimeout = 1200 * time.Millisecond
	// workersPerClaim is the number of workers for each claim. minClaimLimit is the lower bound
	// of the limit.
	workersPerClaim = 4
	minClaimLimit   = 64
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
