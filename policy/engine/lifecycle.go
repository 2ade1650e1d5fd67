package engine

import (
	"time"

	"geraniumwall/policy"
	"geraniumwall/policy/fairness"
	"geraniumwall/policy/health"
	"geraniumwall/workerapi"
)

// Enqueue adds a waiting task or replaces the one with its ID.
func (e *Engine) Enqueue(now time.Duration, t policy.Task) {
	e.Dequeue(now, t.ID)
	e.waiting[t.ID] = t
	if reason := e.overQuotaReason(&t); reason != "" {
		e.unschedulable[t.ID] = unschedulableTask{reason: reason, reportedAt: -reportInterval}
		return
	}
	e.queue.Push(queueItem(&t))
}

func queueItem(t *policy.Task) fairness.Item {
	return fairness.Item{ID: t.ID, Team: t.Team, Job: t.Job, Class: t.Priority, Size: t.Size, Enqueued: t.Enqueued}
}

// Dequeue removes a waiting task.
func (e *Engine) Dequeue(now time.Duration, id string) {
	if e.isPlanned(id) {
		e.release(now, e.tasks[id])
		e.removePlan(id)
	}
	e.removeFromQueue(id)
}

// isPlanned reports whether a placement of the task is proposed and not answered yet.
func (e *Engine) isPlanned(id string) bool {
	t := e.tasks[id]
	return t != nil && t.planned
}

func (e *Engine) removePlan(id string) {
	for i, p := range e.planned {
		if p == id {
			e.planned[i] = e.planned[len(e.planned)-1]
			e.planned = e.planned[:len(e.planned)-1]
			return
		}
	}
}

// planTask allocates capacity on the host for a proposed placement.
func (e *Engine) planTask(now time.Duration, c *fairness.Candidate, h *host) *task {
	t := &task{
		Task: e.waiting[c.ID], worker: h.ID, reserved: c.Need, startedAt: now,
		cpuShare: 1, borrowed: c.Borrowed, planned: true,
	}
	e.tasks[c.ID] = t
	h.tasks[c.ID] = t
	e.allocate(now, h, t)
	e.planned = append(e.planned, c.ID)
	return t
}

// release frees the capacity of a task and the usage charged to its team.
func (e *Engine) release(now time.Duration, t *task) {
	h := e.hosts[t.worker]
	e.deallocate(now, h, t)
	delete(h.tasks, t.ID)
	delete(e.tasks, t.ID)
	e.queue.Release(t.Team, t.Priority, t.reserved)
	e.removeIfEmpty(h)
}

// Started records that the task runs on the worker and reserves its size there.
func (e *Engine) Started(now time.Duration, spec policy.Task, worker string) {
	t := e.tasks[spec.ID]
	if t != nil && t.planned && t.worker == worker {
		e.confirmPlan(now, t, spec)
		return
	}
	if t != nil {
		if t.planned {
			e.removePlan(spec.ID)
		}
		e.release(now, t)
	}
	e.addRunning(now, spec, worker)
}

// confirmPlan turns a planned task into a running one. If the applier reserved more
// processor capacity than planned, it reserves declared sizes, and later plans must too.
func (e *Engine) confirmPlan(now time.Duration, t *task, spec policy.Task) {
	if spec.Size.CPUMillis > t.reserved.CPUMillis {
		e.sizeEstimator.NeverLower()
	}
	t.planned = false
	t.startedAt = now
	e.removePlan(t.ID)
	e.resizeReservation(t, maxResources(t.reserved, spec.Size))
	e.removeFromQueue(t.ID)
}

func (e *Engine) removeFromQueue(id string) {
	delete(e.waiting, id)
	delete(e.explainedAt, id)
	delete(e.unschedulable, id)
	e.queue.Remove(id)
	e.releaseHold(id)
}

