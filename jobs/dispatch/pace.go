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
	// tailHigh is the share of the latency objective of a serving task above which
	// fillers beside it are paused.
	tailHigh = 0.95
	// tailAim is the share that placement and pacing aim for.
	tailAim = 0.87
	// paceLead is how far pauses look ahead: until the next report and the order that
	// follows it have taken effect.
	paceLead = 700 * time.Millisecond
	// placeLead is how far placement looks ahead, since a filler that has started is
	// moved only at a cost.
	placeLead = 1500 * time.Millisecond
	// tailPersists is how long the tail may stay high before fillers of which little
	// is known stand still too, and tailUnexplained before all of a worker do.
	tailPersists    = 1300 * time.Millisecond
	tailUnexplained = 2400 * time.Millisecond
	// paceInterval exceeds the window of the reported tail, so that a pause for a tail
	// which the model does not explain sees the effect of the one before.
	paceInterval = 700 * time.Millisecond
	// pausedTooLong is how long a filler may stand still before it is moved.
	pausedTooLong = 700 * time.Millisecond
	// knownEffect is the slowdown by one core of a filler from which on it counts as
	// disturbing a serving task.
	knownEffect = 0.02
	// possibleEffect is the effect up to which a filler counts as harmless.
	possibleEffect = 0.008
	// alikeShare is the common part of their effects from which on two serving images
	// count as disturbed by the same fillers.
	alikeShare = 0.45
	// sampleInterval is the window of the reported figures. More samples would count
	// the same window again.
	sampleInterval = 500 * time.Millisecond
	// settleTime is how long after the end or the pause of a filler and the begin of a
	// serving task the reported figures may still be due to what was before.
	settleTime = 600 * time.Millisecond
	milliCores = 1000
)

// sharing is what a worker's tasks do to each other.
type sharing struct {
	decidedAt time.Duration
	// highSince is since when a serving task is above tailHigh, 0 for none.
	highSince time.Duration
	// sampledAt is when the model was told of the worker last.
	sampledAt time.Duration
	// relievedAt is when a filler on the worker ended or changed its pace last.
	relievedAt time.Duration
}

// learn tells the model the tails of the serving tasks on a worker and what the
// fillers beside them use.
func (d *Dispatcher) learn(w *worker) {
	if d.now-w.sharing.sampledAt < sampleInterval || d.now-w.sharing.relievedAt < settleTime {
		return
	}
	w.sharing.sampledAt = d.now
	var beside []interference.Use
	serving := false
	for _, a := range w.attempts {
		switch {
		case a.phase != phaseStarted:
		case a.step.Filler:
			beside = append(beside, interference.Use{Filler: a.step.Image, Cores: a.usage / milliCores})
			d.fillerImages[a.step.Image] = true
		case a.serves():
			serving = true
		}
	}
	if !serving {
		return
	}
	for _, a := range w.attempts {
		if a.serves() && a.usage > 0 && d.now-a.progressAt >= settleTime {
			d.model.Observe(interference.Reading{
				Image: a.step.Image, Group: a.task.Job, Tail: a.usage, Beside: beside, Measured: d.now,
			})
		}
	}
}

// serves reports whether the attempt is a serving task at work.
func (a *attempt) serves() bool {
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
	common, either := 0.0, 0.0
	for filler := range d.fillerImages {
		x, y := d.effect(one, filler), d.effect(other, filler)
		common += min(x, y)
		either += max(x, y)
	}
	return either > knownEffect && common > alikeShare*either
}

// bearable is the slowdown with which a serving task reaches a share of its
// objective now or at the end of the lead, whichever is less.
func (d *Dispatcher) bearable(a *attempt, share float64, lead time.Duration) float64 {
	l := max(d.model.Load(a.task.Job, d.now), d.model.Load(a.task.Job, d.now+lead))
	return d.model.Bearable(a.step.Image, l, share*float64(a.step.TailTarget))
}

// shown is the slowdown that the reported tail of a serving task shows.
func (d *Dispatcher) shown(a *attempt) float64 {
	return d.model.Slowdown(a.step.Image, d.model.Load(a.task.Job, d.now), a.usage)
}

// headroom is the further slowdown that a serving task bears until it reaches
// tailAim, if all fillers beside it work at full pace.
func (d *Dispatcher) headroom(w *worker, a *attempt) float64 {
	room := d.bearable(a, tailAim, placeLead) - 1
	for _, f := range w.attempts {
		if f.step.Filler {
			room -= d.effect(a.step.Image, f.step.Image) * f.declaredCores()
		}
	}
	return room
}

// declaredCores is the processor time that a task asks for, in cores.
func (a *attempt) declaredCores() float64 { return float64(a.step.Request.MilliCPU) / milliCores }

// updatePace follows the serving tasks of a worker, pauses the fillers that disturb
// them and moves those that would stand still for long.
func (d *Dispatcher) updatePace(w *worker) {
	d.learn(w)
	if d.worstTail(w) <= tailHigh {
		w.sharing.highSince = 0
	} else if w.sharing.highSince == 0 {
		w.sharing.highSince = d.now
	}
	for _, f := range w.attempts {
		if f.step.Filler {
			d.orderPace(w, f)
		}
	}
	d.slowDown(w)
	d.speedUp(w)
}

// worstTail is the highest ratio of tail latency to objective on a worker.
func (d *Dispatcher) worstTail(w *worker) float64 {
	worst := 0.0
	for _, a := range w.attempts {
		if a.serves() {
			worst = max(worst, a.usage/float64(a.step.TailTarget))
		}
	}
	return worst
}

