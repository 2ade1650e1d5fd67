// Package sizing corrects the declared sizes and run times of jobs from observed
// usage.
package sizing

import (
	"time"

	"github.com/beorn7/perks/quantile"

	"geraniumwall/workerapi"
)

// Quantiles of the observed usage that corrected sizes cover, and the margin added
// to them. The quantile of memory is higher, since memory can't be throttled.
const (
	CPUQuantile     = 0.95
	MemoryQuantile  = 0.99
	RunTimeQuantile = 0.9
	sizeMargin      = 1.1
)

// Numbers of samples required for a correction. Raising a size on few samples is
// safe; lowering it is not.
const (
	minSamplesToRaise = 3
	minSamplesToLower = 20
	// generationSamples is the number of samples in a generation. Samples before the
	// previous generation are dropped.
	generationSamples = 500
	// minCPUShare is the smallest share of the declared CPU that is reserved.
	minCPUShare = 0.25
)

// sketch estimates a quantile over the current and the previous generation of
// samples.
type sketch struct {
	target            float64
	current, previous *quantile.Stream
}

func newSketch(target float64) sketch {
	return sketch{target: target, current: quantile.NewTargeted(map[float64]float64{target: (1 - target) / 4})}
}

func (s *sketch) add(v float64) {
	if s.current.Count() >= generationSamples {
		s.previous = s.current
		s.current = newSketch(s.target).current
	}
	s.current.Insert(v)
}

func (s *sketch) count() int {
	n := s.current.Count()
	if s.previous != nil {
		n += s.previous.Count()
	}
	return n
}

// value returns the larger quantile of the two generations.
func (s *sketch) value() float64 {
	v := 0.0
	if s.current.Count() > 0 {
		v = s.current.Query(s.target)
	}
	if s.previous != nil {
		v = max(v, s.previous.Query(s.target))
	}
	return v
}

// job holds the samples and corrections of one job. Corrections are computed when a
// sample arrives, so that reading them is cheap.
type job struct {
	cpu, memory, runSeconds sketch
	// measured holds the observed quantiles, padded the same with the margin added and
	// rounded up to a step.
	measured      workerapi.Resources
	padded        workerapi.Resources
	cpuSamples    int
	memorySamples int
	runTime       time.Duration
}

// Estimator estimates the sizes and run times of the tasks of all jobs.
type Estimator struct {
	jobs map[string]*job
	// mayLower permits CPU reservations below the declared size.
	mayLower bool
}

// NewEstimator returns an estimator without samples. mayLower permits CPU
// reservations below the declared size.
func NewEstimator(mayLower bool) *Estimator {
	return &Estimator{jobs: map[string]*job{}, mayLower: mayLower}
}

// NeverLower keeps all reservations at or above the declared size from now on.
func (e *Estimator) NeverLower() { e.mayLower = false }

func (e *Estimator) job(name string) *job {
	j := e.jobs[name]
	if j == nil {
		j = &job{cpu: newSketch(CPUQuantile), memory: newSketch(MemoryQuantile), runSeconds: newSketch(RunTimeQuantile)}
		e.jobs[name] = j
	}
	return j
}

// ObservePeak records the peak usage of a task during its run, measured while the
// task was not throttled.
func (e *Estimator) ObservePeak(name string, peak workerapi.Resources) {
	j := e.job(name)
	if peak.CPUMillis > 0 {
		j.cpu.add(float64(peak.CPUMillis))
	}
	if peak.MemoryMB > 0 {
		j.memory.add(float64(peak.MemoryMB))
	}
	j.cpuSamples, j.memorySamples = j.cpu.count(), j.memory.count()
	j.measured = workerapi.Resources{CPUMillis: int64(j.cpu.value()), MemoryMB: int64(j.memory.value())}
	j.padded = workerapi.Resources{
		CPUMillis: roundUp(j.cpu.value()*sizeMargin, cpuStepMillis),
		MemoryMB:  roundUp(j.memory.value()*sizeMargin, memoryStepMB),
	}
}

// Steps to which corrected sizes are rounded up. A task then fits into the capacity
// that an equal one released, while sizes that change with every sample would leave
// gaps.
const (
	cpuStepMillis = 125
	memoryStepMB  = 256
)

// roundUp truncates v to an integer and rounds it up to a multiple of step.
func roundUp(v float64, step int64) int64 {
	return (int64(v) + step - 1) / step * step
}

// ObserveRun records the run time of a completed task.
func (e *Estimator) ObserveRun(name string, run time.Duration) {
	j := e.job(name)
	j.runSeconds.add(run.Seconds())
	if j.runSeconds.count() >= minSamplesToRaise {
		j.runTime = time.Duration(j.runSeconds.value() * float64(time.Second))
	}
}

// Size returns the size to reserve for a task of the job. Memory is never below the
// declared size, CPU never below a quarter of it. A declared size that covers the
// observed quantile is not raised, not even by the margin.
func (e *Estimator) Size(name string, declared workerapi.Resources) workerapi.Resources {
	j := e.jobs[name]
	if j == nil {
		return declared
	}
	size := declared
	if j.memorySamples >= minSamplesToRaise {
		size.MemoryMB = raiseIfExceeded(declared.MemoryMB, j.measured.MemoryMB, j.padded.MemoryMB)
	}
	if j.cpuSamples >= minSamplesToRaise {
		size.CPUMillis = raiseIfExceeded(declared.CPUMillis, j.measured.CPUMillis, j.padded.CPUMillis)
	}
	if e.mayLower && j.cpuSamples >= minSamplesToLower {
		size.CPUMillis = min(size.CPUMillis, max(j.padded.CPUMillis, int64(minCPUShare*float64(declared.CPUMillis))))
	}
	return size
}

// raiseIfExceeded returns padded if measured exceeds the declared amount, and the
// declared amount otherwise.
func raiseIfExceeded(declared, measured, padded int64) int64 {
	if measured > declared {
		return padded
	}
	return declared
}

// RunTime returns the corrected run time, or the declared one while there are too
// few samples.
func (e *Estimator) RunTime(name string, declared time.Duration) time.Duration {
	if j := e.jobs[name]; j != nil && j.runTime > 0 {
		return j.runTime
	}
	return declared
}
