package interference

import (
	"math"
	"time"
)

const (
	// baseLatencyShare is the assumed ratio of the latency of an image without load to its
	// lowest tail latency so far, since even a low load makes the tail longer.
	baseLatencyShare = 0.85
	// assumedBaseLatencyShare is the assumed ratio of the latency without load to the bound
	// on the tail latency, for an image without readings.
	assumedBaseLatencyShare = 0.25
	// slowdownNoiseStdDev is the standard deviation of a slowdown derived from one tail
	// latency. tailRoundingStdDevMS is that of a tail latency because of rounding, in
	// milliseconds.
	slowdownNoiseStdDev  = 0.06
	tailRoundingStdDevMS = 0.3
	// maxSlowdown bounds the slowdown derived from one tail latency.
	maxSlowdown = 6
)

// slowdownPrior is the prior for the slowdown of a serving image by one core of a filler
// image. Few pairs interfere, and how much they do changes within seconds.
var slowdownPrior = prior{mean: 0.015, variance: 0.05 * 0.05, driftPerSecond: 5e-5, reversionTime: 10 * time.Minute}

// initialEffectVariance is the variance of an effect taken over from an earlier model.
const initialEffectVariance = 0.02 * 0.02

// Contention learns how much fillers, tasks that use only spare processor time, slow the
// serving tasks on the same worker. It learns from the reported tail latencies of the
// serving tasks, since their load is not measured. A serving task is modelled as an M/M/1 queue: with latency b without load, load l and slowdown s,
// the tail latency is b·s/(1 − l·s). The slowdown is 1 plus the sum of the effects of the
// fillers, each multiplied by the cores that it uses. Serving tasks of one group have the
// same users and therefore the same load.
//
// A constant slowdown of the tail latency for each pair does not fit: the same filler has
// almost no effect on the tail at a low load and multiplies it near saturation.
type Contention struct {
	fillerIndexes map[string]int
	images        map[string]*servingImage
	groups        map[string]*loadFilter
	// terms are those of the fillers in the current reading.
	terms []term
}

// servingImage holds the estimates for one serving image.
type servingImage struct {
	// minTailMS is the lowest tail latency so far in milliseconds, 0 without readings.
	minTailMS float64
	// filter estimates the effects of the fillers, in the order of fillerIndexes.
	filter kalmanFilter
}

// Use is the processor usage of fillers of one image, in cores.
type Use struct {
	Filler string
	Cores  float64
}

// Reading is the tail latency of one serving task and the processor usage of the fillers
// on its worker during the measurement. No filler may have ended or been paused in that
// time.
type Reading struct {
	Image string
	Group string
	// Tail is the tail latency in milliseconds.
	Tail     float64
	Beside   []Use
	Measured time.Duration
}

// NewContention returns a model without readings.
func NewContention() *Contention {
	return &Contention{fillerIndexes: map[string]int{}, images: map[string]*servingImage{}, groups: map[string]*loadFilter{}}
}

func (c *Contention) image(name string) *servingImage {
	i := c.images[name]
	if i == nil {
		i = &servingImage{}
		c.images[name] = i
	}
	return i
}

// fillerIndex returns the parameter index of a filler image. Images beyond maxJobs share
// the last index.
func (c *Contention) fillerIndex(name string) int {
	index, known := c.fillerIndexes[name]
	if !known {
		index = min(len(c.fillerIndexes), maxJobs-1)
		c.fillerIndexes[name] = index
	}
	return index
}

// ensureEffect adds parameters up to the one with the given index.
func (i *servingImage) ensureEffect(index int) {
	if missing := index + 1 - len(i.filter.mean); missing > 0 {
		i.filter.grow(missing, &slowdownPrior)
	}
}

// baseLatencyMS returns the estimated latency without load in milliseconds, 0 if unknown.
func (i *servingImage) baseLatencyMS() float64 { return baseLatencyShare * i.minTailMS }

