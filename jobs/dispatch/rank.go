package dispatch

import (
	"cmp"
	"slices"

	"geraniumwall/jobs"
)

const (
	// expiryFactor times the objective of a job is the time after which its result has no
	// value to the caller any more.
	expiryFactor = 3
	// minEstimateRatio is the share of the declared duration of its critical path that a
	// job takes at least. Declared durations are rough estimates.
	minEstimateRatio = 0.6
)

// waitingJob is a job that may have waiting tasks, with the keys by which it is ranked.
type waitingJob struct {
	job      *jobs.Job
	priority int
	service  string
	// objectiveAt is when the job should be done, expiresAt when its result has no value any
	// more, both as Unix times in milliseconds.
	objectiveAt int64
	expiresAt   int64
	// remaining is the minimum time that the job still takes, in milliseconds.
	remaining int64
	tier      tier
	// image and size, the CPU request of a task in millicores, order new jobs with serving
	// tasks, so that those that arrive together are packed well. They are not set for
	// overdue jobs, where the images that sort first would keep the others waiting.
	image string
	size  int64
	class jobClass
	// waitingSince is the Unix time in milliseconds since which a long-running job waits.
	waitingSince int64
	// besideIsolated is set if the tasks may be placed beside a task that is to run alone.
	besideIsolated bool
	// planned is set once all tasks of the job that can be bound in this plan are bound.
	planned bool
}

// jobClass orders jobs of one tier and priority. Short jobs come before new long-running
// ones, since their objectives are close and the capacity that a long-running task
// occupies could serve many of them. For a long-running task that has waited long, a
// worker is reserved instead.
type jobClass int

const (
	// classOverdue: long-running jobs that have waited for reserveAfter.
	classOverdue jobClass = iota
	classShort
	// classRestart: long-running jobs with a task that has run before, so that their users
	// notice its absence.
	classRestart
	classLongRunning
)

// longRunning reports whether the job runs until it is cancelled.
func (wj *waitingJob) longRunning() bool { return wj.class != classShort }

// tier is the value that the result of a job can still have.
type tier int

const (
	tierOnTime tier = iota
	tierLate
	tierExpired
)

// tierAt returns the tier of the job at a Unix time in milliseconds. Long-running jobs and
// jobs with a schedule stay in tierOnTime.
func (wj *waitingJob) tierAt(unix int64) tier {
	switch {
	case unix > wj.expiresAt:
		return tierExpired
	case unix+wj.remaining > wj.objectiveAt && wj.expiresAt < never:
		return tierLate
	}
	return tierOnTime
}

// never is a Unix time in milliseconds later than any other.
const never = 1 << 62

// rankedJobs returns the jobs that may have waiting tasks, in the order of planning. Jobs
// that can still meet their objective come first, since under overload earliest deadline
// first would make every job late; jobs whose result has no value any more come last.
// Within a tier the order is by priority, class, image, size and objective.
func (d *Dispatcher) rankedJobs() []*waitingJob {
	var list []*waitingJob
	for id, wj := range d.planner.waiting {
		j := d.store.Job(id)
		if j == nil || j.State.Ended() {
			delete(d.planner.waiting, id)
			continue
		}
		if wj == nil {
			wj = d.rankJob(j)
			d.planner.waiting[id] = wj
		}
		if wj.service != "" {
			wj.tier, wj.besideIsolated = wj.tierAt(d.unixMS), false
			if wj.longRunning() && d.unixMS-wj.waitingSince >= reserveAfter.Milliseconds() {
				wj.class = classOverdue
				wj.image, wj.size = "", 0
			}
			list = append(list, wj)
		}
	}
	slices.SortFunc(list, func(a, b *waitingJob) int {
		return cmp.Or(
			cmp.Compare(a.tier, b.tier),
			cmp.Compare(a.priority, b.priority),
			cmp.Compare(a.class, b.class),
			cmp.Compare(a.image, b.image),
			cmp.Compare(b.size, a.size),
			cmp.Compare(a.objectiveAt, b.objectiveAt),
			cmp.Compare(a.job.ID, b.job.ID),
		)
	})
	return list
}

// rankJob computes the rank of a job. A job whose queue does not exist has no service and
// is not planned.
func (d *Dispatcher) rankJob(j *jobs.Job) *waitingJob {
	q := d.store.Config().Queue(j.Queue)
	if q == nil {
		return &waitingJob{job: j}
	}
	start := j.AcceptedAt
	if due := j.Spec.Due(0); due > start {
		start = due
	}
	objective := objectiveOf(q, criticalPath(&j.Spec))
	wj := &waitingJob{
		job: j, priority: q.Priority, service: q.Service, objectiveAt: start + objective, expiresAt: start + expiryFactor*objective,
		remaining: int64(minEstimateRatio * float64(remainingCriticalPath(j))),
	}
	wj.class, wj.waitingSince = classify(j)
	if len(j.Spec.Steps) > 0 {
		if first := &j.Spec.Steps[0]; first.LatencyTargetMS > 0 && wj.class != classRestart {
			wj.image, wj.size = first.Image, first.Request.MilliCPU
		}
	}
	if wj.longRunning() || j.Spec.Occurrences > 0 {
		wj.expiresAt = never
	}
	return wj
}

// classify returns the class of a job and the time since which it waits.
func classify(j *jobs.Job) (jobClass, int64) {
	if len(j.Spec.Steps) == 0 || !j.Spec.Steps[0].LongRunning {
		return classShort, j.AcceptedAt
	}
	class, since := classLongRunning, j.AcceptedAt
	for o := range j.Runs {
		for i := range j.StepTasks(o, 0) {
			t := &j.StepTasks(o, 0)[i]
			if t.Attempt > 0 && t.BoundTo == nil && (class == classLongRunning || t.EndedAt < since) {
				class, since = classRestart, t.EndedAt
			}
		}
	}
	return class, since
}

// criticalPath returns the declared duration of the longest chain of dependent steps, in
// milliseconds.
func criticalPath(s *jobs.Spec) int64 {
	return longestPath(s, func(step int) int64 { return s.Steps[step].EstimateMS })
}

// remainingCriticalPath returns the declared duration of the longest chain of dependent
// steps in milliseconds. Steps of which a task has started count as 0.
func remainingCriticalPath(j *jobs.Job) int64 {
	return longestPath(&j.Spec, func(step int) int64 {
		for o := range j.Runs {
			for _, t := range j.StepTasks(o, step) {
				if t.Attempt > 0 {
					return 0
				}
			}
		}
		return j.Spec.Steps[step].EstimateMS
	})
}

// longestPath returns the largest sum of step durations along a chain of dependent steps.
func longestPath(s *jobs.Spec, duration func(step int) int64) int64 {
	ends := make([]int64, len(s.Steps))
	longest := int64(0)
	for i := range s.Steps {
		for _, earlier := range s.Steps[i].DependsOn {
			ends[i] = max(ends[i], ends[earlier])
		}
		ends[i] += duration(i)
		longest = max(longest, ends[i])
	}
	return longest
}
