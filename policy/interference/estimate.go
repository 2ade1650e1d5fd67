package interference

import (
	"math"
	"time"
)

// filter is a Kalman filter over all parameters of one service. The covariance
// lets it tell the latency without neighbours from the effect of neighbours that
// are nearly always there, and the effects of jobs that run together. While data
// is thin the parameters stay near their priors; their variances grow with time,
// so that newer measurements outweigh older ones.
type filter struct {
	mean       []float64
	covariance [][]float64
	at         time.Duration
}

// prior describes what a parameter returns to.
type prior struct {
	mean, variance float64
	// drift is the variance gained each second.
	drift float64
	// fade is the time in which the mean returns to the prior by 63%; 0 is never.
	fade time.Duration
}

// grow appends n parameters.
func (f *filter) grow(n int, p *prior) {
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
func (f *filter) advance(dt time.Duration, first, last int, p *prior) {
	faded := 0.0
	if p.fade > 0 {
		faded = -math.Expm1(-dt.Seconds() / p.fade.Seconds())
	}
	for i := first; i < last; i++ {
		variance := &f.covariance[i][i]
		*variance = max(*variance, min(p.variance, *variance+p.drift*dt.Seconds()))
		f.mean[i] += (p.mean - f.mean[i]) * faded
	}
}

// term is one parameter with its factor in a measurement.
type term struct {
	index  int
	factor float64
}

// predict is the expected value of a measurement.
func (f *filter) predict(terms []term) float64 {
	sum := 0.0
	for _, t := range terms {
		sum += t.factor * f.mean[t.index]
	}
	return sum
}

// correct learns from a measurement with the given error of its prediction and
// noise. Larger errors are cut to a number of standard deviations. It returns the
// error after the cut.
func (f *filter) correct(terms []term, err, noise float64) float64 {
	gain := make([]float64, len(f.mean))
	for _, t := range terms {
		row := f.covariance[t.index]
		for i := range gain {
			gain[i] += row[i] * t.factor
		}
	}
	total := noise
	for _, t := range terms {
		total += t.factor * gain[t.index]
	}
	err = cut(err, outlier*math.Sqrt(total))
	for i, g := range gain {
		if g == 0 {
			continue
		}
		f.mean[i] += g * err / total
		row := f.covariance[i]
		for j := range row {
			row[j] -= g * gain[j] / total
		}
		row[i] = max(row[i], leastVariance)
	}
	return err
}

// leastVariance absorbs rounding.
const leastVariance = 1e-7

// Knots of the load, 0 to 1, between which parameters are interpolated. Latency
// without neighbours bends most near saturation, so it has more knots.
const (
	baseKnots = 9
	pairKnots = 3
)

// span is a position between two knots.
type span struct {
	low   int
	upper float64
}

func spanOf(load float64, knots int) span {
	position := min(max(load, 0), 1) * float64(knots-1)
	low := min(int(position), knots-2)
	return span{low: low, upper: position - float64(low)}
}

// terms appends the two knots of a curve that starts at a parameter.
func (s span) terms(list []term, start int, factor float64) []term {
	return append(list,
		term{index: start + s.low, factor: factor * (1 - s.upper)},
		term{index: start + s.low + 1, factor: factor * s.upper})
}

// valueAt is the value of a curve that starts at a parameter.
func (f *filter) valueAt(start int, s span) float64 {
	return f.mean[start+s.low]*(1-s.upper) + f.mean[start+s.low+1]*s.upper
}
