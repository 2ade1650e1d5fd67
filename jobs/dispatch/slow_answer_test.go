package dispatch

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

var _ = Describe("Dispatcher with answers that arrive late", func() {
	small := jobs.Resources{MilliCPU: 1000, MemoryMB: 10}

	fleet := func(workers int) *simulation {
		sim := newSimulation(7)
		for range workers {
			sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
		}
		sim.startLeader()
		sim.runUntil(3 * time.Second)
		return sim
	}

	// Guards against sound starts that are stopped and ordered again without end, because
	// each of them is answered later than the sender waits.
	for _, late := range []bool{false, true} {
		It(fmt.Sprintf("keeps starts that are answered after 1.6 s (they arrive: %v)", late), func() {
			sim := fleet(10)
			sim.answerDelay, sim.lateAnswers = 1600*time.Millisecond, late
			sim.submit("lasting", jobs.Spec{Steps: []jobs.Step{{Count: 20, Request: small, LongRunning: true}}})
			sim.submit("short", jobs.Spec{Steps: []jobs.Step{{Count: 20, Request: small, EstimateMS: 3000}}})
			sim.runUntil(20 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			Expect(sim.starts).To(Equal(40))
			Expect(sim.stops).To(BeZero())
			Expect(sim.store.Job("short").State).To(Equal(jobs.Done))
			sim.store.Job("lasting").Tasks(func(t *jobs.Task) {
				Expect(t.Attempt).To(Equal(1), t.Key.String())
				Expect(t.BoundTo).NotTo(BeNil(), t.Key.String())
			})
		})
	}

	// setUp returns a leader, a worker and the attempt of a task whose start has counted as
	// not reported.
	setUp := func() (*Dispatcher, *worker, *attempt) {
		sim := fleet(1)
		sim.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: small, EstimateMS: 60_000}}})
		sim.runUntil(3500 * time.Millisecond)
		d := sim.current()
		w := d.workers[sim.workers[0].id]
		a := w.attempts[jobs.TaskKey{Job: "j"}]
		a.setPhase(phaseOrdered, d.now)
		return d, w, a
	}
	startReply := func(w *worker, a *attempt, r Reply) Reply {
		r.Order = Order{Start: &Start{Task: a.task, Attempt: a.number}, target: w}
		return r
	}

	// Guards against room that stays taken by a start that was refused after the sender had
	// stopped to wait.
	It("ends an attempt whose start turns out to be refused", func() {
		d, w, a := setUp()
		d.HandleReply(startReply(w, a, Reply{Status: Unknown, Unreported: true}))
		Expect(a.phase).To(Equal(phaseUncertain))
		d.HandleReply(startReply(w, a, Reply{Status: Refused, Late: true}))
		Expect(a.endProposed).To(BeTrue())
	})

	// Guards against a start that counts as accepted, or is ended twice, by a late answer after
	// its stop was sent: only the answer to the stop tells then.
	It("ignores a late answer to a start that is being stopped", func() {
		for _, status := range []ReplyStatus{Accepted, Refused} {
			d, w, a := setUp()
			d.HandleReply(startReply(w, a, Reply{Status: Unknown, Unreported: true}))
			a.stopping = true
			d.HandleReply(startReply(w, a, Reply{Status: status, Late: true}))
			Expect(a.phase).To(Equal(phaseUncertain))
			Expect(a.endProposed).To(BeFalse())
		}
	})

	// Guards against attempts that keep their room for a start that never arrived: the next
	// list lacks them, and a stop settles that they can't start.
	It("stops an attempt that the next list of its worker lacks", func() {
		d, w, a := setUp()
		d.HandleReply(startReply(w, a, Reply{Status: Unknown}))
		Expect(d.mustStop(w, a)).To(BeFalse())
		d.handleMissing(a, a.phaseSince-time.Millisecond)
		Expect(d.mustStop(w, a)).To(BeFalse(), "the list may be older than the start")
		d.handleMissing(a, a.phaseSince)
		Expect(d.mustStop(w, a)).To(BeTrue())
		Expect(a.endProposed).To(BeFalse(), "the start may still arrive")
	})

	It("stops an attempt for which no list comes", func() {
		d, w, a := setUp()
		d.HandleReply(startReply(w, a, Reply{Status: Unknown}))
		d.now += lookupTimeout
		Expect(d.mustStop(w, a)).To(BeTrue())
	})

	// Guards against workers that get no tasks because the report of a carrier was late, and
	// against a silent worker that keeps its tasks because its carriers fail.
	It("takes a worker for unresponsive only after two holds without a report", func() {
		d, w, _ := setUp()
		hold := Reply{Order: Order{Hold: &Hold{}, target: w}, Status: Unknown, Unreported: true, SentAt: d.now}
		d.HandleReply(hold)
		Expect(w.usable(d.now)).To(BeTrue())
		d.HandleReply(hold)
		Expect(w.unresponsive).To(BeTrue())
		d.HandleReply(Reply{Order: hold.Order, Status: Accepted, Late: true, SentAt: d.now})
		Expect(w.unresponsive).To(BeFalse(), "the answer was late only")
	})

	// Guards against a hold that acknowledges ends by their former numbers after one without an
	// answer: the worker may have restarted under its id meanwhile.
	It("acknowledges nothing with the hold after one without an answer", func() {
		for _, r := range []Reply{{Status: Unknown, Unreported: true}, {Status: Unknown}, {Status: Expired}} {
			d, w, _ := setUp()
			w.lastAcked = 7
			r.Order, r.SentAt = Order{Hold: &Hold{}, target: w}, d.now
			d.HandleReply(r)
			d.TakeOutput()
			w.nextHoldAt = d.now
			d.sendHold(w)
			_, orders, _ := d.TakeOutput()
			Expect(orders).To(HaveLen(1))
			Expect(orders[0].Hold.AckThrough).To(BeZero(), "%+v", r)
			d.HandleReply(Reply{Order: r.Order, Status: Accepted, Late: true, SentAt: d.now})
			Expect(w.ackPaused).To(BeTrue())
			d.HandleReply(Reply{Order: r.Order, Status: Accepted, SentAt: d.now})
			w.nextHoldAt = d.now
			d.sendHold(w)
			_, orders, _ = d.TakeOutput()
			Expect(orders).To(HaveLen(1))
			Expect(orders[0].Hold.AckThrough).To(BeEquivalentTo(7))
		}
	})

	// Guards against a hold that acknowledges ends by their former numbers after a late answer:
	// it tells that the worker had not restarted by then, and not that it hasn't since.
	It("acknowledges nothing after a late answer until one comes in time", func() {
		d, w, _ := setUp()
		order := Order{Hold: &Hold{}, target: w}
		nextAck := func() int64 {
			d.TakeOutput()
			w.nextHoldAt = d.now
			d.sendHold(w)
			_, orders, _ := d.TakeOutput()
			Expect(orders).To(HaveLen(1))
			return orders[0].Hold.AckThrough
		}
		w.lastAcked = 7
		d.HandleReply(Reply{Order: order, Status: Unknown, Unreported: true, SentAt: d.now})
		d.HandleReply(Reply{Order: order, Status: Accepted, Late: true, SentAt: d.now})
		Expect(nextAck()).To(BeZero())
		d.HandleReply(Reply{Order: order, Status: Accepted, SentAt: d.now})
		Expect(nextAck()).To(BeEquivalentTo(7))
		d.HandleReply(Reply{Order: order, Status: Expired, SentAt: d.now})
		Expect(nextAck()).To(BeZero(), "the hold had waited and was not sent")
	})

	// Guards against a late list that replaces a newer one: it lacks starts that the newer one
	// has confirmed, and lists attempts that have ended since.
	It("ignores a late list that is older than the last one", func() {
		d, w, a := setUp()
		a.setPhase(phaseStarted, 0)
		order := Order{Hold: &Hold{}, target: w}
		running := []RunningTask{{Task: a.task, Attempt: a.number}}
		d.HandleReply(Reply{Order: order, Status: Accepted, SentAt: d.now, Running: running})
		d.HandleReply(Reply{Order: order, Status: Accepted, Late: true, SentAt: d.now - time.Millisecond})
		Expect(a.endProposed).To(BeFalse())
	})

	// Guards against tasks that run twice, start after their end or are lost while answers
	// take longer than the sender waits, beside the faults of the other random runs.
	It("keeps its invariants while answers are late and workers and leaders fail", func() {
		first, count := seeds()
		for i := range count / 2 {
			seed := first + uint64(i) //nolint:gosec // small
			sim := newSimulation(seed)
			for range 3 + sim.rng.IntN(4) {
				sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, sim.rng.IntN(2) == 0)
			}
			sim.startLeader()
			for at := time.Second; at < faultsEnd; at += 700 * time.Millisecond {
				sim.schedule(at, func() { sim.submit(fmt.Sprintf("job-%v", at), sim.randomSpec()) })
				sim.schedule(at, func() {
					sim.answerDelay = time.Duration(sim.rng.Int64N(int64(3 * time.Second)))
					sim.lateAnswers = sim.rng.IntN(2) == 0
				})
			}
			sim.schedule(faultsEnd, func() { sim.answerDelay = 0 })
			for at := 3 * time.Second; at < faultsEnd; at += 3 * time.Second {
				sim.schedule(at, sim.injectFault)
			}
			sim.runUntil(simulationEnd)
			Expect(sim.violations).To(BeEmpty(), "seed %d", seed)
			for _, j := range sim.store.Jobs() {
				sim.expectDone(seed, j)
			}
		}
	})
})
