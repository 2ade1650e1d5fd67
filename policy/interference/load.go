package interference

import (
	"math"
	"time"
)

const (
	// loadNoiseStdDev is the deviation of the load that one tail shows.
	loadNoiseStdDev = 0.03
	// trendVariancePerSecond is the variance that the trend of a load gains in a second.
	trendVariancePerSecond = 0.002
	// loadAngularFrequency is that of the swings of a load round its mean, in radians a second:
	// one takes some twelve seconds. Without it a rising load would be predicted to rise
	// beyond its peak.
	loadAngularFrequency = 2 * math.Pi / 12
	// meanTimeConstant is the time in which the mean of a load follows it by 63%.
	meanTimeConstant = 15 * time.Second
	// maxLoadPrediction bounds the time for which a load is predicted.
	maxLoadPrediction = 3 * time.Second
	// maxUpwardDeviations cuts errors upwards, in standard deviations: fillers whose effects
	// are not known yet only ever make a load seem higher.
	maxUpwardDeviations = 1
	minLoad             = 0.05
	maxLoad             = 0.9
)

// loadFilter is a Kalman filter over the loadFilter of a group of serving tasks and its trend. The
// loadFilter is taken for a stochastic cycle: it swings round a mean that changes slowly.
type loadFilter struct {
	mean  float64
	level float64
	// trend is the change in a second.
	trend float64
	// levelVariance, covariance and trendVariance are those of level and trend.
	levelVariance, covariance, trendVariance float64
	updatedAt                                time.Duration
}

func newLoadFilter(now time.Duration) *loadFilter {
	return &loadFilter{mean: assumedLoad, level: assumedLoad, levelVariance: 0.25 * 0.25, trendVariance: 0.1 * 0.1, updatedAt: now}
}

// propagate returns the level and the trend after a time.
func (l *loadFilter) propagate(dt float64) (level, trend float64) {
	sin, cos := math.Sincos(loadAngularFrequency * dt)
	deviation := l.level - l.mean
	return l.mean + deviation*cos + l.trend*sin/loadAngularFrequency, l.trend*cos - deviation*loadAngularFrequency*sin
}

// advance lets the time pass until now.
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

// correct learns from a measured load with a noise, a variance.
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

// variance is that of the level.
func (l *loadFilter) variance() float64 { return l.levelVariance }

// predictAt predicts the load predictAt a time.
func (l *loadFilter) predictAt(now time.Duration) float64 {
	ahead := min(max(now-l.updatedAt, 0), maxLoadPrediction)
	level, _ := l.propagate(ahead.Seconds())
	return min(max(level, minLoad), maxLoad)
}
