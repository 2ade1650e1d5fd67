package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"geraniumwall/policy/interference"
)

const (
	fullPace = 100
	// unknownPace is the pace of an attempt that an earlier leader has started.
	unknownPace = -1
	// tailHigh is the share of the latency objective of a serving task above which
	// fillers beside it are paced down.
	tailHigh = 0.85
	// tailAim is the share that placement and pacing aim for.
	tailAim = 0.7
	// tailPersists is how long the tail may stay high before fillers of which little
	// is known stand still too, and tailUnexplained before all of a worker do.
	tailPersists    = 1300 * time.Millisecond
	tailUnexplained = 2400 * time.Millisecond
	// paceInterval exceeds the window of the reported tail, so that each decision
	// sees the effect of the one before.
	paceInterval = 700 * time.Millisecond
	// pausedTooLong is how long a filler may stand still before it is moved.
	pausedTooLong = 1500 * time.Millisecond
	// knownEffect is the logarithm of the slowdown by one core of a filler from which
	// on it counts as disturbing a serving task.
	knownEffect = 0.04
	// possibleEffect is the effect up to which a filler counts as harmless.
	possibleEffect = 0.02
	// pairDeviation is the deviation of the effects of pairs: few pairs disturb, and
	// those that do disturb much.
	pairDeviation = 0.3
	// alikeShare is the common part of their effects from which on two serving images
	// count as disturbed by the same fillers.
	alikeShare = 0.45
	// sampleInterval is the window of the reported figures. More samples would count
	// the same window again.
	sampleInterval = 500 * time.Millisecond
	// modelLoad stands for the load of serving tasks, which workers do not report.
	modelLoad = 0.5
	// tailSamples is the weight of one reported tail for the model.
	tailSamples = 20
	milliCores  = 1000
)

// sharing is what a worker's tasks do to each other.
type sharing struct {
	decidedAt time.Duration
	// highSince is since when a serving task is above tailHigh, 0 for none.
	highSince time.Duration
	// sampledAt is when the model was told of the worker last.
	sampledAt time.Duration
	// observed are the filler images whose use the model was told.
	observed map[string]float64
}

// learn tells the model the tails of the serving tasks on a worker and what the
// fillers beside them use.
func (d *Dispatcher) learn(w *worker) {
	if d.now-w.sharing.sampledAt < sampleInterval {
		return
	}
	w.sharing.sampledAt = d.now
	use := map[string]float64{}
	var serving []string
	for _, a := range w.attempts {
		switch {
		case a.phase != phaseStarted:
		case a.step.Filler:
			use[a.step.Image] += a.usage / milliCores
			d.fillers[a.step.Image] = true
		case a.serves():
			serving = append(serving, a.step.Image)
		}
	}
	if len(serving) == 0 {
		return
	}
	d.model.SetWorker(d.now, w.Worker, serving)
	for image := range w.sharing.observed {
		if _, still := use[image]; !still {
			use[image] = 0
		}
	}
	for image, cores := range use {
		d.model.Change(d.now, w.Worker, image, cores-w.sharing.observed[image])
	}
	w.sharing.observed = use
	for _, a := range w.attempts {
		if a.serves() && a.usage > 0 {
			d.model.Observe(d.now, w.Worker, interference.Sample{
				Service: a.step.Image, At: d.now, Load: modelLoad, Count: tailSamples,
				P99: time.Duration(a.usage * float64(time.Millisecond)),
			})
		}
	}
}

// serves reports whether the attempt is a serving task at work.
func (a *attempt) serves() bool {
	return a.step.TailTarget > 0 && a.phase == phaseStarted && a.percent >= fullPace
}

// effect is the logarithm of the slowdown of a serving image by one core of a
// filler image.
func (d *Dispatcher) effect(serving, filler string) float64 {
	key := imagePair{serving, filler}
	if e, known := d.effects[key]; known {
		return e
	}
	e := d.model.Effect(serving, filler, modelLoad)
	d.effects[key] = e
	return e
}

type imagePair struct{ serving, filler string }

// alike reports whether much the same fillers disturb both serving images.
func (d *Dispatcher) alike(one, other string) bool {
	if one == other {
		return true
	}
	common, either := 0.0, 0.0
	for filler := range d.fillers {
		x, y := d.effect(one, filler), d.effect(other, filler)
		common += min(x, y)
		either += max(x, y)
	}
	return either > knownEffect && common > alikeShare*either
}

