package experiments

import (
	"time"

	"golang.org/x/sync/errgroup"

	"geraniumwall/config"
	"geraniumwall/experiments/baseline"
	"geraniumwall/policy"
	"geraniumwall/policy/engine"
	"geraniumwall/policy/firstfit"
)

// Parallel is the number of runs at a time; every run is deterministic on its own.
const Parallel = 4

// splitShare is the part of the fleet that serves in the static split.
const splitShare = 0.6

// targetFactor is the allowed tail latency over the one in isolation.
const targetFactor = 1.25

// Engine is the policy under test with some rules off.
func Engine(name string, rules engine.Rules) Policy {
	return Policy{Name: name, New: func(seed uint64) policy.Engine { return engine.NewWith(seed, rules) }}
}

// Baselines lists the policies to compare with.
func Baselines() []Policy {
	return []Policy{
		{Name: "first-fit", New: func(uint64) policy.Engine { return firstfit.New() }},
		{Name: "least-loaded", New: func(uint64) policy.Engine { return baseline.NewLeastLoaded() }},
		{Name: "static-split", New: func(uint64) policy.Engine { return baseline.NewLeastLoaded() }, Split: splitShare},
		{Name: "reactive", New: func(uint64) policy.Engine { return baseline.NewReactive() }},
	}
}

// Outcome is the result of one seed with its reference.
type Outcome struct {
	Result
	// Isolated is the tail latency of each service without batch work.
	Isolated []int64
}

// P99Ratio is the tail latency over the one in isolation, of the worst service.
func (o *Outcome) P99Ratio() float64 {
	worst := 0.0
	for i, p99 := range o.P99 {
		worst = max(worst, float64(p99)/float64(o.Isolated[i]))
	}
	return worst
}

// isolate measures a scenario without batch work and derives the configuration.
func isolate(s *Scenario, seed uint64) ([]int64, config.Config) {
	spec := s.Spec(seed)
	alone := Run(s, Policy{}, seed, config.Config{})
	var targets []time.Duration
	for _, p99 := range alone.P99 {
		targets = append(targets, time.Duration(targetFactor*float64(p99))*time.Microsecond)
	}
	c := configuration(&spec, targets)
	if s.Configure != nil {
		s.Configure(&c)
	}
	return alone.P99, c
}

// MeasureAll runs each policy with each seed and returns the outcomes by policy.
func MeasureAll(s Scenario, policies []Policy, seeds int) (map[string][]Outcome, error) {
	out := map[string][]Outcome{}
	for _, p := range policies {
		out[p.Name] = make([]Outcome, seeds)
	}
	var group errgroup.Group
	group.SetLimit(Parallel)
	for seed := range seeds {
		group.Go(func() error {
			isolated, c := isolate(&s, uint64(seed+1))
			for _, p := range policies {
				out[p.Name][seed] = Outcome{Result: Run(&s, p, uint64(seed+1), c), Isolated: isolated}
			}
			return nil
		})
	}
	return out, group.Wait()
}
