package e2e_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/operator"
	"geraniumwall/platform/standin"
)

const (
	// evacuationBound is the time from the acknowledgement of an evacuation until nothing starts
	// in the domain any more.
	evacuationBound = 5 * time.Second
	// evacuationWatch is how long the domain is watched after that.
	evacuationWatch = 4 * time.Second
	// pausedLeader is how long a leader is paused: others lead before it resumes.
	pausedLeader = 3 * time.Second
)

// startedSince reports whether a worker of a zone has started a task after a time.
func (f *jobFleet) startedSince(zone string, t time.Time) bool {
	for i, w := range f.workers {
		if f.zones[i] == zone && w.LastStart().After(t) {
			return true
		}
	}
	return false
}

// orderEvacuation sends an order of the platform's operator to one replica after the other until
// it is acknowledged.
func (s *jobSoak) orderEvacuation(g *WithT, method, zone string) (by *supervised) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	next := 0
	s.await(g, method+" of the evacuation of "+zone, readyTimeout, func() bool {
		by = s.f.replicas[next%len(s.f.replicas)]
		address := s.f.control[next%len(s.f.control)]
		next++
		status, _ := send(client, method, "http://"+address+"/evacuations/"+zone, "", "")
		return status == http.StatusOK
	})
	s.note("%s of the evacuation of %s acknowledged by %s", method, zone, by.name)
	return by
}

// Guards against work that starts in an evacuated domain after the leader was killed right after
// the order, under a former leader that resumes, or after all replicas were killed and one joins
// anew, and against a domain that stays evacuated once the order is revoked. Other replicas carry
// the orders of the leader.
func TestEvacuatedDomainGetsNoTasks(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f, err := newJobFleet(t.TempDir(), 3, 2, 0, 1)
	g.Expect(err).NotTo(HaveOccurred())
	f.zones = []string{"a", "b", "a", "b"}
	for i := range f.zones {
		g.Expect(f.addWorker(i, f.control)).To(Succeed())
	}
	s, _ := startSoak(t, g, 1, f)
	begin := time.Now()
	finish := s.startStream(g, standin.Payload{After: 300 * time.Millisecond}, standin.Step{Count: 12, MilliCPU: 500}, 100*time.Millisecond)
	started := func(zone string, since time.Time) {
		s.await(g, "a start in "+zone, readyTimeout, func() bool { return f.startedSince(zone, since) })
	}
	started("a", begin)
	started("b", begin)

	var leader *supervised
	find := func() {
		s.await(g, "a leader", readyTimeout, func() bool { leader = f.leader(); return leader != nil })
	}
	find()
	s.orderEvacuation(g, http.MethodPost, "a")
	acknowledged := time.Now()
	s.note("kill %s", leader.name)
	leader.expectFault(restartPause)
	leader.kill()
	leader.startAt = time.Now().Add(restartPause)
	s.orderEvacuation(g, http.MethodPost, "a")

	find()
	s.note("pause %s", leader.name)
	paused := leader
	paused.expectFault(pausedLeader)
	paused.freeze()
	s.pass(g, pausedLeader)
	paused.thaw()
	s.pass(g, time.Second)
	s.killAllAndLoseDisk(g, f.replicas[0])
	s.pass(g, max(time.Second, time.Until(acknowledged.Add(evacuationBound))))
	restarted := time.Now()
	started("b", restarted)
	s.pass(g, evacuationWatch)
	for i, w := range f.workers {
		if f.zones[i] == "a" {
			g.Expect(w.LastStart()).To(BeTemporally("<=", acknowledged.Add(evacuationBound)), s.history())
		}
	}
	g.Eventually(func() error {
		shown, err := operator.Evacuations(context.Background(), f.peers[0].target)
		if err == nil {
			g.Expect(shown.InForce).To(HaveLen(1))
			g.Expect(shown.InForce[0].Domain).To(Equal("a"))
			g.Expect(shown.Records).To(HaveLen(1), "the repeated order adds no record")
		}
		return err
	}).WithTimeout(readyTimeout).Should(Succeed())

	revoked := time.Now()
	s.orderEvacuation(g, http.MethodDelete, "a")
	started("a", revoked)
	finish()
	g.Expect(f.record.Broken()).To(BeEmpty(), s.history())
}
