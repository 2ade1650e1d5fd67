package dispatch

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

var _ = Describe("The bindings of a gang", func() {
	member := jobs.Resources{MilliCPU: 500, MemoryMB: 10}
	fleet := func(seed uint64) *simulation {
		sim := newSimulation(seed)
		for range 6 {
			sim.addWorker(jobs.Resources{MilliCPU: 16_000, MemoryMB: 1000}, true)
		}
		return sim
	}
	expectDone := func(sim *simulation, ids ...string) {
		Expect(sim.violations).To(BeEmpty())
		for _, id := range ids {
			Expect(sim.store.Job(id).State).To(Equal(jobs.Done), "job %s", id)
		}
	}

	// Guards against a gang that never runs again after its leader has ended between two
	// entries of the log that hold its bindings: the numbers of its attempts differ.
	for _, form := range []struct {
		name        string
		jobs, tasks int
	}{{"larger than an entry", 1, 18}, {"a burst of small ones", 8, 5}} {
		It("are in the log as a whole or not at all: "+form.name, func() {
			for cut := range 60 {
				sim := fleet(uint64(cut + 1)) //nolint:gosec // small
				sim.entries = &simEntries{size: 8, interval: 5 * time.Millisecond}
				sim.inheritProposals = true
				sim.startLeader()
				sim.runUntil(2 * time.Second)
				var ids []string
				for i := range form.jobs {
					ids = append(ids, fmt.Sprintf("gang-%d", i))
					sim.submit(ids[i], jobs.Spec{Steps: []jobs.Step{{Count: form.tasks, Gang: true, Request: member, EstimateMS: 1000}}})
				}
				sim.runUntil(sim.now + time.Duration(cut)*time.Millisecond)
				sim.startLeader()
				for _, id := range ids {
					tasks := sim.store.Job(id).StepTasks(0, 0)
					for i := range tasks {
						Expect(tasks[i].Attempt).To(Equal(tasks[0].Attempt), "task %d of %s after %d ms", i, id, cut)
					}
				}
				sim.runUntil(sim.now + 30*time.Second)
				expectDone(sim, ids...)
			}
		})
	}

	// Guards against a gang that waits for good since the log of an earlier version holds
	// different numbers of attempts.
	for name, attempts := range map[string][]int{
		"one has another number": {0, 0, 1, 0}, "each has another number": {3, 0, 5, 1},
	} {
		It("start again although the log tells the members apart: "+name, func() {
			sim := fleet(5)
			sim.submit("gang", jobs.Spec{Steps: []jobs.Step{{Count: len(attempts), Gang: true, Request: member, EstimateMS: 1000}}})
			nowhere := jobs.Incarnation{Worker: "gone", StartedAtMS: 1}
			for i, count := range attempts {
				key := jobs.TaskKey{Job: "gang", Index: i}
				for number := 1; number <= count; number++ {
					sim.store.Apply(jobs.Command{Bind: &jobs.Bind{Task: key, Attempt: number, On: nowhere, At: sim.unix()}})
					sim.store.Apply(jobs.Command{End: &jobs.End{Task: key, Attempt: number, Outcome: jobs.OutcomeLost, At: sim.unix()}})
				}
			}
			numbers := map[int]bool{}
			sim.observe = func(step string, key jobs.TaskKey) {
				if step == "at work" {
					numbers[sim.store.Job("gang").Task(key).Attempt] = true
				}
			}
			sim.startLeader()
			sim.runUntil(15 * time.Second)
			expectDone(sim, "gang")
			Expect(numbers).To(HaveLen(1), "all members have started with one number")
			Expect(sim.starts).To(Equal(len(attempts)))
		})
	}
})
