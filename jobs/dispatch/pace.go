package dispatch

import "time"

const (
	fullPace = 100
	// tailHigh and tailLow are shares of the latency objective of a serving task
	// between which the pace of the fillers beside it is left as it is.
	tailHigh = 0.85
	tailLow  = 0.55
	// paceInterval exceeds the window of the reported tail, so that each decision
	// sees the effect of the one before.
	paceInterval = 800 * time.Millisecond
	paceStep     = 15
	// lowestPace is the pace below which fillers stand still.
	lowestPace = 10
)

// pacing is the pace of all filler tasks of one worker. It falls by half and
// rises in steps, so that it stays near the highest pace that serving tasks bear.
type pacing struct {
	percent   int
	decidedAt time.Duration
}

// update follows the highest ratio of tail latency to objective on the worker.
func (p *pacing) update(now time.Duration, ratio float64) {
	if now-p.decidedAt < paceInterval {
		return
	}
	switch {
	case ratio > tailHigh:
		p.percent /= 2
		if p.percent < lowestPace {
			p.percent = 0
		}
	case ratio < tailLow:
		p.percent = min(fullPace, p.percent+paceStep)
	default:
		return
	}
	p.decidedAt = now
}

// updatePace follows the serving tasks of a worker and orders the pace of its
// fillers.
func (d *Dispatcher) updatePace(now time.Duration, w *worker) {
	serving, ratio := false, 0.0
	for _, a := range w.attempts {
		if a.step.TailTarget > 0 && a.phase == phaseStarted {
			serving = true
			ratio = max(ratio, a.usage/float64(a.step.TailTarget))
		}
	}
	if !serving {
		w.pacing.percent = fullPace
	} else {
		w.pacing.update(now, ratio)
	}
	for _, a := range w.attempts {
		if !a.step.Filler || a.phase != phaseStarted || a.pacing || a.stopping || a.pace == w.pacing.percent {
			continue
		}
		a.pacing = true
		d.order(w, Order{Pace: &Pace{a.task, a.number, w.pacing.percent}})
	}
}
