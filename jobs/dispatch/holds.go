package dispatch

import "time"

func (d *Dispatcher) sendHold(w *worker) {
	h := &Hold{MaxWait: d.holdWaitFor(w)}
	if !w.unresponsive && !w.holdFailed && d.now-w.nextHoldAt < maxAckPause {
		h.AckThrough = w.lastAcked
	}
	if w.fenceConfirmed && !w.unresponsive {
		h.Deadline = w.leaseDeadline(d.now, d.options.WorkerLease)
		w.leaseEnd = max(w.leaseEnd, h.Deadline)
	}
	w.holdInFlight, w.holdSentAt = true, d.now
	d.enqueueOrder(w, Order{Hold: h})
}

func (d *Dispatcher) holdWaitFor(w *worker) time.Duration {
	if !w.fenceConfirmed || w.unresponsive {
		return 0
	}
	serving, fillers := false, false
	for _, a := range w.attempts {
		serving = serving || a.step.LatencyTargetMS > 0
		fillers = fillers || a.step.Filler
		if d.mustLookUp(a) {
			return 0
		}
	}
	if serving && fillers {
		return holdWaitColocated
	}
	return holdWait
}

// holdDelayFor returns the time from the reply to a hold until the next hold.
func (d *Dispatcher) holdDelayFor(w *worker) time.Duration {
	for _, a := range w.attempts {
		if !a.step.LongRunning && !a.step.Filler {
			return holdDelay
		}
	}
	return holdDelay + holdDelayPerWorker*time.Duration(len(d.workers))
}
