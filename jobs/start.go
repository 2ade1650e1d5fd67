package jobs

// provesStart reports whether only a worker that has begun an attempt reports the outcome.
// The leader concludes the others by itself, also for attempts that never began.
func (o Outcome) provesStart() bool {
	switch o {
	case OutcomeDone, OutcomeFailed, OutcomeStopped, OutcomeGangMemberEnded, OutcomeGangIncomplete:
		return true
	case OutcomeLeaseExpired, OutcomeLost, OutcomeCrashed:
	}
	return false
}

// HasStarted reports whether a worker is known to have begun a task of the job. A task that
// is only bound may never begin, since its worker may be gone.
func (j *Job) HasStarted() bool { return j.StartedAt != 0 }

// AwaitsStart reports whether the job is accepted, active and not known to have started.
func (j *Job) AwaitsStart() bool { return j.State == Queued }

// markStarted records that a worker has begun a task of the job. It returns false if this is
// known already, or if the job has ended.
func (j *Job) markStarted(at int64) bool {
	if !j.AwaitsStart() {
		return false
	}
	j.State, j.StartedAt = Running, at
	return true
}

// recordStarts marks jobs as started.
func (s *Store) recordStarts(c *RecordStarts) Result {
	applied := false
	for _, id := range c.Jobs {
		if j := s.jobs[id]; j != nil {
			applied = j.markStarted(c.At) || applied
		}
	}
	return Result{Applied: applied}
}

// correctStart corrects the state of a job from a snapshot of an earlier version, which took
// jobs for started once a task was bound. The leader records the start of a job whose tasks
// run once their workers list them.
func (j *Job) correctStart() {
	if j.State != Running || j.HasStarted() {
		return
	}
	j.State = Queued
	j.Tasks(func(t *Task) {
		if t.Done || t.Failures > 0 || t.Checkpoint != "" {
			j.markStarted(t.BoundAt)
		}
	})
}

// Pending returns the number of accepted jobs of a queue of which no task is known to have
// started.
func (s *Store) Pending(queue string) int {
	pending := 0
	for _, j := range s.order {
		if j.Queue == queue && j.AwaitsStart() {
			pending++
		}
	}
	return pending
}

// PendingByQueue returns the counts of Pending that are not 0, by queue.
func (s *Store) PendingByQueue() map[string]int {
	pending := map[string]int{}
	for _, j := range s.order {
		if j.AwaitsStart() {
			pending[j.Queue]++
		}
	}
	return pending
}
