package jobs_test

import (
	"bytes"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

var _ = Describe("Crashes of workers", func() {
	var s *jobs.Store
	key, other := jobs.TaskKey{Job: "a"}, jobs.TaskKey{Job: "a", Index: 1}
	registered := jobs.Worker{Incarnation: worker, HostPort: "h:1", Service: "s"}

	BeforeEach(func() {
		s = jobs.NewStore()
		s.Apply(configureCommand(1, jobs.Queue{Name: "q", Host: "h", PathPrefix: "/p/", MaxAttempts: 2}))
		s.Apply(jobs.Command{RegisterWorker: &jobs.RegisterWorker{Worker: registered}})
	})

	submit := func(step jobs.Step) {
		s.Apply(submitCommand("a", jobs.Spec{Steps: []jobs.Step{step}}))
	}
	run := func(k jobs.TaskKey, attempt int, from int64, end jobs.End) {
		Expect(s.Apply(jobs.Command{Bind: &jobs.Bind{Task: k, Attempt: attempt, On: worker, At: from}}).Applied).To(BeTrue())
		s.Apply(startedCommand(k.Job))
		end.Task, end.Attempt = k, attempt
		Expect(s.Apply(jobs.Command{End: &end}).Applied).To(BeTrue())
	}
	crashed := func(at int64) jobs.End { return jobs.End{Outcome: jobs.OutcomeCrashed, At: at} }
	settle := func(attempt int, outcome jobs.Outcome) jobs.Result {
		return s.Apply(jobs.Command{End: &jobs.End{Task: key, Attempt: attempt, Outcome: outcome, At: 9}})
	}

	// Guards against a task that runs again without bound although each worker crashes
	// under it, and against crashes that count as failures of the task.
	It("fail the job when the third worker crashes under one task", func() {
		submit(jobs.Step{Count: 2})
		run(key, 1, 1, crashed(2))
		run(other, 1, 1, crashed(2))
		run(key, 2, 3, crashed(4))
		run(other, 2, 3, crashed(4))
		Expect(s.Job("a").State).To(Equal(jobs.Running))
		Expect(s.Job("a").MaxCrashes()).To(Equal(2))
		run(key, 3, 5, crashed(6))
		Expect(s.Job("a").State).To(Equal(jobs.Failed))
		Expect(s.Job("a").EndedAt).To(BeEquivalentTo(6))
		Expect(s.Job("a").Task(key).Failures).To(BeZero())
		Expect(s.Apply(bindCommand(key, 4)).Applied).To(BeFalse())
	})

	// Guards against one more crash where no other task can have been the cause.
	It("fail the job when the second worker crashes on which the task was alone", func() {
		submit(jobs.Step{Count: 1})
		run(key, 1, 1, jobs.End{Outcome: jobs.OutcomeCrashed, At: 2, Sole: true})
		Expect(s.Job("a").State).To(Equal(jobs.Running))
		run(key, 2, 3, jobs.End{Outcome: jobs.OutcomeCrashed, At: 4, Sole: true})
		Expect(s.Job("a").State).To(Equal(jobs.Failed))
	})

	// Guards against a second crash that others may have caused.
	It("keep the job when the task was alone on the first worker only", func() {
		submit(jobs.Step{Count: 1})
		run(key, 1, 1, jobs.End{Outcome: jobs.OutcomeCrashed, At: 2, Sole: true})
		run(key, 2, 3, crashed(4))
		Expect(s.Job("a").State).To(Equal(jobs.Running))
	})

	// Guards against a job that was cancelled and is shown as failed later.
	It("leave an ended job as it is", func() {
		submit(jobs.Step{Count: 1})
		run(key, 1, 1, crashed(2))
		run(key, 2, 3, crashed(4))
		s.Apply(bindCommand(key, 3))
		s.Apply(cancelCommand("a"))
		s.Apply(endCommand(key, 3, jobs.OutcomeCrashed))
		Expect(s.Job("a").State).To(Equal(jobs.Cancelled))
	})

	// Guards against a long-running job that is given up after three ordinary crashes in a
	// long life.
	It("are forgotten once a long-running task has run for 20 s", func() {
		submit(jobs.Step{Count: 1, LongRunning: true})
		at := int64(0)
		for attempt := 1; attempt <= 6; attempt++ {
			run(key, attempt, at, crashed(at+20_000))
			at += 21_000
			Expect(s.Job("a").Task(key).Crashes).To(Equal(1))
		}
		run(key, 7, at, crashed(at+19_000))
		Expect(s.Job("a").Task(key).Crashes).To(Equal(2))
		run(key, 8, at+19_000, jobs.End{Outcome: jobs.OutcomeStopped, At: at + 39_000})
		Expect(s.Job("a").Task(key).Crashes).To(BeZero())
		Expect(s.Job("a").State).To(Equal(jobs.Running))
	})

	// Guards against a short task whose crashes are forgotten because it runs long.
	It("are kept for tasks that are not long-running", func() {
		submit(jobs.Step{Count: 1})
		run(key, 1, 1, crashed(70_000))
		run(key, 2, 70_000, crashed(140_000))
		Expect(s.Job("a").Task(key).Crashes).To(Equal(2))
	})

	// Guards against a job that is given up for one crash: under the other one the attempt had
	// ended with the lease of its worker before.
	It("do not count as certain after the lease of the worker", func() {
		s.Apply(jobs.Command{RegisterWorker: &jobs.RegisterWorker{Worker: registered}})
		submit(jobs.Step{Count: 1})
		run(key, 1, 1, jobs.End{Outcome: jobs.OutcomeLeaseExpired, At: 2})
		Expect(settle(1, jobs.OutcomeCrashed).Applied).To(BeTrue())
		run(key, 2, 3, jobs.End{Outcome: jobs.OutcomeCrashed, Sole: true, At: 4})
		Expect(s.Job("a").State).To(Equal(jobs.Running))
		run(key, 3, 5, jobs.End{Outcome: jobs.OutcomeCrashed, Sole: true, At: 6})
		Expect(s.Job("a").State).To(Equal(jobs.Failed))
	})

	// Guards against a crash that is not counted, or counted twice, because the lease of the
	// worker had expired before it was back.
	It("count once for an attempt that had ended with its lease", func() {
		for _, step := range []jobs.Step{{Count: 1}, {Count: 1, LongRunning: true}} {
			s = jobs.NewStore()
			s.Apply(jobs.Command{RegisterWorker: &jobs.RegisterWorker{Worker: registered}})
			submit(step)
			run(key, 1, 1, jobs.End{Outcome: jobs.OutcomeLeaseExpired, At: 2})
			Expect(s.Job("a").Task(key).Crashes).To(BeZero())
			Expect(s.Job("a").Task(key).ExpiredAttempts).To(Equal([]jobs.ExpiredAttempt{
				{Attempt: 1, On: worker, HostPort: "h:1", EndedAt: 2},
			}))
			s.Apply(bindCommand(key, 2))
			Expect(settle(1, jobs.OutcomeCrashed).Applied).To(BeTrue())
			Expect(settle(1, jobs.OutcomeCrashed).Applied).To(BeFalse())
			Expect(s.Job("a").Task(key).Crashes).To(Equal(1))
			Expect(s.Job("a").Task(key).BoundTo).NotTo(BeNil(), "the newer attempt goes on")
		}
	})

	// Guards against a crash that is counted for a worker that was out of contact only.
	It("don't count for a worker that answers again", func() {
		submit(jobs.Step{Count: 1})
		run(key, 1, 1, jobs.End{Outcome: jobs.OutcomeLeaseExpired, At: 2})
		Expect(settle(1, jobs.OutcomeLeaseExpired).Applied).To(BeTrue())
		Expect(settle(1, jobs.OutcomeCrashed).Applied).To(BeFalse())
		Expect(s.Job("a").Task(key).Crashes).To(BeZero())
		Expect(s.Apply(endCommand(key, 1, jobs.OutcomeDone)).Applied).To(BeTrue(), "its end still counts")
		Expect(s.Job("a").State).To(Equal(jobs.Done))
	})

	// Guards against a crash that is counted for a worker that has left as announced.
	It("don't count for a worker that was draining or has left", func() {
		submit(jobs.Step{Count: 1})
		draining := registered
		draining.Draining = true
		s.Apply(jobs.Command{RegisterWorker: &jobs.RegisterWorker{Worker: draining}})
		run(key, 1, 1, jobs.End{Outcome: jobs.OutcomeLeaseExpired, At: 2})
		s.Apply(jobs.Command{RemoveWorker: &jobs.RemoveWorker{Worker: worker}})
		run(key, 2, 3, jobs.End{Outcome: jobs.OutcomeLeaseExpired, At: 4})
		Expect(s.Job("a").Task(key).ExpiredAttempts).To(BeEmpty())
	})

	// Guards against a task that collects expired attempts for as long as it lives.
	It("keep the latest three expired attempts", func() {
		submit(jobs.Step{Count: 1, LongRunning: true})
		for attempt := 1; attempt <= 5; attempt++ {
			run(key, attempt, int64(attempt), jobs.End{Outcome: jobs.OutcomeLeaseExpired, At: int64(attempt)})
		}
		kept := s.Job("a").Task(key).ExpiredAttempts
		Expect(kept).To(HaveLen(3))
		Expect(kept[0].Attempt).To(Equal(3))
	})

	// Guards against a leader that starts the count anew after a restart of its replica.
	It("survive a snapshot", func() {
		submit(jobs.Step{Count: 1})
		run(key, 1, 1, crashed(2))
		run(key, 2, 3, crashed(4))
		run(key, 3, 5, jobs.End{Outcome: jobs.OutcomeLeaseExpired, At: 6})
		data, err := s.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		s, err = jobs.Restore(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Snapshot()).To(Equal(data))
		Expect(s.Job("a").MaxCrashes()).To(Equal(2))
		visited := 0
		s.ExpiredTasks(func(*jobs.Task) { visited++ })
		Expect(visited).To(Equal(1))
		Expect(s.Apply(jobs.Command{End: &jobs.End{Task: key, Attempt: 3, Outcome: jobs.OutcomeCrashed, At: 7}}).Applied).To(BeTrue())
		Expect(s.Job("a").State).To(Equal(jobs.Failed))
	})

	// Guards against a snapshot or a log of an earlier version that can't be read.
	It("are unknown in the data of earlier versions", func() {
		submit(jobs.Step{Count: 1})
		run(key, 1, 1, jobs.End{Outcome: jobs.OutcomeLost, At: 2})
		data, err := s.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		for _, field := range []string{`"cr":`, `"ex":`, `"sole":`} {
			Expect(bytes.Contains(data, []byte(field))).To(BeFalse(), field)
		}
		Expect(bytes.Contains(data, []byte(`"g":[1]`))).To(BeTrue())
		s, err = jobs.Restore(data)
		Expect(err).NotTo(HaveOccurred())
		batch, err := jobs.Decode([]byte(`[{"bind":{"t":{"j":"a"},"a":2,"on":{"w":"w1","b":10},"at":3}},{"end":{"t":{"j":"a"},"a":2,"how":"lapsed","at":4}}]`))
		Expect(err).NotTo(HaveOccurred())
		for _, c := range batch {
			Expect(s.Apply(c).Applied).To(BeTrue())
		}
		Expect(s.Job("a").Task(key).AbandonedAttempts).To(Equal([]int{1, 2}))
	})

	// Guards against expired attempts of deleted jobs that later leaders settle.
	It("are deleted with their job", func() {
		submit(jobs.Step{Count: 1})
		run(key, 1, 1, jobs.End{Outcome: jobs.OutcomeLeaseExpired, At: 2})
		s.Apply(cancelCommand("a"))
		s.Apply(jobs.Command{Prune: &jobs.Prune{IDs: []string{"a"}}})
		s.ExpiredTasks(func(t *jobs.Task) { Fail("task of a deleted job: " + t.Key.String()) })
	})
})
