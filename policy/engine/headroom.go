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
	// maxKept bounds the kept reservations, and with them the cost of a search.
	maxKept = 64
)

// reservation is capacity kept on one host.
type reservation struct {
	worker string
	size   workerapi.Resources
	until  time.Duration
}

// keep holds back what an urgent task gave up.
func (e *Engine) keep(now time.Duration, t *task) {
	h := e.hosts[t.worker]
	if e.rules.NoHeadroom || t.Priority != config.Urgent || h == nil || !h.present || len(e.reservations) >= maxKept {
		return
	}
	e.reservations = append(e.reservations, reservation{worker: h.ID, size: t.reserved, until: now + keepFor})
	e.index.Keep(h.placed, t.reserved)
}

// cancelReservation ends the reservation with the number.
func (e *Engine) cancelReservation(i int) {
	p := e.reservations[i]
	e.reservations = append(e.reservations[:i], e.reservations[i+1:]...)
	if h := e.hosts[p.worker]; h != nil && h.present {
		e.index.Keep(h.placed, workerapi.Resources{}.Minus(p.size))
	}
}

func (e *Engine) expireReservations(now time.Duration) {
	for i := len(e.reservations) - 1; i >= 0; i-- {
		if e.reservations[i].until <= now {
			e.cancelReservation(i)
		}
	}
}

// dropReservations forgets what was kept on a host that left.
func (e *Engine) dropReservations(worker string) {
	for i := len(e.reservations) - 1; i >= 0; i-- {
		if e.reservations[i].worker == worker {
			e.reservations = append(e.reservations[:i], e.reservations[i+1:]...)
		}
	}
}

// chooseKept finds a kept reservation for an urgent request and gives it up. The
// newest reservation is used first, so that unused ones expire.
func (e *Engine) chooseKept(r *placement.Request) (placement.Choice, bool) {
	for i := len(e.reservations) - 1; i >= 0; i-- {
		p := e.reservations[i]
		h := e.hosts[p.worker].placed
		if !h.Accepts() || r.Avoid[p.worker] || !r.Allowed(h) || !r.Need.Fits(h.Free.Minus(h.Kept).Plus(p.size)) {
			continue
		}
		e.cancelReservation(i)
		return placement.Choice{Host: h, Candidates: 1}, true
	}
	return placement.Choice{}, false
}
