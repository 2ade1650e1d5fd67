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

// slowdownSimulation drives one worker whose service is slowed by tasks of job "loud": each
// adds slowdownPerTask, multiplied by its share, to the slowdown. Reports arrive 4 s late.
type slowdownSimulation struct {
	engine          *engine.Engine
	now             time.Duration
	slowdownPerTask float64
	shares          map[string]float64
	slowdowns       []float64
	reactions       []policy.Reaction
}

func newSlowdownSimulation(slowdownPerTask float64, evictionsPerMinute int, targetMS int64) *slowdownSimulation {
	s := &slowdownSimulation{engine: engine.New(3), slowdownPerTask: slowdownPerTask, shares: map[string]float64{}}
	c := config.Config{
		Services: []config.Service{{Name: "quote", TargetP99MS: targetMS}},
		Policy:   config.Policy{EvictionsPerMinute: evictionsPerMinute, MinRunMS: 5000, SlowdownLimit: 1.25},
	}
	s.engine.SetConfig(0, c)
	addWorkers(s.engine, 1, "quote")
	return s
}

func (s *slowdownSimulation) add(id string, priority config.Priority, checkpoints bool) {
	t := batchTask(id, cores(4, 4))
	t.Job, t.Priority, t.Checkpoints, t.Expected = "loud", priority, checkpoints, time.Hour
	s.engine.Started(s.now, t, "w00")
	s.shares[id] = 1
}

func (s *slowdownSimulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += 500 * time.Millisecond
		sum := 1.0
		for _, share := range s.shares {
			sum += s.slowdownPerTask * share
		}
		s.slowdowns = append(s.slowdowns, sum)
		if n := len(s.slowdowns); n > 8 && n%4 == 0 {
			s.engine.ReportService(s.now, "w00", workerapi.ServiceReport{
				Service: "quote", AgeMS: 4000, Load: 0.7, P99US: int64(50_000 * s.slowdowns[n-9]), Count: 200,
			})
		}
		for _, r := range s.engine.ProposeReactions(s.now) {
			s.reactions = append(s.reactions, r)
			s.shares[r.Task] = r.Share
			if r.Kind == policy.Evict {
				delete(s.shares, r.Task)
				s.engine.Ended(s.now, r.Task, r.Worker, policy.OutcomeEvicted)
			}
		}
	}
}

func (s *slowdownSimulation) evicted() []string {
	var ids []string
	for _, r := range s.reactions {
		if r.Kind == policy.Evict {
			ids = append(ids, r.Task)
		}
	}
	return ids
}

