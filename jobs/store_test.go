package jobs_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

var worker = jobs.Incarnation{Worker: "w1", StartedAtMS: 10}

func twoStepSpec() jobs.Spec {
	return jobs.Spec{Payload: "p", Steps: []jobs.Step{{Count: 2}, {Count: 1, DependsOn: []int{0}}}}
}

func configureCommand(version int64, queues ...jobs.Queue) jobs.Command {
	return jobs.Command{Configure: &jobs.Configure{Config: jobs.Config{Version: version, Queues: queues}}}
}

func submitCommand(id string, spec jobs.Spec) jobs.Command {
	return jobs.Command{Submit: &jobs.Submit{ID: id, Queue: "q", Spec: spec, At: 1}}
}

func bindCommand(k jobs.TaskKey, attempt int) jobs.Command {
	return jobs.Command{Bind: &jobs.Bind{Task: k, Attempt: attempt, On: worker, At: 2}}
}

func endCommand(k jobs.TaskKey, attempt int, outcome jobs.Outcome) jobs.Command {
	return jobs.Command{End: &jobs.End{Task: k, Attempt: attempt, Outcome: outcome, At: 3}}
}

func startedCommand(ids ...string) jobs.Command {
	return jobs.Command{RecordStarts: &jobs.RecordStarts{Jobs: ids, At: 2}}
}

func cancelCommand(id string) jobs.Command { return jobs.Command{Cancel: &jobs.Cancel{ID: id, At: 4}} }

