package dispatch

import (
	"cmp"
	"slices"
	"time"

	"geraniumwall/policy/interference"
)

const (
	fullPace = 100
	// unknownPace is the pace of an attempt that an earlier leader has started.
	unknownPace = -1
	// maxTailRatio is the share of the latency objective of a serving task above which
	// fillers beside it are paused.
	maxTailRatio = 0.95
	// goalTailRatio is the share that placement and pacing aim for.
	goalTailRatio = 0.87
	// pauseLookahead is how far pauses look ahead: until the next report and the order that
	// follows it have taken effect.
	pauseLookahead = 700 * time.Millisecond
	// placementLookahead is how far placement looks ahead, since a filler that has started is
	// moved only at a cost.
	placementLookahead = 1500 * time.Millisecond
	// pauseSuspectsAfter is how long the tail may stay high before fillers of which little
	// is known stand still too, and tailUnexplained before all of a worker do.
	pauseSuspectsAfter = 1300 * time.Millisecond
	pauseAllAfter      = 2400 * time.Millisecond
	// pauseInterval exceeds the window of the reported tail, so that a pause for a tail
	// which the model does not explain sees the effect of the one before.
	pauseInterval = 700 * time.Millisecond
	// maxPauseDuration is how long a filler may stand still before it is moved.
	maxPauseDuration = 700 * time.Millisecond
	// disturbingEffect is the slowdown by one core of a filler from which on it counts as
	// disturbing a serving task.
	disturbingEffect = 0.02
	// harmlessEffect is the effect up to which a filler counts as harmless.
	harmlessEffect = 0.008
	// minEffectOverlap is the common part of their effects from which on two serving images
	// count as disturbed by the same fillers.
	minEffectOverlap = 0.45
	// sampleInterval is the window of the reported figures. More samples would count
	// the same window again.
	sampleInterval = 500 * time.Millisecond
	// settleTime is how long after the end or the pause of a filler and the begin of a
	// serving task the reported figures may still be due to what was before.
	settleTime      = 600 * time.Millisecond
	milliCPUPerCore = 1000
)

// colocation is what a worker's tasks do to each other.
type colocation struct {
	lastPauseAt time.Duration
	// tailHighSince is since when a serving task is above tailHigh, 0 for none.
	tailHighSince time.Duration
	// sampledAt is when the model was told of the worker last.
	sampledAt time.Duration
	// fillersChangedAt is when a filler on the worker ended or changed its pace last.
	fillersChangedAt time.Duration
}

// updateModel tells the model the tails of the serving tasks on a worker and what the
// fillers beside them use.
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

// isServing reports whether the attempt is a serving task at work.
func (a *attempt) isServing() bool {
	return a.step.TailTarget > 0 && a.phase == phaseStarted && a.percent >= fullPace
}

// effect is the slowdown of a serving image by one core of a filler image.
func (d *Dispatcher) effect(serving, filler string) float64 {
	key := imagePair{serving, filler}
	if e, known := d.effectCache[key]; known {
		return e
	}
	e := d.model.Effect(serving, filler)
	d.effectCache[key] = e
	return e
}

type imagePair struct{ serving, filler string }

// similarInterference reports whether much the same fillers disturb both serving images.
func (d *Dispatcher) similarInterference(one, other string) bool {
	if one == other {
		return true
	}
	common, combined := 0.0, 0.0
	for filler := range d.fillerImages {
		x, y := d.effect(one, filler), d.effect(other, filler)
		common += min(x, y)
		combined += max(x, y)
	}
	return combined > disturbingEffect && common > minEffectOverlap*combined
}

// tolerableSlowdown is the slowdown with which a serving task reaches a share of its
// objective now or at the end of the lead, whichever is less.
func (d *Dispatcher) tolerableSlowdown(a *attempt, ratio float64, lookahead time.Duration) float64 {
	load := max(d.model.Load(a.task.Job, d.now), d.model.Load(a.task.Job, d.now+lookahead))
	return d.model.Bearable(a.step.Image, load, ratio*float64(a.step.TailTarget))
}

// observedSlowdown is the slowdown that the reported tail of a serving task shows.
func (d *Dispatcher) observedSlowdown(a *attempt) float64 {
	return d.model.Slowdown(a.step.Image, d.model.Load(a.task.Job, d.now), a.usage)
}

// headroom is the further slowdown that a serving task bears until it reaches
// tailAim, if all fillers beside it work at full pace.
func (d *Dispatcher) headroom(w *worker, a *attempt) float64 {
	left := d.tolerableSlowdown(a, goalTailRatio, placementLookahead) - 1
	for _, f := range w.attempts {
		if f.step.Filler {
			left -= d.effect(a.step.Image, f.step.Image) * f.declaredCores()
		}
	}
	return left
}

