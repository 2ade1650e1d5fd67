package engine_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/config"
	"geraniumwall/policy"
	"geraniumwall/policy/engine"
	"geraniumwall/workerapi"
)

var _ = Describe("placement", func() {
	// Guards against placements on workers that accept no tasks, and on hosts of a service
	// that the configuration keeps apart from the job.
	It("respects apart pairs and workers that accept no tasks", func() {
		e := engine.New(1)
		e.SetConfig(0, config.Config{Apart: []config.Pair{{Service: "quote", Job: "j"}}})
		addWorkers(e, 2, "quote")
		leaving := policy.Worker{ID: "x", Rack: "r9", Capacity: cores(32, 125)}
		e.UpsertWorker(0, leaving)
		e.Enqueue(0, batchTask("a", cores(1, 1)))
		placements, unschedulable := e.ProposeStarts(10*time.Second, 10)
		Expect(placements).To(BeEmpty())
		Expect(unschedulable).To(BeEmpty(), "one worker does not offer the service")
		leaving.Accepting = true
		e.UpsertWorker(11*time.Second, leaving)
		placements, _ = e.ProposeStarts(11*time.Second, 10)
		Expect(placements).To(HaveLen(1))
		Expect(placements[0].Worker).To(Equal("x"))
	})

	// Guards against tasks without accelerators that fill accelerator hosts while other
	// hosts are free.
	It("keeps hosts with accelerators for tasks that need them", func() {
		e := engine.New(1)
		addWorkers(e, 4)
		gpu := policy.Worker{ID: "gpu", Rack: "r9", Capacity: cores(32, 125), Accepting: true}
		gpu.Capacity.Accelerators = 2
		e.UpsertWorker(0, gpu)
		tasks := map[string]policy.Task{}
		for i := range 8 {
			t := batchTask(fmt.Sprint("plain", i), cores(4, 4))
			tasks[t.ID] = t
			e.Enqueue(0, t)
		}
		needs := batchTask("accelerated", workerapi.Resources{CPUMillis: 1000, MemoryMB: 1024, Accelerators: 1})
		tasks[needs.ID] = needs
		e.Enqueue(0, needs)
		on := startAll(e, time.Second, tasks)
		Expect(on).To(HaveLen(9))
		for id, worker := range on {
			Expect(worker == "gpu").To(Equal(id == "accelerated"), id)
		}
	})

	// Guards against losing all tasks of a job with one rack.
	It("spreads the tasks of a job over racks", func() {
		e := engine.New(1)
		addWorkers(e, 16)
		tasks := map[string]policy.Task{}
		for i := range 16 {
			t := batchTask(fmt.Sprint(i), cores(1, 1))
			tasks[t.ID] = t
			e.Enqueue(0, t)
		}
		racks := map[string]int{}
		for _, worker := range startAll(e, time.Second, tasks) {
			var n int
			_, err := fmt.Sscanf(worker, "w%d", &n)
			Expect(err).NotTo(HaveOccurred())
			racks[fmt.Sprint(n/4)]++
		}
		Expect(racks).To(HaveLen(4))
		for _, n := range racks {
			Expect(n).To(BeNumerically("<=", 8), "no rack holds more than half")
		}
	})

	// Guards against starvation of a large task by small ones, which take all capacity
	// that becomes free.
	It("drains a host for a task that waits for room", func() {
		e := engine.New(1)
		addWorkers(e, 2)
		now := time.Duration(0)
		running := map[string]string{}
		tasks := map[string]policy.Task{}
		large := batchTask("large", cores(24, 64))
		large.Job = "large"
		started := time.Duration(-1)
		for step := 0; step < 600 && started < 0; step++ {
			now = time.Duration(step) * time.Second
			for i := range 4 {
				t := batchTask(fmt.Sprintf("s%d-%d", step, i), cores(4, 4))
				t.Enqueued = now
				t.Expected = 10 * time.Second
				tasks[t.ID] = t
				e.Enqueue(now, t)
			}
			if step == 30 {
				large.Enqueued = now
				tasks[large.ID] = large
				e.Enqueue(now, large)
			}
			for id, worker := range startAll(e, now, tasks) {
				running[id] = worker
				if id == "large" {
					started = now
				}
			}
			for id, worker := range running {
				var begun, n int
				if _, err := fmt.Sscanf(id, "s%d-%d", &begun, &n); err == nil && (step+n)%10 == 0 {
					e.Ended(now, id, worker, policy.OutcomeDone)
					delete(running, id)
				}
			}
		}
		Expect(started).To(BeNumerically(">", 0), "large task started")
		Expect(started - large.Enqueued).To(BeNumerically("<", 5*time.Minute))
	})

	// Guards against a task that waits forever although no worker is large enough, and
	// against reporting it before all workers have announced themselves.
	It("reports a task that fits no worker, with the reason, once no more workers join", func() {
		e := engine.New(1)
		addWorkers(e, 2)
		e.Enqueue(0, batchTask("huge", cores(64, 1)))
		_, unschedulable := e.ProposeStarts(time.Second, 10)
		Expect(unschedulable).To(BeEmpty())
		_, unschedulable = e.ProposeStarts(10*time.Second, 10)
		Expect(unschedulable).To(HaveLen(1))
		Expect(unschedulable[0].Reason).To(ContainSubstring("64000 millicores"))
		e.UpsertWorker(11*time.Second, policy.Worker{ID: "big", Rack: "b", Capacity: cores(96, 256), Accepting: true})
		placements, _ := e.ProposeStarts(11*time.Second, 10)
		Expect(placements).To(HaveLen(1), "a larger worker joined")
	})
})

