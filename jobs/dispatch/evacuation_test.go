package dispatch

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

// maxEvacuationDelay bounds the time from an order to the last start that is sent in its
// domain: the lease of a former leader, the wait at a carrier and the way to the worker. It is
// half of the 5 s in which the order has to be in force.
const maxEvacuationDelay = 2500 * time.Millisecond

// evacuationSeedShare divides the number of seeds of the random runs with evacuations.
const evacuationSeedShare = 3

var _ = Describe("Evacuation", func() {
	small := jobs.Resources{MilliCPU: 1000, MemoryMB: 10}

	// fleet returns a simulation with two workers in each of the domains a and b.
	fleet := func(sim *simulation) *simulation {
		for _, domain := range []string{"a", "a", "b", "b"} {
			sim.addWorker(fullCapacity, true).domain = domain
		}
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		return sim
	}
	runningIn := func(sim *simulation, domain string) int {
		count := 0
		for _, t := range sim.workers {
			if t.domain == domain {
				count += len(t.running)
			}
		}
		return count
	}
	// crashed commits attempts of a task that ended on a lost worker.
	crashed := func(sim *simulation, key jobs.TaskKey, attempts int, outcome jobs.Outcome) {
		nowhere := jobs.Incarnation{Worker: "gone"}
		for i := range attempts {
			sim.store.Apply(jobs.Command{Bind: &jobs.Bind{Task: key, Attempt: i + 1, On: nowhere, At: sim.unix()}})
			sim.store.Apply(jobs.Command{End: &jobs.End{Task: key, Attempt: i + 1, Outcome: outcome, At: sim.unix()}})
		}
	}

	// Guards against a kind of task that is planned past the evacuation, or that is not planned in
	// the domain once the order is revoked. The tasks fill the rest of the fleet, so that some
	// wait: on no account may a worker of the evacuated domain count as room for them.
	DescribeTable("keeps tasks from the domain until it is revoked", func(step jobs.Step, prepare func(sim *simulation)) {
		sim := fleet(newSimulation(7))
		sim.evacuate("a", true)
		step.Request = small
		for i := range 10 {
			sim.submit(fmt.Sprint("j", i), jobs.Spec{Steps: []jobs.Step{step}})
		}
		if prepare != nil {
			prepare(sim)
		}
		sim.runUntil(8 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(runningIn(sim, "a")).To(BeZero())
		Expect(runningIn(sim, "b")).To(BeNumerically(">", 0))
		status := sim.current().TakeStatus()
		Expect(status.Workers.Evacuated).To(Equal(2))
		Expect(status.Workers.Usable).To(Equal(2))
		Expect(status.AllEvacuated()).To(BeFalse())
		sim.evacuate("a", false)
		sim.submit("after", jobs.Spec{Steps: []jobs.Step{{Count: 4, MaxPerWorker: 1, Request: jobs.Resources{MilliCPU: 500, MemoryMB: 10}, EstimateMS: 60_000}}})
		sim.runUntil(10 * time.Second)
		Expect(runningIn(sim, "a")).To(BeNumerically(">", 0))
		Expect(sim.violations).To(BeEmpty())
	},
		Entry("short", jobs.Step{Count: 1, EstimateMS: 60_000}, nil),
		Entry("long-running", jobs.Step{Count: 1, LongRunning: true}, nil),
		Entry("long-running with a disruption budget", jobs.Step{Count: 1, LongRunning: true, MaxUnavailable: 1}, nil),
		Entry("serving", jobs.Step{Count: 1, LongRunning: true, LatencyTargetMS: 50, Image: "s"}, nil),
		Entry("filler", jobs.Step{Count: 1, EstimateMS: 60_000, Filler: true, Image: "f"}, nil),
		Entry("gang", jobs.Step{Count: 2, EstimateMS: 60_000, Gang: true}, nil),
		Entry("restarts", jobs.Step{Count: 1, LongRunning: true}, func(sim *simulation) {
			for i := range 10 {
				crashed(sim, jobs.TaskKey{Job: fmt.Sprint("j", i)}, 1, jobs.OutcomeLeaseExpired)
			}
		}),
		Entry("a suspect", jobs.Step{Count: 1, EstimateMS: 60_000}, func(sim *simulation) {
			crashed(sim, jobs.TaskKey{Job: "j0"}, 2, jobs.OutcomeCrashed)
		}),
	)

	// Guards against an admission that takes idle workers of the evacuated domain for room.
	It("counts no room of the domain for admission", func() {
		sim := fleet(newSimulation(7))
		large := jobs.Spec{Steps: []jobs.Step{{Count: 2, Request: fullCapacity, EstimateMS: 60_000}}}
		sim.evacuate("a", true)
		sim.submit("fills-b", large)
		sim.runUntil(4 * time.Second)
		Expect(runningIn(sim, "b")).To(Equal(2))
		Expect(sim.current().hasFreeWorker("s", &large)).To(BeFalse())
		sim.evacuate("a", false)
		Expect(sim.current().hasFreeWorker("s", &large)).To(BeTrue())
	})

	// Guards against room of the evacuated domain in a claim, a reservation, a move or the reserve
	// for short tasks: all of them choose among the candidates.
	It("has no candidate in the domain, and drops the claims there", func() {
		sim := preemptionSimulation(7)
		sim.durationSpread = 0
		sim.addWorker(fullCapacity, true).domain = "a"
		sim.startLeader()
		sim.runUntil(2 * time.Second)
		victim := oneTask(3500, 20_000)
		victim.Steps[0].Checkpointed = true
		sim.submit("victim", victim)
		sim.runUntil(4 * time.Second)
		sim.submitUrgent("urgent", oneTask(3000, 600))
		d := sim.current()
		sim.runUntil(4*time.Second + 100*time.Millisecond)
		Expect(d.planner.preemptor.claims).To(HaveLen(1))
		sim.addWorker(fullCapacity, true).domain = "b"
		sim.evacuate("a", true)
		sim.runUntil(40 * time.Second)
		Expect(d.planner.preemptor.claims).To(BeEmpty())
		for _, c := range d.candidates() {
			Expect(c.worker.Domain).To(Equal("b"))
		}
		Expect(runningIn(sim, "a")).To(BeZero())
		Expect(sim.store.Job("urgent").State).To(Equal(jobs.Done))
		Expect(sim.violations).To(BeEmpty())
	})

	// Guards against the start of a binding that is committed after the order, and against a gang
	// of which some members start.
	DescribeTable("cancels bindings that are committed after the order", func(gang bool) {
		sim := fleet(newSimulation(7))
		sim.commitDelay = 300 * time.Millisecond
		sim.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 8, MaxPerWorker: 2, Gang: gang, Request: small, EstimateMS: 60_000}}})
		sim.runUntil(2100 * time.Millisecond)
		Expect(sim.current().proposedBinds).To(HaveLen(8))
		sim.evacuate("a", true)
		sim.commitDelay = 0
		sim.runUntil(4 * time.Second)
		Expect(runningIn(sim, "a")).To(BeZero())
		cancelled := sim.current().TakeStatus().EvacuatedStarts
		if gang {
			Expect(cancelled).To(Equal(8))
			Expect(runningIn(sim, "b")).To(BeZero(), "the gang has no room in b with 2 tasks on a worker")
		} else {
			Expect(cancelled).To(Equal(4))
			Expect(runningIn(sim, "b")).To(Equal(4))
		}
		sim.evacuate("a", false)
		sim.runUntil(6 * time.Second)
		Expect(runningIn(sim, "a")).To(Equal(4))
		Expect(runningIn(sim, "b")).To(Equal(4))
		sim.store.Job("j").Tasks(func(t *jobs.Task) { Expect(t.Failures + t.Crashes).To(BeZero()) })
		Expect(sim.violations).To(BeEmpty())
	}, Entry("of single tasks", false), Entry("of a gang", true))

	// Guards against a part of a gang that waits for the others in vain, since the bindings of its
	// members were committed in entries before and after the order.
	It("starts a gang as a whole or not at all", func() {
		sim := fleet(newSimulation(7))
		sim.commitDelay = 300 * time.Millisecond
		sim.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 2, MaxPerWorker: 1, Gang: true, Request: small, EstimateMS: 60_000}}})
		sim.runUntil(2100 * time.Millisecond)
		d, j := sim.current(), sim.store.Job("j")
		first, second := d.proposedBinds[jobs.TaskKey{Job: "j"}], d.proposedBinds[jobs.TaskKey{Job: "j", Index: 1}]
		Expect(d.evacuationPrevents(j, second)).To(BeFalse())
		sim.evacuate(first.worker.Domain, true)
		Expect(d.evacuationPrevents(j, second)).To(BeTrue(), "whichever domain the second one is in")
		for _, p := range []phase{phaseOrdered, phaseStarted, phaseUncertain} {
			first.phase = p
			Expect(d.evacuationPrevents(j, second)).To(BeFalse())
		}
		first.phase = phaseVoid
		Expect(d.evacuationPrevents(j, second)).To(BeTrue())
	})

	// Guards against a start that was not answered and is sent again in the domain.
	It("starts a task elsewhere whose start in the domain was not answered", func() {
		sim := fleet(newSimulation(7))
		for _, t := range sim.workers[:2] {
			t.ordersBlocked = true
		}
		sim.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 4, MaxPerWorker: 1, Request: small, EstimateMS: 60_000}}})
		sim.runUntil(2200 * time.Millisecond)
		sim.evacuate("a", true)
		sim.submit("k", jobs.Spec{Steps: []jobs.Step{{Count: 2, Request: small, EstimateMS: 60_000}}})
		sim.runUntil(3200 * time.Millisecond)
		for _, t := range sim.workers[:2] {
			t.ordersBlocked = false
		}
		sim.runUntil(20 * time.Second)
		Expect(runningIn(sim, "a")).To(BeZero())
		Expect(runningIn(sim, "b")).To(Equal(4), "two of j wait since one runs on each worker")
		Expect(sim.violations).To(BeEmpty())
	})

	// Guards against an order that waits at a carrier for longer than the bound allows.
	It("lets no start leave its carrier later than the bound", func() {
		sim := fleet(newSimulation(7))
		sim.carrierWait = func(o Order) time.Duration {
			return 1500 * time.Millisecond * time.Duration(boolToInt(o.Start != nil))
		}
		sim.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 16, Request: small, EstimateMS: 60_000}}})
		sim.runUntil(2100 * time.Millisecond)
		sim.evacuate("a", true)
		sim.submit("k", jobs.Spec{Steps: []jobs.Step{{Count: 16, Request: small, EstimateMS: 60_000}}})
		sim.runUntil(2100*time.Millisecond + maxEvacuationDelay)
		before := runningIn(sim, "a")
		Expect(before).To(BeNumerically(">", 0), "the carrier had the orders before")
		sim.runUntil(20 * time.Second)
		Expect(runningIn(sim, "a")).To(Equal(before), "what runs goes on")
		Expect(sim.violations).To(BeEmpty())
	})

	// Guards against a new leader that starts a task before it applies the evacuations.
	It("is in force for a new leader before its first start", func() {
		sim := fleet(newSimulation(7))
		sim.evacuate("a", true)
		sim.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 10, Request: small, EstimateMS: 60_000}}})
		sim.startLeader()
		sim.runUntil(5 * time.Second)
		Expect(runningIn(sim, "a")).To(BeZero())
		Expect(runningIn(sim, "b")).To(Equal(8))
		Expect(sim.violations).To(BeEmpty())
	})

	// Guards against a worker that keeps the state of its former domain: by a restart under the
	// same id, and without one.
	It("follows a worker to another domain", func() {
		sim := fleet(newSimulation(7))
		sim.evacuate("a", true)
		leaves, enters, renamed := sim.workers[0], sim.workers[2], sim.workers[3]
		for t, domain := range map[*simWorker]string{leaves: "b", enters: "a"} {
			t.crash(500 * time.Millisecond)
			t.domain = domain
		}
		renamed.domain = "a"
		sim.runUntil(6 * time.Second)
		sim.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 10, Request: small, EstimateMS: 60_000}}})
		sim.runUntil(8 * time.Second)
		Expect(leaves.running).To(HaveLen(4))
		Expect(enters.running).To(BeEmpty())
		Expect(renamed.running).To(BeEmpty())
		Expect(sim.violations).To(BeEmpty())
	})

	// Guards against work that is given up, or stopped in order to move, while there is no domain
	// left, and against work that does not start after the revocation.
	It("lets work wait while all domains are evacuated", func() {
		sim := fleet(newSimulation(7))
		sim.submit("runs", jobs.Spec{Steps: []jobs.Step{{Count: 4, MaxPerWorker: 1, Request: small, EstimateMS: 12_000}}})
		sim.submit("fails", jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: small, LongRunning: true}}})
		sim.runUntil(4 * time.Second)
		sim.evacuate("a", true)
		sim.evacuate("b", true)
		for _, t := range sim.workers {
			t.hung = true
		}
		sim.submit("waits", jobs.Spec{Steps: []jobs.Step{{Count: 4, Request: small, EstimateMS: 500}}})
		sim.runUntil(12 * time.Second)
		status := sim.current().TakeStatus()
		Expect(status.AllEvacuated()).To(BeTrue())
		Expect(status.FreeMilliCPU).To(BeZero())
		Expect(status.EvacuatedDomains).To(Equal(2))
		Expect(runningIn(sim, "a")+runningIn(sim, "b")).To(Equal(5), "nothing is moved")
		for _, t := range sim.workers {
			t.hung = false
		}
		sim.runUntil(40 * time.Second)
		Expect(sim.store.Job("runs").State).To(Equal(jobs.Done))
		Expect(sim.store.Job("waits").State).To(Equal(jobs.Queued))
		sim.evacuate("b", false)
		sim.runUntil(43 * time.Second)
		Expect(sim.store.Job("waits").State).To(Equal(jobs.Done))
		sim.store.Job("waits").Tasks(func(t *jobs.Task) { Expect(t.Attempt).To(Equal(1)) })
		Expect(sim.violations).To(BeEmpty())
	})

	// Guards against starts in an evacuated domain while workers crash, are partitioned, drain or
	// answer late, carriers, commits and leaders are late or change, and against work that is
	// lost with it.
	DescribeTable("is in force", func(inject func(*simulation)) {
		first, count := seeds()
		for i := range max(1, count/evacuationSeedShare) {
			seed := first + uint64(i) //nolint:gosec // small
			sim := newSimulation(seed)
			domains := []string{"a", "b", "c"}
			for i := range 6 {
				sim.addWorker(fullCapacity, sim.rng.IntN(2) == 0).domain = domains[i%3]
			}
			sim.inheritProposals = true
			sim.startLeader()
			for at := time.Second; at < faultsEnd; at += 700 * time.Millisecond {
				sim.schedule(at, func() {
					spec := sim.randomSpec()
					spec.Steps[0].Gang = sim.rng.IntN(4) == 0 && spec.Steps[0].Count <= 3
					sim.submit(fmt.Sprintf("job-%v", at), spec)
				})
				sim.schedule(at, func() { sim.evacuate(domains[sim.rng.IntN(3)], sim.rng.IntN(2) == 0) })
			}
			for at := 3 * time.Second; at < faultsEnd; at += 1500 * time.Millisecond {
				sim.schedule(at, func() { inject(sim) })
			}
			sim.schedule(faultsEnd+5*time.Second, func() {
				sim.evacuate("a", true)
				sim.evacuate("b", false)
				sim.evacuate("c", false)
			})
			sim.runUntil(simulationEnd)
			for key, count := range sim.boundToEnded {
				sim.possibleCrashes[key] += count
			}
			Expect(sim.violations).To(BeEmpty(), "seed %d", seed)
			for _, j := range sim.store.Jobs() {
				sim.expectDone(seed, j)
			}
		}
	},
		Entry("under faults", (*simulation).injectFault),
		Entry("with late processes", (*simulation).injectLateness),
	)
})
