package routing

import (
	"math"
	"time"
)

const (
	// ejectAfter is the number of failures in a row after which an upstream is
	// ejected.
	ejectAfter = 5
	// failureShareLimit ejects an upstream that fails often but not in a row.
	failureShareLimit   = 0.5
	failureShareMinimum = 20
	ejectionBase        = 2 * time.Second
	ejectionLongest     = 30 * time.Second
	// abandonedFactor is how much longer than the service's average an abandoned
	// attempt must have taken to count as a failure of the upstream, so that callers
	// with short deadlines eject no one.
	abandonedFactor = 4
	// ejectionMemory is the time without ejection after which the next one is
	// short again.
	ejectionMemory = time.Minute
)

// health follows the failures of one upstream.
type health struct {
	inARow   int
	failures average
	until    time.Duration
	times    int
}

func (h *health) ejected(now time.Duration) bool { return now < h.until }

// record counts an attempt and reports whether the upstream should be ejected.
func (h *health) record(failed bool) bool {
	if !failed {
		h.inARow = 0
		h.failures.add(0)
		return false
	}
	h.inARow++
	h.failures.add(1)
	often := h.failures.count >= failureShareMinimum && h.failures.value > failureShareLimit
	return h.inARow >= ejectAfter || often
}

func (h *health) eject(now time.Duration) {
	if now-h.until > ejectionMemory {
		h.times = 0
	}
	duration := ejectionBase << min(h.times, 4)
	h.times++
	h.until = now + min(duration, ejectionLongest)
	h.inARow = 0
	h.failures = average{}
}

// averageWeight is the weight of one sample in a moving average.
const averageWeight = 0.1

// average is an exponentially weighted moving average.
type average struct {
	value float64
	count int
}

func (a *average) add(sample float64) {
	a.count++
	weight := max(averageWeight, 1/float64(a.count))
	a.value += weight * (sample - a.value)
}

const (
	// limiterTolerance is the latency, relative to the service's usual latency,
	// up to which the concurrency on an upstream is not reduced.
	limiterTolerance = 1.5
	limiterMinimum   = 0.5
	limiterSmoothing = 0.2
	// limiterInterval is the number of samples between two adjustments.
	limiterInterval = 10
)

// limiter adapts the concurrency on one upstream to its latency, relative to the
// usual latency of the same services: the limit shrinks by the ratio of usual to
// measured latency and grows by its square root.
type limiter struct {
	estimate float64
	ratio    average
	pending  int
}

func (l *limiter) limit(granted float64) float64 {
	if l.estimate == 0 {
		return granted
	}
	return min(granted, l.estimate)
}

func (l *limiter) record(ratio float64, granted float64) {
	l.ratio.add(ratio)
	l.pending++
	if l.pending < limiterInterval {
		return
	}
	l.pending = 0
	current := l.limit(granted)
	gradient := min(1, max(limiterMinimum, limiterTolerance/max(l.ratio.value, 1e-6)))
	target := min(granted, current*gradient+math.Sqrt(current))
	l.estimate = max(1, current+limiterSmoothing*(target-current))
}
