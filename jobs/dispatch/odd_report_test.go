package dispatch

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

// recoveryTime is how long an untrue report may keep a worker from new tasks: a few
// heartbeats.
const recoveryTime = 4 * testHeartbeatInterval

// untrue are well-formed reports that another writer sends under the id of a worker.
var untrue = []struct {
	name   string
	change func(h *Heartbeat)
}{
	{"the highest sequence", func(h *Heartbeat) { h.Sequence = math.MaxInt64 }},
	{"the highest sequence and a far clock", func(h *Heartbeat) { h.Sequence, h.ClockMS = math.MaxInt64, 1<<42 }},
	{"the highest sequence and no clock", func(h *Heartbeat) { h.Sequence, h.ClockMS = math.MaxInt64, 0 }},
	{"the highest sequence and an early clock", func(h *Heartbeat) { h.Sequence, h.ClockMS = math.MaxInt64, 1 }},
	{"a far clock", func(h *Heartbeat) { h.ClockMS = 1 << 42 }},
	{"an early clock", func(h *Heartbeat) { h.ClockMS = 1 }},
	{"a late start", func(h *Heartbeat) { h.StartedAtMS = 1 << 42 }},
	{"a late start and the highest sequence", func(h *Heartbeat) { h.StartedAtMS, h.Sequence = 1<<42, math.MaxInt64 }},
	{"an early start", func(h *Heartbeat) { h.StartedAtMS = 1 }},
	{"no start", func(h *Heartbeat) { h.StartedAtMS = 0 }},
	{"no capacity", func(h *Heartbeat) { h.Capacity = jobs.Resources{} }},
	{"another service", func(h *Heartbeat) { h.Service = "unheard" }},
	{"other labels and domain", func(h *Heartbeat) { h.Labels, h.Domain = []string{"x", "y"}, "z" }},
	{"the address of another worker", func(h *Heartbeat) { h.HostPort = "w1:1" }},
	{"an address where nothing listens", func(h *Heartbeat) { h.HostPort = "nowhere:1" }},
	{"a late start at the address of another", func(h *Heartbeat) { h.StartedAtMS, h.HostPort = 1<<42, "w1:1" }},
	{"a late start where nothing listens", func(h *Heartbeat) { h.StartedAtMS, h.HostPort = 1<<42, "nowhere:1" }},
	{"a late start at the address of another and no clock", func(h *Heartbeat) { h.StartedAtMS, h.HostPort, h.ClockMS = 1<<42, "w1:1", 0 }},
	{"a late start where nothing listens and no clock", func(h *Heartbeat) { h.StartedAtMS, h.HostPort, h.ClockMS = 1<<42, "nowhere:1", 0 }},
	{"everything untrue", func(h *Heartbeat) {
		h.StartedAtMS, h.HostPort, h.Sequence, h.ClockMS = 1<<42, "w1:1", math.MaxInt64, 1<<42
		h.Service, h.Labels, h.Capacity, h.Draining = "unheard", []string{"x"}, jobs.Resources{}, true
	}},
}

// oddReports is a fleet of two workers of which the second one is full. All tasks with a
// label run on the first one.
type oddReports struct {
	*simulation
	worker *simWorker
}

func newOddReports() *oddReports {
	sim := newSimulation(7)
	o := &oddReports{sim, sim.addWorker(fullCapacity, true)}
	other := sim.addWorker(jobs.Resources{}, true)
	other.refusesConnections = true
	return o
}

// inject delivers an untrue report under the worker's id to the current leader.
func (o *oddReports) inject(change func(*Heartbeat)) {
	h := o.worker.heartbeat()
	o.worker.sequence--
	change(&h)
	d := o.current()
	d.Advance(o.now, o.unix())
	d.HandleHeartbeat(h)
	o.carryOut(d)
}

