package daemon

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a SIGHUP that is lost because it arrives before a part of the process
// has started.
func TestReloadRequestsReachLaterSubscribers(t *testing.T) {
	g := NewWithT(t)
	var b broadcast
	early := b.subscribe()
	g.Expect(early).NotTo(Receive())
	b.notify()
	b.notify()
	late := b.subscribe()
	for _, c := range []<-chan struct{}{early, late} {
		g.Expect(c).To(Receive())
		g.Expect(c).NotTo(Receive())
	}
	b.notify()
	g.Expect(early).To(Receive())
	g.Expect(late).To(Receive())
}
