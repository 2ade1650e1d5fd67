package scheduler

import (
	"errors"
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/lease"
	"geraniumwall/policy"
	"geraniumwall/policy/firstfit"
	"geraniumwall/workerapi"
)

const ms = time.Millisecond

func newHeartbeat(worker string, sequence uint64) *workerapi.Heartbeat {
	return &workerapi.Heartbeat{
		Worker: worker, Incarnation: "1", Sequence: sequence, Domain: testDomain, Address: worker + ":1",
		Capacity: workerapi.Resources{CPUMillis: 8000, MemoryMB: 8000}, Slots: 8, Connections: 64,
		Services: []string{"proof"},
	}
}

// activeCore returns a core that is active in epoch 1 at 2 s, with attached workers.
func activeCore(workers int) *Core {
	c := New(0, Settings{Name: "s1", Identity: "s1#1", Domain: testDomain}, firstfit.New())
	c.SetConfig(0, 1, testConfig())
	c.ControlRenewed(1900*ms, 1900*ms, lease.Answer{})
	renewLeases(c, 2000*ms)
	for i := range workers {
		id := fmt.Sprintf("w%04d", i)
		_, err := c.Heartbeat(2000*ms, newHeartbeat(id, 1))
		Expect(err).NotTo(HaveOccurred())
		attachWorker(c, 2000*ms, id)
	}
	c.SyncTasks(2000*ms, 1, nil, true)
	c.TakeActions()
	return c
}

func renewLeases(c *Core, now time.Duration) {
	c.ControlRenewed(now, now, lease.Answer{
		Role: lease.RoleActive, Epoch: 1, Revision: 1, Active: "s1",
		SchedulerLease: lease.SchedulerLease, DomainLease: lease.DomainLease,
	})
}

func attachWorker(c *Core, now time.Duration, id string) {
	w := c.workers[id]
	c.AttachAnswered(now, AttachResult{
		Target: w.target(), Body: workerapi.Attach{Scheduler: "s1#1", Epoch: 1},
		Answer: workerapi.AttachAnswer{Accepted: true, Session: 1, Holder: "s1#1", Epoch: 1, Incarnation: w.incarnation},
	})
}

func nextHeartbeat(hb *workerapi.Heartbeat) *workerapi.Heartbeat {
	hb.Sequence++
	return hb
}

func newTask(id string) BoundTask {
	return BoundTask{
		ID: id, Job: "batch", Size: workerapi.Resources{CPUMillis: 100, MemoryMB: 10},
		Domain: testDomain, Epoch: 1, Bound: true, Expected: time.Second,
	}
}

func takeActionsOf[A Action](c *Core) []A {
	var found []A
	for _, a := range c.TakeActions() {
		if typed, ok := a.(A); ok {
			found = append(found, typed)
		}
	}
	return found
}

var _ = ginkgo.Describe("Heartbeats", func() {
	expectRefusal := func(c *Core, change func(*workerapi.Heartbeat)) *Refusal {
		before := c.Status(2100 * ms)
		hb := newHeartbeat("w0000", 2)
		change(hb)
		_, err := c.Heartbeat(2100*ms, hb)
		var refusal *Refusal
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect(c.Status(2100*ms)).To(Equal(before), "a refused heartbeat changed the state")
		return refusal
	}
	ginkgo.DescribeTable("that are refused change nothing and name the remedy",
		func(kind RefusalKind, change func(*workerapi.Heartbeat)) {
			refusal := expectRefusal(activeCore(1), change)
			Expect(refusal.Kind).To(Equal(kind))
			Expect(refusal.Remedy).NotTo(BeEmpty())
		},
		ginkgo.Entry("another domain", RefusedDomain, func(h *workerapi.Heartbeat) { h.Domain = "patan" }),
		ginkgo.Entry("another incarnation", RefusedDuplicate, func(h *workerapi.Heartbeat) { h.Incarnation = "2" }),
		ginkgo.Entry("another address", RefusedDuplicate, func(h *workerapi.Heartbeat) { h.Address = "x:1" }),
		ginkgo.Entry("negative capacity", RefusedInvalid, func(h *workerapi.Heartbeat) { h.Capacity.MemoryMB = -1 }),
		ginkgo.Entry("negative slots", RefusedInvalid, func(h *workerapi.Heartbeat) { h.Slots = -1 }),
		ginkgo.Entry("more slots than fit", RefusedInvalid, func(h *workerapi.Heartbeat) {
			h.Worker, h.Address, h.Slots, h.Connections = "new", "new:1", 81, 81
		}),
		ginkgo.Entry("more slots than connections", RefusedInvalid, func(h *workerapi.Heartbeat) { h.Connections = 7 }),
		ginkgo.Entry("a capacity that changes while the worker runs", RefusedInvalid, func(h *workerapi.Heartbeat) { h.Capacity.CPUMillis++ }),
		ginkgo.Entry("more slots in use than offered", RefusedInvalid, func(h *workerapi.Heartbeat) {
			h.SlotsInUse = map[uint64]int{1: 5, 2: 4}
		}),
		ginkgo.Entry("a running task that exceeds the capacity", RefusedInvalid, func(h *workerapi.Heartbeat) {
			h.Tasks = []workerapi.TaskReport{{ID: "x", Phase: workerapi.PhaseRunning, Resources: workerapi.Resources{CPUMillis: 9000}}}
		}),
	)
})

