package interference

import (
	"math"
	"time"
)

// Priors. The effect of a pair is the logarithm of the slowdown of the service by a task
// of weight 1. The baseline is the logarithm of the tail latency without neighbours.
var (
	pairPrior     = prior{mean: 0.02, variance: 0.15 * 0.15, driftPerSecond: 4e-6, reversionTime: 30 * time.Minute}
	baselinePrior = prior{variance: 0.5, driftPerSecond: 2e-6}
)

// Measurement noise of a tail latency, as the variance of its logarithm.
const (
	noiseVarianceFloor = 0.01
	// noiseVariancePerRequest is divided by the number of requests measured.
	noiseVariancePerRequest = 2
	// minRequests is the number of requests below which a measurement is ignored.
	minRequests = 5
	// maxDeviations is the number of standard deviations to which innovations are clamped.
	maxDeviations = 3
)

// Sample is a measurement of a service on a worker.
type Sample struct {
	Service string
	// MeasuredAt is the middle of the measured interval.
	MeasuredAt time.Duration
	Load       float64
	P99        time.Duration
	// Count is the number of requests measured.
	Count int64
}

// service holds the estimates for one service.
type service struct {
	name string
	// measured is true after the first sample.
	measured bool
	// filter holds the knots of the baseline, then those of each pair in the order of the
	// job indexes.
	filter kalmanFilter
}

// serviceState is the last known state of a service on one worker.
type serviceState struct {
	service int
	// measuredAt is the time of the newest sample.
	measuredAt time.Duration
	load       float64
	// residual is the logarithm of the slowdown that the model does not explain, smoothed
	// over samples.
	residual float64
	measured bool
}

// Worker is the state that the model keeps for one worker.
type Worker struct {
	services []serviceState
	weights  []jobWeight
	history  history
}

// Rules disables individual parts of the model for ablation experiments.
type Rules struct {
	// NoHistory attributes a measurement to the tasks that run when it arrives.
	NoHistory bool
	// NoShrinkage starts from a prior with a large variance.
	NoShrinkage bool
	// NoForgetting gives old measurements the weight of new ones.
	NoForgetting bool
	// NoLoad treats effects as independent of the load.
	NoLoad bool
}

// Model estimates the interference of all pairs of a service and a job. Times are
// monotonic.
type Model struct {
	rules          Rules
	pair           prior
	baseline       prior
	serviceIndexes map[string]int
	services       []*service
	jobIndexes     map[string]int
	workers        map[string]*Worker
	scratch        []jobWeight
	// StaleSamples counts samples that were dropped because they were older than the
	// history.
	StaleSamples int64
}

// NewModel returns a model without measurements.
func NewModel(rules Rules) *Model {
	m := &Model{
		rules: rules, pair: pairPrior, baseline: baselinePrior,
		serviceIndexes: map[string]int{}, jobIndexes: map[string]int{}, workers: map[string]*Worker{},
	}
	if rules.NoShrinkage {
		m.pair.variance = 100 * pairPrior.variance
		m.pair.mean = 0
	}
	if rules.NoForgetting {
		m.pair.driftPerSecond, m.pair.reversionTime, m.baseline.driftPerSecond = 0, 0, 0
	}
	return m
}

func (m *Model) serviceIndex(name string) int {
	index, known := m.serviceIndexes[name]
	if !known {
		index = len(m.services)
		m.serviceIndexes[name] = index
		s := &service{name: name}
		s.filter.grow(baselineKnots, &m.baseline)
		m.services = append(m.services, s)
	}
	return index
}

func (m *Model) jobIndex(name string) int {
	index, known := m.jobIndexes[name]
	if !known {
		index = min(len(m.jobIndexes), maxJobs-1)
		m.jobIndexes[name] = index
	}
	return index
}

// maxJobs bounds the number of parameters of a service, since the cost of a measurement
// is quadratic in it. Jobs beyond maxJobs share the last index.
const maxJobs = 128

// pairOffset returns the index of the first parameter of a pair and adds the parameters on
// first use.
func (m *Model) pairOffset(s *service, job int) int {
	start := baselineKnots + job*pairKnots
	if missing := start + pairKnots - len(s.filter.mean); missing > 0 {
		s.filter.grow(missing, &m.pair)
	}
	return start
}

