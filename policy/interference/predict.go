package interference

import "math"

// Prediction is the predicted state of one service on a worker.
type Prediction struct {
	Service string
	Load    float64
	// Slowdown is the factor by which the tasks on the worker slow the service according to
	// the model.
	Slowdown float64
	// P99Seconds is the predicted tail latency, 0 without measurements.
	P99Seconds float64
	// Unexplained is the factor by which the service is slower on this worker than the model
	// predicts.
	Unexplained float64
}

// JobIndex returns the index of a job for PredictAdded.
func (m *Model) JobIndex(name string) int { return m.jobIndex(name) }

// totalEffect returns the logarithm of the predicted slowdown of a service on a worker.
func (m *Model) totalEffect(w *Worker, state *serviceState) float64 {
	s := m.services[state.service]
	position := m.pairPosition(state.load)
	sum := 0.0
	for _, weight := range w.weights {
		sum += weight.weight * m.pairEffect(s, weight.job, position)
	}
	return sum
}

// AddedTask is the predicted effect of one more task on one service.
type AddedTask struct {
	// Before and After are the logarithms of the slowdown without and with the task.
	Before, After float64
	// P99Seconds is the tail latency with the task, 0 without measurements.
	P99Seconds   float64
	ServiceIndex int
}

// PredictAdded calls report for each service of the worker with the effect that a task of
// the job with the given weight would have.
func (m *Model) PredictAdded(w *Worker, job int, weight float64, report func(AddedTask)) {
	for i := range w.services {
		state := &w.services[i]
		s := m.services[state.service]
		before := max(0, m.totalEffect(w, state)+state.residual)
		after := before + weight*m.pairEffect(s, job, m.pairPosition(state.load))
		report(AddedTask{Before: before, After: after, P99Seconds: m.p99(s, state, after), ServiceIndex: state.service})
	}
}

// p99 returns the tail latency in seconds with the given logarithm of the slowdown, or 0
// without measurements of the service.
func (m *Model) p99(s *service, state *serviceState, effect float64) float64 {
	if !s.measured {
		return 0
	}
	return math.Exp(s.filter.curveValue(0, locateKnots(state.load, baselineKnots)) + effect)
}

// Predictions returns the predicted state of every service on a worker.
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

// Effect returns the logarithm of the slowdown of a service at a load by a task of the job
// with weight 1.
func (m *Model) Effect(serviceName, job string, load float64) float64 {
	s := m.services[m.serviceIndex(serviceName)]
	return m.pairEffect(s, m.jobIndex(job), m.pairPosition(load))
}

// ServiceName returns the name of the service with an index.
func (m *Model) ServiceName(index int) string { return m.services[index].name }
