package engine

import (
	"math"
	"time"

	"geraniumwall/policy"
	"geraniumwall/policy/interference"
	"geraniumwall/policy/placement"
	"geraniumwall/workerapi"
)

// ReportService passes a measurement of a service on a worker to the interference model.
func (e *Engine) ReportService(now time.Duration, worker string, r workerapi.ServiceReport) {
	if h := e.hosts[worker]; h != nil {
		h.skipReaction = false
	}
	e.model.Observe(now, worker, interference.Sample{
		Service:    r.Service,
		MeasuredAt: now - time.Duration(r.AgeMS)*time.Millisecond,
		Load:       r.Load,
		P99:        time.Duration(r.P99US) * time.Microsecond,
		Count:      r.Count,
	})
}

// ReportUsage records the measured usage of a task. If a task uses more memory than
// reserved, its reservation is raised at once so that its host is not overcommitted.
func (e *Engine) ReportUsage(now time.Duration, worker string, u policy.Usage) {
	t := e.tasks[u.Task]
	if t == nil || t.worker != worker {
		return
	}
	measuredAt := now - u.Age
	if measuredAt >= t.usageMeasuredAt {
		t.usageMeasuredAt = measuredAt
		t.sinceCheckpoint = u.SinceCheckpoint
	}
	if measuredAt < t.startedAt {
		return
	}
	t.peakUsage.MemoryMB = max(t.peakUsage.MemoryMB, u.Used.MemoryMB)
	if t.cpuShare == 1 && measuredAt > t.cpuShareChangedAt {
		t.peakUsage.CPUMillis = max(t.peakUsage.CPUMillis, u.Used.CPUMillis)
	}
	if e.rules.NoSizing || t.peakUsage.MemoryMB <= t.reserved.MemoryMB {
		return
	}
	size := t.reserved
	size.MemoryMB = t.peakUsage.MemoryMB
	e.resizeReservation(t, size)
}

// logLimit returns the logarithm of the configured slowdown limit.
func (e *Engine) logLimit() float64 { return math.Log(max(e.config.Policy.SlowdownLimit, minLimit)) }

// minLimit is the lowest effective slowdown limit. Near 1 every measurement error would
// count as a breach.
const minLimit = 1.02

// Fractions of the limit and of the target of a service.
const (
	// placementLimitShare is the fraction of the allowed log slowdown that placement may
	// use, so that a rise of the load does not lead to evictions at once.
	placementLimitShare = 0.8
	// targetLimitShare is the fraction of its latency target that a service may reach
	// whatever its slowdown.
	targetLimitShare = 0.9
)

// allowedLogSlowdown returns the logarithm of the slowdown that a service may have: the
// slowdown limit, or more as long as its tail latency stays below targetLimitShare of its
// target. isolatedP99 is its tail latency without neighbours, in seconds.
func (e *Engine) allowedLogSlowdown(service string, isolatedP99 float64) float64 {
	target := e.targetP99[service].Seconds()
	if e.rules.NoSlack || isolatedP99 <= 0 || target <= 0 {
		return e.logLimit()
	}
	return max(e.logLimit(), math.Log(targetLimitShare*target/isolatedP99))
}

// Weights of tasks in the interference model. A task that takes an eighth of the
// processors of its host has weight 1, so that many small tasks are not taken for many
// large ones. The weight follows the declared size, since the reserved size changes with
// every correction.
const (
	wholeHostWeight = 8
	minTaskWeight   = 0.125
)

// taskWeight returns the weight of a task with the declared size.
func taskWeight(size workerapi.Resources, h *placement.Host) float64 {
	cpuFraction := float64(size.CPUMillis) / float64(max(h.Capacity.CPUMillis, 1))
	return max(minTaskWeight, wholeHostWeight*cpuFraction)
}

// predictInterference returns the predicted cost of the request for the services of the
// host, and whether one of them would exceed its limit.
func (e *Engine) predictInterference(h *placement.Host, r *placement.Request) (float64, bool) {
	worker := h.Owner.(*host).modelWorker
	cost := 0.0
	refuse := false
	// The cost is relative to the slowdown limit alone. Slack below the latency target
	// vanishes when the load rises, so it does not make a host preferable: with costs
	// relative to allowedLogSlowdown the tail latency in scenario load-shift is 1.18
	// instead of 1.12 times that in isolation.
	limit := e.logLimit()
	e.model.PredictAdded(worker, r.JobNumber, taskWeight(r.Declared, h), func(added interference.AddedTask) {
		allowed := e.allowedLogSlowdown(e.model.ServiceName(added.ServiceIndex), added.P99Seconds/math.Exp(added.After))
		cost += (added.After*added.After - added.Before*added.Before) / (limit * limit)
		refuse = refuse || added.After > placementLimitShare*allowed
	})
	return cost, refuse
}
