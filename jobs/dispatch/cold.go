package dispatch

import (
	"time"

	"geraniumwall/jobs"
)

const (
	// minColdShare is the share of its CPU that a worker may have reserved right after its
	// start without a penalty. The share rises in proportion to the time since then.
	minColdShare = 0.125
	// coldPenalty keeps tasks from a cold worker beyond that share while others have room. It is
	// below dataRackWeight, and work never waits for a worker to become warm.
	coldPenalty = 2.0
)

// coldLeft returns how much longer the worker remains slow after its start, by its last report.
func (w *worker) coldLeft(now time.Duration) time.Duration {
	return max(0, w.ColdLeft-(now-w.heartbeatAt))
}

// overColdShare reports whether a task would load a cold worker beyond the share of its CPU
// that it should have by now. A worker without tasks always gets one. While most workers are
// cold, as after the start of the whole fleet, the share does not count: there are not enough
// others, and it would spread serving tasks that are better packed on few workers.
func (d *Dispatcher) overColdShare(step *jobs.Step, c *candidate) bool {
	if !d.options.WarmUp || c.worker.ColdLeft == 0 || c.tasks == 0 || 2*d.planner.cold > d.planner.usable {
		return false
	}
	left := c.worker.coldLeft(d.now)
	if left == 0 {
		return false
	}
	share := max(minColdShare, 1-float64(left)/float64(c.worker.coldSpan))
	used := c.worker.Capacity.MilliCPU - c.free.MilliCPU + step.ReservedResources().MilliCPU
	return float64(used) > share*float64(c.worker.Capacity.MilliCPU)
}