var _ = ginkgo.Describe("A worker", func() {
	ginkgo.It("that is silent for 2.5 seconds gets no starts and no grants", func() {
		c := activeCore(1)
		sync := GrantSync{Gateway: "g", Domain: testDomain, Incarnation: "1", Sequence: 1}
		answer, err := c.SyncGrants(2100*ms, sync)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Grants).To(ConsistOf(HaveField("Duration", 3*time.Second)))
		sync.Sequence = 2
		answer, err = c.SyncGrants(3300*ms, sync)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Grants).To(ConsistOf(HaveField("Duration", 1700*ms)))
		renewLeases(c, 4400*ms)
		c.SyncTasks(4500*ms, 1, []BoundTask{newTask("t")}, false)
		c.Tick(4500 * ms)
		Expect(takeActionsOf[SendStart](c)).To(BeEmpty())
		sync.Sequence = 3
		answer, err = c.SyncGrants(4500*ms, sync)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Grants).To(BeEmpty())
	})

	ginkgo.It("that runs an unexpected attempt is told to stop it before the task starts elsewhere", func() {
		c := activeCore(2)
		c.SyncTasks(2000*ms, 1, []BoundTask{newTask("t")}, false)
		hb := newHeartbeat("w0001", 2)
		hb.Session, hb.Holder = 1, "s1#1"
		unexpected := workerapi.TaskReport{
			ID: "t", Attempt: workerapi.Attempt{Number: 7}, Phase: workerapi.PhaseRunning,
			Resources: workerapi.Resources{CPUMillis: 100, MemoryMB: 10},
		}
		hb.Tasks = []workerapi.TaskReport{unexpected}
		_, err := c.Heartbeat(2100*ms, hb)
		Expect(err).NotTo(HaveOccurred())
		c.Tick(2150 * ms)
		actions := c.TakeActions()
		Expect(actions).To(HaveLen(1))
		stop := actions[0].(SendStop)
		unexpected.Phase = workerapi.PhaseStopped
		c.StopAnswered(2200*ms, StopResult{
			Target: stop.Target, Ref: workerapi.TaskRef{ID: "t", Attempt: unexpected.Attempt},
			Answer: workerapi.CommandAnswer{Outcome: workerapi.OutcomeDone, Task: unexpected},
		})
		c.Tick(2250 * ms)
		Expect(takeActionsOf[SendStart](c)).To(HaveLen(1))
	})

	// Guards against evictions that are counted in the metrics under a wrong cause, and
	// against reported ages that do not grow.
	ginkgo.It("that is drained evicts its tasks with the cause drain", func() {
		c := activeCore(1)
		c.SyncTasks(2000*ms, 1, []BoundTask{newTask("t1")}, false)
		c.Tick(2100 * ms)
		start := takeActionsOf[SendStart](c)[0].Body
		report := workerapi.TaskReport{ID: "t1", Attempt: start.Attempt, Phase: workerapi.PhaseRunning, Resources: start.Resources}
		hb := newHeartbeat("w0000", 2)
		hb.Session, hb.Holder, hb.Epoch, hb.Tasks = 1, "s1#1", 1, []workerapi.TaskReport{report}
		_, err := c.Heartbeat(2200*ms, hb)
		Expect(err).NotTo(HaveOccurred())
		status := c.Status(2500 * ms)
		Expect(status.TaskLeaseAge).To(Equal(300 * ms))
		Expect(status.DomainLease).To(Equal(lease.DomainLease - 500*ms))
		c.SetDrained(2500*ms, 1, []string{"w0000"})
		c.Tick(2600 * ms)
		stop := takeActionsOf[SendStop](c)[0]
		report.Phase = workerapi.PhaseStopped
		c.StopAnswered(2700*ms, StopResult{
			Target: stop.Target, Ref: workerapi.TaskRef{ID: "t1", Attempt: stop.Body.Attempt},
			Answer: workerapi.CommandAnswer{Outcome: workerapi.OutcomeDone, Task: report},
		})
		c.Tick(2800 * ms)
		Expect(takeActionsOf[SendReports](c)[0].Events[0].Cause).To(Equal(CauseDrain))
	})

	ginkgo.It("that restarts gets no task before the leases of its previous tasks have expired", func() {
		c := activeCore(1)
		c.SyncTasks(2000*ms, 1, []BoundTask{newTask("t")}, false)
		c.Tick(2100 * ms)
		Expect(takeActionsOf[SendStart](c)).To(HaveLen(1))
		restarted := newHeartbeat("w0000", 1)
		restarted.Incarnation, restarted.Address = "2", "w0000:2"
		_, err := c.Heartbeat(4600*ms, restarted)
		Expect(err).NotTo(HaveOccurred())
		attachWorker(c, 4600*ms, "w0000")
		c.SyncTasks(4600*ms, 1, []BoundTask{newTask("other")}, false)
		restarted.Session, restarted.Holder = 1, "s1#1"
		for now := 4600 * ms; now < 12*time.Second; now += 500 * ms {
			renewLeases(c, now)
			_, err = c.Heartbeat(now, nextHeartbeat(restarted))
			Expect(err).NotTo(HaveOccurred())
			c.Tick(now)
			Expect(takeActionsOf[SendStart](c)).To(BeEmpty(), "both incarnations may be running on one host")
		}
		_, err = c.Heartbeat(12300*ms, nextHeartbeat(restarted))
		Expect(err).NotTo(HaveOccurred())
		c.Tick(12300 * ms)
		c.Tick(12350 * ms)
		Expect(takeActionsOf[SendStart](c)).To(HaveLen(2))
	})
})

