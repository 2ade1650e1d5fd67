package scheduler

import "time"

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

// authority holds the leases of the scheduler, and the promise it gave as a
// standby. The times are ends of leases on the clock of this process.
type authority struct {
	role         Role
	epoch        uint64
	controlUntil time.Duration
	peerUntil    time.Duration
	domainUntil  time.Duration
	// promisedUntil is the time before which the scheduler accepts no appointment.
	promisedUntil time.Duration
	takeoverAt    time.Duration
	// peerHeard is when the active scheduler last asked for a lease.
	peerHeard time.Duration
	// resigned is set for good by a planned stop.
	resigned bool
}

func newAuthority(now time.Duration) authority {
	return authority{role: RoleNone, promisedUntil: now + withMargin(SchedulerLease), peerHeard: now}
}

// mayAct reports whether the scheduler may start tasks and renew task leases.
func (a *authority) mayAct(now time.Duration) bool {
	return a.role == RoleActive && now < max(a.controlUntil, a.peerUntil) && now < a.domainUntil
}

func (a *authority) resign() {
	a.resigned = true
	a.role = RoleNone
	a.controlUntil, a.peerUntil, a.domainUntil = 0, 0, 0
}

// Renewal is an answer of control to a lease request.
type Renewal struct {
	// SentAt is when the request was sent, and SentEpoch the epoch it named.
	SentAt    time.Duration
	SentEpoch uint64
	Role      Role
	Epoch     uint64
	Scheduler time.Duration
	Domain    time.Duration
}

// LeaseRequest is what the scheduler asks control for.
type LeaseRequest struct {
	Epoch          uint64
	MayBeAppointed bool
}

// LeaseRequest returns the next request for the leases.
func (c *Core) LeaseRequest(now time.Duration) LeaseRequest {
	a := &c.authority
	request := LeaseRequest{MayBeAppointed: now >= a.promisedUntil && !c.stopping}
	if a.role == RoleActive || a.role == RoleAppointed {
		request.Epoch = a.epoch
	}
	return request
}

// ControlRenewed takes in an answer of control. Answers of an older epoch and
// answers to a request that another epoch has overtaken change nothing.
func (c *Core) ControlRenewed(now time.Duration, r Renewal) {
	a := &c.authority
	if r.Epoch < a.epoch || a.resigned {
		return
	}
	if r.Role == RoleActive {
		c.appointed(now, r)
		return
	}
	if a.role == RoleActive || a.role == RoleAppointed {
		c.stepDown(now, "control appointed another scheduler")
	}
	a.role, a.epoch = r.Role, r.Epoch
}

// appointed extends the leases of the epoch, or prepares the takeover of a new
// epoch.
func (c *Core) appointed(now time.Duration, r Renewal) {
	a := &c.authority
	if r.Epoch > a.epoch || (a.role != RoleActive && a.role != RoleAppointed) {
		if a.role == RoleActive || a.role == RoleAppointed {
			c.stepDown(now, "appointed for a new epoch")
		}
		a.role, a.epoch = RoleAppointed, r.Epoch
		a.controlUntil, a.peerUntil, a.domainUntil = 0, 0, 0
		a.takeoverAt = max(now, a.promisedUntil)
	}
	a.controlUntil = max(a.controlUntil, r.SentAt+r.Scheduler)
	a.domainUntil = max(a.domainUntil, r.SentAt+r.Domain)
	c.advanceRole(now)
}

// PeerRenewed takes in a lease that the standby granted.
func (c *Core) PeerRenewed(now, sentAt time.Duration, epoch uint64, lease time.Duration) {
	a := &c.authority
	if a.role != RoleActive || epoch != a.epoch || now >= sentAt+lease {
		return
	}
	a.peerUntil = max(a.peerUntil, sentAt+lease)
}

// PeerGrant is the answer of a standby to the active scheduler.
type PeerGrant struct {
	Granted bool
	Epoch   uint64
	Role    Role
}

// GrantPeer decides on a lease for the active scheduler of the epoch. By
// granting it the scheduler commits to accept no appointment until it is over.
func (c *Core) GrantPeer(now time.Duration, epoch uint64, lease time.Duration) PeerGrant {
	a := &c.authority
	granted := a.role != RoleActive && a.role != RoleAppointed && epoch >= a.epoch && epoch > 0
	granted = granted && lease > 0 && lease <= SchedulerLease && !a.resigned
	if granted {
		a.epoch = epoch
		a.promisedUntil = max(a.promisedUntil, now+withMargin(lease))
		a.peerHeard = now
	}
	return PeerGrant{Granted: granted, Epoch: a.epoch, Role: a.role}
}

// PeerSilent reports whether the active scheduler has not been heard for long
// enough to take over its slot grants.
func (a *authority) peerSilent(now time.Duration) bool { return now-a.peerHeard >= silentAfter }

// advanceRole makes an appointed scheduler active once its own promise is over
// and while the leases of the appointment are valid.
func (c *Core) advanceRole(now time.Duration) {
	a := &c.authority
	if a.role != RoleAppointed || now < a.takeoverAt || now >= a.controlUntil {
		return
	}
	a.role = RoleActive
	c.takeOver(now)
}

// Role returns the role and the epoch.
func (c *Core) Role() (Role, uint64) { return c.authority.role, c.authority.epoch }

// MayAct reports whether the scheduler may start tasks and renew their leases.
func (c *Core) MayAct(now time.Duration) bool { return c.authority.mayAct(now) }
