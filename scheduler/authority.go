package scheduler

import (
	"time"

	"geraniumwall/lease"
)

// Role of a scheduler in its domain.
type Role string

// Roles. An appointed scheduler waits for the end of the scheduler lease that it
// granted before it becomes active.
const (
	RoleNone      Role = "none"
	RoleStandby   Role = "standby"
	RoleAppointed Role = "appointed"
	RoleActive    Role = "active"
)

// authority is the role of the scheduler with the leases behind it.
type authority struct {
	leases *lease.Authority
	// activeEpoch is the epoch in which the scheduler is active, 0 if it is not.
	activeEpoch uint64
	takeoverAt  time.Duration
	// peerLastSeen is when the active scheduler last asked for a lease.
	peerLastSeen time.Duration
	// maxOtherEpoch is the newest epoch in which another process acts or none does, as far as
	// known. An appointment in a newer one can only be of this process.
	maxOtherEpoch   uint64
	otherEpochKnown bool
	// claimedEpoch is sent as epoch after an appointment that may be of a process before
	// this one, so that control appoints again.
	claimedEpoch uint64
	// resigned is set for good by a planned stop.
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

// peerSilent reports whether the active scheduler has not been heard for long
// enough to take over its slot grants.
func (a *authority) peerSilent(now time.Duration) bool { return now-a.peerLastSeen >= peerTimeout }

// LeaseRequest is what the scheduler asks control for.
type LeaseRequest struct {
	Epoch          uint64
	Revision       uint64
	MayBeAppointed bool
}

// LeaseRequest returns the next request for the leases, and false once the
// scheduler has resigned. The epoch is 0 unless the scheduler acts in it, so that
// a restarted process does not continue the epoch of the one before.
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

// ControlRenewed takes in control's answer to a lease request sent at time sent.
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

// acceptOwnEpoch reports whether an answer cannot continue the epoch of a process that
// had this name before a restart. Such a process may have started tasks in its
// epoch that this one does not know of.
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

// PeerRenewed takes in a scheduler lease that the standby granted on a request
// sent at time sent.
func (c *Core) PeerRenewed(sent time.Duration, standby string, epoch uint64, d time.Duration) {
	c.authority.leases.GrantedByStandby(sent, standby, epoch, d)
}

// PeerRequest returns the epoch to ask the standby for a lease in, and false if
// there is nothing to ask for.
func (c *Core) PeerRequest() (epoch uint64, standby string, ask bool) {
	return c.authority.activeEpoch, c.authority.leases.Standby(), c.authority.active()
}

// PeerGrant is the answer of a standby to the active scheduler.
type PeerGrant struct {
	Granted bool
	Epoch   uint64
	Role    Role
}

// GrantPeer decides on a lease for the active scheduler of the epoch. By
// granting it the scheduler commits to accept no appointment until it is over.
func (c *Core) GrantPeer(now time.Duration, active string, epoch uint64, d time.Duration) PeerGrant {
	a := &c.authority
	granted := !a.resigned && d > 0 && a.leases.GrantToActive(now, active, epoch, d)
	if granted {
		a.peerLastSeen = now
	}
	return PeerGrant{Granted: granted, Epoch: a.leases.Epoch(), Role: a.role()}
}

// activateIfAppointed makes an appointed scheduler active once the lease that it granted is over
// and while the leases of the appointment are valid.
func (c *Core) activateIfAppointed(now time.Duration) {
	a := &c.authority
	if a.resigned || a.active() || !a.leases.MayAct(now) {
		return
	}
	a.activeEpoch = a.leases.Epoch()
	c.takeOver(now)
}

// Role returns the role and the newest known epoch.
func (c *Core) Role() (Role, uint64) { return c.authority.role(), c.authority.leases.Epoch() }

// MayAct reports whether the scheduler may start tasks and renew their leases.
func (c *Core) MayAct(now time.Duration) bool { return c.authority.mayAct(now) }
