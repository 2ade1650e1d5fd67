package jobs_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

var on = jobs.Incarnation{Worker: "w1", Born: 10}

func twoSteps() jobs.Spec {
	return jobs.Spec{Payload: "p", Steps: []jobs.Step{{Count: 2}, {Count: 1, DependsOn: []int{0}}}}
}

func configured(version int64, queues ...jobs.Queue) jobs.Command {
	return jobs.Command{Configure: &jobs.Configure{Config: jobs.Config{Version: version, Queues: queues}}}
}

func submitted(id string, spec jobs.Spec) jobs.Command {
	return jobs.Command{Submit: &jobs.Submit{ID: id, Queue: "q", Spec: spec, At: 1}}
}

func bound(k jobs.TaskKey, attempt int) jobs.Command {
	return jobs.Command{Bind: &jobs.Bind{Task: k, Attempt: attempt, On: on, At: 2}}
}

func ended(k jobs.TaskKey, attempt int, how jobs.Outcome) jobs.Command {
	return jobs.Command{End: &jobs.End{Task: k, Attempt: attempt, Outcome: how, At: 3}}
}

func cancelled(id string) jobs.Command { return jobs.Command{Cancel: &jobs.Cancel{ID: id, At: 4}} }

var _ = Describe("Store", func() {
	var s *jobs.Store
	first, second, last := jobs.TaskKey{Job: "a"}, jobs.TaskKey{Job: "a", Index: 1}, jobs.TaskKey{Job: "a", Step: 1}

	BeforeEach(func() {
		s = jobs.NewStore()
		s.Apply(configured(1, jobs.Queue{Name: "q", Host: "h", PathPrefix: "/p/", MaxAttempts: 2}))
	})

	finish := func(k jobs.TaskKey) {
		Expect(s.Apply(bound(k, 1)).Applied).To(BeTrue())
		Expect(s.Apply(ended(k, 1, jobs.OutcomeDone)).Applied).To(BeTrue())
	}

	// Guards against a step that starts before the steps that it depends on are done.
	It("binds a task only after the steps before", func() {
		s.Apply(submitted("a", twoSteps()))
		finish(first)
		Expect(s.Apply(bound(last, 1)).Applied).To(BeFalse())
		finish(second)
		Expect(s.Apply(bound(last, 1)).Applied).To(BeTrue())
		Expect(s.Job("a").State).To(Equal(jobs.Running))
		s.Apply(ended(last, 1, jobs.OutcomeDone))
		Expect(s.Job("a").State).To(Equal(jobs.Done))
	})

	// Guards against two current attempts of a task and against a used attempt number.
	It("binds a task once at a time and numbers attempts without a gap", func() {
		s.Apply(submitted("a", twoSteps()))
		Expect(s.Apply(bound(first, 2)).Applied).To(BeFalse())
		Expect(s.Apply(bound(first, 1)).Applied).To(BeTrue())
		Expect(s.Apply(bound(first, 2)).Applied).To(BeFalse())
		s.Apply(ended(first, 1, jobs.OutcomeLost))
		Expect(s.Apply(bound(first, 1)).Applied).To(BeFalse())
		Expect(s.Apply(bound(first, 2)).Applied).To(BeTrue())
	})

	// Guards against a start after a noted end, and against an end that counts twice.
	It("never binds a task that is done and takes each end once", func() {
		s.Apply(submitted("a", twoSteps()))
		finish(first)
		Expect(s.Apply(ended(first, 1, jobs.OutcomeFailed)).Applied).To(BeFalse())
		Expect(s.Apply(bound(first, 2)).Applied).To(BeFalse())
	})

	// Guards against jobs that fail early, since only failed ends count.
	It("fails a job after the limit of failed attempts of one task", func() {
		s.Apply(submitted("a", twoSteps()))
		for attempt, how := range []jobs.Outcome{jobs.OutcomeLapsed, jobs.OutcomeFailed, jobs.OutcomeStopped, jobs.OutcomeFailed} {
			Expect(s.Job("a").State).NotTo(Equal(jobs.Failed))
			s.Apply(bound(first, attempt+1))
			s.Apply(ended(first, attempt+1, how))
		}
		Expect(s.Job("a").State).To(Equal(jobs.Failed))
		Expect(s.Apply(bound(second, 1)).Applied).To(BeFalse())
	})

	// Guards against a task that starts again after an end that became known late,
	// and against a failure that counts twice.
	It("takes in the end of an attempt that was given up", func() {
		s.Apply(submitted("a", twoSteps()))
		s.Apply(bound(first, 1))
		s.Apply(ended(first, 1, jobs.OutcomeLapsed))
		s.Apply(bound(first, 2))
		Expect(s.Apply(ended(first, 1, jobs.OutcomeFailed)).Applied).To(BeTrue())
		Expect(s.Apply(ended(first, 1, jobs.OutcomeFailed)).Applied).To(BeFalse())
		Expect(s.Job("a").Task(first).Failures).To(Equal(1))
		s.Apply(ended(first, 2, jobs.OutcomeLapsed))
		s.Apply(bound(first, 3))
		Expect(s.Apply(ended(first, 2, jobs.OutcomeDone)).Applied).To(BeTrue())
		Expect(s.Job("a").Task(first).Done).To(BeTrue())
		s.Apply(ended(first, 3, jobs.OutcomeStopped))
		Expect(s.Apply(bound(first, 4)).Applied).To(BeFalse())
		finish(second)
		Expect(s.Apply(bound(last, 1)).Applied).To(BeTrue())
	})

	// Guards against a failed end that counts again when the worker lists it again
	// after the task has started elsewhere.
	It("counts an end once that was not given up", func() {
		s.Apply(submitted("a", twoSteps()))
		s.Apply(bound(first, 1))
		s.Apply(ended(first, 1, jobs.OutcomeFailed))
		s.Apply(bound(first, 2))
		Expect(s.Apply(ended(first, 1, jobs.OutcomeFailed)).Applied).To(BeFalse())
		Expect(s.Job("a").State).To(Equal(jobs.Running))
	})

	// Guards against long-running tasks that are not restarted.
	It("restarts long-running tasks however they end", func() {
		s.Apply(submitted("a", jobs.Spec{Steps: []jobs.Step{{Count: 1, LongRunning: true}}}))
		for attempt := 1; attempt <= 5; attempt++ {
			Expect(s.Apply(bound(first, attempt)).Applied).To(BeTrue())
			s.Apply(ended(first, attempt, jobs.OutcomeFailed))
		}
		Expect(s.Job("a").State).To(Equal(jobs.Running))
	})

	// Guards against a late submission that runs a job which was cancelled before.
	It("keeps a cancellation that arrives before the submission", func() {
		Expect(s.Apply(cancelled("a")).Known).To(BeFalse())
		Expect(s.Apply(submitted("a", twoSteps()))).To(Equal(jobs.Result{Known: true}))
		Expect(s.Job("a").State).To(Equal(jobs.Cancelled))
		Expect(s.Apply(bound(first, 1)).Applied).To(BeFalse())
	})

	// Guards against a job that is accepted twice.
	It("accepts a job once", func() {
		s.Apply(submitted("a", twoSteps()))
		finish(first)
		Expect(s.Apply(submitted("a", twoSteps()))).To(Equal(jobs.Result{Known: true}))
		Expect(s.Job("a").Task(first).Done).To(BeTrue())
	})

	// Guards against a configuration that goes back to an older version.
	It("puts only higher versions in force and keeps retired queues that have jobs", func() {
		s.Apply(submitted("a", twoSteps()))
		Expect(s.Apply(configured(3)).Applied).To(BeTrue())
		Expect(s.Apply(configured(2, jobs.Queue{Name: "x"})).Applied).To(BeFalse())
		Expect(s.Apply(configured(3, jobs.Queue{Name: "x"})).Applied).To(BeFalse())
		Expect(s.Config().Match("h", "/p/1")).To(BeNil())
		Expect(s.Config().Queue("q")).NotTo(BeNil())
	})

	// Guards against a count of waiting jobs that includes started or cancelled ones.
	It("counts jobs of which no task has started", func() {
		s.Apply(submitted("a", twoSteps()))
		s.Apply(submitted("b", twoSteps()))
		s.Apply(submitted("c", twoSteps()))
		s.Apply(bound(first, 1))
		s.Apply(cancelled("c"))
		Expect(s.Pending("q")).To(Equal(1))
	})

	// Guards against state that a replica loses when it is restored.
	It("restores from a snapshot to the same state", func() {
		s.Apply(submitted("a", twoSteps()))
		finish(first)
		s.Apply(bound(second, 1))
		s.Apply(cancelled("z"))
		s.Apply(jobs.Command{Learn: &jobs.Learn{Effects: []jobs.Effect{{Serving: "s", Filler: "f", Value: 0.5}}}})
		data, err := s.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored, err := jobs.Restore(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.Snapshot()).To(Equal(data))
		Expect(restored.BoundTo(on)).To(HaveKey(second))
		Expect(restored.Effects()).To(HaveLen(1))
		restored.Apply(ended(second, 1, jobs.OutcomeDone))
		Expect(restored.Apply(bound(last, 1)).Applied).To(BeTrue())
	})

	// Guards against records of a gang that wait for ends which never come.
	It("takes one done end for a whole gang", func() {
		s.Apply(submitted("a", jobs.Spec{Steps: []jobs.Step{{Count: 2, Gang: true}}}))
		s.Apply(bound(first, 1))
		s.Apply(bound(second, 1))
		s.Apply(ended(second, 1, jobs.OutcomeDone))
		Expect(s.Job("a").State).To(Equal(jobs.Done))
	})
})

var _ = Describe("Config", func() {
	// Guards against a request that goes to a queue with a shorter prefix.
	It("matches the longest prefix of the host", func() {
		c := jobs.Config{Queues: []jobs.Queue{
			{Name: "short", Host: "h", PathPrefix: "/a/"}, {Name: "long", Host: "h", PathPrefix: "/a/b/"}, {Name: "other", Host: "o", PathPrefix: "/a/b/c/"},
		}}
		Expect(c.Match("h", "/a/b/c/1").Name).To(Equal("long"))
		Expect(c.Match("h", "/a/x").Name).To(Equal("short"))
		Expect(c.Match("n", "/a/x")).To(BeNil())
	})
})
