package jobd

import (
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	. "github.com/onsi/gomega"
)

// Guards against messages of the log that wait behind the replies of the whole fleet, so that
// each commit of a loaded leader takes several times its backlog.
func TestUrgentFunctionsRunBeforePostedOnes(t *testing.T) {
	g := NewWithT(t)
	s := &Server{manager: &manager{}, system: actor.NewActorSystem()}
	defer s.system.Shutdown()
	s.pid = s.system.Root.Spawn(actor.PropsFromFunc(s.receive))
	var order []string
	started, release, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
	s.post(func() {
		close(started)
		<-release
	})
	g.Eventually(started, time.Minute).Should(BeClosed())
	for range 3 {
		s.post(func() { order = append(order, "reply") })
	}
	for _, name := range []string{"first", "second"} {
		s.postUrgent(func() { order = append(order, name) })
	}
	s.post(func() { close(ended) })
	close(release)
	g.Eventually(ended, time.Minute).Should(BeClosed())
	g.Expect(order).To(Equal([]string{"first", "second", "reply", "reply", "reply"}))
}
