package engine

import (
	"time"

	"geraniumwall/config"
	"geraniumwall/policy/placement"
	"geraniumwall/workerapi"
)

// Headroom for urgent tasks: the capacity of an urgent task that is done stays reserved
// for other urgent tasks for a while. The reserved capacity follows the peak of urgent
// work, so that urgent tasks start in a full fleet without evictions.
const (
	urgentReservationTTL = 2 * time.Minute
	// maxUrgentReservations bounds the cost of a search for a reservation.
	maxUrgentReservations = 64
)

// urgentReservation is capacity on one host that only urgent tasks may use.
type urgentReservation struct {
	worker    string
	size      workerapi.Resources
	expiresAt time.Duration
}

// reserveForUrgent reserves the capacity that an ended urgent task has freed.
func (e *Engine) reserveForUrgent(now time.Duration, t *task) {
	h := e.hosts[t.worker]
	if e.rules.NoHeadroom || t.Priority != config.Urgent || h == nil || !h.registered || len(e.urgentReservations) >= maxUrgentReservations {
		return
	}
	e.urgentReservations = append(e.urgentReservations, urgentReservation{worker: h.ID, size: t.reserved, expiresAt: now + urgentReservationTTL})
	e.index.Keep(h.indexEntry, t.reserved)
}

// releaseReservation releases the reservation with index i.
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

// dropReservations removes the reservations of a host that was removed from the index.
func (e *Engine) dropReservations(worker string) {
	for i := len(e.urgentReservations) - 1; i >= 0; i-- {
		if e.urgentReservations[i].worker == worker {
			e.urgentReservations = append(e.urgentReservations[:i], e.urgentReservations[i+1:]...)
		}
	}
}

// claimReservation finds a reservation that makes room for an urgent request and
// releases it. The newest is used first, so that surplus ones expire.
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
