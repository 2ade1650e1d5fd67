package dispatch

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
	"geraniumwall/jobs/dispatch/locality"
)

// hotRack is a fleet with one rack that holds all data and one that holds none.
type hotRack struct {
	*simulation
	hot []*simWorker
	// jobs counts the submitted jobs with data on the hot rack.
	jobs int
}

const hotRackName = "r-hot"

// newHotRack returns a fleet with a number of workers of four cores in each rack, and its
// leader. The declared durations hold there, and twice as much elsewhere.
func newHotRack(seed uint64, hot, cold int, slowdown float64, rule func(locality.Input) locality.Decision) *hotRack {
	h := &hotRack{simulation: newSimulation(seed)}
	h.remoteSlowdown, h.slowdown, h.placeRule = slowdown, 2, rule
	h.store.Apply(jobs.Command{Configure: &jobs.Configure{Config: jobs.Config{Version: 2, Queues: []jobs.Queue{
		{Name: "q", Service: "s", MaxAttempts: 1000, Stretch: 2, LatencyObjective: 20_000},
		{Name: "urgent", Service: "s", MaxAttempts: 1000, Stretch: 1.5, LatencyObjective: 250},
	}}}})
	for i := range hot + cold {
		t := h.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 10_000}, true)
		t.rack = "r-cold"
		if i < hot {
			t.rack = hotRackName
			h.hot = append(h.hot, t)
		}
	}
	h.startLeader()
	h.runUntil(2 * time.Second)
	return h
}

// near submits a job of one task on one core with data on the hot rack.
func (h *hotRack) near(estimateMS int64) string {
	h.jobs++
	id := fmt.Sprintf("near-%04d", h.jobs)
	h.submitTo("q", id, jobs.Step{Count: 1, Request: jobs.Resources{MilliCPU: 1000, MemoryMB: 10}, EstimateMS: estimateMS, DataRack: hotRackName})
	return id
}

// fill occupies all cores of the hot rack for a time.
func (h *hotRack) fill(estimateMS int64) {
	for range 4 * len(h.hot) {
		h.near(estimateMS)
	}
	h.runUntil(h.now + 100*time.Millisecond)
	for _, t := range h.hot {
		Expect(t.running).To(HaveLen(4))
	}
}

// startedOn returns the worker on which a task runs or was done, nil for none.
func (h *hotRack) startedOn(id string) *simWorker {
	task := h.store.Job(id).Task(jobs.TaskKey{Job: id})
	if task.BoundTo == nil {
		return nil
	}
	i := slices.IndexFunc(h.workers, func(t *simWorker) bool { return t.id == task.BoundTo.Worker })
	return h.workers[i]
}

// took returns the time from the acceptance of a job to its end.
func (h *hotRack) took(id string) time.Duration {
	j := h.store.Job(id)
	Expect(j.State).To(Equal(jobs.Done), id)
	return time.Duration(j.EndedAt-j.AcceptedAt) * time.Millisecond
}

