// Package interference learns how much a running task of a job slows a service on the
// same host, as a function of the load of the service. Measurements arrive late and out
// of order, so each is attributed to the tasks that ran on the host when it was made.
package interference

import "time"

// Bounds of the history of one worker. It must reach back to the oldest reports, which
// are at most 30 s late.
const (
	historyDuration = 40 * time.Second
	maxSegments     = 128
	// mergeInterval is the time within which changes are merged into one segment, since no
	// report can tell them apart.
	mergeInterval = 100 * time.Millisecond
	// halfReportInterval is half of the interval that a report is assumed to cover.
	halfReportInterval = 500 * time.Millisecond
)

// jobWeight is the sum of the weights of the running tasks of a job, each multiplied by
// its processor share.
type jobWeight struct {
	job    int
	weight float64
}

// segment is the mix of jobs on a worker from start until the next segment.
type segment struct {
	start   time.Duration
	weights []jobWeight
}

// history is the mix of jobs on a worker during the last historyDuration, oldest first.
type history struct {
	segments []segment
}

// record adds the weights that apply from now on.
func (h *history) record(now time.Duration, weights []jobWeight) {
	n := len(h.segments)
	if n > 0 && now-h.segments[n-1].start < mergeInterval {
		last := &h.segments[n-1]
		last.weights = append(last.weights[:0], weights...)
		return
	}
	h.segments = append(h.segments, segment{start: now, weights: append([]jobWeight(nil), weights...)})
	drop := 0
	for drop+1 < len(h.segments) && (h.segments[drop+1].start < now-historyDuration || len(h.segments)-drop > maxSegments) {
		drop++
	}
	if drop > 0 {
		h.segments = append(h.segments[:0:0], h.segments[drop:]...)
	}
}

// meanAround returns the weights averaged over a report interval around a time, and
// whether the history covers the start of the interval. It reuses the memory of out.
func (h *history) meanAround(at time.Duration, out []jobWeight) ([]jobWeight, bool) {
	out = out[:0]
	from, to := at-halfReportInterval, at+halfReportInterval
	if len(h.segments) == 0 || h.segments[0].start > from {
		return out, false
	}
	for i := len(h.segments) - 1; i >= 0; i-- {
		s := &h.segments[i]
		end := to
		if i+1 < len(h.segments) {
			end = min(to, h.segments[i+1].start)
		}
		fraction := float64(end-max(from, s.start)) / float64(to-from)
		if fraction > 0 {
			out = addScaled(out, s.weights, fraction)
		}
		if s.start <= from {
			break
		}
	}
	return out, true
}

// addScaled adds the weights, multiplied by scale, to out.
func addScaled(out, weights []jobWeight, scale float64) []jobWeight {
	for _, w := range weights {
		out = addWeight(out, w.job, w.weight*scale)
	}
	return out
}

// addWeight adds a value to the weight of one job. Weights below minWeight are removed.
func addWeight(weights []jobWeight, job int, value float64) []jobWeight {
	for i := range weights {
		if weights[i].job != job {
			continue
		}
		weights[i].weight += value
		if weights[i].weight < minWeight {
			weights[i] = weights[len(weights)-1]
			weights = weights[:len(weights)-1]
		}
		return weights
	}
	if value < minWeight {
		return weights
	}
	return append(weights, jobWeight{job: job, weight: value})
}

// minWeight is the weight below which a job counts as not running, because of rounding
// errors.
const minWeight = 1e-6
