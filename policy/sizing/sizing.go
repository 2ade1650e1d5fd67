// Package sizing corrects declared sizes and run times of jobs from usage.
package sizing

import (
	"time"

	"github.com/beorn7/perks/quantile"

	"geraniumwall/workerapi"
)

// Quantiles that the corrections hold, and the margin above them. Memory cannot
// be throttled, so its quantile is higher.
const (
	CPUQuantile    = 0.95
	MemoryQuantile = 0.99
	TimeQuantile   = 0.9
	sizeMargin     = 1.1
)

// Numbers of measurements before a correction is trusted. Raising a size is safe
// early; lowering one is not.
const (
	minToRaise = 3
	minToLower = 20
	// generation is the number of measurements after which older ones are dropped.
	generation = 500
	// smallestShare is the least part of the declared processors that is reserved.
	smallestShare = 0.25
)

// sketch estimates one quantile over the last one to two generations.
type sketch struct {
	target        float64
	current, last *quantile.Stream
}

func newSketch(target float64) sketch {
	return sketch{target: target, current: quantile.NewTargeted(map[float64]float64{target: (1 - target) / 4})}
}

func (s *sketch) add(v float64) {
	if s.current.Count() >= generation {
		s.last = s.current
		s.current = newSketch(s.target).current
	}
	s.current.Insert(v)
}

func (s *sketch) count() int {
	n := s.current.Count()
	if s.last != nil {
		n += s.last.Count()
	}
	return n
}

// value is the larger of the quantiles of the two generations.
func (s *sketch) value() float64 {
	v := 0.0
	if s.current.Count() > 0 {
		v = s.current.Query(s.target)
	}
	if s.last != nil {
		v = max(v, s.last.Query(s.target))
	}
	return v
}

// job is what is known about the tasks of one job. Corrections are computed when
// measurements arrive, so that reading them is cheap.
type job struct {
	cpu, memory, seconds sketch
	// quantiles are as measured, need has the margin and is rounded up.
	quantiles   workerapi.Resources
	need        workerapi.Resources
	cpuCount    int
	memoryCount int
	expected    time.Duration
}

// Estimator corrects the sizes and run times of all jobs.
type Estimator struct {
	jobs map[string]*job
	// lowers is false when reservations must not be below the declared size.
	lowers bool
}

// NewEstimator returns an estimator without measurements. lowers allows
// reservations of processors below the declared size.
func NewEstimator(lowers bool) *Estimator {
	return &Estimator{jobs: map[string]*job{}, lowers: lowers}
}

// NeverLower keeps all reservations at the declared size or above.
func (e *Estimator) NeverLower() { e.lowers = false }

func (e *Estimator) job(name string) *job {
	j := e.jobs[name]
	if j == nil {
		j = &job{cpu: newSketch(CPUQuantile), memory: newSketch(MemoryQuantile), seconds: newSketch(TimeQuantile)}
		e.jobs[name] = j
	}
	return j
}

// ObservePeak takes the peak use of one task during its run, unthrottled.
func (e *Estimator) ObservePeak(name string, peak workerapi.Resources) {
	j := e.job(name)
	if peak.CPUMillis > 0 {
		j.cpu.add(float64(peak.CPUMillis))
	}
	if peak.MemoryMB > 0 {
		j.memory.add(float64(peak.MemoryMB))
	}
	j.cpuCount, j.memoryCount = j.cpu.count(), j.memory.count()
	j.quantiles = workerapi.Resources{CPUMillis: int64(j.cpu.value()), MemoryMB: int64(j.memory.value())}
	j.need = workerapi.Resources{
		CPUMillis: roundUp(j.cpu.value()*sizeMargin, cpuStep),
		MemoryMB:  roundUp(j.memory.value()*sizeMargin, memoryStep),
	}
}

// Steps of corrected sizes. Equal sizes fit where an earlier task has ended,
// while sizes that move with every measurement leave gaps.
const (
	cpuStep    = 125
	memoryStep = 256
)

func roundUp(v float64, step int64) int64 {
	return (int64(v) + step - 1) / step * step
}

// ObserveRun takes the run time of a task that is done.
func (e *Estimator) ObserveRun(name string, run time.Duration) {
	j := e.job(name)
	j.seconds.add(run.Seconds())
	if j.seconds.count() >= minToRaise {
		j.expected = time.Duration(j.seconds.value() * float64(time.Second))
	}
}

// Size is what to reserve for a task of the job: memory is never below the
// declared size, processors never below a quarter of it. A declared size that
// covers the quantile stands, without a margin on top.
func (e *Estimator) Size(name string, declared workerapi.Resources) workerapi.Resources {
	j := e.jobs[name]
	if j == nil {
		return declared
	}
	size := declared
	if j.memoryCount >= minToRaise {
		size.MemoryMB = raise(declared.MemoryMB, j.quantiles.MemoryMB, j.need.MemoryMB)
	}
	if j.cpuCount >= minToRaise {
		size.CPUMillis = raise(declared.CPUMillis, j.quantiles.CPUMillis, j.need.CPUMillis)
	}
	if e.lowers && j.cpuCount >= minToLower {
		size.CPUMillis = min(size.CPUMillis, max(j.need.CPUMillis, int64(smallestShare*float64(declared.CPUMillis))))
	}
	return size
}

// raise returns the need if the quantile is over the declared amount.
func raise(declared, quantile, need int64) int64 {
	if quantile > declared {
		return need
	}
	return declared
}

// RunTime is the corrected run time, or the declared one while little is known.
func (e *Estimator) RunTime(name string, declared time.Duration) time.Duration {
	if j := e.jobs[name]; j != nil && j.expected > 0 {
		return j.expected
	}
	return declared
}
