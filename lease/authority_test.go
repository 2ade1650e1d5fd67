package lease_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/lease"
)

func renewed(role lease.Role, epoch uint64) lease.Answer {
	return lease.Answer{
		Role: role, Epoch: epoch, Revision: epoch, Active: "a", Standby: "b",
		SchedulerLease: lease.SchedulerLease, DomainLease: lease.DomainLease,
	}
}

// TestGrantToActive guards against a standby that grants a lease to a scheduler of
// an earlier epoch, or to one that is not the active scheduler.
func TestGrantToActive(t *testing.T) {
	g := NewWithT(t)
	standby := lease.NewAuthority(0)
	standby.Answered(time.Second, renewed(lease.RoleStandby, 2))
	g.Expect(standby.GrantToActive(time.Second, "a", 1, lease.SchedulerLease)).To(BeFalse(), "an earlier epoch")
	g.Expect(standby.GrantToActive(time.Second, "c", 2, lease.SchedulerLease)).To(BeFalse(), "another scheduler")
	g.Expect(standby.GrantToActive(time.Second, "a", 2, 2*lease.SchedulerLease)).To(BeFalse(), "too long")
	g.Expect(standby.GrantToActive(time.Second, "a", 2, lease.SchedulerLease)).To(BeTrue())
	g.Expect(standby.MayBeAppointed(time.Second+lease.SchedulerLease)).To(BeFalse(), "within the margin of the clocks")
	g.Expect(standby.MayBeAppointed(time.Second + lease.GrantorWait(lease.SchedulerLease))).To(BeTrue())
}

// TestLeaseOfStandby guards against an active scheduler that goes on with a lease
// of a scheduler that is not its standby, or of a former one.
func TestLeaseOfStandby(t *testing.T) {
	g := NewWithT(t)
	active := lease.NewAuthority(0)
	began := 5 * time.Second
	active.Answered(began, renewed(lease.RoleActive, 2))
	g.Expect(active.MayAct(began + time.Second)).To(BeTrue())
	over := began + lease.SchedulerLease
	g.Expect(active.MayAct(over)).To(BeFalse())
	active.GrantedByStandby(over, "c", 2, lease.SchedulerLease)
	g.Expect(active.MayAct(over)).To(BeFalse(), "not the standby")
	active.GrantedByStandby(over, "b", 1, lease.SchedulerLease)
	g.Expect(active.MayAct(over)).To(BeFalse(), "an earlier epoch")
	active.GrantedByStandby(over, "b", 2, lease.SchedulerLease)
	g.Expect(active.MayAct(over)).To(BeTrue())

	replaced := renewed(lease.RoleActive, 2)
	replaced.Revision, replaced.Standby, replaced.SchedulerLease = 3, "d", 0
	active.Answered(over, replaced)
	g.Expect(active.MayAct(over+time.Millisecond)).To(BeFalse(), "the lease of the former standby is dropped")
}
