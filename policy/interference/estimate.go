package interference

import (
	"math"
	"time"
)

// kalmanFilter is a Kalman kalmanFilter over all parameters of one service. The covariance
// lets it tell the latency without neighbours from the effect of neighbours that
// are nearly always there, and the effects of jobs that run together. While data
// is thin the parameters stay near their priors; their variances grow with time,
// so that newer measurements outweigh older ones.
type kalmanFilter struct {
	mean       []float64
	covariance [][]float64
	updatedAt  time.Duration
}

// prior describes what a parameter returns to.
type prior struct {
	mean, variance float64
	// driftPerSecond is the variance gained each second.
	driftPerSecond float64
	// reversionTime is the time in which the mean returns to the prior by 63%; 0 is never.
	reversionTime time.Duration
}

// grow appends n parameters.
func (f *kalmanFilter) grow(n int, p *prior) {
	size := len(f.mean) + n
	for i := range f.covariance {
		f.covariance[i] = append(f.covariance[i], make([]float64, n)...)
	}
	for i := len(f.mean); i < size; i++ {
		row := make([]float64, size)
		row[i] = p.variance
		f.covariance = append(f.covariance, row)
		f.mean = append(f.mean, p.mean)
	}
}

// advance lets dt pass for the parameters from first to before last.
func (f *kalmanFilter) advance(dt time.Duration, first, last int, p *prior) {
	reverted := 0.0
	if p.reversionTime > 0 {
		reverted = -math.Expm1(-dt.Seconds() / p.reversionTime.Seconds())
	}
	for i := first; i < last; i++ {
		variance := &f.covariance[i][i]
		*variance = max(*variance, min(p.variance, *variance+p.driftPerSecond*dt.Seconds()))
		f.mean[i] += (p.mean - f.mean[i]) * reverted
	}
}

// term is one parameter with its factor in a measurement.
type term struct {
	index       int
	coefficient float64
}

// predict is the expected value of a measurement.
func (f *kalmanFilter) predict(terms []term) float64 {
	sum := 0.0
	for _, t := range terms {
		sum += t.coefficient * f.mean[t.index]
	}
	return sum
}

// correct learns from a measurement with the given error of its prediction and
// noise. Larger errors are cut to a number of standard deviations. It returns the
// error after the cut.
func (f *kalmanFilter) correct(terms []term, innovation, noiseVariance float64) float64 {
	crossCovariance := make([]float64, len(f.mean))
	for _, t := range terms {
		row := f.covariance[t.index]
		for i := range crossCovariance {
			crossCovariance[i] += row[i] * t.coefficient
		}
	}
	innovationVariance := noiseVariance
	for _, t := range terms {
		innovationVariance += t.coefficient * crossCovariance[t.index]
	}
	innovation = clampAbs(innovation, maxDeviations*math.Sqrt(innovationVariance))
	for i, c := range crossCovariance {
		if c == 0 {
			continue
		}
		f.mean[i] += c * innovation / innovationVariance
		row := f.covariance[i]
		for j := range row {
			row[j] -= c * crossCovariance[j] / innovationVariance
		}
		row[i] = max(row[i], minVariance)
	}
	return innovation
}

// minVariance absorbs rounding.
const minVariance = 1e-7

// Knots of the load, 0 to 1, between which parameters are interpolated. Latency
// without neighbours bends most near saturation, so it has more knots.
const (
	baselineKnots = 9
	pairKnots     = 3
)

// knotPosition is a position between two knots.
type knotPosition struct {
	lower       int
	upperWeight float64
}

func locateKnots(load float64, knots int) knotPosition {
	position := min(max(load, 0), 1) * float64(knots-1)
	lower := min(int(position), knots-2)
	return knotPosition{lower: lower, upperWeight: position - float64(lower)}
}

// appendTerms appends the two knots of a curve that starts at a parameter.
func (p knotPosition) appendTerms(list []term, start int, coefficient float64) []term {
	return append(list,
		term{index: start + p.lower, coefficient: coefficient * (1 - p.upperWeight)},
		term{index: start + p.lower + 1, coefficient: coefficient * p.upperWeight})
}

// curveValue is the value of a curve that starts at a parameter.
func (f *kalmanFilter) curveValue(start int, p knotPosition) float64 {
	return f.mean[start+p.lower]*(1-p.upperWeight) + f.mean[start+p.lower+1]*p.upperWeight
}
