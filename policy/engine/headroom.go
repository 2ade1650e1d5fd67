package engine

import (
	"time"

	"geraniumwall/config"
	"geraniumwall/policy/placement"
	"geraniumwall/workerapi"
)

// Headroom for urgent tasks: what an urgent task used is kept for the next one
// for a while. The kept capacity follows the peak of urgent work, so that urgent
// tasks start in a full fleet without evictions.
const (
	keepFor = 2 * time.Minute
	// maxKept bounds the kept pieces, and with them the cost of a search.
	maxKept = 64
)

// piece is capacity kept on one host.
type piece struct {
	worker string
	size   workerapi.Resources
	until  time.Duration
}

// keep holds back what an urgent task gave up.
func (e *Engine) keep(now time.Duration, t *task) {
	h := e.hosts[t.worker]
	if e.rules.NoHeadroom || t.Priority != config.Urgent || h == nil || !h.present || len(e.pieces) >= maxKept {
		return
	}
	e.pieces = append(e.pieces, piece{worker: h.ID, size: t.reserved, until: now + keepFor})
	e.index.Keep(h.placed, t.reserved)
}

// giveUp ends the piece with the number.
func (e *Engine) giveUp(i int) {
	p := e.pieces[i]
	e.pieces = append(e.pieces[:i], e.pieces[i+1:]...)
	if h := e.hosts[p.worker]; h != nil && h.present {
		e.index.Keep(h.placed, workerapi.Resources{}.Minus(p.size))
	}
}

func (e *Engine) expirePieces(now time.Duration) {
	for i := len(e.pieces) - 1; i >= 0; i-- {
		if e.pieces[i].until <= now {
			e.giveUp(i)
		}
	}
}

// dropPieces forgets what was kept on a host that left.
func (e *Engine) dropPieces(worker string) {
	for i := len(e.pieces) - 1; i >= 0; i-- {
		if e.pieces[i].worker == worker {
			e.pieces = append(e.pieces[:i], e.pieces[i+1:]...)
		}
	}
}

// chooseKept finds a kept piece for an urgent request and gives it up. The
// newest piece is used first, so that unused ones expire.
func (e *Engine) chooseKept(r *placement.Request) (placement.Choice, bool) {
	for i := len(e.pieces) - 1; i >= 0; i-- {
		p := e.pieces[i]
		h := e.hosts[p.worker].placed
		if !h.Accepts() || r.Avoid[p.worker] || !r.Allowed(h) || !r.Need.Fits(h.Free.Minus(h.Kept).Plus(p.size)) {
			continue
		}
		e.giveUp(i)
		return placement.Choice{Host: h, Candidates: 1}, true
	}
	return placement.Choice{}, false
}
