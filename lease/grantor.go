package lease

import "time"

// Record is the entry of the replicated state for the schedulers of a domain.
type Record struct {
	Epoch   uint64
	Active  string
	Standby string
	// Clean means that no scheduler other than Standby can have an unexpired
	// scheduler lease granted to this or a former active scheduler. It is false from
	// an appointment or the replacement of a standby until the active scheduler has
	// confirmed that it has the record; until then the former standby may continue
	// to grant leases.
	Clean bool
}

// Grantor tracks the leases that the control leader granted in one domain.
type Grantor struct {
	schedulerLease GrantedLease
	domainLease    GrantedLease
	// changePending is set while a command that changes the domain's schedulers is
	// proposed but not committed or rejected. No lease is granted in the meantime.
	changePending bool
}

// Renew grants both leases to the active scheduler. It returns false while a change
// of the domain's schedulers is pending.
func (g *Grantor) Renew(now time.Duration) bool {
	if g.changePending {
		return false
	}
	g.schedulerLease.Renew(now, SchedulerLease)
	g.domainLease.Renew(now, DomainLease)
	return true
}

// Assume treats both leases as renewed now. A new leader calls it when the first
// entry of its term is committed, since it doesn't know what its predecessor
// granted. Every leader calls it on an appointment, so that the appointed scheduler
// has time to request its leases.
func (g *Grantor) Assume(now time.Duration) {
	g.schedulerLease.Renew(now, SchedulerLease)
	g.domainLease.Renew(now, DomainLease)
	g.changePending = false
}

// BeginChange suspends renewals until EndChange.
func (g *Grantor) BeginChange() { g.changePending = true }

// EndChange resumes renewals.
func (g *Grantor) EndChange() { g.changePending = false }

// Changing reports whether a change of the domain's schedulers is pending.
func (g *Grantor) Changing() bool { return g.changePending }

// SchedulerOver reports whether the scheduler lease granted by control has expired.
func (g *Grantor) SchedulerOver(now time.Duration) bool { return g.schedulerLease.Expired(now) }

// DomainOver reports whether the domain lease has expired. No scheduler of the
// domain may then start a task or renew a task lease until the next appointment.
func (g *Grantor) DomainOver(now time.Duration) bool { return g.domainLease.Expired(now) }

// Age returns the time since the last renewal of the scheduler lease.
func (g *Grantor) Age(now time.Duration) time.Duration {
	if !g.schedulerLease.granted {
		return 0
	}
	return now - (g.schedulerLease.expiry - GrantorWait(SchedulerLease))
}

// CleanAfter returns the value of Record.Clean after an appointment that replaces
// r.
func (g *Grantor) CleanAfter(r Record, now time.Duration) bool {
	return r.Active == "" || g.DomainOver(now) || (r.Clean && r.Standby == "")
}

// MayAppoint reports whether candidate may become the active scheduler. If so, the
// former active scheduler holds no lease from control. It may hold one from its
// standby only if candidate is that standby, which itself waits until that lease
// expires.
func (g *Grantor) MayAppoint(r Record, candidate string, now time.Duration) bool {
	if g.changePending {
		return false
	}
	if r.Active == "" {
		return true
	}
	if !g.SchedulerOver(now) {
		return false
	}
	if candidate == r.Active || g.DomainOver(now) {
		return true
	}
	return r.Clean && (candidate == r.Standby || r.Standby == "")
}

// Deadlines returns the times at which the scheduler lease and the domain lease
// expire unless they are renewed.
func (g *Grantor) Deadlines() (scheduler, domain time.Duration) {
	return g.schedulerLease.Expiry(), g.domainLease.Expiry()
}
