package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/jobs/dispatch/admission"
)

var urgent = admission.ClassOf("urgent", 8000)

// job is a job of one second of a core.
var job = admission.Job{Class: urgent, Work: 1e6, Duration: 500 * time.Millisecond, Objective: 3500 * time.Millisecond, Window: 10_500 * time.Millisecond}

func full() bool { return false }

// measured returns a controller that has seen ten such jobs start within each second while
// some waited, and the time.
func measured(g *WithT, waiting admission.Work, late bool) (*admission.Controller, time.Duration) {
	c, now := admission.New(0), time.Duration(0)
	for i := range 20 {
		g.Expect(c.Decide(now, job, full).Admitted).To(BeTrue(), "nothing is refused before a second is measured")
		c.Observe(now, map[admission.Class]admission.Load{urgent: {OnTime: 2e6, Backlogged: true}})
		now += 100 * time.Millisecond
		c.Started(urgent, 1e6, late && i%5 == 0, now)
	}
	c.Observe(now, map[admission.Class]admission.Load{urgent: {OnTime: waiting, Late: 20e6, Backlogged: true}})
	return c, now
}

// Guards against work that is accepted although it can't end before it is worthless, and
// against a refusal of work that can.
func TestDecideComparesWorkAheadWithTheRate(t *testing.T) {
	g := NewWithT(t)
	c, now := measured(g, 27e6, false)
	for i := range 3 {
		d := c.Decide(now, job, full)
		g.Expect(d.Rate).To(BeNumerically("~", 1e7, 1))
		g.Expect(d.Admitted).To(BeTrue(), "job %d ends in time, %+v", i, d)
	}
	d := c.Decide(now, job, full)
	g.Expect(d.Admitted).To(BeFalse(), "%+v", d)
	g.Expect(c.Decide(now, job, func() bool { return true }).Admitted).To(BeTrue(), "the fleet has room")
	other := job
	other.Class.Queue = "other"
	g.Expect(c.Decide(now, other, full).Admitted).To(BeTrue(), "the rate of the other queue is not known")

	c, now = measured(g, 50e6, true)
	d = c.Decide(now, job, full)
	g.Expect(d.LateWait).To(BeNumerically("~", 14*time.Second, 4*time.Second))
	g.Expect(d.Admitted).To(BeFalse(), "late work is slow, %+v", d)
	patient := job
	patient.Window = time.Minute
	g.Expect(c.Decide(now, patient, full).Admitted).To(BeTrue(), "late work is soon enough")
}

// Guards against refused clients that all return at once, and against a class that refuses
// for ever.
func TestRetryAfterSpreadsReturns(t *testing.T) {
	g := NewWithT(t)
	c, now := measured(g, 50e6, false)
	returns := map[int]int{}
	for range 100 {
		d := c.Decide(now, job, full)
		g.Expect(d.Admitted).To(BeFalse())
		returns[int(d.RetryAfter.Seconds())]++
	}
	// The work ahead takes 2 s longer than the jobs can wait; ten jobs start in a second.
	for second := 3; second < 11; second++ {
		g.Expect(returns[second]).To(BeNumerically("~", 10, 1), "in second %d", second)
	}
	for range 100 {
		now += 200 * time.Millisecond
		c.Observe(now, nil)
	}
	g.Expect(c.Decide(now, job, full).Admitted).To(BeTrue(), "nothing waits any more")
}

// Guards against state that grows with the number of queues, and against a class that is
// told apart by its rate of nothing.
func TestStateIsBounded(t *testing.T) {
	g := NewWithT(t)
	c := admission.New(0)
	for i := range 2000 {
		c.Started(admission.ClassOf(string(rune('a'+i)), 1000), 1, false, 0)
	}
	g.Expect(c.Classes()).To(Equal(512))
	g.Expect(c.Decide(0, job, full).Admitted).To(BeTrue(), "a class beyond the bound is not measured")
	c.Observe(time.Minute, nil)
	g.Expect(c.Classes()).To(BeZero())
	for i := range 10 {
		c.Observe(time.Minute+time.Duration(i)*time.Second, map[admission.Class]admission.Load{urgent: {OnTime: 1e6, Backlogged: true}})
	}
	d := c.Decide(70*time.Second, job, full)
	g.Expect(d.Admitted).To(BeFalse(), "nothing starts at all")
	g.Expect(d.RetryAfter).To(Equal(30 * time.Second))
}

// Guards against the rate of arrivals on a fleet with room that is taken for what the fleet
// can do, and against refusals by a rate that was measured in an overload that is over.
func TestRateCountsOnlyWhileJobsWait(t *testing.T) {
	g := NewWithT(t)
	c, now := admission.New(0), time.Duration(0)
	for range 50 {
		now += 200 * time.Millisecond
		c.Started(urgent, 1e4, false, now)
		c.Observe(now, nil)
	}
	c.Observe(now, map[admission.Class]admission.Load{urgent: {OnTime: 50e6, Backlogged: true}})
	g.Expect(c.Decide(now, job, full).Admitted).To(BeTrue(), "a burst after a quiet time")

	c, now = measured(g, 50e6, false)
	g.Expect(c.Decide(now, job, full).Admitted).To(BeFalse())
	c.Observe(now, map[admission.Class]admission.Load{urgent: {OnTime: 50e6}})
	g.Expect(c.Decide(now, job, full).Admitted).To(BeTrue(), "no job has waited for room")
}
