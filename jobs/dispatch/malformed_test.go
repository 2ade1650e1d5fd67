package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

// arbitrary generates reports that a faulty or foreign worker may send.
type arbitrary struct{ rng *rand.Rand }

func (a arbitrary) number() int64 {
	extremes := []int64{math.MinInt64, -1, 0, 1, 2, 5, 100, math.MaxInt32, math.MaxInt64}
	return extremes[a.rng.IntN(len(extremes))]
}

func (a arbitrary) key() jobs.TaskKey {
	ids := []string{"", "unknown", "job-0", "job-1", "cancelled", "unsubmitted"}
	index := func() int { return a.rng.IntN(6) - 2 }
	return jobs.TaskKey{Job: ids[a.rng.IntN(len(ids))], Occurrence: index(), Step: index(), Index: index()}
}

func (a arbitrary) reply(o Order) Reply {
	r := Reply{
		Order: o, Status: ReplyStatus(a.rng.IntN(9) - 1), ClockMS: a.number(), StartedAtMS: a.number(), Malformed: a.rng.IntN(2),
		SentAt: time.Duration(a.number()), ReceivedAt: time.Duration(a.number()),
	}
	for range a.rng.IntN(5) {
		r.Running = append(r.Running, RunningTask{Task: a.key(), Attempt: int(a.number()), Percent: int(a.number()), Usage: float64(a.number())})
	}
	outcomes := []jobs.Outcome{"", "unknown", jobs.OutcomeDone, jobs.OutcomeFailed, jobs.OutcomeStopped, jobs.OutcomeLeaseExpired}
	for range a.rng.IntN(5) {
		r.Finished = append(r.Finished, FinishedTask{
			Number: a.number(), Task: a.key(), Attempt: int(a.number()), Outcome: outcomes[a.rng.IntN(len(outcomes))],
		})
	}
	return r
}

func (a arbitrary) heartbeat() Heartbeat {
	return Heartbeat{
		Worker: fmt.Sprint("foreign-", a.rng.IntN(4)), HostPort: "w0:1", Service: []string{"", "s"}[a.rng.IntN(2)],
		Draining: a.rng.IntN(2) == 0, Remaining: time.Duration(a.number()),
		Capacity: jobs.Resources{MilliCPU: a.number(), MemoryMB: a.number(), GPUs: a.number()},
		Labels:   make([]string, a.rng.IntN(4)), ClockMS: a.number(), StartedAtMS: a.number(), Sequence: a.number(),
	}
}

// step returns a step as validateSpec of jobd accepts it.
func (a arbitrary) step() jobs.Step {
	positive := func() int64 { return max(0, a.number()) }
	return jobs.Step{
		Count: 1 + a.rng.IntN(3), Request: jobs.Resources{MilliCPU: positive(), MemoryMB: positive()}, EstimateMS: positive(),
		Gang: a.rng.IntN(3) == 0, MaxPerWorker: a.rng.IntN(2), LongRunning: a.rng.IntN(3) == 0, LatencyTargetMS: positive(),
		Filler: a.rng.IntN(2) == 0, Image: "i", MaxUnavailable: int(a.number()),
	}
}

var _ = Describe("Malformed reports", func() {
	// Guards against a report, a document or a configuration that ends the process of the
	// leader, and after it that of each next one: heartbeats, replies to each order and
	// jobs carry extreme numbers, unknown tasks and indexes out of range.
	It("do not stop the dispatcher", func() {
		for seed := range uint64(60) {
			sim := newSimulation(seed)
			a := arbitrary{sim.rng}
			for range 3 {
				sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, true)
			}
			sim.store.Apply(jobs.Command{Cancel: &jobs.Cancel{ID: "unsubmitted", At: sim.unix()}})
			sim.submit("cancelled", jobs.Spec{Steps: []jobs.Step{{Count: 1}}})
			sim.store.Apply(jobs.Command{Cancel: &jobs.Cancel{ID: "cancelled", At: sim.unix()}})
			for i := range 4 {
				sim.submit(fmt.Sprint("job-", i), jobs.Spec{
					Steps: []jobs.Step{a.step(), a.step()}, Occurrences: sim.rng.IntN(3), FirstStart: max(0, a.number()), Period: max(0, a.number()),
				})
			}
			d := New(Options{WorkerLease: testLease, HeartbeatInterval: testHeartbeatInterval}, sim.store, 1, 0, sim.unix())
			Expect(func() { feed(d, sim, a) }).NotTo(Panic(), "seed %d", seed)
			Expect(func() {
				New(Options{WorkerLease: testLease, HeartbeatInterval: testHeartbeatInterval}, sim.store, 2, 0, sim.unix()).Tick()
			}).NotTo(Panic(), "seed %d, the next leader", seed)
			snapshot, err := sim.store.Snapshot()
			Expect(err).NotTo(HaveOccurred())
			_, err = jobs.Restore(snapshot)
			Expect(err).NotTo(HaveOccurred())
		}
	})
})

// feed passes arbitrary heartbeats, and replies to all orders, to a dispatcher.
func feed(d *Dispatcher, sim *simulation, a arbitrary) {
	for i := range 300 {
		d.Advance(time.Duration(i)*testTick, sim.unix())
		switch a.rng.IntN(4) {
		case 0:
			d.HandleHeartbeat(a.heartbeat())
		case 1:
			d.Deregister(fmt.Sprint("foreign-", a.rng.IntN(4)), func(bool) {})
		case 2:
			d.HandleHeartbeat(Heartbeat{
				Worker: fmt.Sprint("sound-", a.rng.IntN(2)), Service: "s", Capacity: jobs.Resources{MilliCPU: 9000, MemoryMB: 9000},
				ClockMS: int64(1000 + i), StartedAtMS: 1, Sequence: int64(i),
			})
		case 3:
			d.OnDrainRecorded(fmt.Sprint("foreign-", a.rng.IntN(4)), func(bool) {})
		}
		d.Tick()
		commands, orders, _ := d.TakeOutput()
		for _, c := range commands {
			c.OnResult(sim.store.Apply(c.Command), true)
		}
		for _, o := range orders {
			if a.rng.IntN(2) == 0 {
				d.HandleReply(Reply{Order: o, Status: Accepted, ClockMS: int64(1000 + i), StartedAtMS: 1, ReceivedAt: d.now, SentAt: d.now})
			} else {
				d.HandleReply(a.reply(o))
			}
		}
	}
}
