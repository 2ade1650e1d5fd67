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

// Answer is the answer of control to a renewal.
type Answer struct {
	Role  Role
	Epoch uint64
	// Revision is the log index of the last change of the domain's schedulers.
	Revision       uint64
	Active         string
	Standby        string
	SchedulerLease time.Duration
	DomainLease    time.Duration
}

// Authority is a scheduler's knowledge of its own leases. It decides whether the
// scheduler may start tasks and renew task leases.
type Authority struct {
	role        Role
	epoch       uint64
	revision    uint64
	active      string
	standby     string
	fromControl Holding
	fromStandby Holding
	domain      Holding
	// granted is the lease that this scheduler gave as standby.
	granted Grant
}

// NewAuthority returns the state of a scheduler that starts now. It may not be
// appointed for one scheduler lease, since it doesn't know whether it granted one
// before it restarted.
func NewAuthority(now time.Duration) *Authority {
	a := &Authority{}
	a.granted.Renew(now, SchedulerLease)
	return a
}

// Answered takes in control's answer to a renewal sent at time sent. It returns
// false for an answer that is older than one taken in before.
func (a *Authority) Answered(sent time.Duration, answer Answer) bool {
	if answer.Epoch < a.epoch || answer.Revision < a.revision {
		return false
	}
	if answer.Epoch != a.epoch || answer.Role != a.role {
		a.fromControl, a.fromStandby, a.domain = Holding{}, Holding{}, Holding{}
	}
	if answer.Standby != a.standby {
		a.fromStandby = Holding{}
	}
	a.role, a.epoch, a.revision = answer.Role, answer.Epoch, answer.Revision
	a.active, a.standby = answer.Active, answer.Standby
	if answer.Role == RoleActive {
		a.fromControl.Renewed(sent, answer.SchedulerLease)
		a.domain.Renewed(sent, answer.DomainLease)
	}
	return true
}

// GrantedByStandby takes in a scheduler lease of the standby, requested at time
// sent. A lease of a scheduler that is not the known standby is ignored.
func (a *Authority) GrantedByStandby(sent time.Duration, standby string, epoch uint64, d time.Duration) {
	if a.role == RoleActive && epoch == a.epoch && standby == a.standby && standby != "" {
		a.fromStandby.Renewed(sent, d)
	}
}

// GrantToActive gives the active scheduler a scheduler lease if this scheduler
// is its standby, and reports whether it did.
func (a *Authority) GrantToActive(now time.Duration, active string, epoch uint64, d time.Duration) bool {
	if a.role != RoleStandby || epoch != a.epoch || active != a.active || d > SchedulerLease {
		return false
	}
	a.granted.Renew(now, d)
	return true
}

// MayAct reports whether the scheduler may start tasks and renew task leases.
func (a *Authority) MayAct(now time.Duration) bool {
	if a.role != RoleActive || !a.granted.Over(now) || !a.domain.Held(now) {
		return false
	}
	return a.fromControl.Held(now) || a.fromStandby.Held(now)
}

// MayBeAppointed reports whether the lease that this scheduler granted is over.
func (a *Authority) MayBeAppointed(now time.Duration) bool { return a.granted.Over(now) }

// GrantedUntil returns the time at which the lease that this scheduler granted is
// over.
func (a *Authority) GrantedUntil() time.Duration { return a.granted.Until() }

// TaskLease returns the duration of a task lease given now: at most the rest of
// the domain lease, and 0 while the scheduler may not act.
func (a *Authority) TaskLease(now time.Duration) time.Duration {
	if !a.MayAct(now) {
		return 0
	}
	return min(TaskLease, a.domain.Rest(now))
}

// Rest returns how long the scheduler lease and the domain lease still hold, 0 for
// one that is not held.
func (a *Authority) Rest(now time.Duration) (scheduler, domain time.Duration) {
	return max(a.fromControl.Rest(now), a.fromStandby.Rest(now)), a.domain.Rest(now)
}

// Role returns the role in the newest answer.
func (a *Authority) Role() Role { return a.role }

// Epoch returns the epoch in the newest answer.
func (a *Authority) Epoch() uint64 { return a.epoch }

// Revision returns the revision in the newest answer. It is sent with each
// renewal and confirms to control which standby this scheduler knows.
func (a *Authority) Revision() uint64 { return a.revision }

// Standby returns the name of the standby in the newest answer.
func (a *Authority) Standby() string { return a.standby }
