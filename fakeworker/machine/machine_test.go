package machine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/workerapi"
)

// TestStopAfterLease guards against a worker that was frozen past the end of a
// lease and is told to stop before it advances its tasks: the attempt ended with
// its lease, not with the stop, when it may already run elsewhere.
func TestStopAfterLease(t *testing.T) {
	g := NewWithT(t)
	var events []Event
	m := New(Settings{Name: "w", Incarnation: "i", Capacity: workerapi.Resources{CPUMillis: 1000}, Slots: 1},
		func(e Event) { events = append(events, e) })
	attached := m.Attach(0, &workerapi.Attach{Scheduler: "s", Epoch: 1})
	g.Expect(attached.Accepted).To(BeTrue())
	m.Heartbeat(0, &workerapi.Heartbeat{})
	attempt := workerapi.Attempt{Epoch: 1, Number: 1}
	started := m.Start(0, &workerapi.Start{
		Session: attached.Session, Epoch: 1, Incarnation: "i", Sequence: 1, ID: "t", Attempt: attempt,
		Resources: workerapi.Resources{CPUMillis: 100}, LeaseMS: 10_000, ExpectedMS: 60_000,
	})
	g.Expect(started.Outcome).To(Equal(workerapi.OutcomeDone))

	woken := 13 * time.Second
	stopped := m.Stop(woken, &workerapi.Stop{Session: attached.Session, Epoch: 1, ID: "t", Attempt: attempt})
	g.Expect(stopped.Task.Phase).To(Equal(workerapi.PhaseStopped))
	last := events[len(events)-1]
	g.Expect(last.Kind).To(Equal(TaskStop))
	g.Expect(last.At).To(Equal(10 * time.Second))
}
