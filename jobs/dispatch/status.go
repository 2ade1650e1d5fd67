package dispatch

import (
	"cmp"
	"slices"
	"time"

	"geraniumwall/jobs"
)

// Status is a summary of the dispatch state, for logs. The delays and the
// counts of replies cover the time since the previous summary.
type Status struct {
	Workers  WorkerCounts
	Attempts AttemptCounts
	// FreeMilliCPU is the unreserved CPU of the usable workers, in millicores.
	FreeMilliCPU int64
	// Queues holds an entry for each kind of queue with waiting or new jobs.
	Queues []QueueStatus
	// Commit is the time from the proposal of a binding to its commit, StartReply that from
	// its commit to the worker's answer.
	Commit, StartReply DelayStats
	Holds              HoldCounts
	// Plans is the number of plans, Examined the number of times that they have looked at a
	// worker for a task that waits.
	Plans       int
	Examined    int
	Preemptions PreemptionCounts
	// EvacuatedDomains is the number of evacuated failure domains, EvacuatedStarts that of the
	// starts that were cancelled since their domain was evacuated after they were planned.
	EvacuatedDomains, EvacuatedStarts int
	// Shares holds an entry for each queue that took part in the latest plan, in the order of
	// their names. It is empty without FairShares.
	Shares []QueueShare
	// PlaceWaits counts the waits for preferred places. Their tasks are in no queue of Queues.
	PlaceWaits PlaceWaitCounts
}

// AllEvacuated reports whether the only usable workers are in evacuated failure domains, so
// that all work waits.
func (s *Status) AllEvacuated() bool { return s.Workers.Usable == 0 && s.Workers.Evacuated > 0 }

// WorkerCounts counts workers by state. Except for Known each worker counts once.
type WorkerCounts struct {
	Known, Usable, Leaving, Evacuated, Unconfirmed, Unresponsive, Silent, Quarantined, UnreadableEnds int
}

// AttemptCounts counts attempts by the progress of their start.
type AttemptCounts struct {
	Orphaned, Inherited, Proposed, Ordered, Started, Uncertain, Void int
}

// QueueStatus summarizes the queues of one priority with short or long-running jobs.
type QueueStatus struct {
	Priority    int
	LongRunning bool
	// Jobs is the number of jobs with startable tasks that wait, Late and Expired that of
	// those which can't meet their objective any more or have no value.
	Jobs, Late, Expired int
	Tasks               int
	// FirstBinding is the time from the acceptance of a job to the first binding of each
	// task that waits for no other step. The worker may begin the task later, or never.
	FirstBinding DelayStats
	// Blocked counts the workers by what keeps the task that has waited longest from them,
	// "" if none waits.
	Blocked string

	longest *waitingJob
}

// DelayStats summarizes delays.
type DelayStats struct {
	Count      int
	Total, Max time.Duration
}

func (s *DelayStats) add(delay time.Duration) {
	s.Count++
	s.Total += delay
	s.Max = max(s.Max, delay)
}

// Mean returns the mean delay, 0 without any.
func (s *DelayStats) Mean() time.Duration { return s.Total / time.Duration(max(1, s.Count)) }

// HoldCounts counts holds that are in flight, and replies by their kind.
type HoldCounts struct {
	InFlight, Answered, Expired, Failed int
}

// queueKind identifies a QueueStatus.
type queueKind struct {
	priority    int
	longRunning bool
}

// activity accumulates what the next summary reports besides the present state.
type activity struct {
	firstBinding       map[queueKind]*DelayStats
	commit, startReply DelayStats
	holds              HoldCounts
	plans, examined    int
	preemptions        PreemptionCounts
	evacuatedStarts    int
}

// recordFirstBinding records the delay of the first binding of a task.
func (a *activity) recordFirstBinding(kind queueKind, delay time.Duration) {
	if a.firstBinding == nil {
		a.firstBinding = map[queueKind]*DelayStats{}
	}
	if a.firstBinding[kind] == nil {
		a.firstBinding[kind] = &DelayStats{}
	}
	a.firstBinding[kind].add(delay)
}

func (a *activity) recordHoldReply(status ReplyStatus) {
	switch status {
	case Accepted:
		a.holds.Answered++
	case Expired:
		a.holds.Expired++
	case Refused, Unhealthy, WrongWorker, Unknown, Unreachable:
		a.holds.Failed++
	}
}

// TakeStatus returns a summary of the present state and of the activity since the last
// call.
func (d *Dispatcher) TakeStatus() Status {
	recent := d.activity
	d.activity = activity{}
	s := Status{Commit: recent.commit, StartReply: recent.startReply, Holds: recent.holds, Plans: recent.plans, Examined: recent.examined,
		Preemptions: recent.preemptions, EvacuatedDomains: d.store.EvacuationCount(), EvacuatedStarts: recent.evacuatedStarts}
	s.Attempts.Orphaned = len(d.orphans)
	s.PlaceWaits = d.planner.places.takeCounts()
	for _, w := range d.workers {
		d.countWorker(w, &s)
	}
	s.Queues = d.queueStatus(recent.firstBinding)
	s.Shares = d.planner.fair.status()
	return s
}

