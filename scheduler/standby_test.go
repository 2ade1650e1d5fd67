package scheduler

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/policy/firstfit"
	"geraniumwall/workerapi"
)

var _ = ginkgo.Describe("A heartbeat without tasks", func() {
	// Guards against starting a task that an unexpected attempt still runs: the heartbeat
	// may have been sent before the worker accepted the attach.
	ginkgo.It("does not prove that an attempt has ended", func() {
		c := activeCore(2)
		hb := newHeartbeat("w0000", 2)
		hb.Session, hb.Holder = 1, "s1#1"
		hb.Tasks = []workerapi.TaskReport{{
			ID: "t", Attempt: workerapi.Attempt{Number: 7}, Phase: workerapi.PhaseRunning,
			Resources: workerapi.Resources{CPUMillis: 100, MemoryMB: 10},
		}}
		_, err := c.Heartbeat(2100*ms, hb)
		Expect(err).NotTo(HaveOccurred())
		hb = nextHeartbeat(hb)
		hb.Tasks, hb.WithoutTasks = nil, true
		answer, err := c.Heartbeat(2200*ms, hb)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Renew).To(BeEmpty())
		c.SyncTasks(2200*ms, 1, []BoundTask{newTask("t")}, false)
		c.Tick(2250 * ms)
		Expect(takeActionsOf[SendStart](c)).To(BeEmpty())
		hb = nextHeartbeat(hb)
		hb.WithoutTasks = false
		_, err = c.Heartbeat(2300*ms, hb)
		Expect(err).NotTo(HaveOccurred())
		c.Tick(2350 * ms)
		Expect(takeActionsOf[SendStart](c)).To(HaveLen(1), "a full heartbeat with an empty task list proves it")
	})
})

var _ = ginkgo.Describe("A standby", func() {
	ginkgo.It("requests fewer heartbeats and does not consider a worker silent between them", func() {
		c := New(0, Settings{Name: "s2", Identity: "s2#1", Domain: testDomain}, firstfit.New())
		c.SetConfig(0, 1, testConfig())
		answer, err := c.Heartbeat(2000*ms, newHeartbeat("w0000", 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.IntervalMS).To(Equal((2 * time.Second).Milliseconds()))
		c.Tick(6900 * ms)
		Expect(takeActionsOf[SendAttach](c)).To(HaveLen(1), "the active scheduler is silent, the worker is not")
		c.Tick(7000 * ms)
		c.Tick(8000 * ms)
		Expect(takeActionsOf[SendAttach](c)).To(BeEmpty())
		active := activeCore(1)
		answer, err = active.Heartbeat(2100*ms, newHeartbeat("w0000", 2))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.IntervalMS).To(BeZero())
	})
})
