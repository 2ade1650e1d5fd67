package scheduler

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// scenario is a fixed sequence of task transitions: a task that runs to its end, one
// that is cancelled while it runs, one that fails once too often, one that moves
// because its worker leaves, and one that outlives most faults. Without faults it is over after about 18 s.
func scenario() *world {
	w := newWorld(3, 0, 4)
	w.after(2500*time.Millisecond, func() {
		w.control.submit("plain", `{"run_ms":2500}`)
		w.control.submit("cancelled", `{"run_ms":60000}`)
		w.control.submit("failing", `{"run_ms":200,"fail":true}`)
		w.control.submit("moved", `{"run_ms":4000}`)
		w.control.submit("long", `{"run_ms":14000}`)
	})
	w.after(4*time.Second, func() { w.control.cancel("cancelled") })
	w.after(5*time.Second, func() { w.drainHolder("moved") })
	return w
}

// drainHolder drains the worker that runs the task.
func (w *world) drainHolder(task string) {
	for _, h := range w.workers {
		if w.running[task] != h.address() {
			continue
		}
		for _, s := range w.schedulers {
			if s.alive {
				s.core.SetDrained(s.now(), 1, []string{h.name})
			}
		}
	}
}

// finish runs a scenario to its end and describes what went wrong, if anything. A
// broken invariant inside the core is reported like any other failure.
func finish(w *world, limit time.Duration) (failure string) {
	defer func() {
		if r := recover(); r != nil {
			failure = fmt.Sprintf("at %v: panic: %v", w.now, r)
		}
	}()
	w.run(6 * time.Second)
	if w.runUntil(limit, w.control.ended) || w.failure != "" {
		return w.failure
	}
	for id, t := range w.control.tasks {
		if t.state == "pending" || t.state == "bound" {
			failure += fmt.Sprintf("task %s is still %s: %s; ", id, t.state, w.explain(id))
		}
	}
	return failure + fmt.Sprintf("running %v", w.running)
}

// explain returns what the schedulers know of a task and decided last about it.
func (w *world) explain(id string) (text string) {
	for _, s := range w.schedulers {
		if t := s.core.tasks[id]; t != nil {
			text += fmt.Sprintf("%s has it in phase %d, %+v ", s.name, t.phase, s.core.Explain(s.now(), id, 2))
		}
	}
	return text
}

// limitWithFaults covers a failover, a task lease that must run out, and the rest
// of the work.
const limitWithFaults = 60 * time.Second

var messageFates = map[string]fate{
	"lost":           {drop: true},
	"late":           {delay: 1500 * time.Millisecond},
	"past the lease": {delay: 12 * time.Second},
	"twice":          {twice: true},
}

// taskMessages are the messages of the task transitions.
var taskMessages = []string{
	"attach", "attach-answer", "start", "start-answer", "stop", "stop-answer", "report", "report-answer",
	"sync", "sync-answer",
}

var _ = ginkgo.Describe("Task transitions", func() {
	ginkgo.It("end without faults, each task once", func() {
		w := scenario()
		Expect(finish(w, 20*time.Second)).To(BeEmpty())
		Expect(w.starts).To(Equal(map[string]int{"plain": 1, "cancelled": 1, "failing": 3, "moved": 2, "long": 1}))
	})

	ginkgo.It("survive the loss, delay and duplication of each message", func() {
		base := scenario()
		Expect(finish(base, 20*time.Second)).To(BeEmpty())
		for _, label := range taskMessages {
			Expect(base.counts[label]).To(BeNumerically(">", 0), label)
			for n := 1; n <= min(base.counts[label], 12); n++ {
				for name, what := range messageFates {
					w := scenario()
					w.fates = func(l string, i int) fate {
						if l == label && i == n {
							return what
						}
						return fate{}
					}
					Expect(finish(w, limitWithFaults)).To(BeEmpty(), "%s %d is %s", label, n, name)
				}
			}
		}
	})

	ginkgo.It("survive a failover while a worker cannot be reached", func() {
		for at := 3 * time.Second; at < 8*time.Second; at += 310 * time.Millisecond {
			for worker := range 3 {
				for _, crashed := range []int{0, 1} {
					w := scenario()
					w.after(at, func() { w.cutWorker(worker, 9*time.Second) })
					w.after(at+400*time.Millisecond, w.schedulers[crashed].crashFor)
					Expect(finish(w, limitWithFaults)).To(BeEmpty(), "worker %d, scheduler %d, %v", worker, crashed, at)
				}
			}
		}
	})

	ginkgo.It("survive the crash and the freeze of each process at each moment", func() {
		for at := 1700 * time.Millisecond; at < 9*time.Second; at += 130 * time.Millisecond {
			for _, c := range disturbances(3) {
				w := scenario()
				w.after(at, func() { c.happen(w) })
				Expect(finish(w, limitWithFaults)).To(BeEmpty(), "%s at %v", c.name, at)
			}
		}
	})
})

type disturbance struct {
	name   string
	happen func(w *world)
}

// cutWorker separates a worker from both schedulers for a time.
func (w *world) cutWorker(i int, d time.Duration) {
	before, from, name := w.cut, w.now, w.workers[i].name
	w.cut = func(a, b string) bool {
		return before(a, b) || (a == name || b == name) && w.now < from+d
	}
}

// disturbances are the faults of processes. Each crashed process returns later.
func disturbances(workers int) []disturbance {
	var list []disturbance
	for i := range 2 {
		list = append(list, schedulerFaults(i)...)
	}
	for i := range workers {
		list = append(list, workerFaults(i)...)
	}
	return list
}

func schedulerFaults(i int) []disturbance {
	named := func(what string) string { return fmt.Sprintf("%s of scheduler %d", what, i+1) }
	freeze := func(d time.Duration) func(*world) { return func(w *world) { w.freeze(&w.schedulers[i].proc, d) } }
	return []disturbance{
		{named("crash"), func(w *world) {
			w.schedulers[i].crash()
			w.after(3*time.Second, w.schedulers[i].boot)
		}},
		{named("quick restart"), func(w *world) {
			w.schedulers[i].crash()
			w.after(100*time.Millisecond, w.schedulers[i].boot)
		}},
		{named("partition from control and the peer"), func(w *world) {
			before, from, name := w.cut, w.now, w.schedulers[i].name
			w.cut = func(a, b string) bool {
				far := a[0] != 'w' && b[0] != 'w'
				return before(a, b) || far && (a == name || b == name) && w.now < from+7*time.Second
			}
		}},
		{named("short freeze"), freeze(2 * time.Second)},
		{named("long freeze"), freeze(14 * time.Second)},
	}
}

func workerFaults(i int) []disturbance {
	named := func(what string) string { return fmt.Sprintf("%s of worker %d", what, i+1) }
	freeze := func(d time.Duration) func(*world) { return func(w *world) { w.freeze(&w.workers[i].proc, d) } }
	return []disturbance{
		{named("crash"), func(w *world) {
			w.workers[i].crash()
			w.after(3*time.Second, w.workers[i].boot)
		}},
		{named("partition from both schedulers"), func(w *world) { w.cutWorker(i, 12*time.Second) }},
		{named("short freeze"), freeze(2 * time.Second)},
		{named("long freeze"), freeze(14 * time.Second)},
	}
}
