package engine

import (
	"math"
	"time"

	"geraniumwall/policy"
	"geraniumwall/policy/interference"
	"geraniumwall/policy/placement"
	"geraniumwall/workerapi"
)

// ReportService learns from a measurement of a service on a worker.
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

// ReportUsage corrects the size of a task. A task that uses more memory than
// reserved gets more reserved at once, so that its host admits nothing on top.
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

// logSlowdownLimit is the logarithm of the slowdown from which the policy reacts.
func (e *Engine) logSlowdownLimit() float64 {
	return math.Log(max(e.config.Policy.SlowdownLimit, minSlowdownLimit))
}

// minSlowdownLimit keeps the limit away from 1, where every measurement error is a breach.
const minSlowdownLimit = 1.02

// Parts of the limit and of the target of a service.
const (
	// placementLimitShare is the part of the limit that placement fills, so that a rise of
	// the load does not lead to evictions at once.
	placementLimitShare = 0.8
	// targetLimitShare is the part of the target of a service that its tail latency may
	// fill whatever the limit of the slowdown is.
	targetLimitShare = 0.9
)

// allowedLogSlowdown is the logarithm of the slowdown that a service may have while its
// tail latency without neighbours is alone: the limit, or more as long as the
// service stays below its target.
func (e *Engine) allowedLogSlowdown(service string, isolatedP99 float64) float64 {
	target := e.targetP99[service].Seconds()
	if e.rules.NoSlack || isolatedP99 <= 0 || target <= 0 {
		return e.logSlowdownLimit()
	}
	return max(e.logSlowdownLimit(), math.Log(targetLimitShare*target/isolatedP99))
}

// Weights of tasks in the model. A task that takes an eighth of the processors of
// its host weighs 1, so that many small tasks are not taken for many large ones. The declared size
// counts: it stays the same while corrections of the reserved size move.
const (
	wholeHostWeight = 8
	minTaskWeight   = 0.125
)

func taskWeight(size workerapi.Resources, h *placement.Host) float64 {
	cpuFraction := float64(size.CPUMillis) / float64(max(h.Capacity.CPUMillis, 1))
	return max(minTaskWeight, wholeHostWeight*cpuFraction)
}

// predictInterference is the predicted cost of a request for the services of a host.
func (e *Engine) predictInterference(h *placement.Host, r *placement.Request) (float64, bool) {
	worker := h.Owner.(*host).modelWorker
	cost := 0.0
	refuse := false
	// The cost is relative to the limit alone: slack is gone when the load rises, so
	// it makes no host preferable. Costs relative to the allowance raised the tail
	// latency of scenario load-shift from 1.12 to 1.18 of isolation.
	limit := e.logSlowdownLimit()
	e.model.PredictAdded(worker, r.JobNumber, taskWeight(r.Declared, h), func(added interference.AddedTask) {
		allowed := e.allowedLogSlowdown(e.model.ServiceName(added.ServiceIndex), added.P99Seconds/math.Exp(added.After))
		cost += (added.After*added.After - added.Before*added.Before) / (limit * limit)
		refuse = refuse || added.After > placementLimitShare*allowed
	})
	return cost, refuse
}