var _ = Describe("Tasks with a preferred place", func() {
	// Guards against a change of behavior where the setting is missing or 1.
	It("start at once without the setting", func() {
		for _, slowdown := range []float64{0, 1} {
			h := newHotRack(7, 1, 1, slowdown, nil)
			h.fill(1000)
			id := h.near(1000)
			h.runUntil(h.now + 100*time.Millisecond)
			Expect(h.startedOn(id)).NotTo(BeNil())
			Expect(h.startedOn(id).rack).To(Equal("r-cold"))
			Expect(h.current().TakeStatus().PlaceWaits).To(Equal(PlaceWaitCounts{}))
		}
	})

	// Guards against a task that starts at the slow place just before the fast one has room,
	// and against one that waits longer than it saves.
	It("wait for the end of a task there if that saves time", func() {
		h := newHotRack(7, 1, 1, 2, nil)
		h.fill(1000)
		worthwhile, notWorthwhile := h.near(3000), h.near(300)
		h.runUntil(h.now + 150*time.Millisecond)
		Expect(h.startedOn(worthwhile)).To(BeNil())
		Expect(h.startedOn(notWorthwhile)).NotTo(BeNil())
		status := h.current().TakeStatus()
		Expect(status.PlaceWaits.Waiting).To(Equal(1))
		Expect(status.PlaceWaits.Begun).To(Equal(1))
		Expect(status.Queues).To(HaveEach(HaveField("Tasks", 0)), "a task that waits for a place is not one without room")
		h.runUntil(h.now + 5*time.Second)
		Expect(h.violations).To(BeEmpty())
		Expect(h.took(worthwhile)).To(BeNumerically("<", 4200*time.Millisecond), "6 s elsewhere")
		counts := h.current().TakeStatus().PlaceWaits
		Expect(counts.Preferred.Count).To(Equal(1))
		Expect(counts.Preferred.Total).To(BeNumerically("~", 900*time.Millisecond, 200*time.Millisecond))
	})

	// Guards against tasks that all wait for the same end: those for which the queue is longer
	// than what they save have to start elsewhere at once.
	It("spread over the ends that are due at the hot rack", func() {
		h := newHotRack(7, 1, 8, 2, nil)
		h.fill(1000)
		var ids []string
		for range 20 {
			ids = append(ids, h.near(2000))
		}
		h.runUntil(h.now + 150*time.Millisecond)
		waiting := 0
		for _, id := range ids {
			waiting += boolToInt(h.startedOn(id) == nil)
		}
		Expect(waiting).To(Equal(4), "one for each end that is due in less than the wait that is worthwhile")
		h.runUntil(h.now + 6*time.Second)
		for _, id := range ids {
			Expect(h.took(id)).To(BeNumerically("<", 4200*time.Millisecond), id)
		}
		Expect(h.violations).To(BeEmpty())
	})

	// Guards against a task that waits for a place and keeps others from starting, and
	// against capacity that is claimed or kept for it.
	It("block no other work", func() {
		h := newHotRack(7, 1, 1, 2, nil)
		h.fill(1000)
		waits := h.near(3000)
		h.submitTo("q", "far", jobs.Step{Count: 4, Request: jobs.Resources{MilliCPU: 1000, MemoryMB: 10}, EstimateMS: 1500})
		h.runUntil(h.now + 150*time.Millisecond)
		Expect(h.startedOn(waits)).To(BeNil())
		Expect(h.workers[1].running).To(HaveLen(4))
		status := h.current().TakeStatus()
		Expect(status.Preemptions).To(Equal(PreemptionCounts{}))
	})

	// Guards against a wait for a rack that is lost, and for one that gets no more work.
	DescribeTable("start elsewhere when the rack is out of use",
		func(end func(t *simWorker), bound time.Duration) {
			h := newHotRack(7, 2, 4, 2, nil)
			h.fill(4000)
			var ids []string
			for range 6 {
				ids = append(ids, h.near(12_000))
			}
			h.runUntil(h.now + 500*time.Millisecond)
			for _, id := range ids {
				Expect(h.startedOn(id)).To(BeNil())
			}
			for _, t := range h.hot {
				end(t)
			}
			h.runUntil(h.now + bound)
			Expect(h.violations).To(BeEmpty())
			for _, id := range ids {
				Expect(h.startedOn(id)).NotTo(BeNil(), id)
				Expect(h.startedOn(id).rack).To(Equal("r-cold"))
			}
		},
		// A failed hold shows the loss after 700 ms, and a hold lasts 1 s.
		Entry("lost", func(t *simWorker) { t.partitioned = true }, 2500*time.Millisecond),
		Entry("drained", func(t *simWorker) { t.draining = true }, 1300*time.Millisecond),
	)

	// Guards against a wait that starts again under each new leader.
	It("continue their wait under a new leader", func() {
		h := newHotRack(7, 1, 1, 2, nil)
		// The room seems to come soon for ever: the tasks there run ten times as long.
		h.workFactor = func(key jobs.TaskKey) float64 { return map[bool]float64{true: 10, false: 1}[key.Job <= "near-0004"] }
		h.fill(1000)
		for _, t := range h.hot {
			t.garbleLists = func(r *Reply) {
				for i := range r.Running {
					r.Running[i].Percent = 0
				}
			}
		}
		id, accepted := h.near(3000), h.now
		for h.startedOn(id) == nil && h.now < accepted+10*time.Second {
			h.runUntil(h.now + 700*time.Millisecond)
			h.startLeader()
		}
		bound := time.Duration(h.store.Job(id).Task(jobs.TaskKey{Job: id}).BoundAt-h.store.Job(id).AcceptedAt) * time.Millisecond
		Expect(bound).To(BeNumerically(">", 500*time.Millisecond), "it waits at first")
		// The limit of the wait is 3 s. A new leader needs the answers of the workers first.
		Expect(bound).To(BeNumerically("<=", 4*time.Second))
		Expect(h.violations).To(BeEmpty())
	})

	// Guards against starvation: other work takes the room at the place each time.
	It("do not starve behind work that takes the place", func() {
		h := newHotRack(7, 1, 1, 2, nil)
		label := func(i int) string { return fmt.Sprintf("a-%03d", i) }
		for i := range 200 {
			h.schedule(time.Duration(i)*50*time.Millisecond, func() {
				h.submitTo("urgent", label(i), jobs.Step{Count: 1, RequiredLabel: hotRackName, Request: jobs.Resources{MilliCPU: 1000, MemoryMB: 10}, EstimateMS: 400})
			})
		}
		h.runUntil(4 * time.Second)
		var ids []string
		for range 4 {
			ids = append(ids, h.near(2000))
		}
		h.runUntil(h.now + 8*time.Second)
		Expect(h.violations).To(BeEmpty())
		Expect(h.current().TakeStatus().PlaceWaits.Begun).To(BeNumerically(">=", 1), "they wait at first")
		for _, id := range ids {
			Expect(h.took(id)).To(BeNumerically("<", 6300*time.Millisecond), "a wait of 2 s at most, and 4 s elsewhere")
		}
	})

	// Guards against a task that misses its objective for the sake of a wait.
	It("do not wait beyond their objective", func() {
		h := newHotRack(7, 1, 1, 2, nil)
		h.fill(1500)
		step := jobs.Step{Count: 1, Request: jobs.Resources{MilliCPU: 1000, MemoryMB: 10}, EstimateMS: 4000, DataRack: hotRackName}
		after := jobs.Step{Count: 1, Request: step.Request, EstimateMS: 100, DependsOn: []int{0}}
		// The end is due after 1.4 s, and the objective is 1.5 times the declared time and 0.25 s.
		for id, steps := range map[string][]jobs.Step{"alone": {step}, "first": {step, after}} {
			h.submitTo("urgent", id, steps...)
		}
		short := step
		short.EstimateMS = 2200
		h.submitTo("urgent", "short", short)
		h.runUntil(h.now + 150*time.Millisecond)
		Expect(h.startedOn("alone")).To(BeNil())
		Expect(h.startedOn("first")).To(BeNil())
		Expect(h.startedOn("short")).NotTo(BeNil(), "1.35 s are left")
	})
})

