package dispatch

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

var _ = Describe("Decisions about a task", func() {
	key := jobs.TaskKey{Job: "j"}
	small := jobs.Resources{MilliCPU: 1000, MemoryMB: 10}
	var sim *simulation
	var previous *simWorker
	var d *Dispatcher

	BeforeEach(func() {
		sim = newSimulation(7)
		previous = sim.addWorker(jobs.Resources{MilliCPU: 1000, MemoryMB: 1000}, true)
		d = sim.startLeader()
		sim.runUntil(2 * time.Second)
		sim.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: small, EstimateMS: 60_000}}})
		sim.runUntil(3 * time.Second)
		Expect(previous.running).To(HaveKey(key))
	})

	// traced returns the lines of failed checks and of the decisions about their tasks.
	traced := func() []string {
		var lines []string
		_, _, logEvents := d.TakeOutput()
		for _, e := range logEvents {
			if e.Trace {
				Expect(e.Task).To(Equal(key))
				lines = append(lines, fmt.Sprintf("%s %s attempt %d: %s", e.Event, e.Worker, e.Attempt, e.Detail))
			}
		}
		return lines
	}

	// Guards against a task that runs twice and no line that tells why its first attempt
	// counted as over.
	It("are logged when an attempt that was given up turns out to be done after a newer one has started", func() {
		previous.partitioned = true
		sim.runUntil(3*time.Second + testLease + time.Second)
		newer := sim.addWorker(jobs.Resources{MilliCPU: 1000, MemoryMB: 1000}, true)
		sim.runUntil(sim.now + 2*testHeartbeatInterval)
		Expect(newer.running).To(HaveKey(key))
		Expect(traced()).To(BeEmpty())

		w := newWorker(Heartbeat{Worker: previous.id}, 77, d.now)
		d.handleFinished(w, []FinishedTask{{Number: 9, Task: key, Attempt: 1, Outcome: jobs.OutcomeDone}})
		commands := d.commands
		lines := traced()
		Expect(lines).To(HaveLen(4))
		Expect(lines[0]).To(HavePrefix("late end after a newer attempt " + previous.id + " attempt 1: done, newest attempt 2"))
		Expect(lines[1]).To(HavePrefix("decision: attempt ended " + previous.id + " attempt 1: "))
		Expect(lines[1]).To(ContainSubstring("lease expired by the worker's clock, outcome lapsed, bound_ms "))
		Expect(lines[2]).To(HavePrefix("decision: attempt started " + newer.id + " attempt 2: "))
		Expect(lines[3]).To(HavePrefix("decision: attempt ended " + previous.id + " attempt 1: "))
		Expect(lines[3]).To(ContainSubstring("fence 77, listed as ended after it was given up, outcome done, end 9"))

		Expect(commands).To(HaveLen(1))
		commands[0].OnResult(sim.store.Apply(commands[0].Command), true)
		Expect(w.lastAcked).To(BeEquivalentTo(9))
		last := d.trace.decisions[len(d.trace.decisions)-1]
		Expect(last.kind).To(Equal(endAcknowledged))
		Expect(last.String()).To(ContainSubstring("fence 77, the end is recorded, outcome done, end 9"))
		Expect(traced()).To(BeEmpty(), "the check fails once for each end")
	})

	// Guards against a repair whose cause can't be found any more.
	It("are logged when the audit repairs the task", func() {
		d.endAttempt(d.workers[previous.id].attempts[key], jobs.OutcomeLost)
		d.TakeOutput()
		delete(d.workers[previous.id].attempts, key)
		d.auditBound()
		Expect(traced()).To(ConsistOf(HavePrefix("decision: attempt ended " + previous.id + " attempt 1: ")))
	})

	// Guards against a log that has lost records without anyone noticing.
	It("are logged when the end of an attempt is acknowledged that the log does not know", func() {
		w := d.workers[previous.id]
		d.handleFinished(w, []FinishedTask{{Number: 1, Task: key, Attempt: 5, Outcome: jobs.OutcomeDone}})
		lines := traced()
		Expect(lines).To(HaveLen(2))
		Expect(lines[0]).To(Equal("end acknowledged without a record " + previous.id + " attempt 5: the log does not know the attempt"))
		Expect(lines[1]).To(HavePrefix("decision: end acknowledged " + previous.id + " attempt 5: "))
	})

	// Guards against a record of decisions that grows with the load, or loses the latest ones.
	It("are kept up to a bound, the latest ones", func() {
		d.trace = trace{}
		for i := range traceCapacity + 5 {
			d.traceAttempt(attemptStarted, &attempt{task: key, number: i}, "", certainty{})
		}
		Expect(d.trace.decisions).To(HaveLen(traceCapacity))
		d.reportDecisions(key)
		lines := traced()
		Expect(lines).To(HaveLen(traceCapacity))
		Expect(lines[0]).To(HavePrefix("decision: attempt started  attempt 5: "))
		Expect(lines[traceCapacity-1]).To(HavePrefix(fmt.Sprintf("decision: attempt started  attempt %d: ", traceCapacity+4)))
	})

	// Guards against a leader that spends its time on reports when many checks fail at once.
	It("are logged for a limited number of tasks in a second", func() {
		for range 2 * maxTraceReports {
			d.reportFailedCheck("check", nil, key, 1, "")
		}
		perReport := 0
		for _, e := range d.trace.decisions {
			perReport += boolToInt(e.task == key)
		}
		d.traceAttempt(attemptStarted, &attempt{task: key, number: 1}, "", certainty{})
		Expect(traced()).To(HaveLen(2*maxTraceReports + perReport*maxTraceReports))
		d.Advance(d.now+traceReportPeriod, sim.unix())
		d.reportFailedCheck("check", nil, key, 1, "")
		Expect(traced()).To(HaveLen(2 + perReport))
	})

	// Guards against an attempt that is ended without anything that makes it certain to be over,
	// and against a start whose previous attempt has no recorded end.
	It("say what makes each attempt certain to be over, under faults", func() {
		ended, restarted := map[decisionBasis]int{}, 0
		for seed := range uint64(20) {
			sim := newSimulation(seed)
			for range 4 {
				t := sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, sim.rng.IntN(2) == 0)
				t.refusesConnections = sim.rng.IntN(2) == 0
			}
			sim.expireRate = 0.02
			sim.startLeader()
			for at := time.Second; at < faultsEnd; at += 700 * time.Millisecond {
				sim.schedule(at, func() { sim.submit(fmt.Sprintf("job-%v", at), sim.randomSpec()) })
			}
			for at := 3 * time.Second; at < faultsEnd; at += 1500 * time.Millisecond {
				sim.schedule(at, sim.injectFault)
			}
			sim.runUntil(faultsEnd + 20*time.Second)
			Expect(sim.violations).To(BeEmpty(), "seed %d", seed)
			ends := map[attemptKey]bool{}
			for _, leader := range sim.leaders {
				for _, e := range leader.trace.decisions {
					ends[attemptKey{e.task, e.attempt}] = ends[attemptKey{e.task, e.attempt}] || e.kind == attemptEnded
					if e.kind == attemptStarted {
						Expect(ends).To(HaveKeyWithValue(attemptKey{e.task, e.attempt - 1}, true), "seed %d: %+v", seed, e)
						restarted++
					}
					Expect(e.basis).NotTo(BeEmpty(), "seed %d: %+v", seed, e)
					Expect(e.reading).To(BeNumerically(">=", e.bound), "seed %d: %+v", seed, e)
					ended[e.basis] += boolToInt(e.kind == attemptEnded)
				}
			}
		}
		for _, basis := range []decisionBasis{
			basisListed, basisListedLate, basisMissing, basisVoidMissing, basisStartNotSent, basisLeaseByWorker, basisLeaseByLeader, basisNeverStarted,
		} {
			Expect(ended[basis]).To(BeNumerically(">", 0), "%s of %v", basis, ended)
		}
		Expect(restarted).To(BeNumerically(">", 100))
	})
})
