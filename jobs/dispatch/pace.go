package dispatch

import (
	"cmp"
	"slices"
	"time"

	"geraniumwall/policy/interference"
)

const (
	// fullPace is the pace of an attempt that is not limited, in percent.
	fullPace = 100
	// unknownPace is the applied pace of an attempt that an earlier leader started.
	unknownPace = -1
	// maxTailRatio is the ratio of tail latency to latency objective of a serving task
	// above which fillers beside it are paused.
	maxTailRatio = 0.95
	// goalTailRatio is the ratio that placement and pauses aim for.
	goalTailRatio = 0.87
	// pauseLookahead is how far pauses predict the load: until the order that follows the
	// next report has taken effect.
	pauseLookahead = 700 * time.Millisecond
	// placementLookahead is how far placement predicts the load. It is longer, since moving
	// a filler that has started is costly.
	placementLookahead = 1500 * time.Millisecond
	// pauseSuspectsAfter is how long the tail may stay above maxTailRatio before fillers
	// with a low estimated effect are paused too, pauseAllAfter how long before all fillers
	// on the worker are paused.
	pauseSuspectsAfter = 1300 * time.Millisecond
	pauseAllAfter      = 2400 * time.Millisecond
	// pauseInterval is the minimum time between two pauses for a tail that the model does
	// not explain. It exceeds the window of the reported tail, so that the effect of the
	// previous pause is visible.
	pauseInterval = 700 * time.Millisecond
	// maxPauseDuration is how long a filler may be paused before it is moved.
	maxPauseDuration = 700 * time.Millisecond
	// disturbingEffect is the slowdown by one core from which on a filler counts as
	// disturbing a serving task.
	disturbingEffect = 0.02
	// harmlessEffect is the slowdown by one core up to which a filler counts as harmless.
	harmlessEffect = 0.008
	// minEffectOverlap is the overlap of the effects on two serving images above which they
	// count as disturbed by the same fillers.
	minEffectOverlap = 0.45
	// sampleInterval is the window over which workers measure the reported values. More
	// frequent samples would count the same measurement twice.
	sampleInterval = 500 * time.Millisecond
	// settleTime is how long the reported values may still reflect the state before a
	// filler ended or changed its pace, or before a serving task became ready.
	settleTime      = 600 * time.Millisecond
	milliCPUPerCore = 1000
)

// colocation is the state of interference control on a worker.
type colocation struct {
	// lastPauseAt is when fillers on the worker were last paused.
	lastPauseAt time.Duration
	// tailHighSince is the time since which a serving task exceeds maxTailRatio, 0 for none.
	tailHighSince time.Duration
	// sampledAt is when the model last observed the worker.
	sampledAt time.Duration
	// fillersChangedAt is when a filler on the worker last ended or changed its pace.
	fillersChangedAt time.Duration
}

// updateModel passes the tail latencies of the serving tasks on a worker and the CPU usage
// of the fillers beside them to the interference model.
func (d *Dispatcher) updateModel(w *worker) {
	if d.now-w.colocation.sampledAt < sampleInterval || d.now-w.colocation.fillersChangedAt < settleTime {
		return
	}
	w.colocation.sampledAt = d.now
	var beside []interference.Use
	serving := false
	for _, a := range w.attempts {
		switch {
		case a.phase != phaseStarted:
		case a.step.Filler:
			beside = append(beside, interference.Use{Filler: a.step.Image, Cores: a.usage / milliCPUPerCore})
			d.fillerImages[a.step.Image] = true
		case a.isServing():
			serving = true
		}
	}
	if !serving {
		return
	}
	for _, a := range w.attempts {
		if a.isServing() && a.usage > 0 && d.now-a.progressAt >= settleTime {
			d.model.Observe(interference.Reading{
				Image: a.step.Image, Group: a.task.Job, Tail: a.usage, Beside: beside, Measured: d.now,
			})
		}
	}
}

// isServing reports whether the attempt is a serving task that is running and ready.
func (a *attempt) isServing() bool {
	return a.step.LatencyTargetMS > 0 && a.phase == phaseStarted && a.percent >= fullPace
}

// effect returns the slowdown of a serving image by one core of a filler image.
func (d *Dispatcher) effect(serving, filler string) float64 {
	key := imagePair{serving, filler}
	if e, known := d.effectCache[key]; known {
		return e
	}
	e := d.model.Effect(serving, filler)
	d.effectCache[key] = e
	return e
}

// imagePair is a serving image and a filler image that may disturb it, or two serving
// images.
type imagePair struct{ serving, filler string }