var _ = Describe("answers to proposals", func() {
	// Guards against capacity that stays reserved, or is used twice, when a proposed
	// placement is rejected, cancelled or never answered.
	It("frees the capacity of rejected, cancelled and unanswered proposals", func() {
		e := engine.New(1)
		addWorkers(e, 1)
		t := batchTask("a", cores(24, 8))
		for i, undo := range []func(p policy.Placement){
			func(p policy.Placement) { e.Rejected(0, p.Task, p.Worker) },
			func(p policy.Placement) { e.Dequeue(0, p.Task) },
			func(policy.Placement) {},
		} {
			e.Enqueue(0, t)
			placements, _ := e.ProposeStarts(0, 10)
			Expect(placements).To(HaveLen(1), "case %d", i)
			undo(placements[0])
		}
		placements, _ := e.ProposeStarts(0, 10)
		Expect(placements).To(HaveLen(1))
	})

	// Guards against overcommitting a worker that returns after a network partition and
	// still runs its tasks.
	It("counts the tasks of a worker that was removed and returns", func() {
		e := engine.New(1)
		addWorkers(e, 1)
		e.Started(0, batchTask("kept", cores(20, 8)), "w00")
		e.RemoveWorker(time.Second, "w00")
		addWorkers(e, 1)
		e.Enqueue(0, batchTask("next", cores(8, 8)))
		placements, _ := e.ProposeStarts(2*time.Second, 10)
		Expect(placements).To(BeEmpty())
		e.Ended(3*time.Second, "kept", "w00", policy.OutcomeLost)
		placements, _ = e.ProposeStarts(3*time.Second, 10)
		Expect(placements).To(HaveLen(1))
	})

	// Guards against a panic when the last task of a removed worker is reported done.
	It("accepts the end of an urgent task on a removed worker", func() {
		e := engine.New(1)
		addWorkers(e, 1)
		t := batchTask("urgent", cores(1, 1))
		t.Priority = config.Urgent
		e.Started(0, t, "w00")
		e.RemoveWorker(time.Second, "w00")
		e.Ended(2*time.Second, "urgent", "w00", policy.OutcomeDone)
		Expect(e.Waiting()).To(BeZero())
	})

	// Guards against endless rejections by an applier that reserves declared sizes while
	// the engine plans with smaller, corrected ones.
	It("reserves declared sizes after the applier has reserved more than planned", func() {
		e := engine.New(1)
		addWorkers(e, 1)
		for i := range 30 {
			t := batchTask(fmt.Sprint("measured", i), cores(4, 4))
			e.Started(0, t, "w00")
			e.ReportUsage(10*time.Second, "w00", policy.Usage{Task: t.ID, Used: cores(1, 1)})
			e.Ended(20*time.Second, t.ID, "w00", policy.OutcomeDone)
		}
		for i := range 8 {
			e.Enqueue(30*time.Second, batchTask(fmt.Sprint(i), cores(4, 4)))
		}
		placements, _ := e.ProposeStarts(30*time.Second, 10)
		Expect(placements).To(HaveLen(8))
		Expect(placements[0].Size.CPUMillis).To(BeNumerically("<", 4000))
		for i, p := range placements {
			if i < 6 {
				e.Started(30*time.Second, batchTask(p.Task, cores(4, 4)), p.Worker)
			} else {
				e.Rejected(30*time.Second, p.Task, p.Worker)
			}
		}
		placements, _ = e.ProposeStarts(31*time.Second, 10)
		Expect(placements).To(BeEmpty(), "24 of 24 processors are reserved")
	})
})
