package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"geraniumwall/jobs"
)

const (
	// effectRecordInterval is the time between two checks whether the learned effects have
	// to be recorded in the log.
	effectRecordInterval = 2 * time.Second
	// minEffectChange is the change of an effect above which the effects are recorded.
	minEffectChange = 0.02
	// maxRecordedEffects bounds the effects in one log command; the largest are kept.
	maxRecordedEffects = 1024
)

// loadEffects initializes the model with the effects that an earlier leader recorded.
func (d *Dispatcher) loadEffects(effects []jobs.Effect) {
	d.recordedEffects = map[imagePair]float64{}
	for _, e := range effects {
		d.model.Suppose(e.Serving, e.Filler, e.Slowdown)
		d.fillerImages[e.Filler] = true
		d.recordedEffects[imagePair{e.Serving, e.Filler}] = e.Slowdown
	}
}

// recordEffects proposes the learned effects for the log if one has changed.
func (d *Dispatcher) recordEffects() {
	if d.now-d.effectsCheckedAt < effectRecordInterval {
		return
	}
	d.effectsCheckedAt = d.now
	images, servingJobs := d.serving()
	d.model.Keep(servingJobs)
	learned := map[imagePair]float64{}
	for image := range images {
		d.collectEffects(image, learned)
	}
	changed := false
	for pair, value := range learned {
		changed = changed || math.Abs(value-d.recordedEffects[pair]) > minEffectChange
	}
	if !changed {
		return
	}
	for pair, value := range d.recordedEffects {
		if _, current := learned[pair]; !current {
			learned[pair] = value
		}
	}
	d.recordedEffects = learned
	command := jobs.Command{RecordEffects: &jobs.RecordEffects{Effects: sortedEffects(learned)}}
	d.propose(command, func(jobs.Result, bool) {})
}

// serving returns the images and the jobs of the serving tasks.
func (d *Dispatcher) serving() (images, servingJobs map[string]bool) {
	images, servingJobs = map[string]bool{}, map[string]bool{}
	for _, w := range d.workers {
		for _, a := range w.attempts {
			if a.isServing() {
				images[a.step.Image] = true
				servingJobs[a.task.Job] = true
			}
		}
	}
	return images, servingJobs
}

// collectEffects adds the effects of all known fillers on a serving image.
func (d *Dispatcher) collectEffects(serving string, into map[imagePair]float64) {
	for filler := range d.fillerImages {
		into[imagePair{serving, filler}] = d.effect(serving, filler)
	}
}

// sortedEffects returns the largest effects in descending order, at most
// maxRecordedEffects.
func sortedEffects(effects map[imagePair]float64) []jobs.Effect {
	list := make([]jobs.Effect, 0, len(effects))
	for pair, value := range effects {
		list = append(list, jobs.Effect{Serving: pair.serving, Filler: pair.filler, Slowdown: value})
	}
	slices.SortFunc(list, func(a, b jobs.Effect) int {
		return cmp.Or(cmp.Compare(b.Slowdown, a.Slowdown), cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Filler, b.Filler))
	})
	return list[:min(len(list), maxRecordedEffects)]
}
