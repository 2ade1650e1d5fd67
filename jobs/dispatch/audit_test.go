package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

var _ = Describe("Audit", func() {
	small := jobs.Resources{MilliCPU: 1000, MemoryMB: 10}
	key := jobs.TaskKey{Job: "j"}
	var sim *simulation
	var w *worker

	BeforeEach(func() {
		sim = newSimulation(7)
		t := sim.addWorker(jobs.Resources{MilliCPU: 1000, MemoryMB: 1000}, true)
		d := sim.startLeader()
		sim.runUntil(2 * time.Second)
		sim.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: small, EstimateMS: 60_000}}})
		sim.runUntil(3 * time.Second)
		w = d.workers[t.id]
		Expect(w.attempts).To(HaveKey(key))
	})

	// repairs returns the number of violations, each of which must be a repair, and clears
	// them.
	repairs := func() int {
		for _, v := range sim.violations {
			Expect(v).To(ContainSubstring("the audit had to repair"))
		}
		count := len(sim.violations)
		sim.violations = nil
		return count
	}

	// Guards against a task that never runs again because no event reaches it any more, and
	// against one that runs twice since its start was still on its way.
	It("tracks a bound task again", func() {
		delete(w.attempts, key)
		sim.runUntil(4 * time.Second)
		Expect(repairs()).To(Equal(1))
		sim.runUntil(8 * time.Second)
		Expect(repairs()).To(BeZero())
		Expect(w.attempts).To(HaveKey(key))
		Expect(sim.runs(key)).To(BeTrue())
	})

	// Guards against room that is given away while a task still runs there.
	It("keeps the room of an attempt that is not bound until it has stopped", func() {
		sim.store.Apply(jobs.Command{End: &jobs.End{Task: key, Attempt: 1, Outcome: jobs.OutcomeLost, At: sim.unix()}})
		sim.current().nextAuditAt = 0
		sim.current().audit()
		Expect(w.unexpected).To(HaveKey(attemptKey{key, 1}))
		Expect(w.free().MilliCPU).To(BeZero())
		sim.runUntil(8 * time.Second)
		Expect(repairs()).To(Equal(1))
		sim.runUntil(12 * time.Second)
		Expect(repairs()).To(BeZero())
		Expect(w.attempts[key].number).To(BeNumerically(">", 1))
		Expect(sim.runs(key)).To(BeTrue())
	})

	// Guards against a job that leaves the plan while one of its tasks waits.
	It("plans a startable task again", func() {
		sim.submit("k", jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: small, EstimateMS: 100}}})
		sim.current().refreshWaiting()
		delete(sim.current().planner.waiting, "k")
		sim.runUntil(4 * time.Second)
		Expect(repairs()).To(Equal(1))
		Expect(sim.current().planner.waiting).To(HaveKey("k"))
	})
})
