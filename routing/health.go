package routing

import (
	"math"
	"time"
)

const (
	// maxConsecutiveFailures is the number of consecutive failures at which an upstream
	// is ejected.
	maxConsecutiveFailures = 5
	// maxFailureRate is the failure rate above which an upstream is ejected that fails
	// often but not consecutively. It applies from minFailureRateSamples on.
	maxFailureRate        = 0.5
	minFailureRateSamples = 20
	// The ejection time starts at minEjectionTime and doubles with each ejection up to
	// maxEjectionTime.
	minEjectionTime = 2 * time.Second
	maxEjectionTime = 30 * time.Second
	// abandonedFactor is the multiple of the service's average latency from which an
	// abandoned attempt counts as a failure of the upstream. Shorter ones don't, so that
	// callers with short deadlines don't cause ejections.
	abandonedFactor = 4
	// ejectionResetAfter is the time after the end of an ejection from which the next
	// one starts at minEjectionTime again.
	ejectionResetAfter = time.Minute
)

// outlierDetector tracks the failures of one upstream and its ejection.
type outlierDetector struct {
	consecutiveFailures int
	failureRate         movingAverage
	ejectedUntil        time.Duration
	ejections           int
}

func (d *outlierDetector) ejected(now time.Duration) bool { return now < d.ejectedUntil }

// record records the result of an attempt and reports whether the upstream should
// be ejected.
func (d *outlierDetector) record(failed bool) bool {
	if !failed {
		d.consecutiveFailures = 0
		d.failureRate.add(0)
		return false
	}
	d.consecutiveFailures++
	d.failureRate.add(1)
	failsOften := d.failureRate.count >= minFailureRateSamples && d.failureRate.value > maxFailureRate
	return d.consecutiveFailures >= maxConsecutiveFailures || failsOften
}

func (d *outlierDetector) eject(now time.Duration) {
	if now-d.ejectedUntil > ejectionResetAfter {
		d.ejections = 0
	}
	ejectionTime := minEjectionTime << min(d.ejections, 4)
	d.ejections++
	d.ejectedUntil = now + min(ejectionTime, maxEjectionTime)
	d.consecutiveFailures = 0
	d.failureRate = movingAverage{}
}

// movingAverageWeight is the weight of one sample in a moving average.
const movingAverageWeight = 0.1

// movingAverage is an exponentially weighted moving average.
type movingAverage struct {
	value float64
	count int
}

func (a *movingAverage) add(sample float64) {
	a.count++
	weight := max(movingAverageWeight, 1/float64(a.count))
	a.value += weight * (sample - a.value)
}

const (
	// limiterTolerance is the ratio of latency to the service's average up to which the
	// concurrency limit is not reduced.
	limiterTolerance = 1.5
	// minLimiterGradient bounds the reduction of the limit in one update.
	minLimiterGradient = 0.5
	// limiterSmoothing is the weight of the new limit in an update.
	limiterSmoothing = 0.2
	// limiterUpdateSamples is the number of samples between two updates.
	limiterUpdateSamples = 10
)

// limiter adapts the concurrency limit of one upstream to its latency relative to
// the average latency of its services: the limit shrinks by the ratio of average to
// measured latency and grows by its own square root.
type limiter struct {
	estimatedLimit     float64
	latencyRatio       movingAverage
	samplesSinceUpdate int
}

// limit returns the concurrency limit, at most the granted slots.
func (l *limiter) limit(granted float64) float64 {
	if l.estimatedLimit == 0 {
		return granted
	}
	return min(granted, l.estimatedLimit)
}

// record adds a sample and updates the limit after every limiterUpdateSamples.
func (l *limiter) record(latencyRatio float64, granted float64) {
	l.latencyRatio.add(latencyRatio)
	l.samplesSinceUpdate++
	if l.samplesSinceUpdate < limiterUpdateSamples {
		return
	}
	l.samplesSinceUpdate = 0
	current := l.limit(granted)
	gradient := min(1, max(minLimiterGradient, limiterTolerance/max(l.latencyRatio.value, 1e-6)))
	target := min(granted, current*gradient+math.Sqrt(current))
	l.estimatedLimit = max(1, current+limiterSmoothing*(target-current))
}
