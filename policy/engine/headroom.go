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
	urgentReservationTTL = 2 * time.Minute
	// maxUrgentReservations bounds the kept reservations, and with them the cost of a search.
	maxUrgentReservations = 64
)

// urgentReservation is capacity kept on one host.
type urgentReservation struct {
	worker    string
	size      workerapi.Resources
	expiresAt time.Duration
}

// reserveForUrgent holds back what an urgent task gave up.
func (e *Engine) reserveForUrgent(now time.Duration, t *task) {
	h := e.hosts[t.worker]
	if e.rules.NoHeadroom || t.Priority != config.Urgent || h == nil || !h.registered || len(e.urgentReservations) >= maxUrgentReservations {
		return
	}
	e.urgentReservations = append(e.urgentReservations, urgentReservation{worker: h.ID, size: t.reserved, expiresAt: now + urgentReservationTTL})
	e.index.Keep(h.indexEntry, t.reserved)
}

// releaseReservation ends the reservation with the number.
func (e *Engine) releaseReservation(i int) {
	reservation := e.urgentReservations[i]
	e.urgentReservations = append(e.urgentReservations[:i], e.urgentReservations[i+1:]...)
	if h := e.hosts[reservation.worker]; h != nil && h.registered {
		e.index.Keep(h.indexEntry, workerapi.Resources{}.Minus(reservation.size))
	}
}

func (e *Engine) expireReservations(now time.Duration) {
	for i := len(e.urgentReservations) - 1; i >= 0; i-- {
		if e.urgentReservations[i].expiresAt <= now {
			e.releaseReservation(i)
		}
	}
}

// dropReservations forgets what was kept on a host that left.
func (e *Engine) dropReservations(worker string) {
	for i := len(e.urgentReservations) - 1; i >= 0; i-- {
		if e.urgentReservations[i].worker == worker {
			e.urgentReservations = append(e.urgentReservations[:i], e.urgentReservations[i+1:]...)
		}
	}
}

// claimReservation finds a kept reservation for an urgent request and gives it up. The
// newest reservation is used first, so that unused ones expire.
func (e *Engine) claimReservation(r *placement.Request) (placement.Choice, bool) {
	for i := len(e.urgentReservations) - 1; i >= 0; i-- {
		reservation := e.urgentReservations[i]
		h := e.hosts[reservation.worker].indexEntry
		if !h.Accepts() || r.Avoid[reservation.worker] || !r.Allowed(h) || !r.Need.Fits(h.Free.Minus(h.Kept).Plus(reservation.size)) {
			continue
		}
		e.releaseReservation(i)
		return placement.Choice{Host: h, Candidates: 1}, true
	}
	return placement.Choice{}, false
}
