package lease

import "time"

// Role is the role of a scheduler in its domain.
type Role int

// Roles of a scheduler.
const (
	RoleNone Role = iota
	RoleActive
	RoleStandby
)

// Answer is the response of control to a renewal request.
type Answer struct {
	Role  Role
	Epoch uint64
	// Revision is the log index of the last change to the domain's schedulers.
	Revision       uint64
	Active         string
	Standby        string
	SchedulerLease time.Duration
	DomainLease    time.Duration
}

// Authority tracks the leases that a scheduler holds and the one that it granted.
// It decides whether the scheduler may start tasks and renew task leases.
type Authority struct {
	role         Role
	epoch        uint64
	revision     uint64
	active       string
	standby      string
	controlLease HeldLease
	standbyLease HeldLease
	domainLease  HeldLease
	// grantedLease is the lease that this scheduler granted as standby.
	grantedLease GrantedLease
}

// NewAuthority returns the state of a scheduler that starts now. It may not be
// appointed for the duration of a scheduler lease, since it may have granted one
// before a restart.
func NewAuthority(now time.Duration) *Authority {
	a := &Authority{}
	a.grantedLease.Renew(now, SchedulerLease)
	return a
}

// Answered applies control's response to a renewal request sent at time sent. It
// returns false and ignores the response if its epoch or revision is older than the
// last one applied.
func (a *Authority) Answered(sent time.Duration, answer Answer) bool {
	if answer.Epoch < a.epoch || answer.Revision < a.revision {
		return false
	}
	if answer.Epoch != a.epoch || answer.Role != a.role {
		a.controlLease, a.standbyLease, a.domainLease = HeldLease{}, HeldLease{}, HeldLease{}
	}
	if answer.Standby != a.standby {
		a.standbyLease = HeldLease{}
	}
	a.role, a.epoch, a.revision = answer.Role, answer.Epoch, answer.Revision
	a.active, a.standby = answer.Active, answer.Standby
	if answer.Role == RoleActive {
		a.controlLease.RecordRenewal(sent, answer.SchedulerLease)
		a.domainLease.RecordRenewal(sent, answer.DomainLease)
	}
	return true
}

// GrantedByStandby records a scheduler lease granted by the standby and requested at
// time sent. A lease from a scheduler other than the known standby, or of another
// epoch, is ignored.
func (a *Authority) GrantedByStandby(sent time.Duration, standby string, epoch uint64, d time.Duration) {
	if a.role == RoleActive && epoch == a.epoch && standby == a.standby && standby != "" {
		a.standbyLease.RecordRenewal(sent, d)
	}
}

// GrantToActive grants a scheduler lease to the active scheduler if this scheduler
// is its standby, and reports whether it did.
func (a *Authority) GrantToActive(now time.Duration, active string, epoch uint64, d time.Duration) bool {
	if a.role != RoleStandby || epoch != a.epoch || active != a.active || d > SchedulerLease {
		return false
	}
	a.grantedLease.Renew(now, d)
	return true
}

// MayAct reports whether the scheduler may start tasks and renew task leases.
func (a *Authority) MayAct(now time.Duration) bool {
	if a.role != RoleActive || !a.grantedLease.Expired(now) || !a.domainLease.Held(now) {
		return false
	}
	return a.controlLease.Held(now) || a.standbyLease.Held(now)
}

// MayBeAppointed reports whether the lease that this scheduler granted has expired.
func (a *Authority) MayBeAppointed(now time.Duration) bool { return a.grantedLease.Expired(now) }

// GrantedUntil returns the time at which the lease that this scheduler granted
// expires.
func (a *Authority) GrantedUntil() time.Duration { return a.grantedLease.Expiry() }

// TaskLease returns the duration of a task lease granted now. It doesn't outlast the
// domain lease and is 0 while the scheduler may not act.
func (a *Authority) TaskLease(now time.Duration) time.Duration {
	if !a.MayAct(now) {
		return 0
	}
	return min(TaskLease, a.domainLease.Remaining(now))
}

// Rest returns how long the scheduler lease and the domain lease are still valid, 0
// for a lease that is not held.
func (a *Authority) Rest(now time.Duration) (scheduler, domain time.Duration) {
	return max(a.controlLease.Remaining(now), a.standbyLease.Remaining(now)), a.domainLease.Remaining(now)
}

// Role returns the role in the last response applied.
func (a *Authority) Role() Role { return a.role }

// Epoch returns the epoch in the last response applied.
func (a *Authority) Epoch() uint64 { return a.epoch }

// Revision returns the revision in the last response applied. The scheduler sends
// it with each renewal request, which confirms to control that it knows the standby
// of that revision.
func (a *Authority) Revision() uint64 { return a.revision }

// Standby returns the name of the standby in the last response applied.
func (a *Authority) Standby() string { return a.standby }