var _ = ginkgo.Describe("Slot grants", func() {
	syncGrants := func(c *Core, now time.Duration, gateway string, sequence uint64, demand int, held int) int {
		answer, err := c.SyncGrants(now, GrantSync{
			Gateway: gateway, Domain: testDomain, Incarnation: "1", Sequence: sequence,
			Demand:   map[string]int{"proof": demand},
			Holdings: []Holding{{Worker: "w0000", Session: 1, Slots: held}},
		})
		Expect(err).NotTo(HaveOccurred())
		if len(answer.Grants) == 0 {
			return 0
		}
		return answer.Grants[0].Slots
	}
	heartbeatAndTick := func(c *Core, now time.Duration) {
		hb := newHeartbeat("w0000", uint64(now/ms))
		hb.Session, hb.Holder = 1, "s1#1"
		_, err := c.Heartbeat(now, hb)
		Expect(err).NotTo(HaveOccurred())
		c.Tick(now)
	}

	ginkgo.It("move to the gateway with demand after the other gateway has confirmed the reduction", func() {
		c := activeCore(1)
		Expect(syncGrants(c, 2100*ms, "a", 1, 0, 0)).To(Equal(8))
		Expect(syncGrants(c, 2400*ms, "b", 1, 20, 0)).To(Equal(0), "a slot was granted twice")
		heartbeatAndTick(c, 2500*ms)
		reduced := syncGrants(c, 2700*ms, "a", 2, 0, 8)
		Expect(reduced).To(BeNumerically("<", 8))
		Expect(syncGrants(c, 2800*ms, "b", 2, 20, 0)).To(Equal(0), "the reduction was not confirmed yet")
		Expect(syncGrants(c, 2900*ms, "a", 3, 0, reduced)).To(Equal(reduced))
		Expect(syncGrants(c, 3000*ms, "b", 3, 20, 0)).To(Equal(8 - reduced))
	})

	ginkgo.It("of a gateway that no longer syncs become free when they expire", func() {
		c := activeCore(1)
		Expect(syncGrants(c, 2100*ms, "a", 1, 5, 0)).To(Equal(8))
		now := 2200 * ms
		for ; now < 5100*ms; now += 300 * ms {
			heartbeatAndTick(c, now)
			Expect(syncGrants(c, now, "b", uint64(now), 5, 0)).To(Equal(0))
		}
		heartbeatAndTick(c, 5500*ms)
		Expect(syncGrants(c, 5500*ms, "b", uint64(now), 5, 0)).To(Equal(8))
	})

	ginkgo.It("are not returned for a sync that is older than one already answered", func() {
		c := activeCore(1)
		syncGrants(c, 2100*ms, "a", 2, 0, 0)
		_, err := c.SyncGrants(2200*ms, GrantSync{Gateway: "a", Incarnation: "1", Sequence: 1})
		Expect(err).To(MatchError(ErrStaleSync))
	})
})

