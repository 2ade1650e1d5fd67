package dispatch

import (
	"math"
	"time"
)

// unknownClock stands for a reading of a clock that is not known; no reading is beyond it.
const unknownClock = math.MaxInt64

// setReport replaces the known heartbeat of a worker.
func (w *worker) setReport(h Heartbeat, now time.Duration) {
	w.Heartbeat, w.heartbeatAt = h, now
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

// ignoreUntrue logs a heartbeat that contradicts the answers of its worker, and asks the
// worker again unless it has reported itself lately.
func (d *Dispatcher) ignoreUntrue(w *worker, reason string) {
	d.addLogEvent("untrue heartbeat ignored", w, nil, reason)
	d.pollUnconfirmed(w)
}
