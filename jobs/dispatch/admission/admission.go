// Package admission predicts whether a job can end before its result is worthless. It
// compares the work that waits ahead of the job with the measured rate at which the fleet
// takes up such work. It does no I/O and reads no clock.
//
// The package handles the load of callers who submit more than the fleet can do, and
// clients that return after a refusal.
package admission

import (
	"math"
	"math/bits"
	"time"
)

const (
	// rateDecay is the time constant of the measured rate. It spans several jobs of the
	// shortest kind, whose tasks take about half a second.
	rateDecay = 5 * time.Second
	// minMeasured is the time of measured wait without which nothing is refused.
	minMeasured = time.Second
	// minRetryAfter and maxRetryAfter bound the time after which a client may return.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// maxClasses bounds the number of classes. A class without work for classTimeout is
	// dropped.
	maxClasses   = 512
	classTimeout = time.Minute
)

// Class is the work of one queue with tasks of similar size.
type Class struct {
	Queue string
	// Size is the power of two above the CPU of the largest task, in millicores.
	Size int
}

// ClassOf returns the class of a job with the given CPU of its largest task in millicores.
func ClassOf(queue string, milliCPU int64) Class {
	return Class{queue, bits.Len64(uint64(max(0, milliCPU)))} //nolint:gosec // not negative
}

// Work is declared CPU time, in millicore-milliseconds.
type Work float64

// WorkOf returns the work of a number of tasks. A task without a declared size or duration
// counts as the smallest one.
func WorkOf(tasks int, milliCPU, estimateMS int64) Work {
	return Work(float64(tasks) * float64(max(1, milliCPU)) * float64(max(1, estimateMS)))
}

// Load is the state of a class at an observation.
type Load struct {
	// OnTime is the work that waits to start and can still meet its objective, Late that
	// which can't and whose result still has a value. Late work starts after other work.
	OnTime, Late Work
	// Backlogged is set if a job has waited for room.
	Backlogged bool
}

// Controller decides about submissions.
type Controller struct {
	classes    map[Class]*class
	observedAt time.Duration
}

// class measures the rate of one class.
type class struct {
	load Load
	// started is the work that has started since the last observation, startedLate the late
	// part of it, accepted the work that was accepted since.
	started, startedLate, accepted Work
	// work is the decayed sum of the work that started while the class was backlogged, late
	// the late part of it, time the decayed sum of that time in seconds.
	work, late, time float64
	// returning is the refused work whose clients were told to return and have not had the
	// time to do so.
	returning Work
	activeAt  time.Duration
}

// New returns a controller that admits everything until it has measured rates.
func New(now time.Duration) *Controller {
	return &Controller{classes: map[Class]*class{}, observedAt: now}
}

// at returns the state of a class, nil if there are too many.
func (c *Controller) at(key Class, now time.Duration) *class {
	s := c.classes[key]
	if s == nil {
		if len(c.classes) >= maxClasses {
			return nil
		}
		s = &class{}
		c.classes[key] = s
	}
	s.activeAt = now
	return s
}

// Started counts work that starts for the first time. late is set if it can't meet its
// objective any more.
func (c *Controller) Started(key Class, work Work, late bool, now time.Duration) {
	s := c.at(key, now)
	if s == nil {
		return
	}
	s.started += work
	if late {
		s.startedLate += work
	}
}

// Observe records the present state of the classes and updates the rates. Classes that
// loads lacks have no waiting work.
func (c *Controller) Observe(now time.Duration, loads map[Class]Load) {
	elapsed := (now - c.observedAt).Seconds()
	c.observedAt = now
	for key := range loads {
		c.at(key, now)
	}
	decay := math.Exp(-elapsed / rateDecay.Seconds())
	for key, s := range c.classes {
		if now-s.activeAt >= classTimeout {
			delete(c.classes, key)
			continue
		}
		s.work, s.late, s.time = s.work*decay, s.late*decay, s.time*decay
		// The interval counts if jobs waited at its start and at its end.
		if s.load.Backlogged && loads[key].Backlogged {
			s.work += float64(s.started)
			s.late += float64(s.startedLate)
			s.time += elapsed
		}
		s.returning = max(0, s.returning-Work(s.rate()*elapsed))
		s.load, s.started, s.startedLate, s.accepted = loads[key], 0, 0, 0
	}
}

// rate returns the work that starts within a second, 0 if it is not known.
func (s *class) rate() float64 {
	if s.time < minMeasured.Seconds() {
		return 0
	}
	return s.work / s.time
}

// Job is a submission.
type Job struct {
	Class Class
	Work  Work
	// Duration is the time that the job takes at least once it has started, Objective the
	// time in which it should end, Window the time until its result is worthless.
	Duration, Objective, Window time.Duration
}

// Decision is the result for a submission, with its inputs.
type Decision struct {
	Admitted bool
	// Wait is the predicted time until the job has started, if it is in time to meet its
	// objective, and LateWait that if it is not. Ahead is the work that waits before it, Rate
	// the work that starts within a second.
	Wait, LateWait time.Duration
	Ahead          Work
	Rate           float64
	// Measured is the decayed time over which the rate was measured, Window the time of the
	// job until its result is worthless.
	Measured, Window time.Duration
	// RetryAfter is the time after which the client may return.
	RetryAfter time.Duration
}

// Decide predicts whether a job can end before its result is worthless: because it meets its
// objective, or because late work also starts soon enough. hasRoom reports
// whether the fleet has free capacity for its tasks; it is called before a refusal.
func (c *Controller) Decide(now time.Duration, j Job, hasRoom func() bool) Decision {
	s := c.at(j.Class, now)
	if s == nil {
		return Decision{Admitted: true}
	}
	d := Decision{Admitted: true, Ahead: s.load.OnTime + s.accepted, Rate: s.rate(), Measured: duration(s.time), Window: j.Window}
	if s.load.Backlogged && s.time >= minMeasured.Seconds() {
		d.Wait = duration(float64(d.Ahead+j.Work) / d.Rate)
		d.LateWait = j.Objective + duration(float64(s.load.Late+j.Work)/(s.late/s.time))
		d.Admitted = d.Wait <= j.Objective-j.Duration || d.LateWait <= j.Window-j.Duration || hasRoom()
	}
	if d.Admitted {
		s.accepted += j.Work
		return d
	}
	excess := d.Wait - max(0, j.Objective-j.Duration)
	d.RetryAfter = min(maxRetryAfter, max(minRetryAfter, excess+duration(float64(s.returning)/d.Rate)))
	if d.RetryAfter < maxRetryAfter {
		s.returning += j.Work
	}
	return d
}

// duration returns a number of seconds as a duration, at most an hour.
func duration(seconds float64) time.Duration {
	if !(seconds < time.Hour.Seconds()) {
		return time.Hour
	}
	return time.Duration(seconds * float64(time.Second))
}

// Classes returns the number of classes that are measured.
func (c *Controller) Classes() int { return len(c.classes) }
