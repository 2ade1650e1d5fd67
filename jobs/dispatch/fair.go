package dispatch

import (
	"time"

	"geraniumwall/jobs"
	"geraniumwall/jobs/dispatch/shares"
)

// restartPatience is how long a restart of a queue above its share gives way to queues
// below theirs before a worker may be reserved for it all the same. It keeps a large task
// from waiting forever where pieces too small for it come free all the time.
const restartPatience = 20 * time.Second

// FairShares are the settings of the shares of queues and workspaces.
type FairShares struct {
	Weights shares.Weights
}

// fairPlan divides the capacity of each service among its queues during one plan. It is
// nil without FairShares.
type fairPlan struct {
	ledgers map[string]*shares.Ledger
	// largest holds the largest amount of each resource on one worker of a service.
	largest map[string]jobs.Resources
	// limited is set while queues get no more than their share.
	limited bool
}

// newFairPlan sums up what the queues hold on usable workers. A queue takes part if it
// holds something or has a waiting job whose result still has a value.
func (d *Dispatcher) newFairPlan(ranked []*waitingJob, candidates []*candidate) *fairPlan {
	if d.options.FairShares == nil {
		return nil
	}
	used := map[string]jobs.Resources{}
	capacity := map[string]jobs.Resources{}
	f := &fairPlan{ledgers: map[string]*shares.Ledger{}, largest: map[string]jobs.Resources{}}
	for _, c := range candidates {
		service := c.worker.Service
		capacity[service] = capacity[service].Add(c.capacity)
		f.largest[service] = largestOf(f.largest[service], c.capacity)
		for _, u := range c.worker.currentLoad().queues {
			used[u.queue] = used[u.queue].Add(u.reserved)
		}
	}
	for _, wj := range ranked {
		wj.planned = false
		if _, known := used[wj.job.Queue]; !known && wj.tier != tierExpired {
			used[wj.job.Queue] = jobs.Resources{}
		}
	}
	queues := map[string][]shares.Queue{}
	for name, held := range used {
		if q := d.store.Config().Queue(name); q != nil {
			queues[q.Service] = append(queues[q.Service], shares.Queue{Name: name, Workspace: q.Host, Used: held})
		}
	}
	for service, list := range queues {
		f.ledgers[service] = shares.New(capacity[service], d.options.FairShares.Weights, list)
	}
	return f
}

// largestOf returns the larger of two amounts of each resource.
func largestOf(a, b jobs.Resources) jobs.Resources {
	return jobs.Resources{MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMB: max(a.MemoryMB, b.MemoryMB), GPUs: max(a.GPUs, b.GPUs)}
}

// below reports whether the queue of a job holds less than its share.
func (f *fairPlan) below(wj *waitingJob) bool {
	l := f.ledgers[wj.service]
	return l != nil && l.Below(wj.job.Queue)
}

// givesWay reports whether a restart comes after the short jobs of queues below their
// share, since its own queue has borrowed capacity.
func (f *fairPlan) givesWay(r restart) bool {
	if f == nil {
		return false
	}
	l := f.ledgers[r.job.service]
	return l != nil && l.Above(r.job.job.Queue)
}

// usedUp reports whether the queue of a job gets nothing more for now, since it holds its
// share and the jobs of other queues come first.
func (f *fairPlan) usedUp(wj *waitingJob) bool { return f != nil && f.limited && !f.below(wj) }

// charge counts a new task of a queue.
func (f *fairPlan) charge(a *attempt) {
	if f == nil {
		return
	}
	if l := f.ledgers[a.worker.Service]; l != nil {
		l.Charge(a.queue, a.reserved)
	}
}

// planBelowShare binds the short jobs of the first tier and priority in the list whose
// queue is below its share, up to that share. It reports whether such a job still waits
// for room that other work occupies.
func (d *Dispatcher) planBelowShare(ranked []*waitingJob, candidates []*candidate, noFit *unplaceable) (deprived bool) {
	f := d.planner.fair
	if f == nil {
		return false
	}
	f.limited = true
	defer func() { f.limited = false }()
	for i, wj := range ranked {
		if startsGroup(ranked, i) && i > 0 || wj.tier == tierExpired {
			break
		}
		if wj.class != classShort || !f.below(wj) || hasFillers(wj.job) {
			continue
		}
		d.planJob(wj, candidates, noFit)
		// A job whose queue has used up its share is planned again with the others.
		wj.planned = f.below(wj)
		deprived = deprived || wj.planned && d.waitsForRoom(wj, candidates)
	}
	return deprived
}

// startsGroup reports whether a job in the order of planning has another tier or priority
// than the one before.
func startsGroup(ranked []*waitingJob, i int) bool {
	return i == 0 || ranked[i].tier != ranked[i-1].tier || ranked[i].priority != ranked[i-1].priority
}

// hasFillers reports whether a job has fillers, which use only what others leave idle.
func hasFillers(j *jobs.Job) bool {
	for s := range j.Spec.Steps {
		if j.Spec.Steps[s].Filler {
			return true
		}
	}
	return false
}

// waitsForRoom reports whether a task of the job waits that some worker could run if it
// were empty. Tasks that no worker can ever run hold up nobody.
func (d *Dispatcher) waitsForRoom(wj *waitingJob, candidates []*candidate) bool {
	waits := false
	var examined *jobs.Step
	d.eachWaiting(wj.job, func(step *jobs.Step, t *jobs.Task) {
		// The tasks of a step are alike.
		if step != examined {
			examined = step
			waits = waits || d.couldRun(wj, step, t, candidates)
		}
	})
	return waits
}

// couldRun reports whether some worker could run a task if it were empty.
func (d *Dispatcher) couldRun(wj *waitingJob, step *jobs.Step, t *jobs.Task, candidates []*candidate) bool {
	request := step.ReservedResources()
	if !request.FitsIn(d.planner.fair.largest[wj.service]) {
		return false
	}
	for _, c := range candidates {
		if c.worker.Service == wj.service && request.FitsIn(c.capacity) && c.worker.hasLabel(step.RequiredLabel) && d.withinStepLimit(t, step, c, nil) {
			return true
		}
	}
	return false
}