var _ = Describe("Store", func() {
	var s *jobs.Store
	first, second, last := jobs.TaskKey{Job: "a"}, jobs.TaskKey{Job: "a", Index: 1}, jobs.TaskKey{Job: "a", Step: 1}

	BeforeEach(func() {
		s = jobs.NewStore()
		s.Apply(configureCommand(1, jobs.Queue{Name: "q", Host: "h", PathPrefix: "/p/", MaxAttempts: 2}))
	})

	completeTask := func(k jobs.TaskKey) {
		Expect(s.Apply(bindCommand(k, 1)).Applied).To(BeTrue())
		Expect(s.Apply(endCommand(k, 1, jobs.OutcomeDone)).Applied).To(BeTrue())
	}

	// Guards against a step that starts before the steps that it depends on are done.
	It("binds a task only after the steps that it depends on", func() {
		s.Apply(submitCommand("a", twoStepSpec()))
		completeTask(first)
		Expect(s.Apply(bindCommand(last, 1)).Applied).To(BeFalse())
		completeTask(second)
		Expect(s.Apply(bindCommand(last, 1)).Applied).To(BeTrue())
		Expect(s.Job("a").State).To(Equal(jobs.Running))
		s.Apply(endCommand(last, 1, jobs.OutcomeDone))
		Expect(s.Job("a").State).To(Equal(jobs.Done))
	})

	// Guards against concurrent attempts of a task and against reused attempt numbers.
	It("binds at most one attempt of a task at a time, with consecutive numbers", func() {
		s.Apply(submitCommand("a", twoStepSpec()))
		Expect(s.Apply(bindCommand(first, 2)).Applied).To(BeFalse())
		Expect(s.Apply(bindCommand(first, 1)).Applied).To(BeTrue())
		Expect(s.Apply(bindCommand(first, 2)).Applied).To(BeFalse())
		s.Apply(endCommand(first, 1, jobs.OutcomeLost))
		Expect(s.Apply(bindCommand(first, 1)).Applied).To(BeFalse())
		Expect(s.Apply(bindCommand(first, 2)).Applied).To(BeTrue())
	})

	// Guards against a start after a recorded end, and against an end that counts twice.
	It("never binds a task that is done and records each end once", func() {
		s.Apply(submitCommand("a", twoStepSpec()))
		completeTask(first)
		Expect(s.Apply(endCommand(first, 1, jobs.OutcomeFailed)).Applied).To(BeFalse())
		Expect(s.Apply(bindCommand(first, 2)).Applied).To(BeFalse())
	})

	// Guards against jobs that fail too early because attempts whose lease expired or
	// that were stopped count as failures.
	It("fails a job once one task reaches the limit of failed attempts", func() {
		s.Apply(submitCommand("a", twoStepSpec()))
		for attempt, outcome := range []jobs.Outcome{jobs.OutcomeLeaseExpired, jobs.OutcomeFailed, jobs.OutcomeStopped, jobs.OutcomeFailed} {
			Expect(s.Job("a").State).NotTo(Equal(jobs.Failed))
			s.Apply(bindCommand(first, attempt+1))
			s.Apply(endCommand(first, attempt+1, outcome))
		}
		Expect(s.Job("a").State).To(Equal(jobs.Failed))
		Expect(s.Apply(bindCommand(second, 1)).Applied).To(BeFalse())
	})

	// Guards against a task that runs again although an abandoned attempt is reported
	// as done later, and against a failure that counts twice.
	It("records the late end of an abandoned attempt", func() {
		s.Apply(submitCommand("a", twoStepSpec()))
		s.Apply(bindCommand(first, 1))
		s.Apply(endCommand(first, 1, jobs.OutcomeLeaseExpired))
		s.Apply(bindCommand(first, 2))
		Expect(s.Apply(endCommand(first, 1, jobs.OutcomeFailed)).Applied).To(BeTrue())
		Expect(s.Apply(endCommand(first, 1, jobs.OutcomeFailed)).Applied).To(BeFalse())
		Expect(s.Job("a").Task(first).Failures).To(Equal(1))
		s.Apply(endCommand(first, 2, jobs.OutcomeLeaseExpired))
		s.Apply(bindCommand(first, 3))
		Expect(s.Apply(endCommand(first, 2, jobs.OutcomeDone)).Applied).To(BeTrue())
		Expect(s.Job("a").Task(first).Done).To(BeTrue())
		s.Apply(endCommand(first, 3, jobs.OutcomeStopped))
		Expect(s.Apply(bindCommand(first, 4)).Applied).To(BeFalse())
		completeTask(second)
		Expect(s.Apply(bindCommand(last, 1)).Applied).To(BeTrue())
	})

	// Guards against a failure that counts again when the worker lists it again after
	// the task has started elsewhere.
	It("counts the end of an attempt that was not abandoned once", func() {
		s.Apply(submitCommand("a", twoStepSpec()))
		s.Apply(bindCommand(first, 1))
		s.Apply(endCommand(first, 1, jobs.OutcomeFailed))
		s.Apply(bindCommand(first, 2))
		Expect(s.Apply(endCommand(first, 1, jobs.OutcomeFailed)).Applied).To(BeFalse())
		Expect(s.Job("a").State).To(Equal(jobs.Running))
	})

	// Guards against long-running tasks that are not restarted.
	It("restarts long-running tasks whatever their outcome", func() {
		s.Apply(submitCommand("a", jobs.Spec{Steps: []jobs.Step{{Count: 1, LongRunning: true}}}))
		for attempt := 1; attempt <= 5; attempt++ {
			Expect(s.Apply(bindCommand(first, attempt)).Applied).To(BeTrue())
			s.Apply(endCommand(first, attempt, jobs.OutcomeFailed))
		}
		Expect(s.Job("a").State).To(Equal(jobs.Running))
	})

	// Guards against a delayed submission that runs a job which was already cancelled.
	It("keeps a cancellation that arrives before the submission", func() {
		Expect(s.Apply(cancelCommand("a")).Known).To(BeFalse())
		Expect(s.Apply(submitCommand("a", twoStepSpec()))).To(Equal(jobs.Result{Known: true}))
		Expect(s.Job("a").State).To(Equal(jobs.Cancelled))
		Expect(s.Apply(bindCommand(first, 1)).Applied).To(BeFalse())
	})

	// Guards against a job that is accepted twice.
	It("accepts a job once", func() {
		s.Apply(submitCommand("a", twoStepSpec()))
		completeTask(first)
		Expect(s.Apply(submitCommand("a", twoStepSpec()))).To(Equal(jobs.Result{Known: true}))
		Expect(s.Job("a").Task(first).Done).To(BeTrue())
	})

	// Guards against a configuration that goes back to an older version.
	It("activates only higher versions and keeps retired queues that have jobs", func() {
		s.Apply(submitCommand("a", twoStepSpec()))
		Expect(s.Apply(configureCommand(3)).Applied).To(BeTrue())
		Expect(s.Apply(configureCommand(2, jobs.Queue{Name: "x"})).Applied).To(BeFalse())
		Expect(s.Apply(configureCommand(3, jobs.Queue{Name: "x"})).Applied).To(BeFalse())
		Expect(s.Config().Match("h", "/p/1")).To(BeNil())
		Expect(s.Config().Queue("q")).NotTo(BeNil())
	})

	// Guards against jobs that count as started once a task is bound: its worker may never begin
	// it.
	It("counts jobs without a started task", func() {
		s.Apply(submitCommand("a", twoStepSpec()))
		s.Apply(submitCommand("b", twoStepSpec()))
		s.Apply(submitCommand("c", twoStepSpec()))
		s.Apply(bindCommand(first, 1))
		s.Apply(cancelCommand("c"))
		Expect(s.Pending("q")).To(Equal(2))
		Expect(s.Job("a").State).To(Equal(jobs.Queued))
		s.Apply(endCommand(first, 1, jobs.OutcomeLost))
		Expect(s.Pending("q")).To(Equal(2))
		s.Apply(bindCommand(first, 2))
		Expect(s.Apply(startedCommand("a", "c", "unknown")).Applied).To(BeTrue())
		Expect(s.Apply(startedCommand("a")).Applied).To(BeFalse())
		Expect(s.Pending("q")).To(Equal(1))
		Expect(s.PendingByQueue()).To(Equal(map[string]int{"q": 1}))
		Expect(s.Job("a").State).To(Equal(jobs.Running))
		Expect(s.Job("c").State).To(Equal(jobs.Cancelled))
		s.Apply(endCommand(first, 2, jobs.OutcomeStopped))
		Expect(s.Pending("q")).To(Equal(1), "a job that was evicted has started all the same")
	})

	// Guards against a job that counts as pending although a worker has reported an end of it.
	It("takes an end that only a worker reports for a start", func() {
		for outcome, proves := range map[jobs.Outcome]bool{
			jobs.OutcomeDone: true, jobs.OutcomeFailed: true, jobs.OutcomeStopped: true, jobs.OutcomeGangMemberEnded: true,
			jobs.OutcomeGangIncomplete: true, jobs.OutcomeLeaseExpired: false, jobs.OutcomeLost: false, jobs.OutcomeCrashed: false,
		} {
			id := "job-" + string(outcome)
			key := jobs.TaskKey{Job: id}
			s.Apply(submitCommand(id, twoStepSpec()))
			s.Apply(bindCommand(key, 1))
			s.Apply(endCommand(key, 1, outcome))
			Expect(s.Job(id).HasStarted()).To(Equal(proves), string(outcome))
		}
	})

	// Guards against a snapshot of an earlier version that can't be read, or whose jobs count
	// as started for good because a task was bound.
	It("corrects the states in a snapshot of an earlier version", func() {
		job := func(id, task string) string {
			return `{"id":"` + id + `","queue":"q","spec":{"payload":"p","steps":[{"count":1}]},"at":1,"state":"running","started":true,` +
				`"runs":[{"steps":[{"tasks":[{"k":{"j":"` + id + `"},"a":1,"on":{"w":"w1","b":10},"ba":7` + task + `}],"left":1}]}]}`
		}
		restored, err := jobs.Restore([]byte(`{"config":{"version":1,"queues":[{"name":"q"}]},"jobs":[` +
			job("bound", "") + "," + job("failed", `,"f":1`) + "," + job("saved", `,"c":"x"`) + `]}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.Pending("q")).To(Equal(1))
		Expect(restored.Job("bound").State).To(Equal(jobs.Queued))
		Expect(restored.Job("failed").State).To(Equal(jobs.Running))
		Expect(restored.Job("saved").StartedAt).To(BeEquivalentTo(7))
		Expect(restored.Apply(startedCommand("bound")).Applied).To(BeTrue(), "its worker lists the task")
		Expect(restored.Pending("q")).To(BeZero())
	})

	// Guards against state that a replica loses when it restores a snapshot.
	It("restores the same state from a snapshot", func() {
		s.Apply(submitCommand("a", twoStepSpec()))
		completeTask(first)
		s.Apply(bindCommand(second, 1))
		s.Apply(submitCommand("b", twoStepSpec()))
		s.Apply(startedCommand("b"))
		s.Apply(cancelCommand("z"))
		s.Apply(jobs.Command{RecordEffects: &jobs.RecordEffects{Effects: []jobs.Effect{{Serving: "s", Filler: "f", Slowdown: 0.5}}}})
		data, err := s.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored, err := jobs.Restore(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.Snapshot()).To(Equal(data))
		Expect(restored.Job("b").State).To(Equal(jobs.Running))
		Expect(restored.BoundTo(worker)).To(HaveKey(second))
		Expect(restored.Effects()).To(HaveLen(1))
		restored.Apply(endCommand(second, 1, jobs.OutcomeDone))
		Expect(restored.Apply(bindCommand(last, 1)).Applied).To(BeTrue())
	})

	// Guards against a gang that never completes because only one member reports its end.
	It("completes a gang when one member is done", func() {
		s.Apply(submitCommand("a", jobs.Spec{Steps: []jobs.Step{{Count: 2, Gang: true}}}))
		s.Apply(bindCommand(first, 1))
		s.Apply(bindCommand(second, 1))
		s.Apply(endCommand(second, 1, jobs.OutcomeDone))
		Expect(s.Job("a").State).To(Equal(jobs.Done))
	})
})

var _ = Describe("Config", func() {
	// Guards against a request that is routed to a queue with a shorter prefix.
	It("matches the longest path prefix of the host", func() {
		c := jobs.Config{Queues: []jobs.Queue{
			{Name: "short", Host: "h", PathPrefix: "/a/"}, {Name: "long", Host: "h", PathPrefix: "/a/b/"}, {Name: "other", Host: "o", PathPrefix: "/a/b/c/"},
		}}
		Expect(c.Match("h", "/a/b/c/1").Name).To(Equal("long"))
		Expect(c.Match("h", "/a/x").Name).To(Equal("short"))
		Expect(c.Match("n", "/a/x")).To(BeNil())
	})
})
