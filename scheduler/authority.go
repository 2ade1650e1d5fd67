package scheduler

import (
	"time"

	"geraniumwall/lease"
)

// Role is the role of a scheduler in its domain.
type Role string

// Roles. An appointed scheduler becomes active once the scheduler lease that it
// granted as standby has expired.
const (
	RoleNone      Role = "none"
	RoleStandby   Role = "standby"
	RoleAppointed Role = "appointed"
	RoleActive    Role = "active"
)

// authority tracks the role of the scheduler and the leases that support it.
type authority struct {
	leases *lease.Authority
	// activeEpoch is the epoch in which the scheduler is active, 0 if it is not active.
	activeEpoch uint64
	takeoverAt  time.Duration
	// peerLastSeen is the last time at which the active scheduler requested a lease.
	peerLastSeen time.Duration
	// maxOtherEpoch is the newest known epoch in which another process is active or none
	// is. An appointment in a newer epoch can only be that of this process. It is valid
	// once otherEpochKnown is set.
	maxOtherEpoch   uint64
	otherEpochKnown bool
	// claimedEpoch is sent in lease requests after an appointment that may be that of a
	// previous process with the same name, so that control makes a new appointment.
	claimedEpoch uint64
	// resigned is set by a planned shutdown and never reset.
	resigned bool
}

func newAuthority(now time.Duration) authority {
	return authority{leases: lease.NewAuthority(now), peerLastSeen: now}
}

func (a *authority) active() bool { return a.activeEpoch != 0 }

// mayAct reports whether the scheduler may start tasks and renew task leases.
func (a *authority) mayAct(now time.Duration) bool {
	return a.active() && !a.resigned && a.leases.MayAct(now)
}

func (a *authority) role() Role {
	switch {
	case a.resigned:
		return RoleNone
	case a.active():
		return RoleActive
	case a.leases.Role() == lease.RoleActive:
		return RoleAppointed
	case a.leases.Role() == lease.RoleStandby:
		return RoleStandby
	}
	return RoleNone
}

// peerSilent reports whether the active scheduler has been silent long enough for this
// scheduler to take over its slot grants.
func (a *authority) peerSilent(now time.Duration) bool { return now-a.peerLastSeen >= peerTimeout }

// LeaseRequest is a request to control for the scheduler lease and the domain lease.
type LeaseRequest struct {
	Epoch          uint64
	Revision       uint64
	MayBeAppointed bool
}

// LeaseRequest returns the next lease request, and false once the scheduler has
// resigned. Epoch is 0 unless the scheduler is active in it, so that a restarted
// process does not continue the epoch of its predecessor.
func (c *Core) LeaseRequest(now time.Duration) (LeaseRequest, bool) {
	a := &c.authority
	request := LeaseRequest{
		Revision:       a.leases.Revision(),
		MayBeAppointed: a.leases.MayBeAppointed(now) && !c.stopping,
	}
	if request.Epoch = a.claimedEpoch; a.leases.Role() == lease.RoleActive {
		request.Epoch = a.leases.Epoch()
	}
	return request, !a.resigned
}

// ControlRenewed processes control's answer to a lease request sent at time sent.
func (c *Core) ControlRenewed(now, sent time.Duration, answer lease.Answer) {
	a := &c.authority
	if a.resigned || !a.acceptOwnEpoch(c.settings.Name, answer) || !a.leases.Answered(sent, answer) {
		return
	}
	if a.active() && (answer.Role != lease.RoleActive || answer.Epoch != a.activeEpoch) {
		c.stepDown(now, "control ended the epoch")
	}
	c.activateIfAppointed(now)
}

// acceptOwnEpoch returns false for an appointment that may be that of a previous
// process with the same name. That process may have started tasks in its epoch that
// this one does not know of.
func (a *authority) acceptOwnEpoch(name string, answer lease.Answer) bool {
	if answer.Role != lease.RoleActive {
		hidden := answer.Epoch == 0 && answer.Active == name
		a.otherEpochKnown = a.otherEpochKnown || !hidden
		a.maxOtherEpoch = max(a.maxOtherEpoch, answer.Epoch)
		return true
	}
	continues := a.leases.Role() == lease.RoleActive && a.leases.Epoch() == answer.Epoch
	if !continues && (!a.otherEpochKnown || answer.Epoch <= a.maxOtherEpoch) {
		a.otherEpochKnown, a.maxOtherEpoch = true, max(a.maxOtherEpoch, answer.Epoch)
		a.claimedEpoch = a.maxOtherEpoch + 1
		return false
	}
	a.claimedEpoch, a.maxOtherEpoch = 0, answer.Epoch
	return true
}

// PeerRenewed records a scheduler lease that the standby granted in answer to a
// request sent at time sent.
func (c *Core) PeerRenewed(sent time.Duration, standby string, epoch uint64, d time.Duration) {
	c.authority.leases.GrantedByStandby(sent, standby, epoch, d)
}

// PeerRequest returns the epoch in which to request a lease from the standby. ask is
// false if no request is needed.
func (c *Core) PeerRequest() (epoch uint64, standby string, ask bool) {
	return c.authority.activeEpoch, c.authority.leases.Standby(), c.authority.active()
}

// PeerGrant is the answer of a standby to a lease request of the active scheduler.
type PeerGrant struct {
	Granted bool
	Epoch   uint64
	Role    Role
}

// GrantPeer decides on a lease request of the active scheduler of the epoch. A standby
// that grants a lease accepts no appointment until that lease has expired.
func (c *Core) GrantPeer(now time.Duration, active string, epoch uint64, d time.Duration) PeerGrant {
	a := &c.authority
	granted := !a.resigned && d > 0 && a.leases.GrantToActive(now, active, epoch, d)
	if granted {
		a.peerLastSeen = now
	}
	return PeerGrant{Granted: granted, Epoch: a.leases.Epoch(), Role: a.role()}
}

// activateIfAppointed makes an appointed scheduler active once the lease that it
// granted has expired, provided that the leases of the appointment are valid.
func (c *Core) activateIfAppointed(now time.Duration) {
	a := &c.authority
	if a.resigned || a.active() || !a.leases.MayAct(now) {
		return
	}
	a.activeEpoch = a.leases.Epoch()
	c.takeOver(now)
}

// Role returns the current role and the newest known epoch.
func (c *Core) Role() (Role, uint64) { return c.authority.role(), c.authority.leases.Epoch() }

// MayAct reports whether the scheduler may start tasks and renew task leases.
func (c *Core) MayAct(now time.Duration) bool { return c.authority.mayAct(now) }
