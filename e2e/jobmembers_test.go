package e2e_test

import (
	"context"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/jobd/memberapi"
	"geraniumwall/operator"
)

const (
	// replacedWithin bounds a replacement from the moment at which the successor has started
	// and the other host has announced its stop or been silent for the time that it takes.
	replacedWithin = 15 * time.Second
	// unannouncedSilence is how long a replica must have been silent until one that had
	// joined before takes its place.
	unannouncedSilence = 30 * time.Second
)

// startJobReplicas makes a fleet of which the first three replicas found the log. The others
// are started later with empty disks.
func startJobReplicas(t *testing.T, g *WithT, replicas int) *jobFleet {
	f, err := newJobFleet(t.TempDir(), replicas, 0, 0, 0)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(f.close)
	t.Cleanup(func() {
		if t.Failed() {
			m, _ := f.membership()
			dir, err := f.keepLogs()
			t.Logf("members %+v, logs in %s, %v", m, dir, err)
		}
	})
	for _, r := range f.replicas[:3] {
		g.Expect(r.start()).To(Succeed())
	}
	return f
}

// membership returns what the leader says of the members.
func (f *jobFleet) membership() (memberapi.Membership, bool) {
	for i, r := range f.replicas {
		if !r.running() {
			continue
		}
		if m, err := operator.JobMembers(context.Background(), f.peers[i].target); err == nil && m.Leads {
			return m, true
		}
	}
	return memberapi.Membership{}, false
}

// voters returns the numbers of the replicas that vote if all of them answer.
func (f *jobFleet) voters() (numbers []int) {
	m, _ := f.membership()
	for _, member := range m.Members {
		switch {
		case !member.Voter:
		case member.State == memberapi.StateSilent || member.State == memberapi.StateLeaving:
			return nil
		default:
			numbers = append(numbers, f.numberOf(member.Address))
		}
	}
	slices.Sort(numbers)
	return numbers
}

// members returns the numbers of the replicas that are members.
func (f *jobFleet) members() (numbers []int) {
	m, _ := f.membership()
	for _, member := range m.Members {
		numbers = append(numbers, f.numberOf(member.Address))
	}
	slices.Sort(numbers)
	return numbers
}

// numberOf returns the number of the replica at an address. Its id may be another one, since a
// change that adds it can be lost with a change of the leader.
func (f *jobFleet) numberOf(address string) int {
	return 1 + slices.IndexFunc(f.peers, func(l *link) bool { return l.listener.Addr().String() == address })
}

// hasJoined reports whether the replica with a number is a member that has caught up. It is a
// member before it knows that it is one.
func (f *jobFleet) hasJoined(number int) bool {
	m, _ := f.membership()
	return slices.ContainsFunc(m.Members, func(member memberapi.Member) bool {
		return f.numberOf(member.Address) == number && member.CaughtUp != nil && *member.CaughtUp
	})
}

// silentMember returns the only member that is silent.
func (f *jobFleet) silentMember() (silent memberapi.Member) {
	m, _ := f.membership()
	for _, member := range m.Members {
		if member.State == memberapi.StateSilent {
			silent = member
		}
	}
	return silent
}

// Guards against a replacement of job replicas, as docs/OPERATIONS.md describes it, that
// leaves a host behind which is gone, or that the shown members don't explain.
func TestReplacementOfJobReplicas(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startJobReplicas(t, g, 6)
	g.Eventually(f.voters).WithTimeout(readyTimeout).Should(Equal([]int{1, 2, 3}))
	g.Expect(f.forgetFirstStart()).To(Succeed())

	// Planned: the successor first, then SIGTERM.
	g.Expect(f.replicas[3].start()).To(Succeed())
	g.Eventually(f.hasJoined).WithArguments(4).WithTimeout(readyTimeout).Should(BeTrue())
	g.Expect(f.replicas[0].stop()).To(Succeed())
	g.Eventually(f.voters).WithTimeout(replacedWithin).Should(Equal([]int{2, 3, 4}))
	g.Eventually(f.members).WithTimeout(unannouncedSilence + replacedWithin).Should(Equal([]int{2, 3, 4}))

	// Unplanned: an empty successor after the loss.
	f.replicas[1].kill()
	g.Eventually(func() string { return f.silentMember().Waits }).WithTimeout(readyTimeout).
		Should(Equal("no member has joined that could take its place"))
	g.Expect(f.numberOf(f.silentMember().Address)).To(Equal(2))
	g.Expect(f.replicas[4].start()).To(Succeed())
	g.Eventually(f.voters).WithTimeout(replacedWithin).Should(Equal([]int{3, 4, 5}))
	g.Eventually(f.members).WithTimeout(replacedWithin).Should(Equal([]int{3, 4, 5}))

	// Unannounced, after the successor has joined.
	g.Expect(f.replicas[5].start()).To(Succeed())
	g.Eventually(f.hasJoined).WithArguments(6).WithTimeout(readyTimeout).Should(BeTrue())
	f.replicas[2].kill()
	g.Eventually(func() string { return f.silentMember().Waits }).WithTimeout(readyTimeout).
		Should(ContainSubstring("one that had joined before takes its place after 30s"))
	g.Eventually(f.voters).WithTimeout(replacedWithin).Should(Equal([]int{4, 5, 6}))
	g.Eventually(f.members).WithTimeout(unannouncedSilence + replacedWithin).Should(Equal([]int{4, 5, 6}))
}
