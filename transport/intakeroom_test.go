package transport

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// request asks for room and returns whether it got it.
func request(r *room, n, held int64, timeout time.Duration) <-chan bool {
	result := make(chan bool, 1)
	go func() { result <- r.wait(n, held, timeout) }()
	return result
}

// Guards against requests that wait for room by asking for it again and again, which takes more
// time the more of them there are, and against ones that are overtaken until they are refused.
func TestRoomIsGrantedInOrder(t *testing.T) {
	g := NewWithT(t)
	waiters := func(r *room) func() int64 { return r.waiters.Load }
	r := &room{limit: 400 << 10}
	g.Expect(r.take(300<<10, 0)).To(BeTrue(), "all but the reserved part")
	first := request(r, 100<<10, 0, time.Minute)
	g.Eventually(waiters(r)).Should(BeEquivalentTo(1))
	second := request(r, 50<<10, 0, time.Minute)
	g.Eventually(waiters(r)).Should(BeEquivalentTo(2))
	g.Expect(r.takeFirst(50<<10, 0)).To(BeFalse(), "a large request that comes later")
	g.Expect(r.takeFirst(smallCharge, 0)).To(BeTrue(), "a small request")
	r.giveBack(smallCharge)

	r.giveBack(60 << 10)
	g.Consistently(second).WithTimeout(20*time.Millisecond).ShouldNot(Receive(), "the first one has no room yet")
	r.giveBack(40 << 10)
	g.Eventually(first).Should(Receive(BeTrue()))
	g.Eventually(request(r, 50<<10, 0, time.Millisecond)).Should(Receive(BeFalse()), "no room in time")
	r.giveBack(50 << 10)
	g.Eventually(second).Should(Receive(BeTrue()))
	g.Expect(r.waiters.Load()).To(BeZero())
	g.Expect(r.used.Load()).To(BeEquivalentTo(300 << 10))
}
