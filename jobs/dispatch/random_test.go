package dispatch

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

const (
	randomSeeds = 150
	faultsEnd   = 40 * time.Second
	// simulationEnd leaves enough time for three workers to finish all jobs.
	simulationEnd = 300 * time.Second
)

// seeds returns the seeds of the random runs. GERANIUM_SOAK_SECONDS sets their number, and
// they start from the current time then. GERANIUM_SEED runs one seed alone.
func seeds() (first uint64, count int) {
	if seed, err := strconv.ParseUint(os.Getenv("GERANIUM_SEED"), 10, 64); err == nil {
		return seed, 1
	}
	if s, err := strconv.Atoi(os.Getenv("GERANIUM_SOAK_SECONDS")); err == nil && s > 0 {
		return uint64(time.Now().UnixNano()), s * 10 //nolint:gosec // a seed
	}
	return 1, randomSeeds
}

func newSimulation(seed uint64) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), store: jobs.NewStore(), deposed: map[*Dispatcher]bool{}, failedEnds: map[jobs.TaskKey]int{}, //nolint:gosec // a simulation
		deadly: map[jobs.TaskKey]bool{}, crashesUnder: map[jobs.TaskKey]int{}, startsAfterCrashes: map[jobs.TaskKey]int{},
		possibleCrashes: map[jobs.TaskKey]int{}, stoppedEnds: map[jobs.TaskKey]int{}, registered: map[*Dispatcher]map[jobs.Incarnation]jobs.Resources{},
		stalledUntil: map[*Dispatcher]time.Duration{}, doneEnds: map[jobs.TaskKey][]*doneEnd{}, begun: map[string]bool{}, gangs: map[gangAttempt]*simGang{},
		boundToEnded: map[jobs.TaskKey]int{}, evacuatedSince: map[string]time.Duration{}, byAddress: map[string]*simWorker{},
		options: Options{
			WorkerLease: testLease, HeartbeatInterval: testHeartbeatInterval, CapacityGrace: testCapacityGrace, PreviousLeaderLease: testPreviousLeaderLease,
		},
	}
	sim.store.Apply(jobs.Command{Configure: &jobs.Configure{Config: jobs.Config{
		Version: 1, Queues: []jobs.Queue{{Name: "q", Service: "s", MaxAttempts: 1000, Stretch: 2, LatencyObjective: 1000}},
	}}})
	return sim
}

func (sim *simulation) submit(id string, spec jobs.Spec) {
	sim.store.Apply(jobs.Command{Submit: &jobs.Submit{ID: id, Queue: "q", Spec: spec, At: sim.unix()}})
}

// randomSpec returns a random job of one to three sequential steps.
func (sim *simulation) randomSpec() jobs.Spec {
	spec := jobs.Spec{Payload: "x"}
	for i := range 1 + sim.rng.IntN(3) {
		step := jobs.Step{
			Count: 1 + sim.rng.IntN(6), Request: jobs.Resources{MilliCPU: 500 + 100*sim.rng.Int64N(20), MemoryMB: 10},
			EstimateMS: 100 + sim.rng.Int64N(2500), MaxPerWorker: sim.rng.IntN(3),
		}
		if i > 0 {
			step.DependsOn = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}

// injectFault starts one random fault.
func (sim *simulation) injectFault() {
	t := sim.workers[sim.rng.IntN(len(sim.workers))]
	length := time.Second + time.Duration(sim.rng.Int64N(int64(7*time.Second)))
	switch sim.rng.IntN(9) {
	case 0:
		t.crash(length)
	case 1:
		t.partitioned = true
		sim.schedule(length, func() { t.partitioned = false })
	case 2:
		sim.lateRate = 0.1
		sim.schedule(length, func() { sim.lateRate = 0 })
	case 3:
		sim.noAnswerRate = 0.1
		sim.schedule(length, func() { sim.noAnswerRate = 0 })
	case 4:
		sim.startLeader()
	case 5:
		t.draining = true
		sim.schedule(3*time.Second, func() { t.crash(length) })
	case 6:
		t.failTasks = true
		sim.schedule(length, func() { t.failTasks = false })
	case 7:
		t.hung = true
		sim.schedule(length, func() { t.hung = false })
	case 8:
		sim.maxDelay = 300 * time.Millisecond
		sim.schedule(length, func() { sim.maxDelay = 0 })
	}
}

var _ = Describe("Dispatcher under faults", func() {
	// Guards against tasks that run twice, start out of order, start after their end or
	// exceed the capacity of a worker, and against lost work, while workers crash, are
	// partitioned, drain or answer late and leaders change.
	It("keeps its invariants and finishes all jobs", func() {
		accepted, givenUp := 0, 0
		first, count := seeds()
		for i := range count {
			seed := first + uint64(i) //nolint:gosec // small
			sim := newSimulation(seed)
			for range 3 + sim.rng.IntN(4) {
				sim.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, sim.rng.IntN(2) == 0)
			}
			sim.startLeader()
			for at := time.Second; at < faultsEnd; at += 700 * time.Millisecond {
				sim.schedule(at, func() { sim.submit(fmt.Sprintf("job-%v", at), sim.randomSpec()) })
			}
			for at := 3 * time.Second; at < faultsEnd; at += 1500 * time.Millisecond {
				sim.schedule(at, sim.injectFault)
			}
			sim.runUntil(simulationEnd)
			Expect(sim.violations).To(BeEmpty(), "seed %d", seed)
			for _, j := range sim.store.Jobs() {
				accepted++
				givenUp += boolToInt(sim.expectDone(seed, j))
				j.Tasks(func(t *jobs.Task) {
					Expect(t.Failures).To(BeNumerically("<=", sim.failedEnds[t.Key]), "seed %d: failures of %v", seed, t.Key)
				})
			}
		}
		Expect(givenUp).To(BeNumerically("<=", accepted/minJobsPerGivenUp))
	})
})
