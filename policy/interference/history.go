// Package interference learns how much a running task of a job slows a service
// on the same host, as a function of the load of the service. Measurements
// arrive late and out of order, so each is compared with what ran on the host at
// the time it was made.
package interference

import "time"

// Bounds of the history of one worker. Reports are at most 30 s late.
const (
	historyLength = 40 * time.Second
	maxSegments   = 128
	// mergeWithin joins changes that no report can tell apart.
	mergeWithin = 100 * time.Millisecond
	// halfInterval is half of the interval that a report is taken to cover.
	halfInterval = 500 * time.Millisecond
)

// weight is the sum of the weights of the running tasks of a job, each times its
// processor share.
type weight struct {
	job   int
	value float64
}

// segment is the composition of a worker from a time until the next segment.
type segment struct {
	from    time.Duration
	weights []weight
}

// history is the composition of a worker over the last seconds, oldest first.
type history struct {
	segments []segment
}

// record appends the composition that holds from now on.
func (h *history) record(now time.Duration, weights []weight) {
	n := len(h.segments)
	if n > 0 && now-h.segments[n-1].from < mergeWithin {
		last := &h.segments[n-1]
		last.weights = append(last.weights[:0], weights...)
		return
	}
	h.segments = append(h.segments, segment{from: now, weights: append([]weight(nil), weights...)})
	drop := 0
	for drop+1 < len(h.segments) && (h.segments[drop+1].from < now-historyLength || len(h.segments)-drop > maxSegments) {
		drop++
	}
	if drop > 0 {
		h.segments = append(h.segments[:0:0], h.segments[drop:]...)
	}
}

// mean writes the mean composition around a time to out and reports whether the
// history reaches back to it.
func (h *history) mean(at time.Duration, out []weight) ([]weight, bool) {
	out = out[:0]
	from, to := at-halfInterval, at+halfInterval
	if len(h.segments) == 0 || h.segments[0].from > from {
		return out, false
	}
	for i := len(h.segments) - 1; i >= 0; i-- {
		s := &h.segments[i]
		end := to
		if i+1 < len(h.segments) {
			end = min(to, h.segments[i+1].from)
		}
		part := float64(end-max(from, s.from)) / float64(to-from)
		if part > 0 {
			out = addScaled(out, s.weights, part)
		}
		if s.from <= from {
			break
		}
	}
	return out, true
}

func addScaled(out, weights []weight, part float64) []weight {
	for _, w := range weights {
		out = add(out, w.job, w.value*part)
	}
	return out
}

// add changes the weight of one job; weights that vanish are removed.
func add(weights []weight, job int, value float64) []weight {
	for i := range weights {
		if weights[i].job != job {
			continue
		}
		weights[i].value += value
		if weights[i].value < vanished {
			weights[i] = weights[len(weights)-1]
			weights = weights[:len(weights)-1]
		}
		return weights
	}
	if value < vanished {
		return weights
	}
	return append(weights, weight{job: job, value: value})
}

// vanished is the weight below which nothing runs; it absorbs rounding.
const vanished = 1e-6