// similarInterference reports whether mostly the same fillers disturb both serving images,
// by the effects at the start of the plan.
func (d *Dispatcher) similarInterference(image, other string) bool {
	if image == other {
		return true
	}
	key := imagePair{image, other}
	similar, known := d.planner.similar[key]
	if !known {
		similar = d.compareInterference(image, other)
		d.planner.similar[key] = similar
	}
	return similar
}

// compareInterference computes the result of similarInterference for two different images.
func (d *Dispatcher) compareInterference(image, other string) bool {
	common, combined := 0.0, 0.0
	for filler := range d.fillerImages {
		x, y := d.effect(image, filler), d.effect(other, filler)
		common += min(x, y)
		combined += max(x, y)
	}
	return combined > disturbingEffect && common > minEffectOverlap*combined
}

// tolerableSlowdown returns the slowdown at which the tail latency of a serving task
// reaches the ratio of its objective, at the higher of the loads now and after the
// lookahead.
func (d *Dispatcher) tolerableSlowdown(a *attempt, ratio float64, lookahead time.Duration) float64 {
	return d.tolerableByGroup(a.servingGroup(), ratio, lookahead)
}

// tolerableByGroup returns the result of tolerableSlowdown for each task of a group.
func (d *Dispatcher) tolerableByGroup(g servingGroup, ratio float64, lookahead time.Duration) float64 {
	load := max(d.model.Load(g.job, d.now), d.model.Load(g.job, d.now+lookahead))
	return d.model.Bearable(g.image, load, ratio*float64(g.latencyTargetMS))
}

// observedSlowdown returns the slowdown that the reported tail latency of a serving task
// implies.
func (d *Dispatcher) observedSlowdown(a *attempt) float64 {
	return d.model.Slowdown(a.step.Image, d.model.Load(a.task.Job, d.now), a.usage)
}

// declaredCores returns the CPU request of the task, in cores.
func (a *attempt) declaredCores() float64 { return float64(a.step.Request.MilliCPU) / milliCPUPerCore }

// updatePace updates the model with the latest report of a worker, pauses the fillers that
// disturb its serving tasks, and resumes or moves paused ones.
func (d *Dispatcher) updatePace(w *worker) {
	d.updateModel(w)
	if d.worstTailRatio(w) <= maxTailRatio {
		w.colocation.tailHighSince = 0
	} else if w.colocation.tailHighSince == 0 {
		w.colocation.tailHighSince = d.now
	}
	fillers := false
	for _, f := range w.attempts {
		if f.step.Filler {
			fillers = true
			d.enqueuePace(w, f)
		}
	}
	if !fillers {
		return
	}
	d.pauseFillers(w)
	d.resumeFillers(w)
}

// worstTailRatio returns the highest ratio of tail latency to objective on a worker.
func (d *Dispatcher) worstTailRatio(w *worker) float64 {
	worst := 0.0
	for _, a := range w.attempts {
		if a.isServing() {
			worst = max(worst, a.usage/float64(a.step.LatencyTargetMS))
		}
	}
	return worst
}

// pauseFillers pauses fillers beside serving tasks whose tail latency is too high, or will
// be before the next decision takes effect.
func (d *Dispatcher) pauseFillers(w *worker) {
	unexplained := w.colocation.tailHighSince != 0 && d.now-w.colocation.lastPauseAt >= pauseInterval
	paused := false
	for _, s := range w.attempts {
		if !s.isServing() {
			continue
		}
		slowdown, goal := d.predictedSlowdown(w, s), d.tolerableSlowdown(s, goalTailRatio, pauseLookahead)
		switch {
		case slowdown > d.tolerableSlowdown(s, maxTailRatio, pauseLookahead):
			paused = d.pauseByEffect(w, s, slowdown-goal, disturbingEffect) || paused
		case unexplained && s.usage > maxTailRatio*float64(s.step.LatencyTargetMS):
			paused = d.pauseByEffect(w, s, d.observedSlowdown(s)-goal, d.minEffectToPause(w)) || paused
		}
	}
	if paused {
		w.colocation.lastPauseAt = d.now
	}
}

// minEffectToPause returns the effect from which on a filler is paused for a high tail
// latency. It decreases the longer the latency stays high.
func (d *Dispatcher) minEffectToPause(w *worker) float64 {
	switch elapsed := d.now - w.colocation.tailHighSince; {
	case elapsed > pauseAllAfter:
		return 0
	case elapsed > pauseSuspectsAfter:
		return harmlessEffect
	}
	return disturbingEffect
}

