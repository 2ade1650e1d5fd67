package e2e_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/platform/standin"
)

const (
	// deadlyWithin bounds the time until a deadly job is shown as failed: three crashes
	// and the elections between them.
	deadlyWithin = 20 * time.Second
	// deadlyAfter is how long a deadly task runs whose start is answered.
	deadlyAfter = 150 * time.Millisecond
	deadlyJob   = "00000000000000dd"
)

// killLeader kills the leader, if there is one. It starts again after restartPause.
func (s *jobSoak) killLeader() bool {
	leader := s.f.leader()
	if leader == nil || !leader.running() {
		return false
	}
	s.note("kill the leader %s", leader.name)
	leader.kill()
	leader.startAt = time.Now().Add(restartPause)
	return true
}

// stream submits jobs of one step until stop is closed.
func (c *jobCaller) stream(stop <-chan struct{}, payload standin.Payload, step standin.Step, pause time.Duration) {
	for {
		c.jobs++
		id := fmt.Sprintf("%08x%08x", c.number+1, c.jobs)
		c.submit(id, kindShort, c.offer(id, payload, []standin.Step{step}))
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

// startStream submits jobs in the background; the returned function ends that, waits for
// the last call and then for the end of all jobs.
func (s *jobSoak) startStream(g *WithT, payload standin.Payload, step standin.Step, pause time.Duration) (finish func()) {
	c, stop := newJobCaller(s.f, 1, 0), make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { c.stream(stop, payload, step, pause) })
	return func() {
		close(stop)
		group.Wait()
		s.awaitEnds(g, c)
	}
}

// awaitFailure waits until all jobs of a caller have ended or a promise is broken, and
// calls disturb meanwhile.
func (s *jobSoak) awaitFailure(g *WithT, c *jobCaller, disturb func()) {
	s.await(g, "the failure of the deadly jobs", deadlyWithin, func() bool {
		disturb()
		for _, id := range c.open() {
			c.state(id)
		}
		return len(c.open()) == 0 || len(s.f.record.Broken()) > 0
	})
}

// A task that crashes worker after worker must be given up although each crash is followed
// by a new leader: a count of crashes that only the leader holds starts again with each.
func TestDeadlyTaskIsGivenUpByLaterLeaders(t *testing.T) {
	t.Parallel()
	for name, after := range map[string]time.Duration{"before its start is answered": 0, "while it runs": deadlyAfter} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			giveUpDeadly(t, standin.Payload{Deadly: true, After: after})
		})
	}
}

func giveUpDeadly(t *testing.T, payload standin.Payload) {
	g := NewWithT(t)
	s, _ := newSoak(t, g, 1, 3, 4, 0)
	finish := s.startStream(g, standin.Payload{After: time.Second}, standin.Step{Count: 2, MilliCPU: 1000}, 500*time.Millisecond)
	deadly := newJobCaller(s.f, 1, 1)
	g.Expect(deadly.submit(deadlyJob, kindDeadly, deadly.offer(deadlyJob, payload, []standin.Step{{Count: 1, MilliCPU: 1000}}))).To(BeTrue())
	kills := 0
	s.awaitFailure(g, deadly, func() {
		if s.f.record.Crashes(deadlyJob) > kills && s.killLeader() {
			kills++
		}
	})
	finish()
	g.Expect(kills).To(BeNumerically(">=", 1), s.history())
	g.Expect(s.f.record.Broken()).To(BeEmpty(), s.history())
	t.Logf("%d workers have crashed, %d leaders were killed", s.f.record.Crashes(deadlyJob), kills)
}

// Jobs beside a deadly one must end as done, also where several workers have crashed under
// their tasks: only the task that crashes them may be given up.
func TestInnocentJobsBesideDeadlyOnesAreDone(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s, _ := newSoak(t, g, 1, 3, 2, 0)
	innocent, deadly := newJobCaller(s.f, 1, 0), newJobCaller(s.f, 1, 1)
	for i := range 4 {
		id := fmt.Sprintf("%016x", i+1)
		payload := standin.Payload{After: 3 * time.Second}
		g.Expect(innocent.submit(id, kindShort, innocent.offer(id, payload, []standin.Step{{Count: 1, MilliCPU: 1000}}))).To(BeTrue())
	}
	for i := range 2 {
		id := fmt.Sprintf("%016x", 0xdd00+i)
		payload := standin.Payload{After: time.Second, Deadly: true}
		g.Expect(deadly.submit(id, kindDeadly, deadly.offer(id, payload, []standin.Step{{Count: 1, MilliCPU: 1000}}))).To(BeTrue())
	}
	s.awaitFailure(g, deadly, func() {})
	g.Expect(s.f.record.Broken()).To(BeEmpty(), s.history())
	s.awaitEnds(g, innocent)
	g.Expect(innocent.failed()).To(BeEmpty(), s.history())
	g.Expect(s.f.record.Broken()).To(BeEmpty(), s.history())
}
