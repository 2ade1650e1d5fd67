package interference_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/policy/interference"
)

func TestInterference(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "interference")
}

// serviceSimulation generates measurements of one service on one worker with known
// effects of the jobs beside it.
type serviceSimulation struct {
	model   *interference.Model
	random  *rand.Rand
	now     time.Duration
	weights map[string]float64
	effects map[string]float64
	pending []interference.Sample
	dueAt   []time.Duration
}

func newServiceSimulation(rules interference.Rules, effects map[string]float64) *serviceSimulation {
	w := &serviceSimulation{
		model: interference.NewModel(rules), random: rand.New(rand.NewPCG(1, 2)),
		weights: map[string]float64{}, effects: effects,
	}
	w.model.SetWorker(0, "w", []string{"s"})
	return w
}

func (w *serviceSimulation) change(job string, delta float64) {
	w.weights[job] += delta
	w.model.AddWeight(w.now, "w", job, delta)
}

// step adds a measurement and delivers those that are due, 2 to 30 s late and out of
// order. Effects grow with the square of the load.
func (w *serviceSimulation) step(load float64) {
	w.now += time.Second
	sum := 0.0
	for job, n := range w.weights {
		sum += n * w.effects[job] * load * load
	}
	p99 := 0.05 * (1 + load) * math.Exp(sum+0.05*w.random.NormFloat64())
	sample := interference.Sample{Service: "s", MeasuredAt: w.now, Load: load, P99: time.Duration(p99 * 1e9), Count: 100}
	w.pending = append(w.pending, sample)
	w.dueAt = append(w.dueAt, w.now+2*time.Second+time.Duration(w.random.Int64N(int64(28*time.Second))))
	for i := len(w.pending) - 1; i >= 0; i-- {
		if w.dueAt[i] <= w.now {
			w.model.Observe(w.now, "w", w.pending[i])
			w.pending = append(w.pending[:i], w.pending[i+1:]...)
			w.dueAt = append(w.dueAt[:i], w.dueAt[i+1:]...)
		}
	}
}

// churn starts or stops a task every few seconds, faster than reports arrive.
func (w *serviceSimulation) churn(steps int, load func(int) float64, jobs ...string) {
	for i := range steps {
		if i%4 == 0 {
			job := jobs[w.random.IntN(len(jobs))]
			if w.weights[job] >= 1 && w.random.Float64() < 0.5 {
				w.change(job, -1)
			} else if w.weights[job] < 3 {
				w.change(job, 1)
			}
		}
		w.step(load(i))
	}
}

func constantLoad(load float64) func(int) float64 { return func(int) float64 { return load } }

var _ = Describe("learning from late reports", func() {
	effects := map[string]float64{"loud": 0.3, "quiet": 0.01}

	// Guards against attributing a slowdown to the job that runs when its report arrives.
	It("attributes a measurement to what ran when it was made", func() {
		w := newServiceSimulation(interference.Rules{}, effects)
		w.churn(1500, constantLoad(1), "loud", "quiet")
		Expect(w.model.Effect("s", "loud", 1)).To(BeNumerically("~", 0.3, 0.06))
		Expect(w.model.Effect("s", "quiet", 1)).To(BeNumerically("<", 0.06))
		withoutHistory := newServiceSimulation(interference.Rules{NoHistory: true}, effects)
		withoutHistory.churn(1500, constantLoad(1), "loud", "quiet")
		Expect(withoutHistory.model.Effect("s", "loud", 1)).To(BeNumerically("<", 0.2), "without the history the effect is underestimated")
	})

	// Guards against a model that applies the effect learned at one load to another.
	It("learns how the effect depends on the load", func() {
		w := newServiceSimulation(interference.Rules{}, effects)
		w.churn(3000, func(i int) float64 { return 0.5 + 0.45*math.Sin(float64(i)/100) }, "loud", "quiet")
		low, high := w.model.Effect("s", "loud", 0.2), w.model.Effect("s", "loud", 0.95)
		Expect(high).To(BeNumerically("~", 0.27, 0.07))
		Expect(low).To(BeNumerically("<", 0.1))
	})

	// Guards against reactions to a few noisy reports about a new job.
	It("stays near its prior while there is little data", func() {
		w := newServiceSimulation(interference.Rules{}, effects)
		w.churn(60, constantLoad(1), "quiet")
		w.change("new", 1)
		before := w.model.Effect("s", "new", 1)
		w.now += 4 * time.Second
		w.model.Observe(w.now, "w", interference.Sample{Service: "s", MeasuredAt: w.now - 2*time.Second, Load: 1, P99: 200 * time.Millisecond, Count: 5})
		Expect(w.model.Effect("s", "new", 1)).To(BeNumerically("<", before+0.1))
	})

	// Guards against a model that keeps the effect of a job after the job has changed.
	It("follows an effect that changes", func() {
		w := newServiceSimulation(interference.Rules{}, map[string]float64{"loud": 0.3, "quiet": 0.01})
		w.churn(1500, constantLoad(1), "loud", "quiet")
		w.effects["loud"] = 0.02
		w.churn(3000, constantLoad(1), "loud", "quiet")
		Expect(w.model.Effect("s", "loud", 1)).To(BeNumerically("<", 0.1))
	})

	// Guards against attributing a report to tasks when it is unknown which ones ran.
	It("drops reports that are older than the history", func() {
		w := newServiceSimulation(interference.Rules{}, effects)
		w.churn(120, constantLoad(1), "loud", "quiet")
		late := w.model.StaleSamples
		w.model.Observe(w.now, "w", interference.Sample{Service: "s", MeasuredAt: w.now - 2*time.Minute, Load: 1, P99: time.Second, Count: 100})
		Expect(w.model.StaleSamples).To(Equal(late + 1))
	})
})
