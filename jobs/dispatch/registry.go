package dispatch

import (
	"time"

	"geraniumwall/jobs"
)

// registration is the progress of recording a worker in the log.
type registration struct {
	// proposed is set while a record of the worker is proposed but not committed yet.
	proposed bool
	// waiters are called once the record in the log is current, or with false if it may
	// not be.
	waiters []func(ok bool)
}

// restoreWorkers registers the workers that earlier leaders recorded, and polls them
// over a time in proportion to the fleet. They get tasks once they have answered, for a
// short time before they report to this leader, unless they were silent before.
func (d *Dispatcher) restoreWorkers() {
	for i, recorded := range d.store.Workers() {
		h := Heartbeat{
			Worker: recorded.Worker, HostPort: recorded.HostPort, Service: recorded.Service, Domain: recorded.Domain,
			Draining: recorded.Draining, Capacity: recorded.Capacity, Labels: recorded.Labels, StartedAtMS: recorded.StartedAtMS,
		}
		if recorded.StartedAtMS != 0 {
			// A worker that tells no start time may have restarted and count anew.
			h.Sequence = recorded.Sequence
		}
		if recorded.Draining {
			h.Remaining = time.Duration(max(0, recorded.DrainEndsAt-d.unixMS)) * time.Millisecond
		}
		w := d.newIncarnation(nil, h)
		if recorded.ClockMS != 0 {
			w.reportClock = recorded.ClockMS
		}
		if !recorded.Silent {
			w.reportExpiresAt = d.now + d.restoredReportAge()
		}
		w.nextHoldAt = d.now + holdDelayPerWorker*time.Duration(i)
	}
}

// record returns the registration of the worker as of its latest heartbeat.
func (w *worker) record(now time.Duration, unixMS int64) *jobs.Worker {
	r := &jobs.Worker{
		Incarnation: w.incarnation(), HostPort: w.HostPort, Service: w.Service, Domain: w.Domain, Capacity: w.Capacity,
		Labels: w.Labels, Draining: w.Draining, Sequence: w.Sequence,
		Silent: !w.reportIsFresh(now),
	}
	if w.reportClock != unknownClock {
		r.ClockMS = w.reportClock
	}
	if w.Draining {
		r.DrainEndsAt = unixMS + (w.Remaining - (now - w.heartbeatAt)).Milliseconds()
	}
	return r
}

// register proposes the registration of a worker unless the log has it already.
func (d *Dispatcher) register(w *worker) {
	if w.registration.proposed {
		return
	}
	record := w.record(d.now, d.unixMS)
	if current := d.store.Worker(w.Worker); current != nil && current.Same(record) {
		w.completeRegistration(true)
		return
	}
	if !d.replaceLater(w) {
		w.completeRegistration(false)
		return
	}
	w.registration.proposed = true
	command := jobs.Command{RegisterWorker: &jobs.RegisterWorker{Worker: *record, At: d.unixMS}}
	d.propose(command, func(result jobs.Result, ok bool) {
		w.registration.proposed = false
		// The log refuses a record if it has one of a later start time.
		if !ok || !result.Applied || w.terminated || w.deregistered {
			w.completeRegistration(false)
			return
		}
		d.register(w)
	})
}

// replaceLater proposes to remove the record of a later incarnation under the id of a worker:
// it is untrue if the worker has told its own start time in an answer. It returns false if
// the log would refuse the worker's record.
func (d *Dispatcher) replaceLater(w *worker) bool {
	recorded := d.store.Worker(w.Worker)
	if recorded == nil || recorded.StartedAtMS <= w.StartedAtMS {
		return true
	}
	if !w.startConfirmed {
		return false
	}
	d.addLogEvent("untrue registration replaced", w, nil, recorded.HostPort)
	command := jobs.Command{RemoveWorker: &jobs.RemoveWorker{Worker: recorded.Incarnation}}
	d.propose(command, func(jobs.Result, bool) {})
	return true
}

// registerSilent records that the last report of a registered worker has become too old, so
// that no later leader uses it before it reports again. It waits for one more heartbeat,
// since many are late after a takeover.
func (d *Dispatcher) registerSilent(w *worker) {
	if w.deregistered || d.now < w.reportExpiresAt+d.options.HeartbeatInterval {
		return
	}
	if recorded := d.store.Worker(w.Worker); recorded != nil && recorded.Incarnation == w.incarnation() && !recorded.Silent {
		d.register(w)
	}
}

func (w *worker) completeRegistration(ok bool) {
	waiters := w.registration.waiters
	w.registration.waiters = nil
	for _, done := range waiters {
		done(ok)
	}
}

// OnDrainRecorded calls done once the log records that the worker is draining, so that
// no later leader uses it, or with false if it may not. For a worker that is not
// draining it calls done at once.
func (d *Dispatcher) OnDrainRecorded(id string, done func(ok bool)) {
	w := d.workers[id]
	if w == nil || !w.Draining {
		done(true)
		return
	}
	w.registration.waiters = append(w.registration.waiters, done)
	d.register(w)
}

// removeRegistration proposes to delete the registration of a worker that has left or is
// lost. done is called with the outcome.
func (d *Dispatcher) removeRegistration(w *worker, done func(ok bool)) {
	if d.store.Worker(w.Worker) == nil && !w.registration.proposed {
		done(true)
		return
	}
	command := jobs.Command{RemoveWorker: &jobs.RemoveWorker{Worker: w.incarnation()}}
	d.propose(command, func(_ jobs.Result, ok bool) { done(ok) })
}

// observeClock records a reading of a worker's clock.
func (d *Dispatcher) observeClock(w *worker, clock int64, at time.Duration) {
	w.updateClock(clock, at)
	d.limitReportAge(w)
}

// limitReportAge lets the report of a worker expire by its age on the worker's clock, if that
// is sooner than by its arrival: the report may have been delayed on its way.
func (d *Dispatcher) limitReportAge(w *worker) {
	w.reportExpiresAt = min(w.reportExpiresAt, d.now-w.ageOf(w.ClockMS, d.now)+d.maxReportAge())
}

// inheritedLease returns the longest lease that an earlier leader may have granted, from
// the start of this leader.
func (d *Dispatcher) inheritedLease() time.Duration {
	return d.options.PreviousLeaderLease + d.options.WorkerLease
}

// inheritedLeaseExpired reports whether every lease that an earlier leader may have granted
// has expired by the slowest clock.
func (d *Dispatcher) inheritedLeaseExpired() bool {
	return d.leaseExpiredSince(d.leaderSince)
}

// leaseExpiredSince reports whether every lease granted before a time has expired by the
// slowest clock.
func (d *Dispatcher) leaseExpiredSince(at time.Duration) bool {
	return d.now-at >= d.maxLeaseWait()
}

// maxLeaseWait returns the time after which a lease has expired by the slowest clock.
func (d *Dispatcher) maxLeaseWait() time.Duration {
	return time.Duration(float64(d.inheritedLease())/slowestClockRate) + leaseMargin
}

// leaseExpired reports whether the lease of a worker is certain to have expired, so that
// nothing that was started there is still running. This leader grants none before the
// worker's first answer, which tells its clock.
func (d *Dispatcher) leaseExpired(w *worker) bool {
	if w.movedAt != 0 {
		return d.leaseExpiredSince(w.movedAt)
	}
	return d.leaseExpiredSince(w.grantsBefore) && (w.leaseEnd == 0 || w.ownLeaseExpired(d.now))
}
