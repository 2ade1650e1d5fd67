package scheduler

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// scenario is a fixed sequence of task transitions: one task that finishes, one that is
// cancelled while running, one that fails in every attempt, one that is moved because
// its worker is drained, and one that outlasts most faults. Without faults it takes
// about 18 s.
func scenario() *simulation {
	sim := newSimulation(3, 0, 4)
	sim.after(2500*time.Millisecond, func() {
		sim.control.submit("plain", `{"run_ms":2500}`)
		sim.control.submit("cancelled", `{"run_ms":60000}`)
		sim.control.submit("failing", `{"run_ms":200,"fail":true}`)
		sim.control.submit("moved", `{"run_ms":4000}`)
		sim.control.submit("long", `{"run_ms":14000}`)
	})
	sim.after(4*time.Second, func() { sim.control.cancel("cancelled") })
	sim.after(5*time.Second, func() { sim.drainWorkerOf("moved") })
	return sim
}

// drainWorkerOf drains the worker that runs the task.
func (sim *simulation) drainWorkerOf(task string) {
	for _, w := range sim.workers {
		if sim.runningOn[task] != w.address() {
			continue
		}
		for _, s := range sim.schedulers {
			if s.alive {
				s.core.SetDrained(s.now(), 1, []string{w.name})
			}
		}
	}
}

// runToEnd runs a scenario to its end and returns a description of the failure, if
// any. A violated invariant of the core is returned like any other failure.
func runToEnd(sim *simulation, limit time.Duration) (failure string) {
	defer func() {
		if r := recover(); r != nil {
			failure = fmt.Sprintf("at %v: panic: %v", sim.now, r)
		}
	}()
	sim.run(6 * time.Second)
	if sim.runUntil(limit, sim.control.ended) || sim.failure != "" {
		return sim.failure
	}
	for id, t := range sim.control.tasks {
		if t.state == "pending" || t.state == "bound" {
			failure += fmt.Sprintf("task %s is still %s: %s; ", id, t.state, sim.explain(id))
		}
	}
	return failure + fmt.Sprintf("running %v", sim.runningOn)
}

// explain returns the task's state in the schedulers and their last decisions about it.
func (sim *simulation) explain(id string) (text string) {
	for _, s := range sim.schedulers {
		if t := s.core.tasks[id]; t != nil {
			text += fmt.Sprintf("%s has it in phase %d, %+v ", s.name, t.phase, s.core.Explain(s.now(), id, 2))
		}
	}
	return text
}

// limitWithFaults covers a failover, a task lease that must expire, and the remaining
// work.
const limitWithFaults = 60 * time.Second

var messageFaults = map[string]messageFault{
	"lost":           {drop: true},
	"late":           {delay: 1500 * time.Millisecond},
	"past the lease": {delay: 12 * time.Second},
	"twice":          {duplicate: true},
}

// taskMessages are the labels of the messages of task transitions.
var taskMessages = []string{
	"attach", "attach-answer", "start", "start-answer", "stop", "stop-answer", "report", "report-answer",
	"sync", "sync-answer",
}

