package interference

import (
	"math"
	"time"
)

const (
	// baseLatencyShare of the least tail that was seen of an image is taken for its latency
	// without any load, since even the least load makes a tail longer.
	baseLatencyShare = 0.85
	// assumedBaseLatencyShare of a bound on the tail is taken for the latency without load of
	// an image of which no tail was seen.
	assumedBaseLatencyShare = 0.25
	// slowdownNoiseStdDev is the deviation of a slowdown that one tail shows, tailRounding
	// that of a tail from its rounding, in milliseconds.
	slowdownNoiseStdDev  = 0.06
	tailRoundingStdDevMS = 0.3
	// maxSlowdown bounds the slowdown that one tail shows.
	maxSlowdown = 6
)

// slowdownPrior is what is supposed of a pair of images: the slowdown by one core.
// Few pairs disturb, and how much they do changes within seconds.
var slowdownPrior = prior{mean: 0.015, variance: 0.05 * 0.05, driftPerSecond: 5e-5, reversionTime: 10 * time.Minute}

// initialEffectVariance is the variance of an effect that an earlier model has
// learned.
const initialEffectVariance = 0.02 * 0.02

// Contention learns how much fillers slow serving tasks beside them from the tail
// latencies that these report; their load is not measured. A serving task is taken
// for a queue with one server (M/M/1): with the latency b without load, the load l
// and the slowdown s of its work the tail is b·s/(1 − l·s). The slowdown is 1 plus the
// sum of the effects of the fillers, each times the cores that it uses. Serving tasks
// of one group have the same users and so the same load.
//
// A model that takes the slowdown of the tail itself for a constant of the pair fails
// here: the same filler is hardly seen at a low load and multiplies the tail near
// saturation.
type Contention struct {
	fillerIndexes map[string]int
	images        map[string]*servingImage
	groups        map[string]*loadFilter
	terms         []term
}

// servingImage is what is known of one serving image.
type servingImage struct {
	// minTailMS is the minTailMS tail that was seen, in milliseconds, 0 for none.
	minTailMS float64
	// filter holds the effects of the fillers in order of their numbers.
	filter kalmanFilter
}

// Use is the processor time that fillers of one image use, in cores.
type Use struct {
	Filler string
	Cores  float64
}

// Reading is the tail latency of one serving task and what the fillers beside it used
// while it was measured. No filler may have ended or been paused in that time.
type Reading struct {
	Image string
	Group string
	// Tail is in milliseconds.
	Tail     float64
	Beside   []Use
	Measured time.Duration
}

// NewContention returns a model that knows only its priors.
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

// fillerIndex returns the number of a fillerIndex image. Those beyond maxJobs share the last.
func (c *Contention) fillerIndex(name string) int {
	index, known := c.fillerIndexes[name]
	if !known {
		index = min(len(c.fillerIndexes), maxJobs-1)
		c.fillerIndexes[name] = index
	}
	return index
}

// ensureEffect makes the parameters of an image up to that of a filler.
func (i *servingImage) ensureEffect(index int) {
	if missing := index + 1 - len(i.filter.mean); missing > 0 {
		i.filter.grow(missing, &slowdownPrior)
	}
}

// baseLatencyMS is the latency of an image without load, in milliseconds, 0 if unknown.
func (i *servingImage) baseLatencyMS() float64 { return baseLatencyShare * i.minTailMS }

// Observe learns from a reading.
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

// predict returns the slowdown beside fillers and its variance, and leaves the terms
// of the fillers in c.terms.
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

// learnEffects corrects the effects of the fillers in c.terms by the slowdown that a
// tail shows at the load of the group.
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

// slowdownAt is the slowdown with which a load makes a tail.
func slowdownAt(baseMS, load, tailMS float64) float64 {
	return min(max(tailMS/(baseMS+load*tailMS), 1), maxSlowdown)
}

// Effect is the slowdown of a serving image by one core of a filler image.
func (c *Contention) Effect(image, filler string) float64 {
	i := c.image(image)
	index := c.fillerIndex(filler)
	i.ensureEffect(index)
	return i.filter.mean[index]
}

// Suppose starts the effect of a pair from what an earlier model has learned.
func (c *Contention) Suppose(image, filler string, effect float64) {
	i := c.image(image)
	index := c.fillerIndex(filler)
	i.ensureEffect(index)
	i.filter.mean[index] = effect
	i.filter.covariance[index][index] = initialEffectVariance
}

// Load is the load of a group at a time, or assumedLoad if nothing is known of it.
func (c *Contention) Load(group string, when time.Duration) float64 {
	filter := c.groups[group]
	if filter == nil {
		return assumedLoad
	}
	return filter.predictAt(when)
}

// Slowdown is the slowdown that a tail in milliseconds shows at a load, 1 while
// nothing is known of the image.
func (c *Contention) Slowdown(image string, load, tailMS float64) float64 {
	i := c.image(image)
	if i.minTailMS == 0 || tailMS <= 0 {
		return 1
	}
	return slowdownAt(i.baseLatencyMS(), load, tailMS)
}

// Bearable is the slowdown with which the tail of an image reaches a bound in
// milliseconds at a load. It is below 1 if the load alone exceeds the bound.
func (c *Contention) Bearable(image string, load, boundMS float64) float64 {
	base := c.image(image).baseLatencyMS()
	if base == 0 {
		base = assumedBaseLatencyShare * boundMS
	}
	return boundMS / (base + load*boundMS)
}

// Keep forgets the groups that are not listed.
func (c *Contention) Keep(groups map[string]bool) {
	for name := range c.groups {
		if !groups[name] {
			delete(c.groups, name)
		}
	}
}