// slowDown pauses fillers beside the serving tasks that are too slow, or will be
// before the next decision takes effect.
func (d *Dispatcher) slowDown(w *worker) {
	unexplained := w.sharing.highSince != 0 && d.now-w.sharing.decidedAt >= paceInterval
	paused := false
	for _, s := range w.attempts {
		if !s.serves() {
			continue
		}
		slowdown, aim := d.slowdown(w, s), d.bearable(s, tailAim, paceLead)
		switch {
		case slowdown > d.bearable(s, tailHigh, paceLead):
			paused = d.pauseBeside(w, s, slowdown-aim, knownEffect) || paused
		case unexplained && s.usage > tailHigh*float64(s.step.TailTarget):
			paused = d.pauseBeside(w, s, d.shown(s)-aim, d.leastToPause(w)) || paused
		}
	}
	if paused {
		w.sharing.decidedAt = d.now
	}
}

// leastToPause is the effect from which on a filler is paused for a tail that is
// high: the longer it stays so, the less must be known of the filler.
func (d *Dispatcher) leastToPause(w *worker) float64 {
	switch high := d.now - w.sharing.highSince; {
	case high > tailUnexplained:
		return 0
	case high > tailPersists:
		return possibleEffect
	}
	return knownEffect
}

// slowdown is the slowdown of a serving task by the fillers at work beside it.
func (d *Dispatcher) slowdown(w *worker, s *attempt) float64 {
	sum := 1.0
	for _, f := range w.attempts {
		if f.step.Filler && f.phase == phaseStarted && f.targetPace > 0 && !f.stopping {
			sum += d.effect(s.step.Image, f.step.Image) * f.cores()
		}
	}
	return sum
}

// cores is the processor time that a filler at work uses, or will use once it has
// begun.
func (a *attempt) cores() float64 {
	if a.usage > 0 {
		return a.usage / milliCores
	}
	return a.declaredCores()
}

// pauseBeside pauses fillers with at least an effect by the core on a serving task,
// those that slow it most first, until an excess of slowdown is gone. With a least of
// 0 all are paused. It reports whether any is.
func (d *Dispatcher) pauseBeside(w *worker, s *attempt, excess, least float64) bool {
	paused := false
	for _, f := range d.disturbing(w, s) {
		effect := d.effect(s.step.Image, f.step.Image)
		if least > 0 && excess <= 0 {
			break
		}
		if effect < least {
			continue
		}
		excess -= effect * f.cores()
		d.setPace(w, f, 0)
		paused = true
	}
	return paused
}

// disturbing lists the fillers at work on a worker by their effect on a serving
// task, the largest first.
func (d *Dispatcher) disturbing(w *worker, s *attempt) []*attempt {
	var fillers []*attempt
	for _, f := range w.attempts {
		if f.step.Filler && f.phase == phaseStarted && !f.stopping && f.targetPace > 0 {
			fillers = append(fillers, f)
		}
	}
	slices.SortFunc(fillers, func(x, y *attempt) int {
		return cmp.Or(
			cmp.Compare(d.effect(s.step.Image, y.step.Image)*y.cores(), d.effect(s.step.Image, x.step.Image)*x.cores()),
			cmp.Compare(x.task.String(), y.task.String()),
		)
	})
	return fillers
}

// speedUp lets paused fillers work again where the serving tasks bear it, and moves
// one that has stood still for too long.
func (d *Dispatcher) speedUp(w *worker) {
	settled := w.sharing.highSince == 0 && d.now-w.sharing.decidedAt >= paceInterval
	for _, f := range w.attempts {
		if !f.step.Filler || f.phase != phaseStarted || f.stopping || f.targetPace > 0 {
			continue
		}
		switch {
		case settled && (d.worstEffect(w, f) < possibleEffect || d.bears(w, f)):
			d.setPace(w, f, fullPace)
		case d.now-f.pausedAt > pausedTooLong:
			d.addNote("paused task is moved", w, f, f.step.Image)
			d.avoid(f.task, w.Worker)
			f.stopping = true
		}
	}
}

// worstEffect is the largest effect of a filler on a serving task of the worker.
func (d *Dispatcher) worstEffect(w *worker, f *attempt) float64 {
	worst := 0.0
	for _, s := range w.attempts {
		if s.step.TailTarget > 0 {
			worst = max(worst, d.effect(s.step.Image, f.step.Image))
		}
	}
	return worst
}

// bears reports whether all serving tasks of a worker would stay below tailAim
// with a paused filler at work.
func (d *Dispatcher) bears(w *worker, f *attempt) bool {
	for _, s := range w.attempts {
		if !s.serves() {
			continue
		}
		slowdown := d.slowdown(w, s) + d.effect(s.step.Image, f.step.Image)*f.declaredCores()
		if slowdown > d.bearable(s, tailAim, placeLead) {
			return false
		}
	}
	return true
}

func (d *Dispatcher) setPace(w *worker, f *attempt, percent int) {
	if percent == 0 && f.targetPace > 0 {
		f.pausedAt = d.now
	}
	f.targetPace = percent
	d.orderPace(w, f)
}

// orderPace orders the pace of a filler unless an order is on its way.
func (d *Dispatcher) orderPace(w *worker, f *attempt) {
	if f.paceInFlight || f.appliedPace == f.targetPace || f.stopping || f.phase != phaseStarted {
		return
	}
	f.paceInFlight = true
	d.enqueueOrder(w, Order{Pace: &Pace{f.task, f.number, f.targetPace}})
}
