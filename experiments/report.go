package experiments

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Line is one measurement as printed.
type Line struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Baseline is what the value is compared with, Ratio is value over baseline;
	// both are null where there is nothing to compare with.
	Baseline *float64 `json:"baseline"`
	Ratio    *float64 `json:"ratio"`
	// N is the number of seeds, or of decisions for costs.
	N int `json:"n"`
}

// compared returns a line with a baseline. A ratio to zero is left out.
func compared(name, unit string, value, base float64, n int) Line {
	l := Line{Name: name, Value: value, Unit: unit, Baseline: &base, N: n}
	if base != 0 {
		ratio := value / base
		l.Ratio = &ratio
	}
	return l
}

// Print writes lines as JSON, one object a line.
func Print(w io.Writer, lines []Line) error {
	encoder := json.NewEncoder(w)
	for i := range lines {
		if err := encoder.Encode(&lines[i]); err != nil {
			return fmt.Errorf("write measurement %s: %w", lines[i].Name, err)
		}
	}
	return nil
}

// measure is one figure of an outcome.
type measure struct {
	name, unit string
	of         func(*Outcome) float64
}

// Names of measures that targets refer to.
const (
	measureP99       = "p99_over_isolation"
	measureWork      = "batch_work"
	measureEvictions = "evictions"
	measureLost      = "work_lost_share"
	measureUrgent    = "urgent_start_max"
	measureBroken    = "attempts_failed_on_broken_worker_share"
)

var measures = []measure{
	{measureP99, "ratio", (*Outcome).P99Ratio},
	{measureWork, "core_seconds", func(o *Outcome) float64 { return o.Done }},
	{measureEvictions, "count", func(o *Outcome) float64 { return float64(o.Evictions) }},
	{"evictions_in_worst_minute", "count", func(o *Outcome) float64 { return float64(o.WorstMinute) }},
	{measureLost, "ratio", func(o *Outcome) float64 { return o.Lost / max(o.Done, 1) }},
	{measureUrgent, "s", func(o *Outcome) float64 { return o.UrgentDelay.Seconds() }},
	{measureBroken, "ratio", func(o *Outcome) float64 {
		return float64(o.Totals.FailedOnBroken) / float64(max(o.Totals.Attempts, 1))
	}},
	{"tasks_failed", "count", func(o *Outcome) float64 { return float64(o.TasksFailed) }},
	{"throttles", "count", func(o *Outcome) float64 { return float64(o.Throttles) }},
	{"out_of_memory", "count", func(o *Outcome) float64 { return float64(o.Totals.OutOfMemory) }},
	{"longest_wait", "s", func(o *Outcome) float64 { return o.LongestWait.Seconds() }},
	{"longest_wait_large", "s", func(o *Outcome) float64 { return o.WaitBy["cut-large"].Seconds() }},
	{"least_served_team", "ratio", (*Outcome).leastServed},
	{"largest_rack_share", "ratio", func(o *Outcome) float64 { return o.RackShare }},
	{"overcommitted_starts", "count", func(o *Outcome) float64 { return float64(o.Totals.Overcommitted) }},
}

// leastServed is the work done for the team that is worst off, over what it is
// entitled to: what it asked for, but no more than an equal part of all work.
func (o *Outcome) leastServed() float64 {
	total := 0.0
	for _, done := range o.DoneBy {
		total += done
	}
	least := 1.0
	for team, offered := range o.OfferedBy {
		entitled := min(offered, total/float64(len(o.OfferedBy)))
		if entitled > 0 {
			least = min(least, o.DoneBy[team]/entitled)
		}
	}
	return least
}

// spread returns the median, the smallest and the largest value over seeds.
func spread(outcomes []Outcome, of func(*Outcome) float64) (median, low, high float64) {
	values := make([]float64, 0, len(outcomes))
	for i := range outcomes {
		values = append(values, of(&outcomes[i]))
	}
	slices.Sort(values)
	return values[len(values)/2], values[0], values[len(values)-1]
}

// Names of policies in lines.
const (
	nameEngine   = "engine"
	nameFirstFit = "first-fit"
	nameReactive = "reactive"
)

// Targets of the design page; evictions and work are relative to a baseline.
const (
	targetEvictions = 1.0 / 3
	targetWork      = 0.9
	targetLost      = 0.01
	targetBroken    = 0.01
	targetUrgentS   = 1.1
)

// compare measures the engine against all baselines in one scenario.
func compare(prefix string, s Scenario, seeds int) ([]Line, error) {
	policies := append([]Policy{Engine(nameEngine, noRules)}, Baselines()...)
	outcomes, err := MeasureAll(s, policies, seeds)
	if err != nil {
		return nil, err
	}
	var lines []Line
	for _, m := range measures {
		name := strings.Join([]string{prefix, s.Name, m.name}, "/")
		value, low, high := spread(outcomes[nameEngine], m.of)
		lines = append(lines,
			Line{Name: name + "/low", Value: low, Unit: m.unit, N: seeds},
			Line{Name: name + "/high", Value: high, Unit: m.unit, N: seeds})
		for _, b := range Baselines() {
			base, _, _ := spread(outcomes[b.Name], m.of)
			lines = append(lines, compared(name+"/"+b.Name, m.unit, value, base, seeds))
		}
	}
	return append(lines, targets(prefix+"/"+s.Name, outcomes, seeds)...), nil
}

// targets compares with the targets; the baseline of such a line is the target.
func targets(prefix string, outcomes map[string][]Outcome, seeds int) []Line {
	median := func(policy, name string) float64 {
		i := slices.IndexFunc(measures, func(m measure) bool { return m.name == name })
		v, _, _ := spread(outcomes[policy], measures[i].of)
		return v
	}
	line := func(name, unit string, limit float64) Line {
		return compared(prefix+"/target/"+name, unit, median(nameEngine, name), limit, seeds)
	}
	return []Line{
		line(measureP99, "ratio", targetFactor),
		line(measureWork, "core_seconds", targetWork*median(nameFirstFit, measureWork)),
		line(measureEvictions, "count", targetEvictions*median(nameReactive, measureEvictions)),
		line(measureLost, "ratio", targetLost),
		line(measureUrgent, "s", targetUrgentS),
		line(measureBroken, "ratio", targetBroken),
	}
}

// Compare measures every scenario of a deployment whose name contains the filter.
func Compare(d Deployment, filter string, seeds int, write func([]Line) error) error {
	for _, s := range Scenarios(d) {
		if !strings.Contains(s.Name, filter) {
			continue
		}
		lines, err := compare(d.Name, s, seeds)
		if err != nil {
			return err
		}
		if err := write(lines); err != nil {
			return err
		}
	}
	return nil
}
