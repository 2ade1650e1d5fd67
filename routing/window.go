package routing

import (
	"math/bits"
	"time"
)

const (
	// windowLength is the time over which the latency of a service is summarised.
	windowLength = 2 * time.Second
	// windowBuckets covers 1 us to about 17 minutes in quarter octaves.
	windowBuckets = 120
)

// counts is a histogram of latencies in quarter octaves of microseconds.
type counts struct {
	bucket [windowBuckets]uint32
	total  uint32
}

func (c *counts) add(latency time.Duration) {
	c.bucket[bucketOf(latency)]++
	c.total++
}

// quantile returns the lower bound of the bucket that holds the quantile q.
func (c *counts) quantile(q float64) time.Duration {
	rank := uint32(q * float64(c.total))
	seen := uint32(0)
	for i, n := range c.bucket {
		seen += n
		if seen > rank {
			return lowerBound(i)
		}
	}
	return lowerBound(windowBuckets - 1)
}

func bucketOf(latency time.Duration) int {
	us := uint64(max(4, latency.Microseconds()))
	octave := bits.Len64(us) - 1
	quarter := int(us>>(octave-2)) & 3
	return min(windowBuckets-1, (octave-2)*4+quarter)
}

func lowerBound(bucket int) time.Duration {
	octave := bucket/4 + 2
	return time.Duration(uint64(4+bucket%4)<<(octave-2)) * time.Microsecond
}

// window keeps the histogram of the current interval and of the last complete one.
type window struct {
	filling  *counts
	complete *counts
	started  time.Duration
}

func (w *window) add(latency, now time.Duration) {
	w.rotate(now)
	if w.filling == nil {
		w.filling = &counts{}
		w.started = now
	}
	w.filling.add(latency)
}

func (w *window) rotate(now time.Duration) {
	if now-w.started < windowLength {
		return
	}
	w.complete, w.filling = w.filling, nil
	w.started = now
}
