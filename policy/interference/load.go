package interference

import (
	"math"
	"time"
)

const (
	// loadNoiseStdDev is the standard deviation of a load derived from one tail latency.
	loadNoiseStdDev = 0.03
	// trendVariancePerSecond is the variance that the trend gains in a second.
	trendVariancePerSecond = 0.002
	// loadAngularFrequency is the angular frequency of load swings around the mean, in
	// radians per second, for a period of about 12 s. Without it, a rising load would be
	// predicted to rise beyond its peak.
	loadAngularFrequency = 2 * math.Pi / 12
	// meanTimeConstant is the time in which the mean follows the level by 63%.
	meanTimeConstant = 15 * time.Second
	// maxLoadPrediction bounds the time over which a load is predicted.
	maxLoadPrediction = 3 * time.Second
	// maxUpwardDeviations is the number of standard deviations to which upward innovations
	// are clamped. It is below maxDeviations, because fillers with unknown effects only
	// ever make a load seem higher.
	maxUpwardDeviations = 1
	minLoad             = 0.05
	maxLoad             = 0.9
)

// loadFilter is a Kalman filter for the load of a group of serving tasks and its trend.
// The load is modelled as a stochastic cycle around a slowly changing mean.
type loadFilter struct {
	mean  float64
	level float64
	// trend is the change of level per second.
	trend float64
	// levelVariance, covariance and trendVariance form the covariance matrix of level and
	// trend.
	levelVariance, covariance, trendVariance float64
	updatedAt                                time.Duration
}

func newLoadFilter(now time.Duration) *loadFilter {
	return &loadFilter{mean: assumedLoad, level: assumedLoad, levelVariance: 0.25 * 0.25, trendVariance: 0.1 * 0.1, updatedAt: now}
}

// propagate returns the level and the trend after dt seconds.
func (l *loadFilter) propagate(dt float64) (level, trend float64) {
	sin, cos := math.Sincos(loadAngularFrequency * dt)
	deviation := l.level - l.mean
	return l.mean + deviation*cos + l.trend*sin/loadAngularFrequency, l.trend*cos - deviation*loadAngularFrequency*sin
}

// advance applies the time update until now, over at most maxLoadPrediction.
func (l *loadFilter) advance(now time.Duration) {
	dt := min(now-l.updatedAt, maxLoadPrediction).Seconds()
	if dt <= 0 {
		return
	}
	l.updatedAt = now
	l.mean += (l.level - l.mean) * -math.Expm1(-dt/meanTimeConstant.Seconds())
	l.level, l.trend = l.propagate(dt)
	sin, cos := math.Sincos(loadAngularFrequency * dt)
	a, b, c := l.levelVariance, l.covariance, l.trendVariance
	sinOverFrequency := sin / loadAngularFrequency
	l.levelVariance = cos*cos*a + 2*cos*sinOverFrequency*b + sinOverFrequency*sinOverFrequency*c + trendVariancePerSecond*dt*dt*dt/3
	l.covariance = -cos*loadAngularFrequency*sin*a + (cos*cos-sin*sin)*b + sinOverFrequency*cos*c + trendVariancePerSecond*dt*dt/2
	l.trendVariance = loadAngularFrequency*loadAngularFrequency*sin*sin*a - 2*loadAngularFrequency*sin*cos*b + cos*cos*c + trendVariancePerSecond*dt
}

// correct updates level and trend from an observed load.
func (l *loadFilter) correct(observed, noiseVariance float64) {
	innovationVariance := l.levelVariance + noiseVariance
	stdDev := math.Sqrt(innovationVariance)
	innovation := min(max(observed-l.level, -maxDeviations*stdDev), maxUpwardDeviations*stdDev)
	gain, trendGain := l.levelVariance/innovationVariance, l.covariance/innovationVariance
	l.level = min(max(l.level+gain*innovation, minLoad), maxLoad)
	l.trend += trendGain * innovation
	l.trendVariance = max(l.trendVariance-trendGain*l.covariance, minVariance)
	l.covariance -= gain * l.covariance
	l.levelVariance = max(l.levelVariance-gain*l.levelVariance, minVariance)
}

// variance returns the variance of the level.
func (l *loadFilter) variance() float64 { return l.levelVariance }

// predictAt predicts the load at a time, at most maxLoadPrediction ahead.
func (l *loadFilter) predictAt(now time.Duration) float64 {
	ahead := min(max(now-l.updatedAt, 0), maxLoadPrediction)
	level, _ := l.propagate(ahead.Seconds())
	return min(max(level, minLoad), maxLoad)
}
