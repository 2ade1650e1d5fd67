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
	// worldEnd leaves three workers the time for all work.
	worldEnd = 300 * time.Second
)

// seeds returns the seeds of the random runs. GERANIUM_SOAK_SECONDS makes them new
// and many.
func seeds() (first uint64, count int) {
	if s, err := strconv.Atoi(os.Getenv("GERANIUM_SOAK_SECONDS")); err == nil && s > 0 {
		return uint64(time.Now().UnixNano()), s * 10 //nolint:gosec // a seed
	}
	return 1, randomSeeds
}

func newWorld(seed uint64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), store: jobs.NewStore(), deposed: map[*Dispatcher]bool{}, failed: map[jobs.TaskKey]int{}} //nolint:gosec // a simulation
	w.store.Apply(jobs.Command{Configure: &jobs.Configure{Config: jobs.Config{
		Version: 1, Queues: []jobs.Queue{{Name: "q", Service: "s", MaxAttempts: 1000, Stretch: 2, LatencyObjective: 1000}},
	}}})
	return w
}

func (w *world) submit(id string, spec jobs.Spec) {
	w.store.Apply(jobs.Command{Submit: &jobs.Submit{ID: id, Queue: "q", Spec: spec, At: w.unix()}})
}

// randomSpec draws a job of few steps.
func (w *world) randomSpec() jobs.Spec {
	spec := jobs.Spec{Payload: "x"}
	for i := range 1 + w.random.IntN(3) {
		step := jobs.Step{
			Count: 1 + w.random.IntN(6), Request: jobs.Resources{MilliCPU: 500 + 100*w.random.Int64N(20), MemoryMB: 10},
			Estimate: 100 + w.random.Int64N(2500), MaxPerWorker: w.random.IntN(3),
		}
		if i > 0 {
			step.DependsOn = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}

// disturb brings one fault.
func (w *world) disturb() {
	t := w.workers[w.random.IntN(len(w.workers))]
	length := time.Second + time.Duration(w.random.Int64N(int64(7*time.Second)))
	switch w.random.IntN(9) {
	case 0:
		t.crash(length)
	case 1:
		t.cut = true
		w.after(length, func() { t.cut = false })
	case 2:
		w.late = 0.1
		w.after(length, func() { w.late = 0 })
	case 3:
		w.mute = 0.1
		w.after(length, func() { w.mute = 0 })
	case 4:
		w.lead()
	case 5:
		t.draining = true
		w.after(3*time.Second, func() { t.crash(length) })
	case 6:
		t.fails = true
		w.after(length, func() { t.fails = false })
	case 7:
		t.hung = true
		w.after(length, func() { t.hung = false })
	case 8:
		w.delay = 300 * time.Millisecond
		w.after(length, func() { w.delay = 0 })
	}
}

var _ = Describe("Dispatcher under faults", func() {
	// Guards against tasks that run twice, start out of order, start after their end
	// or beyond the capacity of a worker, and against work that is lost, when workers
	// crash, are cut off, leave or answer late and leaders change.
	It("keeps its promises and ends all jobs", func() {
		first, count := seeds()
		for i := range count {
			seed := first + uint64(i) //nolint:gosec // small
			w := newWorld(seed)
			for range 3 + w.random.IntN(4) {
				w.addWorker(jobs.Resources{MilliCPU: 4000, MemoryMB: 1000}, w.random.IntN(2) == 0)
			}
			w.lead()
			for at := time.Second; at < faultsEnd; at += 700 * time.Millisecond {
				w.after(at, func() { w.submit(fmt.Sprintf("job-%v", at), w.randomSpec()) })
			}
			for at := 3 * time.Second; at < faultsEnd; at += 1500 * time.Millisecond {
				w.after(at, w.disturb)
			}
			w.run(worldEnd)
			Expect(w.failures).To(BeEmpty(), "seed %d", seed)
			for _, j := range w.store.Jobs() {
				Expect(j.State).To(Equal(jobs.Done), "seed %d: job %s", seed, j.ID)
				j.Tasks(func(t *jobs.Task) {
					Expect(t.Failures).To(BeNumerically("<=", w.failed[t.Key]), "seed %d: failures of %v", seed, t.Key)
				})
			}
		}
	})
})
