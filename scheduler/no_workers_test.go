package scheduler

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/policy"
	"geraniumwall/workerapi"
)

var _ = ginkgo.Describe("A domain without workers", func() {
	// runUntil advances the core and returns the events that it reports.
	runUntil := func(c *Core, from, to time.Duration, heartbeats ...*workerapi.Heartbeat) []Report {
		var events []Report
		for now := from; now <= to; now += TickInterval {
			renewLeases(c, now)
			for _, hb := range heartbeats {
				_, err := c.Heartbeat(now, nextHeartbeat(hb))
				Expect(err).NotTo(HaveOccurred())
			}
			c.Tick(now)
			for _, a := range takeActionsOf[SendReports](c) {
				events = append(events, a.Events...)
			}
		}
		return events
	}

	ginkgo.It("returns its waiting tasks, so that they do not wait forever", func() {
		c := activeCore(0)
		c.SyncTasks(2000*ms, 1, []BoundTask{newTask("t")}, false)
		Expect(runUntil(c, 2000*ms, 6900*ms)).To(BeEmpty(), "the workers may not have registered yet")
		Expect(runUntil(c, 6950*ms, 7500*ms)).To(ContainElement(And(
			HaveField("Task", "t"), HaveField("Kind", ReportReturned), HaveField("Reason", ContainSubstring("no worker")))))
	})

	ginkgo.It("accepts a task that was bound again before its unbinding was seen", func() {
		c := activeCore(0)
		task := newTask("t")
		c.SyncTasks(2000*ms, 1, []BoundTask{task}, false)
		runUntil(c, 2000*ms, 7500*ms)
		Expect(c.tasks["t"].phase).To(Equal(phaseEnded))
		c.SyncTasks(7500*ms, 1, []BoundTask{task}, false)
		Expect(c.tasks["t"].phase).To(Equal(phaseEnded), "a duplicate of an older change")
		task.Attempt = workerapi.Attempt{Epoch: 1, Number: 1}
		c.SyncTasks(7500*ms, 1, []BoundTask{task}, false)
		Expect(c.tasks["t"].phase).To(Equal(phaseWaiting))
	})

	ginkgo.It("keeps a task while an earlier attempt may be alive", func() {
		c := activeCore(1)
		c.SyncTasks(2000*ms, 1, []BoundTask{newTask("t")}, false)
		hb := newHeartbeat("w0000", 2)
		hb.Session, hb.Holder = 1, "s1#1"
		hb.Tasks = []workerapi.TaskReport{{
			ID: "t", Attempt: workerapi.Attempt{Number: 7}, Phase: workerapi.PhaseRunning,
			Resources: workerapi.Resources{CPUMillis: 100, MemoryMB: 10},
		}}
		_, err := c.Heartbeat(2000*ms, hb)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.allocations).To(HaveKey("t"))
		c.SetDrained(2000*ms, 1, []string{"w0000"})
		Expect(runUntil(c, 2000*ms, 9000*ms, hb)).To(BeEmpty())
		c.returnTask(9000*ms, policy.Unschedulable{Task: "t", Reason: "too large"})
		Expect(c.tasks["t"].phase).To(Equal(phaseWaiting))
	})
})
