package lease

import "time"

// Record is what the replicated log holds about the schedulers of a domain.
type Record struct {
	Epoch   uint64
	Active  string
	Standby string
	// Clean means that no scheduler other than Standby can have a scheduler lease
	// outstanding to this or a former active scheduler. It is false from an
	// appointment or the replacement of a standby until the active scheduler has
	// confirmed that it knows the record: until then the former standby may go on
	// granting leases.
	Clean bool
}

// Grantor is the control leader's knowledge of the leases of one domain.
type Grantor struct {
	scheduler Grant
	domain    Grant
	// changing is set while a command about the domain's schedulers is proposed
	// and not decided; no lease is given meanwhile.
	changing bool
}

// Renew gives the active scheduler both leases. It reports false while the
// domain's schedulers are changing.
func (g *Grantor) Renew(now time.Duration) bool {
	if g.changing {
		return false
	}
	g.scheduler.Renew(now, SchedulerLease)
	g.domain.Renew(now, DomainLease)
	return true
}

// Assume treats both leases as renewed now. A new leader calls it when the first
// entry of its term commits, since it doesn't know what its predecessor granted,
// and every leader calls it on an appointment, to give the appointed scheduler the
// time to ask.
func (g *Grantor) Assume(now time.Duration) {
	g.scheduler.Renew(now, SchedulerLease)
	g.domain.Renew(now, DomainLease)
	g.changing = false
}

// BeginChange stops renewals until EndChange.
func (g *Grantor) BeginChange() { g.changing = true }

// EndChange permits renewals again.
func (g *Grantor) EndChange() { g.changing = false }

// Changing reports whether a change is proposed and not decided.
func (g *Grantor) Changing() bool { return g.changing }

// SchedulerOver reports whether the scheduler lease that control granted is over.
func (g *Grantor) SchedulerOver(now time.Duration) bool { return g.scheduler.Over(now) }

// DomainOver reports whether the domain lease is over: nobody in the domain may
// start a task or renew a task lease until the next appointment.
func (g *Grantor) DomainOver(now time.Duration) bool { return g.domain.Over(now) }

// Age returns the time since the last renewal of the scheduler lease.
func (g *Grantor) Age(now time.Duration) time.Duration {
	if !g.scheduler.given {
		return 0
	}
	return now - (g.scheduler.until - GrantorWait(SchedulerLease))
}

// CleanAfter returns Record.Clean for the record that follows an appointment.
func (g *Grantor) CleanAfter(r Record, now time.Duration) bool {
	return r.Active == "" || g.DomainOver(now) || (r.Clean && r.Standby == "")
}

// MayAppoint reports whether candidate may become the active scheduler. The
// former active scheduler can then hold no lease from control; it can hold one
// from its standby only if candidate is that standby, which waits it out itself.
func (g *Grantor) MayAppoint(r Record, candidate string, now time.Duration) bool {
	if g.changing {
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
// are over unless they are renewed.
func (g *Grantor) Deadlines() (scheduler, domain time.Duration) {
	return g.scheduler.Until(), g.domain.Until()
}
