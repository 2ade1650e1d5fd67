package dispatch

import (
	"time"

	"geraniumwall/jobs"
	"geraniumwall/jobs/dispatch/admission"
)

const (
	// admissionInterval is the time between two observations of the waiting work.
	admissionInterval = 200 * time.Millisecond
	// backlogAfter is how long a job waits for its first start until its class counts as
	// backlogged. Several plans and a commit fit in it.
	backlogAfter = 250 * time.Millisecond
)

// admissionState measures rates for Admit. It is nil without Options.Admission.
type admissionState struct {
	controller *admission.Controller
	observeAt  time.Duration
}

func (d *Dispatcher) newAdmission() *admissionState {
	if !d.options.Admission {
		return nil
	}
	return &admissionState{controller: admission.New(d.now)}
}

// Admit predicts whether a job can end before its result is worthless.
func (d *Dispatcher) Admit(q *jobs.Queue, spec *jobs.Spec) admission.Decision {
	if d.admission == nil || !expires(spec) {
		return admission.Decision{Admitted: true}
	}
	work := admission.Work(0)
	for i := range spec.Steps {
		work += stepWork(&spec.Steps[i], spec.Steps[i].Count)
	}
	path := criticalPath(spec)
	delay := max(0, spec.Due(0)-d.unixMS)
	j := admission.Job{
		Class: classOf(q.Name, spec), Work: work,
		Duration:  time.Duration(minEstimateRatio*float64(path)) * time.Millisecond,
		Objective: time.Duration(delay+objectiveOf(q, path)) * time.Millisecond,
		Window:    time.Duration(delay+expiryFactor*objectiveOf(q, path)) * time.Millisecond,
	}
	return d.admission.controller.Decide(d.now, j, func() bool { return d.hasFreeWorker(q.Service, spec) })
}

// expires reports whether the result of a job becomes worthless.
func expires(spec *jobs.Spec) bool {
	return len(spec.Steps) > 0 && !spec.Steps[0].LongRunning && spec.Occurrences == 0
}

// objectiveOf returns the objective of a job with the given critical path, both in
// milliseconds.
func objectiveOf(q *jobs.Queue, criticalPath int64) int64 {
	return int64(q.Stretch*float64(criticalPath)) + q.LatencyObjective
}

// classOf returns the class of a job.
func classOf(queue string, spec *jobs.Spec) admission.Class {
	return admission.ClassOf(queue, largestStep(spec).Request.MilliCPU)
}

// largestStep returns the step whose tasks request the most CPU.
func largestStep(spec *jobs.Spec) *jobs.Step {
	largest := &spec.Steps[0]
	for i := range spec.Steps {
		if spec.Steps[i].Request.MilliCPU > largest.Request.MilliCPU {
			largest = &spec.Steps[i]
		}
	}
	return largest
}

func stepWork(step *jobs.Step, tasks int) admission.Work {
	return admission.WorkOf(tasks, step.Request.MilliCPU, step.EstimateMS)
}

// hasFreeWorker reports whether a usable worker has free capacity for the largest task of a
// job.
func (d *Dispatcher) hasFreeWorker(service string, spec *jobs.Spec) bool {
	step := largestStep(spec)
	request := step.ReservedResources()
	for _, w := range d.workers {
		if w.Service == service && w.hasLabel(step.RequiredLabel) && d.mayGetTasks(w) && request.FitsIn(w.free()) {
			return true
		}
	}
	return false
}

// countStart counts the first start of a task for the measured rate.
func (d *Dispatcher) countStart(t *jobs.Task, step *jobs.Step) {
	if d.admission == nil || t.Attempt > 0 {
		return
	}
	if j := d.store.Job(t.Key.Job); expires(&j.Spec) {
		wj := d.planner.waiting[j.ID]
		late := wj != nil && wj.tier != tierOnTime
		d.admission.controller.Started(classOf(j.Queue, &j.Spec), stepWork(step, 1), late, d.now)
	}
}

// observeAdmission records the work that waits, once in admissionInterval. Jobs whose
// result has no value any more come after all others and don't count.
func (d *Dispatcher) observeAdmission() {
	if d.admission == nil || d.now < d.admission.observeAt {
		return
	}
	d.admission.observeAt = d.now + admissionInterval
	loads := map[admission.Class]admission.Load{}
	for _, wj := range d.planner.waiting {
		if wj == nil || wj.service == "" || !expires(&wj.job.Spec) || wj.job.State.Ended() {
			continue
		}
		tier := wj.tierAt(d.unixMS)
		if tier == tierExpired {
			continue
		}
		key := classOf(wj.job.Queue, &wj.job.Spec)
		waiting := admission.Work(0)
		d.eachWaiting(wj.job, func(step *jobs.Step, t *jobs.Task) {
			if t.Attempt == 0 {
				waiting += stepWork(step, 1)
			}
		})
		if waiting == 0 {
			continue
		}
		load := loads[key]
		if tier == tierLate {
			load.Late += waiting
		} else {
			load.OnTime += waiting
		}
		since := max(wj.job.AcceptedAt, wj.job.Spec.Due(0))
		load.Backlogged = load.Backlogged || !wj.job.HasStarted() && d.unixMS-since >= backlogAfter.Milliseconds()
		loads[key] = load
	}
	d.admission.controller.Observe(d.now, loads)
}
