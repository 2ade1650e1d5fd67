package dispatch

import "geraniumwall/jobs"

// reasonEvacuated is why the start of a bound attempt is cancelled after an evacuation.
const reasonEvacuated = "the failure domain is evacuated"

// mayGetTasks reports whether a worker is usable and outside of the evacuated failure domains.
func (d *Dispatcher) mayGetTasks(w *worker) bool {
	return w.usable(d.now) && !d.store.Evacuated(w.Domain)
}

// allEvacuated reports whether the last plan had no usable worker outside of the evacuated
// failure domains. What runs there must not be stopped in order to run elsewhere.
func (d *Dispatcher) allEvacuated() bool {
	return d.store.EvacuationCount() > 0 && d.planner.usable == 0
}

// evacuationPrevents reports whether a bound attempt must not start since its failure
// domain was evacuated after it was planned. A gang starts as a whole or not at all, since
// members that start alone would wait for the others in vain: once one member was ordered
// the others follow in the same moment, well before the evacuation has to be in force.
func (d *Dispatcher) evacuationPrevents(j *jobs.Job, a *attempt) bool {
	if !a.step.Gang {
		return d.store.Evacuated(a.worker.Domain)
	}
	evacuated := false
	tasks := j.StepTasks(a.task.Occurrence, a.task.Step)
	for i := range tasks {
		member := d.currentAttempt(tasks[i].Key)
		if member == nil || member.worker == nil || member.number != a.number {
			continue
		}
		switch member.phase {
		case phaseOrdered, phaseStarted, phaseUncertain:
			return false
		case phaseVoid:
			return true
		case phaseProposed, phaseInherited:
			evacuated = evacuated || d.store.Evacuated(member.worker.Domain)
		}
	}
	return evacuated
}
