package scheduler

import (
	"time"

	"geraniumwall/config"
	"geraniumwall/lease"
	"geraniumwall/policy"
	"geraniumwall/workerapi"
)

// phase is the state of a task in its domain.
type phase int

// Phases. A task has a live attempt in the phases starting, running and stopping.
const (
	// phaseWaiting: queued in the engine.
	phaseWaiting phase = iota
	// phaseDelayed: must not be started before task.notBefore.
	phaseDelayed
	// phaseStarting: the start command has not been answered.
	phaseStarting
	phaseRunning
	// phaseStopping: waits until the worker confirms that the attempt has stopped, or
	// until its lease expires.
	phaseStopping
	// phaseEnded: no work is left here; control records the outcome.
	phaseEnded
)

// stopReason is the reason for stopping an attempt.
type stopReason string

// Stop reasons.
const (
	stopCancelled    stopReason = "cancelled"
	stopEvicted      stopReason = "evicted"
	stopDraining     stopReason = "worker drains"
	stopUnknownStart stopReason = "start without an answer"
	stopUnbound      stopReason = "bound elsewhere"
)

// BoundTask is a task record of control.
type BoundTask struct {
	ID              string
	Team            string
	Job             string
	Priority        config.Priority
	Size            workerapi.Resources
	Expected        time.Duration
	Payload         []byte
	Domain          string
	Epoch           uint64
	Bound           bool
	Attempt         workerapi.Attempt
	Checkpoint      []byte
	Evictions       int
	Failures        int
	CancelRequested bool
}

// task is a task bound to the domain.
type task struct {
	BoundTask
	phase     phase
	enqueued  time.Duration
	notBefore time.Duration
	// attempt is the newest attempt; worker and leaseEnd are valid while it is live.
	attempt workerapi.Attempt
	// reserved is the allocation of the live attempt: the declared size, corrected by
	// the engine from observed usage.
	reserved workerapi.Resources
	worker   *worker
	leaseEnd time.Duration
	// leaseRenewed is the time of the last renewal of the live attempt's lease.
	leaseRenewed time.Duration
	// lastEnded is the newest attempt whose end has been processed.
	lastEnded  workerapi.Attempt
	stopReason stopReason
	stopQueued bool
	nextStop   time.Duration
	cancelling bool
	unbound    bool
}

func (t *task) ref() workerapi.TaskRef { return workerapi.TaskRef{ID: t.ID, Attempt: t.attempt} }

// outcomePending reports whether the end of attempt a would still change the task.
func (t *task) outcomePending(a workerapi.Attempt) bool {
	return t.phase != phaseEnded && !t.isLive() && t.lastEnded.Less(a)
}

func (t *task) isLive() bool {
	return t.phase == phaseStarting || t.phase == phaseRunning || t.phase == phaseStopping
}

// policyTask describes a task to the engine. size is the declared size while the
// task waits and the reserved size while it runs.
func (c *Core) policyTask(t *task, size workerapi.Resources) policy.Task {
	job, _ := c.config.FindJob(t.Job)
	return policy.Task{
		ID: t.ID, Team: t.Team, Job: t.Job, Priority: t.Priority, Size: size, Expected: t.Expected,
		Enqueued: t.enqueued, Evictions: t.Evictions, Failures: t.Failures, Checkpoints: job.Checkpoints,
	}
}

// maxAttempts returns the number of failed attempts after which a task fails.
func (c *Core) maxAttempts(t *task) int {
	if job, declared := c.config.FindJob(t.Job); declared {
		return job.MaxAttempts
	}
	return config.DefaultMaxAttempts
}

// SyncTasks applies changes to the tasks of the domain. If complete is set, tasks
// that are not listed have left the domain.
func (c *Core) SyncTasks(now time.Duration, epoch uint64, changed []BoundTask, complete bool) {
	if !c.authority.active() || epoch != c.authority.activeEpoch {
		return
	}
	listed := map[string]bool{}
	for i := range changed {
		listed[changed[i].ID] = true
		c.syncTask(now, &changed[i])
	}
	if complete {
		for _, id := range sortedKeys(c.tasks) {
			if !listed[id] {
				c.unbindTask(now, c.tasks[id])
			}
		}
		c.synced = true
	}
}