var _ = Describe("reaction to a slow service", func() {
	// Guards against evictions where throttling is enough, and against reactions before a
	// slowdown was measured.
	It("throttles before it evicts, and explains it", func() {
		s := newSlowdownSimulation(0.3, 30, 50)
		s.run(time.Minute)
		Expect(s.reactions).To(BeEmpty())
		s.add("a", config.Batch, true)
		s.add("b", config.Batch, true)
		s.run(time.Minute)
		Expect(s.reactions).NotTo(BeEmpty())
		Expect(s.reactions[0].Kind).To(Equal(policy.Throttle))
		Expect(s.reactions[0].Decision.Reason).To(ContainSubstring("quote"))
		Expect(s.reactions[0].Decision.Factors).To(ContainElement(HaveField("Name", "slowdown")))
	})

	// Guards against throttling tasks down to the slowdown limit although the service is
	// within its latency target, which costs batch work for no gain.
	It("removes only the slowdown that the target does not allow", func() {
		s := newSlowdownSimulation(0.3, 30, 100)
		s.run(time.Minute)
		for _, id := range []string{"a", "b", "c", "d"} {
			s.add(id, config.Batch, true)
		}
		s.run(time.Minute)
		Expect(s.slowdowns[len(s.slowdowns)-1]).To(And(BeNumerically(">", 1.4), BeNumerically("<", 1.8)))
	})

	// Guards against placing a task on the host held for it although a service would exceed
	// its limit. Such tasks were throttled and moved at once, again and again.
	It("places nothing on a held host whose service would exceed its limit", func() {
		s := newSlowdownSimulation(0.3, 30, 50)
		s.run(time.Minute)
		loud := batchTask("a", cores(4, 4))
		loud.Job, loud.Priority = "loud", config.Urgent
		s.engine.Started(s.now, loud, "w00")
		s.shares["a"] = 1
		s.run(time.Minute)
		wide := batchTask("wide", cores(22, 22))
		wide.Job, wide.Enqueued = "loud", s.now
		s.engine.Enqueue(s.now, wide)
		s.now += 25 * time.Second
		placements, _ := s.engine.ProposeStarts(s.now, 10)
		Expect(placements).To(BeEmpty(), "the host has no room and is held")
		s.engine.Ended(s.now, "a", "w00", policy.OutcomeCancelled)
		placements, _ = s.engine.ProposeStarts(s.now, 10)
		Expect(placements).To(BeEmpty())
	})

	// Guards against evicting a task without checkpoints, or of a higher priority class,
	// while a neighbour would lose less work.
	It("evicts in the order of lost work", func() {
		s := newSlowdownSimulation(1.5, 30, 50)
		s.run(time.Minute)
		s.add("costly", config.Batch, false)
		s.add("normal", config.Normal, true)
		s.add("cheap", config.Batch, true)
		s.run(2 * time.Minute)
		Expect(s.evicted()).To(Equal([]string{"cheap", "normal", "costly"}))
	})

	// Guards against an eviction storm when many tasks slow a service.
	It("stays within the eviction budget and the minimum run", func() {
		s := newSlowdownSimulation(2, 2, 50)
		s.run(time.Minute)
		for i := range 5 {
			s.add(fmt.Sprint(i), config.Batch, true)
		}
		s.run(2 * time.Minute)
		Expect(len(s.evicted())).To(BeNumerically("<=", 2+2*2), "a burst of two, then two a minute")
		for _, r := range s.reactions {
			if r.Kind == policy.Evict {
				Expect(r.Decision.At).To(BeNumerically(">=", time.Minute+5*time.Second))
			}
		}
	})
})

