package interference

import "math"

// Prediction is the predicted state of one service on a worker.
type Prediction struct {
	Service string
	Load    float64
	// Slowdown is the factor by which the tasks on the worker slow the service.
	Slowdown float64
	// P99Seconds is the predicted tail latency; 0 while nothing was measured.
	P99Seconds float64
	// Unexplained is the factor that this worker is slower than predicted.
	Unexplained float64
}

// JobIndex is the number by which Adding names a job.
func (m *Model) JobIndex(name string) int { return m.jobIndex(name) }

// totalEffect is the logarithm of the slowdown of a service on a worker.
func (m *Model) totalEffect(w *Worker, state *serviceState) float64 {
	s := m.services[state.service]
	position := m.pairPosition(state.load)
	sum := 0.0
	for _, weight := range w.weights {
		sum += weight.weight * m.pairEffect(s, weight.job, position)
	}
	return sum
}

// AddedTask is the predicted change of one service by one more task of a job.
type AddedTask struct {
	// Before and After are logarithms of the slowdown.
	Before, After float64
	// P99Seconds is the tail latency after, 0 while nothing was measured.
	P99Seconds   float64
	ServiceIndex int
}

// PredictAdded calls use for each service of the worker with the change that a task of
// the job with the given weight would make.
func (m *Model) PredictAdded(w *Worker, job int, weight float64, report func(AddedTask)) {
	for i := range w.services {
		state := &w.services[i]
		s := m.services[state.service]
		before := max(0, m.totalEffect(w, state)+state.residual)
		after := before + weight*m.pairEffect(s, job, m.pairPosition(state.load))
		report(AddedTask{Before: before, After: after, P99Seconds: m.p99(s, state, after), ServiceIndex: state.service})
	}
}

func (m *Model) p99(s *service, state *serviceState, effect float64) float64 {
	if !s.measured {
		return 0
	}
	return math.Exp(s.filter.curveValue(0, locateKnots(state.load, baselineKnots)) + effect)
}

// Predictions returns the state of every service on a worker.
func (m *Model) Predictions(w *Worker) []Prediction {
	out := make([]Prediction, 0, len(w.services))
	for i := range w.services {
		state := &w.services[i]
		effect := m.totalEffect(w, state)
		out = append(out, Prediction{
			Service:     m.services[state.service].name,
			Load:        state.load,
			Slowdown:    math.Exp(effect),
			Unexplained: math.Exp(state.residual),
			P99Seconds:  m.p99(m.services[state.service], state, max(0, effect+state.residual)),
		})
	}
	return out
}

// Effect is the logarithm of the slowdown of a service by a task of weight 1
// of a job at a load.
func (m *Model) Effect(serviceName, job string, load float64) float64 {
	s := m.services[m.serviceIndex(serviceName)]
	return m.pairEffect(s, m.jobIndex(job), m.pairPosition(load))
}

// ServiceName is the name of a service by number.
func (m *Model) ServiceName(index int) string { return m.services[index].name }
