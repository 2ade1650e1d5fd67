package dispatch

import (
	"cmp"
	"slices"
	"time"

	"geraniumwall/jobs"
	"geraniumwall/jobs/dispatch/shares"
)

// maxRestartDelay is how long a restart of a queue above its share gives way to queues
// below theirs. It keeps a large task from waiting forever where pieces too small for it
// come free all the time and are taken at once.
const maxRestartDelay = 20 * time.Second

// FairShares are the settings of the shares of queues and workspaces.
type FairShares struct {
	Weights shares.Weights
}

// fairPlan divides the capacity of each service among its queues during one plan. It is
// nil without FairShares.
type fairPlan struct {
	ledgers map[string]*shares.Ledger
	fleets  map[string]*fleet
	// limited is set while queues get no more than their share.
	limited bool
}

// fleet is the capacity of the usable workers of a service, and the largest amount of each
// resource on one of them.
type fleet struct{ capacity, largest jobs.Resources }

// newFairPlan sums up what the queues hold on usable workers. A queue takes part if it
// holds something or has a waiting job whose result still has a value.
func (d *Dispatcher) newFairPlan(ranked []*waitingJob, candidates []*candidate) *fairPlan {
	if d.options.FairShares == nil {
		return nil
	}
	var used queueUses
	f := &fairPlan{ledgers: map[string]*shares.Ledger{}, fleets: map[string]*fleet{}}
	var current *fleet
	service := ""
	for _, c := range candidates {
		if current == nil || c.worker.Service != service {
			service = c.worker.Service
			current = f.fleet(service)
		}
		current.capacity = current.capacity.Add(c.capacity)
		current.largest = largestOf(current.largest, c.capacity)
		queues := c.worker.currentLoad().queues
		for i := range queues {
			used.add(queues[i].queue, queues[i].reserved)
		}
	}
	for _, wj := range ranked {
		wj.planned = false
		if wj.tier != tierExpired {
			used.add(wj.job.Queue, jobs.Resources{})
		}
	}
	queues := map[string][]shares.Queue{}
	for _, u := range used {
		if q := d.store.Config().Queue(u.queue); q != nil {
			queues[q.Service] = append(queues[q.Service], shares.Queue{Name: u.queue, Workspace: q.Host, Used: u.reserved})
		}
	}
	for service, list := range queues {
		f.ledgers[service] = shares.New(f.fleet(service).capacity, d.options.FairShares.Weights, list)
	}
	return f
}

// fleet returns the workers of a service.
func (f *fairPlan) fleet(service string) *fleet {
	if f.fleets[service] == nil {
		f.fleets[service] = &fleet{}
	}
	return f.fleets[service]
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
// share, since its own queue has borrowed capacity and it has not waited for
// maxRestartDelay yet.
func (f *fairPlan) givesWay(r restart, unix int64) bool {
	if f == nil || unix-r.task.EndedAt >= maxRestartDelay.Milliseconds() {
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

// QueueShare is the share of a queue and what it holds, as parts of the usable capacity of
// its service.
type QueueShare struct {
	Queue       string
	Share, Used float64
}

// status returns the shares of all queues.
func (f *fairPlan) status() []QueueShare {
	if f == nil {
		return nil
	}
	var list []QueueShare
	for _, l := range f.ledgers {
		for _, queue := range l.Queues() {
			list = append(list, QueueShare{queue, l.Share(queue), l.Used(queue)})
		}
	}
	slices.SortFunc(list, func(a, b QueueShare) int { return cmp.Compare(a.Queue, b.Queue) })
	return list
}

// planBelowShare binds the short jobs of the first tier and priority in the list whose
// queue is below its share, up to that share. It reports whether such a job still waits
// for room that other work occupies.
func (d *Dispatcher) planBelowShare(ranked []*waitingJob, candidates []*candidate, noFit *unplaceable) (waits bool) {
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
		waits = waits || wj.planned && d.waitsForRoom(wj, candidates)
	}
	return waits
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
	if !request.FitsIn(d.planner.fair.fleet(wj.service).largest) {
		return false
	}
	for _, c := range candidates {
		if c.worker.Service == wj.service && request.FitsIn(c.capacity) && c.worker.hasLabel(step.RequiredLabel) && d.withinStepLimit(t, step, c, nil) {
			return true
		}
	}
	return false
}
