package dispatch

import (
	"slices"

	"geraniumwall/jobs"
)

// planGang binds all tasks of a gang or none of them. It reports whether they still wait.
func (d *Dispatcher) planGang(wj *waitingJob, step *jobs.Step, waiting []*jobs.Task, size int, candidates []*candidate) bool {
	if len(waiting) < size {
		return true
	}
	chosen := d.placeGang(wj, step, waiting, candidates)
	if chosen == nil {
		return true
	}
	latest := latestAttempt(waiting)
	if slices.ContainsFunc(waiting, func(t *jobs.Task) bool { return t.Attempt < latest }) {
		d.alignAttempts(step, waiting, chosen, latest)
		return true
	}
	for i, t := range waiting {
		d.bind(t, step, chosen[i], latest+1)
	}
	return false
}

// latestAttempt returns the highest number of an attempt of the tasks.
func latestAttempt(tasks []*jobs.Task) int {
	latest := 0
	for _, t := range tasks {
		latest = max(latest, t.Attempt)
	}
	return latest
}

// alignAttempts lets the members of a gang that are behind catch up by one attempt, since all
// members must start with the same number. The log allows the next number only after the
// attempt before it has ended, so each missing one is bound and ends without a start.
func (d *Dispatcher) alignAttempts(step *jobs.Step, members []*jobs.Task, chosen []*candidate, latest int) {
	for i, t := range members {
		if t.Attempt < latest {
			d.bind(t, step, chosen[i], t.Attempt+1)
			d.addLogEvent("gang member is behind the others", chosen[i].worker, d.proposedBinds[t.Key], "the attempt ends without a start")
		}
	}
}

// gangBound reports whether all members of an attempt's gang are bound with its number.
func (d *Dispatcher) gangBound(j *jobs.Job, a *attempt) bool {
	tasks := j.StepTasks(a.task.Occurrence, a.task.Step)
	for i := range tasks {
		if tasks[i].BoundTo == nil || tasks[i].Attempt != a.number {
			return false
		}
	}
	return true
}

// gangFits reports whether the workers of all members of an attempt's gang can hold them.
// Members that start alone would wait for the others in vain.
func (d *Dispatcher) gangFits(j *jobs.Job, a *attempt) bool {
	tasks := j.StepTasks(a.task.Occurrence, a.task.Step)
	for i := range tasks {
		member := d.currentAttempt(tasks[i].Key)
		if member != nil && member.number == a.number && member.worker != nil && !member.worker.holdsAll() {
			return false
		}
	}
	return true
}
