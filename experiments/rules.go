package experiments

import (
	"slices"
	"strings"

	"geraniumwall/policy/engine"
	"geraniumwall/policy/fairness"
	"geraniumwall/policy/interference"
	"geraniumwall/policy/placement"
)

// noRules is the engine with everything on.
var noRules = engine.Rules{}

// rule is one part of the decisions that can be switched off.
type rule struct {
	name string
	off  engine.Rules
	// scenarios and measures in which the rule should earn something.
	scenarios []string
	measures  []string
}

// rules lists every rule with the measures that it is meant for.
func rules() []rule {
	service := []string{measureP99, measureWork, "throttles", measureEvictions}
	loss := []string{measureLost, measureEvictions, measureWork, "evictions_in_worst_minute"}
	return []rule{
		{"reaction", engine.Rules{NoReaction: true}, []string{"cancellations", "wrong-sizes"}, service},
		{"throttle-first", engine.Rules{NoThrottle: true}, []string{"cancellations", "wrong-sizes"}, append(loss, measureP99)},
		{"move-throttled", engine.Rules{NoMove: true}, []string{"cancellations", "wrong-sizes"}, service},
		{"eviction-budget-and-minimum-run", engine.Rules{NoBudget: true}, []string{"cancellations", "urgent-burst"}, loss},
		{"least-lost-work", engine.Rules{NoLeastLoss: true}, []string{"cancellations", "wrong-sizes", "noisy-wave"}, append(loss, measureP99)},
		{"slack-below-target", engine.Rules{NoSlack: true}, []string{"cancellations", "wrong-sizes"}, service},
		{"interference-in-score", engine.Rules{Placement: placement.Rules{NoInterference: true}}, []string{"cancellations", "pairwise"}, service},
		{"history", engine.Rules{Model: interference.Rules{NoHistory: true}}, []string{"cancellations", "noisy-wave"}, service},
		{"shrinkage", engine.Rules{Model: interference.Rules{NoShrinkage: true}}, []string{"cancellations", "wrong-sizes"}, service},
		{"forgetting", engine.Rules{Model: interference.Rules{NoForgetting: true}}, []string{"effects-swap", "load-shift"}, service},
		{"load-dependence", engine.Rules{Model: interference.Rules{NoLoad: true}}, []string{"cancellations", "load-shift"}, service},
		{"packing", engine.Rules{Placement: placement.Rules{NoPacking: true}}, []string{"cancellations", "wide-tasks"}, []string{measureP99, measureWork, "longest_wait_large"}},
		{"rack-spread", engine.Rules{Placement: placement.Rules{NoSpread: true}}, []string{"pairwise", "lost-domain"}, []string{"largest_rack_share", measureLost, measureP99}},
		{"holds", engine.Rules{NoHolds: true}, []string{"no-quotas", "wide-tasks"}, []string{"longest_wait_large", "longest_wait", measureWork, measureEvictions}},
		{"preemption", engine.Rules{NoPreemption: true}, []string{"urgent-burst", "cancellations"}, []string{measureUrgent, "least_served_team", measureEvictions}},
		{"headroom", engine.Rules{NoHeadroom: true}, []string{"noisy-wave", "cancellations"}, []string{measureUrgent, measureEvictions, measureWork}},
		{"fairness", engine.Rules{Fairness: fairness.Rules{NoFairness: true}}, []string{"no-quotas", "wide-tasks"}, []string{"least_served_team", "longest_wait"}},
		{"borrowing", engine.Rules{Fairness: fairness.Rules{NoBorrow: true}}, []string{"greedy-team"}, []string{measureWork, "least_served_team", "longest_wait"}},
		{"aging", engine.Rules{Fairness: fairness.Rules{NoAging: true}}, []string{"greedy-team", "wide-tasks"}, []string{"longest_wait", "longest_wait_large"}},
		{"sizing", engine.Rules{NoSizing: true}, []string{"wrong-sizes"}, []string{measureP99, measureWork, "out_of_memory", measureLost}},
		{"lowering-sizes", engine.Rules{NoLowering: true}, []string{"wrong-sizes"}, []string{measureP99, measureWork, "longest_wait"}},
		{"quarantine", engine.Rules{NoHealth: true}, []string{"failing-worker"}, []string{measureBroken, "tasks_failed", measureWork}},
	}
}

// Ablate measures what each rule whose name contains the filter earns: the value
// of a line is with the rule, its baseline without.
func Ablate(d Deployment, filter string, seeds int, write func([]Line) error) error {
	for _, s := range Scenarios(d) {
		policies := []Policy{Engine(nameEngine, noRules)}
		var tested []rule
		for _, r := range rules() {
			if strings.Contains(r.name, filter) && slices.Contains(r.scenarios, s.Name) {
				tested = append(tested, r)
				policies = append(policies, Engine(r.name, r.off))
			}
		}
		if len(tested) == 0 {
			continue
		}
		outcomes, err := MeasureAll(s, policies, seeds)
		if err != nil {
			return err
		}
		if err := write(ablations(d.Name+"/rules", &s, tested, outcomes, seeds)); err != nil {
			return err
		}
	}
	return nil
}

func ablations(prefix string, s *Scenario, tested []rule, outcomes map[string][]Outcome, seeds int) []Line {
	var lines []Line
	for _, r := range tested {
		for _, m := range measures {
			if !slices.Contains(r.measures, m.name) {
				continue
			}
			with, _, _ := spread(outcomes[nameEngine], m.of)
			without, _, _ := spread(outcomes[r.name], m.of)
			lines = append(lines, compared(strings.Join([]string{prefix, r.name, s.Name, m.name}, "/"), m.unit, with, without, seeds))
		}
	}
	return lines
}
