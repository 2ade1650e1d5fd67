package dispatch

import (
	"time"

	"geraniumwall/jobs"
)

const (
	// isolateSuspicion is the suspicion from which on a task runs alone, so that one more
	// crash tells whether it is the cause.
	isolateSuspicion = 2
	// maxIsolationWait is how long such a task waits for a worker of its own. If it then
	// shares a worker with the task that crashes it, the next crash fails its job.
	maxIsolationWait = 3 * time.Second
	// maxSeparationWait is how long tasks wait before they are placed beside one that is to
	// run alone, for lack of other room.
	maxSeparationWait = 4 * time.Second
	// maxSuspectWait replaces maxSeparationWait for tasks that are to run alone themselves:
	// of two of them, one may be the cause of the crashes of the other.
	maxSuspectWait = 10 * time.Second
	// The waits of long-running tasks are shorter, since their users notice their absence.
	maxLongRunningIsolationWait  = time.Second
	maxLongRunningSeparationWait = 2 * time.Second
	maxLongRunningSuspectWait    = 4 * time.Second
	// suspicionPeriod times its suspicion is how long a long-running task has to run until
	// it does not keep others away any more.
	suspicionPeriod = 10 * time.Second
	// maxIsolatedLoad is the share of the CPU of a service that is reserved from which on
	// short tasks wait rather than run beside a task that is to run alone.
	maxIsolatedLoad = 0.6
	// suspectPeerPenalty spreads suspects over workers: of those that a further crash finds
	// together, each has to run alone. suspectOthersPenalty keeps suspects and other tasks
	// apart where there is room.
	suspectPeerPenalty   = 1.5
	suspectOthersPenalty = 0.3
)

// suspicion returns the number of workers that have crashed under a task. A lease that has
// expired since counts as one more as long as it is unknown whether that worker has
// crashed. Leases alone don't count, since a partition ends many of them.
func suspicion(t *jobs.Task) int {
	if t.Crashes == 0 {
		return 0
	}
	return t.Crashes + min(1, len(t.ExpiredAttempts))
}

// mustIsolate reports whether a task is to run alone. The members of a gang are not, since
// they start together or not at all.
func mustIsolate(step *jobs.Step, t *jobs.Task) bool {
	return suspicion(t) >= isolateSuspicion && !step.Gang
}

// isSuspect reports whether the attempt may crash its worker.
func (a *attempt) isSuspect(now time.Duration) bool {
	proven := a.step.LongRunning && a.phase == phaseStarted && now-a.startedAt >= time.Duration(a.suspicion)*suspicionPeriod
	return a.suspicion > 0 && !proven
}

// addSuspect adds an attempt under whose task workers have crashed to a worker.
func (d *Dispatcher) addSuspect(c *candidate, a *attempt) {
	if !a.isSuspect(d.now) {
		return
	}
	c.suspects++
	if a.suspicion >= isolateSuspicion && !a.step.Gang && !c.isolated {
		c.isolated = true
		d.planner.isolated++
	}
}

// suspectPenalty returns the penalty of a worker for a task where either runs or is a
// suspect.
func (c *candidate) suspectPenalty(t *jobs.Task) float64 {
	switch {
	case c.isolated:
		return avoidPenalty
	case t.Crashes > 0 && c.suspects > 0:
		return suspectPeerPenalty
	case t.Crashes > 0 && c.tasks == 0:
		return 0
	}
	return suspectOthersPenalty
}

// planSuspects binds the tasks that are to run alone, and reserves a worker for each that
// finds none. For a limited time all others stay off that worker, so that it empties. Like
// planRestarts it skips requests that are not smaller than one for which no worker has room.
func (d *Dispatcher) planSuspects(ranked []*waitingJob, candidates []*candidate) {
	reserved := 0
	noRoom, noReservation := unplaceable{}, unplaceable{}
	for _, wj := range ranked {
		if wj.job.MaxCrashes() == 0 {
			continue
		}
		for _, t := range d.waitingSuspects(wj.job) {
			step := wj.job.Step(t.Key)
			request := newUnplaceableRequest(wj.service, step, t)
			suspect := restart{wj, step, t}
			d.isolationWait(t.Key)
			if !noRoom.covers(request) {
				if c := d.chooseForSuspect(wj, step, t, candidates); c != nil {
					d.bind(t, step, c, t.Attempt+1)
					continue
				}
				if !suspect.anyWithRoom(candidates, func(c *candidate) jobs.Resources { return c.free }) {
					noRoom.add(request)
				}
			}
			if reserved >= max(1, len(candidates)/workersPerRestart) || noReservation.covers(request) {
				continue
			}
			switch {
			case d.reserveForSuspect(wj, step, t, candidates):
				reserved++
			case !suspect.anyWithRoom(candidates, (*candidate).reservableForSuspect):
				noReservation.add(request)
			}
		}
	}
	if d.planner.isolated > 0 {
		d.allowBesideIsolated(ranked, candidates)
	}
}

