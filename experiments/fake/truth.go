// Package fake is the worker side of the experiments in virtual time: workers
// run tasks, services slow down by a law that policies can observe only in late
// and noisy reports.
package fake

import (
	"math"
	"math/rand/v2"
	"time"

	"geraniumwall/config"
	"geraniumwall/workerapi"
)

// Service describes a latency-critical service of the fleet.
type Service struct {
	Name string
	// BaseP99 is the tail latency without load and neighbours.
	BaseP99 time.Duration
}

// Job describes a kind of task: what is declared, and how far off that is.
type Job struct {
	Name        string
	Team        string
	Priority    config.Priority
	Declared    workerapi.Resources
	Expected    time.Duration
	Checkpoints bool
	// SizeFactor and TimeFactor are actual over declared; 0 means 1.
	SizeFactor float64
	TimeFactor float64
	// FailEach is the part of the tasks that fail wherever they run.
	FailEach float64
}

// pair is the true effect of one task of a job on a service.
type pair struct {
	// strength is the slowdown added at full load, power its bend over the load.
	strength float64
	power    float64
}

// truth holds the parameters that policies must not read.
type truth struct {
	pairs map[string]map[string]pair
}

// Shares and sizes of true effects: most pairs get along, some don't.
const (
	strongPairs    = 0.35
	strongLow      = 0.15
	strongHigh     = 0.5
	weakHigh       = 0.02
	atNoLoad       = 0.15
	quadratic      = 0.2
	reportNoise    = 1.2
	latencySigma   = 0.45
	normalP99      = 2.326
	saturationBend = 0.35
)

func newTruth(random *rand.Rand, services []Service, jobs []Job) truth {
	t := truth{pairs: map[string]map[string]pair{}}
	for _, s := range services {
		t.pairs[s.Name] = map[string]pair{}
		for _, j := range jobs {
			p := pair{strength: weakHigh * random.Float64(), power: 1 + random.Float64()}
			if random.Float64() < strongPairs {
				p.strength = strongLow + (strongHigh-strongLow)*random.Float64()
			}
			t.pairs[s.Name][j.Name] = p
		}
	}
	return t
}

func (t *truth) swap(a, b string) { t.pairs[a], t.pairs[b] = t.pairs[b], t.pairs[a] }

// slowdown is the factor on the latency of a service among running tasks, and of
// a host whose processors are overcommitted by the given factor.
func (t *truth) slowdown(service string, load float64, tasks []*running, overcommit float64) float64 {
	sum := 0.0
	for _, r := range tasks {
		p := t.pairs[service][r.spec.Name]
		sum += r.share * p.strength * (atNoLoad + (1-atNoLoad)*math.Pow(load, p.power))
	}
	return (1 + sum + quadratic*sum*sum) * max(1, overcommit)
}

// baseP99 is the tail latency in isolation, in seconds.
func baseP99(s Service, load float64) float64 {
	return s.BaseP99.Seconds() * (1 + saturationBend*load/(1.1-load))
}