// pairEffect returns the effect of a task of weight 1.
func (m *Model) pairEffect(s *service, job int, position knotPosition) float64 {
	return s.filter.curveValue(m.pairOffset(s, job), position)
}

func (m *Model) pairPosition(load float64) knotPosition {
	if m.rules.NoLoad {
		load = 0
	}
	return locateKnots(load, pairKnots)
}

// SetWorker adds a worker or changes its services.
func (m *Model) SetWorker(now time.Duration, id string, services []string) *Worker {
	w := m.workers[id]
	if w == nil {
		w = &Worker{}
		w.history.record(now, nil)
		m.workers[id] = w
	}
	old := w.services
	w.services = nil
	for _, name := range services {
		state := serviceState{service: m.serviceIndex(name), load: assumedLoad}
		for _, o := range old {
			if o.service == state.service {
				state = o
			}
		}
		w.services = append(w.services, state)
	}
	return w
}

// assumedLoad is the load of a service or group without measurements.
const assumedLoad = 0.5

// RemoveWorker removes a worker. What the model learned from it is kept.
func (m *Model) RemoveWorker(id string) { delete(m.workers, id) }

// AddWeight adds delta to the weight of the tasks of a job on a worker.
func (m *Model) AddWeight(now time.Duration, id, job string, delta float64) {
	w := m.workers[id]
	if w == nil {
		return
	}
	w.weights = addWeight(w.weights, m.jobIndex(job), delta)
	w.history.record(now, w.weights)
}

// Observe updates the model from a sample. It drops samples with fewer than minRequests
// requests and those that are older than the history.
func (m *Model) Observe(now time.Duration, id string, sample Sample) {
	w := m.workers[id]
	if w == nil || sample.Count < minRequests || sample.P99 <= 0 {
		return
	}
	at := sample.MeasuredAt
	if m.rules.NoHistory {
		at = now - halfReportInterval
	}
	weights, covered := w.history.meanAround(at, m.scratch)
	m.scratch = weights
	if !covered {
		m.StaleSamples++
		return
	}
	service := m.serviceIndex(sample.Service)
	logP99 := math.Log(sample.P99.Seconds())
	innovation := m.update(now, m.services[service], &sample, weights, logP99)
	w.updateService(service, &sample, innovation)
}

// update updates the parameters of a service and returns the innovation.
func (m *Model) update(now time.Duration, s *service, sample *Sample, weights []jobWeight, logP99 float64) float64 {
	f := &s.filter
	pair := m.pairPosition(sample.Load)
	var terms []term
	for _, w := range weights {
		terms = pair.appendTerms(terms, m.pairOffset(s, w.job), w.weight)
	}
	if !s.measured {
		s.measured = true
		level := logP99 - f.predict(terms)
		for i := range baselineKnots {
			f.mean[i] = level
		}
	}
	if dt := now - f.updatedAt; dt > 0 {
		f.updatedAt = now
		f.advance(dt, 0, baselineKnots, &m.baseline)
		f.advance(dt, baselineKnots, len(f.mean), &m.pair)
	}
	terms = locateKnots(sample.Load, baselineKnots).appendTerms(terms, 0, 1)
	innovation := f.correct(terms, logP99-f.predict(terms), noiseVarianceFloor+noiseVariancePerRequest/float64(sample.Count))
	for i := baselineKnots; i < len(f.mean); i++ {
		f.mean[i] = max(f.mean[i], 0)
	}
	return innovation
}

// clampAbs limits the absolute value of v.
func clampAbs(v, limit float64) float64 { return min(max(v, -limit), limit) }

// Exponential smoothing of the residual of a service on a worker: the weight of the newest
// innovation, and the bound of the absolute value.
const (
	residualGain = 0.25
	maxResidual  = 0.4
)

// updateService updates the residual of the service on the worker, and its load unless the
// sample is older than the newest one.
func (w *Worker) updateService(service int, sample *Sample, innovation float64) {
	for i := range w.services {
		state := &w.services[i]
		if state.service != service {
			continue
		}
		state.residual = clampAbs(state.residual+residualGain*(innovation-state.residual), maxResidual)
		if state.measured && sample.MeasuredAt < state.measuredAt {
			return
		}
		state.measuredAt, state.load, state.measured = sample.MeasuredAt, sample.Load, true
	}
}