// declaredCores is the processor time that a task asks for, in cores.
func (a *attempt) declaredCores() float64 { return float64(a.step.Request.MilliCPU) / milliCPUPerCore }

// updatePace follows the serving tasks of a worker, pauses the fillers that disturb
// them and moves those that would stand still for long.
func (d *Dispatcher) updatePace(w *worker) {
	d.updateModel(w)
	if d.worstTailRatio(w) <= maxTailRatio {
		w.colocation.tailHighSince = 0
	} else if w.colocation.tailHighSince == 0 {
		w.colocation.tailHighSince = d.now
	}
	for _, f := range w.attempts {
		if f.step.Filler {
			d.enqueuePace(w, f)
		}
	}
	d.pauseFillers(w)
	d.resumeFillers(w)
}

// worstTailRatio is the highest ratio of tail latency to objective on a worker.
func (d *Dispatcher) worstTailRatio(w *worker) float64 {
	worst := 0.0
	for _, a := range w.attempts {
		if a.isServing() {
			worst = max(worst, a.usage/float64(a.step.TailTarget))
		}
	}
	return worst
}

// pauseFillers pauses fillers beside the serving tasks that are too slow, or will be
// before the next decision takes effect.
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
		case unexplained && s.usage > maxTailRatio*float64(s.step.TailTarget):
			paused = d.pauseByEffect(w, s, d.observedSlowdown(s)-goal, d.minEffectToPause(w)) || paused
		}
	}
	if paused {
		w.colocation.lastPauseAt = d.now
	}
}

// minEffectToPause is the effect from which on a filler is paused for a tail that is
// high: the longer it stays so, the less must be known of the filler.
func (d *Dispatcher) minEffectToPause(w *worker) float64 {
	switch elapsed := d.now - w.colocation.tailHighSince; {
	case elapsed > pauseAllAfter:
		return 0
	case elapsed > pauseSuspectsAfter:
		return harmlessEffect
	}
	return disturbingEffect
}

// predictedSlowdown is the predictedSlowdown of a serving task by the fillers at work beside it.
func (d *Dispatcher) predictedSlowdown(w *worker, s *attempt) float64 {
	sum := 1.0
	for _, f := range w.attempts {
		if f.step.Filler && f.phase == phaseStarted && f.targetPace > 0 && !f.stopping {
			sum += d.effect(s.step.Image, f.step.Image) * f.expectedCores()
		}
	}
	return sum
}

// expectedCores is the processor time that a filler at work uses, or will use once it has
// begun.
func (a *attempt) expectedCores() float64 {
	if a.usage > 0 {
		return a.usage / milliCPUPerCore
	}
	return a.declaredCores()
}

// pauseByEffect pauses fillers with at least an effect by the core on a serving task,
// those that slow it most first, until an excess of slowdown is gone. With a least of
// 0 all are paused. It reports whether any is.
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

// fillersByEffect lists the fillers at work on a worker by their effect on a serving
// task, the largest first.
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

// resumeFillers lets paused fillers work again where the serving tasks bear it, and moves
// one that has stood still for too long.
func (d *Dispatcher) resumeFillers(w *worker) {
	settled := w.colocation.tailHighSince == 0 && d.now-w.colocation.lastPauseAt >= pauseInterval
	for _, f := range w.attempts {
		if !f.step.Filler || f.phase != phaseStarted || f.stopping || f.targetPace > 0 {
			continue
		}
		switch {
		case settled && (d.maxEffect(w, f) < harmlessEffect || d.canResume(w, f)):
			d.setTargetPace(w, f, fullPace)
		case d.now-f.pausedAt > maxPauseDuration:
			d.addNote("paused task is moved", w, f, f.step.Image)
			d.avoid(f.task, w.Worker)
			f.stopping = true
		}
	}
}

// maxEffect is the largest effect of a filler on a serving task of the worker.
func (d *Dispatcher) maxEffect(w *worker, f *attempt) float64 {
	worst := 0.0
	for _, s := range w.attempts {
		if s.step.TailTarget > 0 {
			worst = max(worst, d.effect(s.step.Image, f.step.Image))
		}
	}
	return worst
}

// canResume reports whether all serving tasks of a worker would stay below tailAim
// with a paused filler at work.
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

// enqueuePace orders the pace of a filler unless an order is on its way.
func (d *Dispatcher) enqueuePace(w *worker, f *attempt) {
	if f.paceInFlight || f.appliedPace == f.targetPace || f.stopping || f.phase != phaseStarted {
		return
	}
	f.paceInFlight = true
	d.enqueueOrder(w, Order{Pace: &Pace{f.task, f.number, f.targetPace}})
}
