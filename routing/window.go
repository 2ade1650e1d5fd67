package routing

import (
	"math/bits"
	"time"
)

const (
	// windowLength is the time over which the latency of a service is aggregated.
	windowLength = 2 * time.Second
	// histogramBuckets covers 4 us to about 71 minutes, with four buckets per doubling
	// of the latency.
	histogramBuckets = 120
)

// histogram counts latencies in buckets, four per doubling.
type histogram struct {
	counts [histogramBuckets]uint32
	total  uint32
}

func (h *histogram) add(latency time.Duration) {
	h.counts[bucketOf(latency)]++
	h.total++
}

// quantile returns the lower bound of the bucket that contains the quantile q.
func (h *histogram) quantile(q float64) time.Duration {
	rank := uint32(q * float64(h.total))
	cumulative := uint32(0)
	for i, n := range h.counts {
		cumulative += n
		if cumulative > rank {
			return lowerBound(i)
		}
	}
	return lowerBound(histogramBuckets - 1)
}

// bucketOf returns the bucket of a latency.
func bucketOf(latency time.Duration) int {
	us := uint64(max(4, latency.Microseconds()))
	octave := bits.Len64(us) - 1
	quarter := int(us>>(octave-2)) & 3
	return min(histogramBuckets-1, (octave-2)*4+quarter)
}

// lowerBound returns the lowest latency of a bucket.
func lowerBound(bucket int) time.Duration {
	octave := bucket/4 + 2
	return time.Duration(uint64(4+bucket%4)<<(octave-2)) * time.Microsecond
}

// latencyWindow holds the histograms of the current and the previous interval.
type latencyWindow struct {
	current  *histogram
	previous *histogram
	started  time.Duration
}

func (w *latencyWindow) add(latency, now time.Duration) {
	w.rotate(now)
	if w.current == nil {
		w.current = &histogram{}
		w.started = now
	}
	w.current.add(latency)
}

// rotate starts a new interval once the current one is over.
func (w *latencyWindow) rotate(now time.Duration) {
	if now-w.started < windowLength {
		return
	}
	w.previous, w.current = w.current, nil
	w.started = now
}
