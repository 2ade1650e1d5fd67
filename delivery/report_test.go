package delivery

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestReportAgain guards against answers of workers that are dropped because the leader does
// not take their first reports: the leader would give up starts that run.
func TestReportAgain(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(t)
	_, address := f.startCarrier(t)
	f.unreachable.Store(true)
	f.runAndWait(func() {
		f.sender.SetCarriers([]Carrier{{Address: address}})
		for range 20 {
			g.Expect(f.sender.Send(startOrder("i-1"), "a")).To(BeTrue())
		}
	})
	g.Eventually(f.workers.calls.Load, "2s").Should(BeEquivalentTo(20))
	g.Consistently(f.received, "500ms").Should(BeEmpty())
	f.unreachable.Store(false)
	g.Eventually(f.received, "2s").Should(HaveLen(20))
	g.Consistently(f.received, "200ms").Should(HaveLen(20), "each reply counts once")
	g.Expect(f.workers.calls.Load()).To(BeEquivalentTo(20))
}

// TestReportsAreBounded guards against replies to an unreachable leader that pile up.
func TestReportsAreBounded(t *testing.T) {
	g := NewWithT(t)
	box := &outbox{}
	for i := range maxQueuedReplies + 10 {
		box.replies = append(box.replies, queuedReply{at: time.Duration(i)})
	}
	g.Expect(box.dropExcess(0)).To(Equal(10))
	g.Expect(box.replies[0].at).To(Equal(time.Duration(10)), "the oldest ones are dropped")
	g.Expect(box.dropExcess(15)).To(Equal(5))
	g.Expect(box.takeFirst(maxReportReplies)).To(HaveLen(maxReportReplies))
	g.Expect(box.replies).To(HaveLen(maxQueuedReplies - maxReportReplies - 5))
}
