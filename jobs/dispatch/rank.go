package dispatch

import (
	"cmp"
	"slices"

	"geraniumwall/jobs"
)

const (
	// lateFactor times the objective of a job is the time after which its end is
	// worth nothing more to its caller.
	lateFactor = 3
	// estimateTrust is the part of the declared time of a chain of steps that a job
	// takes at least. Declared times are rough.
	estimateTrust = 0.6
)

// waitingJob is a job with its rank.
type waitingJob struct {
	job      *jobs.Job
	priority int
	service  string
	// objective and worthless are Unix times in milliseconds.
	objective int64
	worthless int64
	// left is the least time that the job still takes, in milliseconds.
	left int64
	tier tier
	// image and size order new jobs with serving tasks, so that those that come at the
	// same time are packed well: the image, and the processor time of a task. Overdue
	// ones have none: the images that come first would keep the others waiting.
	image string
	size  int64
	turn  turn
	// since is the Unix time in milliseconds from which on a lasting job waits.
	since int64
}

// turn orders jobs of one tier and priority. A new lasting task takes its room for
// long, and in that time the same room serves many short jobs whose objectives are
// close; a lasting task that waits for long has room reserved instead.
type turn int

const (
	// turnOverdue: lasting tasks that have waited for reserveAfter.
	turnOverdue turn = iota
	turnShort
	// turnRestart: lasting tasks that have run before and are missed by their users.
	turnRestart
	turnLasting
)

// lasting reports whether the job runs until it is cancelled.
func (wj *waitingJob) lasting() bool { return wj.turn != turnShort }

// tier is what a job can still be worth.
type tier int

const (
	tierInTime tier = iota
	tierLate
	tierWorthless
)

func (wj *waitingJob) tierAt(unix int64) tier {
	switch {
	case unix > wj.worthless:
		return tierWorthless
	case unix+wj.left > wj.objective && wj.worthless < never:
		return tierLate
	}
	return tierInTime
}

// never is a Unix time in milliseconds after all others.
const never = 1 << 62

// ranked returns the jobs that may have waiting tasks. Those that can still meet
// their objective come first, since under overload the order of objectives alone
// would make each job late in turn; those that are worth nothing more come last.
// Within these, priority and then the end of the objective decide.
func (d *Dispatcher) ranked() []*waitingJob {
	var list []*waitingJob
	for id, wj := range d.planner.waiting {
		j := d.store.Job(id)
		if j == nil || j.State.Ended() {
			delete(d.planner.waiting, id)
			continue
		}
		if wj == nil {
			wj = d.rank(j)
			d.planner.waiting[id] = wj
		}
		if wj.service != "" {
			wj.tier = wj.tierAt(d.unixMS)
			if wj.lasting() && d.unixMS-wj.since >= reserveAfter.Milliseconds() {
				wj.turn = turnOverdue
				wj.image, wj.size = "", 0
			}
			list = append(list, wj)
		}
	}
	slices.SortFunc(list, func(a, b *waitingJob) int {
		return cmp.Or(
			cmp.Compare(a.tier, b.tier),
			cmp.Compare(a.priority, b.priority),
			cmp.Compare(a.turn, b.turn),
			cmp.Compare(a.image, b.image),
			cmp.Compare(b.size, a.size),
			cmp.Compare(a.objective, b.objective),
			cmp.Compare(a.job.ID, b.job.ID),
		)
	})
	return list
}

func (d *Dispatcher) rank(j *jobs.Job) *waitingJob {
	q := d.store.Config().Queue(j.Queue)
	if q == nil {
		return &waitingJob{job: j}
	}
	from := j.AcceptedAt
	if due := j.Spec.Due(0); due > from {
		from = due
	}
	objective := int64(q.Stretch*float64(longestChain(&j.Spec))) + q.LatencyObjective
	wj := &waitingJob{
		job: j, priority: q.Priority, service: q.Service, objective: from + objective, worthless: from + lateFactor*objective,
		left: int64(estimateTrust * float64(chainLeft(j))),
	}
	wj.turn, wj.since = turnOf(j)
	if len(j.Spec.Steps) > 0 {
		if first := &j.Spec.Steps[0]; first.TailTarget > 0 && wj.turn != turnRestart {
			wj.image, wj.size = first.Image, first.Request.MilliCPU
		}
	}
	if wj.lasting() || j.Spec.Occurrences > 0 {
		wj.worthless = never
	}
	return wj
}

// turnOf returns the turn of a job and since when it waits.
func turnOf(j *jobs.Job) (turn, int64) {
	if len(j.Spec.Steps) == 0 || !j.Spec.Steps[0].LongRunning {
		return turnShort, j.AcceptedAt
	}
	of, since := turnLasting, j.AcceptedAt
	for o := range j.Runs {
		for i := range j.StepTasks(o, 0) {
			t := &j.StepTasks(o, 0)[i]
			if t.Attempt > 0 && t.Bound == nil && (of == turnLasting || t.EndedAt < since) {
				of, since = turnRestart, t.EndedAt
			}
		}
	}
	return of, since
}

// longestChain is the declared time of the longest chain of steps, in
// milliseconds.
func longestChain(s *jobs.Spec) int64 {
	return chain(s, func(step int) int64 { return s.Steps[step].Estimate })
}

// chainLeft is the declared time of the longest chain of steps of which no task
// has started, in milliseconds.
func chainLeft(j *jobs.Job) int64 {
	return chain(&j.Spec, func(step int) int64 {
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

// chain is the longest sum of the times of steps that follow each other.
func chain(s *jobs.Spec, time func(step int) int64) int64 {
	ends := make([]int64, len(s.Steps))
	longest := int64(0)
	for i := range s.Steps {
		for _, earlier := range s.Steps[i].DependsOn {
			ends[i] = max(ends[i], ends[earlier])
		}
		ends[i] += time(i)
		longest = max(longest, ends[i])
	}
	return longest
}
