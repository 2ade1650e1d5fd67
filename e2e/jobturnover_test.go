package e2e_test

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/platform/standin"
)

const (
	turnoverReplicas = 3
	turnoverWorkers  = 2
	// turnoverGap is the time between the end of a replica and the start of its successor, or
	// the reverse.
	turnoverGap = time.Second
	// turnoverTime is the time from the last event of a replacement until the members have to
	// be the replicas that run.
	turnoverTime = 4 * time.Second
	// turnoverRecovery bounds the time from the loss of all processes and one disk until the
	// replicas serve again.
	turnoverRecovery = 12 * time.Second
	turnoverJob      = "00000000000000ab"
	laterJob         = "00000000000000ac"
)

// shown reports whether a job is known.
func (c *jobCaller) shown(id string) bool {
	status, _ := c.call(http.MethodGet, id, "")
	return status == http.StatusOK
}

// replaceByKill kills a replica for good and starts an empty one at another address.
func (s *jobSoak) replaceByKill(g *WithT, r *supervised) {
	s.note("kill %s for good", r.name)
	r.kill()
	g.Expect(s.f.takeAway(r)).To(Succeed())
	s.pass(g, turnoverGap)
	g.Expect(s.f.startSuccessor()).To(Succeed())
	s.pass(g, turnoverTime)
}

// replaceByStop starts an empty replica at another address and stops one as planned.
func (s *jobSoak) replaceByStop(g *WithT, r *supervised) {
	g.Expect(s.f.startSuccessor()).To(Succeed())
	s.pass(g, turnoverGap)
	s.note("stop %s for good", r.name)
	g.Expect(r.stop()).To(Succeed())
	g.Expect(s.f.takeAway(r)).To(Succeed())
	s.pass(g, turnoverTime)
}

// killAllAndLoseDisk kills all replicas at once and takes the disk of one.
func (s *jobSoak) killAllAndLoseDisk(g *WithT, lost *supervised) {
	s.note("wipe %s", lost.name)
	s.killReplicas(restartPause)
	g.Expect(os.RemoveAll(lost.dataDir)).To(Succeed())
}

// Replicas that were replaced must not count for good: once each has been replaced by an empty
// one and the last loses its disk, the others must still have a quorum, what was acknowledged
// and room for more.
func TestReplacedReplicasDoNotCountForGood(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f, err := newJobFleet(t.TempDir(), turnoverReplicas, 2, 0, 0)
	g.Expect(err).NotTo(HaveOccurred())
	var control []string
	for i := range 2 * turnoverReplicas {
		control = append(control, f.controlAddress(i))
	}
	for i := range turnoverWorkers {
		g.Expect(f.addWorker(i, control)).To(Succeed())
	}
	s, operator := startSoak(t, g, 1, f)
	caller := newJobCaller(f, 1, 0)
	steps := []standin.Step{{Count: 1, MilliCPU: 500, Lasting: true}}
	g.Expect(caller.submit(turnoverJob, kindKept, caller.offer(turnoverJob, standin.Payload{}, steps))).To(BeTrue(), s.history())

	founders := slices.Clone(f.replicas)
	var leader *supervised
	s.await(g, "a leader", readyTimeout, func() bool { leader = f.leader(); return leader != nil })
	s.replaceByKill(g, leader)
	founders = slices.DeleteFunc(founders, func(r *supervised) bool { return r == leader })
	s.replaceByStop(g, founders[0])
	s.replaceByKill(g, founders[1])
	operator.change()
	s.killAllAndLoseDisk(g, f.replicas[len(f.replicas)-1])

	acknowledged := operator.acknowledged
	s.await(g, "the configuration", turnoverRecovery, operator.read)
	s.await(g, "the job", turnoverRecovery, func() bool { return caller.shown(turnoverJob) })
	s.await(g, "a new configuration", turnoverRecovery, func() bool { operator.change(); return operator.acknowledged > acknowledged })
	g.Expect(caller.submit(laterJob, kindKept, caller.offer(laterJob, standin.Payload{}, steps))).To(BeTrue(), s.history())
	s.await(g, "the tasks of both jobs", soakLasting, func() bool { return len(f.record.Idle(caller.kept())) == 0 })
	g.Expect(f.record.Broken()).To(BeEmpty(), fmt.Sprint(s.history()))
}