var _ = ginkgo.Describe("Task transitions", func() {
	ginkgo.It("complete once per task without faults", func() {
		sim := scenario()
		Expect(runToEnd(sim, 20*time.Second)).To(BeEmpty())
		Expect(sim.startCounts).To(Equal(map[string]int{"plain": 1, "cancelled": 1, "failing": 3, "moved": 2, "long": 1}))
	})

	ginkgo.It("survive the loss, delay and duplication of each message", func() {
		base := scenario()
		Expect(runToEnd(base, 20*time.Second)).To(BeEmpty())
		for _, label := range taskMessages {
			Expect(base.messageCounts[label]).To(BeNumerically(">", 0), label)
			for n := 1; n <= min(base.messageCounts[label], 12); n++ {
				for name, fault := range messageFaults {
					sim := scenario()
					sim.faultFor = func(l string, i int) messageFault {
						if l == label && i == n {
							return fault
						}
						return messageFault{}
					}
					Expect(runToEnd(sim, limitWithFaults)).To(BeEmpty(), "%s %d is %s", label, n, name)
				}
			}
		}
	})

	ginkgo.It("survive a failover while a worker is unreachable", func() {
		for at := 3 * time.Second; at < 8*time.Second; at += 310 * time.Millisecond {
			for worker := range 3 {
				for _, crashed := range []int{0, 1} {
					sim := scenario()
					sim.after(at, func() { sim.partitionWorker(worker, 9*time.Second) })
					sim.after(at+400*time.Millisecond, sim.schedulers[crashed].crashAndRestart)
					Expect(runToEnd(sim, limitWithFaults)).To(BeEmpty(), "worker %d, scheduler %d, %v", worker, crashed, at)
				}
			}
		}
	})

	ginkgo.It("survive a crash or freeze of each process at any time", func() {
		for at := 1700 * time.Millisecond; at < 9*time.Second; at += 130 * time.Millisecond {
			for _, c := range processFaults(3) {
				sim := scenario()
				sim.after(at, func() { c.inject(sim) })
				Expect(runToEnd(sim, limitWithFaults)).To(BeEmpty(), "%s at %v", c.name, at)
			}
		}
	})
})

type processFault struct {
	name   string
	inject func(sim *simulation)
}

// partitionWorker separates a worker from both schedulers for the duration.
func (sim *simulation) partitionWorker(i int, d time.Duration) {
	before, from, name := sim.partitioned, sim.now, sim.workers[i].name
	sim.partitioned = func(a, b string) bool {
		return before(a, b) || (a == name || b == name) && sim.now < from+d
	}
}

// processFaults returns the faults of all processes. Crashed processes restart later.
func processFaults(workers int) []processFault {
	var list []processFault
	for i := range 2 {
		list = append(list, schedulerFaults(i)...)
	}
	for i := range workers {
		list = append(list, workerFaults(i)...)
	}
	return list
}

func schedulerFaults(i int) []processFault {
	named := func(what string) string { return fmt.Sprintf("%s of scheduler %d", what, i+1) }
	freeze := func(d time.Duration) func(*simulation) {
		return func(sim *simulation) { sim.freeze(&sim.schedulers[i].process, d) }
	}
	return []processFault{
		{named("crash"), func(sim *simulation) {
			sim.schedulers[i].crash()
			sim.after(3*time.Second, sim.schedulers[i].boot)
		}},
		{named("quick restart"), func(sim *simulation) {
			sim.schedulers[i].crash()
			sim.after(100*time.Millisecond, sim.schedulers[i].boot)
		}},
		{named("partition from control and the peer"), func(sim *simulation) {
			before, from, name := sim.partitioned, sim.now, sim.schedulers[i].name
			sim.partitioned = func(a, b string) bool {
				noWorker := a[0] != 'w' && b[0] != 'w'
				return before(a, b) || noWorker && (a == name || b == name) && sim.now < from+7*time.Second
			}
		}},
		{named("short freeze"), freeze(2 * time.Second)},
		{named("long freeze"), freeze(14 * time.Second)},
	}
}

func workerFaults(i int) []processFault {
	named := func(what string) string { return fmt.Sprintf("%s of worker %d", what, i+1) }
	freeze := func(d time.Duration) func(*simulation) {
		return func(sim *simulation) { sim.freeze(&sim.workers[i].process, d) }
	}
	return []processFault{
		{named("crash"), func(sim *simulation) {
			sim.workers[i].crash()
			sim.after(3*time.Second, sim.workers[i].boot)
		}},
		{named("partition from both schedulers"), func(sim *simulation) { sim.partitionWorker(i, 12*time.Second) }},
		{named("short freeze"), freeze(2 * time.Second)},
		{named("long freeze"), freeze(14 * time.Second)},
	}
}