// runsJob submits a job and checks that it is done in time.
func (o *oddReports) runsJob(id string, within time.Duration) {
	GinkgoHelper()
	o.submit(id, oneTask(1000, 200))
	o.runUntil(o.now + within)
	Expect(o.violations).To(BeEmpty())
	Expect(o.store.Job(id).State).To(Equal(jobs.Done), id)
}

var _ = Describe("An untrue report under the id of a worker", func() {
	for _, u := range untrue {
		name, change := u.name, u.change
		// Guards against a report that hides a worker from the present leader or the next one.
		It("with "+name+" hides it from no leader", func() {
			o := newOddReports()
			o.startLeader()
			o.runUntil(2500 * time.Millisecond)
			o.inject(change)
			o.runsJob("first", recoveryTime)
			o.startLeader()
			o.runsJob("second", recoveryTime)
			o.inject(change)
			o.startLeader()
			o.runsJob("third", recoveryTime)
			Expect(o.store.Worker(o.worker.id).StartedAtMS).To(Equal(o.worker.startedAtMS))
			Expect(o.store.Worker(o.worker.id).HostPort).To(Equal(o.worker.address))
		})

		// Guards against a worker that is hidden because the report comes before its own.
		It("with "+name+" hides no worker that reports later", func() {
			o := newOddReports()
			o.startLeader()
			o.inject(change)
			o.runsJob("first", recoveryTime)
			o.startLeader()
			o.inject(change)
			o.runsJob("second", recoveryTime)
		})

		// Guards against running tasks that are given up, or run twice, for such a report.
		It("with "+name+" ends none of its tasks", func() {
			o := newOddReports()
			o.startLeader()
			o.runUntil(2500 * time.Millisecond)
			o.submit("resident", oneTask(1000, 60_000))
			o.runUntil(o.now + 500*time.Millisecond)
			Expect(o.worker.running).To(HaveLen(1))
			for range 3 {
				o.inject(change)
				o.runUntil(o.now + 1300*time.Millisecond)
			}
			o.startLeader()
			o.inject(change)
			o.runUntil(o.now + 10*time.Second)
			Expect(o.violations).To(BeEmpty())
			Expect(o.starts).To(Equal(1), "attempts that started")
			Expect(o.store.Job("resident").Task(jobs.TaskKey{Job: "resident"}).Crashes).To(BeZero())
		})

		// Guards against a registration that can't be recorded, so that no drain is
		// acknowledged and each heartbeat proposes it again.
		It("with "+name+" does not keep its drain from the log", func() {
			o := newOddReports()
			o.startLeader()
			o.runUntil(2500 * time.Millisecond)
			o.inject(change)
			o.runUntil(o.now + recoveryTime)
			o.worker.draining = true
			o.worker.report()
			o.runUntil(o.now + 50*time.Millisecond)
			recorded := 0
			o.current().OnDrainRecorded(o.worker.id, func(ok bool) { recorded += boolToInt(ok) })
			o.carryOut(o.current())
			o.runUntil(o.now + 200*time.Millisecond)
			Expect(recorded).To(Equal(1))
			Expect(o.store.Worker(o.worker.id).Draining).To(BeTrue())
			Expect(o.violations).To(BeEmpty())
		})
	}

	// Guards against a delayed report that counts as new after an untrue one.
	It("leaves the order of the worker's own reports as it is", func() {
		for _, u := range untrue {
			o := newOddReports()
			o.startLeader()
			o.runUntil(2500 * time.Millisecond)
			delayed := o.worker.heartbeat()
			o.runUntil(o.now + 10*time.Millisecond)
			o.worker.setCapacity(quarter(fullCapacity))
			o.worker.report()
			o.runUntil(o.now + 10*time.Millisecond)
			o.inject(u.change)
			o.runUntil(o.now + recoveryTime)
			o.current().HandleHeartbeat(delayed)
			Expect(o.current().workers[o.worker.id].Capacity).To(Equal(quarter(fullCapacity)), u.name)
			d := o.startLeader()
			d.HandleHeartbeat(delayed)
			Expect(d.workers[o.worker.id].Capacity).To(Equal(quarter(fullCapacity)), u.name)
			Expect(o.violations).To(BeEmpty())
		}
	})

	// Guards against a worker that is ignored after it has started again elsewhere.
	for _, busy := range []bool{false, true} {
		It(fmt.Sprintf("is told from one of a worker that has moved with a restart, busy %t", busy), func() {
			o := newOddReports()
			o.startLeader()
			o.runUntil(2500 * time.Millisecond)
			if busy {
				o.submit("resident", oneTask(1000, 1000))
				o.runUntil(o.now + 500*time.Millisecond)
			}
			o.worker.crash(500 * time.Millisecond)
			o.worker.address = "moved:1"
			o.runUntil(o.now + 500*time.Millisecond)
			o.runsJob("next", recoveryTime)
			Expect(o.current().workers[o.worker.id].HostPort).To(Equal("moved:1"))
		})
	}

	// Guards against a task that starts on a worker of another service, or without the label
	// that it requires.
	It("makes it no worker of another service and gives it no labels", func() {
		o := newOddReports()
		o.store.Apply(jobs.Command{Configure: &jobs.Configure{Config: jobs.Config{Version: 2, Queues: []jobs.Queue{
			{Name: "q", Service: "s", MaxAttempts: 1000, Stretch: 2},
			{Name: "other", Service: "other", MaxAttempts: 1000, Stretch: 2},
		}}}})
		labelled := oneTask(1000, 200)
		labelled.Steps[0].RequiredLabel = "fast"
		o.submit("labelled", labelled)
		o.store.Apply(jobs.Command{Submit: &jobs.Submit{ID: "elsewhere", Queue: "other", Spec: oneTask(1000, 200), At: o.unix()}})
		o.startLeader()
		o.runUntil(2500 * time.Millisecond)
		for range 4 {
			o.inject(func(h *Heartbeat) { h.Service = "other" })
			o.runUntil(o.now + 1300*time.Millisecond)
			o.inject(func(h *Heartbeat) { h.Labels = []string{"fast", "r"} })
			o.runUntil(o.now + 1300*time.Millisecond)
		}
		Expect(o.starts).To(BeZero())
		o.runsJob("own", recoveryTime)
	})

	// Guards against a worker that keeps the service of an untrue report that came first.
	It("gives way to two reports of the worker in a row", func() {
		o := newOddReports()
		o.startLeader()
		o.inject(func(h *Heartbeat) { h.Service, h.Labels, h.Domain = "other", []string{"fast"}, "z" })
		o.runUntil(2500 * time.Millisecond)
		w := o.current().workers[o.worker.id]
		Expect([]any{w.Service, w.Labels, w.Domain}).To(Equal([]any{"s", []string(nil), ""}))
		o.runsJob("own", recoveryTime)
	})

	// Guards against honest reports that are ignored for good after the leader's own clock has
	// stood still.
	It("is told from one of a worker whose clock has run on while the leader's stood still", func() {
		o := newOddReports()
		o.startLeader()
		o.runUntil(2500 * time.Millisecond)
		o.worker.bootedAt -= time.Minute
		o.runUntil(o.now + recoveryTime)
		o.runsJob("next", recoveryTime)
	})

	// Guards against tasks that start a second time because another worker answers at the
	// address in the report, while their own worker runs them and can't be reached.
	It("ends no task of a worker that is cut off", func() {
		for _, u := range untrue {
			o := newOddReports()
			third := o.addWorker(fullCapacity, true)
			third.up = false
			o.startLeader()
			o.runUntil(2500 * time.Millisecond)
			o.submit("resident", oneTask(1000, 60_000))
			o.runUntil(o.now + 500*time.Millisecond)
			Expect(o.worker.running).To(HaveLen(1))
			third.boot()
			o.worker.partitioned = true
			o.runUntil(o.now + 2*time.Second)
			o.inject(u.change)
			o.runUntil(o.now + 10*time.Second)
			Expect(o.violations).To(BeEmpty(), u.name)
		}
	})
})