var _ = ginkgo.Describe("A burst of cancellations", func() {
	ginkgo.It("does not delay starts", func() {
		c := activeCore(10)
		var first []BoundTask
		for i := range 400 {
			first = append(first, newTask(fmt.Sprintf("t%03d", i)))
		}
		c.SyncTasks(2000*ms, 1, first, false)
		c.Tick(2050 * ms)
		for _, s := range takeActionsOf[SendStart](c) {
			c.StartAnswered(2060*ms, StartResult{
				Ref:    workerapi.TaskRef{ID: s.Body.ID, Attempt: s.Body.Attempt},
				Answer: workerapi.CommandAnswer{Outcome: workerapi.OutcomeDone, Task: workerapi.TaskReport{ID: s.Body.ID, Attempt: s.Body.Attempt, Phase: workerapi.PhaseRunning}},
			})
		}
		for i := range first {
			first[i].CancelRequested = true
		}
		c.SyncTasks(2100*ms, 1, append(first, newTask("urgent")), false)
		c.Tick(2150 * ms)
		actions := c.TakeActions()
		stops, started := 0, -1
		for i, a := range actions {
			switch a := a.(type) {
			case SendStart:
				Expect(a.Body.ID).To(Equal("urgent"))
				started = i
			case SendStop:
				Expect(started).To(BeNumerically(">=", 0), "a stop was sent before the start")
				stops++
			}
		}
		Expect(stops).To(Equal(maxStopsPerTick))
	})
})

var _ = ginkgo.Describe("A restarted scheduler", func() {
	ginkgo.It("does not continue the epoch of its predecessor", func() {
		c := New(0, Settings{Name: "s1", Identity: "s1#2", Domain: testDomain}, firstfit.New())
		answer := lease.Answer{
			Role: lease.RoleActive, Epoch: 4, Revision: 9, Active: "s1",
			SchedulerLease: lease.SchedulerLease, DomainLease: lease.DomainLease,
		}
		c.ControlRenewed(2000*ms, 2000*ms, answer)
		Expect(c.MayAct(2000 * ms)).To(BeFalse())
		request, _ := c.LeaseRequest(2100 * ms)
		Expect(request.Epoch).To(BeNumerically(">", 4), "control must see that the process restarted")
		answer.Epoch, answer.Revision = 5, 12
		c.ControlRenewed(4000*ms, 4000*ms, answer)
		Expect(c.MayAct(4000 * ms)).To(BeTrue())
	})
})

// overcommittingEngine proposes every task on one worker, whether or not it fits.
type overcommittingEngine struct {
	*firstfit.Engine
	tasks []string
}

func (e *overcommittingEngine) Enqueue(_ time.Duration, t policy.Task) {
	e.tasks = append(e.tasks, t.ID)
}

func (e *overcommittingEngine) ProposeStarts(time.Duration, int) ([]policy.Placement, []policy.Unschedulable) {
	var plan []policy.Placement
	for _, id := range e.tasks {
		plan = append(plan, policy.Placement{Task: id, Worker: "w0000"})
	}
	return plan, nil
}

var _ = ginkgo.Describe("Applying placements", func() {
	ginkgo.It("rejects placements that exceed the free resources", func() {
		c := activeCore(1)
		c.engine = &overcommittingEngine{Engine: firstfit.New()}
		var tasks []BoundTask
		for i := range 10 {
			t := newTask(fmt.Sprintf("t%d", i))
			t.Size = workerapi.Resources{CPUMillis: 1500, MemoryMB: 100}
			tasks = append(tasks, t)
		}
		c.SyncTasks(2000*ms, 1, tasks, false)
		c.Tick(2050 * ms)
		// 8000 millicores, of which 8 slots of 100 are reserved, hold 4 tasks.
		Expect(takeActionsOf[SendStart](c)).To(HaveLen(4))
		c.Tick(2100 * ms)
		Expect(takeActionsOf[SendStart](c)).To(BeEmpty())
	})
})
