package dispatch

import (
	"slices"

	"geraniumwall/jobs"
)

// unplaceable records the requests that fitted no worker, so that the same plan does not
// try equal or larger ones again.
type unplaceable struct{ requests []unplaceableRequest }

type unplaceableRequest struct {
	service string
	// image is set for fillers, since the workers that can take one depend on which
	// serving tasks its image disturbs.
	image string
	// longRunning and restarted tell apart the tasks that some workers are reserved for or
	// kept free of.
	longRunning bool
	restarted   bool
	// besideIsolated tells apart the tasks that may be placed beside one that is to run
	// alone.
	besideIsolated bool
	request        jobs.Resources
}

func newUnplaceableRequest(service string, step *jobs.Step, t *jobs.Task) unplaceableRequest {
	r := unplaceableRequest{service: service, longRunning: step.LongRunning, request: step.Request}
	r.restarted = step.LongRunning && t.Attempt > 0
	if step.Filler {
		r.image = step.Image
	}
	return r
}

func (f *unplaceable) covers(wanted unplaceableRequest) bool {
	return slices.ContainsFunc(f.requests, func(r unplaceableRequest) bool {
		fits := r.request.FitsIn(wanted.request)
		r.request = wanted.request
		return fits && r == wanted
	})
}

// add records a request that fitted no worker.
func (f *unplaceable) add(r unplaceableRequest) { f.requests = append(f.requests, r) }
