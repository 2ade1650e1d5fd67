package dispatch

import (
	"math"
	"slices"
	"time"
)

// unknownClock stands for a reading of a clock that is not known; no reading is beyond it.
const unknownClock = math.MaxInt64

// setReport replaces the known heartbeat of a worker.
func (w *worker) setReport(h Heartbeat, now time.Duration) {
	w.Heartbeat, w.heartbeatAt, w.identityClaim = h, now, nil
	w.coldSpan = max(w.coldSpan, h.ColdLeft)
	if w.reportClock == unknownClock && h.ClockMS != 0 {
		w.reportClock = h.ClockMS
	} else if w.reportClock != unknownClock {
		w.reportClock = max(w.reportClock, h.ClockMS)
	}
}

// isLate reports whether a heartbeat is older than the known one. A lower sequence alone
// does not show it, since the known one may be untrue: then the clock decides.
func (w *worker) isLate(h *Heartbeat) bool {
	return h.Sequence < w.Sequence && h.ClockMS <= w.reportClock
}

// maxClock returns the highest value that the worker's clock can have at a time, by its
// latest answer.
func (w *worker) maxClock(at time.Duration) int64 {
	if w.answerClock == 0 {
		return unknownClock
	}
	elapsed := time.Duration(float64(at-w.answerSentAt) * fastestClockRate)
	return w.answerClock + (elapsed + clockMargin).Milliseconds()
}

// observeAnswer records the reading of the clock in an answer of the worker. The known
// heartbeat is not newer, and a reading beyond what the clock can have shown is untrue.
func (w *worker) observeAnswer(r *Reply) {
	w.answerClock, w.answerSentAt = r.ClockMS, r.SentAt
	if w.reportClock > w.maxClock(r.ReceivedAt) {
		w.reportClock = r.ClockMS
	}
}

// ignoreUntrue logs a heartbeat that contradicts what is known of its worker, and asks the
// worker itself.
func (d *Dispatcher) ignoreUntrue(w *worker, reason string) {
	d.addLogEvent("untrue heartbeat ignored", w, nil, reason)
	if !w.holdInFlight && d.now >= w.nextHoldAt {
		d.sendHold(w)
	}
}

// contradictsAddress reports whether a heartbeat names another address than the one at which
// the worker answers, or may run tasks. A process keeps its address, and one that has
// started later elsewhere is believed once the known address has failed to answer.
func (w *worker) contradictsAddress(h *Heartbeat) bool {
	if h.HostPort == w.HostPort || w.StartedAtMS == 0 || w.terminated || w.deregistered {
		return false
	}
	if h.StartedAtMS == w.StartedAtMS && len(w.attempts) > 0 {
		return true
	}
	return h.StartedAtMS >= w.StartedAtMS && !w.unresponsive && (w.fenceConfirmed || len(w.attempts) > 0)
}

// unheardAt reports whether a heartbeat of an earlier start comes from another address than
// that of a worker that has never answered: the later start may be untrue.
func (w *worker) unheardAt(h *Heartbeat) bool {
	return h.HostPort != w.HostPort && h.StartedAtMS < w.StartedAtMS && !w.fenceConfirmed && (w.unresponsive || w.terminated)
}

// contradictsIdentity reports whether a heartbeat has another service, domain or labels than
// those that the process has reported. Two in a row that agree are believed.
func (w *worker) contradictsIdentity(h *Heartbeat) bool {
	if w.StartedAtMS == 0 || w.reportExpiresAt == 0 || sameIdentity(&w.Heartbeat, h) {
		return false
	}
	claim := w.identityClaim
	return claim == nil || !sameIdentity(claim, h) || claim.Sequence == h.Sequence
}

func sameIdentity(a, b *Heartbeat) bool {
	return a.Service == b.Service && a.Domain == b.Domain && slices.Equal(a.Labels, b.Labels)
}

// setMoved notes that the attempts of a process are taken over at another address, where the
// worker has not answered yet. A wrong worker there tells nothing about them.
func (w *worker) setMoved(old *worker, now time.Duration) {
	switch {
	case len(old.attempts) == 0 || old.terminated:
	case old.movedAt != 0:
		w.movedAt = old.movedAt
	case old.HostPort != w.HostPort:
		w.movedAt = now
	}
}
