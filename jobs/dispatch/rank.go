package dispatch

import (
	"cmp"
	"slices"

	"geraniumwall/jobs"
)

const (
	// expiryFactor times the objective of a job is the time after which its end is
	// worth nothing more to its caller.
	expiryFactor = 3
	// minEstimateRatio is the part of the declared time of a chain of steps that a job
	// takes at least. Declared times are rough.
	minEstimateRatio = 0.6
)

// waitingJob is a job with its rank.
type waitingJob struct {
	job      *jobs.Job
	priority int
	service  string
	// objectiveAt and worthless are Unix times in milliseconds.
	objectiveAt int64
	expiresAt   int64
	// remaining is the least time that the job still takes, in milliseconds.
	remaining int64
	tier      tier
	// image and size order new jobs with serving tasks, so that those that come at the
	// same time are packed well: the image, and the processor time of a task. Overdue
	// ones have none: the images that come first would keep the others waiting.
	image string
	size  int64
	class jobClass
	// waitingSince is the Unix time in milliseconds from which on a lasting job waits.
	waitingSince int64
}

// jobClass orders jobs of one tier and priority. A new lasting task takes its room for
// long, and in that time the same room serves many short jobs whose objectives are
// close; a lasting task that waits for long has room reserved instead.
type jobClass int

const (
	// classOverdue: lasting tasks that have waited for reserveAfter.
	classOverdue jobClass = iota
	classShort
	// classRestart: lasting tasks that have run before and are missed by their users.
	classRestart
	classLongRunning
)

// longRunning reports whether the job runs until it is cancelled.
func (wj *waitingJob) longRunning() bool { return wj.class != classShort }

// tier is what a job can still be worth.
type tier int

const (
	tierOnTime tier = iota
	tierLate
	tierExpired
)

func (wj *waitingJob) tierAt(unix int64) tier {
	switch {
	case unix > wj.expiresAt:
		return tierExpired
	case unix+wj.remaining > wj.objectiveAt && wj.expiresAt < never:
		return tierLate
	}
	return tierOnTime
}

// never is a Unix time in milliseconds after all others.
const never = 1 << 62

// rankedJobs returns the jobs that may have waiting tasks. Those that can still meet
// their objective come first, since under overload the order of objectives alone
// would make each job late in turn; those that are worth nothing more come last.
// Within these, priority and then the end of the objective decide.
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
			wj.tier = wj.tierAt(d.unixMS)
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

func (d *Dispatcher) rankJob(j *jobs.Job) *waitingJob {
	q := d.store.Config().Queue(j.Queue)
	if q == nil {
		return &waitingJob{job: j}
	}
	start := j.AcceptedAt
	if due := j.Spec.Due(0); due > start {
		start = due
	}
	objective := int64(q.Stretch*float64(criticalPath(&j.Spec))) + q.LatencyObjective
	wj := &waitingJob{
		job: j, priority: q.Priority, service: q.Service, objectiveAt: start + objective, expiresAt: start + expiryFactor*objective,
		remaining: int64(minEstimateRatio * float64(remainingCriticalPath(j))),
	}
	wj.class, wj.waitingSince = classify(j)
	if len(j.Spec.Steps) > 0 {
		if first := &j.Spec.Steps[0]; first.TailTarget > 0 && wj.class != classRestart {
			wj.image, wj.size = first.Image, first.Request.MilliCPU
		}
	}
	if wj.longRunning() || j.Spec.Occurrences > 0 {
		wj.expiresAt = never
	}
	return wj
}

// classify returns the turn of a job and since when it waits.
func classify(j *jobs.Job) (jobClass, int64) {
	if len(j.Spec.Steps) == 0 || !j.Spec.Steps[0].LongRunning {
		return classShort, j.AcceptedAt
	}
	class, since := classLongRunning, j.AcceptedAt
	for o := range j.Runs {
		for i := range j.StepTasks(o, 0) {
			t := &j.StepTasks(o, 0)[i]
			if t.Attempt > 0 && t.Bound == nil && (class == classLongRunning || t.EndedAt < since) {
				class, since = classRestart, t.EndedAt
			}
		}
	}
	return class, since
}

// criticalPath is the declared time of the longest chain of steps, in
// milliseconds.
func criticalPath(s *jobs.Spec) int64 {
	return longestPath(s, func(step int) int64 { return s.Steps[step].Estimate })
}

// remainingCriticalPath is the declared time of the longest chain of steps of which no task
// has started, in milliseconds.
func remainingCriticalPath(j *jobs.Job) int64 {
	return longestPath(&j.Spec, func(step int) int64 {
		for o := range j.Runs {
			for _, t := range j.StepTasks(o, step) {
				if t.Attempt > 0 {
					return 0
				}
			}
		}
		return j.Spec.Steps[step].Estimate
	})
}

// longestPath is the longest sum of the times of steps that follow each other.
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
