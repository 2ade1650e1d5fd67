package interference

import (
	"math"
	"time"
)

// kalmanFilter estimates all parameters of one service or serving image. The covariance
// separates the latency without neighbours from the effect of neighbours that are nearly
// always present, and the effects of jobs that run together. With few measurements the
// parameters stay near their priors. Their variances grow with time, so that newer
// measurements outweigh older ones.
type kalmanFilter struct {
	mean       []float64
	covariance [][]float64
	updatedAt  time.Duration
}

// prior is the distribution of a parameter without measurements, to which it reverts.
type prior struct {
	mean, variance float64
	// driftPerSecond is the variance that the parameter gains in a second.
	driftPerSecond float64
	// reversionTime is the time in which the mean reverts to that of the prior by 63%. 0
	// means never.
	reversionTime time.Duration
}

// grow appends n parameters with the prior.
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

// advance applies drift and reversion over dt to the parameters from first up to, but not
// including, last.
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

// term is a parameter and its coefficient in a measurement, which is a sum of terms.
type term struct {
	index       int
	coefficient float64
}

// predict returns the expected value of a measurement.
func (f *kalmanFilter) predict(terms []term) float64 {
	sum := 0.0
	for _, t := range terms {
		sum += t.coefficient * f.mean[t.index]
	}
	return sum
}

// correct updates the parameters from a measurement. The innovation is the measured minus
// the predicted value. It is clamped to maxDeviations standard deviations, and the
// clamped value is returned.
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

// minVariance keeps variances positive in spite of rounding errors.
const minVariance = 1e-7

// Numbers of knots, evenly spaced over loads from 0 to 1, between which a curve is
// interpolated. The latency without neighbours is strongly curved near saturation, so it
// has more knots.
const (
	baselineKnots = 9
	pairKnots     = 3
)

// knotPosition is a position between the knot lower and the next one, which has the
// interpolation weight upperWeight.
type knotPosition struct {
	lower       int
	upperWeight float64
}

func locateKnots(load float64, knots int) knotPosition {
	position := min(max(load, 0), 1) * float64(knots-1)
	lower := min(int(position), knots-2)
	return knotPosition{lower: lower, upperWeight: position - float64(lower)}
}

// appendTerms appends the terms of the two knots. The curve begins at parameter start.
func (p knotPosition) appendTerms(list []term, start int, coefficient float64) []term {
	return append(list,
		term{index: start + p.lower, coefficient: coefficient * (1 - p.upperWeight)},
		term{index: start + p.lower + 1, coefficient: coefficient * p.upperWeight})
}

// curveValue returns the value of the curve that begins at parameter start.
func (f *kalmanFilter) curveValue(start int, p knotPosition) float64 {
	return f.mean[start+p.lower]*(1-p.upperWeight) + f.mean[start+p.lower+1]*p.upperWeight
}
