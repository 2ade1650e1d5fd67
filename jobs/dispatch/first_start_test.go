package dispatch

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

const (
	// darkJobs is the number of jobs that are accepted right after a worker has gone dark.
	darkJobs = 8
	// darkFor is how long the worker stays dark.
	darkFor = 18 * time.Second
	// startKnownWithin bounds the time from the start of a task on a worker until the job is
	// shown as running, and from then on until it counts as pending no more.
	startKnownWithin = 2 * time.Second
)

// darkWorker is a fleet of two workers, of which one is full and the other one goes dark
// right before jobs are accepted.
type darkWorker struct {
	*simulation
	dark *simWorker
	// atWork are the jobs of which a worker has begun a task, with the time of the first one.
	atWork map[string]time.Duration
	ids    []string
}

func newDarkWorker() *darkWorker {
	f := &darkWorker{simulation: newSimulation(7), atWork: map[string]time.Duration{}}
	f.observe = func(step string, key jobs.TaskKey) {
		if _, known := f.atWork[key.Job]; step == "at work" && !known {
			f.atWork[key.Job] = f.now
		}
	}
	for range 2 {
		f.addWorker(jobs.Resources{MilliCPU: 8000, MemoryMB: 1000}, false)
	}
	f.startLeader()
	f.runUntil(2 * time.Second)
	f.submit("full", jobs.Spec{Steps: []jobs.Step{{
		Count: 1, Request: jobs.Resources{MilliCPU: 8000, MemoryMB: 10}, EstimateMS: 60_000,
	}}})
	f.runUntil(4 * time.Second)
	for _, t := range f.workers {
		if len(t.running) == 0 {
			f.dark = t
		}
	}
	return f
}

// submitAll accepts the jobs, each of one step.
func (f *darkWorker) submitAll(step jobs.Step) {
	for i := range darkJobs {
		id := fmt.Sprintf("job-%d", i)
		f.ids = append(f.ids, id)
		f.submit(id, jobs.Spec{Payload: "x", Steps: []jobs.Step{step}})
	}
}

// check compares what callers are told with what workers have begun.
func (f *darkWorker) check() {
	waiting, known := 0, 0
	for _, id := range f.ids {
		at, begun := f.atWork[id]
		waiting += boolToInt(!begun)
		known += boolToInt(begun && f.now-at >= startKnownWithin)
		if state := f.store.Job(id).State; !begun {
			Expect(state).To(Equal(jobs.Queued), "state of %s at %v, which no worker has begun", id, f.now)
		}
	}
	Expect(f.store.Pending("q")).To(And(BeNumerically(">=", waiting), BeNumerically("<=", len(f.ids)-known)),
		"pending at %v, when %d jobs have not begun", f.now, waiting)
}

// checkUntil checks the answers until a time.
func (f *darkWorker) checkUntil(until time.Duration) {
	for f.now < until {
		f.runUntil(f.now + 100*time.Millisecond)
		f.check()
	}
	Expect(f.violations).To(BeEmpty())
}

var _ = Describe("A job that waits for its first start", func() {
	small := jobs.Step{Count: 1, Request: jobs.Resources{MilliCPU: 1000, MemoryMB: 10}, EstimateMS: 2000}
	pair := jobs.Step{Count: 2, Gang: true, Request: jobs.Resources{MilliCPU: 500, MemoryMB: 10}, EstimateMS: 2000}

	// Guards against accepted jobs that count as started, and are shown as running, while no
	// worker has begun any of their tasks.
	for _, form := range []struct {
		name string
		step jobs.Step
		// newLeaders are the times after the submission at which another leader takes over.
		newLeaders []time.Duration
	}{
		{"counts as pending until a dark worker is back and begins it", small, nil},
		{"counts as pending on a dark worker if it is a gang", pair, nil},
		{"counts as pending on a dark worker for the next leader", small, []time.Duration{3 * time.Second}},
		{"counts as pending on a dark worker for each of many leaders", small, []time.Duration{
			500 * time.Millisecond, time.Second, 3 * time.Second, 6 * time.Second, 12 * time.Second,
		}},
	} {
		It(form.name, func() {
			f := newDarkWorker()
			f.dark.crash(darkFor)
			f.submitAll(form.step)
			for _, after := range form.newLeaders {
				f.schedule(after, func() { f.startLeader() })
			}
			f.checkUntil(f.now + darkFor + 10*time.Second)
			Expect(f.atWork).To(HaveLen(darkJobs+1), "all jobs have begun once the worker is back")
			Expect(f.store.Pending("q")).To(BeZero())
		})
	}

	// Guards against jobs that count as started because an address refuses their start.
	It("counts as pending if the address of the worker refuses connections", func() {
		f := newDarkWorker()
		f.dark.refusesConnections = true
		f.dark.crash(darkFor)
		f.submitAll(small)
		f.checkUntil(f.now + darkFor + 10*time.Second)
		Expect(f.atWork).To(HaveLen(darkJobs + 1))
	})

	// Guards against the start of a job that is lost with a command that the log rejects.
	It("counts as started although the log rejects commands", func() {
		f := newDarkWorker()
		f.rejectRate = 0.7
		f.submitAll(jobs.Step{Count: 1, Request: jobs.Resources{MilliCPU: 1000, MemoryMB: 10}, EstimateMS: 60_000})
		f.runUntil(f.now + 10*time.Second)
		Expect(f.store.Pending("q")).To(BeZero())
		Expect(f.atWork).To(HaveLen(darkJobs + 1))
	})

	// Guards against a job that has begun and counts as pending again once it was evicted, or
	// once another leader follows.
	It("counts as started for good once it has begun", func() {
		f := newDarkWorker()
		f.submitAll(jobs.Step{Count: 1, Request: jobs.Resources{MilliCPU: 1000, MemoryMB: 10}, EstimateMS: 20_000})
		f.checkUntil(f.now + 2*startKnownWithin)
		Expect(f.store.Pending("q")).To(BeZero())
		f.dark.crash(darkFor)
		f.schedule(3*time.Second, func() { f.startLeader() })
		for range 100 {
			f.runUntil(f.now + 100*time.Millisecond)
			Expect(f.store.Pending("q")).To(BeZero())
			Expect(f.store.Job(f.ids[0]).State).To(Equal(jobs.Running))
		}
		Expect(f.store.BoundTo(jobs.Incarnation{Worker: f.dark.id, StartedAtMS: f.dark.startedAtMS})).To(BeEmpty(), "the tasks wait to run again")
	})
})
