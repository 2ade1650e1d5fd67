package dispatch

import "time"

const (
	// quarantineThreshold is the number of different jobs with a failed task on a worker,
	// without a success in between, that quarantines the worker. Counting jobs makes a job
	// that fails everywhere count once.
	quarantineThreshold = 3
	minQuarantine       = 3 * time.Second
	maxQuarantine       = 24 * time.Second
)

// health tracks the outcomes on a worker, since a worker may fail all of its tasks while
// it reports itself healthy.
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

// recordFailure reports whether the failure has quarantined the worker.
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

// quarantine keeps new tasks from the worker. The duration doubles each time until a task
// succeeds there. Afterwards the failure of one further job quarantines the worker again.
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