var _ = Describe("preemption and limits of placement", func() {
	fillWorkers := func(e *engine.Engine, workers int, checkpoints bool) {
		addWorkers(e, workers)
		for i := range workers * 6 {
			t := batchTask(fmt.Sprint("b", i), cores(4, 4))
			t.Checkpoints = checkpoints
			e.Started(0, t, fmt.Sprintf("w%02d", i/6))
		}
	}

	// Guards against urgent tasks that wait while all workers are full.
	It("evicts the cheapest tasks for urgent work and starts it there", func() {
		e := engine.New(1)
		fillWorkers(e, 4, true)
		now := 30 * time.Second
		urgent := policy.Task{ID: "u", Team: "t", Job: "rush", Priority: config.Urgent, Size: cores(2, 2), Enqueued: now}
		e.Enqueue(now, urgent)
		placements, _ := e.ProposeStarts(now, 10)
		Expect(placements).To(BeEmpty())
		reactions := e.ProposeReactions(now)
		Expect(reactions).To(HaveLen(1))
		Expect(reactions[0].Kind).To(Equal(policy.Evict))
		Expect(e.ProposeReactions(now+100*time.Millisecond)).To(BeEmpty(), "one eviction is enough")
		e.Ended(now+500*time.Millisecond, reactions[0].Task, reactions[0].Worker, policy.OutcomeEvicted)
		placements, _ = e.ProposeStarts(now+500*time.Millisecond, 10)
		Expect(placements).To(HaveLen(1))
		Expect(placements[0].Worker).To(Equal(reactions[0].Worker))
	})

	// Guards against urgent tasks that wait for the eviction budget. A burst used it up, and
	// the tasks after it started up to 2.1 s late.
	It("makes room for a burst of urgent tasks beyond the eviction budget", func() {
		e := engine.New(1)
		e.SetConfig(0, config.Config{Policy: config.Policy{EvictionsPerMinute: 4}})
		fillWorkers(e, 4, true)
		now := 30 * time.Second
		for i := range 8 {
			now += 250 * time.Millisecond
			urgent := policy.Task{ID: fmt.Sprint("u", i), Team: "t", Job: "rush", Priority: config.Urgent, Size: cores(4, 4), Enqueued: now}
			e.Enqueue(now, urgent)
			e.ProposeStarts(now, 10)
			reactions := e.ProposeReactions(now)
			Expect(reactions).To(HaveLen(1), urgent.ID)
			e.Ended(now, reactions[0].Task, reactions[0].Worker, policy.OutcomeEvicted)
			placements, _ := e.ProposeStarts(now, 10)
			Expect(placements).To(HaveLen(1), urgent.ID)
			e.Started(now, urgent, placements[0].Worker)
		}
		Expect(e.EvictionsLeft(now)).To(BeNumerically("<", -3), "other evictions wait until the overdraft is refilled")
	})

	// Guards against overcommitting the memory of a host on which a task uses more than it
	// declared.
	It("counts measured memory above the declared size", func() {
		e := engine.New(1)
		addWorkers(e, 1)
		e.Started(0, batchTask("a", cores(1, 10)), "w00")
		e.ReportUsage(10*time.Second, "w00", policy.Usage{Task: "a", Used: cores(1, 90), Age: 2 * time.Second})
		e.Enqueue(10*time.Second, batchTask("b", cores(1, 40)))
		placements, _ := e.ProposeStarts(10*time.Second, 10)
		Expect(placements).To(BeEmpty())
	})

	// Guards against endless retries of a task that fails on every healthy worker.
	It("reports a task that fails on every worker", func() {
		e := engine.New(1)
		e.SetConfig(0, config.Config{Jobs: []config.Job{{Name: "j", MaxAttempts: 3}}})
		addWorkers(e, 8)
		t := batchTask("bad", cores(1, 1))
		for attempt := range 3 {
			now := time.Duration(attempt) * time.Minute
			for i := range 8 {
				good := batchTask(fmt.Sprint("good", attempt, i), cores(1, 1))
				e.Started(now, good, fmt.Sprintf("w%02d", i))
				e.Ended(now, good.ID, fmt.Sprintf("w%02d", i), policy.OutcomeDone)
			}
			e.Enqueue(now, t)
			placements, unschedulable := e.ProposeStarts(now, 1)
			Expect(unschedulable).To(BeEmpty())
			Expect(placements).To(HaveLen(1))
			e.Started(now, t, placements[0].Worker)
			e.Ended(now, t.ID, placements[0].Worker, policy.OutcomeFailed)
		}
		e.Enqueue(4*time.Minute, t)
		placements, unschedulable := e.ProposeStarts(4*time.Minute, 1)
		Expect(placements).To(BeEmpty())
		Expect(unschedulable).To(HaveLen(1))
		Expect(unschedulable[0].Reason).To(ContainSubstring("failed on 3 workers"))
	})

	// Guards against borrowed quota that is never returned.
	It("reclaims borrowed quota for a team that waits within its quota", func() {
		e := engine.New(1)
		e.SetConfig(0, config.Config{Domains: []string{"d"}, Teams: []config.Team{
			{Name: "t", Weight: 1, Quota: config.Resources(cores(24, 100)), MayBorrow: true},
			{Name: "owner", Weight: 1, Quota: config.Resources(cores(24, 100))},
		}})
		addWorkers(e, 2)
		tasks := map[string]policy.Task{}
		for i := range 12 {
			t := batchTask(fmt.Sprint("b", i), cores(4, 4))
			tasks[t.ID] = t
			e.Enqueue(0, t)
		}
		Expect(startAll(e, 0, tasks)).To(HaveLen(12))
		own := batchTask("own", cores(4, 4))
		own.Team, own.Enqueued = "owner", time.Minute
		e.Enqueue(time.Minute, own)
		e.ProposeStarts(time.Minute, 10)
		Expect(e.ProposeReactions(time.Minute)).To(BeEmpty())
		e.ProposeStarts(80*time.Second, 10)
		reactions := e.ProposeReactions(80 * time.Second)
		Expect(reactions).To(HaveLen(1))
		Expect(reactions[0].Decision.Reason).To(ContainSubstring("owner"))
	})
})
