package dispatch

import "time"

// HandleHeartbeat processes a worker's heartbeat. Heartbeats that arrive out of order and
// those of earlier incarnations are dropped.
func (d *Dispatcher) HandleHeartbeat(h Heartbeat) {
	w := d.workers[h.Worker]
	switch {
	case w != nil && w.contradictsAddress(&h):
		d.ignoreUntrue(w, "the worker answers at another address")
		return
	case w == nil || h.StartedAtMS > w.StartedAtMS || w.unheardAt(&h):
		w = d.newIncarnation(w, h)
	case h.StartedAtMS < w.StartedAtMS || w.isLate(&h):
		return
	case h.ClockMS > w.maxClock(d.now):
		d.ignoreUntrue(w, "its clock can't be that far")
		return
	case w.contradictsIdentity(&h):
		w.identityClaim = &h
		d.ignoreUntrue(w, "a process keeps its service, domain and labels")
		return
	default:
		if h.Draining && !w.Draining {
			d.addLogEvent("worker draining", w, nil, h.Remaining.String())
			w.nextSweepAt = d.now
		}
		if !w.reportIsFresh(d.now) || !h.Capacity.FitsIn(w.Capacity) {
			d.planner.dirty = true
		}
		w.setReport(h, d.now)
		d.observeClock(w, h.ClockMS, d.now)
	}
	w.reportExpiresAt = d.now + d.maxReportAge()
	d.limitReportAge(w)
	w.deregistered = false
	d.register(w)
	d.pollUnconfirmed(w)
}

// maxReportAge returns the age from which on a worker's report is too old for new tasks. A
// start that is sent by then arrives before a capacity that has shrunk since binds.
func (d *Dispatcher) maxReportAge() time.Duration {
	age := maxMissedHeartbeats * d.options.HeartbeatInterval
	if d.options.CapacityGrace > 0 {
		age = min(age, d.options.HeartbeatInterval+max(0, d.options.CapacityGrace-orderTravelTime))
	}
	return age
}

// restoredReportAge returns how long after a takeover a worker that an earlier leader has
// recorded gets tasks before it reports to this one. The record tells no time, and the
// worker may have shrunk since, but without any of them a takeover would stop all starts.
// The time without a leader counts, by the last command of the earlier one.
func (d *Dispatcher) restoredReportAge() time.Duration {
	leaderless := max(0, time.Duration(d.unixMS-d.store.LastCommandAt())*time.Millisecond)
	return max(0, min(d.options.HeartbeatInterval+heartbeatRetryTime, d.maxReportAge()-leaderless))
}

// newIncarnation registers a worker incarnation that is new to this leader. Attempts on
// an earlier incarnation of the same id ended with its process, but unanswered starts
// may still arrive until the new incarnation has seen its higher fencing token.
func (d *Dispatcher) newIncarnation(old *worker, h Heartbeat) *worker {
	d.incarnations[h.Worker]++
	w := newWorker(h, d.fence+d.incarnations[h.Worker], d.now)
	w.grantsBefore = d.leaderSince
	if d.incarnations[h.Worker] > 1 {
		w.grantsBefore = d.now
	}
	d.workers[h.Worker] = w
	d.planner.workersByID = nil
	d.addLogEvent("worker registered", w, nil, h.HostPort)
	if old != nil {
		w.setMoved(old, d.now)
		d.markReplaced(old)
		old.terminated = true
		for _, a := range old.attempts {
			d.moveToIncarnation(a, w)
		}
	}
	d.markCrashedOrphans(w)
	for _, key := range d.orphansOf[h.Worker] {
		if a := d.orphans[key]; a != nil && d.currentTask(a) != nil {
			delete(d.orphans, key)
			w.addAttempt(a)
		}
	}
	delete(d.orphansOf, h.Worker)
	return w
}

// moveToIncarnation keeps an attempt of a terminated incarnation until the new
// incarnation lists its running tasks under its own fencing token.
func (d *Dispatcher) moveToIncarnation(a *attempt, w *worker) {
	w.addAttempt(a)
	if a.phase != phaseProposed {
		a.unstarted = a.unstarted || a.phase == phaseVoid
		a.setPhase(phaseInherited, d.now)
	}
}

// pollUnconfirmed requests the list of attempts from a worker that has not answered this
// leader yet, that failed to answer, or whose list of ends could not be read: without attempts
// no other hold would find out that it receives orders again. It also asks a worker whose
// heartbeat was too late to count: if the reply shows that the clock was reset, the worker has
// restarted.
func (d *Dispatcher) pollUnconfirmed(w *worker) {
	ask := !w.fenceConfirmed || w.unresponsive || !w.reportIsFresh(d.now) || w.endsUnreadableSince != 0
	if ask && !w.holdInFlight && d.now >= w.nextHoldAt {
		d.sendHold(w)
	}
}

// Deregister marks a worker as deregistered. It gets no new tasks. Its attempts are
// abandoned once its lease has expired, another process answers at its address, or the
// address refuses connections. done is called with true once the log records that the
// worker has left, so that no later leader uses it.
func (d *Dispatcher) Deregister(id string, done func(ok bool)) {
	w := d.workers[id]
	if w == nil {
		done(true)
		return
	}
	w.deregistered = true
	d.addLogEvent("worker deregistered", w, nil, "")
	d.removeRegistration(w, done)
}