// headroom is the logarithm of the slowdown that a serving task bears until it
// reaches tailAim, if all fillers beside it work at full pace.
func (d *Dispatcher) headroom(w *worker, a *attempt) float64 {
	room := math.Log(tailAim * float64(a.step.TailTarget) / max(1, a.usage))
	for _, f := range w.attempts {
		if !f.step.Filler {
			continue
		}
		used := 0.0
		if f.phase == phaseStarted {
			used = f.usage
		}
		room -= d.effect(a.step.Image, f.step.Image) * max(0, float64(f.step.Request.MilliCPU)-used) / milliCores
	}
	return room
}

// updatePace follows the serving tasks of a worker, paces the fillers that disturb
// them and moves those that would stand still for long.
func (d *Dispatcher) updatePace(w *worker) {
	d.learn(w)
	worst := d.worstTail(w)
	if worst > tailHigh {
		if w.sharing.highSince == 0 {
			w.sharing.highSince = d.now
		}
	} else {
		w.sharing.highSince = 0
	}
	for _, f := range w.attempts {
		if f.step.Filler {
			d.orderPace(w, f)
		}
	}
	decided := w.sharing.decidedAt
	switch {
	case worst > tailHigh && (decided == 0 || d.now-decided >= paceInterval):
		w.sharing.decidedAt = d.now
		d.slowDown(w)
	case worst > tailHigh:
	default:
		d.speedUp(w)
	}
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

// slowDown pauses the fillers with the largest effect on the serving tasks that
// are too slow, until the rest should leave them below tailAim.
func (d *Dispatcher) slowDown(w *worker) {
	least := knownEffect
	switch high := d.now - w.sharing.highSince; {
	case high > tailUnexplained:
		least = 0
	case high > tailPersists:
		least = possibleEffect
	}
	for _, s := range w.attempts {
		if !s.serves() || s.usage/float64(s.step.TailTarget) <= tailHigh {
			continue
		}
		excess := math.Log(s.usage / (tailAim * float64(s.step.TailTarget)))
		for _, f := range d.disturbing(w, s) {
			effect := d.effect(s.step.Image, f.step.Image)
			if least > 0 && (excess <= 0 || effect < least) {
				break
			}
			excess -= max(effect, leastEffect) * f.usage / milliCores
			d.setPace(w, f, 0)
		}
	}
}

// disturbing lists the fillers at work on a worker by their effect on a serving
// task, the largest first.
func (d *Dispatcher) disturbing(w *worker, s *attempt) []*attempt {
	var fillers []*attempt
	for _, f := range w.attempts {
		if f.step.Filler && f.phase == phaseStarted && !f.stopping && f.wantPace > 0 {
			fillers = append(fillers, f)
		}
	}
	slices.SortFunc(fillers, func(x, y *attempt) int {
		return cmp.Or(
			cmp.Compare(d.effect(s.step.Image, y.step.Image)*y.usage, d.effect(s.step.Image, x.step.Image)*x.usage),
			cmp.Compare(x.task.String(), y.task.String()),
		)
	})
	return fillers
}

// speedUp lets paused fillers work again where the serving tasks bear it, those
// that disturb one at a time, and moves one that has stood still for too long.
func (d *Dispatcher) speedUp(w *worker) {
	for _, f := range w.attempts {
		if !f.step.Filler || f.phase != phaseStarted || f.stopping || f.wantPace > 0 {
			continue
		}
		effect := d.worstEffect(w, f)
		switch {
		case effect < possibleEffect:
			d.setPace(w, f, fullPace)
		case d.now >= w.sharing.decidedAt+paceInterval && d.bears(w, f):
			w.sharing.decidedAt = d.now
			d.setPace(w, f, fullPace)
		case d.now-f.pausedAt > pausedTooLong:
			d.note("paused task is moved", w, f, f.step.Image)
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
		effect := d.effect(s.step.Image, f.step.Image)
		if effect >= possibleEffect {
			effect = max(effect, leastEffect)
		}
		if s.usage*math.Exp(effect*float64(f.step.Request.MilliCPU)/milliCores) > tailAim*float64(s.step.TailTarget) {
			return false
		}
	}
	return true
}

func (d *Dispatcher) setPace(w *worker, f *attempt, percent int) {
	if percent == 0 && f.wantPace > 0 {
		f.pausedAt = d.now
	}
	f.wantPace = percent
	d.orderPace(w, f)
}

// orderPace orders the pace of a filler unless an order is on its way.
func (d *Dispatcher) orderPace(w *worker, f *attempt) {
	if f.pacing || f.pace == f.wantPace || f.stopping || f.phase != phaseStarted {
		return
	}
	f.pacing = true
	d.order(w, Order{Pace: &Pace{f.task, f.number, f.wantPace}})
}
