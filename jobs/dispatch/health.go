package dispatch

import "time"

const (
	// quarantineThreshold is the number of jobs in a row whose tasks fail on a
	// worker before it gets no more: a job that fails everywhere counts once.
	quarantineThreshold = 3
	minQuarantine       = 3 * time.Second
	maxQuarantine       = 24 * time.Second
)

// health follows the ends on a worker, since a worker may fail all that it starts
// while it reports to be healthy.
type health struct {
	failedJobs         map[string]bool
	quarantinedUntil   time.Duration
	quarantineDuration time.Duration
}

func (h *health) quarantined(now time.Duration) bool { return now < h.quarantinedUntil }

func (h *health) recordSuccess() {
	h.failedJobs = nil
	h.quarantineDuration = 0
}

func (h *health) recordFailure(job string, now time.Duration) (quarantined bool) {
	if h.failedJobs == nil {
		h.failedJobs = map[string]bool{}
	}
	h.failedJobs[job] = true
	if len(h.failedJobs) < quarantineThreshold || h.quarantined(now) {
		return false
	}
	h.quarantine(now)
	return true
}

// quarantine excludes the worker, longer each time until a task succeeds there.
// One further failure afterwards excludes it again.
func (h *health) quarantine(now time.Duration) {
	h.quarantineDuration = min(max(minQuarantine, 2*h.quarantineDuration), maxQuarantine)
	h.quarantinedUntil = now + h.quarantineDuration
	for job := range h.failedJobs {
		if len(h.failedJobs) < quarantineThreshold {
			break
		}
		delete(h.failedJobs, job)
	}
}