// predictedSlowdown returns the slowdown of a serving task by the fillers that run beside
// it and are not paused.
func (d *Dispatcher) predictedSlowdown(w *worker, s *attempt) float64 {
	sum := 1.0
	for _, f := range w.attempts {
		if f.step.Filler && f.phase == phaseStarted && f.targetPace > 0 && !f.stopping {
			sum += d.effect(s.step.Image, f.step.Image) * f.expectedCores()
		}
	}
	return sum
}

// expectedCores returns the CPU usage of a filler in cores, or its CPU request as long as
// it reports none.
func (a *attempt) expectedCores() float64 {
	if a.usage > 0 {
		return a.usage / milliCPUPerCore
	}
	return a.declaredCores()
}

// pauseByEffect pauses fillers whose effect on a serving task is at least minEffect, in
// descending order of the slowdown that they cause, until the excess slowdown is removed.
// With a minEffect of 0 it pauses all of them. It reports whether it paused any.
func (d *Dispatcher) pauseByEffect(w *worker, s *attempt, excess, minEffect float64) bool {
	paused := false
	for _, f := range d.fillersByEffect(w, s) {
		effect := d.effect(s.step.Image, f.step.Image)
		if minEffect > 0 && excess <= 0 {
			break
		}
		if effect < minEffect {
			continue
		}
		excess -= effect * f.expectedCores()
		d.setTargetPace(w, f, 0)
		paused = true
	}
	return paused
}

// fillersByEffect returns the running fillers of a worker that are not paused, in
// descending order of the slowdown of a serving task that they cause.
func (d *Dispatcher) fillersByEffect(w *worker, s *attempt) []*attempt {
	var fillers []*attempt
	for _, f := range w.attempts {
		if f.step.Filler && f.phase == phaseStarted && !f.stopping && f.targetPace > 0 {
			fillers = append(fillers, f)
		}
	}
	slices.SortFunc(fillers, func(x, y *attempt) int {
		return cmp.Or(
			cmp.Compare(d.effect(s.step.Image, y.step.Image)*y.expectedCores(), d.effect(s.step.Image, x.step.Image)*x.expectedCores()),
			cmp.Compare(x.task.String(), y.task.String()),
		)
	})
	return fillers
}

// resumeFillers resumes paused fillers if the serving tasks tolerate it, and moves fillers
// that have been paused for too long.
func (d *Dispatcher) resumeFillers(w *worker) {
	settled := w.colocation.tailHighSince == 0 && d.now-w.colocation.lastPauseAt >= pauseInterval
	for _, f := range w.attempts {
		if !f.step.Filler || f.phase != phaseStarted || f.stopping || f.targetPace > 0 {
			continue
		}
		switch {
		case settled && (d.maxEffect(w, f) < harmlessEffect || d.canResume(w, f)):
			d.setTargetPace(w, f, fullPace)
		case d.now-f.pausedAt > maxPauseDuration && !d.allEvacuated():
			d.addLogEvent("moving paused task", w, f, f.step.Image)
			d.avoid(f.task, w.Worker)
			d.requestStop(f)
		}
	}
}

// maxEffect returns the largest effect of a filler on a serving task of the worker.
func (d *Dispatcher) maxEffect(w *worker, f *attempt) float64 {
	worst := 0.0
	for _, s := range w.attempts {
		if s.step.LatencyTargetMS > 0 {
			worst = max(worst, d.effect(s.step.Image, f.step.Image))
		}
	}
	return worst
}

// canResume reports whether all serving tasks of a worker would stay below goalTailRatio
// with a paused filler running again.
func (d *Dispatcher) canResume(w *worker, f *attempt) bool {
	for _, s := range w.attempts {
		if !s.isServing() {
			continue
		}
		slowdown := d.predictedSlowdown(w, s) + d.effect(s.step.Image, f.step.Image)*f.declaredCores()
		if slowdown > d.tolerableSlowdown(s, goalTailRatio, placementLookahead) {
			return false
		}
	}
	return true
}

func (d *Dispatcher) setTargetPace(w *worker, f *attempt, percent int) {
	if percent == 0 && f.targetPace > 0 {
		f.pausedAt = d.now
	}
	f.targetPace = percent
	d.enqueuePace(w, f)
}

// enqueuePace sends a filler's target pace to its worker unless a pace order is in flight.
func (d *Dispatcher) enqueuePace(w *worker, f *attempt) {
	if f.paceInFlight || f.appliedPace == f.targetPace || f.stopping || f.phase != phaseStarted {
		return
	}
	f.paceInFlight = true
	d.enqueueOrder(w, Order{Pace: &Pace{f.task, f.number, f.targetPace}})
}
