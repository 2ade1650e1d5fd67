package e2e_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/platform/standin"
)

const (
	lastingJob = "00000000000000aa"
	// lastingWithin bounds the time until a task that lasts runs while there is room.
	lastingWithin = 6 * time.Second
	// refusedFor is how long a worker refuses connections, below the time after which the
	// leader gives up a worker that does not report.
	refusedFor = 500 * time.Millisecond
)

// refuse makes the link refuse connections, until accepts is called.
func (l *link) refuse() { l.close() }

// accepts makes the link accept connections again.
func (l *link) accepts() error {
	r, err := newRelay(l.listener.Addr().String(), l.target, l.there, l.back)
	if err == nil {
		l.relay = r
	}
	return err
}

// A worker without tasks that refuses a connection for a moment, and goes on to report,
// must get tasks again: nothing else asks a worker without tasks whether it answers.
func TestIdleWorkerGetsTasksAfterARefusedConnection(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s, _ := newSoak(t, g, 1, 3, 1, 0)
	c, link := newJobCaller(s.f, 1, 0), s.f.orders[0]
	warmUp := s.startStream(g, standin.Payload{After: 100 * time.Millisecond}, standin.Step{Count: 1, MilliCPU: 500}, time.Second)
	warmUp()
	link.refuse()
	g.Expect(c.submit(lastingJob, kindKept, c.offer(lastingJob, standin.Payload{}, []standin.Step{{Count: 2, MilliCPU: 500, Lasting: true}}))).To(BeTrue())
	s.pass(g, refusedFor)
	g.Expect(link.accepts()).To(Succeed())
	s.await(g, "a run of the tasks that last", lastingWithin, func() bool { return len(s.f.record.Idle(c.kept())) == 0 })
	g.Expect(s.f.record.Broken()).To(BeEmpty(), s.history())
}
