package e2e_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/platform/standin"
)

const (
	shrunkCPU = jobWorkerCPU / 4
	// regrownWithin bounds the time until a worker that has grown gets tasks again.
	regrownWithin = 5 * time.Second
)

// awaitMore waits until more than the capacity of a shrunk worker is in use on a worker.
func (s *jobSoak) awaitMore(g *WithT, what string, w *standin.Worker) {
	s.await(g, what, regrownWithin, func() bool { return w.InUse() > shrunkCPU })
}

// pass lets a time pass, in which processes are started again.
func (s *jobSoak) pass(g *WithT, d time.Duration) {
	until := time.Now().Add(d)
	s.await(g, "the end of a pause", 2*d, func() bool { return !time.Now().Before(until) })
}

// A worker that shrinks while tasks run must get no start over its new room, neither from
// the leader nor from the next one, and must get tasks again once it has grown.
func TestShrunkWorkerGetsNoStartOverItsRoom(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s, _ := newSoak(t, g, 1, 3, 2, 0)
	worker := s.f.workers[0]
	finish := s.startStream(g, standin.Payload{After: 400 * time.Millisecond}, standin.Step{Count: 6, MilliCPU: 500}, 200*time.Millisecond)
	s.awaitMore(g, "tasks on the worker", worker)
	worker.SetCapacity(shrunkCPU)
	s.pass(g, jobShrinkGrace+time.Second)
	g.Expect(s.f.record.Broken()).To(BeEmpty())
	g.Expect(s.killLeader()).To(BeTrue())
	s.pass(g, 3*time.Second)
	g.Expect(s.f.record.Broken()).To(BeEmpty())
	worker.SetCapacity(jobWorkerCPU)
	s.awaitMore(g, "tasks on the worker that has grown", worker)
	finish()
	g.Expect(s.f.record.Broken()).To(BeEmpty(), s.history())
}

// A leader that takes over after workers have shrunk while there was no leader must not
// start tasks over their room: what the log says of their capacity is out of date.
func TestNewLeaderMindsWorkersThatHaveShrunk(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s, _ := newSoak(t, g, 1, 3, 4, 0)
	finish := s.startStream(g, standin.Payload{After: 400 * time.Millisecond}, standin.Step{Count: 60, MilliCPU: 500}, time.Second)
	s.awaitMore(g, "tasks on a worker", s.f.workers[0])
	s.killReplicas(jobShrinkGrace + time.Second)
	for _, w := range s.f.workers {
		w.SetCapacity(shrunkCPU)
	}
	s.pass(g, 2*jobShrinkGrace)
	for _, w := range s.f.workers {
		w.SetCapacity(jobWorkerCPU)
	}
	finish()
	g.Expect(s.f.record.Broken()).To(BeEmpty(), s.history())
}