var _ = Describe("Gangs with a preferred place", func() {
	gang := func(estimateMS int64) jobs.Step {
		return jobs.Step{Count: 4, Gang: true, SameRack: true, Request: jobs.Resources{MilliCPU: 2000, MemoryMB: 10}, EstimateMS: estimateMS}
	}
	racks := func(h *hotRack) map[string]int {
		found := map[string]int{}
		h.store.Job("gang").Tasks(func(t *jobs.Task) {
			if t.BoundTo != nil {
				i := slices.IndexFunc(h.workers, func(w *simWorker) bool { return w.id == t.BoundTo.Worker })
				found[h.workers[i].rack]++
			}
		})
		return found
	}

	// Guards against a gang that is spread over racks although one of them has room for all.
	It("start in one rack if it has room for all members", func() {
		for _, slowdown := range []float64{0, 2} {
			h := newHotRack(7, 2, 2, slowdown, nil)
			h.submitTo("q", "half", jobs.Step{
				Count: 1, RequiredLabel: hotRackName, Request: jobs.Resources{MilliCPU: 2000, MemoryMB: 10}, EstimateMS: 1500})
			h.runUntil(h.now + 200*time.Millisecond)
			h.submitTo("q", "gang", gang(3000))
			h.runUntil(h.now + 200*time.Millisecond)
			Expect(racks(h)).To(HaveLen(map[float64]int{0: 2, 2: 1}[slowdown]))
			Expect(h.violations).To(BeEmpty())
		}
	})

	// Guards against a gang of which some members wait, and against one that waits longer for
	// a rack than it saves there.
	It("wait for room for all members while that saves time", func() {
		for _, c := range []struct {
			estimateMS int64
			racks      map[string]int
		}{{6000, map[string]int{}}, {400, map[string]int{hotRackName: 2, "r-cold": 2}}} {
			h := newHotRack(7, 2, 2, 2, nil)
			for _, rack := range []string{hotRackName, "r-cold"} {
				h.submitTo("q", "half-"+rack, jobs.Step{
					Count: 2, RequiredLabel: rack, MaxPerWorker: 1, Request: jobs.Resources{MilliCPU: 2000, MemoryMB: 10}, EstimateMS: 1500})
			}
			h.runUntil(h.now + 200*time.Millisecond)
			h.submitTo("q", "gang", gang(c.estimateMS))
			h.runUntil(h.now + 200*time.Millisecond)
			Expect(racks(h)).To(Equal(c.racks))
			if len(c.racks) > 0 {
				continue
			}
			Expect(h.current().TakeStatus().PlaceWaits.Waiting).To(Equal(4))
			h.runUntil(h.now + 1800*time.Millisecond)
			Expect(racks(h)).To(HaveLen(1))
			Expect(h.current().TakeStatus().PlaceWaits.Preferred.Count).To(Equal(4))
			Expect(h.violations).To(BeEmpty())
		}
	})
})