func (d *Dispatcher) countWorker(w *worker, s *Status) {
	s.Workers.Known++
	s.Holds.InFlight += boolToInt(w.holdInFlight)
	for _, a := range w.attempts {
		s.Attempts.count(a.phase)
	}
	switch d.unusableBecause(w) {
	case "leaving":
		s.Workers.Leaving++
	case "evacuated":
		s.Workers.Evacuated++
	case "not confirmed":
		s.Workers.Unconfirmed++
	case "unresponsive":
		s.Workers.Unresponsive++
	case "silent":
		s.Workers.Silent++
	case "quarantined":
		s.Workers.Quarantined++
	case "unreadable ends":
		s.Workers.UnreadableEnds++
	default:
		s.Workers.Usable++
		s.FreeMilliCPU += max(0, w.free().MilliCPU)
	}
}

func (c *AttemptCounts) count(p phase) {
	switch p {
	case phaseInherited:
		c.Inherited++
	case phaseProposed:
		c.Proposed++
	case phaseOrdered:
		c.Ordered++
	case phaseStarted:
		c.Started++
	case phaseUncertain:
		c.Uncertain++
	case phaseVoid:
		c.Void++
	}
}

// queueStatus counts the waiting jobs and tasks, by priority.
func (d *Dispatcher) queueStatus(firstBinding map[queueKind]*DelayStats) []QueueStatus {
	queues := map[queueKind]*QueueStatus{}
	at := func(kind queueKind) *QueueStatus {
		if queues[kind] == nil {
			queues[kind] = &QueueStatus{Priority: kind.priority, LongRunning: kind.longRunning}
		}
		return queues[kind]
	}
	for kind, delays := range firstBinding {
		at(kind).FirstBinding = *delays
	}
	for _, wj := range d.planner.waiting {
		if wj == nil || wj.service == "" {
			continue
		}
		if tasks := d.waitingCount(wj.job); tasks > 0 {
			at(queueKind{wj.priority, wj.longRunning()}).countJob(wj, wj.tierAt(d.unixMS), tasks)
		}
	}
	var list []QueueStatus
	for _, q := range queues {
		if step, t := d.firstWaiting(q.longest); t != nil {
			q.Blocked = d.ineligibility(q.longest, step, t)
		}
		list = append(list, *q)
	}
	slices.SortFunc(list, func(a, b QueueStatus) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(boolToInt(a.LongRunning), boolToInt(b.LongRunning)))
	})
	return list
}

func (q *QueueStatus) countJob(wj *waitingJob, t tier, tasks int) {
	if t != tierExpired && (q.longest == nil || wj.job.AcceptedAt < q.longest.job.AcceptedAt) {
		q.longest = wj
	}
	q.Jobs++
	q.Tasks += tasks
	q.Late += boolToInt(t == tierLate)
	q.Expired += boolToInt(t == tierExpired)
}

// waitingCount returns the number of tasks of a job that wait for a worker.
func (d *Dispatcher) waitingCount(j *jobs.Job) int {
	count := 0
	d.eachWaiting(j, func(*jobs.Step, *jobs.Task) { count++ })
	return count
}

// firstWaiting returns the first task of a job that waits for a worker, or nil.
func (d *Dispatcher) firstWaiting(wj *waitingJob) (step *jobs.Step, task *jobs.Task) {
	if wj == nil {
		return nil, nil
	}
	d.eachWaiting(wj.job, func(s *jobs.Step, t *jobs.Task) {
		if task == nil {
			step, task = s, t
		}
	})
	return step, task
}

// eachWaiting calls f with each task of a job that waits for a worker, other than those that
// wait for a preferred place.
func (d *Dispatcher) eachWaiting(j *jobs.Job, f func(*jobs.Step, *jobs.Task)) {
	for o := range j.Runs {
		if j.Spec.Due(o) > d.unixMS {
			continue
		}
		for s := range j.Spec.Steps {
			if !j.StepReady(o, s) {
				continue
			}
			tasks := j.StepTasks(o, s)
			for i := range tasks {
				if t := &tasks[i]; !t.Done && t.BoundTo == nil && !d.hasPendingRecord(t) && !d.planner.places.deferred[t.Key] {
					f(&j.Spec.Steps[s], t)
				}
			}
		}
	}
}

// recordBinding records the delay of the first binding of a task that waits for no other
// step.
func (d *Dispatcher) recordBinding(t *jobs.Task, step *jobs.Step) {
	j := d.store.Job(t.Key.Job)
	q := d.store.Config().Queue(j.Queue)
	if q == nil || t.Attempt > 0 || len(step.DependsOn) > 0 {
		return
	}
	since := max(j.AcceptedAt, j.Spec.Due(t.Key.Occurrence))
	delay := time.Duration(d.unixMS-since) * time.Millisecond
	d.activity.recordFirstBinding(queueKind{q.Priority, step.LongRunning}, delay)
}
