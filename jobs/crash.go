package jobs

import "slices"

const (
	// maxCrashes is the number of workers that have crashed under a task which fails its
	// job, and maxSoleCrashes that number if the task was the only one on the last of them.
	// With others beside it, one of these may have been the cause.
	maxCrashes     = 3
	maxSoleCrashes = 2
	// stableRunMS is the time in milliseconds after which a long-running task is not the
	// cause of a crash. Over a long life it sees several ordinary ones.
	stableRunMS = 20_000
	// maxExpiredAttempts bounds Task.ExpiredAttempts. Earlier ones can't fail the job any
	// more.
	maxExpiredAttempts = maxCrashes
)

// resetCrashes clears the crashes of a long-running task after a long run, in
// milliseconds.
func resetCrashes(j *Job, t *Task, ranMS int64) {
	if j.Step(t.Key).LongRunning && ranMS >= stableRunMS {
		t.Crashes, t.LateCrashes = 0, 0
	}
}

// countCrash counts the crash of a worker under a task, and fails the job after too many.
func (s *Store) countCrash(j *Job, t *Task, c *End) {
	t.Crashes++
	j.maxCrashes = max(j.maxCrashes, t.Crashes)
	if !j.State.Ended() && (t.Crashes >= maxCrashes || c.Sole && t.Crashes-t.LateCrashes >= maxSoleCrashes) {
		s.endJob(j, Failed, c.At)
	}
}

// addExpired keeps an attempt that ended with the lease of its worker, unless the worker
// was leaving anyway.
func (s *Store) addExpired(t *Task, on Incarnation, c *End) {
	w := s.workers[on.Worker]
	if w == nil || w.Incarnation == on && w.Draining {
		return
	}
	expired := ExpiredAttempt{Attempt: c.Attempt, On: on, EndedAt: c.At}
	if w.Incarnation == on {
		expired.HostPort = w.HostPort
	}
	t.ExpiredAttempts = append(t.ExpiredAttempts, expired)
	if extra := len(t.ExpiredAttempts) - maxExpiredAttempts; extra > 0 {
		t.ExpiredAttempts = slices.Delete(t.ExpiredAttempts, 0, extra)
	}
	s.expired[t.Key] = t
}

// settleExpired records what became of the worker of an expired attempt: it has crashed,
// or with OutcomeLeaseExpired it was only out of contact.
func (s *Store) settleExpired(j *Job, t *Task, c *End) Result {
	index := slices.IndexFunc(t.ExpiredAttempts, func(e ExpiredAttempt) bool { return e.Attempt == c.Attempt })
	if index < 0 {
		return Result{}
	}
	t.ExpiredAttempts = slices.Delete(t.ExpiredAttempts, index, index+1)
	if len(t.ExpiredAttempts) == 0 {
		delete(s.expired, t.Key)
	}
	if c.Outcome == OutcomeCrashed && !t.Done {
		t.LateCrashes++
		s.countCrash(j, t, c)
		s.changed[j.ID] = true
	}
	return Result{Applied: true, Known: true}
}

// ExpiredTasks calls visit with each task that has expired attempts.
func (s *Store) ExpiredTasks(visit func(*Task)) {
	for _, t := range s.expired {
		visit(t)
	}
}
