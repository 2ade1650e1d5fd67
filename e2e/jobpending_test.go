package e2e_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/platform/standin"
)

const (
	// pendingJobs are accepted right after a worker has gone dark. All of them fit on it.
	pendingJobs = 4
	// pendingWatch is how long the answers are read while the worker is dark, which is longer
	// than its lease. In that time the leader is killed at pendingKill, and all replicas are at
	// pendingKillAll.
	pendingWatch   = 9 * time.Second
	pendingKill    = 2 * time.Second
	pendingKillAll = 5 * time.Second
	// pendingAnswers is the least number of answers that have to come in that time.
	pendingAnswers = 15
	// pendingBegin bounds the time until the jobs begin once the worker is back.
	pendingBegin = 10 * time.Second
)

// pendingCount asks for the number of pending jobs of the queue.
func (c *jobCaller) pendingCount() (count int, ok bool) {
	status, body := c.call(http.MethodGet, "", "")
	var shown struct {
		Pending *int `json:"pending"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(body), &shown) != nil || shown.Pending == nil {
		return 0, false
	}
	return *shown.Pending, true
}

// Guards against accepted jobs that count as started, and are shown as running, while they
// are bound to a worker which has gone dark: for the leader that bound them, for the next, and
// after all replicas were killed.
func TestJobsOfADarkWorkerArePending(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s, _ := newSoak(t, g, 1, 3, 2, 0)
	c := newJobCaller(s.f, 1, 0)
	full := standin.Step{Count: 1, MilliCPU: jobWorkerCPU, Lasting: true}
	g.Expect(c.submit(lastingJob, kindKept, c.offer(lastingJob, standin.Payload{}, []standin.Step{full}))).To(BeTrue())
	s.await(g, "a full worker", lastingWithin, func() bool { return len(s.f.record.Idle(c.kept())) == 0 })
	dark := 0
	if s.f.workers[0].InUse() > 0 {
		dark = 1
	}
	s.f.orders[dark].there.cut.Store(true)
	s.f.orders[dark].back.cut.Store(true)
	s.f.workers[dark].Crash()

	var ids []string
	for i := range pendingJobs {
		id := fmt.Sprintf("00000000000000b%d", i)
		ids = append(ids, id)
		steps := []standin.Step{{Count: 1, MilliCPU: jobWorkerCPU / pendingJobs}}
		g.Expect(c.submit(id, kindShort, c.offer(id, standin.Payload{After: time.Second}, steps))).To(BeTrue())
	}
	s.after(pendingKill, func() { g.Expect(s.killLeader()).To(BeTrue()) })
	s.after(pendingKillAll, func() { s.killReplicas(restartPause) })
	begin, answers := time.Now(), 0
	s.await(g, "the end of the watch", 2*pendingWatch, func() bool {
		if count, ok := c.pendingCount(); ok {
			answers++
			g.Expect(count).To(Equal(pendingJobs), "pending %v after the last job was accepted", time.Since(begin))
		}
		if _, shown, ok := c.shownState(ids[0]); ok {
			g.Expect(shown).To(Equal("queued"))
		}
		return time.Since(begin) >= pendingWatch
	})
	g.Expect(answers).To(BeNumerically(">=", pendingAnswers))

	s.heal()
	s.await(g, "the start of all jobs", pendingBegin, func() bool {
		count, ok := c.pendingCount()
		return ok && count == 0
	})
	s.awaitEnds(g, c)
	g.Expect(s.f.record.Broken()).To(BeEmpty(), s.history())
}