func (c *Core) syncTask(now time.Duration, b *BoundTask) {
	t := c.tasks[b.ID]
	boundHere := b.Bound && b.Domain == c.settings.Domain
	switch {
	case t == nil && boundHere:
		c.addTask(now, b)
	case t == nil:
	case !boundHere:
		c.unbindTask(now, t)
	case t.phase == phaseEnded && (b.Epoch > t.Epoch || t.attempt.Less(b.Attempt)):
		// The task was unbound and bound again. Each binding increments the attempt. The
		// unbinding may never be seen, because only the newest change is sent.
		delete(c.tasks, t.ID)
		c.addTask(now, b)
	default:
		t.Epoch = b.Epoch
		t.Failures = max(t.Failures, b.Failures)
		t.Evictions = max(t.Evictions, b.Evictions)
		if b.CancelRequested {
			c.cancelTask(now, t)
		}
	}
}

// addTask adds a task to the domain. A task that was bound before this scheduler was
// appointed may still be running somewhere, so it is delayed until the task leases of
// the previous scheduler are guaranteed to have expired, or until a worker reports it.
func (c *Core) addTask(now time.Duration, b *BoundTask) {
	// A binding increments the attempt number in the task record, also when the task
	// comes from another domain. Control refuses outcomes of attempts with a lower number
	// as stale, so the attempts started here are numbered above it.
	c.lastAttempt = max(c.lastAttempt, b.Attempt.Number)
	t := &task{BoundTask: *b, enqueued: now, attempt: b.Attempt}
	c.tasks[t.ID] = t
	c.setPhase(t, phaseDelayed)
	if b.Epoch < c.authority.activeEpoch {
		t.notBefore = c.authority.takeoverAt + lease.GrantorWait(lease.TaskLease)
	}
	if b.CancelRequested {
		c.cancelTask(now, t)
	}
	if t.phase == phaseDelayed && now >= t.notBefore {
		c.enqueue(now, t)
	}
}

func (c *Core) enqueue(now time.Duration, t *task) {
	c.setPhase(t, phaseWaiting)
	c.engine.Enqueue(now, c.policyTask(t, t.Size))
}

// delayTask keeps a task without a live attempt out of the queue until the given time.
func (c *Core) delayTask(now time.Duration, t *task, until time.Duration) {
	t.notBefore = until
	if now >= until {
		c.enqueue(now, t)
		return
	}
	c.setPhase(t, phaseDelayed)
}

// setPhase is the only place that changes the phase of a task.
func (c *Core) setPhase(t *task, p phase) {
	if t.phase == phaseStarting {
		c.pendingStarts--
	}
	if p == phaseStarting {
		c.pendingStarts++
	}
	delete(c.delayed, t.ID)
	if p == phaseDelayed {
		c.delayed[t.ID] = t
	}
	t.phase = p
}

// enqueueDelayed queues the delayed tasks whose notBefore has passed.
func (c *Core) enqueueDelayed(now time.Duration) {
	for _, id := range sortedKeys(c.delayed) {
		t := c.delayed[id]
		if now < t.notBefore {
			continue
		}
		if t.cancelling {
			c.endTask(now, t, Report{Kind: ReportCancelled, Reason: "cancelled before it ran again"})
			continue
		}
		c.enqueue(now, t)
	}
}

// cancelTask ends a task that cannot be running, or stops its live attempt. A delayed
// task that may still run under the previous scheduler is ended later.
func (c *Core) cancelTask(now time.Duration, t *task) {
	if t.cancelling || t.phase == phaseEnded {
		return
	}
	t.cancelling = true
	switch {
	case t.phase == phaseWaiting:
		c.engine.Dequeue(now, t.ID)
		c.endTask(now, t, Report{Kind: ReportCancelled, Reason: "cancelled while it waited"})
	case t.phase == phaseDelayed && (now >= t.notBefore || t.Epoch == c.authority.activeEpoch):
		c.endTask(now, t, Report{Kind: ReportCancelled, Reason: "cancelled while it waited"})
	case t.isLive():
		c.stopAttempt(now, t, stopCancelled)
	}
}

// unbindTask removes a task that is no longer bound to the domain, once its attempt has ended.
func (c *Core) unbindTask(now time.Duration, t *task) {
	t.unbound = true
	switch {
	case t.isLive():
		c.stopAttempt(now, t, stopUnbound)
	default:
		if t.phase == phaseWaiting {
			c.engine.Dequeue(now, t.ID)
		}
		c.removeTask(t)
	}
}

func (c *Core) removeTask(t *task) {
	c.setPhase(t, phaseEnded)
	delete(c.tasks, t.ID)
}

// endTask records the outcome of a task without a live attempt.
func (c *Core) endTask(now time.Duration, t *task, r Report) {
	c.setPhase(t, phaseEnded)
	r.Task, r.Attempt = t.ID, t.attempt
	c.reports.add(r)
	c.recordDecision(now, Decision{Subject: t.ID, Kind: string(r.Kind), Reason: r.Reason, Worker: r.Worker})
	if t.unbound {
		delete(c.tasks, t.ID)
	}
}