// addRunning adds a task that was found running without a plan.
func (e *Engine) addRunning(now time.Duration, spec policy.Task, worker string) {
	e.removeFromQueue(spec.ID)
	h := e.hosts[worker]
	if h == nil {
		h = &host{Worker: policy.Worker{ID: worker}, tasks: map[string]*task{}, breachedSince: -1}
		e.hosts[worker] = h
	}
	t := &task{Task: spec, worker: worker, reserved: spec.Size, startedAt: now, cpuShare: 1}
	e.tasks[spec.ID] = t
	h.tasks[spec.ID] = t
	e.queue.Charge(t.Team, t.Priority, t.reserved)
	e.allocate(now, h, t)
}

// resizeReservation changes the capacity reserved for a task.
func (e *Engine) resizeReservation(t *task, size workerapi.Resources) {
	difference := size.Minus(t.reserved)
	if difference == (workerapi.Resources{}) {
		return
	}
	t.reserved = size
	e.queue.Charge(t.Team, t.Priority, difference)
	if h := e.hosts[t.worker]; h.registered {
		e.index.Resize(h.indexEntry, difference)
	}
}

func maxResources(a, b workerapi.Resources) workerapi.Resources {
	return workerapi.Resources{
		CPUMillis:    max(a.CPUMillis, b.CPUMillis),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// Rejected puts a planned task back into the queue and frees its capacity.
func (e *Engine) Rejected(now time.Duration, id, worker string) {
	t := e.tasks[id]
	if t == nil || !t.planned || t.worker != worker {
		return
	}
	e.removePlan(id)
	e.release(now, t)
	e.queue.Push(queueItem(&t.Task))
}

// Ended frees the capacity of an attempt and updates the size estimates and the health
// of the worker.
func (e *Engine) Ended(now time.Duration, id, worker string, outcome policy.Outcome) {
	t := e.tasks[id]
	if t == nil || t.worker != worker {
		return
	}
	if t.planned {
		e.removePlan(id)
	}
	switch outcome {
	case policy.OutcomeDone:
		e.sizeEstimator.ObservePeak(t.Job, t.peakUsage)
		if t.cpuShareChangedAt == 0 {
			e.sizeEstimator.ObserveRun(t.Job, now-t.startedAt)
		}
		e.health.Success(worker, id, t.Job)
	case policy.OutcomeFailed:
		e.health.Failure(now, worker, id, t.Job)
	case policy.OutcomeCancelled:
		e.health.ForgetTask(id)
	case policy.OutcomeEvicted, policy.OutcomeLost:
	}
	e.release(now, t)
	if outcome == policy.OutcomeDone {
		e.reserveForUrgent(now, t)
	}
	e.applyHealthChanges(now)
}

// applyHealthChanges updates the task limits of workers after changes of their health.
func (e *Engine) applyHealthChanges(now time.Duration) {
	for _, c := range e.health.Changes() {
		if h := e.hosts[c.Worker]; h != nil && h.registered {
			e.index.SetLimit(h.indexEntry, c.Limit)
		}
		e.recordDecision(policy.Decision{
			At: now, Subject: c.Worker, Worker: c.Worker, Kind: decisionKind(c.Kind), Reason: healthReasons[c.Kind],
			Factors: []policy.Factor{{Name: "limit", Value: float64(c.Limit)}, {Name: "blame", Value: c.Blame}},
		})
	}
}

var healthReasons = map[string]string{
	health.Quarantined: "tasks that run elsewhere failed on this worker",
	health.Probed:      "quarantine is over, one task is started as a probe",
	health.Readmitted:  "tasks ended well, the limit of running tasks is raised",
}

// Confined returns the number of tasks that a worker may run at once and the reason for
// the limit. A negative number means no limit.
func (e *Engine) Confined(worker string) (limit int, reason string) {
	switch limit = e.health.Limit(worker); {
	case limit == 0:
		return limit, healthReasons[health.Quarantined]
	case limit > 0:
		return limit, "quarantine is over, and more tasks are started as they end well"
	}
	return limit, ""
}

// decisionKind returns the decision kind that reports a health change.
func decisionKind(kind string) string {
	if kind == health.Quarantined {
		return "quarantined"
	}
	return "readmitted"
}
