package interference

import (
	"math"
	"time"
)

// estimate is a scalar Kalman filter: a mean with its variance. While data is
// thin it stays near its prior, and its variance grows with time, so that newer
// measurements outweigh older ones.
type estimate struct {
	mean, variance float64
	at             time.Duration
}

// prior describes what an estimate returns to.
type prior struct {
	mean, variance float64
	// drift is the variance gained each second.
	drift float64
	// fade is the time in which the mean returns to the prior by 63%; 0 is never.
	fade time.Duration
}

// advance lets time pass.
func (e *estimate) advance(now time.Duration, p *prior) {
	if now <= e.at {
		return
	}
	dt := now - e.at
	e.at = now
	e.variance = min(p.variance, e.variance+p.drift*dt.Seconds())
	if p.fade > 0 {
		e.mean += (p.mean - e.mean) * -math.Expm1(-dt.Seconds()/p.fade.Seconds())
	}
}

// Knots of the load, 0 to 1, between which estimates are interpolated. Latency
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

// curve is a function of the load, one estimate for each knot.
type curve []estimate

func newCurve(knots int, p *prior) curve {
	c := make(curve, knots)
	for i := range c {
		c[i] = estimate{mean: p.mean, variance: p.variance}
	}
	return c
}

func (c curve) at(s span) float64 {
	return c[s.low].mean*(1-s.upper) + c[s.low+1].mean*s.upper
}

// spread is the variance of the value at s when multiplied by x.
func (c curve) spread(s span, x float64) float64 {
	a, b := x*(1-s.upper), x*s.upper
	return a*a*c[s.low].variance + b*b*c[s.low+1].variance
}

func (c curve) advance(s span, now time.Duration, p *prior) {
	c[s.low].advance(now, p)
	c[s.low+1].advance(now, p)
}

// correct moves the two knots of s by their share of the error; total is the
// variance of the whole prediction and x the weight of the curve in it.
func (c curve) correct(s span, x, err, total, least float64) {
	c[s.low].correct(x*(1-s.upper), err, total, least)
	c[s.low+1].correct(x*s.upper, err, total, least)
}

func (e *estimate) correct(x, err, total, least float64) {
	gain := e.variance * x / total
	e.mean = max(least, e.mean+gain*err)
	e.variance *= 1 - gain*x
}
