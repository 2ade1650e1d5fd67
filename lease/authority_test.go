package lease_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/lease"
)

func renewalAnswer(role lease.Role, epoch uint64) lease.Answer {
	return lease.Answer{
		Role: role, Epoch: epoch, Revision: epoch, Active: "a", Standby: "b",
		SchedulerLease: lease.SchedulerLease, DomainLease: lease.DomainLease,
	}
}

// TestGrantToActive guards against a standby that grants a lease for an earlier
// epoch, to a scheduler that is not active, or for too long, and that accepts an
// appointment before the lease has expired.
func TestGrantToActive(t *testing.T) {
	g := NewWithT(t)
	standby := lease.NewAuthority(0)
	standby.Answered(time.Second, renewalAnswer(lease.RoleStandby, 2))
	g.Expect(standby.GrantToActive(time.Second, "a", 1, lease.SchedulerLease)).To(BeFalse(), "an earlier epoch")
	g.Expect(standby.GrantToActive(time.Second, "c", 2, lease.SchedulerLease)).To(BeFalse(), "another scheduler")
	g.Expect(standby.GrantToActive(time.Second, "a", 2, 2*lease.SchedulerLease)).To(BeFalse(), "too long")
	g.Expect(standby.GrantToActive(time.Second, "a", 2, lease.SchedulerLease)).To(BeTrue())
	g.Expect(standby.MayBeAppointed(time.Second+lease.SchedulerLease)).To(BeFalse(), "within the margin for clock errors")
	g.Expect(standby.MayBeAppointed(time.Second + lease.GrantorWait(lease.SchedulerLease))).To(BeTrue())
}

// TestLeaseOfStandby guards against an active scheduler that continues on a lease
// granted by a scheduler that is not, or no longer, its standby.
func TestLeaseOfStandby(t *testing.T) {
	g := NewWithT(t)
	active := lease.NewAuthority(0)
	appointed := 5 * time.Second
	active.Answered(appointed, renewalAnswer(lease.RoleActive, 2))
	g.Expect(active.MayAct(appointed + time.Second)).To(BeTrue())
	expired := appointed + lease.SchedulerLease
	g.Expect(active.MayAct(expired)).To(BeFalse())
	active.GrantedByStandby(expired, "c", 2, lease.SchedulerLease)
	g.Expect(active.MayAct(expired)).To(BeFalse(), "not the standby")
	active.GrantedByStandby(expired, "b", 1, lease.SchedulerLease)
	g.Expect(active.MayAct(expired)).To(BeFalse(), "an earlier epoch")
	active.GrantedByStandby(expired, "b", 2, lease.SchedulerLease)
	g.Expect(active.MayAct(expired)).To(BeTrue())

	replaced := renewalAnswer(lease.RoleActive, 2)
	replaced.Revision, replaced.Standby, replaced.SchedulerLease = 3, "d", 0
	active.Answered(expired, replaced)
	g.Expect(active.MayAct(expired+time.Millisecond)).To(BeFalse(), "the lease of the former standby is dropped")
}