// waitingSuspects returns the tasks of a job that are to run alone and wait for a worker.
func (d *Dispatcher) waitingSuspects(j *jobs.Job) []*jobs.Task {
	var list []*jobs.Task
	j.Tasks(func(t *jobs.Task) {
		if !mustIsolate(j.Step(t.Key), t) || t.Done || t.BoundTo != nil || d.hasPendingRecord(t) || d.awaitsList(t.Key) {
			return
		}
		if j.StepReady(t.Key.Occurrence, t.Key.Step) && j.Spec.Due(t.Key.Occurrence) <= d.unixMS {
			list = append(list, t)
		}
	})
	return list
}

// isolationWait returns how long a task that is to run alone has waited for a worker.
func (d *Dispatcher) isolationWait(key jobs.TaskKey) time.Duration {
	since, known := d.planner.isolationSince[key]
	if !known {
		since = d.now
		d.planner.isolationSince[key] = since
	}
	return d.now - since
}

// isolationWaits are the times that a task waits before it is placed less strictly:
// isolation for a worker of its own, separation for one without a task that is to run
// alone, and suspect for such a worker if it is to run alone itself.
type isolationWaits struct{ isolation, separation, suspect time.Duration }

func waitsFor(longRunning bool) isolationWaits {
	if longRunning {
		return isolationWaits{maxLongRunningIsolationWait, maxLongRunningSeparationWait, maxLongRunningSuspectWait}
	}
	return isolationWaits{maxIsolationWait, maxSeparationWait, maxSuspectWait}
}

// chooseForSuspect returns a worker without tasks for one that is to run alone. Once it has
// waited for long it returns the worker with the least reserved CPU.
func (d *Dispatcher) chooseForSuspect(wj *waitingJob, step *jobs.Step, t *jobs.Task, candidates []*candidate) *candidate {
	var vacant []*candidate
	d.activity.examined += len(candidates)
	for _, c := range candidates {
		if c.tasks == 0 {
			vacant = append(vacant, c)
		}
	}
	waited := d.isolationWait(t.Key)
	waits := waitsFor(step.LongRunning)
	if best := d.choose(wj, step, t, vacant, nil); best != nil || waited < waits.isolation {
		return best
	}
	relaxed := *wj
	relaxed.besideIsolated = waited >= waits.suspect
	var best *candidate
	d.activity.examined += len(candidates)
	for _, c := range candidates {
		if d.eligible(&relaxed, step, t, c, nil) && (best == nil || c.lessUsed(best)) {
			best = c
		}
	}
	return best
}

// lessUsed reports whether a worker is preferred to another for a task that is to run
// alone.
func (c *candidate) lessUsed(other *candidate) bool {
	if c.isolated != other.isolated {
		return other.isolated
	}
	return c.reservedMilliCPU() < other.reservedMilliCPU()
}

func (c *candidate) reservedMilliCPU() int64 { return c.worker.Capacity.MilliCPU - c.free.MilliCPU }

// reserveForSuspect keeps all other tasks from one worker in favor of a task that is to
// run alone. It chooses the worker with the least reserved CPU among those that run no
// long-running tasks.
func (d *Dispatcher) reserveForSuspect(wj *waitingJob, step *jobs.Step, t *jobs.Task, candidates []*candidate) bool {
	var best *candidate
	d.activity.examined += len(candidates)
	for _, c := range candidates {
		if c.worker.Service != wj.service || c.reserved != notReserved || c.isolated || c.runsLongRunning() ||
			!c.worker.hasLabel(step.RequiredLabel) || !step.ReservedResources().FitsIn(c.worker.Capacity) ||
			!d.withinStepLimit(t, step, c, nil) {
			continue
		}
		if best == nil || c.lessUsed(best) {
			best = c
		}
	}
	if best == nil {
		return step.LongRunning && d.isolationWait(t.Key) >= maxLongRunningIsolationWait && d.reserveForRestart(restart{wj, step, t}, candidates)
	}
	best.reserved, best.reservedTask = reservedForTask, t.Key
	return true
}

// reservableForSuspect returns the room that a reservation of the worker can give to a task
// that is to run alone.
func (c *candidate) reservableForSuspect() jobs.Resources {
	if c.runsLongRunning() {
		return c.freeAfterShort
	}
	return c.worker.Capacity
}

func (c *candidate) runsLongRunning() bool { return c.worker.currentLoad().longRunning > 0 }

// allowBesideIsolated lets jobs that have waited be placed beside tasks that are to run
// alone, if there is no other room for them: short ones while most of the service is
// free, long-running ones always.
func (d *Dispatcher) allowBesideIsolated(ranked []*waitingJob, candidates []*candidate) {
	capacity, reserved := map[string]int64{}, map[string]int64{}
	for _, c := range candidates {
		capacity[c.worker.Service] += c.worker.Capacity.MilliCPU
		reserved[c.worker.Service] += c.reservedMilliCPU()
	}
	for _, wj := range ranked {
		waited := d.unixMS-wj.waitingSince >= waitsFor(wj.longRunning()).separation.Milliseconds()
		crowded := float64(reserved[wj.service]) > maxIsolatedLoad*float64(capacity[wj.service])
		wj.besideIsolated = waited && (wj.longRunning() || !crowded)
	}
}