// Observe updates the effects of the fillers and the load of the group from a reading.
func (c *Contention) Observe(r Reading) {
	if r.Tail <= 0 {
		return
	}
	i := c.image(r.Image)
	if i.minTailMS == 0 || r.Tail < i.minTailMS {
		i.minTailMS = r.Tail
	}
	slowdown, variance := c.predict(i, r.Beside)
	group := c.groups[r.Group]
	if group == nil {
		group = newLoadFilter(r.Measured)
		c.groups[r.Group] = group
	}
	group.advance(r.Measured)
	if len(c.terms) > 0 {
		c.learnEffects(i, group, r)
	}
	roundingStdDev := tailRoundingStdDevMS * i.baseLatencyMS() / (r.Tail * r.Tail)
	inverse := 1 / slowdown
	group.correct(inverse-i.baseLatencyMS()/r.Tail, roundingStdDev*roundingStdDev+variance*math.Pow(inverse, 4)+loadNoiseStdDev*loadNoiseStdDev)
}

// predict returns the expected slowdown by the fillers and its variance, and sets c.terms
// to their terms.
func (c *Contention) predict(i *servingImage, beside []Use) (slowdown, variance float64) {
	slowdown = 1
	c.terms = c.terms[:0]
	for _, u := range beside {
		index := c.fillerIndex(u.Filler)
		i.ensureEffect(index)
		c.terms = append(c.terms, term{index: index, coefficient: u.Cores})
		slowdown += u.Cores * i.filter.mean[index]
		variance += u.Cores * u.Cores * i.filter.covariance[index][index]
	}
	return slowdown, variance
}

// learnEffects updates the effects of the fillers in c.terms from the slowdown that
// explains the tail latency at the load of the group.
func (c *Contention) learnEffects(i *servingImage, group *loadFilter, r Reading) {
	f := &i.filter
	if dt := r.Measured - f.updatedAt; dt > 0 {
		f.updatedAt = r.Measured
		f.advance(dt, 0, len(f.mean), &slowdownPrior)
	}
	load := group.predictAt(r.Measured)
	observed := slowdownAt(i.baseLatencyMS(), load, r.Tail)
	roundingStdDev := i.baseLatencyMS() / ((i.baseLatencyMS() + load*r.Tail) * (i.baseLatencyMS() + load*r.Tail)) * tailRoundingStdDevMS
	noiseVariance := slowdownNoiseStdDev*slowdownNoiseStdDev + roundingStdDev*roundingStdDev + math.Pow(observed, 4)*group.variance()
	f.correct(c.terms, observed-1-f.predict(c.terms), noiseVariance)
	for _, t := range c.terms {
		f.mean[t.index] = max(f.mean[t.index], 0)
	}
}

// slowdownAt returns the slowdown that explains a tail latency at a load, from 1 to
// maxSlowdown.
func slowdownAt(baseMS, load, tailMS float64) float64 {
	return min(max(tailMS/(baseMS+load*tailMS), 1), maxSlowdown)
}

// Effect returns the slowdown of a serving image by one core of a filler image.
func (c *Contention) Effect(image, filler string) float64 {
	i := c.image(image)
	index := c.fillerIndex(filler)
	i.ensureEffect(index)
	return i.filter.mean[index]
}

// Suppose sets the effect of a pair to the value that an earlier model has learned.
func (c *Contention) Suppose(image, filler string, effect float64) {
	i := c.image(image)
	index := c.fillerIndex(filler)
	i.ensureEffect(index)
	i.filter.mean[index] = effect
	i.filter.covariance[index][index] = initialEffectVariance
}

// Load returns the predicted load of a group at a time, or assumedLoad without readings of
// the group.
func (c *Contention) Load(group string, when time.Duration) float64 {
	filter := c.groups[group]
	if filter == nil {
		return assumedLoad
	}
	return filter.predictAt(when)
}

// Slowdown returns the slowdown that explains a tail latency in milliseconds at a load, or
// 1 without readings of the image.
func (c *Contention) Slowdown(image string, load, tailMS float64) float64 {
	i := c.image(image)
	if i.minTailMS == 0 || tailMS <= 0 {
		return 1
	}
	return slowdownAt(i.baseLatencyMS(), load, tailMS)
}

// Bearable returns the slowdown at which the tail latency of an image reaches a bound in
// milliseconds at a load. It is below 1 if the tail exceeds the bound without fillers.
func (c *Contention) Bearable(image string, load, boundMS float64) float64 {
	base := c.image(image).baseLatencyMS()
	if base == 0 {
		base = assumedBaseLatencyShare * boundMS
	}
	return boundMS / (base + load*boundMS)
}

// Keep removes the loads of all groups that are not listed.
func (c *Contention) Keep(groups map[string]bool) {
	for name := range c.groups {
		if !groups[name] {
			delete(c.groups, name)
		}
	}
}
