package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

var _ = Describe("Dispatcher", func() {
	small := jobs.Resources{MilliCPU: 1000, MemoryMB: 10}

	// Guards against tasks that wait on a worker which reports to be healthy and does
	// nothing: they would miss their objective by the whole time that it hangs.
	It("moves tasks from a worker on which they stand still", func() {
		w := newWorld(7)
		w.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
		w.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
		w.lead()
		w.run(3 * time.Second)
		w.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 6, Request: small, Estimate: 1000}}})
		w.after(300*time.Millisecond, func() { w.workers[0].hung = true })
		w.run(9 * time.Second)
		Expect(w.failures).To(BeEmpty())
		Expect(w.store.Job("j").State).To(Equal(jobs.Done))
		Expect(w.workers[0].hung).To(BeTrue())
	})

	// Guards against a worker that fails everything and gets ever more of it.
	It("gives a worker that fails all tasks no more for a while", func() {
		w := newWorld(7)
		w.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
		w.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
		w.workers[0].fails = true
		w.lead()
		w.run(3 * time.Second)
		for i := range 40 {
			w.after(time.Duration(i)*100*time.Millisecond, func() {
				w.submit(string(rune('A'+i)), jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: small, Estimate: 100}}})
			})
		}
		w.run(9 * time.Second)
		failures := 0
		for _, j := range w.store.Jobs() {
			Expect(j.State).To(Equal(jobs.Done), j.ID)
			j.Tasks(func(t *jobs.Task) { failures += t.Failures })
		}
		Expect(failures).To(BeNumerically("<=", 2*quarantineThreshold))
	})

	// Guards against orders of a former leader: the new one starts a task of a silent
	// worker only after the longest lease that the former may have granted.
	It("waits out the leases of a worker that does not report to a new leader", func() {
		w := newWorld(7)
		w.addWorker(jobs.Resources{MilliCPU: 1000, MemoryMB: 1000}, true)
		w.lead()
		w.run(2 * time.Second)
		w.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: small, Estimate: 60_000}}})
		w.run(3 * time.Second)
		Expect(w.workers[0].running).To(HaveLen(1))
		w.workers[0].cut = true
		w.addWorker(jobs.Resources{MilliCPU: 1000, MemoryMB: 1000}, true)
		w.lead()
		began := w.now
		w.run(began + testLease)
		Expect(w.workers[1].running).To(BeEmpty())
		w.run(began + testLease + 2*testAuthority + time.Second)
		Expect(w.workers[1].running).To(HaveLen(1))
		Expect(w.failures).To(BeEmpty())
	})

	// Guards against tasks that wait for a worker which still reports but does not
	// answer: its lease ends all the same.
	It("gives up the tasks of a worker that reports but hears nothing", func() {
		w := newWorld(7)
		w.addWorker(jobs.Resources{MilliCPU: 1000, MemoryMB: 1000}, true)
		w.lead()
		w.run(2 * time.Second)
		w.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: small, LongRunning: true}}})
		w.run(3 * time.Second)
		w.workers[0].deaf = true
		w.addWorker(jobs.Resources{MilliCPU: 1000, MemoryMB: 1000}, true)
		w.run(3*time.Second + testLease + 2*time.Second)
		Expect(w.workers[1].running).To(HaveLen(1))
		Expect(w.failures).To(BeEmpty())
	})

	// Guards against fillers that follow each other beside a serving task which is
	// too slow: every one of them alone is paused in time, but not all together.
	It("starts no filler beside a serving task that is too slow", func() {
		w := newWorld(7)
		w.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
		w.lead()
		w.run(2 * time.Second)
		w.submit("s", jobs.Spec{Steps: []jobs.Step{{Count: 1, Request: small, LongRunning: true, TailTarget: 20, Image: "s"}}})
		w.run(4 * time.Second)
		Expect(w.workers[0].running).To(HaveLen(1))
		w.workers[0].tail = 40
		w.run(7 * time.Second)
		w.submit("f", jobs.Spec{Steps: []jobs.Step{{Count: 2, Request: small, Estimate: 3000, Filler: true, Image: "f"}}})
		w.run(9 * time.Second)
		Expect(w.workers[0].running).To(HaveLen(1))
		w.workers[0].tail = 5
		w.run(16 * time.Second)
		Expect(w.store.Job("f").State).To(Equal(jobs.Done))
	})

	// Guards against tasks on a worker that is leaving.
	It("starts nothing on a draining worker and moves what cannot end in time", func() {
		w := newWorld(7)
		w.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
		w.lead()
		w.run(2 * time.Second)
		w.submit("j", jobs.Spec{Steps: []jobs.Step{{Count: 2, Request: small, Estimate: 60_000}}})
		w.run(3 * time.Second)
		w.workers[0].draining = true
		w.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
		w.run(6 * time.Second)
		Expect(w.workers[0].running).To(BeEmpty())
		Expect(w.workers[1].running).To(HaveLen(2))
	})
})
