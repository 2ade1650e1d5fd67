package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"geraniumwall/jobs"
)

const (
	// shortReserveDecay is the time constant with which the reserve follows a demand that
	// falls. It spans the time between two bursts of short jobs.
	shortReserveDecay = 10 * time.Second
	// shortReserveFactor times the demand is the reserved CPU, since the tasks of a wide
	// step arrive together and don't divide evenly over workers.
	shortReserveFactor = 1.25
	// maxShortReserveShare bounds the share of a service's CPU that is reserved.
	maxShortReserveShare = 0.1
)

// shortReserve keeps workers of a service free of new long-running tasks, so that short
// tasks find room at once. Long-running tasks hold their capacity for minutes: without a
// reserve they take all of it piece by piece while the demand for short tasks pauses, and
// what is left on each worker is too small for a short task.
type shortReserve struct {
	// demand is the decaying maximum of the CPU that short tasks with a reservation use and
	// wait for, in millicores.
	demand   float64
	observed time.Duration
}

// observe records the present demand.
func (r *shortReserve) observe(milliCPU int64, now time.Duration) {
	decay := math.Exp(-(now - r.observed).Seconds() / shortReserveDecay.Seconds())
	r.demand = max(float64(milliCPU), r.demand*decay)
	r.observed = now
}

// reserveForShort updates the reserve of each service and marks the workers that it keeps.
func (d *Dispatcher) reserveForShort(ranked []*waitingJob, candidates []*candidate) {
	demand := d.shortDemand(ranked, candidates)
	for service, milliCPU := range demand {
		reserve := d.planner.shortReserves[service]
		if reserve == nil {
			reserve = &shortReserve{observed: d.now}
			d.planner.shortReserves[service] = reserve
		}
		reserve.observe(milliCPU, d.now)
		keepForShort(service, reserve.demand*shortReserveFactor, candidates)
	}
}

// shortDemand returns the CPU in millicores that short tasks with a reservation use or
// wait for, by service. Jobs whose result has no value any more don't count.
func (d *Dispatcher) shortDemand(ranked []*waitingJob, candidates []*candidate) map[string]int64 {
	demand := map[string]int64{}
	for _, c := range candidates {
		demand[c.worker.Service] += c.shortMilliCPU
	}
	for _, wj := range ranked {
		if wj.class == classShort && wj.tier != tierExpired {
			demand[wj.service] += d.waitingMilliCPU(wj.job)
		}
	}
	return demand
}

// waitingMilliCPU returns the CPU in millicores that the tasks of a job which may start
// now wait for.
func (d *Dispatcher) waitingMilliCPU(j *jobs.Job) int64 {
	sum := int64(0)
	for o := range j.Runs {
		if j.Spec.Due(o) > d.unixMS {
			continue
		}
		for s := range j.Spec.Steps {
			step := &j.Spec.Steps[s]
			if step.Filler || !j.StepReady(o, s) {
				continue
			}
			tasks := j.StepTasks(o, s)
			for i := range tasks {
				if !tasks[i].Done && tasks[i].BoundTo == nil {
					sum += step.Request.MilliCPU
				}
			}
		}
	}
	return sum
}

// keepForShort marks the workers of a service with the most CPU outside long-running
// tasks, until they cover the given CPU in millicores.
func keepForShort(service string, wanted float64, candidates []*candidate) {
	var list []*candidate
	capacity := int64(0)
	for _, c := range candidates {
		if c.worker.Service == service {
			list = append(list, c)
			capacity += c.worker.Capacity.MilliCPU
		}
	}
	wanted = min(wanted, maxShortReserveShare*float64(capacity))
	slices.SortStableFunc(list, func(a, b *candidate) int {
		return cmp.Compare(b.freeAfterShort.MilliCPU, a.freeAfterShort.MilliCPU)
	})
	kept := 0.0
	for _, c := range list {
		kept += float64(c.freeAfterShort.MilliCPU)
		if kept > wanted {
			return
		}
		c.keptForShort = true
	}
}

// keeps reports whether a worker is kept free of the task. Tasks that have run before are
// exempt, since their users notice their absence.
func (c *candidate) keeps(step *jobs.Step, t *jobs.Task) bool {
	return c.keptForShort && step.LongRunning && t.Attempt == 0
}
