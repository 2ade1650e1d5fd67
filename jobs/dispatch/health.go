package dispatch

import "time"

const (
	// failuresToQuarantine is the number of jobs in a row whose tasks fail on a
	// worker before it gets no more: a job that fails everywhere counts once.
	failuresToQuarantine = 3
	firstQuarantine      = 3 * time.Second
	longestQuarantine    = 24 * time.Second
)

// health follows the ends on a worker, since a worker may fail all that it starts
// while it reports to be healthy.
type health struct {
	failedJobs map[string]bool
	until      time.Duration
	length     time.Duration
}

func (h *health) quarantined(now time.Duration) bool { return now < h.until }

func (h *health) succeeded() {
	h.failedJobs = nil
	h.length = 0
}

func (h *health) failed(job string, now time.Duration) (quarantined bool) {
	if h.failedJobs == nil {
		h.failedJobs = map[string]bool{}
	}
	h.failedJobs[job] = true
	if len(h.failedJobs) < failuresToQuarantine || h.quarantined(now) {
		return false
	}
	h.quarantine(now)
	return true
}

// quarantine excludes the worker, longer each time until a task succeeds there.
// One further failure afterwards excludes it again.
func (h *health) quarantine(now time.Duration) {
	h.length = min(max(firstQuarantine, 2*h.length), longestQuarantine)
	h.until = now + h.length
	for job := range h.failedJobs {
		if len(h.failedJobs) < failuresToQuarantine {
			break
		}
		delete(h.failedJobs, job)
	}
}
